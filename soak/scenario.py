"""Run the soak for one seed: start processes, inject faults, call."""

import asyncio
import itertools
import pathlib
import shutil
import signal
import tempfile
import time

import aiohttp
from aiohttp import web

from examples.standins import scripted_target
from soak import checker as checker_module
from soak import crowds
from soak import faults
from soak import proxy as proxy_module
from soak import responses
from soak import routers as routers_module
from soak import runs
from soak import series
from soak import stories
from soak import targets

HOST = "127.0.0.1"
CALLERS = 12
# After a request that failed.
CALLER_PAUSE_S = 0.12
HTTP_OK = 200
# Requests that come at a steady rate, whatever becomes of those before.
STEADY_GAP_S = 0.006
# Share of them whose first event comes late.
SILENT_SHARE = 0.04


async def run_seed(
    seed: int, seconds: float, routers: int, story: stories.Story | None = None
) -> checker_module.Checker:
    """Run one seed; keep the routers' logs if a guarantee was violated.

    :param seed: seed of the random faults and requests.
    :param seconds: duration of faults and requests, in s.
    :param routers: number of router processes.
    :param story: the lasting faults; none to draw them.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    run = runs.Run(seed, routers, folder, story)
    run.record_event(str(run.story))
    async with run.stack:
        try:
            await _start_fleet(run)
            end_s = time.monotonic() + seconds
            callers = [
                asyncio.create_task(_send_requests(run, number, end_s))
                for number in range(CALLERS)
            ]
            callers.append(asyncio.create_task(_send_steadily(run, end_s)))
            await asyncio.gather(
                faults.inject_faults(run, end_s),
                series.tell_story(run, end_s),
                crowds.send_crowds(run, end_s),
            )
            await asyncio.gather(*callers)
        finally:
            for router in run.routers:
                router.send_signal(signal.SIGKILL)
                await router.wait()
    run.checker.check_repeats()
    if run.checker.violations:
        run.checker.trace = [*run.history, f"logs: {folder}"]
    else:
        shutil.rmtree(folder)
    return run.checker


async def _start_fleet(run: runs.Run) -> None:
    """Start the store, the targets and the routers."""
    runner = web.AppRunner(run.store.app(), shutdown_timeout=0.1)
    await runner.setup()
    run.stack.push_async_callback(runner.cleanup)
    site = web.TCPSite(runner, HOST, 0)
    await site.start()
    port = runner.addresses[0][1]
    await run.publish_configuration((runs.OLD_KEY, runs.KEY))
    for number in range(run.story.targets):
        await targets.add(run, f"t{number}")
    for router in run.routers:
        router.store_proxy = proxy_module.Proxy(f"{HOST}:{port}")
        await router.store_proxy.start()
        run.stack.callback(router.store_proxy.stop)
        await router.start()
    await asyncio.sleep(2.5)


async def _send_requests(run: runs.Run, number: int, end_s: float) -> None:
    """Send requests in sequence, mostly on persistent connections."""
    count = 0
    async with aiohttp.ClientSession() as session:
        session._retry_connection = False
        while time.monotonic() < end_s:
            count += 1
            request_id = f"c{number}-{count}"
            kind = run.random.choice(["order", "lookup", "chat", "plan"])
            if not await _send_one(run, session, kind, request_id):
                await asyncio.sleep(CALLER_PAUSE_S)


async def _send_steadily(run: runs.Run, end_s: float) -> None:
    """Send requests at a steady rate, whatever becomes of them."""
    async with (
        aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session,
        asyncio.TaskGroup() as group,
    ):
        session._retry_connection = False
        for count in itertools.count():
            if time.monotonic() >= end_s:
                break
            kind = "lookup"
            if run.story.copied and not run.story.failure:
                kind = "order"
            if run.story.cuts and run.random.random() < SILENT_SHARE:
                kind = "review"
            group.create_task(_send_one(run, session, kind, f"s-{count}"))
            await asyncio.sleep(STEADY_GAP_S)


async def _send_one(
    run: runs.Run, session: aiohttp.ClientSession, kind: str, request_id: str
) -> bool:
    """Send one request to a random router; return whether it succeeded."""
    router = run.random.choice(run.routers)
    run.record_sent(request_id, router, kind in ("order", "chat"))
    try:
        async with asyncio.timeout(15 if kind == "review" else 6):
            return await _send_request(run, session, router, kind, request_id)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        run.checker.record_lost(type(error).__name__)
        return False


async def _send_request(
    run: runs.Run,
    session: aiohttp.ClientSession,
    router: routers_module.Router,
    kind: str,
    request_id: str,
) -> bool:
    """Send one request and record its response.

    :param kind: name of the route, which is also the first part of the path.
    :return: whether it succeeded.
    """
    key = run.key
    headers = {
        "Host": "example.test",
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "14000" if kind == "review" else "4000",
        "Authorization": f"Bearer {key}",
        "X-Own-Key": key,
        "X-Prompt-Prefix": f"{request_id[:2]}:700,{request_id}:20",
    }
    async with session.post(
        f"http://{router.caller_address}/{kind}/x", headers=headers, data=b"x"
    ) as response:
        body = await response.read()
        expected = f"{request_id} done".encode()
        if kind in ("chat", "plan", "review"):
            expected = b"".join(
                scripted_target.event(n)
                for n in range(responses.STREAM_EVENTS)
            )
        run.checker.record_response(
            request_id,
            response.status,
            response.headers.get("X-Request-Id", ""),
            body == expected,
            key == runs.OLD_KEY,
        )
        return response.status == HTTP_OK
