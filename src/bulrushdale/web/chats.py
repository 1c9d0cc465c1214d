"""Chat completions: streamed, complete and resumed."""

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
from bulrushdale.forwarding import memory_account
from bulrushdale import results
from bulrushdale import telemetry
from bulrushdale.web import caller as caller_module
from bulrushdale.web import context as context_module
from bulrushdale.web import respond


LOG = logging.getLogger(__name__)

MAX_ATTEMPTS = 3
OVERLOAD_DELAY_MS = 50
RETRY_AFTER_MS = 1_000
RESUME_WAIT_MS = 2_000
# Errors of an answer that ends early or has invalid chunks.
INCOMPLETE_ANSWER_ERRORS = (
    engine_stream.CutError,
    engine_stream.NotStartedError,
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
)


@dataclasses.dataclass(slots=True)
class Answer:
    """An answer that an engine has started.

    :param signed_id: the signed id with which callers resume the answer.
    :param source: the engine's stream.
    :param batches: the frames of the stream, in lists.
    :param first: the first frames, which are already read.
    :param grant: the slot that the answer runs on.
    """

    signed_id: str
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
    await _hold_objects(caller, body)
    chat_request = chat.parse(body, caller.team)
    started_ms = context.clock.now_ms()
    requirements, priority = _slot_requirements(context, caller, chat_request)
    answer = await _start_with_retries(
        context, caller, requirements, chat_request.for_engine(priority)
    )
    first_ms = context.clock.now_ms() - started_ms
    context.telemetry.first_token_ms.record(
        first_ms, {"class": requirements.service_class}
    )
    caller.timeline.step("first token", f"after {first_ms} ms")
    if chat_request.stream:
        return await _send_stream(context, request, caller, answer)
    return await _send_complete(context, caller, answer)


async def _hold_objects(caller: caller_module.Caller, body: bytes) -> None:
    """Hold the memory of the objects that a body is parsed into.

    :raises bulrushdale.results.RefusedError: if there is no room for them.
    """
    size_bytes = chat.parsed_bytes(body)
    if size_bytes <= memory_account.SMALL_BYTES:
        return
    limit_bytes = caller.holder.limit_bytes
    if limit_bytes and size_bytes + len(body) > limit_bytes:
        raise results.refuse(
            results.Code.BODY_TOO_LARGE,
            "the body has more values than this router has memory for",
        )
    await caller.holder.add(size_bytes)


async def resume(
    context: context_module.Context,
    request: web.Request,
    caller: caller_module.Caller,
) -> web.StreamResponse:
    """Serve the rest of an answer, after the frame in ``Last-Event-ID``."""
    frame_id = request.headers.get("Last-Event-ID", "")
    answer_id, last_number = context.signer.verify(frame_id, caller.team)
    target = context.view.target(answer_id.target)
    if target is None:
        raise results.refuse(
            results.Code.ANSWER_GONE,
            "the answer's target isn't in the catalogue any more",
        )
    requirements = session_module.SlotRequirements(
        answer_id.pool,
        caller.team,
        caller.spec.class_of_service,
        1,
        RESUME_WAIT_MS,
        0,
    )
    source = engine_stream.EngineStream(
        context.session, target.url, answer_id.request_id, context.clock
    )
    try:
        await source.reopen(answer_id.stream_id, last_number)
    except (engine_stream.GoneError, engine_stream.CutError) as error:
        raise results.refuse(
            results.Code.ANSWER_GONE, f"the answer can't be resumed: {error}"
        ) from error
    caller.timeline.step(
        "resumed", f"{answer_id.target} after frame {last_number}"
    )
    try:
        grant = await context.slot_client.resume(
            requirements, answer_id.target
        )
    except BaseException:
        source.close()
        raise
    signed_id = context.signer.sign(answer_id, caller.team)
    answer = Answer(signed_id, source, source.read(), [], grant)
    return await _send_stream(context, request, caller, answer)


def _slot_requirements(
    context: context_module.Context,
    caller: caller_module.Caller,
    chat_request: chat.ChatRequest,
) -> tuple[session_module.SlotRequirements, int]:
    """Return what slot a request needs, and its priority at the engine.

    A request may ask for another class of service than its team's, if the
    weight of that class isn't higher.
    """
    pool = context.view.pool_of_model(chat_request.model)
    if pool is None:
        raise results.refuse(
            results.Code.UNKNOWN_MODEL,
            f"no pool serves model {chat_request.model!r}",
        )
    name = caller.spec.class_of_service
    service_class = context.view.service_class(name)
    if chat_request.service_tier and chat_request.service_tier != name:
        requested = context.view.service_class(chat_request.service_tier)
        if requested.weight <= service_class.weight:
            name, service_class = chat_request.service_tier, requested
    requirements = session_module.SlotRequirements(
        pool,
        caller.team,
        name,
        service_class.weight,
        service_class.queue_ms,
        chat_request.affinity_key,
        chat_request.chat,
        chat_request.tokens,
        name != caller.spec.class_of_service,
    )
    return requirements, service_class.engine_priority


async def _start_with_retries(
    context: context_module.Context,
    caller: caller_module.Caller,
    requirements: session_module.SlotRequirements,
    body: bytes,
) -> Answer:
    """Start an answer on an engine, with retries.

    An engine that failed isn't tried again; an overloaded one may be. A
    failed attempt releases its slot.

    :param body: the request body for the engine.
    :raises bulrushdale.results.RefusedError: if no slot is granted, or no
        engine starts the answer.
    """
    excluded: tuple[str, ...] = ()
    may_have_run = False
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            context.telemetry.retries.add(1)
        try:
            grant = await _acquire(context, caller, requirements, excluded)
        except results.RefusedError as error:
            if may_have_run:
                raise results.after_attempt(error) from error
            raise
        try:
            return await _start_on_engine(
                context, caller, requirements, grant, body
            )
        except engine_stream.NotStartedError as error:
            caller.timeline.step("not started", f"{grant.target}: {error}")
            may_have_run |= error.may_have_run
            if error.overloaded:
                await context.clock.sleep_ms(OVERLOAD_DELAY_MS)
            else:
                excluded += (grant.target,)
            if not context.serving.retry_quota.spend():
                break
    refused = results.refuse(
        results.Code.NO_TARGET,
        "no engine started the answer",
        RETRY_AFTER_MS,
    )
    raise results.after_attempt(refused) if may_have_run else refused


async def _acquire(
    context: context_module.Context,
    caller: caller_module.Caller,
    requirements: session_module.SlotRequirements,
    excluded: tuple[str, ...],
) -> session_module.Grant:
    """Acquire a slot, and add it to the timeline.

    :param excluded: targets that have already failed the request.
    """
    with context.telemetry.tracer.start_as_current_span("slot"):
        grant = await context.slot_client.acquire(requirements, excluded)
    caller.timeline.step(
        "slot",
        f"{grant.target} chosen for {grant.reason.name.lower()},"
        f" bound {grant.bound}, by coordinator {grant.coordinator}"
        f" after {grant.waited_ms} ms",
    )
    return grant


async def _start_on_engine(
    context: context_module.Context,
    caller: caller_module.Caller,
    requirements: session_module.SlotRequirements,
    grant: session_module.Grant,
    body: bytes,
) -> Answer:
    """Start an answer on the engine of a grant; release it on failure."""
    target = context.targets.get(grant.target)
    if target is None or not context.slot_client.usable(grant):
        context.slot_client.release(grant)
        raise engine_stream.NotStartedError(
            "the target is gone, or the slot is too old",
            overloaded=True,
            may_have_run=False,
        )
    source = engine_stream.EngineStream(
        context.session, target.url, caller.request_id, context.clock
    )
    batches = source.read()
    try:
        with context.telemetry.tracer.start_as_current_span("engine"):
            headers = telemetry.inject() if context.telemetry.tracing else {}
            headers["Content-Type"] = respond.JSON
            caller.holder.sent = True
            await source.start(body, headers)
            context.slot_client.report_started(grant)
            first = await anext(batches)
    except BaseException:
        _cancel_in_background(context, source, grant)
        raise
    answer_id = ids.AnswerId(
        requirements.pool, grant.target, source.stream_id, caller.request_id
    )
    signed_id = context.signer.sign(answer_id, caller.team)
    return Answer(signed_id, source, batches, first, grant)


_cancelling: set[asyncio.Task[None]] = set()


def _cancel_in_background(
    context: context_module.Context,
    source: engine_stream.EngineStream,
    grant: session_module.Grant,
) -> None:
    """Cancel a stream at its engine in the background.

    The slot is released afterwards, because the engine works on the answer
    until it is cancelled.
    """

    async def cancel() -> None:
        try:
            await source.cancel()
        finally:
            context.slot_client.release(grant)

    task = asyncio.create_task(cancel())
    _cancelling.add(task)
    task.add_done_callback(_cancelling.discard)


def _finish(
    context: context_module.Context,
    caller: caller_module.Caller,
    answer: Answer,
) -> None:
    """Release the slot; cancel the engine's stream if it hasn't ended."""
    counts = answer.source.drop_counts
    dropped = counts.foreign + counts.duplicate
    if dropped:
        context.telemetry.dropped_frames.add(dropped)
        caller.timeline.step(
            "dropped frames",
            f"{counts.foreign} foreign, {counts.duplicate} duplicate",
        )
    if answer.source.resumes:
        caller.timeline.step(
            "engine resumed", f"{answer.source.resumes} times"
        )
    if answer.source.done:
        answer.source.release()
        context.slot_client.release(answer.grant)
    else:
        _cancel_in_background(context, answer.source, answer.grant)


async def _send_stream(
    context: context_module.Context,
    request: web.Request,
    caller: caller_module.Caller,
    answer: Answer,
) -> web.StreamResponse:
    """Send an answer as events.

    The last event is the end mark of the answer or an error.
    """
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
        number = answer.source.last_number - len(answer.first) + 1
        prefix = f"id: {answer.signed_id}.".encode()
        await _write_events(response, prefix, number, answer.first)
        try:
            async for batch in answer.batches:
                number = answer.source.last_number - len(batch) + 1
                await _write_events(response, prefix, number, batch)
        except (engine_stream.CutError, engine_stream.NotStartedError) as e:
            await response.write(_error_event(caller, e))
        await response.write_eof()
        caller.timeline.step(
            "sent", f"up to frame {answer.source.last_number}"
        )
    except ConnectionResetError:
        caller.timeline.step(
            "caller gone", f"at frame {answer.source.last_number}"
        )
    finally:
        _finish(context, caller, answer)
    return response


async def _write_events(
    response: web.StreamResponse,
    prefix: bytes,
    number: int,
    batch: list[bytes],
) -> None:
    """Write frames as events whose ids callers can resume after.

    :param prefix: the part of the ids before the number.
    :param number: the number of the first frame.
    :param batch: the data of the frames.
    """
    if not batch:
        return
    pieces = [
        b"%b%d\ndata: %b\n\n" % (prefix, number + i, data)
        for i, data in enumerate(batch)
    ]
    await response.write(b"".join(pieces))


def _error_event(caller: caller_module.Caller, error: Exception) -> bytes:
    """Return the event that ends an incomplete answer.

    The error is added to the timeline.
    """
    refusal = results.Refusal(
        results.Code.ANSWER_CUT, f"the answer is incomplete: {error}"
    )
    caller.timeline.step("cut", str(error))
    body = respond.error_body(refusal, caller.request_id)
    return b"data: " + orjson.dumps(body) + frames.FRAME_END


async def _send_complete(
    context: context_module.Context,
    caller: caller_module.Caller,
    answer: Answer,
) -> web.Response:
    """Collect an answer and return it as one completion."""
    completion = chat.CompletionBuilder()
    try:
        for data in answer.first:
            completion.add(data)
        async for batch in answer.batches:
            for data in batch:
                completion.add(data)
    except INCOMPLETE_ANSWER_ERRORS as error:
        raise _incomplete(error) from error
    finally:
        _finish(context, caller, answer)
    body = completion.body()
    caller.holder.add_complete(len(body))
    return web.Response(
        body=body,
        content_type=respond.JSON,
        headers={
            "X-Request-Id": caller.request_id,
            "Bulrushdale-Target": answer.grant.target,
            "Bulrushdale-Cached-Tokens": str(answer.source.cached_tokens),
        },
    )


def _incomplete(error: Exception) -> results.RefusedError:
    return results.refuse(
        results.Code.ANSWER_CUT,
        f"the answer is incomplete: {error}",
        RETRY_AFTER_MS,
    )
