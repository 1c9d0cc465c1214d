"""Prompt parts that crash each target that begins a response to them."""

import asyncio
import itertools

import aiohttp
import pytest

from bulrushdale.routing import crash_evidence
from bulrushdale.routing import quarantine
from tests import crashing_pool

DEADLY = "dead"
# The users allow three requests some time after the fifth crash.
CRASHES_ALLOWED = 5
LATE_ALLOWED = 3
STEPS = 30
STEP_MS = 100
# The users expect half of the share that begins in calm times.
SERVED_SHARE = 0.5


@pytest.fixture
async def pool():
    """Start targets that crash on the deadly part."""
    async with crashing_pool.running_pool(
        lambda request: DEADLY in request.headers.get("x-prompt-prefix", "")
    ) as pool:
        yield pool


@pytest.fixture
async def caller():
    """Open an HTTP client session for callers."""
    async with aiohttp.ClientSession() as session:
        yield session


def headers(request_id, *parts):
    prefix = ",".join(f"{part}:300" for part in (*parts, request_id))
    return {
        "Host": "example.test",
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "3000",
        "X-Prompt-Prefix": prefix,
        "X-Token-Counts": "900,30",
        "Authorization": "Bearer key-1",
    }


async def send(pool, caller, number, path, *parts):
    """Send a request to one of the routers; return status and complete."""
    routers = pool.deployment.routers
    url = pool.deployment.url(path, routers[number % len(routers)])
    # Requests with different prompts have different bodies.
    sent = headers(f"q{number}", *parts)
    body = sent["X-Prompt-Prefix"].encode()
    async with caller.post(url, headers=sent, data=body) as response:
        try:
            await response.read()
        except aiohttp.ClientError:
            return response, False
        return response, response.status == 200


CHAINS = {
    "first_part": lambda n: (DEADLY, f"a{n % 3}", f"b{n % 4}"),
    "middle_part": lambda n: ("first", DEADLY, "b0"),
    "last_shared_part": lambda n: ("first", "a0", DEADLY),
    "after_changing_parts": lambda n: (f"f{n % 2}", f"a{n % 3}", DEADLY),
}


@pytest.mark.parametrize(
    ("chain", "path"),
    [*((chain, "/plan/x") for chain in CHAINS), ("first_part", "/chat/x")],
)
async def test_prompt_part_does_not_crash_one_target_after_the_other(
    pool, caller, chain, path
):
    """Sound requests share the key and the other parts."""
    numbers = itertools.count()
    sound = []
    for step in range(STEPS):
        number = next(numbers)
        parts = CHAINS[chain](step)
        await send(pool, caller, number, path, *parts)
        others = [part for part in parts if part != DEADLY]
        for _ in pool.deployment.routers:
            result = await send(pool, caller, next(numbers), path, *others)
            sound.append(result[1])
        await asyncio.sleep(STEP_MS / 1000)
    late = sound[len(sound) // 2 :]
    assert pool.late_requests(CRASHES_ALLOWED) <= LATE_ALLOWED
    assert sum(late) >= len(late) * SERVED_SHARE


async def test_request_that_waits_is_withdrawn_before_it_crashes_its_target(
    pool, caller
):
    """It was sent before the crashes of other targets were known."""

    async def wait(request, writer):
        await asyncio.sleep(30)

    for target in pool.deployment.targets:
        target.script = wait
    waiting = [
        asyncio.create_task(
            send(pool, caller, number, "/chat/x", *CHAINS[chain](0))
        )
        for number, chain in enumerate(["first_part", "last_shared_part"])
    ]
    await asyncio.sleep(0.2)
    deadly = quarantine.hash_parts("oven", CHAINS["first_part"](0))
    for number in range(quarantine.MIN_CRASHES):
        pool.deployment.routers[0]._crash_evidence.record(
            crash_evidence.CrashReport(
                f"crashed{number}", 1, 5_000 - 1_000 * number, (tuple(deadly),)
            ),
            announce=True,
        )
    withdrawn, other = waiting
    async with asyncio.timeout(1):
        response, _ = await withdrawn
    assert response.status == 502
    assert not other.done()
    await asyncio.sleep(0.1)
    closed = [name for t in pool.deployment.targets for name in t.closed]
    assert closed == ["q0"]
    other.cancel()


async def test_quarantine_lasts_when_all_routers_are_replaced(pool, caller):
    deployment = pool.deployment
    parts = CHAINS["last_shared_part"](0)
    for number in range(12):
        await send(pool, caller, number, "/chat/x", *parts)
        await asyncio.sleep(0.2)
    # The router that reads the store saves quarantines twice a second.
    await asyncio.sleep(1)
    while deployment.routers:
        await deployment.routers.pop().stop()
    await deployment.add_router(router="r3")
    await deployment.wait_ready(deployment.routers[0])
    # It takes itself for alone after half a second.
    await asyncio.sleep(1.2)
    crashes = len(pool.crashes_s)
    response, _ = await send(pool, caller, 20, "/chat/x", *parts)
    assert response.status == 503
    assert float(response.headers["Retry-After"]) > 1
    assert len(pool.crashes_s) == crashes
    _, complete = await send(pool, caller, 21, "/chat/x", *parts[:-1])
    assert complete
