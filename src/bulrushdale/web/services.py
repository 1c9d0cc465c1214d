"""Requests to services: repeatable ones, and those with a key."""

import asyncio
import logging

from aiohttp import web

from bulrushdale.admission import session as session_module
from bulrushdale.claims import claim_table
from bulrushdale.claims import keys
from bulrushdale import hashing
from bulrushdale import results
from bulrushdale.web import at_most_once
from bulrushdale.web import caller as caller_module
from bulrushdale.web import context as context_module
from bulrushdale.web import respond
from bulrushdale.web import service_requests


LOG = logging.getLogger(__name__)

TRIES = 3
COME_BACK_MS = 2_000
# Headers that belong to one connection or to this router.
DROPPED_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-request-id",
    }
)


async def call(
    context: context_module.Context,
    request: web.Request,
    caller: caller_module.Caller,
) -> web.StreamResponse:
    """Serve ``/services/NAME/...``."""
    name = request.match_info["service"]
    spec = context.view.service(name)
    if spec is None:
        raise results.refuse(
            results.Code.UNKNOWN_SERVICE, f"there is no service {name!r}"
        )
    limits = context.settings.limits
    body = await respond.read_body(
        request, limits.body_bytes, limits.body_timeout_ms
    )
    query = f"?{request.query_string}" if request.query_string else ""
    service_request = service_requests.ServiceRequest(
        name,
        spec,
        request.method,
        f"/{request.match_info['path']}{query}",
        _passed_on(request, caller),
        body,
    )
    need = _need(context, caller, service_request)
    if request.method in spec.repeatable_methods:
        outcome = await _repeatable(context, caller, need, service_request)
        return service_requests.response(caller, outcome)
    key_text = request.headers.get("Idempotency-Key")
    if key_text is None:
        raise results.refuse(
            results.Code.KEY_REQUIRED,
            f"{request.method} on {name} needs an Idempotency-Key",
        )
    if spec.honours_keys:
        outcome = await _repeatable(context, caller, need, service_request)
        return service_requests.response(caller, outcome)
    key = _check_key(context, caller, name, key_text)
    # A caller that goes away must not end the call half-way.
    task = asyncio.create_task(
        at_most_once.run(context, caller, need, service_request, key)
    )
    return await asyncio.shield(task)


def _passed_on(
    request: web.Request, caller: caller_module.Caller
) -> dict[str, str]:
    named = request.headers.get("Connection", "").lower().split(",")
    dropped = DROPPED_HEADERS.union(name.strip() for name in named)
    headers = {
        name: value
        for name, value in request.headers.items()
        if name.lower() not in dropped
    }
    headers["X-Request-Id"] = caller.request_id
    headers["X-Team"] = caller.team
    return headers


def _need(
    context: context_module.Context,
    caller: caller_module.Caller,
    service_request: service_requests.ServiceRequest,
) -> session_module.SlotRequirements:
    name = caller.spec.class_of_service
    paid = context.view.service_class(name)
    affinity = hashing.hash64(caller.request_id.encode())
    return session_module.SlotRequirements(
        service_request.service,
        caller.team,
        name,
        paid.weight,
        paid.queue_ms,
        affinity,
    )


def _check_key(
    context: context_module.Context,
    caller: caller_module.Caller,
    service: str,
    text: str,
) -> keys.Key:
    now_ms = context.clock.wall_ms()
    key = keys.parse(text, caller.team, service, now_ms)
    if key.time_ms < now_ms - context.view.promise().key_life_ms:
        raise at_most_once.expired()
    return key


async def _repeatable(
    context: context_module.Context,
    caller: caller_module.Caller,
    need: session_module.SlotRequirements,
    service_request: service_requests.ServiceRequest,
) -> claim_table.Outcome:
    """Make a call that may be made again on another target."""
    failed: tuple[str, ...] = ()
    for attempt in range(TRIES):
        if attempt:
            context.telemetry.retries.add(1)
        grant = await service_requests.acquire(context, caller, need, failed)
        try:
            return await service_requests.send(
                context, context.session, grant, service_request
            )
        except (
            service_requests.NotSentError,
            service_requests.NoResponseError,
        ) as error:
            caller.timeline.step("failed", f"{grant.target}: {error}")
            failed += (grant.target,)
            if not context.activity.retry_budget.withdraw():
                break
        finally:
            context.slot_client.release(grant)
    raise results.refuse(
        results.Code.NO_TARGET,
        "no target answered the call",
        COME_BACK_MS,
        ran=results.Ran.UNKNOWN,
    )
