"""Ends of requests that are lost on a path that is cut."""

import asyncio
import contextlib
import socket

import aiohttp
import pytest

from bulrushdale.forwarding import sessions
from examples.standins import scripted_target
from soak import proxy as proxy_module
from tests import cut_off
from tests import gateway_fixtures
from tests import router_processes

# A run without a word; the request goes on elsewhere after half a second.
SILENT_RUN_S = 20.0
CUT_S = 2.0
FAILOVER_S = 1.0
# To open a connection to each target, which the next request uses.
WARM_UP_REQUESTS = 8
# More than the kernel's buffers hold.
BODY_BYTES = 32 << 20
FIND_TIMEOUT_S = 5
# Targets are told by then, once their path is back.
TELL_TIMEOUT_S = 3.0


class SilentTarget:
    """A target behind a path that can be cut.

    :ivar at_work: the ids of the requests that it works on.
    """

    def __init__(self):
        self.at_work = set()
        self.silent = True
        self.target = scripted_target.ScriptedTarget(self._respond)
        self.proxy = None

    async def start(self, stack):
        await self.target.start()
        stack.push_async_callback(self.target.stop)
        self.proxy = proxy_module.Proxy(self.target.address)
        await self.proxy.start()
        stack.callback(self.proxy.stop)

    async def _respond(self, request, writer):
        self.at_work.add(request.request_id)
        try:
            if self.silent:
                await asyncio.sleep(SILENT_RUN_S)
            await gateway_fixtures.respond(request, writer)
        finally:
            self.at_work.discard(request.request_id)


async def wait_for(condition, timeout_s):
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.02)


@pytest.fixture
async def fleet(tmp_path):
    """Start a router process and two targets, each behind a path."""
    found = router_processes.Deployment(tmp_path)
    async with found.stack:
        await found.start_store()
        await found.publish(timeout_ms=int(SILENT_RUN_S * 1000))
        found.silent_targets = [SilentTarget(), SilentTarget()]
        for number, target in enumerate(found.silent_targets):
            await target.start(found.stack)
            await found.store.put(
                "keyed.servers",
                f"t{number}",
                gateway_fixtures.make_entry(target.proxy.address),
            )
        await found.add_process()
        await asyncio.sleep(1)
        yield found


@contextlib.asynccontextmanager
async def sent_stream(url, request_id):
    """Send the request of a stream that may be repeated."""
    async with aiohttp.ClientSession() as caller:

        async def send():
            async with caller.post(
                url,
                headers={
                    "Host": "example.test",
                    "X-Request-Id": request_id,
                    "X-Deadline-Ms": str(int(SILENT_RUN_S * 1000)),
                    "Authorization": "Bearer key-1",
                },
            ) as response:
                await response.read()

        sending = asyncio.create_task(send())
        try:
            yield sending
        finally:
            sending.cancel()
            await asyncio.wait([sending])


async def first_at_work(fleet, request_id):
    """Wait until a target works on a request; return it and the others."""
    targets = fleet.silent_targets

    def working():
        return [t for t in targets if request_id in t.at_work]

    await wait_for(working, FIND_TIMEOUT_S)
    # Its kernel has acknowledged the request by now.
    await asyncio.sleep(0.1)
    (first,) = working()
    return first, [t for t in targets if t is not first]


async def test_request_that_goes_on_elsewhere_ends_at_a_target_cut_off_before(
    fleet,
):
    (router,) = fleet.processes
    async with sent_stream(router.url("/plan/x"), "q1"):
        first, (second,) = await first_at_work(fleet, "q1")
        first.proxy.mode = proxy_module.Mode.CUT
        await wait_for(lambda: "q1" in second.at_work, FIND_TIMEOUT_S)
        await asyncio.sleep(CUT_S)
        assert "q1" in first.at_work
        first.proxy.mode = proxy_module.Mode.PASS
        await wait_for(lambda: "q1" not in first.at_work, TELL_TIMEOUT_S)


async def test_request_whose_caller_left_ends_at_a_target_cut_off_before(
    fleet,
):
    (router,) = fleet.processes
    async with sent_stream(router.url("/plan/x"), "q1") as sending:
        first, _ = await first_at_work(fleet, "q1")
        first.proxy.mode = proxy_module.Mode.CUT
        sending.cancel()
        await asyncio.sleep(CUT_S)
        first.proxy.mode = proxy_module.Mode.PASS
        await wait_for(lambda: "q1" not in first.at_work, TELL_TIMEOUT_S)


async def test_request_whose_caller_left_ends_behind_a_relay_cut_off_before():
    async with gateway_fixtures.running_deployment("t1") as deployment:
        deployment.silent_targets = [SilentTarget()]
        (target,) = deployment.silent_targets
        await target.start(deployment.stack)
        await deployment.publish(version=2, timeout_ms=int(SILENT_RUN_S * 1e3))
        await deployment.store.put(
            "keyed.servers",
            "t1",
            gateway_fixtures.make_entry(target.proxy.address, started_ms=2),
        )
        network = cut_off.Network(asyncio.get_running_loop())
        network.ports = {int(target.proxy.address.rpartition(":")[2])}
        network.cut_off["r2"] = ConnectionRefusedError()
        router = await network.start_router(
            deployment,
            "r2",
            host="127.0.0.2",
            relay_port=deployment.routers[0].settings.relay_port,
        )
        await deployment.wait_ready(router)
        # Routers report to each other four times a second.
        await asyncio.sleep(1)
        url = deployment.url("/plan/x", router)
        async with sent_stream(url, "q1") as sending:
            first, _ = await first_at_work(deployment, "q1")
            first.proxy.mode = proxy_module.Mode.CUT
            sending.cancel()
            await asyncio.sleep(CUT_S)
            first.proxy.mode = proxy_module.Mode.PASS
            await wait_for(lambda: "q1" not in first.at_work, TELL_TIMEOUT_S)


async def test_request_given_up_in_a_cut_is_not_delivered_after_it(fleet):
    (router,) = fleet.processes
    for target in fleet.silent_targets:
        target.silent = False
    for number in range(WARM_UP_REQUESTS):
        async with sent_stream(router.url("/plan/x"), f"w{number}") as sending:
            await sending
    for target in fleet.silent_targets:
        assert target.target.received
        target.proxy.mode = proxy_module.Mode.CUT
    async with sent_stream(router.url("/plan/x"), "q1"):
        await asyncio.sleep(FAILOVER_S)
    await asyncio.sleep(CUT_S)
    for target in fleet.silent_targets:
        target.proxy.mode = proxy_module.Mode.PASS
    await asyncio.sleep(TELL_TIMEOUT_S)
    for target in fleet.silent_targets:
        assert "q1" not in [r.request_id for r in target.target.received]


async def test_request_that_its_target_does_not_read_is_withdrawn_at_once():
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as server:
        server.setblocking(False)
        host, port = server.getsockname()
        async with sessions.open_session() as session:
            sending = asyncio.create_task(
                session.post(f"http://{host}:{port}/", data=b"x" * BODY_BYTES)
            )
            accepted, _ = await loop.sock_accept(server)
            await asyncio.sleep(0.2)
            sending.cancel()
            await asyncio.sleep(0.1)
            received = 0
            with accepted, pytest.raises(ConnectionResetError):
                while True:
                    received += len(await loop.sock_recv(accepted, 1 << 20))
                    await asyncio.sleep(0.01)
            assert received < BODY_BYTES / 2
