"""Chat completions: streamed, whole and resumed."""

import asyncio
from collections import abc
import dataclasses
import logging

from aiohttp import web
import orjson

from bulrushdale.admission import session as session_module
from bulrushdale.answers import chat
from bulrushdale.answers import engine_stream
from bulrushdale.answers import frames
from bulrushdale.answers import ids
from bulrushdale import results
from bulrushdale import telemetry
from bulrushdale.web import caller as caller_module
from bulrushdale.web import context as context_module
from bulrushdale.web import respond


LOG = logging.getLogger(__name__)

TRIES = 3
OVERLOAD_DELAY_MS = 50
COME_BACK_MS = 1_000
RESUME_WAIT_MS = 2_000
# An answer that ends short, or whose chunks are not what they should be.
BROKEN_ANSWER = (
    engine_stream.CutError,
    engine_stream.NotStartedError,
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
)


@dataclasses.dataclass(slots=True)
class Answer:
    """An answer that an engine has begun.

    :param answer_id: what callers resume it with.
    :param source: the engine's stream.
    :param batches: its frames, a list at a time.
    :param first: the first frames, already taken.
    :param grant: the slot that it runs on.
    """

    answer_id: str
    source: engine_stream.EngineStream
    batches: abc.AsyncIterator[list[bytes]]
    first: list[bytes]
    grant: session_module.Grant


async def models(
    context: context_module.Context, _: web.Request, __: caller_module.Caller
) -> web.Response:
    """Serve ``GET /v1/models``."""
    data = [
        {
            "id": model,
            "object": "model",
            "created": 0,
            "owned_by": "bulrushdale",
        }
        for model in context.view.models()
    ]
    return respond.json_response({"object": "list", "data": data})


async def complete(
    context: context_module.Context,
    request: web.Request,
    caller: caller_module.Caller,
) -> web.StreamResponse:
    """Serve ``POST /v1/chat/completions``."""
    if "Last-Event-ID" in request.headers:
        return await resume(context, request, caller)
    limits = context.settings.limits
    body = await respond.read_body(
        request, limits.body_bytes, limits.body_timeout_ms
    )
    call = chat.parse(body, caller.team)
    started_ms = context.clock.now_ms()
    need, priority = _need(context, caller, call)
    answer = await _open(context, caller, need, call.for_engine(priority))
    first_ms = context.clock.now_ms() - started_ms
    context.telemetry.first_token_ms.record(
        first_ms, {"class": need.service_class}
    )
    caller.timeline.step("first token", f"after {first_ms} ms")
    if call.stream:
        return await _stream(context, request, caller, answer)
    return await _whole(context, caller, answer)


async def resume(
    context: context_module.Context,
    request: web.Request,
    caller: caller_module.Caller,
) -> web.StreamResponse:
    """Serve the rest of an answer behind ``Last-Event-ID``."""
    frame_id = request.headers.get("Last-Event-ID", "")
    answer_id, last = context.signer.verify(frame_id, caller.team)
    target = context.view.target(answer_id.target)
    if target is None:
        raise results.refuse(
            results.Code.ANSWER_GONE, "the engine has left the catalogue"
        )
    need = session_module.SlotRequirements(
        answer_id.pool,
        caller.team,
        caller.spec.class_of_service,
        1,
        RESUME_WAIT_MS,
        0,
    )
    source = engine_stream.EngineStream(
        context.session, target.url, answer_id.request, context.clock
    )
    try:
        await source.reopen(answer_id.stream, last)
    except (engine_stream.GoneError, engine_stream.CutError) as error:
        raise results.refuse(
            results.Code.ANSWER_GONE, f"the answer can't be resumed: {error}"
        ) from error
    caller.timeline.step("resumed", f"{answer_id.target} behind {last}")
    try:
        grant = await context.slot_client.resume(need, answer_id.target)
    except BaseException:
        source.close()
        raise
    text = context.signer.sign(answer_id, caller.team)
    answer = Answer(text, source, source.read(), [], grant)
    return await _stream(context, request, caller, answer)


def _need(
    context: context_module.Context,
    caller: caller_module.Caller,
    call: chat.ChatRequest,
) -> tuple[session_module.SlotRequirements, int]:
    """Return what slot the call needs, and its priority at the engine."""
    pool = context.view.pool_of_model(call.model)
    if pool is None:
        raise results.refuse(
            results.Code.UNKNOWN_MODEL, f"no pool serves model {call.model!r}"
        )
    name = caller.spec.class_of_service
    paid = context.view.service_class(name)
    if call.service_tier and call.service_tier != name:
        lower = context.view.service_class(call.service_tier)
        if lower.weight <= paid.weight:
            name, paid = call.service_tier, lower
    need = session_module.SlotRequirements(
        pool,
        caller.team,
        name,
        paid.weight,
        paid.queue_ms,
        call.affinity,
        call.chat,
        call.tokens,
        name != caller.spec.class_of_service,
    )
    return need, paid.engine_priority


async def _open(
    context: context_module.Context,
    caller: caller_module.Caller,
    need: session_module.SlotRequirements,
    body: bytes,
) -> Answer:
    """Start the call on an engine, on another one if that fails."""
    failed: tuple[str, ...] = ()
    for attempt in range(TRIES):
        if attempt:
            context.telemetry.retries.add(1)
        grant = await _acquire(context, caller, need, failed)
        try:
            return await _start(context, caller, need, grant, body)
        except engine_stream.NotStartedError as error:
            caller.timeline.step("not started", f"{grant.target}: {error}")
            if error.overloaded:
                await context.clock.sleep_ms(OVERLOAD_DELAY_MS)
            else:
                failed += (grant.target,)
            if not context.activity.retry_budget.withdraw():
                break
    raise results.refuse(
        results.Code.NO_TARGET,
        "no engine began the answer",
        COME_BACK_MS,
    )


async def _acquire(
    context: context_module.Context,
    caller: caller_module.Caller,
    need: session_module.SlotRequirements,
    failed: tuple[str, ...],
) -> session_module.Grant:
    with context.telemetry.tracer.start_as_current_span("slot"):
        grant = await context.slot_client.acquire(need, failed)
    caller.timeline.step(
        "slot",
        f"{grant.target} chosen for {grant.reason.name.lower()},"
        f" bound {grant.bound}, by home {grant.coordinator}"
        f" after {grant.waited_ms} ms",
    )
    return grant


async def _start(
    context: context_module.Context,
    caller: caller_module.Caller,
    need: session_module.SlotRequirements,
    grant: session_module.Grant,
    body: bytes,
) -> Answer:
    """Start the call on the engine of a grant; give it back on failure."""
    target = context.targets.get(grant.target)
    if target is None or not context.slot_client.usable(grant):
        context.slot_client.release(grant)
        raise engine_stream.NotStartedError("the slot is too old", True)
    source = engine_stream.EngineStream(
        context.session, target.url, caller.request_id, context.clock
    )
    batches = source.read()
    try:
        with context.telemetry.tracer.start_as_current_span("engine"):
            headers = telemetry.inject() if context.telemetry.tracing else {}
            headers["Content-Type"] = respond.JSON
            await source.start(body, headers)
            context.slot_client.report_started(grant)
            first = await anext(batches)
    except BaseException:
        _abandon(context, source, grant)
        raise
    answer_id = ids.AnswerId(
        need.pool, grant.target, source.stream, caller.request_id
    )
    text = context.signer.sign(answer_id, caller.team)
    return Answer(text, source, batches, first, grant)


_cancelling: set[asyncio.Task[None]] = set()


def _abandon(
    context: context_module.Context,
    source: engine_stream.EngineStream,
    grant: session_module.Grant,
) -> None:
    """Cancel a stream at its engine, in the background.

    Its slot is free only then: until it is cancelled it runs on.
    """

    async def cancel() -> None:
        try:
            await source.cancel()
        finally:
            context.slot_client.release(grant)

    task = asyncio.create_task(cancel())
    _cancelling.add(task)
    task.add_done_callback(_cancelling.discard)


def _close(
    context: context_module.Context,
    caller: caller_module.Caller,
    answer: Answer,
) -> None:
    """Give back the slot, and the engine's stream if it goes on."""
    counts = answer.source.drop_counts
    dropped = counts.foreign + counts.duplicate
    if dropped:
        context.telemetry.dropped_frames.add(dropped)
        caller.timeline.step(
            "dropped frames",
            f"{counts.foreign} crossed, {counts.duplicate} late",
        )
    if answer.source.resumes:
        caller.timeline.step(
            "engine resumed", f"{answer.source.resumes} times"
        )
    if answer.source.done:
        answer.source.release()
        context.slot_client.release(answer.grant)
    else:
        _abandon(context, answer.source, answer.grant)


async def _stream(
    context: context_module.Context,
    request: web.Request,
    caller: caller_module.Caller,
    answer: Answer,
) -> web.StreamResponse:
    """Relay an answer as events; it ends with its end mark or an error."""
    response = web.StreamResponse(
        headers={
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-cache",
            "X-Request-Id": caller.request_id,
            "Bulrushdale-Target": answer.grant.target,
            "Bulrushdale-Cached-Tokens": str(answer.source.cached_tokens),
        }
    )
    try:
        await response.prepare(request)
        number = answer.source.last - len(answer.first) + 1
        prefix = f"id: {answer.answer_id}.".encode()
        await _write(response, prefix, number, answer.first)
        try:
            async for batch in answer.batches:
                number = answer.source.last - len(batch) + 1
                await _write(response, prefix, number, batch)
        except (engine_stream.CutError, engine_stream.NotStartedError) as e:
            await response.write(_error_event(caller, e))
        await response.write_eof()
        caller.timeline.step("sent", f"up to frame {answer.source.last}")
    except ConnectionResetError:
        caller.timeline.step("caller gone", f"at frame {answer.source.last}")
    finally:
        _close(context, caller, answer)
    return response


async def _write(
    response: web.StreamResponse,
    prefix: bytes,
    number: int,
    batch: list[bytes],
) -> None:
    if not batch:
        return
    pieces = [
        b"%b%d\ndata: %b\n\n" % (prefix, number + i, data)
        for i, data in enumerate(batch)
    ]
    await response.write(b"".join(pieces))


def _error_event(caller: caller_module.Caller, error: Exception) -> bytes:
    refusal = results.Refusal(
        results.Code.ANSWER_CUT, f"the answer is not whole: {error}"
    )
    caller.timeline.step("cut", str(error))
    body = respond.error_body(refusal, caller.request_id)
    return b"data: " + orjson.dumps(body) + frames.FRAME_END


async def _whole(
    context: context_module.Context,
    caller: caller_module.Caller,
    answer: Answer,
) -> web.Response:
    """Collect an answer and send it as one completion."""
    whole = chat.CompletionBuilder()
    try:
        for data in answer.first:
            whole.add(data)
        async for batch in answer.batches:
            for data in batch:
                whole.add(data)
    except BROKEN_ANSWER as error:
        raise _not_whole(error) from error
    finally:
        _close(context, caller, answer)
    return web.Response(
        body=whole.body(),
        content_type=respond.JSON,
        headers={
            "X-Request-Id": caller.request_id,
            "Bulrushdale-Target": answer.grant.target,
            "Bulrushdale-Cached-Tokens": str(answer.source.cached_tokens),
        },
    )


def _not_whole(error: Exception) -> results.RefusedError:
    return results.refuse(
        results.Code.ANSWER_CUT,
        f"the answer is not whole: {error}",
        COME_BACK_MS,
    )
