"""Calls that run at most once for their key."""

from aiohttp import web

from bulrushdale.admission import session as session_module
from bulrushdale.claims import claim_client as claim_client_module
from bulrushdale.claims import claim_table
from bulrushdale.claims import keys
from bulrushdale import results
from bulrushdale.web import caller as caller_module
from bulrushdale.web import calls
from bulrushdale.web import parts as parts_module


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
    parts: parts_module.Parts,
    caller: caller_module.Caller,
    need: session_module.SlotRequirements,
    one_call: calls.Call,
    key: keys.Key,
) -> web.Response:
    """Make a call that runs at most once for its key."""
    try:
        grant = await calls.acquire(parts, caller, need, ())
    except results.RefusedError as error:
        return await _without_slot(parts, caller, one_call, key, error)
    try:
        claim, decision = await parts.claim_client.claim(
            key, one_call.digest()
        )
    except BaseException:
        parts.slot_client.release(grant)
        raise
    caller.story.step("claim", decision.verdict.name.lower())
    if decision.verdict == Verdict.WON:
        return await _call(parts, caller, need, one_call, claim, grant)
    parts.slot_client.release(grant)
    if decision.verdict == Verdict.UNAVAILABLE:
        parts.claim_client.release(claim)
    return await _stand_aside(parts, caller, one_call, claim, decision)


async def _without_slot(
    parts: parts_module.Parts,
    caller: caller_module.Caller,
    one_call: calls.Call,
    key: keys.Key,
    error: results.RefusedError,
) -> web.Response:
    """Refuse for want of a slot, unless the key has run already."""
    claim = claim_client_module.Claim(key, b"", one_call.digest())
    decision = await parts.claim_client.look_up(claim)
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
    decision: claim_client_module.Decision,
) -> results.Ran:
    """Return whether a key may have run while the log can't be read.

    A key that is younger than the log's outage can't have been claimed
    before; of an older one nothing is known.
    """
    down_since_ms = parts.clock.wall_ms() - decision.age_ms
    if key.time_ms > down_since_ms:
        return results.Ran.NO
    return results.Ran.UNKNOWN


async def _call(
    parts: parts_module.Parts,
    caller: caller_module.Caller,
    need: session_module.SlotRequirements,
    one_call: calls.Call,
    claim: claim_client_module.Claim,
    grant: session_module.Grant,
) -> web.Response:
    """Make the call under a claim that was won."""
    failed: tuple[str, ...] = ()
    for _ in range(TRIES):
        try:
            outcome = await calls.send(
                parts, parts.once_session, grant, one_call
            )
        except calls.NotSentError as error:
            caller.story.step("not sent", f"{grant.target}: {error}")
            if not isinstance(error, calls.StaleSlotError):
                failed += (grant.target,)
        except calls.UnansweredError as error:
            caller.story.step("no answer", f"{grant.target}: {error}")
            parts.claim_client.record_outcome(
                claim, claim_table.Outcome(0, b"", "")
            )
            raise results.refuse(
                results.Code.TARGET_FAILED, f"the target failed: {error}"
            ) from error
        else:
            caller.story.step("answered", f"status {outcome.status}")
            parts.claim_client.record_outcome(claim, _kept(outcome))
            return calls.response(caller, outcome)
        finally:
            parts.slot_client.release(grant)
        try:
            grant = await calls.acquire(parts, caller, need, failed)
        except results.RefusedError:
            parts.claim_client.release(claim)
            raise
    parts.slot_client.release(grant)
    parts.claim_client.release(claim)
    raise results.refuse(
        results.Code.NO_TARGET, "no target could be reached", COME_BACK_MS
    )


def _kept(outcome: claim_table.Outcome) -> claim_table.Outcome:
    """Return the outcome as far as it is stored."""
    if len(outcome.body) <= claim_table.MAX_STORED_BODY_BYTES:
        return outcome
    return claim_table.Outcome(outcome.status, b"", "")


async def _stand_aside(
    parts: parts_module.Parts,
    caller: caller_module.Caller,
    one_call: calls.Call,
    claim: claim_client_module.Claim,
    decision: claim_client_module.Decision,
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
        latest = await parts.claim_client.look_up(claim)
        if latest.verdict != Verdict.UNAVAILABLE:
            decision = latest
    caller.story.step("key", decision.verdict.name.lower())
    if decision.verdict == Verdict.DONE and decision.outcome is not None:
        if decision.outcome.status:
            return calls.response(caller, decision.outcome, replayed=True)
        raise _unknown("an earlier call with this key got no answer")
    raise _refusal(parts, claim, decision, limit_ms)


def _refusal(
    parts: parts_module.Parts,
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
        effect = _effect_unavailable(parts, claim.key, decision)
    return results.refuse(
        results.Code.CLAIMS_UNAVAILABLE,
        "the key could not be claimed, and this request did not run",
        COME_BACK_MS,
        effect,
    )


def _unknown(detail: str) -> results.RefusedError:
    return results.refuse(results.Code.OUTCOME_UNKNOWN, detail)
