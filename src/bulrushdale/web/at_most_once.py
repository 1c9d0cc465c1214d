"""Calls that run at most once for their key."""

from aiohttp import web

from bulrushdale.admission import session as session_module
from bulrushdale.claims import claim_client as claim_client_module
from bulrushdale.claims import claim_table
from bulrushdale.claims import keys
from bulrushdale import results
from bulrushdale.web import caller as caller_module
from bulrushdale.web import context as context_module
from bulrushdale.web import service_requests


TRIES = 3
COME_BACK_MS = 2_000
OUTCOME_WAIT_MS = 3_000
OUTCOME_POLL_MS = 200
# A claim without an outcome for longer than a call may take is not
# going to get one from a holder that is alive.
ABANDONED_MARGIN_MS = 15_000

Verdict = claim_table.Verdict


def expired() -> results.RefusedError:
    """Return the refusal of a key that is too old."""
    return results.refuse(
        results.Code.KEY_EXPIRED, "the Idempotency-Key is too old"
    )


async def run(
    context: context_module.Context,
    caller: caller_module.Caller,
    need: session_module.SlotRequirements,
    service_request: service_requests.ServiceRequest,
    key: keys.Key,
) -> web.Response:
    """Make a call that runs at most once for its key."""
    try:
        grant = await service_requests.acquire(context, caller, need, ())
    except results.RefusedError as error:
        return await _without_slot(
            context, caller, service_request, key, error
        )
    try:
        claim, decision = await context.claim_client.claim(
            key, service_request.digest()
        )
    except BaseException:
        context.slot_client.release(grant)
        raise
    caller.timeline.step("claim", decision.verdict.name.lower())
    if decision.verdict == Verdict.WON:
        return await _call(
            context, caller, need, service_request, claim, grant
        )
    context.slot_client.release(grant)
    if decision.verdict == Verdict.UNAVAILABLE:
        context.claim_client.release(claim)
    return await _stand_aside(
        context, caller, service_request, claim, decision
    )


async def _without_slot(
    context: context_module.Context,
    caller: caller_module.Caller,
    service_request: service_requests.ServiceRequest,
    key: keys.Key,
    error: results.RefusedError,
) -> web.Response:
    """Refuse for want of a slot, unless the key has run already."""
    claim = claim_client_module.Claim(key, b"", service_request.digest())
    decision = await context.claim_client.look_up(claim)
    caller.timeline.step("look", decision.verdict.name.lower())
    if decision.verdict == Verdict.FREE:
        raise error
    if decision.verdict == Verdict.UNAVAILABLE:
        refusal = error.refusal
        raise results.refuse(
            refusal.code,
            refusal.detail,
            refusal.retry_after_ms,
            _effect_unavailable(context, key, decision),
        )
    return await _stand_aside(
        context, caller, service_request, claim, decision
    )


def _effect_unavailable(
    context: context_module.Context,
    key: keys.Key,
    decision: claim_client_module.Decision,
) -> results.Ran:
    """Return whether a key may have run while the log can't be read.

    A key that is younger than the log's outage can't have been claimed
    before; of an older one nothing is known.
    """
    down_since_ms = context.clock.wall_ms() - decision.age_ms
    if key.time_ms > down_since_ms:
        return results.Ran.NO
    return results.Ran.UNKNOWN


async def _call(
    context: context_module.Context,
    caller: caller_module.Caller,
    need: session_module.SlotRequirements,
    service_request: service_requests.ServiceRequest,
    claim: claim_client_module.Claim,
    grant: session_module.Grant,
) -> web.Response:
    """Make the call under a claim that was won."""
    failed: tuple[str, ...] = ()
    for _ in range(TRIES):
        try:
            outcome = await service_requests.send(
                context, context.unpooled_session, grant, service_request
            )
        except service_requests.NotSentError as error:
            caller.timeline.step("not sent", f"{grant.target}: {error}")
            if not isinstance(error, service_requests.StaleSlotError):
                failed += (grant.target,)
        except service_requests.NoResponseError as error:
            caller.timeline.step("no answer", f"{grant.target}: {error}")
            context.claim_client.record_outcome(
                claim, claim_table.Outcome(0, b"", "")
            )
            raise results.refuse(
                results.Code.TARGET_FAILED, f"the target failed: {error}"
            ) from error
        else:
            caller.timeline.step("answered", f"status {outcome.status}")
            context.claim_client.record_outcome(claim, _kept(outcome))
            return service_requests.response(caller, outcome)
        finally:
            context.slot_client.release(grant)
        try:
            grant = await service_requests.acquire(
                context, caller, need, failed
            )
        except results.RefusedError:
            context.claim_client.release(claim)
            raise
    context.slot_client.release(grant)
    context.claim_client.release(claim)
    raise results.refuse(
        results.Code.NO_TARGET, "no target could be reached", COME_BACK_MS
    )


def _kept(outcome: claim_table.Outcome) -> claim_table.Outcome:
    """Return the outcome as far as it is stored."""
    if len(outcome.body) <= claim_table.MAX_STORED_BODY_BYTES:
        return outcome
    return claim_table.Outcome(outcome.status, b"", "")


async def _stand_aside(
    context: context_module.Context,
    caller: caller_module.Caller,
    service_request: service_requests.ServiceRequest,
    claim: claim_client_module.Claim,
    decision: claim_client_module.Decision,
) -> web.Response:
    """Answer a request whose key another request holds or has used."""
    deadline_ms = context.clock.now_ms() + OUTCOME_WAIT_MS
    limit_ms = service_request.spec.call_timeout_ms + ABANDONED_MARGIN_MS
    while (
        decision.verdict == Verdict.PENDING
        and decision.age_ms < limit_ms
        and context.clock.now_ms() < deadline_ms
    ):
        await context.clock.sleep_ms(OUTCOME_POLL_MS)
        latest = await context.claim_client.look_up(claim)
        if latest.verdict != Verdict.UNAVAILABLE:
            decision = latest
    caller.timeline.step("key", decision.verdict.name.lower())
    if decision.verdict == Verdict.DONE and decision.outcome is not None:
        if decision.outcome.status:
            return service_requests.response(
                caller, decision.outcome, replayed=True
            )
        raise _unknown("an earlier call with this key got no answer")
    raise _refusal(context, claim, decision, limit_ms)


def _refusal(
    context: context_module.Context,
    claim: claim_client_module.Claim,
    decision: claim_client_module.Decision,
    limit_ms: int,
) -> results.RefusedError:
    if decision.verdict == Verdict.REUSED:
        return results.refuse(
            results.Code.KEY_REUSED,
            "the key was used for a request with another body",
        )
    if decision.verdict == Verdict.EXPIRED:
        return expired()
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
        effect = _effect_unavailable(context, claim.key, decision)
    return results.refuse(
        results.Code.CLAIMS_UNAVAILABLE,
        "the key could not be claimed, and this request did not run",
        COME_BACK_MS,
        effect,
    )


def _unknown(detail: str) -> results.RefusedError:
    return results.refuse(results.Code.OUTCOME_UNKNOWN, detail)
