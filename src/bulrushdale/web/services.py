"""Calls of plain services: repeatable ones, and those that run once."""

import asyncio
import dataclasses
import logging
import typing

import aiohttp
from aiohttp import web

from bulrushdale.admission import seats as seats_module
from bulrushdale.catalogue import entries
from bulrushdale.claims import holder as holder_module
from bulrushdale.claims import keys
from bulrushdale.claims import ledger
from bulrushdale import hashing
from bulrushdale import parts as parts_module
from bulrushdale import results
from bulrushdale.web import respond

if typing.TYPE_CHECKING:
    from bulrushdale.web import callers

LOG = logging.getLogger(__name__)

TRIES = 3
COME_BACK_MS = 2_000
OUTCOME_WAIT_MS = 3_000
OUTCOME_POLL_MS = 200
# A claim without an outcome for longer than a call may take is not
# going to get one from a holder that is alive.
ABANDONED_MARGIN_MS = 15_000
CONNECT_TIMEOUT_MS = 1_000
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
NOT_CONNECTED = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)

Verdict = ledger.Verdict


class NotSentError(Exception):
    """No connection to the target was made, so nothing was sent."""


class StaleSlotError(NotSentError):
    """The slot was granted too long ago to be used."""


class UnansweredError(Exception):
    """The call was sent and no answer came."""


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One call of a service.

    :param service: the service's name.
    :param spec: the service's entry.
    :param method: the HTTP method.
    :param path: path and query, from the slash on.
    :param headers: the caller's headers that are passed on.
    :param body: the body.
    """

    service: str
    spec: entries.Service
    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    def digest(self) -> bytes:
        """Return what two requests with one key must have in common."""
        head = f"{self.method} {self.path}\n".encode()
        return hashing.digest(head + self.body)


async def call(
    parts: parts_module.Parts, request: web.Request, caller: "callers.Caller"
) -> web.StreamResponse:
    """Serve ``/services/NAME/...``."""
    name = request.match_info["service"]
    spec = parts.view.service(name)
    if spec is None:
        raise results.refuse(
            results.Code.UNKNOWN_SERVICE, f"there is no service {name!r}"
        )
    limits = parts.settings.limits
    body = await respond.read_body(
        request, limits.body_bytes, limits.body_timeout_ms
    )
    query = f"?{request.query_string}" if request.query_string else ""
    one_call = Call(
        name,
        spec,
        request.method,
        f"/{request.match_info['path']}{query}",
        _passed_on(request, caller),
        body,
    )
    need = _need(parts, caller, one_call)
    if request.method in spec.repeatable_methods:
        outcome = await _repeatable(parts, caller, need, one_call)
        return _response(caller, outcome)
    key_text = request.headers.get("Idempotency-Key")
    if key_text is None:
        raise results.refuse(
            results.Code.KEY_REQUIRED,
            f"{request.method} on {name} needs an Idempotency-Key",
        )
    if spec.honours_keys:
        outcome = await _repeatable(parts, caller, need, one_call)
        return _response(caller, outcome)
    key = _check_key(parts, caller, name, key_text)
    # A caller that goes away must not end the call half-way.
    task = asyncio.create_task(_once(parts, caller, need, one_call, key))
    return await asyncio.shield(task)


def _passed_on(
    request: web.Request, caller: "callers.Caller"
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
    parts: parts_module.Parts, caller: "callers.Caller", one_call: Call
) -> seats_module.Need:
    name = caller.spec.class_of_service
    paid = parts.view.service_class(name)
    affinity = hashing.hash64(caller.request_id.encode())
    return seats_module.Need(
        one_call.service,
        caller.team,
        name,
        paid.weight,
        paid.queue_ms,
        affinity,
    )


def _check_key(
    parts: parts_module.Parts,
    caller: "callers.Caller",
    service: str,
    text: str,
) -> keys.Key:
    now_ms = parts.clock.wall_ms()
    key = keys.parse(text, caller.team, service, now_ms)
    if key.time_ms < now_ms - parts.view.promise().key_life_ms:
        raise _expired()
    return key


def _expired() -> results.RefusedError:
    return results.refuse(
        results.Code.KEY_EXPIRED, "the Idempotency-Key is too old"
    )


async def _send(
    parts: parts_module.Parts,
    session: aiohttp.ClientSession,
    grant: seats_module.Grant,
    one_call: Call,
) -> ledger.Outcome:
    """Make the call once.

    :raises NotSentError: if no connection was made.
    :raises UnansweredError: if the connection broke afterwards.
    """
    target = parts.targets.get(grant.target)
    if target is None or not parts.seats.usable(grant):
        raise StaleSlotError("the slot is too old")
    timeout = aiohttp.ClientTimeout(
        total=one_call.spec.call_timeout_ms / 1000,
        sock_connect=CONNECT_TIMEOUT_MS / 1000,
    )
    try:
        async with session.request(
            one_call.method,
            f"{target.url}{one_call.path}",
            data=one_call.body or None,
            headers=one_call.headers,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            body = await response.read()
            return ledger.Outcome(response.status, body, response.content_type)
    except NOT_CONNECTED as error:
        raise NotSentError(repr(error)) from error
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise UnansweredError(repr(error)) from error


async def _acquire(
    parts: parts_module.Parts,
    caller: "callers.Caller",
    need: seats_module.Need,
    failed: tuple[str, ...],
) -> seats_module.Grant:
    with parts.telemetry.tracer.start_as_current_span("slot"):
        grant = await parts.seats.acquire(need, failed)
    caller.story.step("slot", f"{grant.target}, by home {grant.home}")
    return grant


async def _repeatable(
    parts: parts_module.Parts,
    caller: "callers.Caller",
    need: seats_module.Need,
    one_call: Call,
) -> ledger.Outcome:
    """Make a call that may be made again on another target."""
    failed: tuple[str, ...] = ()
    for attempt in range(TRIES):
        if attempt:
            parts.telemetry.retries.add(1)
        grant = await _acquire(parts, caller, need, failed)
        try:
            return await _send(parts, parts.session, grant, one_call)
        except (NotSentError, UnansweredError) as error:
            caller.story.step("failed", f"{grant.target}: {error}")
            failed += (grant.target,)
            if not parts.activity.retry_budget.spend():
                break
        finally:
            parts.seats.release(grant)
    raise results.refuse(
        results.Code.NO_TARGET,
        "no target answered the call",
        COME_BACK_MS,
        ran=results.Ran.UNKNOWN,
    )


async def _once(
    parts: parts_module.Parts,
    caller: "callers.Caller",
    need: seats_module.Need,
    one_call: Call,
    key: keys.Key,
) -> web.Response:
    """Make a call that runs at most once for its key."""
    try:
        grant = await _acquire(parts, caller, need, ())
    except results.RefusedError as error:
        return await _without_slot(parts, caller, one_call, key, error)
    try:
        claim, decision = await parts.holder.claim(key, one_call.digest())
    except BaseException:
        parts.seats.release(grant)
        raise
    caller.story.step("claim", decision.verdict.name.lower())
    if decision.verdict == Verdict.WON:
        return await _run(parts, caller, need, one_call, claim, grant)
    parts.seats.release(grant)
    if decision.verdict == Verdict.UNAVAILABLE:
        parts.holder.release(claim)
    return await _stand_aside(parts, caller, one_call, claim, decision)


async def _without_slot(
    parts: parts_module.Parts,
    caller: "callers.Caller",
    one_call: Call,
    key: keys.Key,
    error: results.RefusedError,
) -> web.Response:
    """Refuse for want of a slot, unless the key has run already."""
    claim = holder_module.Claim(key, b"", one_call.digest())
    decision = await parts.holder.look(claim)
    caller.story.step("look", decision.verdict.name.lower())
    if decision.verdict == Verdict.FREE:
        raise error
    if decision.verdict == Verdict.UNAVAILABLE:
        refusal = error.refusal
        raise results.refuse(
            refusal.code,
            refusal.detail,
            refusal.retry_after_ms,
            _effect_unavailable(parts, key, decision),
        )
    return await _stand_aside(parts, caller, one_call, claim, decision)


def _effect_unavailable(
    parts: parts_module.Parts,
    key: keys.Key,
    decision: holder_module.Decision,
) -> results.Ran:
    """Return whether a key may have run while the log can't be read.

    A key that is younger than the log's outage can't have been claimed
    before; of an older one nothing is known.
    """
    down_since_ms = parts.clock.wall_ms() - decision.age_ms
    if key.time_ms > down_since_ms:
        return results.Ran.NO
    return results.Ran.UNKNOWN


async def _run(
    parts: parts_module.Parts,
    caller: "callers.Caller",
    need: seats_module.Need,
    one_call: Call,
    claim: holder_module.Claim,
    grant: seats_module.Grant,
) -> web.Response:
    """Make the call under a claim that was won."""
    failed: tuple[str, ...] = ()
    for _ in range(TRIES):
        try:
            outcome = await _send(parts, parts.once_session, grant, one_call)
        except NotSentError as error:
            caller.story.step("not sent", f"{grant.target}: {error}")
            if not isinstance(error, StaleSlotError):
                failed += (grant.target,)
        except UnansweredError as error:
            caller.story.step("no answer", f"{grant.target}: {error}")
            parts.holder.settle(claim, ledger.Outcome(0, b"", ""))
            raise results.refuse(
                results.Code.TARGET_FAILED, f"the target failed: {error}"
            ) from error
        else:
            caller.story.step("answered", f"status {outcome.status}")
            parts.holder.settle(claim, _kept(outcome))
            return _response(caller, outcome)
        finally:
            parts.seats.release(grant)
        try:
            grant = await _acquire(parts, caller, need, failed)
        except results.RefusedError:
            parts.holder.release(claim)
            raise
    parts.seats.release(grant)
    parts.holder.release(claim)
    raise results.refuse(
        results.Code.NO_TARGET, "no target could be reached", COME_BACK_MS
    )


def _kept(outcome: ledger.Outcome) -> ledger.Outcome:
    """Return the outcome as far as it is stored."""
    if len(outcome.answer) <= ledger.STORED_ANSWER_BYTES:
        return outcome
    return ledger.Outcome(outcome.status, b"", "")


async def _stand_aside(
    parts: parts_module.Parts,
    caller: "callers.Caller",
    one_call: Call,
    claim: holder_module.Claim,
    decision: holder_module.Decision,
) -> web.Response:
    """Answer a request whose key another request holds or has used."""
    deadline_ms = parts.clock.now_ms() + OUTCOME_WAIT_MS
    limit_ms = one_call.spec.call_timeout_ms + ABANDONED_MARGIN_MS
    while (
        decision.verdict == Verdict.PENDING
        and decision.age_ms < limit_ms
        and parts.clock.now_ms() < deadline_ms
    ):
        await parts.clock.sleep_ms(OUTCOME_POLL_MS)
        latest = await parts.holder.look(claim)
        if latest.verdict != Verdict.UNAVAILABLE:
            decision = latest
    caller.story.step("key", decision.verdict.name.lower())
    if decision.verdict == Verdict.DONE and decision.outcome is not None:
        if decision.outcome.status:
            return _response(caller, decision.outcome, replayed=True)
        raise _unknown("an earlier call with this key got no answer")
    raise _refusal(parts, claim, decision, limit_ms)


def _refusal(
    parts: parts_module.Parts,
    claim: holder_module.Claim,
    decision: holder_module.Decision,
    limit_ms: int,
) -> results.RefusedError:
    if decision.verdict == Verdict.REUSED:
        return results.refuse(
            results.Code.KEY_REUSED,
            "the key was used for a request with another body",
        )
    if decision.verdict == Verdict.EXPIRED:
        return _expired()
    if decision.verdict == Verdict.PENDING:
        if decision.age_ms >= limit_ms:
            return _unknown("the call's router left no outcome")
        return results.refuse(
            results.Code.IN_PROGRESS,
            "another request with this key is being served",
            COME_BACK_MS,
        )
    effect = results.Ran.NO
    if decision.verdict == Verdict.UNAVAILABLE:
        effect = _effect_unavailable(parts, claim.key, decision)
    return results.refuse(
        results.Code.CLAIMS_UNAVAILABLE,
        "the key could not be claimed, and this request did not run",
        COME_BACK_MS,
        effect,
    )


def _unknown(detail: str) -> results.RefusedError:
    return results.refuse(results.Code.OUTCOME_UNKNOWN, detail)


def _response(
    caller: "callers.Caller",
    outcome: ledger.Outcome,
    replayed: bool = False,
) -> web.Response:
    headers = {"X-Request-Id": caller.request_id, "Bulrushdale-Ran": "yes"}
    if replayed:
        headers["Idempotency-Replayed"] = "true"
    return web.Response(
        body=outcome.answer,
        status=outcome.status,
        content_type=outcome.content_type or "application/octet-stream",
        headers=headers,
    )
