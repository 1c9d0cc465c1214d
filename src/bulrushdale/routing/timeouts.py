"""How long to wait for a target before another one is asked.

Only requests that may be repeated are given up on; for the others the
target's silence says nothing about whether they run.
"""

from bulrushdale.routing import routes

# A repeatable request is given up on at this multiple of the time within
# which its answer should be there: the answer is late by then, and a second
# target needs time too.
TARGET_TIMES = 1.5
# Least patience, above the slowest usual answers of plain services.
MIN_MS = 500
# A stream that paused for this multiple of the longest pause is taken for
# stalled; callers leave at eight times.
PAUSES = 3.0
MIN_PAUSE_MS = 900
# Time that a last answer, such as the target's own at the deadline, has to
# come in behind the deadline.
LATE_MS = 100
# Less time than this is no offer to a target.
MIN_LEFT_MS = 20


def for_answer(route: routes.Route, left_ms: float, another: bool) -> float:
    """Return how long to wait for an answer's first bytes, in ms.

    :param route: the request's route.
    :param left_ms: time until the deadline.
    :param another: whether another target could be asked after this one.
    """
    if not route.repeatable or not another:
        return left_ms + LATE_MS
    timeout_ms = max(MIN_MS, route.target_time_ms * TARGET_TIMES)
    return min(timeout_ms, left_ms + LATE_MS)


def for_event(route: routes.Route, left_ms: float, another: bool) -> float:
    """Return how long to wait for a stream's next event, in ms.

    :param route: the request's route.
    :param left_ms: time until the deadline.
    :param another: whether another target could resume the stream.
    """
    if not route.repeatable or not another:
        return left_ms + LATE_MS
    pause_ms = max(MIN_PAUSE_MS, route.max_pause_ms * PAUSES)
    return min(pause_ms, left_ms + LATE_MS)
