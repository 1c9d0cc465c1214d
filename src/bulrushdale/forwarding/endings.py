"""Ends of requests whose responses nobody waits for.

A reset is sent once. On a link that is cut or loses it, a target that is
silent never hears of it, and works on beside the target where the request
went on. An orderly end is sent again by the kernel until the target's kernel
acknowledges it. So a request ends with an orderly end, and with a reset once
that has arrived or the target can be reached again.

A request that its target may not have received is reset. An orderly end would
let the kernel deliver the request as well, long after it was given up.
"""

import asyncio
from collections import abc
import logging

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import connections

LOG = logging.getLogger(__name__)

# Round trips take up to 24 ms between regions.
CHECK_INTERVAL_MS = 10
# After this time the link is taken for cut.
CUT_AFTER_MS = 250
# Targets that may be cut off are checked again this often.
CUT_INTERVAL_MS = 250
# Targets stop by themselves at the deadlines of their requests.
MAX_ENDING_MS = 30_000
# Connections that are kept for their end, unless fewer descriptors are left.
MAX_ENDINGS = 512


class _Ending(asyncio.Protocol):
    """A connection that waits until its end has arrived.

    :param transport: the transport of the connection.
    :param address: IP and port of the peer.
    :param since_ms: when it was ended, in ms of the clock.
    :param on_closed: called when it is closed.
    :param owner: kept until then, as it would close the connection when it is
        collected.

    :ivar transport: the transport of the connection.
    :ivar address: IP and port of the peer.
    :ivar since_ms: when it was ended, in ms of the clock.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        address: tuple[str, int],
        since_ms: int,
        on_closed: abc.Callable[["_Ending"], None],
        owner: object,
    ) -> None:
        self.transport = transport
        self.address = address
        self.since_ms = since_ms
        self._on_closed = on_closed
        self._owner = owner

    def data_received(self, data: bytes) -> None:
        """Discard what the peer sent before it heard of the end."""

    def eof_received(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Close the connection with a reset."""
        connections.reset(self.transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._on_closed(self)


class Endings:
    """Connections to targets that are about to end.

    :param clock: the clock.
    :param on_outcome: called with how an end arrived, for metrics.
    :param max_endings: connections that are kept, beyond which the oldest are
        reset; 0 for :data:`MAX_ENDINGS`.
    """

    __slots__ = (
        "_clock",
        "_on_outcome",
        "_max_endings",
        "_pending",
        "_watcher",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        on_outcome: abc.Callable[[str], None] = lambda outcome: None,
        max_endings: int = 0,
    ) -> None:
        self._clock = clock
        self._max_endings = max_endings
        self._on_outcome = on_outcome
        # In the order of their ends.
        self._pending: dict[_Ending, None] = {}
        self._watcher: asyncio.Task[None] | None = None

    def end(self, transport: asyncio.Transport, owner: object = None) -> None:
        """End a connection so that its peer hears of it.

        :param transport: its transport, which the caller uses no more. It has
            another protocol after the call unless it is closed.
        :param owner: as for :class:`_Ending`.
        """
        is_received = (
            not transport.is_closing()
            and not connections.unreceived_bytes(transport)
            and connections.unacknowledged_segments(transport) == 0
        )
        if not is_received or not connections.send_end(
            transport, MAX_ENDING_MS
        ):
            connections.reset(transport)
            self._on_outcome("reset")
            return
        ending = _Ending(
            transport,
            transport.get_extra_info("peername"),
            self._clock.now_ms(),
            self._forget,
            owner,
        )
        transport.set_protocol(ending)
        transport.resume_reading()
        self._pending[ending] = None
        if len(self._pending) > (self._max_endings or MAX_ENDINGS):
            self._finish(next(iter(self._pending)), "displaced")
        if self._watcher is None or self._watcher.done():
            self._watcher = asyncio.ensure_future(self._watch())

    def _forget(self, ending: _Ending) -> None:
        """Forget a connection that is closed."""
        if ending in self._pending:
            del self._pending[ending]
            self._record(ending, "closed")

    def _finish(self, ending: _Ending, outcome: str) -> None:
        """Reset a connection and forget it."""
        del self._pending[ending]
        self._record(ending, outcome)
        ending.reset()

    def _record(self, ending: _Ending, outcome: str) -> None:
        """Count an end, and log one that took long to arrive."""
        self._on_outcome(outcome)
        after_ms = self._clock.now_ms() - ending.since_ms
        if after_ms >= CUT_AFTER_MS:
            host, port = ending.address
            LOG.info(
                "end of a request was held up",
                extra={
                    "event": "answer.ended",
                    "peer": f"{host}:{port}",
                    "outcome": outcome,
                    "after_ms": after_ms,
                },
            )

    async def _watch(self) -> None:
        """Reset connections whose end has arrived, until none is left."""
        interval_ms = CHECK_INTERVAL_MS
        while self._pending:
            await self._clock.sleep_ms(interval_ms)
            now_ms = self._clock.now_ms()
            for ending in list(self._pending):
                if not connections.is_end_unacknowledged(ending.transport):
                    self._finish(ending, "acknowledged")
                elif now_ms - ending.since_ms > MAX_ENDING_MS:
                    self._finish(ending, "expired")
            held_up = [
                ending
                for ending in self._pending
                if now_ms - ending.since_ms >= CUT_AFTER_MS
            ]
            await self._reset_if_reachable(held_up)
            is_cut = len(held_up) == len(self._pending)
            interval_ms = CUT_INTERVAL_MS if is_cut else CHECK_INTERVAL_MS

    async def _reset_if_reachable(
        self, endings: abc.Iterable[_Ending]
    ) -> None:
        """Reset connections to peers that can be reached.

        The kernel sends an end again after ever longer pauses, up to twice
        as late as a cut is over.
        """
        addresses = {ending.address for ending in endings}
        reachable = dict(
            zip(
                addresses,
                await asyncio.gather(*map(_answers, addresses)),
                strict=True,
            )
        )
        for ending in list(self._pending):
            if reachable.get(ending.address):
                self._finish(ending, "reachable")

    def close(self) -> None:
        """Leave the ends that are still pending to the kernel."""
        if self._watcher is not None:
            self._watcher.cancel()
        for ending in list(self._pending):
            ending.transport.close()


async def _answers(address: tuple[str, int]) -> bool:
    """Return whether an address accepts or refuses connections."""
    loop = asyncio.get_running_loop()
    with connections.make_socket() as sock:
        try:
            async with asyncio.timeout(connections.CONNECT_TIMEOUT_MS / 1000):
                await loop.sock_connect(sock, address)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
    return True
