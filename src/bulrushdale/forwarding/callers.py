"""Request handler of the port for callers."""

import asyncio
import logging
import typing

from aiohttp import web
import orjson

from bulrushdale.forwarding import bodies
from bulrushdale.forwarding import connections
from bulrushdale.forwarding import context as context_module
from bulrushdale.forwarding import expectations
from bulrushdale.forwarding import memory_account
from bulrushdale.forwarding import proxy
from bulrushdale.forwarding import servers
from bulrushdale import results
from bulrushdale.routing import access
from bulrushdale.routing import messages
from bulrushdale.routing import refusals

LOG = logging.getLogger(__name__)

# A starting router has its configuration and targets within about 50 ms if
# the store responds. A request can wait for that, but not for an outage of
# the store.
STARTUP_WAIT_MS = 300


class GatewayState:
    """The router's requests in flight and whether it is loaded or draining.

    :ivar busy: connections with a request in flight.
    :ivar reading: those of them whose request body is still arriving.
    :ivar tunnels: number of other routers' connections to targets.
    :ivar draining: whether the router is draining.
    :ivar closed: whether the router is draining and refuses new requests.
    :ivar loaded: set once the configuration and the targets are loaded.
    """

    __slots__ = (
        "busy",
        "reading",
        "tunnels",
        "draining",
        "closed",
        "loaded",
    )

    def __init__(self) -> None:
        self.busy: set[web.RequestHandler] = set()
        self.reading: set[web.RequestHandler] = set()
        self.tunnels = 0
        self.draining = False
        self.closed = False
        self.loaded = asyncio.Event()

    @property
    def requests(self) -> int:
        """Number of requests in flight, those of other routers included."""
        return len(self.busy) + self.tunnels

    def close_idle(self, server: web.Server) -> None:
        """Close idle connections now, busy ones after their response.

        aiohttp reads nothing more from a connection that is to be closed, not
        even the rest of a body. Those connections end with their response.
        """
        for connection in server.connections:
            if connection in self.reading:
                continue
            unfinished = typing.cast(servers.Connection, connection).unfinished
            if connection in self.busy or unfinished:
                connection.close()
            else:
                connection.force_close()


class CallerHandler:
    """Handles callers' requests.

    :param context: the components that handle requests.
    :param state: the requests in flight and the drain state.
    :param header_error: exception that the codec raises for invalid heads.
    """

    __slots__ = ("_context", "_state", "_header_error")

    def __init__(
        self,
        context: context_module.Context,
        state: GatewayState,
        header_error: type[Exception],
    ) -> None:
        self._context = context
        self._state = state
        self._header_error = header_error

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request."""
        connection = request.protocol
        connections.set_user_timeout(
            request.transport, connections.TCP_USER_TIMEOUT_MS
        )
        holder = typing.cast(servers.Connection, connection).holder
        self._state.busy.add(connection)
        try:
            response = await self._respond(request, holder)
        finally:
            self._state.busy.discard(connection)
            holder.end()
            connections.set_user_timeout(
                request.transport, connections.CALLER_USER_TIMEOUT_MS
            )
        if self._state.draining:
            response.force_close()
        return response

    async def _respond(
        self, request: web.BaseRequest, holder: memory_account.Holder
    ) -> web.StreamResponse:
        """Admit and forward a request; return its response or a refusal."""
        received_ms = self._context.clock.now_ms()
        request_id = self._context.codec.decode_request_id(request)
        try:
            self._refuse_if_closed()
            await self._wait_until_loaded()
            if expectations.is_open(request):
                self._admit(request, b"")
            body = await self._read_body(request, holder)
            # The end of a connection is read one turn of the event loop after
            # a request that arrived before it.
            await asyncio.sleep(0)
            # The body may have taken until now.
            self._refuse_if_closed()
            inbound, admitted = self._admit(request, body)
            proxied = proxy.ProxiedRequest(
                self._context, request, inbound, admitted, received_ms, holder
            )
            # It may be given up before the response has ended.
            del body, inbound
            return await proxied.run()
        except results.RefusedError as error:
            refusal = error.refusal
            self._context.metrics.requests.record(
                1, {"kind": "refused", "outcome": str(int(refusal.code))}
            )
            LOG.info(
                "request.refused",
                extra={
                    "event": "request.refused",
                    "request_id": request_id,
                    "code": int(refusal.code),
                    "status": refusal.status,
                    "detail": refusal.detail,
                    "return_after_ms": refusal.retry_after_ms,
                    "config_age_ms": self._context.revisions.age_ms(),
                    "after_ms": self._context.clock.now_ms() - received_ms,
                },
            )
            response = _refusal_response(refusal, request_id)
            expectations.close(request, response)
            return response

    def _admit(
        self, request: web.BaseRequest, body: bytes
    ) -> tuple[messages.InboundRequest, access.AdmittedRequest]:
        """Decode a request, and match it to its route and team.

        :raises RefusedError: if it is invalid or not allowed.
        """
        try:
            inbound = self._context.codec.decode_request(request, body)
        except self._header_error as error:
            raise refusals.refuse(
                results.Code.BAD_REQUEST, str(error)
            ) from error
        admitted = access.admit(
            inbound, self._context.revisions, self._context.key_age_limit_ms
        )
        return inbound, admitted

    async def _read_body(
        self, request: web.BaseRequest, holder: memory_account.Holder
    ) -> bytes:
        """Return the body of a request, which may take long to arrive."""
        connection = request.protocol
        self._state.reading.add(connection)
        try:
            return await bodies.read(request, self._body_limit_bytes(), holder)
        finally:
            self._state.reading.discard(connection)

    def _refuse_if_closed(self) -> None:
        """Refuse a request that comes too late in a stop.

        :raises RefusedError: if this router takes no more requests.
        """
        if self._state.closed:
            raise refusals.stopping()

    async def _wait_until_loaded(self) -> None:
        """Wait briefly until the configuration and the targets are loaded."""
        if self._state.loaded.is_set():
            return
        try:
            async with asyncio.timeout(STARTUP_WAIT_MS / 1000):
                await self._state.loaded.wait()
        except TimeoutError:
            LOG.info(
                "configuration or targets not loaded yet",
                extra={"event": "router.starting", "wait_ms": STARTUP_WAIT_MS},
            )

    def _body_limit_bytes(self) -> int:
        configuration = self._context.revisions.current
        if configuration is None:
            raise access.not_ready()
        return configuration.limits.body_bytes


def _refusal_response(
    refusal: results.Refusal, request_id: str
) -> web.Response:
    """Return a refusal as an HTTP response.

    :param refusal: the refusal.
    :param request_id: id of the request, echoed in a header; empty if
        unknown.
    """
    headers = {"Content-Type": "application/json"}
    if request_id:
        headers["X-Request-Id"] = request_id
    if refusal.retry_after_ms:
        headers["Retry-After"] = f"{refusal.retry_after_ms / 1000:.3f}"
    body = {
        "error": {
            "code": int(refusal.code),
            "message": refusal.detail,
        }
    }
    return web.Response(
        status=refusal.status,
        body=orjson.dumps(body),
        headers=headers,
    )
