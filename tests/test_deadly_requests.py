"""Requests that crash each target that runs them, and come again."""

import asyncio

import aiohttp
import pytest

from tests import crashing_pool

# The users allow three requests some time after the third crash.
CRASHES_ALLOWED = 3
LATE_ALLOWED = 3
STEPS = 30
STEP_MS = 100
# The users expect half of the share that begins in calm times.
SERVED_SHARE = 0.5
DEADLY = b"deadly"


@pytest.fixture
async def pool():
    """Start targets that crash when they run the deadly request."""
    async with crashing_pool.running_pool(
        lambda request: DEADLY in request.body
    ) as pool:
        yield pool


@pytest.fixture
async def caller():
    """Open an HTTP client session for callers."""
    async with aiohttp.ClientSession() as session:
        yield session


async def send(pool, caller, number, path, body, parts=()):
    """Send a request to one of the routers; return whether it succeeded."""
    routers = pool.deployment.routers
    request_id = f"q{number}"
    headers = {
        "Host": "example.test",
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "3000",
        "Authorization": "Bearer key-1",
    }
    if parts:
        headers["X-Prompt-Prefix"] = ",".join(f"{p}:300" for p in parts)
        headers["X-Token-Counts"] = "900,30"
    url = pool.deployment.url(path, routers[number % len(routers)])
    try:
        async with caller.post(url, headers=headers, data=body) as response:
            await response.read()
            return response.status == 200
    except aiohttp.ClientError:
        return False


async def play(pool, caller, path, parts):
    """Send the deadly request and sound ones; return the share served."""
    tasks = []
    for step in range(STEPS):
        tasks += [
            asyncio.create_task(
                send(
                    pool,
                    caller,
                    step * 10 + number,
                    path,
                    b"sound %d %d" % (step, number),
                    (*parts, f"own{step}{number}") if parts else (),
                )
            )
            for number in range(3)
        ]
        asyncio.create_task(
            send(
                pool,
                caller,
                step * 10 + 5 + step % 2,
                path,
                DEADLY,
                (*parts, "own") if parts else (),
            )
        )
        await asyncio.sleep(STEP_MS / 1000)
    served = await asyncio.gather(*tasks)
    return sum(served) / len(served)


@pytest.mark.parametrize(
    ("path", "parts"),
    [
        ("/plan/1", ("first", "book")),
        ("/chat/1", ("first", "book")),
        ("/lookup/1", ()),
        ("/order/1", ()),
    ],
)
async def test_one_request_does_not_crash_one_target_after_the_other(
    pool, caller, path, parts
):
    served_share = await play(pool, caller, path, parts)
    assert len(pool.crashes_s) >= 1
    assert pool.late_requests(CRASHES_ALLOWED) <= LATE_ALLOWED
    assert served_share >= SERVED_SHARE


async def test_sound_requests_with_the_same_prompt_parts_are_served(
    pool, caller
):
    parts = ("first", "book")
    for number in range(8):
        await send(pool, caller, number, "/plan/1", DEADLY, (*parts, "own"))
        await asyncio.sleep(0.2)
    await asyncio.sleep(1)
    served = [
        await send(
            pool,
            caller,
            100 + n,
            "/plan/1",
            b"sound %d" % n,
            (*parts, f"s{n}"),
        )
        for n in range(10)
    ]
    assert all(served)
