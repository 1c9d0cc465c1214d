"""How long a stream may be silent before its target is checked.

Answers to targets that are cut off or dark while streams run: a stream is in
time only if it goes on elsewhere within its longest pause, and most of that
is spent on finding out. Events of a stream come at a steady pace, until long
prompts of others are read between them, so silence is judged by the pauses
that the stream had, as TCP judges lost segments by its round trips.
"""

# Most answers begin, and all streams go on, within this time.
MAX_TIMEOUT_MS = 250
# A few steps of a batch between which parts of a long prompt are read.
MIN_TIMEOUT_MS = 100
# Weights of the newest pause in the mean and in the deviation, and how many
# deviations above the mean are silence; RFC 6298.
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATION_FACTOR = 4


class StallDetector:
    """The pauses between the events of one stream."""

    __slots__ = ("_mean_ms", "_deviation_ms")

    def __init__(self) -> None:
        self._mean_ms: float | None = None
        self._deviation_ms = 0.0

    def record_gap(self, gap_ms: float) -> None:
        """Take over how long an event came after the one before, in ms."""
        if self._mean_ms is None:
            self._mean_ms = gap_ms
            self._deviation_ms = gap_ms / 2
            return
        error_ms = abs(gap_ms - self._mean_ms)
        self._deviation_ms += DEVIATION_GAIN * (error_ms - self._deviation_ms)
        self._mean_ms += MEAN_GAIN * (gap_ms - self._mean_ms)

    def timeout_ms(self) -> float:
        """Return after how long without an event to check the target."""
        if self._mean_ms is None:
            return MAX_TIMEOUT_MS
        expected_max_ms = self._mean_ms + DEVIATION_FACTOR * self._deviation_ms
        return min(MAX_TIMEOUT_MS, max(MIN_TIMEOUT_MS, expected_max_ms))
