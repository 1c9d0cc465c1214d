"""Promise 1: no engine's load exceeds a multiple of the mean load.

This also holds in a surge, and when a coordinator is frozen or killed.
"""

from collections import abc

import pytest
import pytest_asyncio

from examples import deployment
from tests import replay

pytestmark = pytest.mark.asyncio(loop_scope="module")


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def up() -> abc.AsyncIterator[deployment.Deployment]:
    shape = deployment.Shape(
        routers=3,
        engines=4,
        services=1,
        engine_slots=16,
        promise={"load_multiple": 1.25, "least_bound": 2},
        teams={"juzgado": {"class_of_service": "bronze"}},
    )
    async with deployment.Deployment(shape) as found:
        yield found


@pytest.mark.parametrize(
    "trace",
    [
        "bound_surge",
        "bound_router_stalls",
        "bound_home_stalls",
        "bound_home_frozen",
        "bound_home_killed",
    ],
)
async def test_trace(up: deployment.Deployment, trace: str) -> None:
    await up.wait_ready()
    await replay.Replay(up).run(trace)
