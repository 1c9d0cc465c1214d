"""Stand-in for a target whose responses a script writes byte by byte."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import re
import socket
import struct

# SO_LINGER with a zero timeout: closing resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True)
class ReceivedRequest:
    """A request as it arrived.

    :param line: the request line.
    :param headers: header values by name in lower case.
    :param body: the complete body.
    """

    line: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        return self.headers.get("x-request-id", "")


Script = abc.Callable[
    [ReceivedRequest, asyncio.StreamWriter], abc.Awaitable[bool | None]
]


def response(
    request: ReceivedRequest,
    status: str = "200 OK",
    body: bytes = b"ok",
    **extra: str,
) -> bytes:
    """Return a sealed response with a ``Content-Length``."""
    headers = {
        "X-Request-Id": request.request_id,
        "X-Server-Seal": "seal",
        "Content-Length": str(len(body)),
        **{name.replace("_", "-"): value for name, value in extra.items()},
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status}\r\n{lines}\r\n".encode() + body


def without_id(response_bytes: bytes) -> bytes:
    """Return a response without the header that names its request."""
    return re.sub(rb"X-Request-Id: [^\r]*\r\n", b"", response_bytes, count=1)


def stream_head(request: ReceivedRequest) -> bytes:
    """Return the sealed response head of a chunked event stream."""
    return (
        "HTTP/1.1 200 OK\r\n"
        f"X-Request-Id: {request.request_id}\r\n"
        "X-Server-Seal: seal\r\n"
        "Content-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


def chunk(data: bytes) -> bytes:
    """Return one chunk; an empty one ends the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(number: int) -> bytes:
    """Return a server-sent event."""
    return b"id: %d\ndata: %d\n\n" % (number, number)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset a connection; what was not sent yet is lost."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()


class ScriptedTarget:
    """Serve requests in sequence on each connection.

    :ivar script: responds to a request; the connection is closed if it
        returns ``False``.
    :ivar received: all requests so far.
    :ivar connections: number of connections that were opened.
    :ivar closed: ids of the requests whose connection the caller closed
        before the script returned.
    """

    def __init__(self, script: Script) -> None:
        self.script = script
        self.received: list[ReceivedRequest] = []
        self.closed: list[str] = []
        self.connections = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(
        self, host: str = "127.0.0.1", port: int = 0, backlog: int = 100
    ) -> None:
        """Listen on a port, or on a free one."""
        self._server = await asyncio.start_server(
            self._serve, host, port, backlog=backlog
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def crash(self) -> None:
        """Stop listening and reset all connections."""
        await self.stop()
        for writer in self._writers:
            reset_connection(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self.connections += 1
        try:
            await self._serve_connection(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection until the caller or the script closes it.

        Callers must not send anything while a request runs; it would count as
        closing the connection.
        """
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                request = await _read_request(reader)
                self.received.append(request)
                response_task = asyncio.ensure_future(
                    self.script(request, writer)
                )
                close_task = asyncio.ensure_future(reader.read(1))
                await asyncio.wait(
                    {response_task, close_task},
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not response_task.done():
                    response_task.cancel()
                    self.closed.append(request.request_id)
                    break
                close_task.cancel()
                # If the connection was reset, both tasks failed.
                await asyncio.wait({close_task})
                if not close_task.cancelled():
                    close_task.exception()
                if response_task.result() is False:
                    break
                await writer.drain()
        writer.close()


async def _read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    line, *fields = head.strip().split("\r\n")
    headers = {}
    for field in fields:
        name, _, value = field.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return ReceivedRequest(line, headers, body)
