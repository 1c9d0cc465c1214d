"""Service requests that run at most once for their idempotency key."""

from aiohttp import web

from bulrushdale.admission import session as session_module
from bulrushdale.claims import claim_client as claim_client_module
from bulrushdale.claims import claim_table
from bulrushdale.claims import keys
from bulrushdale import results
from bulrushdale.web import caller as caller_module
from bulrushdale.web import context as context_module
from bulrushdale.web import service_requests


MAX_ATTEMPTS = 3
RETRY_AFTER_MS = 2_000
OUTCOME_WAIT_MS = 3_000
OUTCOME_POLL_MS = 200
# A claim that has no outcome this long after the call timeout gets none: a
# router that is alive would have recorded one.
ABANDONED_MARGIN_MS = 15_000

Verdict = claim_table.Verdict


def key_expired() -> results.RefusedError:
    """Return the refusal of a request whose key is too old."""
    return results.refuse(
        results.Code.KEY_EXPIRED, "the Idempotency-Key is too old"
    )


async def run(
    context: context_module.Context,
    caller: caller_module.Caller,
    requirements: session_module.SlotRequirements,
    service_request: service_requests.ServiceRequest,
    key: keys.Key,
) -> web.Response:
    """Send a request that runs at most once for its key.

    :param requirements: what slot the request needs.
    :param key: the idempotency key.
    :raises bulrushdale.results.RefusedError: if there is no outcome to
        return.
    """
    try:
        grant = await service_requests.acquire(
            context, caller, requirements, ()
        )
    except results.RefusedError as error:
        return await _refuse_without_slot(
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
        return await _send_claimed(
            context, caller, requirements, service_request, claim, grant
        )
    context.slot_client.release(grant)
    if decision.verdict == Verdict.UNAVAILABLE:
        context.claim_client.release(claim)
    return await _await_outcome(
        context, caller, service_request, claim, decision
    )


async def _refuse_without_slot(
    context: context_module.Context,
    caller: caller_module.Caller,
    service_request: service_requests.ServiceRequest,
    key: keys.Key,
    error: results.RefusedError,
) -> web.Response:
    """Refuse a request without a slot, unless its key is already claimed.

    :param error: the refusal of the slot.
    """
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
            _effect_during_outage(context, key, decision),
        )
    return await _await_outcome(
        context, caller, service_request, claim, decision
    )


def _effect_during_outage(
    context: context_module.Context,
    key: keys.Key,
    decision: claim_client_module.Decision,
) -> results.Ran:
    """Return whether a key may have run, while the log can't be read.

    A key that was made after the outage of the log started can't have been
    claimed before. Whether an older key was claimed is unknown.
    """
    outage_start_ms = context.clock.wall_ms() - decision.age_ms
    if key.time_ms > outage_start_ms:
        return results.Ran.NO
    return results.Ran.UNKNOWN


async def _send_claimed(
    context: context_module.Context,
    caller: caller_module.Caller,
    requirements: session_module.SlotRequirements,
    service_request: service_requests.ServiceRequest,
    claim: claim_client_module.Claim,
    grant: session_module.Grant,
) -> web.Response:
    """Send the request under a claim that it has won.

    Only a request that wasn't sent is tried again.
    """
    failed: tuple[str, ...] = ()
    for _ in range(MAX_ATTEMPTS):
        try:
            outcome = await service_requests.send(
                context, context.at_most_once_session, grant, service_request
            )
            service_requests.check_outcome(
                context, caller, service_request, grant, outcome
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
            context.claim_client.record_outcome(claim, _storable(outcome))
            return service_requests.response(caller, outcome)
        finally:
            context.slot_client.release(grant)
        try:
            grant = await service_requests.acquire(
                context, caller, requirements, failed
            )
        except results.RefusedError:
            context.claim_client.release(claim)
            raise
    context.slot_client.release(grant)
    context.claim_client.release(claim)
    raise results.refuse(
        results.Code.NO_TARGET, "no target could be reached", RETRY_AFTER_MS
    )


def _storable(outcome: claim_table.Outcome) -> claim_table.Outcome:
    """Return the outcome to store, without a body that is too large."""
    if len(outcome.body) <= claim_table.MAX_STORED_BODY_BYTES:
        return outcome
    return claim_table.Outcome(outcome.status, b"", "")


async def _await_outcome(
    context: context_module.Context,
    caller: caller_module.Caller,
    service_request: service_requests.ServiceRequest,
    claim: claim_client_module.Claim,
    decision: claim_client_module.Decision,
) -> web.Response:
    """Return the outcome of the request that has claimed the key.

    Wait for up to ``OUTCOME_WAIT_MS`` while that request is in progress.
    """
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
        raise _outcome_unknown(
            "an earlier request with this key got no response"
        )
    raise _refusal(context, claim, decision, limit_ms)


def _refusal(
    context: context_module.Context,
    claim: claim_client_module.Claim,
    decision: claim_client_module.Decision,
    limit_ms: int,
) -> results.RefusedError:
    """Return the refusal of a request whose key has no outcome to return.

    :param limit_ms: the age from which a pending claim gets no outcome, in
        ms.
    """
    if decision.verdict == Verdict.REUSED:
        return results.refuse(
            results.Code.KEY_REUSED,
            "the key was used for a request with another body",
        )
    if decision.verdict == Verdict.EXPIRED:
        return key_expired()
    if decision.verdict == Verdict.PENDING:
        if decision.age_ms >= limit_ms:
            return _outcome_unknown(
                "the router that sent the request recorded no outcome"
            )
        return results.refuse(
            results.Code.IN_PROGRESS,
            "another request with this key is in progress",
            RETRY_AFTER_MS,
        )
    effect = results.Ran.NO
    if decision.verdict == Verdict.UNAVAILABLE:
        effect = _effect_during_outage(context, claim.key, decision)
    return results.refuse(
        results.Code.CLAIMS_UNAVAILABLE,
        "the key could not be claimed, and this request did not run",
        RETRY_AFTER_MS,
        effect,
    )


def _outcome_unknown(detail: str) -> results.RefusedError:
    return results.refuse(results.Code.OUTCOME_UNKNOWN, detail)
