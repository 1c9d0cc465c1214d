"""Targets that are cut off are found before requests wait for them."""

import asyncio
import time

import pytest

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import probes
from bulrushdale.routing import stall
from bulrushdale.routing import targets as targets_module
from examples.standins import scripted_target


@pytest.fixture
async def target():
    """A target that listens."""
    standin = scripted_target.ScriptedTarget(None)
    await standin.start()
    yield standin
    await standin.stop()


@pytest.fixture
def targets():
    return targets_module.Targets(clock_module.Clock())


@pytest.fixture
def prober(targets):
    return probes.Prober(targets, clock_module.Clock())


def add(targets, name, address, data_centre="dc1"):
    targets.put(
        targets_module.Listing(
            name, 1, "chat", address, data_centre, 8, False, 0
        )
    )
    return targets.get(name)


async def settle(prober):
    while prober._checks:
        await asyncio.gather(*prober._checks.values())
        await asyncio.sleep(0)


async def test_silent_target_that_is_there_is_waited_for(
    targets, prober, target
):
    slow = add(targets, "t1", target.address)
    async with prober.watch(slow, 5_000, may_leave=lambda: True):
        await asyncio.sleep(stall.MAX_TIMEOUT_MS / 1000 + 0.2)
    assert not slow.health.unreachable


async def test_wait_for_a_target_that_is_gone_ends_early(
    targets, prober, target
):
    gone = add(targets, "t1", target.address)
    await target.stop()
    started = asyncio.get_running_loop().time()
    with pytest.raises(TimeoutError):
        async with prober.watch(gone, 5_000, may_leave=lambda: True):
            await asyncio.sleep(5)
    assert asyncio.get_running_loop().time() - started < 1
    assert gone.health.unreachable


async def test_begun_answer_is_left_only_once_it_is_silent(
    targets, prober, target
):
    """Another wait for the target ends first, and nobody else tells of it."""
    gone = add(targets, "t1", target.address)
    await target.stop()
    started = asyncio.get_running_loop().time()

    async def go_on(duration_s):
        async with prober.watch(
            gone, 5_000, may_leave=lambda: True, begun=True
        ):
            await asyncio.sleep(duration_s)

    lively, silent = [
        asyncio.create_task(go_on(duration_s)) for duration_s in (0.1, 5)
    ]
    prober.note_unreachable(gone)
    await lively
    with pytest.raises(TimeoutError):
        await silent
    spent_s = asyncio.get_running_loop().time() - started
    assert stall.MAX_TIMEOUT_MS / 1000 <= spent_s < 1


async def test_wait_for_what_may_not_be_repeated_goes_on(
    targets, prober, target
):
    gone = add(targets, "t1", target.address)
    await target.stop()
    async with prober.watch(gone, 5_000):
        await asyncio.sleep(stall.MAX_TIMEOUT_MS / 1000 + 0.2)
    assert gone.health.unreachable


@pytest.fixture
def dark(monkeypatch):
    """Connections to anywhere stay without an answer."""

    async def connect(_):
        await asyncio.sleep(probes.CHECK_TIMEOUT_MS / 1000)
        return False

    monkeypatch.setattr(probes, "_connects", connect)


async def test_dark_target_is_found_within_its_streams_longest_pause(
    targets, prober, dark
):
    """A steady stream is checked after 100 ms; 400 ms are a usual limit."""
    gone = add(targets, "t1", "127.0.0.1:1")
    started = asyncio.get_running_loop().time()
    with pytest.raises(TimeoutError):
        async with prober.watch(
            gone,
            5_000,
            may_leave=lambda: True,
            begun=True,
            silence_ms=stall.MIN_TIMEOUT_MS,
        ):
            await asyncio.sleep(5)
    assert asyncio.get_running_loop().time() - started < 0.3


async def test_target_that_may_be_dark_is_suspected_meanwhile(
    targets, prober, dark
):
    suspect = add(targets, "t1", "127.0.0.1:1")
    prober.suspect(suspect)
    await asyncio.sleep(probes.CHECK_AGAIN_MS / 1000 + 0.02)
    assert suspect.health.suspected
    assert not suspect.health.unreachable
    await settle(prober)
    assert not suspect.health.suspected
    assert suspect.health.unreachable


async def test_second_try_clears_a_target_whose_packet_was_lost(
    targets, prober, monkeypatch
):
    answers = [10, 0]

    async def connect(_):
        await asyncio.sleep(answers.pop(0))
        return True

    monkeypatch.setattr(probes, "_connects", connect)
    there = add(targets, "t1", "127.0.0.1:1")
    prober.suspect(there)
    async with asyncio.timeout(1):
        await settle(prober)
    assert not there.health.unreachable
    assert not answers


async def test_target_that_answers_at_once_is_never_suspected(
    targets, prober, target
):
    there = add(targets, "t1", target.address)
    prober.suspect(there)
    await settle(prober)
    assert not there.health.suspected


async def test_busy_router_takes_no_target_for_dark(
    targets, prober, target, monkeypatch
):
    """It connected long ago, and has not come to notice it.

    Of a grown fleet half was killed; the others, with twice their load, took
    all targets for dark and turned their callers away.
    """
    there = add(targets, "t1", target.address)
    connects = probes._connects

    async def connect(address):
        time.sleep(0.3)
        return await connects(address)

    monkeypatch.setattr(probes, "_connects", connect)
    prober.suspect(there)
    await asyncio.sleep(0.01)
    monkeypatch.setattr(probes, "_connects", connects)
    async with asyncio.timeout(2):
        await settle(prober)
    assert not there.health.unreachable


async def test_target_that_does_not_answer_a_request_is_checked(
    targets, prober, target
):
    """One lost packet is no reason to leave it alone for half a second."""
    there = add(targets, "t1", target.address)
    prober.suspect(there, doubted=True)
    await asyncio.sleep(0)
    assert there.health.suspected
    await settle(prober)
    assert not there.health.suspected
    assert not there.health.unreachable


async def test_neighbours_of_an_unreachable_target_are_checked(
    targets, prober, target
):
    """A cut data centre is found with its first failed connection."""
    lost = [
        add(targets, f"t{n}", "127.0.0.1:1", data_centre="dc2")
        for n in range(3)
    ]
    here = add(targets, "t9", target.address)
    prober.note_unreachable(lost[0])
    await settle(prober)
    assert all(t.health.unreachable for t in lost)
    assert not here.health.unreachable


async def test_target_that_is_back_is_used_again(targets, prober, target):
    back = add(targets, "t1", target.address)
    back.health.unreachable = True
    repeating = asyncio.ensure_future(prober.repeat())
    await asyncio.sleep(0.05)
    repeating.cancel()
    assert not back.health.unreachable


async def test_wait_is_left_once_a_retry_is_left(targets, prober, target):
    slow = add(targets, "t1", target.address)
    answers = [False, False, True]
    started = asyncio.get_running_loop().time()
    with pytest.raises(TimeoutError):
        async with prober.watch(
            slow, 5_000, patience_ms=50, may_leave=lambda: answers.pop(0)
        ):
            await asyncio.sleep(5)
    took_ms = (asyncio.get_running_loop().time() - started) * 1000
    assert 50 + 2 * probes.ASK_INTERVAL_MS <= took_ms < 1_500
    assert not answers


async def test_wait_without_a_retry_lasts_until_its_end(
    targets, prober, target
):
    slow = add(targets, "t1", target.address)
    started = asyncio.get_running_loop().time()
    with pytest.raises(TimeoutError):
        async with prober.watch(
            slow, 600, patience_ms=50, may_leave=lambda: False
        ):
            await asyncio.sleep(5)
    assert asyncio.get_running_loop().time() - started >= 0.6
