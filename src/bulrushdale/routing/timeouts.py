"""How long to wait for a target before another one is asked.

Only requests that may be repeated are given up on; for the others the
target's silence says nothing about whether they run.
"""

from bulrushdale.routing import routes

# A repeatable request is given up on at this multiple of the time within
# which its answer should be there: the answer is late by then, and a second
# target needs time too.
RESPONSE_TIMEOUT_FACTOR = 1.5
# Least patience, above the slowest usual answers of plain services.
MIN_RESPONSE_TIMEOUT_MS = 500
# A stream that paused for this multiple of the longest pause is taken for
# stalled; callers leave at eight times.
EVENT_TIMEOUT_FACTOR = 3.0
MIN_EVENT_TIMEOUT_MS = 900
# Time that a last answer, such as the target's own at the deadline, has to
# come in behind the deadline.
DEADLINE_GRACE_MS = 100
# Less time than this is no offer to a target.
MIN_ATTEMPT_MS = 20


def response_timeout_ms(route: routes.Route) -> float | None:
    """Return the time for an answer's first bytes, in ms; none if no other
    target may be asked.

    :param route: the request's route.
    """
    if not route.repeatable:
        return None
    return max(
        MIN_RESPONSE_TIMEOUT_MS,
        route.target_latency_ms * RESPONSE_TIMEOUT_FACTOR,
    )


def event_timeout_ms(route: routes.Route, elapsed_ms: int = 0) -> float | None:
    """Return the time left for a stream's next event, in ms; none if no
    other target may resume it.

    :param route: the request's route.
    :param elapsed_ms: time since the last event, in ms.
    """
    if not route.repeatable:
        return None
    timeout_ms = max(
        MIN_EVENT_TIMEOUT_MS, route.max_gap_ms * EVENT_TIMEOUT_FACTOR
    )
    return max(0.0, timeout_ms - elapsed_ms)
