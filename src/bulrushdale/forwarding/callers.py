"""The port for callers."""

import asyncio
import logging

from aiohttp import web
import orjson

from bulrushdale.forwarding import parts as parts_module
from bulrushdale.forwarding import proxy
from bulrushdale import results
from bulrushdale.routing import access
from bulrushdale.routing import refusals

LOG = logging.getLogger(__name__)

# A router that starts knows its configuration and targets within some 50 ms
# if the store answers; a request can wait for that, but not for an outage.
START_WAIT_MS = 300


class Activity:
    """Requests being served, and whether the router stops.

    :ivar busy: the connections that a request is served on.
    :ivar draining: whether the router stops.
    :ivar closed: whether it stops and takes no more requests.
    :ivar informed: set once the configuration and the targets are known.
    """

    __slots__ = ("busy", "draining", "closed", "informed")

    def __init__(self) -> None:
        self.busy: set[web.RequestHandler] = set()
        self.draining = False
        self.closed = False
        self.informed = asyncio.Event()

    @property
    def requests(self) -> int:
        """How many requests are being served."""
        return len(self.busy)

    def close_idle(self, server: web.Server) -> None:
        """Close connections without a request, the others after theirs."""
        for connection in server.connections:
            if connection in self.busy:
                connection.close()
            else:
                connection.force_close()


async def _read_body(request: web.BaseRequest, limit_bytes: int) -> bytes:
    pieces = []
    size_bytes = 0
    async for piece in request.content.iter_any():
        size_bytes += len(piece)
        if size_bytes > limit_bytes:
            raise refusals.refuse(
                results.Code.BODY_TOO_LARGE,
                f"the body is larger than {limit_bytes} bytes",
            )
        pieces.append(piece)
    return b"".join(pieces)


class Callers:
    """Serves callers' requests.

    :param parts: what requests are served with.
    :param activity: counts them.
    :param call_error: raised by the wire for headers that make no sense.
    """

    __slots__ = ("_parts", "_activity", "_call_error")

    def __init__(
        self,
        parts: parts_module.Parts,
        activity: Activity,
        call_error: type[Exception],
    ) -> None:
        self._parts = parts
        self._activity = activity
        self._call_error = call_error

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request."""
        connection = request.protocol
        self._activity.busy.add(connection)
        try:
            response = await self._answer(request)
        finally:
            self._activity.busy.discard(connection)
        if self._activity.draining:
            response.force_close()
        return response

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        received_ms = self._parts.clock.now_ms()
        request_id = self._parts.wire.decode_request_id(request)
        try:
            if self._activity.closed:
                raise refusals.refuse(
                    results.Code.STOPPING,
                    "this router stops",
                    refusals.OTHER_ROUTER_RETRY_AFTER_MS,
                )
            await self._wait_for_start()
            body = await _read_body(request, self._body_limit_bytes())
            try:
                call = self._parts.wire.decode_call(request, body)
            except self._call_error as error:
                raise refusals.refuse(
                    results.Code.BAD_REQUEST, str(error)
                ) from error
            admitted = access.admit(
                call, self._parts.revisions, self._parts.key_age_limit_ms
            )
            exchange = proxy.Exchange(
                self._parts, request, call, admitted, received_ms
            )
            return await exchange.run()
        except results.RefusedError as error:
            refusal = error.refusal
            self._parts.metrics.requests.record(
                1, {"kind": "refused", "outcome": str(int(refusal.code))}
            )
            LOG.info(
                "request.refused",
                extra={
                    "event": "request.refused",
                    "request_id": request_id,
                    "code": int(refusal.code),
                    "status": refusal.meaning.status,
                    "detail": refusal.detail,
                    "return_after_ms": refusal.retry_after_ms,
                    "config_age_ms": self._parts.revisions.age_ms(),
                    "after_ms": self._parts.clock.now_ms() - received_ms,
                },
            )
            return _refusal_response(refusal, request_id)

    async def _wait_for_start(self) -> None:
        """Hold a request that came before the first reads ended."""
        if self._activity.informed.is_set():
            return
        try:
            async with asyncio.timeout(START_WAIT_MS / 1000):
                await self._activity.informed.wait()
        except TimeoutError:
            LOG.info(
                "start takes long",
                extra={"event": "router.starting", "wait_ms": START_WAIT_MS},
            )

    def _body_limit_bytes(self) -> int:
        configuration = self._parts.revisions.current
        if configuration is None:
            raise access.not_ready()
        return configuration.limits.body_bytes


def _refusal_response(
    refusal: results.Refusal, request_id: str
) -> web.Response:
    """Return a refusal as an HTTP response.

    :param refusal: what the caller is told.
    :param request_id: the request's id, repeated for the caller.
    """
    headers = {"Content-Type": "application/json"}
    if request_id:
        headers["X-Request-Id"] = request_id
    if refusal.retry_after_ms:
        headers["Retry-After"] = f"{refusal.retry_after_ms / 1000:.2f}"
    body = {
        "error": {
            "code": int(refusal.code),
            "message": refusal.detail,
        }
    }
    return web.Response(
        status=refusal.meaning.status,
        body=orjson.dumps(body),
        headers=headers,
    )
