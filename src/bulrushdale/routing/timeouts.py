"""Timeouts after which a request is sent to another target.

They apply only to requests that may be repeated. For other requests a missing
response does not tell whether the request runs.
"""

from bulrushdale.routing import routes

# Response timeout of a repeatable request, as a multiple of the route's target
# latency. The response is late by then, and a second target needs time too.
RESPONSE_TIMEOUT_FACTOR = 1.5
# Lower limit, above the slowest usual responses of plain services.
MIN_RESPONSE_TIMEOUT_MS = 500
# A stream counts as stalled after this multiple of its longest allowed gap
# between events; callers disconnect after eight times the gap.
EVENT_TIMEOUT_FACTOR = 3.0
MIN_EVENT_TIMEOUT_MS = 900
# Extra time after the deadline for a last response, such as the one that the
# target itself sends at the deadline.
DEADLINE_GRACE_MS = 100
# With less time left than this no attempt is started.
MIN_ATTEMPT_MS = 20


def response_timeout_ms(route: routes.Route) -> float | None:
    """Return the timeout for the first bytes of a response, in ms.

    :param route: route of the request.
    :return: the timeout; none if no other target may run the request.
    """
    if not route.repeatable:
        return None
    return max(
        MIN_RESPONSE_TIMEOUT_MS,
        route.target_latency_ms * RESPONSE_TIMEOUT_FACTOR,
    )


def event_timeout_ms(route: routes.Route, elapsed_ms: int = 0) -> float | None:
    """Return the time left for the next event of a stream, in ms.

    :param route: route of the request.
    :param elapsed_ms: time since the last event, in ms.
    :return: the time left; none if no other target may resume the stream.
    """
    if not route.repeatable:
        return None
    timeout_ms = max(
        MIN_EVENT_TIMEOUT_MS, route.max_gap_ms * EVENT_TIMEOUT_FACTOR
    )
    return max(0.0, timeout_ms - elapsed_ms)
