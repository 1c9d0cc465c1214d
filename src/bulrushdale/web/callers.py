"""HTTP API for callers: routes, authentication, limits and refusals."""

import asyncio
from collections import abc
import contextlib
import hashlib
import logging
import typing
import uuid

from aiohttp import web
from opentelemetry import trace

from bulrushdale import explain
from bulrushdale.forwarding import expectations
from bulrushdale import results
from bulrushdale import telemetry
from bulrushdale.web import caller as caller_module
from bulrushdale.web import chats
from bulrushdale.web import context as context_module
from bulrushdale.web import respond
from bulrushdale.web import services

LOG = logging.getLogger(__name__)

NOT_READY_RETRY_MS = 2_000
TOO_MANY_REQUESTS_RETRY_MS = 1_000


Handler = typing.Callable[
    [context_module.Context, web.Request, caller_module.Caller],
    abc.Awaitable[web.StreamResponse],
]


def build(context: context_module.Context) -> web.Application:
    """Return the application for the callers' port.

    :param context: what the handlers need.
    """
    app = web.Application(
        client_max_size=context.settings.limits.body_bytes,
        middlewares=[_unknown_path],
    )
    routes: list[tuple[str, str, Handler]] = [
        ("POST", "/v1/chat/completions", chats.complete),
        ("GET", "/v1/answers", chats.resume),
        ("GET", "/v1/models", chats.models),
        ("*", "/services/{service}/{path:.*}", services.call),
    ]
    for method, path, handler in routes:
        app.router.add_route(
            method,
            path,
            _with_request_context(context, handler),
            expect_handler=expectations.defer,
        )
    return app


@web.middleware
async def _unknown_path(
    request: web.Request, handler: typing.Any
) -> web.StreamResponse:
    """Refuse requests without a route, in the form of other refusals."""
    try:
        return await handler(request)
    except (web.HTTPNotFound, web.HTTPMethodNotAllowed):
        refusal = results.Refusal(
            results.Code.NOT_FOUND,
            f"there is no {request.method} {request.path}",
        )
        return respond.refusal_response(refusal, uuid.uuid4().hex)


def _with_request_context(
    context: context_module.Context, handler: Handler
) -> typing.Callable[[web.Request], abc.Awaitable[web.StreamResponse]]:
    """Return a handler that authenticates and serves each request.

    It counts, traces and logs the request, and adds a deposit for it to the
    retry quota.
    """

    async def handle(request: web.Request) -> web.StreamResponse:
        request_id = uuid.uuid4().hex
        timeline = context.timelines.start(request_id)
        context.serving.in_flight += 1
        context.serving.retry_quota.deposit()
        try:
            with _span(context, request, request_id):
                response = await _handle(context, request, handler, timeline)
                return await respond.send(request, response)
        finally:
            context.serving.in_flight -= 1
            respond.holder_of(request).end()

    return handle


@contextlib.contextmanager
def _span(
    context: context_module.Context, request: web.Request, request_id: str
) -> abc.Iterator[None]:
    """Trace the request, if tracing is enabled."""
    if not context.telemetry.tracing:
        yield
        return
    with context.telemetry.tracer.start_as_current_span(
        "entry",
        context=telemetry.extract(request.headers),
        kind=trace.SpanKind.SERVER,
        attributes={"request.id": request_id, "url.path": request.path},
    ):
        yield


async def _handle(
    context: context_module.Context,
    request: web.Request,
    handler: Handler,
    timeline: explain.Timeline,
) -> web.StreamResponse:
    """Authenticate a request, handle it, and log its result code."""
    code = results.Code.OK
    try:
        caller = _authenticate(context, request, timeline)
        response = await handler(context, request, caller)
    except results.RefusedError as error:
        code = error.refusal.code
        timeline.step("refused", error.refusal.detail)
        response = respond.refusal_response(error.refusal, timeline.request_id)
    except asyncio.CancelledError:
        timeline.step("caller gone")
        raise
    timeline.code = int(code)
    context.telemetry.requests.add(1, {"code": int(code)})
    LOG.info(
        "request",
        extra={
            "request_id": timeline.request_id,
            "team": timeline.team,
            "path": request.path,
            "code": int(code),
        },
    )
    return response


def _authenticate(
    context: context_module.Context,
    request: web.Request,
    timeline: explain.Timeline,
) -> caller_module.Caller:
    """Return the caller of a request.

    :raises bulrushdale.results.RefusedError: if there are too many requests,
        the catalogue is not loaded, or the key is not known.
    """
    limits = context.settings.limits
    if context.serving.in_flight > limits.requests:
        raise results.refuse(
            results.Code.TOO_MANY_REQUESTS,
            f"the router already serves {limits.requests} requests",
            TOO_MANY_REQUESTS_RETRY_MS,
        )
    if not context.catalogue.loaded:
        raise results.refuse(
            results.Code.NOT_READY,
            "the catalogue is not loaded yet",
            NOT_READY_RETRY_MS,
        )
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    digest = hashlib.sha256(key.strip().encode()).digest()
    found = context.view.team_of_key(digest)
    if scheme.lower() != "bearer" or found is None:
        raise results.refuse(
            results.Code.UNAUTHENTICATED, "the key is not known"
        )
    name, team = found
    timeline.team = name
    timeline.step("accepted", f"team {name}, {request.method} {request.path}")
    return caller_module.Caller(
        timeline.request_id,
        name,
        team,
        timeline,
        respond.holder_of(request),
    )
