"""Limits on requests that targets name in responses."""

import asyncio
import time

import aiohttp
import pytest

from examples.standins import scripted_target
from tests import gateway_fixtures

LIMIT_PER_S = 5.0
# Allowed in any span of this length: one and a half times the limit, and five.
SPAN_S = 4.0
ALLOWED = int(1.5 * SPAN_S * LIMIT_PER_S) + 5


class LimitedTarget:
    """Script of a target that names a limit and records arrivals.

    :ivar value: value of the header; none to send no header.
    """

    def __init__(self, value=str(LIMIT_PER_S)):
        self.value = value
        self.arrivals_s = []

    async def __call__(self, request, writer):
        self.arrivals_s.append(time.monotonic())
        header = f"\r\nServer-Limit: {self.value}\r\n\r\n".encode()
        if self.value is None:
            header = b"\r\n\r\n"
        if "/plan/" in request.line:
            head = scripted_target.stream_head(request)
            writer.write(head.replace(b"\r\n\r\n", header))
            for number in range(3):
                event = scripted_target.event(number)
                writer.write(scripted_target.chunk(event))
            writer.write(scripted_target.chunk(b""))
        else:
            response = scripted_target.response(request)
            writer.write(response.replace(b"\r\n\r\n", header))

    def most_in_a_span(self, from_s):
        times_s = [t for t in self.arrivals_s if t >= from_s]
        return max(
            (
                sum(start <= t < start + SPAN_S for t in times_s)
                for start in times_s
            ),
            default=0,
        )


async def send(deployment, router, number, path, caller):
    async with caller.get(
        deployment.url(path, router),
        headers={
            "Host": "example.test",
            "X-Request-Id": f"q{number}",
            "X-Deadline-Ms": "3000",
            "X-Prompt-Prefix": f"a{number % 4}:900,b{number}:10",
            "Authorization": "Bearer key-1",
        },
    ) as response:
        await response.read()
        return response


async def send_steadily(deployment, path, seconds, per_s=50):
    """Send requests to all routers in turn; return their responses."""
    tasks = []
    async with aiohttp.ClientSession() as caller:
        for number in range(int(seconds * per_s)):
            router = deployment.routers[number % len(deployment.routers)]
            tasks.append(
                asyncio.create_task(
                    send(deployment, router, number, path, caller)
                )
            )
            await asyncio.sleep(1 / per_s)
        return await asyncio.gather(*tasks)


@pytest.fixture
async def deployment():
    """Start a store, two targets and three routers that know each other."""
    async with gateway_fixtures.running_deployment("t1", "t2") as deployment:
        seeds = (deployment.routers[0]._address,)
        for name in ("r2", "r3"):
            router = await deployment.add_router(router=name, seeds=seeds)
            await deployment.wait_ready(router)
        # Routers act as members of the fleet once the others know them.
        await asyncio.sleep(1.5)
        yield deployment


@pytest.mark.parametrize("path", ["/lookup/x", "/plan/x"])
async def test_routers_together_send_no_more_than_a_target_named(
    deployment, path
):
    limited = LimitedTarget()
    deployment.targets[0].script = limited
    responses = await send_steadily(deployment, path, 6)
    learned_s = limited.arrivals_s[0] + 0.5
    assert limited.most_in_a_span(learned_s) <= ALLOWED
    assert all(response.status == 200 for response in responses)
