"""Requests to services: repeatable ones, or with an idempotency key."""

import asyncio
import dataclasses
import logging

from aiohttp import web

from bulrushdale.admission import session as session_module
from bulrushdale.claims import claim_table
from bulrushdale.claims import keys
from bulrushdale.forwarding import request_targets
from bulrushdale import hashing
from bulrushdale import results
from bulrushdale.web import at_most_once
from bulrushdale.web import caller as caller_module
from bulrushdale.web import context as context_module
from bulrushdale.web import respond
from bulrushdale.web import service_requests


LOG = logging.getLogger(__name__)

MAX_ATTEMPTS = 3
RETRY_AFTER_MS = 2_000
# Headers that apply to one connection or to this router only.
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
    """Serve ``/services/NAME/...``.

    :raises bulrushdale.results.RefusedError: if the request is refused.
    """
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
    try:
        _, target = request_targets.split(request.raw_path)
    except request_targets.TargetError as error:
        raise results.refuse(results.Code.BAD_REQUEST, str(error)) from error
    service_request = service_requests.ServiceRequest(
        name,
        spec,
        request.method,
        # Without "/services/NAME".
        "/" + target.split("/", 3)[3],
        _forwarded_headers(request, caller),
        body,
        caller.holder,
    )
    requirements = _slot_requirements(context, caller, service_request)
    caller.holder.repeatable = request.method in spec.repeatable_methods
    if caller.holder.repeatable:
        outcome = await _send_with_retries(
            context, caller, requirements, service_request
        )
        return service_requests.response(caller, outcome)
    key_text = request.headers.get("Idempotency-Key")
    if key_text is None:
        raise results.refuse(
            results.Code.KEY_REQUIRED,
            f"{request.method} on {name} needs an Idempotency-Key",
        )
    if spec.honours_keys:
        outcome = await _send_with_retries(
            context, caller, requirements, service_request
        )
        return service_requests.response(caller, outcome)
    key = _check_key(context, caller, name, key_text)
    # A caller that disconnects must not cancel a request that may run, which
    # then holds its memory until it has ended.
    holder = caller.holder.new()
    caller.holder.move_to(holder)
    task = asyncio.create_task(
        at_most_once.run(
            context,
            caller,
            requirements,
            dataclasses.replace(service_request, holder=holder),
            key,
        )
    )
    try:
        return await asyncio.shield(task)
    finally:
        if task.done():
            holder.move_to(caller.holder)
        else:
            task.add_done_callback(lambda _: holder.end())


def _forwarded_headers(
    request: web.Request, caller: caller_module.Caller
) -> dict[str, str]:
    """Return the headers to forward, with the request's id and team."""
    hop_by_hop = request.headers.get("Connection", "").lower().split(",")
    dropped = DROPPED_HEADERS.union(name.strip() for name in hop_by_hop)
    headers = {
        name: value
        for name, value in request.headers.items()
        if name.lower() not in dropped
    }
    headers["X-Request-Id"] = caller.request_id
    headers["X-Team"] = caller.team
    return headers


def _slot_requirements(
    context: context_module.Context,
    caller: caller_module.Caller,
    service_request: service_requests.ServiceRequest,
) -> session_module.SlotRequirements:
    """Return what slot a request needs.

    A service has no prompt cache, so the id of the request spreads the
    requests over its targets.
    """
    class_name = caller.spec.class_of_service
    service_class = context.view.service_class(class_name)
    affinity_key = hashing.hash64(caller.request_id.encode())
    return session_module.SlotRequirements(
        service_request.service,
        caller.team,
        class_name,
        service_class.weight,
        service_class.queue_ms,
        affinity_key,
    )


def _check_key(
    context: context_module.Context,
    caller: caller_module.Caller,
    service: str,
    text: str,
) -> keys.Key:
    """Parse an idempotency key, and check that it has not expired.

    :raises bulrushdale.results.RefusedError: if the key is malformed or too
        old.
    """
    now_ms = context.clock.wall_ms()
    key = keys.parse(text, caller.team, service, now_ms)
    if key.time_ms < now_ms - context.view.promise().key_life_ms:
        raise at_most_once.key_expired()
    return key


async def _send_with_retries(
    context: context_module.Context,
    caller: caller_module.Caller,
    requirements: session_module.SlotRequirements,
    service_request: service_requests.ServiceRequest,
) -> claim_table.Outcome:
    """Send a request that may be sent again to another target.

    :raises bulrushdale.results.RefusedError: if no target answers, or there
        is no slot.
    """
    failed: tuple[str, ...] = ()
    may_have_run = False
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            context.telemetry.retries.add(1)
        try:
            grant = await service_requests.acquire(
                context, caller, requirements, failed
            )
        except results.RefusedError as error:
            if may_have_run:
                raise results.after_attempt(error) from error
            raise
        try:
            outcome = await service_requests.send(
                context, context.session, grant, service_request
            )
            service_requests.check_outcome(
                context, caller, service_request, grant, outcome
            )
            return outcome
        except (
            service_requests.NotSentError,
            service_requests.NoResponseError,
        ) as error:
            caller.timeline.step("failed", f"{grant.target}: {error}")
            failed += (grant.target,)
            may_have_run |= isinstance(error, service_requests.NoResponseError)
            if not context.serving.retry_quota.spend():
                break
        finally:
            context.slot_client.release(grant)
    refused = results.refuse(
        results.Code.NO_TARGET,
        "no target answered the request",
        RETRY_AFTER_MS,
    )
    raise results.after_attempt(refused) if may_have_run else refused
