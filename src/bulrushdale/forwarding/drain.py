"""Graceful shutdown: drains a router without cutting off requests."""

from collections import abc

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import callers as callers_module
from bulrushdale.forwarding import servers as servers_module
from bulrushdale.forwarding import stop_limit as stop_limit_module

# How often a draining router checks whether its requests have ended. This
# delays the stop, so it is short compared to the shortest request.
POLL_INTERVAL_MS = 20
# A request arrives within a round trip after its connection is accepted, or
# later if a lost packet has to be resent.
ACCEPTED_GRACE_MS = 250
# Requests that can't end in time are answered this long before the end.
ANSWER_MARGIN_MS = 100


async def drain(
    state: callers_module.GatewayState,
    server: servers_module.Server,
    other_servers: abc.Iterable[servers_module.Server],
    close_ports: abc.Callable[[], abc.Awaitable[None]],
    stop_limit: stop_limit_module.StopLimit,
    clock: clock_module.Clock,
    notice_ms: int,
    timeout_ms: int,
) -> int:
    """Stop accepting connections and wait for all requests to finish.

    A request has finished when the kernel has its whole response. Callers
    that don't read theirs until the time is up are cut off with a reset.

    During the notice period requests are still served, on new connections and
    on idle ones, because their callers don't know yet that the router stops;
    each response closes its connection. Idle connections are closed after
    that period, but not before the last accepted connections had time to
    deliver their request.

    :param state: the requests in flight and the drain state.
    :param server: the server that holds the callers' connections.
    :param other_servers: those of the router's other ports, which go on
        accepting connections.
    :param close_ports: closes the listening ports.
    :param stop_limit: ends requests that would be cut off.
    :param clock: the clock.
    :param notice_ms: time for callers to notice the drain, in ms.
    :param timeout_ms: time limit for the whole drain, in ms.
    :return: the number of requests still in flight when the time is up.
    """
    deadline_ms = clock.now_ms() + timeout_ms
    state.draining = True
    stop_limit.start(max(0, timeout_ms - ANSWER_MARGIN_MS))
    await clock.sleep_ms(notice_ms)
    await close_ports()
    remaining_ms = deadline_ms - clock.now_ms()
    await clock.sleep_ms(max(0, min(ACCEPTED_GRACE_MS, remaining_ms)))
    state.close_idle(server)
    state.closed = True
    while state.requests and clock.now_ms() < deadline_ms:
        await clock.sleep_ms(POLL_INTERVAL_MS)
    all_servers = (server, *other_servers)
    while (
        unfinished := sum(found.unfinished() for found in all_servers)
    ) and clock.now_ms() < deadline_ms:
        await clock.sleep_ms(POLL_INTERVAL_MS)
    for found in all_servers:
        found.cut_unfinished()
    return max(state.requests, unfinished)
