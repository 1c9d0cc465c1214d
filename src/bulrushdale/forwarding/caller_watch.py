"""Gives up callers when memory or connections run out."""

import asyncio
from collections import abc
import functools
import itertools
import logging

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import memory_account
from bulrushdale.forwarding import process_memory
from bulrushdale.forwarding import servers
from bulrushdale import results
from bulrushdale.routing import refusals
from bulrushdale.routing import routes
from bulrushdale.routing import shedding

LOG = logging.getLogger(__name__)

INTERVAL_MS = 250
# Shares of the machine's memory from which stalled callers are given up, and
# from which others are.
_HIGH_SHARE = 0.8
_URGENT_SHARE = 0.9
# The pressure has ended when less than this share of the bound is held, for
# so long.
_CALM_SHARE = 0.5
_CALM_AFTER_MS = 2_000
# Free memory is given back at most this often during pressure; it takes some
# ms for each 100 MB.
_GIVE_BACK_INTERVAL_MS = 1_000
# Fewer connections that wait for turns are not worth a log line.
_MANY_WAITING = 10
# Without pressure, free memory is given back when the process has grown by
# this factor since the last time, and not more often than this. A collection
# takes some 10 ms.
_RESIDUE_FACTOR = 1.2
_RESIDUE_INTERVAL_MS = 5_000
# What the buffers and the parser of a connection take.
_CONNECTION_BYTES = 64 << 10
# Free objects are looked for if callers hold less than this share of the
# memory in use.
_COLLECT_SHARE = 0.25
# A body that this router doesn't read has as long as one that waits for its
# room before it counts as stalled.
_WAIT_FOR_ROOM_MS = memory_account.MAX_WAIT_MS - shedding.STALLED_BODY_MS
# Below this there is no use in giving up requests.
_MIN_SHED_BYTES = 4 << 20


class _FullServer:
    """A server that had to close connections in favour of new ones.

    :ivar closed: how many it closed since it was full.
    :ivar closed_ms: when it closed the last one, in ms of the clock.
    """

    __slots__ = ("closed", "closed_ms")

    def __init__(self) -> None:
        self.closed = 0
        self.closed_ms = 0


class CallerWatch:
    """Watches what callers make this router hold, and how many there are.

    :param watched: the servers, which share an account.
    :param memory_mb: the machine's memory, in MB; 0 if it isn't known.
    :param limits: returns the limits of callers; none if they aren't known.
    :param clock: the clock.

    :ivar pressed: whether memory is short.
    :ivar queued: whether connections wait until their data is parsed.
    """

    __slots__ = (
        "pressed",
        "queued",
        "_servers",
        "_full",
        "_account",
        "_memory_bytes",
        "_limits",
        "_clock",
        "_eased_ms",
        "_given_back_ms",
        "_floor_bytes",
        "_shed",
        "_waited_ms",
    )

    def __init__(
        self,
        watched: abc.Sequence[servers.Server],
        memory_mb: int,
        limits: abc.Callable[[], routes.CallerLimits | None],
        clock: clock_module.Clock,
    ) -> None:
        self._servers = watched
        self._full: dict[servers.Server, _FullServer] = {}
        self._account = watched[0].account
        self._memory_bytes = memory_mb << 20
        self._limits = limits
        self._clock = clock
        self.pressed = False
        self.queued = False
        self._waited_ms = 0
        self._eased_ms = 0
        self._given_back_ms = 0
        # What was left when memory was given back last.
        self._floor_bytes = 0
        # Requests given up since the pressure began.
        self._shed = 0
        for server in watched:
            server.make_room = functools.partial(self._make_room, server)

    async def check(self) -> None:
        """Look at memory and connections; to be called periodically."""
        self._close_slow_heads()
        self._check_memory()
        self._check_turns()
        for server, full in list(self._full.items()):
            if self._clock.now_ms() - full.closed_ms >= _CALM_AFTER_MS:
                del self._full[server]
                _log_connections(server, "normal", full.closed)
        if self._full:
            # The progress of their requests is known when a connection has to
            # be closed.
            self._requests()

    # Memory.

    def _check_memory(self) -> None:
        account = self._account
        if not account.bound_bytes:
            return
        resident_bytes = process_memory.resident_bytes()
        excess_bytes = resident_bytes - self._memory_bytes * _HIGH_SHARE
        awaited_bytes = account.awaited_bytes
        is_short = (
            awaited_bytes > 0
            or excess_bytes > 0
            or account.held_bytes > account.bound_bytes * _HIGH_SHARE
        )
        if is_short:
            self._ease(int(max(awaited_bytes, excess_bytes)), resident_bytes)
            self._eased_ms = self._clock.now_ms()
        elif self.pressed and self._is_calm():
            self._set_pressed(False, resident_bytes)
            self._give_back_residue()
        elif self._has_residue():
            self._give_back_residue()

    def _idle_bytes(self) -> int:
        """Return the memory of this process without its connections."""
        connections = sum(
            len(server.open_connections) for server in self._servers
        )
        return (
            process_memory.resident_bytes() - connections * _CONNECTION_BYTES
        )

    def _has_residue(self) -> bool:
        """Return whether memory is kept that callers hold no more."""
        idle_bytes = self._idle_bytes()
        if not self._floor_bytes:
            self._floor_bytes = idle_bytes
        return (
            idle_bytes > self._floor_bytes * _RESIDUE_FACTOR
            and self._account.held_bytes < _MIN_SHED_BYTES
            and self._clock.now_ms() - self._given_back_ms
            >= _RESIDUE_INTERVAL_MS
        )

    def _give_back_residue(self) -> None:
        """Give back what is free, and remember what can't be given back."""
        process_memory.give_back_free_memory(collect=True)
        self._given_back_ms = self._clock.now_ms()
        self._floor_bytes = self._idle_bytes()

    def _is_calm(self) -> bool:
        return (
            self._account.held_bytes < self._account.bound_bytes * _CALM_SHARE
            and self._clock.now_ms() - self._eased_ms >= _CALM_AFTER_MS
        )

    def _ease(self, needed_bytes: int, resident_bytes: int) -> None:
        """Give up requests as far as needed, and give memory back.

        :param needed_bytes: how much has to become free.
        :param resident_bytes: the memory of this process.
        """
        if not self.pressed:
            self._set_pressed(True, resident_bytes)
        connections = self._requests()
        held_bytes = sum(request.held_bytes for request in connections)
        urgent = held_bytes > _MIN_SHED_BYTES and (
            self._account.overfull
            or resident_bytes > self._memory_bytes * _URGENT_SHARE
        )
        chosen = shedding.choose(connections, needed_bytes, urgent=urgent)
        for request in chosen:
            self._give_up(connections[request], request)
        if (
            resident_bytes > self._memory_bytes * _HIGH_SHARE
            and self._clock.now_ms() - self._given_back_ms
            >= _GIVE_BACK_INTERVAL_MS
        ):
            self._given_back_ms = self._clock.now_ms()
            # What callers don't hold may be in reference cycles.
            process_memory.give_back_free_memory(
                collect=not chosen
                and held_bytes < resident_bytes * _COLLECT_SHARE
            )

    def _requests(self) -> dict[shedding.Request, servers.Connection]:
        """Return the requests that hold memory, with their connections."""
        found = {}
        open_connections = itertools.chain.from_iterable(
            server.open_connections for server in self._servers
        )
        for number, connection in enumerate(open_connections):
            request = _request(number, connection)
            if request is not None:
                found[request] = connection
        return found

    def _give_up(
        self, connection: servers.Connection, request: shedding.Request
    ) -> None:
        """Refuse a request whose body is arriving, or cut off another one."""
        self._shed += 1
        holder = connection.holder
        limit = holder.reading
        if limit is None:
            connection.server.close_connection(connection)
            return
        holder.reading = None
        holder.refusal = (
            refusals.refuse(
                results.Code.BODY_TOO_SLOW,
                "the body stopped while this router was short of memory",
            )
            if shedding.is_stalled(request) and not connection.waits_for_room
            else memory_account.too_full()
        )
        limit.reschedule(asyncio.get_running_loop().time())

    def _set_pressed(self, pressed: bool, resident_bytes: int) -> None:
        self.pressed = pressed
        LOG.log(
            logging.WARNING if pressed else logging.INFO,
            "memory is short" if pressed else "memory is free again",
            extra={
                "event": "memory.pressure",
                "state": "short" if pressed else "normal",
                "held_bytes": self._account.held_bytes,
                "bound_bytes": self._account.bound_bytes,
                "connection_bytes": self._account.connection_bytes,
                "limit_bytes": self._account.limit_bytes,
                "waiting_connections": self._account.waiting_readers,
                "resident_bytes": resident_bytes,
                "requests": self._shed,
            },
        )
        self._shed = 0

    # Turns.

    def _check_turns(self) -> None:
        """Log when connections begin or cease to wait for turns."""
        waiting = sum(server.turns.waiting for server in self._servers)
        now_ms = self._clock.now_ms()
        if waiting >= _MANY_WAITING:
            self._waited_ms = now_ms
            if not self.queued:
                self._set_queued(True, waiting)
        elif self.queued and now_ms - self._waited_ms >= _CALM_AFTER_MS:
            self._set_queued(False, waiting)

    def _set_queued(self, queued: bool, waiting: int) -> None:
        self.queued = queued
        LOG.log(
            logging.WARNING if queued else logging.INFO,
            "connections wait until their data is parsed"
            if queued
            else "data of callers is parsed as it arrives",
            extra={
                "event": "router.turns",
                "state": "queued" if queued else "normal",
                "waiting": waiting,
            },
        )

    # Connections.

    def _make_room(
        self, server: servers.Server, new: servers.Connection
    ) -> None:
        """Close a connection in favour of a new one.

        :param server: the server that has too many.
        :param new: the new connection, which is closed if all others are
            busy and the server doesn't admit all.
        """
        if server not in self._full:
            self._full[server] = _FullServer()
            _log_connections(server, "full", 0)
        full = self._full[server]
        full.closed_ms = self._clock.now_ms()
        full.closed += 1
        now_s = asyncio.get_running_loop().time()
        limits = self._limits()
        idle_limit_ms = 0 if limits is None else limits.idle_ms
        others = [c for c in server.open_connections if c is not new]
        chosen = shedding.choose_connection(
            (
                _connection(number, connection, now_s, idle_limit_ms)
                for number, connection in enumerate(others)
            ),
            may_be_busy=server.admits_all,
        )
        server.close_connection(
            new if chosen is None else others[chosen.number]
        )

    def _close_slow_heads(self) -> None:
        """Close connections whose request heads take too long."""
        limits = self._limits()
        if limits is None or not limits.head_ms:
            return
        now_s = asyncio.get_running_loop().time()
        begun_before_s = now_s - limits.head_ms / 1000
        for server in self._servers:
            for connection in list(server.open_connections):
                if 0 < connection.head_since_s < begun_before_s:
                    server.close_connection(connection)


def _log_connections(server: servers.Server, state: str, closed: int) -> None:
    """Log that a server has too many connections, or no longer.

    :param server: the server.
    :param state: its new state.
    :param closed: how many connections it closed in favour of new ones.
    """
    full = state == "full"
    LOG.log(
        logging.WARNING if full else logging.INFO,
        "too many connections of callers"
        if full
        else "connections of callers are free again",
        extra={
            "event": "router.connections",
            "state": state,
            "port": server.name,
            "open": len(server.open_connections),
            "limit": server.max_connections,
            "closed": closed,
        },
    )


def _request(
    number: int, connection: servers.Connection
) -> shedding.Request | None:
    """Return the request of a connection; none if it holds nothing."""
    holder = connection.holder
    unsent_bytes = connection.unsent_bytes()
    held_bytes = holder.held_bytes + unsent_bytes + connection.unread_bytes()
    phase = shedding.Phase.WAITING
    idle_ms: float = 0
    if connection.discards_since_s:
        held_bytes = connection.request_bytes()
        phase = shedding.Phase.READING
        idle_ms = connection.discarding_ms()
    elif holder.reading is not None:
        held_bytes = holder.held_bytes + connection.request_bytes()
        phase = shedding.Phase.READING
        idle_ms = holder.idle_ms()
        if connection.waits_for_room:
            idle_ms -= _WAIT_FOR_ROOM_MS
    elif unsent_bytes:
        phase = shedding.Phase.WRITING
        holder.record_progress(connection.accepted_bytes())
        idle_ms = holder.idle_ms()
    if not held_bytes:
        return None
    return shedding.Request(
        number, phase, held_bytes, idle_ms, holder.sent, holder.repeatable
    )


def _connection(
    number: int,
    connection: servers.Connection,
    now_s: float,
    idle_limit_ms: int,
) -> shedding.Connection:
    """Return the state of a connection."""
    idle_ms = (now_s - connection.idle_since_s) * 1000
    if connection.head_since_s:
        state = shedding.ConnectionState.HEAD
        idle_ms = (now_s - connection.head_since_s) * 1000
    elif connection.unused:
        state = shedding.ConnectionState.UNUSED
    elif connection.awaits_request:
        expired = 0 < idle_limit_ms < idle_ms
        state = (
            shedding.ConnectionState.EXPIRED
            if expired
            else shedding.ConnectionState.IDLE
        )
    else:
        request = _request(number, connection)
        stalled = request is not None and shedding.is_stalled(request)
        state = (
            shedding.ConnectionState.STALLED
            if stalled or connection.discards_body
            else shedding.ConnectionState.BUSY
        )
    return shedding.Connection(number, state, idle_ms)
