"""Routers that find each other through the store, at few calls."""

import asyncio
import contextlib

import pytest

from bulrushdale.platform import registry
from bulrushdale import records
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import reports

MEMBER = reports.Member("dc1", 1_000)


class RoutersStore:
    """A store that answers a moment later, and counts its reads."""

    def __init__(self):
        self.entries = {}
        self.reads = 0
        self.away = False

    async def put(self, topic, key, value):
        await asyncio.sleep(0)
        if self.away:
            raise records.SourceError("away")
        self.entries[key] = value

    async def newest(self, topic):
        self.reads += 1
        if self.away:
            raise records.SourceError("away")
        found = [
            records.KeyedRecord(offset, key, value)
            for offset, (key, value) in enumerate(self.entries.items())
        ]
        await asyncio.sleep(0)
        return records.Page(found, len(found), True, True)


@pytest.fixture
def store():
    """An empty store."""
    return RoutersStore()


@pytest.fixture
async def start(clock, store):
    """Return a function that starts a router at an address."""
    async with contextlib.AsyncExitStack() as stack:

        async def starter(address):
            peers = peers_module.Peers(address, "dc1", 1_000, clock)
            follows = asyncio.create_task(
                registry.follow(store, address, MEMBER, peers, clock)
            )
            stack.callback(follows.cancel)
            return peers

        yield starter


async def pass_turns(count=40):
    for _ in range(count):
        await asyncio.sleep(0)


async def test_of_routers_that_start_at_once_one_finds_the_other(store, start):
    """Else each reads the store for itself until it looks again."""
    one = await start("10.0.0.1:1")
    two = await start("10.0.0.2:1")
    await pass_turns(3)
    assert one.addresses() or two.addresses()


async def test_who_hears_others_reads_no_more(store, start, clock):
    one = await start("10.0.0.1:1")
    await pass_turns(3)
    before = store.reads
    for sequence in range(30):
        one.receive(
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
        await pass_turns(1)
    assert store.reads == before


async def test_who_hears_none_looks_again(store, start):
    one = await start("10.0.0.1:1")
    await pass_turns(3)
    store.entries["10.0.0.9:1"] = registry.encode_member(MEMBER)
    await pass_turns()
    assert one.addresses() == ["10.0.0.9:1"]


async def test_a_start_without_the_store_is_made_up_for(store, start):
    store.away = True
    one = await start("10.0.0.1:1")
    await pass_turns()
    store.entries["10.0.0.9:1"] = registry.encode_member(MEMBER)
    store.away = False
    await pass_turns()
    assert "10.0.0.1:1" in store.entries
    assert one.addresses() == ["10.0.0.9:1"]
