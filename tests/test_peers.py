"""Load reports between routers, in small and in large fleets."""

import random

from aiohttp import test_utils
import orjson
import pytest

from bulrushdale.forwarding import feed as feed_module
from bulrushdale.forwarding import links
from bulrushdale import records
from bulrushdale.routing import health
from bulrushdale.routing import partial_updates
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import reports

OWN = "10.0.0.1:7"


def make_report(address, sequence=1, in_flight=0, **changes):
    fields = {
        "address": address,
        "data_centre": "dc1",
        "started_ms": 1,
        "sequence": sequence,
        "routers": 1,
        "is_fleet_total": False,
        "store_up_ms": 0,
        "targets": {
            "t1": reports.TargetReport(in_flight, health.Results(4, 1))
        },
        "members": {},
        "prefix_locations": {},
    }
    return reports.Report(**{**fields, **changes})


@pytest.fixture
def peers(clock):
    return peers_module.Peers(OWN, "dc1", 0, clock)


def test_reports_replace_each_other_in_order(peers):
    assert peers.receive(make_report("10.0.0.2:7", 2, 5))
    assert not peers.receive(make_report("10.0.0.2:7", 1, 9))
    assert peers.in_flight("t1") == 5
    assert peers.receive(make_report("10.0.0.2:7", 1, 3, started_ms=2))
    assert peers.in_flight("t1") == 3
    assert peers.results("t1") == health.Results(4, 1)
    assert peers.count() == 2


def test_silent_peer_is_left_out(peers, clock):
    peers.receive(make_report("10.0.0.2:7", 1, 5))
    clock.advance(peers_module.REPORT_TTL_MS + 1)
    assert peers.in_flight("t1") == 0
    assert peers.count() == 2
    clock.advance(peers_module.MEMBER_TTL_MS)
    assert peers.count() == 1


def test_own_report_is_not_a_peers(peers):
    assert not peers.receive(make_report(OWN, 1, 5))
    assert peers.addresses() == []


def test_datagrams_keep_reports_as_they_are():
    report = make_report(
        "10.0.0.2:7",
        members={"10.0.0.3:7": reports.Member("dc2", 100)},
        prefix_locations={(1 << 63) + 5: "t1"},
    )
    assert links.decode_report(links.encode_report(report)) == report
    for data in (b"", b"{}", b"[1,2]", b"\xff"):
        with pytest.raises(ValueError):
            links.decode_report(data)


LINKS_MBPS = (5, 5, 100, 10, 5, 60, 8, 30, 5, 12)

# Steps within which a lost collector is passed over and its sums expire.
CHANGE_STEPS = (
    peers_module.UNRESPONSIVE_AFTER_MS + peers_module.AGGREGATE_TTL_MS
) // 250 + 2


class Fleet:
    """Routers that exchange reports, each with its own requests."""

    def __init__(self, clock, centres, size):
        self.clock = clock
        self.sequence = 0
        self.sent = 0
        self.down = set()
        self.cut = set()
        addresses = {
            f"10.{c}.0.{n}:7": f"dc{c}"
            for c in range(centres)
            for n in range(size)
        }
        self.peers = {
            address: peers_module.Peers(address, centre, 0, clock)
            for address, centre in addresses.items()
        }
        self.centres = addresses
        for peers in self.peers.values():
            for address, centre in addresses.items():
                peers.add(address, reports.Member(centre, 0))

    def step(self):
        self.sequence += 1
        self.clock.advance(250)
        letters = []
        for address, peers in self.peers.items():
            if address in self.down:
                continue
            own = make_report(
                address, self.sequence, 1, data_centre=self.centres[address]
            )
            letters += [
                (address, to, report) for to, report in peers.outgoing(own)
            ]
        self.sent += len(letters)
        for sender, to, report in letters:
            centres = {self.centres[sender], self.centres[to]}
            crosses = len(centres) == 2 and centres & self.cut
            if to not in self.down and not crosses:
                self.peers[to].receive(report)

    def seen(self):
        """Return what each live router takes the fleet's load to be."""
        return {
            peers.in_flight("t1") + 1
            for address, peers in self.peers.items()
            if address not in self.down
        }


def test_small_fleet_reports_to_all(clock):
    fleet = Fleet(clock, 2, 3)
    fleet.step()
    assert fleet.seen() == {6}
    assert fleet.sent == 30


def test_large_fleet_learns_the_sum_with_few_messages(clock):
    """Ninety routers; all to all would take 8,010 datagrams a step."""
    fleet = Fleet(clock, 3, 30)
    for _ in range(4):
        fleet.step()
    assert fleet.seen() == {90}
    assert {p.count() for p in fleet.peers.values()} == {90}
    assert fleet.sent / 4 < 3 * 30 * 2 + 10


def test_sums_take_a_bounded_part_of_a_link(clock):
    """A hundred routers in a data centre, two hundred targets."""
    peers = peers_module.Peers(OWN, "dc1", 0, clock)
    # As random as real ones, or they would compress to almost nothing.
    some = random.Random(1)
    many = {
        f"i-{some.randrange(16**10):010x}": reports.TargetReport(
            some.randrange(30), health.Results(some.randrange(99), 1)
        )
        for _ in range(200)
    }
    sent_bytes = 0
    for step in range(1, 41):
        clock.advance(250)
        for n in range(2, 102):
            peers.receive(make_report(f"10.0.0.{n}:7", step, targets=many))
        own = make_report(OWN, step, targets=many)
        sent_bytes += sum(
            len(links.encode_report(report))
            for _, report in peers.outgoing(own)
        )
    link_bytes_per_s = peers_module.MIN_LINK_MBPS * 125_000
    assert sent_bytes / 10 <= 1.5 * peers_module.AGGREGATE_LINK_SHARE * (
        link_bytes_per_s
    )


CONTROL_BYTES_PER_S = 8_000
ROUTERS = 51
NAMES = [f"i-{random.Random(n).randrange(16**10):010x}" for n in range(2_000)]


class LargeCentre:
    """A collector, a router that reports to it, and fifty others.

    Seven data centres with two thousand targets, at 10,000 requests a second.
    """

    def __init__(self, clock):
        self.clock = clock
        self.random = random.Random(3)
        self.collector = peers_module.Peers(OWN, "dc1", 1_000, clock)
        self.router = peers_module.Peers("10.0.0.2:7", "dc1", 1_000, clock)
        self.sequence = 0
        self.bytes_to_router = []
        self.hot = {}

    def _targets(self, count):
        some = self.random
        return {
            name: reports.TargetReport(
                1 + some.randrange(2), health.Results(some.randrange(20), 0)
            )
            for name in some.sample(NAMES, count)
        } | self.hot

    def step(self):
        self.clock.advance(peers_module.REPORT_INTERVAL_MS)
        self.sequence += 1
        for n in range(3, ROUTERS + 1):
            self.collector.receive(
                make_report(
                    f"10.0.0.{n}:7",
                    self.sequence,
                    targets=self._targets(30),
                    link_mbps=1_000,
                )
            )
        for n in range(2, 8):
            self.collector.receive(
                make_report(
                    f"10.{n}.0.1:7",
                    self.sequence,
                    data_centre=f"dc{n}",
                    routers=ROUTERS,
                    targets=self._targets(96),
                    partial=True,
                    link_mbps=1_000,
                )
            )
        own = make_report(
            "10.0.0.2:7",
            self.sequence,
            targets=self._targets(30),
            link_mbps=1_000,
            members=self.router.members(),
        )
        self.router.add(OWN, reports.Member("dc1", 10_000))
        self.router.outgoing(own)
        self.collector.receive(own)
        own = make_report(
            OWN,
            self.sequence,
            targets=self._targets(30),
            link_mbps=10_000,
            members=self.collector.members(),
        )
        for address, report in self.collector.outgoing(own):
            if address == "10.0.0.2:7":
                data = links.encode_report(report)
                self.bytes_to_router.append(len(data))
                self.router.receive(links.decode_report(data))


@pytest.fixture
def large_centre(clock):
    """A data centre of the size that the users aim at, warmed up."""
    centre = LargeCentre(clock)
    for _ in range(40):
        centre.step()
    return centre


def test_large_fleet_stays_within_the_bytes_for_control(large_centre):
    large_centre.bytes_to_router.clear()
    for _ in range(40):
        large_centre.step()
    seconds = 40 * peers_module.REPORT_INTERVAL_MS / 1_000
    sent_bytes = sum(large_centre.bytes_to_router)
    assert sent_bytes / seconds < CONTROL_BYTES_PER_S


def test_jumps_of_load_are_told_soon_in_a_large_fleet(large_centre):
    """One of two thousand targets gets forty requests more.

    Whole sums of two thousand came every ten seconds.
    """
    hot = NAMES[77]
    before = large_centre.router.in_flight(hot)
    large_centre.hot = {hot: reports.TargetReport(1, health.Results(20, 0))}
    for _ in range(8):
        large_centre.step()
    assert large_centre.router.in_flight(hot) > before + 30


def test_load_that_is_gone_is_told(large_centre):
    large_centre.hot = {
        NAMES[77]: reports.TargetReport(1, health.Results(20, 0))
    }
    for _ in range(20):
        large_centre.step()
    large_centre.hot = {}
    for _ in range(20):
        large_centre.step()
    assert large_centre.router.in_flight(NAMES[77]) < 10


def test_each_target_is_told_again(clock):
    """What a lost datagram told comes again, though nothing has changed."""
    told = partial_updates.UpdateSelector(clock)
    targets = {
        name: reports.TargetReport(2, health.Results(4, 0))
        for name in NAMES[:300]
    }
    told.select(targets, 300)
    seen = set()
    for _ in range(12):
        clock.advance(250)
        seen |= told.select(targets, 30).keys()
    assert seen == targets.keys()


def test_idle_targets_are_forgotten_in_the_end(clock):
    told = partial_updates.UpdateSelector(clock)
    told.select({"t1": reports.TargetReport(2, health.Results(4, 0))}, 5)
    clock.advance(250)
    assert told.select({}, 5) == {"t1": reports.IDLE}
    clock.advance(partial_updates.IDLE_MEMORY_MS)
    assert told.select({}, 5) == {}


def test_report_fits_a_datagram():
    """Of a router that alone has work at more targets than there are."""
    some = random.Random(1)
    many = {
        name: reports.TargetReport(n, health.Results(some.randrange(99), 9))
        for n, name in enumerate(NAMES)
    }
    own = make_report(OWN, targets=many)
    assert len(links.encode_report(own)) < 65_507


def test_collectors_that_die_are_replaced(clock):
    fleet = Fleet(clock, 3, 30)
    for _ in range(4):
        fleet.step()
    fleet.down = {
        peers._collector_of(centre)
        for (address, peers), centre in zip(
            fleet.peers.items(), fleet.centres.values(), strict=True
        )
    }
    assert len(fleet.down) == 3
    for _ in range(CHANGE_STEPS):
        fleet.step()
    assert fleet.seen() == {87}


def test_data_centre_that_is_cut_off_knows_its_own_load(clock):
    fleet = Fleet(clock, 3, 30)
    for _ in range(4):
        fleet.step()
    fleet.cut = {"dc0"}
    for _ in range(CHANGE_STEPS):
        fleet.step()
    assert fleet.seen() == {30, 60}
    fleet.cut = set()
    for _ in range(40):
        fleet.step()
    assert fleet.seen() == {90}


def readers(fleet):
    return {
        address
        for address, peers in fleet.peers.items()
        if peers.record_source() is None and address not in fleet.down
    }


def test_one_router_of_the_fleet_reads_the_store(clock):
    """Each call to it is paid for, however many data centres there are."""
    fleet = Fleet(clock, 3, 30)
    for _ in range(4):
        fleet.step()
    assert len(readers(fleet)) == 1
    fleet.down = readers(fleet)
    for _ in range(CHANGE_STEPS):
        fleet.step()
    assert len(readers(fleet)) == 1


def test_data_centre_that_is_cut_off_reads_for_itself(clock):
    fleet = Fleet(clock, 3, 30)
    for _ in range(4):
        fleet.step()
    fleet.cut = {"dc0"}
    for _ in range(CHANGE_STEPS):
        fleet.step()
    found = [fleet.centres[address] for address in readers(fleet)]
    assert len(found) == 2
    assert found.count("dc0") == 1


def test_collector_has_one_of_the_greatest_links(clock):
    """It passes each configuration on to all others in its data centre."""
    links_mbps = {f"10.0.0.{n}:7": mbps for n, mbps in enumerate(LINKS_MBPS)}
    chosen = set()
    for own, own_mbps in links_mbps.items():
        peers = peers_module.Peers(own, "dc1", own_mbps, clock)
        for address, mbps in links_mbps.items():
            peers.add(address, reports.Member("dc1", mbps))
        chosen.add(peers.collector() or own)
    assert len(chosen) == 1
    assert links_mbps[chosen.pop()] >= 50


def test_routers_that_start_together_do_not_wait_for_each_other(clock):
    """The first of each data centre reads the store, the others from it."""
    links_mbps = {f"10.0.0.{n}:7": mbps for n, mbps in enumerate(LINKS_MBPS)}
    asked = {}
    for own, own_mbps in links_mbps.items():
        peers = peers_module.Peers(own, "dc1", own_mbps, clock)
        for address, mbps in links_mbps.items():
            peers.add(address, reports.Member("dc1", mbps))
        peers.add("10.1.0.1:7", reports.Member("dc2", 100))
        asked[own] = peers.initial_sources(3)
    large = {own for own, mbps in links_mbps.items() if mbps >= 50}
    (first,) = [own for own in large if not asked[own]]
    for own, others in asked.items():
        assert own == first or others[0] == first
        assert ("10.1.0.1:7" in others) == (own not in large)
        assert set(others) <= {*large, "10.1.0.1:7"}
        assert not any(own in asked.get(other, ()) for other in others)


async def test_large_records_go_compressed_to_peers(clock):
    """A data centre's reader passes them on over one small link."""
    feed = feed_module.Feed(
        "configuration",
        lambda key, value: None,
        lambda as_of_ms: None,
        lambda key, value: value,
        lambda feed, outcome: None,
        clock,
    )
    some = random.Random(1)
    value = orjson.dumps(
        {
            "routes": [
                {
                    "name": f"r-{some.randrange(36**7):07x}",
                    "host": "example.test",
                    "path_prefix": f"/{some.randrange(36**7):07x}/",
                    "kind": "streaming",
                    "timeout_ms": 15_000,
                    "sticky_sessions": True,
                }
                for _ in range(250)
            ]
        }
    )
    record = records.KeyedRecord(3, "config", value)
    feed.take(records.Page([record], 4, True, True), clock.boot_ms())
    peers = peers_module.Peers(OWN, "dc1", 0, clock)
    links_of_one = links.Links(
        OWN, peers, lambda _: None, {feed.name: feed}, None, clock
    )
    request = test_utils.make_mocked_request("GET", "/feeds/configuration")
    for _ in range(2):
        response = await links_of_one._serve_records(request)
        assert len(response.body) < len(value) / 3
    page = links._decode_page(orjson.loads(response.body))
    assert page.records == [record]
