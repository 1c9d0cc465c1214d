"""Waits that end while the event loop is blocked."""

import asyncio
import time

import pytest

from bulrushdale.forwarding import lag

TIMEOUT_MS = 100


@pytest.mark.parametrize(
    ("blocked_from_ms", "blocked_until_ms"),
    [(0, 100), (0, 105), (0, 300), (40, 105), (60, 200)],
)
async def test_wait_that_ends_while_the_loop_is_blocked_is_inconclusive(
    blocked_from_ms, blocked_until_ms
):
    blocked_s = (blocked_until_ms - blocked_from_ms) / 1000
    loop = asyncio.get_running_loop()
    with lag.LagWatch(TIMEOUT_MS) as watch:
        loop.call_later(blocked_from_ms / 1000, time.sleep, blocked_s)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(TIMEOUT_MS / 1000):
                await loop.create_future()
    assert watch.lagged()


async def test_wait_of_a_responsive_loop_is_conclusive():
    with lag.LagWatch(TIMEOUT_MS) as watch, pytest.raises(TimeoutError):
        async with asyncio.timeout(TIMEOUT_MS / 1000):
            await asyncio.get_running_loop().create_future()
    assert not watch.lagged()


async def test_no_timer_outlives_the_wait():
    with lag.LagWatch(TIMEOUT_MS) as watch:
        pass
    await asyncio.sleep(TIMEOUT_MS / 1000 + 0.05)
    assert not watch._lagged
