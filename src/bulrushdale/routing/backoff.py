"""How long a target that asked for a pause gets no requests.

Answers to a target that is overloaded and turns requests away with the time
until which it wants none. It is left alone for that time. Afterwards each
router sends it single requests until one is accepted, at a time that differs
from router to router, so that the whole backlog does not come at once.
"""

from collections import abc
import random

# The longest pause that is believed, in ms. It is as long as a history of
# the store is kept; whatever asks for more has been replaced by then.
MAX_BACKOFF_MS = 300_000
# Routers take a target up again spread over this part of its pause, in ms...
JITTER_SHARE = 0.25
# ...but over no more than this, a few of the shortest answers.
MAX_JITTER_MS = 500
# Until a target that rested has accepted a request, it gets one in so many
# ms from each router; a rejection takes a round trip, some ms.
HALF_OPEN_INTERVAL_MS = 100


def duration_ms(
    retry_after_ms: int, draw: abc.Callable[[], float] = random.random
) -> int:
    """Return how long to leave a target alone, in ms.

    :param asked_ms: what it asked for, in ms.
    :param draw: returns a number from 0 to below 1.
    """
    backoff_ms = min(max(retry_after_ms, 0), MAX_BACKOFF_MS)
    jitter_ms = min(backoff_ms * JITTER_SHARE, MAX_JITTER_MS)
    return backoff_ms + int(jitter_ms * draw())
