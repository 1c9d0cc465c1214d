"""Copies of topics, from the store, a collector or any peer."""

import asyncio

import pytest

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import replica as replica_module
from bulrushdale import records


def page(*found, next_offset=None, snapshot=False):
    end = found[-1].offset + 1 if found else 0
    return records.Page(
        list(found),
        end if next_offset is None else next_offset,
        True,
        snapshot,
    )


def record(offset, key="k", value=b"v"):
    return records.KeyedRecord(offset, key, value)


@pytest.fixture
def applied():
    """What the replica told its owner."""
    return []


@pytest.fixture
def make_replica(applied, clock):
    def make(clock=clock):
        return replica_module.Replica(
            "topic",
            lambda key, value: applied.append((key, value)),
            lambda as_of_ms: None,
            lambda key, value: value.rstrip(b"0123456789"),
            lambda replica, outcome: None,
            clock,
        )

    return make


def test_older_records_change_nothing(make_replica, applied):
    replica = make_replica()
    replica.apply(page(record(5, value=b"new")), 1)
    replica.apply(page(record(3, value=b"old")), 2)
    assert applied == [("k", b"new")]
    assert replica.next_offset == 6


def test_snapshot_drops_what_it_does_not_hold(make_replica, applied):
    replica = make_replica()
    replica.apply(page(record(0, "a"), record(1, "b")), 1)
    replica.apply(page(record(1, "b"), next_offset=9, snapshot=True), 2)
    assert applied[-1] == ("a", None)
    assert record(8, "a", None) in replica.page_since(2).records


async def test_peer_behind_a_copy_learns_what_was_dropped_before_it(
    make_replica, applied
):
    """A router that was just started never knew the dropped key."""
    behind, started = make_replica(), make_replica()
    behind.apply(page(record(0, "a"), record(1, "b")), 1)
    started.apply(page(record(1, "b"), next_offset=9, snapshot=True), 2)
    async with asyncio.timeout(1):
        await started.wait_for_update(2, 5_000)
    applied.clear()
    behind.apply(started.page_since(behind.next_offset), 3)
    assert applied == [("a", None)]
    assert started.page_since(behind.next_offset).records == []


def test_peer_learns_of_drops_that_are_forgotten(
    make_replica, applied, monkeypatch
):
    monkeypatch.setattr(replica_module, "MAX_TOMBSTONES", 1)
    replica, behind = make_replica(), make_replica()
    first = page(record(0, "a"), record(1, "b"), record(2, "c"))
    replica.apply(first, 1)
    behind.apply(first, 1)
    replica.apply(page(record(3, "a", None), record(4, "b", None)), 2)
    applied.clear()
    behind.apply(replica.page_since(behind.next_offset), 3)
    assert sorted(applied) == [("a", None), ("b", None)]


def test_heartbeats_are_no_news(make_replica, applied):
    replica = make_replica()
    replica.apply(page(record(0, value=b"same 1")), 1)
    replica.apply(
        page(record(1, value=b"same 2"), record(2, value=b"same 3")), 2
    )
    assert len(applied) == 1
    assert replica.page_since(1).records == []
    assert replica.next_offset == 3


def test_age_counts_from_the_start_of_the_read(make_replica, clock):
    replica = make_replica()
    asked_ms = clock.boot_ms()
    clock.advance(400)
    replica.apply(page(), asked_ms)
    assert replica.age_ms() == 400


@pytest.mark.parametrize(
    ("found", "took_ms", "as_of_ms"),
    [((), 510, 600), ((), 40, 100), ((record(0),), 510, 100)],
)
def test_wait_without_news_confirms_the_copy(found, took_ms, as_of_ms):
    asked_ms = 100
    assert as_of_ms == replica_module.read_as_of_ms(
        page(*found), asked_ms, asked_ms + took_ms, wait_ms=500
    )


async def test_peers_wait_for_update(make_replica):
    replica = make_replica()
    replica.apply(page(record(0)), 1)
    waiting = asyncio.ensure_future(replica.wait_for_update(1, 5_000))
    await asyncio.sleep(0)
    replica.apply(page(record(1, value=b"other")), 2)
    async with asyncio.timeout(1):
        await waiting


async def test_peers_learn_at_once_that_a_copy_is_up_to_date(make_replica):
    """Through two routers keys would else be seconds old."""
    clock = clock_module.Clock()
    replica = make_replica(clock)
    replica.apply(page(record(0)), clock.boot_ms())
    await asyncio.sleep(0.002)
    waiting = asyncio.ensure_future(replica.wait_for_update(1, 5_000))
    await asyncio.sleep(0.002)
    replica.apply(page(next_offset=1), clock.boot_ms())
    async with asyncio.timeout(1):
        await waiting


async def test_news_from_before_is_none(make_replica):
    clock = clock_module.Clock()
    replica = make_replica(clock)
    replica.apply(page(record(0)), clock.boot_ms() - 10)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.05):
            await replica.wait_for_update(1, 5_000)


class Reads:
    """Sources that a test switches on and off."""

    def __init__(self, replica, clock):
        self.calls = []
        self.store_up = True
        self.first_copy = False
        self.reader_age_ms = 0
        self.clock = clock

        async def store(offset):
            self.calls.append("store")
            await asyncio.sleep(0)
            if not self.store_up:
                raise records.SourceError("down")
            return replica_module.ReadResult(
                page(next_offset=1), clock.boot_ms()
            )

        async def reader(_):
            self.calls.append("reader")
            await asyncio.sleep(0.01)
            if self.reader_age_ms is None:
                return None
            as_of_ms = clock.boot_ms() - self.reader_age_ms
            return replica_module.ReadResult(page(next_offset=1), as_of_ms)

        async def peers(_):
            self.calls.append("peers")
            return replica_module.ReadResult(
                page(next_offset=1), clock.boot_ms()
            )

        async def first(_):
            self.calls.append("first")
            if not self.first_copy:
                return None
            return replica_module.ReadResult(
                page(next_offset=1), clock.boot_ms()
            )

        self.sources = replica_module.Sources(first, store, reader, peers)


async def run(make_replica, for_s=0.2, **state):
    clock = clock_module.Clock()
    replica = make_replica(clock)
    reads = Reads(replica, clock)
    for name, value in state.items():
        setattr(reads, name, value)
    returns = []
    work = asyncio.ensure_future(
        replica_module.follow(
            replica, reads.sources, 10, lambda: returns.append(1), clock
        )
    )
    await asyncio.sleep(for_s)
    work.cancel()
    return replica, reads


async def test_store_is_spared_while_the_reader_is_up_to_date(make_replica):
    replica, reads = await run(make_replica)
    assert set(reads.calls[1:]) == {"reader"}
    assert replica.age_ms() < 100


@pytest.mark.parametrize(
    "age_ms", [None, replica_module.MAX_READER_AGE_MS + 500]
)
async def test_store_is_read_when_the_reader_is_no_use(make_replica, age_ms):
    replica, reads = await run(make_replica, reader_age_ms=age_ms)
    assert "store" in reads.calls
    assert replica.age_ms() < 100


async def test_first_copy_comes_from_another_router(make_replica):
    """It comes compressed; the store would send a configuration as it is."""
    replica, reads = await run(make_replica, for_s=0.005, first_copy=True)
    assert reads.calls == ["first", "reader"]
    assert replica.next_offset == 1


async def test_store_is_read_when_no_router_gives_a_first_copy(make_replica):
    _, reads = await run(make_replica, reader_age_ms=None)
    assert reads.calls[:3] == ["first", "reader", "store"]


async def test_peers_wait_for_a_first_copy(make_replica):
    """Of routers that start at once one reads, and the others wait for it."""
    clock = clock_module.Clock()
    replica = make_replica(clock)
    waiting = asyncio.ensure_future(replica.wait_for_update(None, 5_000))
    await asyncio.sleep(0.01)
    assert not waiting.done()
    replica.apply(page(record(0)), clock.boot_ms())
    async with asyncio.timeout(1):
        await waiting


async def test_any_peer_is_asked_when_the_store_is_away_too(make_replica):
    replica, reads = await run(
        make_replica, reader_age_ms=None, store_up=False
    )
    assert "peers" in reads.calls
    assert replica.store_unreachable
    assert replica.age_ms() < 500


async def test_store_that_is_away_is_spared_by_all_but_the_reader(
    make_replica,
):
    """Ninety routers that try twice a second would fill its call limit."""
    replica, reads = await run(
        make_replica, 3.0, reader_age_ms=5_000, store_up=False
    )
    spared = reads.calls.count("store")
    replica, reads = await run(
        make_replica, 3.0, reader_age_ms=None, store_up=False
    )
    assert reads.calls.count("store") >= 6
    assert spared <= 4
