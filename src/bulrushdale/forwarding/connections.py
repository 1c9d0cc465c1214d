"""HTTP connections to targets, the store and other routers."""

import functools
import logging
import socket
import struct
import typing

import aiohttp
from aiohttp import client_proto

LOG = logging.getLogger(__name__)

# A SYN is answered within a round trip, under 30 ms between regions; a lost
# one is sent again after a second, when another target is the better choice.
CONNECT_TIMEOUT_MS = 200
# Unacknowledged data for so long means that the path is gone; links that
# lose packets recover within a few hundred ms.
TCP_USER_TIMEOUT_MS = 2_000
# A silent peer is found after the idle time and the probes.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Connections that were idle for longer aren't used again. Targets close idle
# ones after some seconds, and may do so while a request is on its way.
IDLE_LIMIT_MS = 2_000
# For requests that may not be repeated, an idle connection must be this
# young: a reset after sending would leave it unknown whether they ran.
AT_MOST_ONCE_IDLE_LIMIT_MS = 500
# Linger for no time: unsent data is dropped and the peer gets a reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_HEAD_END = b"\r\n\r\n"
# Most of an answer to another request that is read to get to the next one;
# above that a new connection costs less than the rest.
MAX_STRAY_BYTES = 1 << 20
# Routes with long prompts name their parts in one header.
MAX_FIELD_BYTES = 65_536


def set_socket_options(sock: socket.socket) -> None:
    """Make a socket notice a peer that is gone."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


def _make_socket(address: typing.Any) -> socket.socket:
    family, kind, proto, _, _ = address
    sock = socket.socket(family, kind, proto)
    sock.setblocking(False)
    set_socket_options(sock)
    return sock


class _Protocol(client_proto.ResponseHandler):
    """Reads answers from a connection that may hold more than it should.

    :ivar id_header: the header by which a target names the request.
    :ivar expected_id: the request that is waited for; none for any.
    :ivar awaiting_head: whether the head of its answer is still to come.
    """

    id_header = ""
    expected_id: str | None = None
    awaiting_head = False

    def data_received(self, data: bytes) -> None:
        """Parse an answer's head before what follows it.

        The parser gives nothing back of a read in which it finds an error,
        so bytes that are no answer would take the one before with them.
        """
        end = data.find(_HEAD_END) if self.awaiting_head else -1
        if end < 0:
            super().data_received(data)
            return
        end += len(_HEAD_END)
        super().data_received(data[:end])
        if len(data) > end:
            super().data_received(data[end:])

    async def read(self) -> tuple[typing.Any, typing.Any]:
        """Return the next answer that isn't to another request.

        A target may send a second answer to an earlier request, which then
        stands where the next answer is expected.
        """
        self.awaiting_head = True
        while True:
            message, payload = await super().read()
            response_id = message.headers.get(self.id_header)
            if response_id is None or self.expected_id in (None, response_id):
                self.awaiting_head = False
                return message, payload
            LOG.warning(
                "answer to another request dropped",
                extra={
                    "event": "answer.stray",
                    "request_id": self.expected_id,
                    "found": response_id,
                    "status": message.code,
                },
            )
            await self._discard_body(payload)

    async def _discard_body(self, payload: aiohttp.StreamReader) -> None:
        """Read a body that nobody waits for, unless it has no end."""
        size_bytes = 0
        while not payload.at_eof():
            size_bytes += len(await payload.readany())
            if size_bytes > MAX_STRAY_BYTES:
                self.close()
                raise aiohttp.ClientPayloadError(
                    f"a stray answer has over {MAX_STRAY_BYTES} bytes"
                )

    def close(self) -> None:
        """Close the connection, and abort a request without a response yet.

        After an orderly end the kernel would go on sending the request, and a
        link that was cut would deliver it when it is back, long after another
        target has answered it.
        """
        transport = self.transport
        if transport is not None and (self.awaiting_head or self.should_close):
            sock = transport.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
        super().close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer without a length whose connection was reset.

        aiohttp takes any end of the connection for the end of such an
        answer.
        """
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(f"connection lost: {exc}")
            )
        super().connection_lost(exc)


async def read_bounded(
    response: aiohttp.ClientResponse, max_bytes: int
) -> bytes:
    """Return an answer's body.

    :param response: the answer.
    :param max_bytes: the largest body that is read.
    :raises ClientPayloadError: if it is larger; its connection is closed.
    """
    body = bytearray()
    async for data in response.content.iter_any():
        body += data
        if len(body) > max_bytes:
            response.close()
            raise aiohttp.ClientPayloadError(
                f"the body has over {max_bytes} bytes"
            )
    return bytes(body)


def make_response_class(id_header: str) -> type[aiohttp.ClientResponse]:
    """Return a response class that waits for the answer to its request.

    :param id_header: the header by which a target names the request.
    """

    class Response(aiohttp.ClientResponse):
        async def start(
            self, connection: typing.Any
        ) -> aiohttp.ClientResponse:
            protocol = connection.protocol
            protocol.id_header = id_header
            protocol.expected_id = self.request_info.headers.get(id_header)
            return await super().start(connection)

    return Response


def open_session(
    idle_limit_ms: int = IDLE_LIMIT_MS,
    response_class: type[aiohttp.ClientResponse] = aiohttp.ClientResponse,
) -> aiohttp.ClientSession:
    """Return a session that sends each request once.

    :param idle_limit_ms: how long a connection may be idle, in ms.
    :param response_class: class of the responses.
    """
    connector = aiohttp.TCPConnector(
        limit=0,
        keepalive_timeout=idle_limit_ms / 1000,
        socket_factory=_make_socket,
    )
    connector._factory = functools.partial(  # type: ignore[assignment]
        _Protocol, loop=connector._loop
    )
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        response_class=response_class,
        max_line_size=MAX_FIELD_BYTES,
        max_field_size=MAX_FIELD_BYTES,
        skip_auto_headers=(
            "User-Agent",
            "Accept",
            "Accept-Encoding",
            "Content-Type",
        ),
    )
    # aiohttp would send GETs again by itself when a connection is lost.
    session._retry_connection = False
    return session
