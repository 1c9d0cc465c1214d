"""Carries tunnels of other routers to targets.

The other end, and what tunnels are for, is in :mod:`.tunnels`.
"""

import asyncio
from collections import abc
import contextlib
import logging
import socket
import typing

import orjson

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import callers
from bulrushdale.forwarding import connections
from bulrushdale.forwarding import lag
from bulrushdale.forwarding import probes
from bulrushdale.forwarding import response_ends
from bulrushdale.routing import eligibility
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import relays
from bulrushdale.routing import selection as selection_module
from bulrushdale.routing import targets as targets_module

LOG = logging.getLogger(__name__)

# Tunnels that a router carries for others at a time. Each holds up to two
# buffers of BUFFER_BYTES and what the kernel buffers.
MAX_TUNNELS = 128
BUFFER_BYTES = 32 << 10
# Tries to connect to a target, if this router is too busy to see the first
# one succeed.
MAX_CONNECTS = 2
# Time for the line that names the target.
ASK_TIMEOUT_MS = 1_000
# Time for the last bytes of a response to reach the router that asked. A round
# trip takes up to 24 ms between regions.
RECEIVED_TIMEOUT_MS = 250
RECEIVED_INTERVAL_MS = 5
# Routers of earlier versions know no evacuations. They must neither take the
# target for leaving, which lasts, nor ask other routers.
_PAUSED_ANSWERS = {
    eligibility.Exclusion.EVACUATED: relays.Answer.BACKING_OFF,
    eligibility.Exclusion.LEAVING: relays.Answer.LEAVING,
    eligibility.Exclusion.BACKING_OFF: relays.Answer.BACKING_OFF,
}

_Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class TunnelServer:
    """Accepts tunnels of other routers.

    :param targets: all targets.
    :param peers: the other routers; nobody else may open tunnels.
    :param selection: tells whether this router reaches a service.
    :param prober: learns which targets can't be reached.
    :param state: counts the tunnels, and tells whether the router drains.
    :param clock: the clock.
    :param end: ends a connection whose response isn't awaited any more; also
        gets an object that owns the connection.
    :param max_tunnels: how many tunnels are carried at a time.
    """

    __slots__ = (
        "_targets",
        "_peers",
        "_selection",
        "_prober",
        "_state",
        "_clock",
        "_end",
        "_max_tunnels",
        "_server",
    )

    def __init__(
        self,
        targets: targets_module.Targets,
        peers: peers_module.Peers,
        selection: selection_module.Selection,
        prober: probes.Prober,
        state: callers.GatewayState,
        clock: clock_module.Clock,
        end: abc.Callable[[asyncio.Transport, object], None],
        max_tunnels: int = MAX_TUNNELS,
    ) -> None:
        self._targets = targets
        self._peers = peers
        self._selection = selection
        self._prober = prober
        self._state = state
        self._clock = clock
        self._end = end
        self._max_tunnels = max_tunnels
        self._server: asyncio.Server | None = None

    async def start(self, sock: socket.socket) -> None:
        """Accept tunnels on a bound socket."""
        self._server = await asyncio.start_server(
            self._serve, sock=sock, limit=BUFFER_BYTES
        )

    async def stop(self) -> None:
        """Accept no more tunnels."""
        if self._server is not None:
            self._server.close()

    def receive_back_off(
        self, target_id: str, started_ms: int, retry_after_ms: int
    ) -> None:
        """Handle the message that a target wants no requests.

        :param target_id: the target.
        :param started_ms: its start, in ms since the epoch.
        :param retry_after_ms: the time that it asked for, in ms.
        """
        target = self._targets.get(target_id)
        if target is not None and target.listing.started_ms == started_ms:
            target.back_off(max(0, retry_after_ms))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection of another router until either end closes.

        A response may end with its connection, so the connection ends with a
        reset unless the target has ended its own in an orderly way.
        """
        connections.set_socket_options(writer.get_extra_info("socket"))
        connections.reset_on_close(writer.transport)
        # A drained transport then has nothing left that a kill would lose.
        writer.transport.set_write_buffer_limits(high=0)
        self._state.tunnels += 1
        try:
            target, answer = await self._receive(reader, writer)
            upstream = None
            if target is not None and answer is relays.Answer.ACCEPTED:
                upstream = await self._connect(target)
                if upstream is None:
                    answer = relays.Answer.UNREACHABLE
            writer.write(answer.value)
            LOG.info(
                "asked to relay a request",
                extra={
                    "event": "link.relay",
                    "peer": writer.get_extra_info("peername")[0],
                    "target": target.target_id if target else "",
                    "answer": answer.name.lower(),
                    "tunnels": self._state.tunnels,
                },
            )
            if upstream is None or (
                target is not None
                and await self._carry((reader, writer), upstream, target)
            ):
                connections.end_on_close(writer.transport)
        except (OSError, TimeoutError, ValueError) as error:
            LOG.info(
                "tunnel ended",
                extra={"event": "link.tunnel_ended", "reason": repr(error)},
            )
        finally:
            self._state.tunnels -= 1
            writer.close()

    async def _carry(
        self,
        downstream: _Streams,
        upstream: _Streams,
        target: targets_module.Target,
    ) -> bool:
        """Pass bytes on until either end closes, and end the request.

        :return: as for :func:`_join`.
        """
        _, writer = upstream
        end = response_ends.EndWatch(
            target,
            self._targets,
            self._clock.now_ms(),
            framed=False,
            has_arrived=lambda: connections.is_ended_by_peer(writer.transport),
            is_unreachable=self._prober.is_unreachable,
            check=self._prober.check,
            clock=self._clock,
        )
        try:
            with contextlib.closing(end):
                return await _join(downstream, upstream, end)
        finally:
            self._end(typing.cast(asyncio.Transport, writer.transport), writer)

    async def _receive(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> tuple[targets_module.Target | None, relays.Answer]:
        """Read which target is asked for, and decide.

        :raises ValueError: if the line is too long or invalid.
        :raises TimeoutError: if it doesn't arrive in time.
        """
        host = writer.get_extra_info("peername")[0]
        if not self._peers.knows_host(host):
            return None, relays.Answer.UNKNOWN
        if self._state.tunnels > 2 * self._max_tunnels:
            # Each takes a descriptor until its line has arrived.
            return None, relays.Answer.BUSY
        async with asyncio.timeout(ASK_TIMEOUT_MS / 1000):
            line = await reader.readline()
        fields = orjson.loads(line)
        if not isinstance(fields, list) or len(fields) != 2:
            raise ValueError("expected a target and its start")
        target_id, started_ms = fields
        target = self._targets.get(str(target_id))
        if target is None or target.listing.started_ms != started_ms:
            return None, relays.Answer.UNKNOWN
        return target, self._decide(target)

    def _decide(self, target: targets_module.Target) -> relays.Answer:
        """Return whether to relay a request to a target."""
        if self._state.draining:
            return relays.Answer.STOPPING
        if self._state.tunnels > self._max_tunnels:
            return relays.Answer.BUSY
        reason = eligibility.paused(target)
        if reason is not None:
            return _PAUSED_ANSWERS[reason]
        if self._selection.all_unreachable(target.listing.service):
            return relays.Answer.CUT_OFF
        if target.health.unreachable:
            return relays.Answer.UNREACHABLE
        return relays.Answer.ACCEPTED

    async def _connect(self, target: targets_module.Target) -> _Streams | None:
        """Connect to a target; return none if that fails."""
        host, _, port = target.address.rpartition(":")
        loop = asyncio.get_running_loop()
        for _ in range(MAX_CONNECTS):
            sock = connections.make_socket()
            watch = lag.LagWatch(connections.CONNECT_TIMEOUT_MS)
            try:
                with watch:
                    async with asyncio.timeout(
                        connections.CONNECT_TIMEOUT_MS / 1000
                    ):
                        await loop.sock_connect(sock, (host, int(port)))
            except TimeoutError:
                sock.close()
                self._prober.check(target, suspected=True)
                if not watch.lagged():
                    break
            except OSError as error:
                sock.close()
                if isinstance(error, ConnectionRefusedError):
                    target.health.record_refused()
                self._prober.record_unreachable(target)
                break
            else:
                return await asyncio.open_connection(
                    sock=sock, limit=BUFFER_BYTES
                )
        return None


async def _join(
    downstream: _Streams, upstream: _Streams, end: response_ends.EndWatch
) -> bool:
    """Pass bytes between a router and a target until either end closes.

    An orderly end of the target's connection may be the end of its response.
    Any other end must not look like one, and one of the router's connection
    must end the request at the target.

    :param end: decides whether the target has ended its connection itself.
    :return: whether it has, and has received all of the request that has
        arrived here.
    :raises OSError: if either connection broke.
    """
    requests = asyncio.create_task(_copy(downstream[0], upstream[1]))
    responses = asyncio.create_task(
        _copy(upstream[0], downstream[1], end.read, end.writing)
    )
    try:
        done, _ = await asyncio.wait(
            {requests, responses}, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            task.result()
        if responses not in done:
            return False
        if not connections.unreceived_bytes(upstream[1].transport):
            requests.cancel()
            await asyncio.wait({requests})
            if not await _has_unread(downstream[0]) and await end.is_whole():
                return True
        # The reset would overtake a response that is whole nevertheless.
        await _await_received(downstream[1])
        return False
    finally:
        requests.cancel()
        responses.cancel()


async def _has_unread(reader: asyncio.StreamReader) -> bool:
    """Return whether received bytes wait to be read; may read one."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(0):
            return bool(await reader.read(1))
    return False


async def _await_received(writer: asyncio.StreamWriter) -> None:
    """Wait until the peer's kernel has all bytes, for a limited time."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(RECEIVED_TIMEOUT_MS / 1000):
            while connections.unreceived_bytes(writer.transport):  # noqa: ASYNC110
                await asyncio.sleep(RECEIVED_INTERVAL_MS / 1000)


async def _copy(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    read: abc.Callable[
        [abc.Awaitable[bytes]], abc.Awaitable[bytes]
    ] = response_ends.read_on,
    writing: abc.Callable[
        [], contextlib.AbstractContextManager[None]
    ] = contextlib.nullcontext,
) -> None:
    """Pass bytes on until the end of a connection.

    :param read: awaits the next part.
    :param writing: returns a context for the time in which a part is written.
    """
    while data := await read(reader.read(BUFFER_BYTES)):
        with writing():
            writer.write(data)
            await writer.drain()
