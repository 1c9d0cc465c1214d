"""Classes of service at twice the capacity, while a coordinator is killed."""

from examples import deployment
from tests import replay


async def test_trace() -> None:
    shape = deployment.Shape(
        routers=3,
        engines=4,
        services=1,
        engine_slots=4,
        promise={"load_multiple": 1.25, "least_bound": 2},
        teams={
            "agencia": {"class_of_service": "bronze", "max_queued": 40},
            "juzgado": {"class_of_service": "bronze"},
        },
    )
    async with deployment.Deployment(shape) as up:
        await replay.Replay(up).run("overload_priority")
