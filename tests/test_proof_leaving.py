"""Promises 5 and 6: leaving targets get no new requests; drains lose none."""

import pytest

from examples import deployment
from tests import replay


@pytest.mark.parametrize("trace", ["target_leaves", "rolling_replacement"])
async def test_trace(trace: str) -> None:
    shape = deployment.Shape(routers=3, engines=4, services=2, engine_slots=16)
    async with deployment.Deployment(shape) as up:
        await replay.Replay(up).run(trace)
