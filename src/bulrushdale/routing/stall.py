"""Detection of stalled streams.

A target may become unreachable or unresponsive while streams run. A stream
meets its limit only if it resumes at another target within the longest
allowed gap between events, and detection takes most of that time. Events of a
stream arrive at a steady pace, except while the engine reads long prompts of
other requests between them. The timeout is therefore estimated from the
earlier gaps of the stream, as TCP derives its retransmission timeout from
round-trip times (RFC 6298).
"""

# Within this time most responses start, and every healthy stream delivers its
# next event.
MAX_TIMEOUT_MS = 250
# Covers a few steps of a batch with parts of a long prompt read between them.
MIN_TIMEOUT_MS = 100
# Weights of the newest gap in the mean and in the deviation, and the number of
# deviations above the mean at which a stream counts as stalled; RFC 6298.
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATION_FACTOR = 4


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
        error_ms = abs(gap_ms - self._mean_ms)
        self._deviation_ms += DEVIATION_GAIN * (error_ms - self._deviation_ms)
        self._mean_ms += MEAN_GAIN * (gap_ms - self._mean_ms)

    def timeout_ms(self) -> float:
        """Return the time without an event before a check, in ms."""
        if self._mean_ms is None:
            return MAX_TIMEOUT_MS
        expected_max_ms = self._mean_ms + DEVIATION_FACTOR * self._deviation_ms
        return min(MAX_TIMEOUT_MS, max(MIN_TIMEOUT_MS, expected_max_ms))
