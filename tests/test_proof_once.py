"""Promises 3 and 4: "not run" is accurate, and a key runs at most once."""

from collections import abc

import pytest
import pytest_asyncio

from examples import deployment
from tests import replay

pytestmark = pytest.mark.asyncio(loop_scope="module")


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def up() -> abc.AsyncIterator[deployment.Deployment]:
    shape = deployment.Shape(routers=3, engines=1, services=2)
    async with deployment.Deployment(shape) as found:
        yield found


@pytest.mark.parametrize(
    "trace",
    [
        "same_key_three_routers",
        "target_fails",
        "lost_append_answers",
        "log_down",
        "holder_frozen",
        "holder_killed",
    ],
)
async def test_trace(up: deployment.Deployment, trace: str) -> None:
    await up.wait_ready()
    await replay.Replay(up).run(trace)
