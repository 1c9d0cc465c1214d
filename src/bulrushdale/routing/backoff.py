"""Compute how long to back off from a target that asked for it.

An overloaded target rejects requests and states for how long it wants no
more; it gets none for that time. Afterwards it is half-open: each router sends
it single requests until one is accepted. The back-off has jitter, so that the
routers don't send it their whole backlog at the same time.
"""

from collections import abc
import random

# The longest back-off that is honoured, in ms: the time for which the store
# keeps its history. A target that asks for more has been replaced by then.
MAX_BACKOFF_MS = 300_000
# Routers spread the end of the back-off over this share of its length.
JITTER_SHARE = 0.25
# Maximum spread in ms, a few times the shortest response time.
MAX_JITTER_MS = 500
# A half-open target gets one request per this interval from each router; a
# rejection takes a round trip, which is some ms.
HALF_OPEN_INTERVAL_MS = 100


def duration_ms(
    retry_after_ms: int, draw: abc.Callable[[], float] = random.random
) -> int:
    """Return how long to send a target no requests, in ms.

    :param retry_after_ms: the time that it asked for, in ms.
    :param draw: returns a random number from 0 to below 1.
    """
    backoff_ms = min(max(retry_after_ms, 0), MAX_BACKOFF_MS)
    jitter_ms = min(backoff_ms * JITTER_SHARE, MAX_JITTER_MS)
    return backoff_ms + int(jitter_ms * draw())
