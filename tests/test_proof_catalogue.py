"""Promise 7: accepted catalogue edits reach all routers and aren't lost."""

import asyncio
from collections import abc
import time

import pytest
import pytest_asyncio

from examples import deployment
from tests import replay

pytestmark = pytest.mark.asyncio(loop_scope="module")

IN_FORCE_S = 9


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def up() -> abc.AsyncIterator[deployment.Deployment]:
    shape = deployment.Shape(
        data_centres=["mid-a", "mid-b"],
        routers=2,
        engines=1,
        services=1,
        retention_ms=16_000,
        promise={"key_life_ms": 8_000},
    )
    async with deployment.Deployment(shape) as found:
        yield found


@pytest.mark.parametrize("trace", ["edits_race", "edit_reaches_all"])
async def test_trace(up: deployment.Deployment, trace: str) -> None:
    await up.wait_ready()
    await replay.Replay(up).run(trace)


async def test_snapshots_outlive_the_records(up) -> None:
    """Restarted routers load entries whose records the log has dropped."""
    revision = await up.update_entry("class", "gold", weight=42)
    first = 0
    deadline = time.monotonic() + 60
    while first <= revision:
        assert time.monotonic() < deadline
        await asyncio.sleep(1)
        async with up.session.get(
            f"{up.urls['store']}/bulrushdale/log-read",
            params={"topic": "catalogue", "part": "0", "from": "0"},
        ) as response:
            if response.status == 410:
                first = (await response.json(content_type=None))["first"]
    for name in up.router_names():
        up.kill(name)
    for name in up.router_names():
        up.processes[name].start()
    await up.wait_listening()
    await up.wait_ready()
    _, listed = await up.operator("mid-b-router-1", "GET", "/catalogue")
    found = {(e["kind"], e["name"]): e["spec"] for e in listed["entries"]}
    assert found[("class", "gold")]["weight"] == 42
    assert ("team", "bakery") in found


async def test_a_new_vm_learns_from_a_peer_without_the_log(up) -> None:
    await up.wait_ready()
    await replay.Replay(up).run("new_vm_without_log")
    await up.set_faults("store", refuse=None)
