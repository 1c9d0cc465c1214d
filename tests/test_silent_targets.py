"""Requests whose targets, as processes of their own, stand still."""

import asyncio
import contextlib
import json
import signal
import socket

import aiohttp
import pytest

from tests import gateway_fixtures
from tests import router_processes
from tests import streaming_target
from tests import test_killed_targets

TARGETS = 3
MAX_ATTEMPTS = 2
FIND_TIMEOUT_S = 5
# A target that doesn't answer is left within half a second.
FAILOVER_S = 1.5


class StandingStill:
    """Target processes that stand still, and accept no connections."""

    def __init__(self, stack):
        self._stack = stack

    def stop(self, process, address):
        """Stop a process, and fill its queue of connections."""
        process.send_signal(signal.SIGSTOP)
        host, _, port = address.rpartition(":")
        for _ in range(2 * streaming_target.BACKLOG):
            sock = self._stack.enter_context(socket.socket())
            sock.setblocking(False)
            sock.connect_ex((host, int(port)))


@pytest.fixture
async def fleet(tmp_path):
    """Start a router process and three target processes."""
    found = router_processes.Deployment(tmp_path)
    async with found.stack:
        await found.start_store()
        await found.publish(timeout_ms=6_000)
        found.target_processes = {}
        for number in range(TARGETS):
            target = await found.stack.enter_async_context(
                test_killed_targets.running_target("chunked")
            )
            name = f"t{number}"
            found.target_processes[name] = target
            await found.store.put(
                "keyed.servers", name, gateway_fixtures.make_entry(target[1])
            )
        await found.add_process()
        await asyncio.sleep(1)
        yield found


def placed(router, request_id):
    """Return the targets that a request was sent to, in order."""
    lines = [json.loads(s) for s in router.log.splitlines() if s[:1] == "{"]
    return [
        line["target"]
        for line in lines
        if line["event"] == "request.placed"
        and line["request_id"] == request_id
    ]


async def test_stream_runs_at_no_more_silent_targets_than_its_route_allows(
    fleet,
):
    # A target that accepts no connections counted as one that had ended.
    (router,) = fleet.processes
    with contextlib.ExitStack() as stack:
        standing_still = StandingStill(stack)
        async with aiohttp.ClientSession() as caller:
            waiting = asyncio.create_task(
                test_killed_targets.stream(caller, router, "q1", "/plan/x")
            )
            for attempts in range(1, MAX_ATTEMPTS + 1):
                async with asyncio.timeout(FIND_TIMEOUT_S):
                    while len(placed(router, "q1")) < attempts:  # noqa: ASYNC110
                        await asyncio.sleep(0.02)
                await asyncio.sleep(2 * streaming_target.INTERVAL_S)
                target_id = placed(router, "q1")[-1]
                standing_still.stop(*fleet.target_processes[target_id])
            await asyncio.sleep(FAILOVER_S)
            assert len(placed(router, "q1")) == MAX_ATTEMPTS
            for process, _ in fleet.target_processes.values():
                process.send_signal(signal.SIGCONT)
            await waiting
