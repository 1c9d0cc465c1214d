"""The soak's targets: their ids, and how they respond."""

import asyncio
import time

import orjson

from examples.standins import scripted_target
from soak import clock
from soak import proxy as proxy_module
from soak import responses
from soak import routers
from soak import runs

BACKOFF_MS = 1_500
SILENT_RUN_S = 9.0
# Share of the runs that fail while the whole service does.
FAILING_SHARE = 0.95
# Where targets write copies: share of the requests that they refuse, and the
# time for which a request runs.
REFUSED_SHARE = 0.05
COPYING_RUN_S = 0.06
# How long the entry of a target's earlier id stays in the list.
OLD_ENTRY_S = 1.5


async def add(run: runs.Run, name: str) -> None:
    """Start a target behind a proxy and write its entry."""

    async def script(
        request: scripted_target.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool | None:
        run.copies.begin(writer, request.request_id)
        try:
            return await respond(run, name, request, writer)
        finally:
            run.copies.end(writer)

    target = scripted_target.ScriptedTarget(script)
    await target.start()
    run.stack.push_async_callback(target.stop)
    run.targets[name] = target
    run.target_ids[name] = name
    proxy = proxy_module.Proxy(target.address)
    await proxy.start()
    run.stack.callback(proxy.stop)
    run.target_proxies[name] = proxy
    await write_entry(run, name, "ready")


async def write_entry(
    run: runs.Run, name: str, state: str, started_ms: int | None = None
) -> None:
    """Write a target's entry to the store, under its current id.

    :param started_ms: when the target started, in ms since the epoch;
        none if before the run.
    """
    entry = {
        "service": "oven",
        "address": run.target_proxies[name].address,
        "zone": "dc1",
        "slots": 8,
        "state": state,
        "born": run.born_ms if started_ms is None else started_ms,
    }
    await run.store.put(
        "keyed.servers", run.target_ids[name], orjson.dumps(entry)
    )


async def give_new_id(run: runs.Run, name: str) -> None:
    """Give a target a new id; the old entry goes a little later."""
    old_id = run.target_ids[name]
    run.target_ids[name] = f"{name}-{next(run.start_numbers)}"
    run.record_event(f"{old_id} is {run.target_ids[name]} now")
    await write_entry(run, name, "ready", time.time_ns() // 1_000_000)
    await asyncio.sleep(OLD_ENTRY_S)
    await run.store.put("keyed.servers", old_id, b"")


async def exchange_addresses(run: runs.Run, name: str, other: str) -> None:
    """Let two targets start again, each at the other's address."""
    ids = run.target_ids
    ids[name], ids[other] = ids[other], ids[name]
    run.record_event(f"{ids[name]} and {ids[other]} exchange addresses")
    for place in (name, other):
        run.checker.record_new_start(ids[place])
        await write_entry(run, place, "ready", time.time_ns() // 1_000_000)


async def respond(
    run: runs.Run,
    name: str,
    request: scripted_target.ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> bool | None:
    """Respond as one of the targets, and record what it sees.

    :param name: the target's name.
    :param request: the request that arrived.
    :param writer: stream to the router.
    :return: ``False`` if the connection is to be closed.
    """
    run.checker.repeats.record_arrival(request.request_id, clock.now_ms())
    target_id = run.target_ids[name]
    if request.headers.get("x-expect-instance") != target_id:
        _refuse(run, request, writer, "421 Misdirected")
        return None
    router = run.router_by_request[request.request_id]
    # A process that was killed may have sent it, and reads no notice.
    is_read = run.reads_response(request.request_id)
    if is_read:
        now_ms = clock.now_ms()
        run.checker.record_arrival(
            target_id,
            router.name,
            now_ms,
            run.fault_free_ms(router, name, now_ms),
        )
    fault = run.target_faults.get(name, "")
    share = 1.0 if fault == "backoff" else 0.4
    if not fault and run.failure:
        fault, share = run.failure, FAILING_SHARE
    if run.random.random() >= share:
        fault = ""
    if fault == "backoff":
        if is_read:
            run.checker.record_backoff_notice(
                target_id, router.name, clock.now_ms(), BACKOFF_MS
            )
        _refuse(
            run,
            request,
            writer,
            "503 Full",
            X_Not_Executed="1",
            Retry_After=f"{BACKOFF_MS / 1000}",
        )
        return None
    if run.story.copied and run.random.random() < REFUSED_SHARE:
        _refuse(run, request, writer, "503 Full", X_Not_Executed="1")
        return None
    old_key = request.headers.get("x-own-key") == runs.OLD_KEY
    run.checker.record_execution(
        request.request_id,
        target_id,
        old_key,
        clock.now_ms(),
        run.must_know_changes(request.request_id),
    )
    try:
        return await _run_request(run, name, router, fault, request, writer)
    finally:
        now_ms = clock.now_ms()
        run.checker.record_end(
            request.request_id,
            target_id,
            now_ms,
            run.fault_free_ms(router, name, now_ms),
        )


def _refuse(
    run: runs.Run,
    request: scripted_target.ReceivedRequest,
    writer: asyncio.StreamWriter,
    status: str,
    **extra: str,
) -> None:
    """Refuse a request without running it."""
    response = scripted_target.response(request, status, **extra)
    if run.story.copied:
        _keep_for_copy(run, request, writer, response)
    writer.write(response)


def _keep_for_copy(
    run: runs.Run,
    request: scripted_target.ReceivedRequest,
    writer: asyncio.StreamWriter,
    response: bytes,
) -> None:
    """Keep a response to be written once more."""
    if run.story.copied_without_id:
        response = scripted_target.without_id(response)
    run.copies.keep(writer, request, response)


async def _run_request(
    run: runs.Run,
    name: str,
    router: routers.Router,
    fault: str,
    request: scripted_target.ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> bool | None:
    """Run a request at a target.

    :param name: the target's name.
    :param router: the router that sent it.
    :param fault: how the run fails; empty if it doesn't.
    :param writer: stream to the router.
    :return: ``False`` if the connection is to be closed.
    """
    if run.story.copied:
        await asyncio.sleep(COPYING_RUN_S)
    run.copies.begin_answer(writer)
    if fault == "error":
        _answer(
            run,
            request,
            writer,
            scripted_target.response(request, "500 Broken"),
        )
        return None
    if fault:
        return await responses.send_faulty_response(fault, request, writer)
    if "/review/" in request.line:
        await asyncio.sleep(SILENT_RUN_S)
    if any(f"/{kind}/" in request.line for kind in ("chat", "plan", "review")):
        await responses.send_stream(request, writer, responses.STREAM_EVENTS)
        writer.write(scripted_target.chunk(b""))
        return None
    extra = {}
    if name == run.leaving_target:
        if run.reads_response(request.request_id):
            run.checker.record_leaving_notice(
                name, router.name, clock.now_ms()
            )
        extra["Server_Leaving"] = "1"
    body = f"{request.request_id} done".encode()
    response = scripted_target.response(request, body=body, **extra)
    _answer(run, request, writer, response)
    return None


def _answer(
    run: runs.Run,
    request: scripted_target.ReceivedRequest,
    writer: asyncio.StreamWriter,
    response: bytes,
) -> None:
    """Write the answer to a request that ran."""
    if run.story.copied == "responses":
        _keep_for_copy(run, request, writer, response)
    writer.write(response)
