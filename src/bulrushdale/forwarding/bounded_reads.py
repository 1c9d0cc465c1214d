"""Reads of a limited size.

Event loops let a protocol decide how much is read at a time only if it is an
:class:`asyncio.BufferedProtocol`, and uvloop only if it isn't an
:class:`asyncio.Protocol`, as those of aiohttp are. Both otherwise read up to
256 KB.
"""

import asyncio
import typing


class Reading(typing.Protocol):
    """A protocol that decides how much is read."""

    def get_buffer(self, sizehint: int) -> memoryview: ...

    def buffer_updated(self, nbytes: int) -> None: ...

    def eof_received(self) -> bool | None: ...

    def connection_lost(self, exc: BaseException | None) -> None: ...

    def pause_writing(self) -> None: ...

    def resume_writing(self) -> None: ...


class _Adapter(asyncio.BufferedProtocol):
    """Passes everything on to a protocol."""

    __slots__ = ("_protocol",)

    def __init__(self, protocol: Reading) -> None:
        self._protocol = protocol

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._protocol.get_buffer(sizehint)

    def buffer_updated(self, nbytes: int) -> None:
        self._protocol.buffer_updated(nbytes)

    def eof_received(self) -> bool | None:
        return self._protocol.eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        self._protocol.connection_lost(exc)

    def pause_writing(self) -> None:
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        self._protocol.resume_writing()


def bound(transport: asyncio.Transport, protocol: Reading) -> None:
    """Let a protocol decide how much is read at a time.

    :param transport: the protocol's transport, of which nothing was read.
    :param protocol: the protocol.
    """
    transport.set_protocol(_Adapter(protocol))
