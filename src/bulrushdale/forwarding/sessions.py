"""HTTP client sessions for targets, the store and other routers."""

import asyncio
from collections import abc
import contextvars
import dataclasses
import enum
import functools
import logging
import re
import socket
import typing

import aiohttp
from aiohttp import client_proto
from aiohttp import connector as aiohttp_connector

from bulrushdale.forwarding import carried_requests
from bulrushdale.forwarding import connections

LOG = logging.getLogger(__name__)

# Connections idle for longer aren't reused. Targets close idle connections
# after some seconds, possibly while a request is in transit.
IDLE_LIMIT_MS = 2_000
# Shorter limit for requests that must not be repeated: after a reset it would
# be unknown whether they ran.
AT_MOST_ONCE_IDLE_LIMIT_MS = 500
_HEAD_END = b"\r\n\r\n"
# Stray responses up to this size are read and discarded to keep the
# connection. For larger ones a new connection costs less.
MAX_STRAY_BYTES = 1 << 20
# So are this many for one request. Usual targets send one late response.
MAX_STRAY_RESPONSES = 8
# The head of a response begins within another one that was cut off.
_STATUS_LINE = re.compile(r"HTTP/1\.[01] \d{3}")
# A response that isn't read pauses its connection beyond twice this.
READ_BUFFER_BYTES = 16 << 10
# Routes with long prompts list all prompt parts in one header field.
MAX_FIELD_BYTES = 65_536


def _make_socket(address: typing.Any) -> socket.socket:
    family, kind, proto, _, _ = address
    return connections.make_socket(family, kind, proto)


# Ends a connection whose response isn't awaited any more.
End = abc.Callable[[asyncio.Transport], None]


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionUse:
    """The connection that a response came on.

    :param address: IP and port of this router's end.
    :param carried: number of requests that it had carried before.
    """

    address: str
    carried: int


class _Unusable(enum.Enum):
    """Why an idle connection doesn't carry a request."""

    # It carried the request before, or nothing tells their responses apart.
    AMBIGUOUS = "ambiguous"
    # It has carried as many requests as are remembered.
    FULL = "full"
    # Bytes have arrived on it that belong to no request.
    UNASKED = "unasked"


# What connections read into, one after the other. The event loop would read up
# to 256 KB at a time, also of a response that its caller doesn't read.
_read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))


class _Protocol(client_proto.ResponseHandler):
    """Reads responses, and discards those to other requests.

    :param loop: the event loop.
    :param end: ends the connection if its response isn't awaited any more.
        Either closes the transport, or gives it another protocol.
    :param id_header: name of the header that carries the request id; empty if
        requests have no ids.

    :ivar expected_id: id of the current request; none accepts any response.
    :ivar carried: the requests that the connection has carried.
    :ivar awaiting_head: whether the response head is still to come.
    :ivar unidentified: whether the last response may belong to an earlier
        request: it has no id, and the connection was in use before.
    """

    expected_id: str | None = None
    awaiting_head = False
    unidentified = False

    def __init__(
        self, loop: asyncio.AbstractEventLoop, end: End, id_header: str
    ) -> None:
        super().__init__(loop)
        self.carried = carried_requests.CarriedRequests()
        self._end = end
        self._id_header = id_header

    def begin(self, request: aiohttp.RequestInfo) -> ConnectionUse:
        """Expect the response to a request that has been sent.

        :param request: the request.
        """
        self.expected_id = request.headers.get(self._id_header)
        use = ConnectionUse(self.address, self.carried.count)
        self.carried.add(carried_requests.request_key(self.expected_id))
        return use

    def unusable_reason(self, request_key: int | None) -> _Unusable | None:
        """Return why a request doesn't use this idle connection.

        :param request_key: the request's key.
        :return: the reason; none if it may use it.
        """
        if self.should_close:
            return _Unusable.UNASKED
        if not self._id_header:
            return None
        if self.carried.full:
            return _Unusable.FULL
        if not self.carried.allows(request_key):
            return _Unusable.AMBIGUOUS
        return None

    @property
    def address(self) -> str:
        """IP and port of this router's end; empty once it has ended."""
        transport = self.transport
        if transport is None:
            return ""
        return connections.format_address(transport.get_extra_info("sockname"))

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return a buffer for what is read at a time."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the data in the buffer."""
        self.data_received(bytes(_read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse a response head separately from the bytes that follow it.

        The parser returns nothing from data in which it finds an error.
        Without the split, invalid bytes after a valid head would lose the
        head as well.

        A connection on which data arrives that nobody asked for isn't reused.
        """
        if data and self._has_whole_response:
            self.force_close()
        end = data.find(_HEAD_END) if self.awaiting_head else -1
        if end < 0:
            super().data_received(data)
            return
        end += len(_HEAD_END)
        super().data_received(data[:end])
        if len(data) > end:
            super().data_received(data[end:])

    async def read(self) -> tuple[typing.Any, typing.Any]:
        """Return the next response with the expected request id or without.

        A target may send a second response to an earlier request, which then
        arrives in place of the expected response. If it sends only the
        beginning of one, the head of the expected response continues it.

        :raises ClientPayloadError: if there are too many others, the
            beginning of one, or a status that no response has; the connection
            is closed.
        """
        self.awaiting_head = True
        for _ in range(1 + MAX_STRAY_RESPONSES):
            message, payload = await super().read()
            if not _is_valid_status(message.code):
                self.close()
                raise aiohttp.ClientPayloadError(
                    f"the status {message.code} is invalid"
                )
            if self.carried.count > 1 and _is_mixed(message):
                self.close()
                raise aiohttp.ClientPayloadError(
                    "a response begins within the head of another one"
                )
            response_id = message.headers.get(self._id_header)
            if response_id is None or self.expected_id in (None, response_id):
                self.awaiting_head = False
                is_named = not self._id_header or response_id is not None
                self.unidentified = not is_named and self.carried.count > 1
                if not is_named and not _is_informational(message.code):
                    # Nothing would tell the next response from a copy of this
                    # one, and the response to this request may still come.
                    self.force_close()
                return message, payload
            LOG.warning(
                "discarded a response to another request",
                extra={
                    "event": "answer.stray",
                    "request_id": self.expected_id,
                    "found": response_id,
                    "status": message.code,
                    "connection": self.address,
                    "carried": self.carried.count,
                },
            )
            await self._discard_body(payload)
        self.close()
        raise aiohttp.ClientPayloadError(
            f"over {MAX_STRAY_RESPONSES} responses to other requests"
        )

    async def _discard_body(self, payload: aiohttp.StreamReader) -> None:
        """Read and discard the body of a stray response.

        :raises ClientPayloadError: if it is too large; the connection is
            closed.
        """
        size_bytes = 0
        while not payload.at_eof():
            size_bytes += len(await payload.readany())
            if size_bytes > MAX_STRAY_BYTES:
                self.close()
                raise aiohttp.ClientPayloadError(
                    f"a stray response has over {MAX_STRAY_BYTES} bytes"
                )

    def close(self) -> None:
        """Close the connection; end a request that is still under way.

        After an orderly close the kernel keeps sending the request. A link
        that was down would deliver it when it recovers, long after another
        target has responded.
        """
        transport = self.transport
        if transport is None or (
            self._has_whole_response and not transport.get_write_buffer_size()
        ):
            super().close()
            return
        self._log_abandoned(transport)
        self._end(transport)
        if transport.get_protocol() is not self:
            self._loop.call_soon(self.connection_lost, None)
        self._exception = None
        self._payload = None
        self.transport = None
        self._drop_timeout()

    @property
    def _has_whole_response(self) -> bool:
        """Whether the last response has been received, and none is awaited."""
        payload = self._payload
        return not self.awaiting_head and (payload is None or payload.is_eof())

    def _log_abandoned(self, transport: asyncio.Transport) -> None:
        if not self._id_header:
            return
        LOG.info(
            "connection closed before the end of a request",
            extra={
                "event": "answer.abandoned",
                "request_id": self.expected_id,
                "peer": connections.format_address(
                    transport.get_extra_info("peername")
                ),
                "unsent_bytes": transport.get_write_buffer_size(),
                "unacknowledged": connections.unacknowledged_segments(
                    transport
                ),
            },
        )

    def eof_received(self) -> None:
        """Fail a response without a length that ends before its request.

        Its target closed the connection, or its sending side, without having
        received the request, so the response is none to all of it. A response
        whose end is marked is complete by then, or fails anyway. The end that
        a target sends after it has received the request acknowledges that.
        """
        payload = self._payload
        transport = self.transport
        if (
            transport is not None
            and payload is not None
            and not payload.is_eof()
            and connections.unreceived_bytes(transport)
        ):
            payload.set_exception(
                aiohttp.ClientPayloadError(
                    "the response ended before the request had arrived"
                )
            )
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a response without a length if its connection was reset.

        aiohttp treats any end of the connection as the end of such a
        response.
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
    """Return the body of a response, up to a maximum size.

    :param response: the response.
    :param max_bytes: maximum size of the body, in bytes.
    :raises ClientPayloadError: if the body is larger; the connection is
        closed.
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


def _is_mixed(message: typing.Any) -> bool:
    """Return whether a head consists of parts of two heads.

    The status is that of the first one, which was cut off. The request id may
    be that of the second one.
    """
    texts = [message.reason or "", *message.headers.values()]
    return any(_STATUS_LINE.search(text) for text in texts)


def _is_valid_status(status: int) -> bool:
    """Return whether a response may have a status.

    Nobody asks for another protocol, so 101 answers no request.
    """
    return 100 <= status <= 599 and status != 101


def _is_informational(status: int) -> bool:
    return 100 <= status < 200


class Response(aiohttp.ClientResponse):
    """A response that tells its connection which request it waits for."""

    #: Whether it may belong to an earlier request on its connection.
    unidentified = False
    #: The connection that it came on.
    use: ConnectionUse | None = None

    async def start(self, connection: typing.Any) -> aiohttp.ClientResponse:
        protocol = connection.protocol
        self.use = protocol.begin(self.request_info)
        await super().start(connection)
        self.unidentified = protocol.unidentified
        return self


class Connector(aiohttp.TCPConnector):
    """Keeps connections that take no other response for the awaited one.

    :param end: ends a connection whose response isn't awaited any more.
    :param id_header: name of the header that carries the request id; empty if
        requests have no ids.
    :param on_use: called with how a request got its connection, for metrics.
    :param options: as for :class:`aiohttp.TCPConnector`.
    """

    def __init__(
        self,
        end: End = connections.reset,
        id_header: str = "",
        on_use: abc.Callable[[str], None] = lambda outcome: None,
        **options: typing.Any,
    ) -> None:
        super().__init__(limit=0, **options)
        self._factory = functools.partial(  # type: ignore[assignment]
            _Protocol, loop=self._loop, end=end, id_header=id_header
        )
        self._id_header = id_header
        self._on_use = on_use
        # aiohttp passes only the peer of the request on to the pool.
        self._request: contextvars.ContextVar[aiohttp.ClientRequest] = (
            contextvars.ContextVar("request")
        )

    async def connect(
        self,
        req: typing.Any,
        traces: list[typing.Any],
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp_connector.Connection:
        """Return an idle connection to the target of a request, or a new one.

        :param req: the request.
        """
        self._request.set(req)
        connection = await super().connect(req, traces, timeout)
        protocol = typing.cast(_Protocol, connection.protocol)
        self._on_use("reused" if protocol.carried.count else "opened")
        return connection

    async def _get(
        self, key: typing.Any, traces: list[typing.Any]
    ) -> aiohttp_connector.Connection | None:
        """Return an idle connection that may carry the current request.

        :param key: the peer that it is connected to.
        :return: the connection; none if there is none.
        """
        idle = self._conns.get(key)
        if not idle:
            return await super()._get(key, traces)
        request_id = self._request.get().headers.get(self._id_header)
        request_key = carried_requests.request_key(request_id)
        passed_over = []
        for entry in list(idle):
            protocol = typing.cast(_Protocol, entry[0])
            reason = protocol.unusable_reason(request_key)
            if reason is _Unusable.AMBIGUOUS:
                idle.remove(entry)
                passed_over.append(entry)
            elif reason is not None:
                self._pass_over(protocol, request_id, reason)
                protocol.close()
        if passed_over:
            first = typing.cast(_Protocol, passed_over[0][0])
            self._pass_over(first, request_id, _Unusable.AMBIGUOUS)
        # Nothing is awaited in between, as there are no traces.
        connection = await super()._get(key, traces)
        if passed_over:
            self._conns[key].extendleft(reversed(passed_over))
        return connection

    def _pass_over(
        self, protocol: _Protocol, request_id: str | None, reason: _Unusable
    ) -> None:
        """Log and count that a request doesn't use an idle connection."""
        self._on_use(reason.value)
        LOG.info(
            "idle connection not reused",
            extra={
                "event": "answer.other_connection",
                "request_id": request_id,
                "connection": protocol.address,
                "carried": protocol.carried.count,
                "reason": reason.value,
            },
        )


def open_session(
    idle_limit_ms: int = IDLE_LIMIT_MS,
    connector: Connector | None = None,
    end: End = connections.reset,
    id_header: str = "",
    on_use: abc.Callable[[str], None] = lambda outcome: None,
) -> aiohttp.ClientSession:
    """Return an HTTP client session that sends each request once.

    :param idle_limit_ms: how long a connection may be idle before it is not
        reused any more, in ms.
    :param connector: opens the connections; none to open them directly.
    :param end: as for :class:`Connector`, unless there is a connector.
    :param id_header: as for :class:`Connector`, unless there is a connector.
    :param on_use: as for :class:`Connector`, unless there is a connector.
    """
    if connector is None:
        connector = Connector(
            end,
            id_header,
            on_use,
            keepalive_timeout=idle_limit_ms / 1000,
            socket_factory=_make_socket,
        )
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        response_class=Response,
        read_bufsize=READ_BUFFER_BYTES,
        max_line_size=MAX_FIELD_BYTES,
        max_field_size=MAX_FIELD_BYTES,
        skip_auto_headers=(
            "User-Agent",
            "Accept",
            "Accept-Encoding",
            "Content-Type",
        ),
    )
    return disable_resend(session)


def disable_resend(session: aiohttp.ClientSession) -> aiohttp.ClientSession:
    """Let a session send each request once.

    By default aiohttp sends requests of idempotent methods again when their
    connection is lost, also on a new connection.

    :param session: the session.
    :return: the same session.
    """
    session._retry_connection = False
    return session
