"""Signals that come in series, at router processes."""

import asyncio
import signal

import aiohttp
import pytest

from examples.standins import scripted_target
from tests import router_processes
from tests import test_killed_routers

deployment = router_processes.deployment
caller = test_killed_routers.caller

REQUESTS = 6


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
async def test_further_signal_to_stop_cuts_off_no_request(
    deployment, caller, number
):
    # The drain ended at the second one, without answers.
    router = deployment.processes[0]

    async def respond_late(request, writer):
        await asyncio.sleep(2)
        writer.write(scripted_target.response(request))

    deployment.targets[0].script = respond_late
    waiting = [
        asyncio.create_task(test_killed_routers.send(caller, router, f"q{n}"))
        for n in range(REQUESTS)
    ]
    await asyncio.sleep(0.3)
    router.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.5)
    router.process.send_signal(number)
    assert await asyncio.gather(*waiting) == [(200, b"ok", True)] * REQUESTS
    async with asyncio.timeout(10):
        assert await router.process.wait() == 0


async def test_changed_settings_during_a_start_do_not_end_the_router(
    tmp_path,
):
    # SIGHUP came before its handler was installed.
    found = router_processes.Deployment(tmp_path)
    async with found.stack, aiohttp.ClientSession() as session:
        await found.start_store()
        await found.publish()
        await found.add_target("t1")
        starting = asyncio.create_task(found.add_process())
        async with asyncio.timeout(10):
            while not found.processes:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            (router,) = found.processes
            while not await router.listens():  # noqa: ASYNC110
                await asyncio.sleep(0.025)
        router.process.send_signal(signal.SIGHUP)
        await starting
        status, _, _ = await test_killed_routers.send(session, router, "q1")
        assert status == 200
