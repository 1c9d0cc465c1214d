"""Tests of the discovery of routers through the store, with few calls."""

import asyncio
import contextlib

import pytest

from bulrushdale.platform import registry
from bulrushdale import records
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import reports

MEMBER = reports.Member("dc1", 1_000)


class RoutersStore:
    """A stand-in for the store that counts its reads.

    It yields to the event loop once before it answers, so that routers that
    start together overlap.
    """

    def __init__(self):
        self.entries = {}
        self.written = 0
        self.reads = 0
        self.unavailable = False

    async def put(self, topic, key, value, at=None):
        await asyncio.sleep(0)
        if self.unavailable:
            raise records.SourceError("unavailable")
        if at not in (None, self.written):
            raise records.SourceError("unexpected status 412")
        self.entries.pop(key, None)
        if value:
            self.entries[key] = value
        self.written += 1

    async def read_newest(self, topic):
        self.reads += 1
        if self.unavailable:
            raise records.SourceError("unavailable")
        entries = [
            records.KeyedRecord(offset, key, value)
            for offset, (key, value) in enumerate(self.entries.items())
        ]
        page = records.Page(entries, self.written, True, True)
        await asyncio.sleep(0)
        return page


@pytest.fixture
def store():
    """A stand-in for the store, without entries."""
    return RoutersStore()


@pytest.fixture
async def start(clock, store):
    """Return a function that starts the discovery of a router.

    The function takes the router's address, and what to call if the system
    starts for the first time. It returns the router's peers.
    """
    async with contextlib.AsyncExitStack() as stack:

        async def start_router(address, on_first_start=lambda: None):
            peers = peers_module.Peers(address, "dc1", 1_000, clock)
            task = asyncio.create_task(
                registry.register_and_discover(
                    store,
                    address,
                    MEMBER,
                    peers,
                    clock,
                    on_first_start=on_first_start,
                )
            )
            stack.callback(task.cancel)
            return peers

        yield start_router


async def run_event_loop(count=40):
    for _ in range(count):
        await asyncio.sleep(0)


async def test_one_of_two_routers_started_together_finds_the_other(
    store, start
):
    """Both would otherwise stay alone until they read the store again."""
    first = await start("10.0.0.1:1")
    second = await start("10.0.0.2:1")
    await run_event_loop(3)
    assert first.addresses() or second.addresses()


async def test_router_with_peers_stops_reading_store(store, start, clock):
    peers = await start("10.0.0.1:1")
    await run_event_loop(3)
    reads_before = store.reads
    for sequence in range(30):
        peers.receive(
            reports.Report(
                address="10.0.0.2:1",
                data_centre="dc1",
                started_ms=1,
                sequence=sequence,
                routers=1,
                is_fleet_total=False,
                store_up_ms=0,
                targets={},
                members={},
                prefix_locations={},
            )
        )
        await run_event_loop(1)
    assert store.reads == reads_before


async def test_router_without_peers_reads_store_again(store, start):
    peers = await start("10.0.0.1:1")
    await run_event_loop(3)
    store.entries["10.0.0.9:1"] = registry.encode_member(MEMBER)
    await run_event_loop()
    assert peers.addresses() == ["10.0.0.9:1"]


async def test_registration_is_retried_after_store_outage(store, start):
    store.unavailable = True
    peers = await start("10.0.0.1:1")
    await run_event_loop()
    store.entries["10.0.0.9:1"] = registry.encode_member(MEMBER)
    store.unavailable = False
    await run_event_loop()
    assert "10.0.0.1:1" in store.entries
    assert peers.addresses() == ["10.0.0.9:1"]


async def test_start_is_the_first_one_if_no_router_has_started_twice(start):
    first_starts = []
    for address in ("10.0.0.1:1", "10.0.0.2:1"):
        await start(address, lambda: first_starts.append(1))
    await run_event_loop()
    assert len(first_starts) == 2


@pytest.mark.parametrize("restarted", ["10.0.0.1:1", "10.0.0.2:1"])
async def test_start_after_another_one_is_not_the_first(start, restarted):
    for address in ("10.0.0.1:1", "10.0.0.2:1"):
        await start(address)
    await run_event_loop()
    first_starts = []
    await start(restarted, lambda: first_starts.append(1))
    await run_event_loop()
    assert first_starts == []
