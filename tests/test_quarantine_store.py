"""Quarantines outlive the loss of all routers."""

import asyncio

import aiohttp
from aiohttp import test_utils
import pytest

from bulrushdale.platform import quarantine_store
from bulrushdale.platform import store as store_module
from examples.standins import store as store_standin
from tests import crash_fixtures

DEADLY = crash_fixtures.DEADLY
TOPIC = store_module.QUARANTINE_TOPIC


@pytest.fixture
async def standin():
    return store_standin.Store()


@pytest.fixture
async def store(standin):
    """Serve the stand-in and return a client of it."""
    server = test_utils.TestServer(standin.app())
    await server.start_server()
    async with aiohttp.ClientSession() as session:
        yield store_module.Store(session, str(server.make_url("")))
    await server.close()


def start_router(name, store, clock):
    router = crash_fixtures.Router(name, clock)
    saved = quarantine_store.QuarantineStore(
        store, router.quarantine, router.evidence, clock
    )
    return router, saved


async def test_router_that_starts_alone_restores_quarantines(store, clock):
    router, saved = start_router("r1", store, clock)
    crash_fixtures.crash_repeatedly(router, DEADLY, count=4)
    await saved.save()
    clock.advance(5_000)
    other, restored = start_router("r2", store, clock)
    assert await restored.restore()
    assert other.withholds(*DEADLY)
    assert not other.withholds("first", "book")
    (culprit,) = other.quarantine.active()
    (original,) = router.quarantine.active()
    assert culprit == original


async def test_quarantine_that_ended_is_not_restored(store, clock):
    router, saved = start_router("r1", store, clock)
    crash_fixtures.crash_repeatedly(router, DEADLY)
    await saved.save()
    router.answer(*DEADLY)
    await saved.save()
    other, restored = start_router("r2", store, clock)
    assert await restored.restore()
    assert not other.evidence


async def test_unchanged_quarantine_is_written_once(store, standin, clock):
    router, saved = start_router("r1", store, clock)
    await saved.save()
    assert standin.request_count == 0
    crash_fixtures.crash_repeatedly(router, DEADLY)
    for _ in range(5):
        await saved.save()
    assert standin.request_count == 1
    router.crash(9, DEADLY)
    clock.advance(500)
    await saved.save()
    assert standin.request_count == 2


async def test_quarantine_is_saved_once_the_store_is_back(
    store, standin, clock
):
    router, saved = start_router("r1", store, clock)
    crash_fixtures.crash_repeatedly(router, DEADLY)
    standin.refuse = 503
    await saved.save()
    other, restored = start_router("r2", store, clock)
    assert not await restored.restore()
    standin.refuse = None
    await saved.save()
    assert await restored.restore()
    assert other.withholds(*DEADLY)


@pytest.mark.parametrize(
    "value",
    [b"", b"{", b"7", b'[["t1"]]', b'[["t1", "x", 1, [1]]]', b"[[1,2,3,4]]"],
)
async def test_invalid_entries_are_skipped(store, standin, clock, value):
    router, saved = start_router("r1", store, clock)
    crash_fixtures.crash_repeatedly(router, DEADLY)
    await saved.save()
    await standin.put(TOPIC, "x", value)
    other, restored = start_router("r2", store, clock)
    assert await restored.restore()
    assert other.withholds(*DEADLY)


async def test_saved_quarantines_are_bounded(store, standin, clock):
    router, saved = start_router("r1", store, clock)
    for number in range(40):
        for crash in range(3):
            router.crash(3 * number + crash, (f"dead{number}",))
            clock.advance(200)
        await saved.save()
    assert len(standin._newest[TOPIC]) <= quarantine_store.MAX_KEYS
    for _, value in standin._newest[TOPIC].values():
        assert len(value) < 1_000


async def test_crash_an_hour_ago_is_not_restored(store, clock):
    router, saved = start_router("r1", store, clock)
    crash_fixtures.crash_repeatedly(router, DEADLY)
    await saved.save()
    clock.advance(3_600_000)
    other, restored = start_router("r2", store, clock)
    assert await restored.restore()
    assert not other.evidence


async def test_only_the_router_that_reads_the_store_calls_it(
    store, standin, clock
):
    """A fleet that starts would otherwise cost a call for each router."""
    _, saved = start_router("r1", store, clock)
    reading = []

    async def run():
        await saved.run(lambda: bool(reading))

    task = asyncio.create_task(run())
    await asyncio.sleep(0.05)
    assert standin.request_count == 0
    reading.append(True)
    async with asyncio.timeout(2):
        while not standin.request_count:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.05)
    assert standin.newest_reads[TOPIC] == 1
    task.cancel()


async def test_other_routers_learn_of_restored_quarantines(store, clock):
    router, saved = start_router("r1", store, clock)
    crash_fixtures.crash_repeatedly(router, DEADLY)
    await saved.save()
    reader, restored = start_router("r2", store, clock)
    other, _ = start_router("r3", store, clock)
    await restored.restore()
    reader.send_to(other)
    assert other.withholds(*DEADLY)


async def test_router_that_starts_alone_restores_blocked_requests(
    store, standin, clock
):
    router, saved = start_router("r1", store, clock)
    for number in range(3):
        router.crash_on(number, "deadly", "book")
        clock.advance(500)
    assert router.withholds("book", fingerprint="deadly")
    await saved.save()
    # The crashes are too old to be evidence.
    clock.advance(2 * 3_600_000)
    other, restored = start_router("r2", store, clock)
    assert await restored.restore()
    assert other.withholds("book", fingerprint="deadly")
    assert not other.withholds("book", fingerprint="sound")
    requests = standin.request_count
    await restored.save()
    await restored.save()
    assert standin.request_count - requests <= 1


@pytest.mark.parametrize("value", [b"x", b"[1]", b"[[1,2]]", b"[[null,1,1]]"])
async def test_invalid_blocks_in_the_store_are_skipped(
    store, standin, clock, value
):
    await standin.put(TOPIC, "blocked-3", value)
    other, restored = start_router("r2", store, clock)
    assert await restored.restore()
    assert not other.quarantine.blocks()
