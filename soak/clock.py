"""The soak's clock."""

import time


def now_ms() -> int:
    """Return the time, in ms on the soak's clock."""
    return time.monotonic_ns() // 1_000_000
