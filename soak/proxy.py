"""TCP proxy on loopback that injects network faults."""

import asyncio
import contextlib
import ctypes
import enum
import socket
import struct

CHUNK_BYTES = 65_536
# Linux: a packet filter of a socket, and its removal. The filter is a single
# instruction that accepts 0 bytes of each packet.
_SO_ATTACH_FILTER = 26
_SO_DETACH_FILTER = 27
_RETURN_ZERO = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, 0))
# Linux: state of a connection that was reset.
_TCP_CLOSE = 7
_DROP_ALL = struct.pack("HP", 1, ctypes.addressof(_RETURN_ZERO))


class Mode(enum.Enum):
    """What the proxy does with its connections.

    ``PASS`` forwards at once, ``DELAY`` after 0.1 s. ``STALL`` holds all data,
    ``STALL_REPLIES`` only what the upstream address sends. ``REFUSE`` resets
    new connections. ``CUT`` drops all packets: a reset is lost, an end or data
    is sent again by its kernel, and new connections open only after the cut.
    """

    PASS = "pass"
    DELAY = "delay"
    STALL = "stall"
    STALL_REPLIES = "stall_replies"
    REFUSE = "refuse"
    CUT = "cut"


class Proxy:
    """Forward connections to one address, as the current mode says.

    :param upstream: IP and port of that address.

    :ivar mode: what it does now, also with open connections.
    :ivar address: IP and port on which it listens.
    """

    def __init__(self, upstream: str) -> None:
        self._upstream = upstream
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._downstream: set[asyncio.StreamWriter] = set()
        self._mode = Mode.PASS
        self.address = ""

    @property
    def mode(self) -> Mode:
        return self._mode

    @mode.setter
    def mode(self, mode: Mode) -> None:
        self._mode = mode
        sockets = [w.get_extra_info("socket") for w in self._downstream]
        if self._server is not None:
            sockets += self._server.sockets
        for sock in sockets:
            if sock is not None and sock.fileno() >= 0:
                _set_drops_packets(sock, mode is Mode.CUT)

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Stop listening, and end all connections."""
        self.mode = Mode.PASS
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            _reset(writer)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward a new connection, or reset it."""
        if self.mode is Mode.REFUSE:
            _reset(writer)
            return
        host, _, port = self._upstream.rpartition(":")
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            _reset(writer)
            return
        self._writers |= {writer, upstream_writer}
        self._downstream.add(writer)
        if self.mode is Mode.CUT:
            _set_drops_packets(writer.get_extra_info("socket"), True)
        await asyncio.gather(
            self._forward(reader, upstream_writer, is_reply=False),
            self._forward(upstream_reader, writer, is_reply=True),
        )
        self._writers -= {writer, upstream_writer}
        self._downstream.discard(writer)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_reply: bool,
    ) -> None:
        """Forward one direction of a connection until it ends.

        :param reader: stream from the sender.
        :param writer: stream to the receiver.
        :param is_reply: whether the data comes from the upstream address.
        """
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await self._apply_mode(is_reply)
                if self._is_reset(reader):
                    # The sender reset its connection during the stall. A real
                    # network would have lost the held data, so drop it.
                    break
                writer.write(data)
                await writer.drain()
        while is_reply and self.mode is Mode.CUT:  # noqa: ASYNC110
            await asyncio.sleep(0.05)
        writer.close()

    def _is_reset(self, reader: asyncio.StreamReader) -> bool:
        """Return whether the sender has reset its connection.

        After an orderly end asyncio reads no more, and only the kernel knows.
        """
        if isinstance(reader.exception(), ConnectionResetError):
            return True
        sock = reader._transport.get_extra_info("socket")  # type: ignore
        if sock is None or sock.fileno() < 0:
            return True
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        return bool(state == _TCP_CLOSE)

    async def _apply_mode(self, is_reply: bool) -> None:
        """Delay data, or hold it until a stall ends."""
        if self.mode is Mode.DELAY:
            await asyncio.sleep(0.1)
        # The proxy's kernel acknowledged this data before the cut.
        while self.mode is Mode.STALL or (  # noqa: ASYNC110
            is_reply and self.mode in (Mode.STALL_REPLIES, Mode.CUT)
        ):
            await asyncio.sleep(0.05)


def _set_drops_packets(sock: socket.socket, drops: bool) -> None:
    """Let a socket drop all packets that arrive, or none."""
    if drops:
        sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, _DROP_ALL)
    else:
        with contextlib.suppress(FileNotFoundError):
            sock.setsockopt(
                socket.SOL_SOCKET, _SO_DETACH_FILTER, struct.pack("i", 0)
            )


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset instead of a FIN."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
