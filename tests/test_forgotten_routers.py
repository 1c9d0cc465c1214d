"""Routers that are gone are forgotten, and those that are cut off aren't."""

import asyncio
import contextlib

import pytest

from bulrushdale.platform import registry
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import reports
from tests import gateway_fixtures
from tests import test_peers
from tests import test_registry
from tests import test_software_versions
from tests import test_stale_list

STEPS_PER_S = 1000 // peers_module.REPORT_INTERVAL_MS
SHORT_MS = 40_000


@pytest.fixture
def peers(clock):
    return peers_module.Peers(test_peers.OWN, "dc1", 0, clock)


@pytest.fixture
def forget_soon(monkeypatch):
    """Let routers be forgotten after ``SHORT_MS``."""
    monkeypatch.setattr(peers_module, "FORGET_AFTER_MS", SHORT_MS)


class ChangingFleet(test_peers.Fleet):
    """A fleet whose routers forget others, and whose VMs are replaced.

    :ivar entries: addresses in the store; the router that reads it drops
        those of the routers that it forgets.
    """

    def __init__(self, clock, data_centres, routers):
        super().__init__(clock, data_centres, routers)
        self.entries = set(self.peers)

    def run(self, seconds):
        """Let time pass; routers forget others as often as in the gateway."""
        for number in range(int(seconds * STEPS_PER_S)):
            self.step()
            if number % STEPS_PER_S == 0:
                for peers in self.running().values():
                    forgotten = peers.forget()
                    if peers.upstream() is None:
                        self.entries.difference_update(forgotten)

    def running(self):
        return {
            address: peers
            for address, peers in self.peers.items()
            if address not in self.stopped
        }

    def replace(self, address):
        """Stop a router; start one with another address in its place."""
        self.stopped.add(address)
        new = f"10.9.{len(self.peers)}.1:7"
        self.start(new, self.data_centres[address])

    def start(self, new, data_centre):
        """Start a router that reads the entries of the store."""
        peers = peers_module.Peers(new, data_centre, 0, self.clock)
        for known in self.entries:
            member = reports.Member(self.data_centres[known], 0)
            peers.add(known, member)
        self.data_centres[new] = data_centre
        self.peers[new] = peers
        self.entries.add(new)


def check_fleet(fleet):
    """Check that all running routers know each other and no others."""
    running = fleet.running()
    for address, peers in running.items():
        assert set(peers.addresses()) == running.keys() - {address}
        assert peers.hears_most()
        assert peers.fleet_size() == len(running)


@pytest.mark.parametrize(
    ("data_centres", "routers", "replaced", "rounds"),
    [(2, 3, 1, 9), (3, 10, 6, 6)],
)
def test_fleet_whose_vms_are_replaced_takes_itself_for_cut_off(
    clock, forget_soon, data_centres, routers, replaced, rounds
):
    fleet = ChangingFleet(clock, data_centres, routers)
    fleet.run(10)
    for _ in range(rounds):
        for address in list(fleet.running())[:replaced]:
            fleet.replace(address)
        fleet.run(1.5 * SHORT_MS / 1000)
    assert len(fleet.peers) > 2 * data_centres * routers
    fleet.run(SHORT_MS / 1000)
    check_fleet(fleet)


@pytest.mark.parametrize(("data_centres", "routers"), [(2, 3), (3, 10)])
def test_fleet_replaced_at_once_stays_cut_off_without_its_old_entries(
    clock, forget_soon, data_centres, routers
):
    """An operator drops the entries and starts the routers again."""
    fleet = ChangingFleet(clock, data_centres, routers)
    fleet.run(10)
    old = list(fleet.peers)
    for address in old:
        fleet.replace(address)
    fleet.run(3 * SHORT_MS / 1000)
    assert not any(p.hears_most() for p in fleet.running().values())
    fleet.entries.difference_update(old)
    for address in list(fleet.running()):
        fleet.start(address, fleet.data_centres[address])
        fleet.run(2)
    fleet.run(SHORT_MS / 1000)
    check_fleet(fleet)


@pytest.mark.parametrize(
    ("data_centres", "routers"), [(2, 3), (3, 2), (3, 10), (2, 8)]
)
def test_data_centre_that_is_cut_off_forgets_the_others(
    clock, forget_soon, data_centres, routers
):
    """Half of the fleet, too, may be the smaller part of what is left."""
    fleet = ChangingFleet(clock, data_centres, routers)
    fleet.run(10)
    fleet.partitioned = {"dc0"}
    total = data_centres * routers
    for _ in range(4):
        fleet.run(SHORT_MS / 1000)
        for address, peers in fleet.peers.items():
            if data_centres == 2 or fleet.data_centres[address] == "dc0":
                assert len(peers.addresses()) == total - 1
                assert not peers.hears_most()
        parts = sum(1 / peers.fleet_size() for peers in fleet.peers.values())
        assert parts <= 1.5
    fleet.partitioned = set()
    fleet.run(SHORT_MS / 1000)
    check_fleet(fleet)


@pytest.mark.parametrize("routers", [4, 10])
def test_router_that_stood_still_forgets_the_others(
    clock, forget_soon, routers
):
    """It wakes with all others silent for long."""
    fleet = ChangingFleet(clock, 2, routers)
    fleet.run(1.5 * SHORT_MS / 1000)
    frozen = next(iter(fleet.peers))
    fleet.stopped = {frozen}
    fleet.run(2 * SHORT_MS / 1000)
    assert all(
        frozen not in peers.addresses() for peers in fleet.running().values()
    )
    fleet.stopped = set()
    assert fleet.peers[frozen].forget() == []
    fleet.step()
    assert fleet.peers[frozen].forget() == []
    fleet.run(SHORT_MS / 1000)
    check_fleet(fleet)


def test_router_below_an_earlier_collector_forgets_live_ones(
    clock, forget_soon, monkeypatch
):
    """Such a collector doesn't name the routers of other data centres."""
    monkeypatch.setattr(
        peers_module.Peers, "_members_to_tell", lambda self: {}
    )
    fleet = ChangingFleet(clock, 3, 10)
    fleet.run(10)
    fleet.replace(next(iter(fleet.peers)))
    for _ in range(2 * SHORT_MS // 1_000):
        fleet.run(1)
        for peers in fleet.running().values():
            assert len(peers.addresses()) >= 29
    assert all(peers.hears_most() for peers in fleet.running().values())
    fleet.partitioned = {"dc1"}
    fleet.run(10)
    for address, peers in fleet.running().items():
        is_cut_off = fleet.data_centres[address] == "dc1"
        assert peers.hears_most() != is_cut_off


def test_router_whose_cut_has_ended_forgets_those_that_report_later(
    peers, clock, forget_soon
):
    """They may have been cut off with it, or beside it."""
    sequence = 0

    def hear(numbers, seconds):
        nonlocal sequence
        for _ in range(seconds):
            sequence += 1
            for number in numbers:
                report = test_peers.make_report(f"10.0.0.{number}:7", sequence)
                peers.receive(report)
            peers.outgoing(test_peers.make_report(test_peers.OWN, sequence))
            clock.advance(1_000)

    hear([2, 3, 4], 20)
    hear([], 2 * SHORT_MS // 1_000)
    hear([2, 3], 20)
    assert peers.forget() == []
    hear([2, 3], SHORT_MS // 1_000 - 10)
    assert peers.forget() == ["10.0.0.4:7"]


def test_routers_that_tell_each_other_keep_one_alive_that_is_gone(
    peers, clock
):
    """Both take themselves for the collector of their data centre."""
    for number in range(2, 20):
        member = reports.Member("dc1" if number < 10 else "dc2", 0)
        peers.add(f"10.0.0.{number}:7", member)
    gone, live = "10.0.0.18:7", "10.0.0.19:7"
    for sequence in range(1, 8):
        clock.advance(peers_module.REPORT_INTERVAL_MS)
        for number, fields in (
            (2, {"is_fleet_total": True, "members": {gone: member}}),
            (3, {}),
            (10, {"data_centre": "dc2", "members": {live: member}}),
        ):
            report = test_peers.make_report(
                f"10.0.0.{number}:7",
                sequence,
                routers=5 if "members" in fields else 1,
                **fields,
            )
            peers.receive(report)
        own = test_peers.make_report(
            test_peers.OWN, sequence, members=peers.members()
        )
        sent = peers.outgoing(own)
    (total,) = (r for a, r in sent if a == "10.0.0.3:7")
    assert total.is_fleet_total
    assert live in total.members
    assert gone not in total.members


def test_short_silence_of_others_keeps_gone_routers_known(
    peers, clock, forget_soon
):
    peers.add("10.0.0.9:7", reports.Member("dc1", 0))
    for sequence in range(SHORT_MS // 2_000 + 2):
        for number in range(2, 5):
            peers.receive(
                test_peers.make_report(f"10.0.0.{number}:7", sequence)
            )
        peers.outgoing(test_peers.make_report(test_peers.OWN, sequence))
        clock.advance(2_000)
    peers.receive(test_peers.make_report("10.0.0.2:7", 99))
    peers.receive(test_peers.make_report("10.0.0.3:7", 99))
    clock.advance(1)
    assert peers.forget() == ["10.0.0.9:7"]


@pytest.fixture
def store():
    """A stand-in for the store, without entries."""
    return test_registry.RoutersStore()


@pytest.fixture
async def fleet_reader(clock, store, monkeypatch):
    """Start the discovery of a router that hears two others.

    Return a function that lets some minutes pass, and what the router has
    called at a first start.
    """
    monkeypatch.setattr(registry, "READ_INTERVAL_MS", 1_000)
    peers = peers_module.Peers("10.0.0.1:1", "dc1", 0, clock)
    first_starts = []
    for address in ("10.0.0.2:1", "10.0.0.3:1", "10.0.0.9:1"):
        value = registry.encode_member(test_registry.MEMBER)
        await store.put("keyed.routers", address, value)
    state = {"reads_store": True, "live": [2, 3]}
    task = asyncio.create_task(
        registry.register_and_discover(
            store,
            "10.0.0.1:1",
            test_registry.MEMBER,
            peers,
            clock,
            on_first_start=lambda: first_starts.append(1),
            reads_store=lambda: state["reads_store"],
        )
    )
    sequence = 0

    async def run(minutes):
        nonlocal sequence
        until_ms = clock.now_ms() + minutes * 60_000
        while clock.now_ms() < until_ms:
            sequence += 1
            for number in state["live"]:
                peers.receive(
                    test_peers.make_report(f"10.0.0.{number}:1", sequence)
                )
            peers.outgoing(test_peers.make_report("10.0.0.1:1", sequence))
            await asyncio.sleep(0)

    run.state = state
    run.peers = peers
    yield run
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


async def test_entry_of_a_router_that_is_gone_stays_in_the_store(
    fleet_reader, store
):
    await fleet_reader(25)
    assert set(store.entries) == {f"10.0.0.{n}:1" for n in (1, 2, 3)}
    assert store.written == 5


async def test_entries_of_a_fleet_that_does_not_change_are_read_often(
    fleet_reader, store
):
    await fleet_reader(15)
    reads = store.reads
    await fleet_reader(100)
    assert store.reads - reads <= 10
    assert store.written == 5


async def test_router_that_does_not_read_for_the_fleet_calls_the_store(
    fleet_reader, store
):
    fleet_reader.state["reads_store"] = False
    await fleet_reader(25)
    assert store.reads == 1
    assert "10.0.0.9:1" in store.entries


async def test_router_that_is_cut_off_drops_entries(fleet_reader, store):
    fleet_reader.state["live"] = [2]
    await fleet_reader(45)
    assert len(store.entries) == 4


async def test_router_that_comes_back_late_stays_without_an_entry(
    fleet_reader, store
):
    await fleet_reader(25)
    fleet_reader.state["live"] = [2, 3, 9]
    await fleet_reader(25)
    assert "10.0.0.9:1" in store.entries


async def test_entry_that_the_store_lost_stays_lost(fleet_reader, store):
    await fleet_reader(5)
    del store.entries["10.0.0.1:1"], store.entries["10.0.0.2:1"]
    await fleet_reader(25)
    assert set(store.entries) == {f"10.0.0.{n}:1" for n in (1, 2, 3)}


async def test_router_that_registers_meanwhile_loses_its_entry(
    fleet_reader, store, monkeypatch
):
    read_newest, put = store.read_newest, store.put
    dropped = []

    async def read(topic):
        page = await read_newest(topic)
        if fleet_reader.peers.live() and 9 not in fleet_reader.state["live"]:
            await put(topic, "10.0.0.9:1", b'["dc1",1]')
            fleet_reader.state["live"] = [2, 3, 9]
        return page

    async def record_put(topic, key, value, at=None):
        await put(topic, key, value, at)
        dropped.extend([] if value else [key])

    monkeypatch.setattr(store, "read_newest", read)
    monkeypatch.setattr(store, "put", record_put)
    await fleet_reader(25)
    assert fleet_reader.state["live"] == [2, 3, 9]
    assert dropped == []


async def test_entry_is_kept_for_ever_after_an_outage_of_the_store(
    fleet_reader, store
):
    await fleet_reader(5)
    store.unavailable = True
    await fleet_reader(25)
    store.unavailable = False
    await fleet_reader(11)
    assert "10.0.0.9:1" not in store.entries


async def test_start_after_dropped_entries_counts_as_the_first(
    fleet_reader, store, clock
):
    await fleet_reader(25)
    first_starts = []
    peers = peers_module.Peers("10.0.0.8:1", "dc1", 0, clock)
    task = asyncio.create_task(
        registry.register_and_discover(
            store,
            "10.0.0.8:1",
            test_registry.MEMBER,
            peers,
            clock,
            on_first_start=lambda: first_starts.append(1),
        )
    )
    await test_registry.run_event_loop()
    task.cancel()
    assert peers.addresses()
    assert "10.0.0.9:1" not in peers.addresses()
    assert first_starts == []


REPLACED = 4


@pytest.fixture
async def replaced_fleet(monkeypatch):
    """Three routers after all of them have been replaced in turn."""
    for module, name, value_ms in (
        (peers_module, "FORGET_AFTER_MS", 2_000),
        (peers_module, "FLEET_SIZE_MEMORY_MS", 1_000),
        (peers_module, "MEMBER_TTL_MS", 1_200),
        (registry, "READ_INTERVAL_MS", 250),
        (registry, "ENTRIES_INTERVAL_MS", 500),
    ):
        monkeypatch.setattr(module, name, value_ms)
    deployment = gateway_fixtures.Deployment()
    async with deployment.stack:
        await deployment.start_store()
        await deployment.publish(timeout_ms=test_software_versions.TIMEOUT_MS)
        found = test_software_versions.Fleet(deployment)
        await found.add_targets("v1", "v1")
        for number in range(3 + REPLACED):
            # Keys stay valid while the store is away, also on a busy machine.
            router = await deployment.add_router(
                router=f"r{number}",
                seeds=tuple(r._address for r in deployment.routers[:1]),
                key_age_limit_ms=None,
            )
            await deployment.wait_ready(router)
            if number >= 3:
                await deployment.routers.pop(0).stop()
                await asyncio.sleep(3.5)
        yield found
        await found.stop_routers()


async def test_streams_are_refused_once_many_vms_have_been_replaced(
    replaced_fleet,
):
    """The store is away, so a router asks itself whether it is cut off."""
    page = await replaced_fleet.deployment.routers[0]._store.read_newest(
        "keyed.routers"
    )
    replaced_fleet.deployment.store.refuse = 503
    await asyncio.sleep(test_stale_list.STORE_FAULT_S)
    begun = await test_stale_list.begin_streams(replaced_fleet)
    served = await test_stale_list.take_up_all(replaced_fleet, begun, "s")
    assert served == test_stale_list.STREAMS
    addresses = {r._address for r in replaced_fleet.deployment.routers}
    assert {record.key for record in page.records} == addresses
