"""The other processes keep serving when any one process is killed."""

import asyncio
from collections import abc
import time

import pytest
import pytest_asyncio

from bulrushdale.claims import keys
from examples import deployment

pytestmark = pytest.mark.asyncio(loop_scope="module")

SERVING_TIMEOUT_S = 10


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def up() -> abc.AsyncIterator[deployment.Deployment]:
    shape = deployment.Shape(routers=3, engines=2, services=2)
    async with deployment.Deployment(shape) as found:
        yield found


async def wait_serving(up, router: str, orders: bool) -> None:
    """Wait until a router serves a chat, and an order if requested."""
    deadline = time.monotonic() + SERVING_TIMEOUT_S
    while True:
        status, body, _ = await up.chat(router)
        if status == 200 and orders:
            key = keys.generate(time.time_ns() // 1_000_000)
            status, body, _ = await up.order(router, key)
        if status == 200:
            return
        assert time.monotonic() < deadline, (router, body)
        await asyncio.sleep(0.1)


@pytest.mark.parametrize(
    "name",
    [
        "mid-a-engine-0",
        "mid-a-order-1",
        "mid-a-router-0",
        "mid-a-router-1",
        "mid-a-router-2",
        "vm-list",
        "store",
    ],
)
async def test_the_others_serve(up, name: str) -> None:
    up.kill(name)
    alive = [router for router in up.router_names() if router != name]
    for router in alive:
        await wait_serving(up, router, orders=name != "store")
    if name == "store":
        return
    await up.restart(name)
    if name == "vm-list":
        await up.publish_vms()
    await up.wait_ready()


async def test_without_the_log_orders_are_refused_at_once(up) -> None:
    key = keys.generate(time.time_ns() // 1_000_000)
    status, body, headers = await up.order("mid-a-router-0", key)
    assert (status, body["error"]["code"]) == (503, "3006")
    assert int(headers["Retry-After"]) >= 1
