"""How a router stops without cutting off anything."""

from collections import abc

from aiohttp import web

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import callers as callers_module

# How often a stopping router looks whether its requests have ended; the time
# is added to a stop, so it is short against the shortest request.
POLL_INTERVAL_MS = 20
# A request follows the connection that it is sent on within a round trip, or
# after a lost packet is sent again.
ACCEPTED_GRACE_MS = 250


async def drain(
    activity: callers_module.Activity,
    server: web.Server,
    close_ports: abc.Callable[[], abc.Awaitable[None]],
    clock: clock_module.Clock,
    notice_ms: int,
    timeout_ms: int,
) -> int:
    """Take no more connections, and let every request end.

    Until callers have noticed, requests are served as before, on new
    connections and on those that were idle: they come from someone who
    doesn't know yet, and the answer closes the connection. What is idle
    after that time is closed, but not before the last connections that were
    accepted had time to bring their request.

    :param activity: the requests being served.
    :param server: holds the callers' connections.
    :param close_ports: ends listening.
    :param clock: the clock.
    :param notice_ms: how long callers may take to notice, in ms.
    :param timeout_ms: how long all of it may take, in ms.
    :return: how many requests are cut off since the time was up.
    """
    deadline_ms = clock.now_ms() + timeout_ms
    activity.draining = True
    await clock.sleep_ms(notice_ms)
    await close_ports()
    remaining_ms = deadline_ms - clock.now_ms()
    await clock.sleep_ms(max(0, min(ACCEPTED_GRACE_MS, remaining_ms)))
    activity.close_idle(server)
    activity.closed = True
    while activity.requests and clock.now_ms() < deadline_ms:
        await clock.sleep_ms(POLL_INTERVAL_MS)
    return activity.requests
