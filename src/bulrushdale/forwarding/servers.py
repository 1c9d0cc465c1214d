"""HTTP servers of a router."""

import asyncio
from collections import abc
import socket
import time
import typing

from aiohttp import web
from aiohttp import web_protocol

from bulrushdale.forwarding import bounded_reads
from bulrushdale.forwarding import connection_memory
from bulrushdale.forwarding import connections
from bulrushdale.forwarding import memory_account
from bulrushdale.forwarding import ports
from bulrushdale.forwarding import sessions
from bulrushdale.routing import read_turns

# Callers reuse connections that were idle for up to 12 s. An open connection
# costs little; closing one early costs its caller an attempt.
CALLER_KEEPALIVE_S = 75
Handler = abc.Callable[[web.BaseRequest], abc.Awaitable[web.StreamResponse]]


# The settings of a process without a limit on its descriptors.
UNLIMITED = 0
# An incomplete head with more bytes ends its connection. Heads have up to
# 16 KB, and one field of MAX_FIELD_BYTES on routes with long prompts.
MAX_HEAD_BYTES = 256 << 10
# What a connection's parser keeps before it pauses its transport is twice
# this. A caller's body is read as soon as there is room for it.
READ_BUFFER_BYTES = 32 << 10
# How much a connection may read while there is no room for more: enough for
# the head and the body of an ordinary request.
_FULL_READ_BYTES = 2 << 10
# A connection with a larger head is closed after it if memory is short.
_LARGE_HEAD_BYTES = 16 << 10


# Requests that are parsed ahead of the one in progress. Their heads take
# memory before anything decides on them.
web_protocol.MAX_MSG_QUEUE_SIZE = 2


class Connection(web.RequestHandler):
    """A connection of a caller.

    :param server: its server.
    :param holder: what its request holds.
    :param options: as for :class:`aiohttp.web.RequestHandler`.

    :ivar server: the same server.
    :ivar holder: the same holder.
    :ivar head_since_s: when an incomplete head began, in s of the event
        loop's clock; 0 if there is none.
    :ivar waits_for_room: whether it reads nothing until memory is released.
    :ivar discards_since_s: when it began to discard the rest of a refused
        body, in s of that clock; 0 if it doesn't.
    """

    __slots__ = (
        "server",
        "holder",
        "head_since_s",
        "waits_for_room",
        "discards_since_s",
        "_usage",
        "_unclosed",
        "_head_bytes",
        "_reader",
        "_waits_for_turn",
        "_resumes_at_turn",
    )

    def __init__(
        self,
        server: "Server",
        holder: memory_account.Holder,
        **options: typing.Any,
    ) -> None:
        super().__init__(server, **options)
        self.server = server
        self.holder = holder
        self.head_since_s = 0.0
        self.waits_for_room = False
        self.discards_since_s = 0.0
        self._usage = connection_memory.Usage()
        # aiohttp forgets a transport that it closes, though the transport
        # closes only when the kernel has taken what was written to it.
        self._unclosed: asyncio.Transport | None = None
        self._head_bytes = 0
        self._reader = read_turns.Reader()
        self._waits_for_turn = False
        self._resumes_at_turn = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._unclosed = typing.cast(asyncio.Transport, transport)
        bounded_reads.bound(self._unclosed, self)
        super().connection_made(transport)
        self._count()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return a buffer for what this connection may have read now."""
        read_bytes = self.server.turns.read_bytes(self._reader)
        if self.server.account.is_full:
            read_bytes = min(read_bytes, _FULL_READ_BYTES)
        return self.server.buffer[:read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the data in the buffer."""
        self.data_received(bytes(self.server.buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse data, and let the connection wait if that takes long."""
        start_ns = time.perf_counter_ns()
        head_bytes = len(data) if self._usage.awaits_head else 0
        request_count = self._request_count
        super().data_received(data)
        cost_us = (time.perf_counter_ns() - start_ns) / 1000
        self._watch_head(data)
        self._record_data(self._request_count - request_count, head_bytes)
        if self.server.turns.record(self._reader, len(data), cost_us):
            self._wait_for_turn()
        self.server.prepare_pass()

    def _record_data(self, new_requests: int, head_bytes: int) -> None:
        """Count what has arrived, and read no more while there is no room.

        :param new_requests: how many heads were completed.
        :param head_bytes: size of the data if it belongs to a head, which
            isn't complete unless a request is new.
        """
        if new_requests:
            arrived = list(self._messages)[-new_requests:]
            for message, body in arrived:
                fields = getattr(message, "raw_headers", ())
                self._usage.begin(fields, body, getattr(message, "path", ""))
        elif head_bytes:
            self._usage.record_partial_head(head_bytes)
        self._count()
        if self.server.account.is_full and self._usage.awaits_data:
            self._wait_for_room()

    def _count(self) -> None:
        """Count what this connection takes now."""
        size_bytes = self._usage.bytes
        if self.transport is not None:
            size_bytes += connection_memory.CONNECTION_BYTES
        self.holder.count_connection(size_bytes)

    def _wait_for_room(self) -> None:
        if not self.waits_for_room and self.transport is not None:
            self.waits_for_room = True
            self._pause_transport_reading()
            self.server.account.wait_to_read(self, self._take_room)

    def _take_room(self) -> None:
        """Read on, as far as flow control and turns allow."""
        self.waits_for_room = False
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    async def _handle_request(
        self, *args: typing.Any, **options: typing.Any
    ) -> tuple[web.StreamResponse, bool]:
        """Handle a request, and count it until its body has arrived."""
        self._end_discarded()
        request = args[0]
        try:
            response, reset = await super()._handle_request(*args, **options)
            # aiohttp keeps both until the next request begins.
            request._read_bytes = None
            if isinstance(response, web.Response):
                response.body = None
            return response, reset
        finally:
            if request.content.is_eof() or self.transport is None:
                self._usage.end()
                self._count()
                self._close_if_large()
            else:
                self.discards_since_s = self._loop.time()

    def _close_if_large(self) -> None:
        """Close an idle connection whose last head takes much, if needed.

        It isn't closed if more may have arrived, as that would reset it, and
        its caller might lose the response.
        """
        if (
            self._usage.last_head_bytes > _LARGE_HEAD_BYTES
            and self.server.account.is_half_full
            and not self._messages
            and not self._usage.awaits_data
            and not self._waits_for_turn
            and not self.waits_for_room
            and not self._buffer_paused
        ):
            self.close()

    def _end_discarded(self) -> None:
        """Record that the body before has been discarded."""
        if self.discards_since_s:
            self.discards_since_s = 0.0
            self._usage.end()

    def _wait_for_turn(self) -> None:
        if not self._waits_for_turn and self.transport is not None:
            self._waits_for_turn = True
            self._pause_transport_reading()
            self.server.turns.wait(self._reader, self._take_turn)
            self.server.prepare_pass()

    def _take_turn(self) -> None:
        """Read on, as far as flow control allows."""
        self._waits_for_turn = False
        if self._resumes_at_turn:
            self._resumes_at_turn = False
            super().resume_reading()
        elif not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Read on after a pause, once it is this connection's turn.

        aiohttp calls this for each chunk that is taken from a body, also
        while nothing is paused, and would run the parser each time.
        """
        self._count()
        if not self._reading_paused:
            return
        if resume_parser and self.server.turns.is_used_up:
            self._wait_for_turn()
        if resume_parser and self._waits_for_turn:
            self._resumes_at_turn = True
        else:
            super().resume_reading(resume_parser)

    def _resume_transport_reading(self) -> None:
        if not self._waits_for_turn and not self.waits_for_room:
            super()._resume_transport_reading()

    def connection_lost(self, exc: BaseException | None) -> None:
        self._unclosed = None
        self.server.turns.leave(self._reader)
        self.server.account.leave(self)
        super().connection_lost(exc)
        self._usage.clear(keep_first=self._request_in_progress)
        self._count()

    def _watch_head(self, data: bytes) -> None:
        """Watch how much of an incomplete head has arrived."""
        waiter = self._waiter
        if waiter is None or waiter.done():
            self.head_since_s = 0.0
            self._head_bytes = 0
        elif data and (self.head_since_s or not data.isspace()):
            # Some callers end a body with a line break too many.
            self.head_since_s = self.head_since_s or self._loop.time()
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES:
                self.force_close()

    @property
    def awaits_request(self) -> bool:
        """Whether no request is in progress or waits to be handled."""
        waiter = self._waiter
        return waiter is not None and not waiter.done()

    @property
    def unused(self) -> bool:
        """Whether no request has arrived yet."""
        return not self._request_count

    @property
    def discards_body(self) -> bool:
        """Whether its request was refused before all of it has arrived."""
        return (
            not self._request_in_progress
            and not self._messages
            and not self.awaits_request
        )

    @property
    def idle_since_s(self) -> float:
        """When it was opened or its last request ended, on that clock."""
        return self._next_keepalive_close_time - self._keepalive_timeout

    def unread_bytes(self) -> int:
        """Return the bytes of a request that wait to be read by it."""
        request = self._current_request
        return connection_memory.unread_bytes(request and request.content)

    def request_bytes(self) -> int:
        """Return what its requests take beside bodies that are held."""
        return self._usage.bytes

    def discarding_ms(self) -> float:
        """Return for how long it has discarded a body, in ms."""
        return (self._loop.time() - self.discards_since_s) * 1000

    def accepted_bytes(self) -> int:
        """Return the bytes of the response that the kernel has taken."""
        request = self._current_request
        if request is None:
            return 0
        written = int(getattr(request._payload_writer, "output_size", 0))
        return written - self.unsent_bytes()

    def unsent_bytes(self) -> int:
        """Return the bytes that wait until the caller reads."""
        transport = self._unclosed
        return 0 if transport is None else transport.get_write_buffer_size()

    @property
    def unfinished(self) -> bool:
        """Whether a response isn't written, or not all taken by the kernel.

        Its handler may have returned; what the kernel has taken arrives also
        if this process ends.
        """
        return self._request_in_progress or self.unsent_bytes() > 0

    def abort(self) -> None:
        """Close the connection at once, and cancel its request."""
        transport = self._unclosed
        self._force_close = True
        if transport is not None:
            connections.reset(transport)


class Server(web.Server):
    """Accepts connections of callers, up to a number.

    :param name: names its port in logs.
    :param handler: serves one request.
    :param account: counts what the requests hold.
    :param max_connections: how many connections may be open; 0 for any
        number.
    :param request_factory: makes the requests for the handler; none for
        requests without an application.
    :param handler_cancellation: whether a handler is cancelled when its
        caller disconnects.
    :param admits_all: whether a busy connection is closed if there are too
        many and all are busy; the new one otherwise.
    :param options: as for :class:`aiohttp.web.RequestHandler`.

    :ivar name: the same name.
    :ivar admits_all: the same choice.
    :ivar max_connections: the same number.
    :ivar make_room: closes a connection in favour of a new one, as there are
        too many; none to close the oldest one.
    :ivar account: the same account.
    :ivar turns: whose data is parsed in a pass of the event loop.
    :ivar buffer: what connections read into, one after the other.
    """

    def __init__(
        self,
        name: str,
        handler: Handler,
        account: memory_account.MemoryAccount,
        max_connections: int,
        request_factory: typing.Any = None,
        handler_cancellation: bool = True,
        admits_all: bool = False,
        **options: typing.Any,
    ) -> None:
        super().__init__(
            handler,
            request_factory=request_factory,
            handler_cancellation=handler_cancellation,
        )
        self.name = name
        self.account = account
        self.turns = read_turns.ReadTurns()
        self.buffer = memoryview(bytearray(read_turns.MAX_READ_BYTES))
        self._next_pass: asyncio.Handle | None = None
        self.max_connections = max_connections
        self.admits_all = admits_all
        self.make_room: abc.Callable[[Connection], None] | None = None
        self._options = options
        # Without those that are about to be closed.
        self._open: dict[Connection, None] = {}

    def __call__(self) -> web.RequestHandler:
        return Connection(
            self,
            memory_account.Holder(self.account),
            loop=self._loop,
            **self._options,
        )

    @property
    def open_connections(self) -> abc.Collection[Connection]:
        """The open connections, the oldest first."""
        return self._open.keys()

    def unfinished(self) -> int:
        """Return the number of connections with an unfinished response."""
        return sum(connection.unfinished for connection in self._open)

    def cut_unfinished(self) -> None:
        """Close the connections with an unfinished response by a reset."""
        for connection in list(self._open):
            if connection.unfinished:
                self.close_connection(connection)

    def connection_made(
        self, handler: web.RequestHandler, transport: asyncio.Transport
    ) -> None:
        super().connection_made(handler, transport)
        connection = typing.cast(Connection, handler)
        self._open[connection] = None
        if 0 < self.max_connections < len(self._open):
            if self.make_room is not None:
                self.make_room(connection)
            else:
                self.close_connection(next(iter(self._open)))

    def connection_lost(
        self, handler: web.RequestHandler, exc: BaseException | None = None
    ) -> None:
        self._open.pop(typing.cast(Connection, handler), None)
        super().connection_lost(handler, exc)

    def prepare_pass(self) -> None:
        """See to it that the next pass of the event loop gives turns."""
        if self._next_pass is None and self.turns.needs_pass:
            self._next_pass = self._loop.call_soon(self._begin_pass)

    def _begin_pass(self) -> None:
        """Give connections that wait their turns."""
        self._next_pass = None
        self.turns.begin_pass()
        while resume := self.turns.next():
            resume()
        self.prepare_pass()

    def close_connection(self, connection: Connection) -> None:
        """Close a connection at once, and count it no more."""
        self._open.pop(connection, None)
        connection.abort()


def make_app_server(
    name: str,
    app: web.Application,
    account: memory_account.MemoryAccount,
    max_connections: int,
    handler_cancellation: bool,
) -> Server:
    """Create a server of an application.

    :param name: as for :class:`Server`.
    :param app: the application, which has no hooks for its start or end.
    :param account: as for :class:`Server`.
    :param max_connections: as for :class:`Server`.
    :param handler_cancellation: as for :class:`Server`.
    """
    app.freeze()
    return Server(
        name,
        typing.cast(Handler, app._handle),
        account,
        max_connections,
        app._make_request,
        handler_cancellation,
        access_log=None,
        read_bufsize=READ_BUFFER_BYTES,
    )


def make_server(
    name: str,
    handler: Handler,
    account: memory_account.MemoryAccount,
    max_connections: int = UNLIMITED,
    admits_all: bool = False,
) -> Server:
    """Create a server that cancels a handler when its caller disconnects.

    :param name: as for :class:`Server`.
    :param handler: serves one request.
    :param account: as for :class:`Server`.
    :param max_connections: as for :class:`Server`.
    :param admits_all: as for :class:`Server`.
    """
    return Server(
        name,
        handler,
        account,
        max_connections,
        admits_all=admits_all,
        access_log=None,
        keepalive_timeout=CALLER_KEEPALIVE_S,
        # Targets get the bytes that callers send.
        auto_decompress=False,
        max_line_size=sessions.MAX_FIELD_BYTES,
        max_field_size=sessions.MAX_FIELD_BYTES,
        read_bufsize=READ_BUFFER_BYTES,
    )


async def serve(
    server: web.Server, sock: socket.socket, backlog: int = ports.BACKLOG
) -> web.ServerRunner:
    """Start to accept connections on a bound socket.

    :param server: serves the connections.
    :param sock: the bound socket.
    :param backlog: how many connections may wait to be accepted.
    :return: the runner, which closes the socket and its connections.
    """
    connections.set_socket_options(sock)
    connections.set_caller_buffers(sock)
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    await web.SockSite(runner, sock, backlog=backlog).start()
    return runner
