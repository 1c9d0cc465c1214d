"""Detection of stalled streams.

A target may become unreachable or unresponsive while streams run. A stream is
in time only if it resumes at another target within its longest allowed gap,
and most of that is spent on detection. Events of a stream come at a steady
pace until long prompts of other requests are read between them. The timeout
is estimated from the earlier gaps, as TCP does from round-trip times.
"""

# Within this time most responses start, and every healthy stream delivers its
# next event.
MAX_TIMEOUT_MS = 250
# A few steps of a batch between which parts of a long prompt are read.
MIN_TIMEOUT_MS = 100
# Weights of the newest gap in the mean and in the deviation, and the number of
# deviations above the mean at which a stream counts as stalled; RFC 6298.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4


class StallDetector:
    """Estimates how long the next event of one stream may take."""

    __slots__ = ("_mean_ms", "_deviation_ms")

    def __init__(self) -> None:
        self._mean_ms: float | None = None
        self._deviation_ms = 0.0

    def record_gap(self, gap_ms: float) -> None:
        """Record the time between two consecutive events, in ms."""
        if self._mean_ms is None:
            self._mean_ms = gap_ms
            self._deviation_ms = gap_ms / 2
            return
        deviation_ms = abs(gap_ms - self._mean_ms)
        self._deviation_ms += DEVIATION_WEIGHT * (
            deviation_ms - self._deviation_ms
        )
        self._mean_ms += MEAN_WEIGHT * (gap_ms - self._mean_ms)

    def timeout_ms(self) -> float:
        """Return how long to wait for an event before a check, in ms."""
        if self._mean_ms is None:
            return MAX_TIMEOUT_MS
        limit_ms = self._mean_ms + DEVIATIONS * self._deviation_ms
        return min(MAX_TIMEOUT_MS, max(MIN_TIMEOUT_MS, limit_ms))
