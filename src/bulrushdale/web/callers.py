"""The callers' side: who asks, how much is accepted, what is refused."""

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
from bulrushdale import results
from bulrushdale import telemetry
from bulrushdale.web import caller as caller_module
from bulrushdale.web import chats
from bulrushdale.web import parts as parts_module
from bulrushdale.web import respond
from bulrushdale.web import services

LOG = logging.getLogger(__name__)

NOT_READY_RETRY_MS = 2_000
FULL_RETRY_MS = 1_000


Handler = typing.Callable[
    [parts_module.Parts, web.Request, caller_module.Caller],
    abc.Awaitable[web.StreamResponse],
]


def build(parts: parts_module.Parts) -> web.Application:
    """Return the application for the callers' port."""
    app = web.Application(
        client_max_size=parts.settings.limits.body_bytes,
        middlewares=[_unknown_path],
    )
    routes: list[tuple[str, str, Handler]] = [
        ("POST", "/v1/chat/completions", chats.complete),
        ("GET", "/v1/answers", chats.resume),
        ("GET", "/v1/models", chats.models),
        ("*", "/services/{service}/{path:.*}", services.call),
    ]
    for method, path, handler in routes:
        app.router.add_route(method, path, _entry(parts, handler))
    return app


@web.middleware
async def _unknown_path(
    request: web.Request, handler: typing.Any
) -> web.StreamResponse:
    try:
        return await handler(request)
    except (web.HTTPNotFound, web.HTTPMethodNotAllowed):
        refusal = results.Refusal(
            results.Code.NOT_FOUND,
            f"there is no {request.method} {request.path}",
        )
        return respond.refusal_response(refusal, uuid.uuid4().hex)


def _entry(
    parts: parts_module.Parts, handler: Handler
) -> typing.Callable[[web.Request], abc.Awaitable[web.StreamResponse]]:
    """Return a handler with all that every request needs around it."""

    async def handle(request: web.Request) -> web.StreamResponse:
        request_id = uuid.uuid4().hex
        story = parts.stories.start(request_id)
        parts.activity.requests += 1
        parts.activity.retry_budget.earn()
        try:
            with _span(parts, request, request_id):
                return await _answer(parts, request, handler, story)
        finally:
            parts.activity.requests -= 1

    return handle


@contextlib.contextmanager
def _span(
    parts: parts_module.Parts, request: web.Request, request_id: str
) -> abc.Iterator[None]:
    if not parts.telemetry.tracing:
        yield
        return
    with parts.telemetry.tracer.start_as_current_span(
        "entry",
        context=telemetry.extract(request.headers),
        kind=trace.SpanKind.SERVER,
        attributes={"request.id": request_id, "url.path": request.path},
    ):
        yield


async def _answer(
    parts: parts_module.Parts,
    request: web.Request,
    handler: Handler,
    story: explain.Timeline,
) -> web.StreamResponse:
    code = results.Code.OK
    try:
        caller = _authenticate(parts, request, story)
        response = await handler(parts, request, caller)
    except results.RefusedError as error:
        code = error.refusal.code
        story.step("refused", error.refusal.detail)
        response = respond.refusal_response(error.refusal, story.request_id)
    except asyncio.CancelledError:
        story.step("caller gone")
        raise
    story.code = int(code)
    parts.telemetry.requests.add(1, {"code": int(code)})
    LOG.info(
        "request",
        extra={
            "request_id": story.request_id,
            "team": story.team,
            "path": request.path,
            "code": int(code),
        },
    )
    return response


def _authenticate(
    parts: parts_module.Parts, request: web.Request, story: explain.Timeline
) -> caller_module.Caller:
    limits = parts.settings.limits
    if parts.activity.requests > limits.requests:
        raise results.refuse(
            results.Code.TOO_MANY_REQUESTS,
            f"the router already serves {limits.requests} requests",
            FULL_RETRY_MS,
        )
    if not parts.catalogue.loaded:
        raise results.refuse(
            results.Code.NOT_READY,
            "the catalogue is not loaded yet",
            NOT_READY_RETRY_MS,
        )
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    digest = hashlib.sha256(key.strip().encode()).digest()
    found = parts.view.team_of_key(digest)
    if scheme.lower() != "bearer" or found is None:
        raise results.refuse(
            results.Code.UNAUTHENTICATED, "the key is not known"
        )
    name, team = found
    story.team = name
    story.step("accepted", f"team {name}, {request.method} {request.path}")
    return caller_module.Caller(story.request_id, name, team, story)
