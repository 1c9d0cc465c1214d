"""Routers that reach no target are served by routers that do."""

import asyncio

import aiohttp
import pytest

from tests import cut_off
from tests import gateway_fixtures

# Connections of a router that is cut off are refused, or hang.
FORMS = {"refused": ConnectionRefusedError(), "hanging": None}
# The users ask for two thirds of the share served elsewhere.
SERVED_SHARE = 2 / 3
REQUESTS = 30
PATHS = ["/lookup/1", "/order/1", "/plan/1", "/chat/1"]


@pytest.fixture
async def fleet():
    """Start three targets and three routers; return deployment, network."""
    async with gateway_fixtures.running_deployment("t0") as deployment:
        network = cut_off.Network(asyncio.get_running_loop())
        for number in range(1, 3):
            await deployment.add_target(f"t{number}")
        for number in range(2, 4):
            await network.start_router(
                deployment, f"r{number}", host=f"127.0.0.{number}"
            )
        for router in deployment.routers:
            await deployment.wait_ready(router)
        network.ports = {
            int(target.address.rpartition(":")[2])
            for target in deployment.targets
        }
        # Routers report to each other four times a second.
        await asyncio.sleep(1)
        yield deployment, network


@pytest.fixture
async def caller():
    """Open an HTTP client session for callers."""
    connector = aiohttp.TCPConnector(force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        yield session


async def send(deployment, caller, number, path, router, **headers):
    """Send a request to a router; return its response and body."""
    async with caller.post(
        deployment.url(path, router),
        headers={
            "Host": "example.test",
            "X-Request-Id": f"q{number}",
            "X-Deadline-Ms": "3000",
            "X-Prompt-Prefix": f"book:300,own{number}:10",
            "X-Token-Counts": "310,30",
            "Authorization": "Bearer key-1",
            **headers,
        },
        data=b"body %d" % number,
    ) as response:
        return response, await response.read()


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("form", FORMS)
async def test_first_tries_at_a_cut_off_router_are_served(
    fleet, caller, form, path
):
    deployment, network = fleet
    network.cut_off["r2"] = FORMS[form]
    router = deployment.routers[1]
    # It finds all targets unreachable.
    for number in range(4):
        await send(deployment, caller, 100 + number, path, router)
    served = 0
    for number in range(REQUESTS):
        response, _ = await send(deployment, caller, number, path, router)
        served += response.status == 200
    assert served >= SERVED_SHARE * REQUESTS
