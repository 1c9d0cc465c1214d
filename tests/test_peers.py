"""Load reports between routers in small and large fleets."""

import random
import zlib

from aiohttp import test_utils
import orjson
import pytest

from bulrushdale.forwarding import peer_transport
from bulrushdale.forwarding import replica as replica_module
from bulrushdale import hashing
from bulrushdale import records
from bulrushdale.routing import crash_evidence
from bulrushdale.routing import health
from bulrushdale.routing import partial_updates
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import rate_limits
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


def test_router_that_is_cut_off_takes_no_more_than_its_share(peers, clock):
    # It heard of no other router and took the allowance of the whole fleet.
    addresses = [f"10.0.0.{number}:7" for number in range(2, 8)]
    for address in addresses:
        peers.receive(make_report(address))
    assert peers.fleet_size() == 7
    clock.advance(2 * peers_module.MEMBER_TTL_MS)
    assert peers.count() == 1
    assert peers.fleet_size() == 7
    for address in addresses[:4]:
        peers.receive(make_report(address, sequence=2))
    assert peers.fleet_size() == 7


def test_routers_that_live_on_take_no_part_of_those_that_fell_silent(
    peers, clock
):
    """What the others used of an allowance counts for its whole window."""
    live, lost_later, lost_first = (
        [f"10.0.0.{number}:7" for number in numbers]
        for numbers in (range(2, 6), range(6, 8), range(8, 9))
    )
    sizes = []
    for second in range(120):
        for address in live:
            peers.receive(make_report(address, sequence=second))
        if second < 60:
            for address in lost_later:
                peers.receive(make_report(address, sequence=second))
        if second < 35:
            for address in lost_first:
                peers.receive(make_report(address, sequence=second))
        sizes.append(peers.fleet_size())
        clock.advance(1_000)
    memory_s = peers_module.FLEET_SIZE_MEMORY_MS // 1000
    assert set(sizes[: 35 + memory_s]) == {8}
    assert 5 not in sizes[: 60 + memory_s]
    assert sizes[-1] == 5


@pytest.mark.parametrize(
    ("sender", "is_fleet_total"), [("10.0.0.2:7", True), ("10.0.0.3:7", False)]
)
def test_routers_that_disagree_on_the_size_of_the_fleet_are_miscounted(
    peers, clock, sender, is_fleet_total
):
    """One knows of so many that it takes itself for a collector."""
    clock.advance(peers_module.MEMBER_TTL_MS)
    data_centres = {
        f"10.0.0.{number}:7": data_centre
        for number, data_centre in enumerate(("dc1", "dc2", "dc2", "dc2"), 2)
    }
    for address, data_centre in data_centres.items():
        peers.receive(
            make_report(
                address,
                data_centre=data_centre,
                routers=3 if address == sender else 1,
                is_fleet_total=address == sender and is_fleet_total,
            )
        )
    assert peers.fleet_size() == 5
    for number in range(6, 11):
        peers.add(f"10.0.0.{number}:7")
    assert not peers.hears_most()


def test_load_of_peer_without_recent_report_is_ignored(peers, clock):
    """The peer itself counts as live until ``MEMBER_TTL_MS``."""
    peers.receive(make_report("10.0.0.2:7", 1, 5))
    clock.advance(peers_module.REPORT_TTL_MS + 1)
    assert peers.in_flight("t1") == 0
    assert peers.count() == 2
    clock.advance(peers_module.MEMBER_TTL_MS)
    assert peers.count() == 1


def test_routers_that_have_not_reported_yet_count_at_the_start(peers, clock):
    """Otherwise each of them would use the retries of the whole fleet."""
    for number in range(2, 8):
        peers.add(f"10.0.0.{number}:7")
    assert peers.count() == 7
    clock.advance(peers_module.MEMBER_TTL_MS)
    assert peers.count() == 1


def test_own_report_is_ignored(peers):
    assert not peers.receive(make_report(OWN, 1, 5))
    assert peers.addresses() == []


def test_earlier_versions_read_reports_with_limits():
    """They decompress the first block and know 13 or 15 fields."""
    report = make_report(
        "10.0.0.2:7",
        grants_permits=True,
        limits=(rate_limits.LimitReport("t1", 5, 3.5, 40),),
    )
    data = peer_transport.encode_report(report)
    assert peer_transport.decode_report(data) == report
    assert len(orjson.loads(zlib.decompress(data))) == 13


def test_report_survives_encoding():
    report = make_report(
        "10.0.0.2:7",
        members={"10.0.0.3:7": reports.Member("dc2", 100)},
        prefix_locations={(1 << 63) + 5: "t1"},
    )
    assert (
        peer_transport.decode_report(peer_transport.encode_report(report))
        == report
    )
    for data in (b"", b"{}", b"[1,2]", b"\xff"):
        with pytest.raises(ValueError):
            peer_transport.decode_report(data)


LINKS_MBPS = (5, 5, 100, 10, 5, 60, 8, 30, 5, 12)

# Steps after which a failed collector is skipped and its totals have expired.
FAILOVER_STEPS = (
    peers_module.UNRESPONSIVE_AFTER_MS + peers_module.TOTALS_TTL_MS
) // 250 + 2


class Fleet:
    """Routers that exchange reports, each with one request at a target."""

    def __init__(self, clock, data_centres, routers_per_data_centre):
        self.clock = clock
        self.sequence = 0
        self.sent_count = 0
        self.stopped = set()
        self.partitioned = set()
        self.crashes = {}
        self.informed = set()
        addresses = {
            f"10.{i}.0.{n}:7": f"dc{i}"
            for i in range(data_centres)
            for n in range(routers_per_data_centre)
        }
        self.peers = {
            address: peers_module.Peers(address, data_centre, 0, clock)
            for address, data_centre in addresses.items()
        }
        self.data_centres = addresses
        for peers in self.peers.values():
            for address, data_centre in addresses.items():
                peers.add(address, reports.Member(data_centre, 0))

    def add(self, address, data_centre):
        """Start a router that knows all others, and whom none knows."""
        peers = peers_module.Peers(address, data_centre, 0, self.clock)
        for known, known_data_centre in self.data_centres.items():
            peers.add(known, reports.Member(known_data_centre, 0))
        self.data_centres[address] = data_centre
        self.peers[address] = peers

    def step(self):
        """Let an interval pass, and deliver the reports of all routers.

        Stopped routers neither send nor receive. Datagrams between a
        partitioned data centre and any other one are lost.
        """
        self.sequence += 1
        self.clock.advance(250)
        datagrams = []
        for address, peers in self.peers.items():
            if address in self.stopped:
                continue
            own = make_report(
                address,
                self.sequence,
                1,
                data_centre=self.data_centres[address],
                crashes=self.crashes.get(address, ()),
                grants_permits=True,
                members=peers.members(),
            )
            datagrams += [
                (address, destination, report)
                for destination, report in peers.outgoing(own)
            ]
        self.sent_count += len(datagrams)
        for sender, destination, report in datagrams:
            data_centres = {
                self.data_centres[sender],
                self.data_centres[destination],
            }
            is_lost = (
                len(data_centres) == 2 and data_centres & self.partitioned
            )
            if destination not in self.stopped and not is_lost:
                self.peers[destination].receive(report)
                if report.crashes:
                    self.informed.add(destination)

    def known_loads(self):
        """Return the fleet loads that the running routers compute."""
        return {
            peers.in_flight("t1") + 1
            for address, peers in self.peers.items()
            if address not in self.stopped
        }


def test_small_fleet_is_a_full_mesh(clock):
    fleet = Fleet(clock, 2, 3)
    fleet.step()
    assert fleet.known_loads() == {6}
    assert fleet.sent_count == 30


def test_large_fleet_shares_totals_with_few_messages(clock):
    """A full mesh of ninety routers would send 8,010 datagrams per step."""
    fleet = Fleet(clock, 3, 30)
    for _ in range(4):
        fleet.step()
    assert fleet.known_loads() == {90}
    assert {p.count() for p in fleet.peers.values()} == {90}
    assert fleet.sent_count / 4 < 3 * 30 * 2 + 10


def follow_grantors(fleet, router, target_id):
    """Return the router that grants a permit, asked by any router."""
    for _ in range(3):
        grantor = fleet.peers[router].grantor(target_id)
        if grantor.address is None:
            return router, grantor.share
        router = grantor.address
    raise AssertionError("routers send each other in a circle")


@pytest.mark.parametrize(
    ("data_centres", "routers"), [(1, 1), (2, 3), (3, 30), (7, 52)]
)
def test_routers_agree_on_the_grantor_of_each_target(
    clock, data_centres, routers
):
    fleet = Fleet(clock, data_centres, routers)
    for _ in range(6):
        fleet.step()
    for number in range(4):
        grantors = {
            follow_grantors(fleet, router, f"t{number}")
            for router in fleet.peers
        }
        assert len(grantors) == 1
        ((_, share),) = grantors
        assert share == 1


@pytest.mark.parametrize(("data_centres", "routers"), [(2, 3), (3, 30)])
def test_next_router_grants_permits_when_the_grantor_stops(
    clock, data_centres, routers
):
    fleet = Fleet(clock, data_centres, routers)
    for _ in range(6):
        fleet.step()
    stopped, _ = follow_grantors(fleet, next(iter(fleet.peers)), "t1")
    fleet.stopped.add(stopped)
    for _ in range(24):
        fleet.step()
    running = [router for router in fleet.peers if router != stopped]
    grantors = {follow_grantors(fleet, router, "t1") for router in running}
    assert len({grantor for grantor, _ in grantors}) == 1
    assert stopped not in {grantor for grantor, _ in grantors}


@pytest.mark.parametrize(("data_centres", "routers"), [(2, 3), (3, 30)])
def test_parts_of_a_partitioned_fleet_share_the_rate(
    clock, data_centres, routers
):
    fleet = Fleet(clock, data_centres, routers)
    for _ in range(6):
        fleet.step()
    for router in fleet.peers:
        follow_grantors(fleet, router, "t1")
    fleet.partitioned.add("dc0")
    for _ in range(40):
        fleet.step()
    shares = dict(
        follow_grantors(fleet, router, "t1") for router in fleet.peers
    )
    assert len(shares) == 2
    assert sum(shares.values()) == pytest.approx(1, abs=0.05)


def test_router_that_just_started_grants_no_full_rate(peers, clock):
    for number in range(2, 8):
        peers.add(f"10.0.0.{number}:7")
    assert peers.grantor("t1").share == pytest.approx(1 / 7)
    clock.advance(peers_module.MEMBER_TTL_MS + 1)
    clock.advance(peers_module.FLEET_SIZE_MEMORY_MS)
    assert peers.grantor("t1").share == 1


def test_totals_use_a_bounded_share_of_a_link(clock):
    """The data centre has about a hundred routers and 200 targets."""
    peers = peers_module.Peers(OWN, "dc1", 0, clock)
    # Random ids as in production; regular ones would compress too well.
    rng = random.Random(1)
    targets = {
        f"i-{rng.randrange(16**10):010x}": reports.TargetReport(
            rng.randrange(30), health.Results(rng.randrange(99), 1)
        )
        for _ in range(200)
    }
    sent_bytes = 0
    for step in range(1, 41):
        clock.advance(250)
        for n in range(2, 102):
            peers.receive(make_report(f"10.0.0.{n}:7", step, targets=targets))
        own = make_report(OWN, step, targets=targets)
        sent_bytes += sum(
            len(peer_transport.encode_report(report))
            for _, report in peers.outgoing(own)
        )
    link_bytes_per_s = peers_module.MIN_LINK_MBPS * 125_000
    assert sent_bytes / 10 <= 1.5 * peers_module.TOTALS_LINK_SHARE * (
        link_bytes_per_s
    )


CONTROL_BYTES_PER_S = 8_000
ROUTERS = 51
TARGET_IDS = [
    f"i-{random.Random(n).randrange(16**10):010x}" for n in range(2_000)
]


class LargeDataCentre:
    """A collector and the routers that report to it, fifty-one in total.

    Simulates one of seven data centres with 51 routers each, for 2,000
    targets and 10,000 requests per second. One of the reporting routers is
    observed: it receives the totals.
    """

    def __init__(self, clock):
        self.clock = clock
        self.random = random.Random(3)
        self.collector = peers_module.Peers(OWN, "dc1", 1_000, clock)
        self.router = peers_module.Peers("10.0.0.2:7", "dc1", 1_000, clock)
        self.sequence = 0
        self.bytes_to_router = []
        self.extra_load = {}

    def _targets(self, count):
        rng = self.random
        return {
            name: reports.TargetReport(
                1 + rng.randrange(2), health.Results(rng.randrange(20), 0)
            )
            for name in rng.sample(TARGET_IDS, count)
        } | self.extra_load

    def step(self):
        """Let an interval pass, and exchange one round of reports.

        The collector receives a report from each router of its data centre
        and a total from each of the six other ones. The bytes that it sends
        to the observed router are recorded.
        """
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
                    members={
                        f"10.{n}.0.{k}:7": reports.Member(f"dc{n}", 1_000)
                        for k in range(1, ROUTERS + 1)
                    },
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
                data = peer_transport.encode_report(report)
                self.bytes_to_router.append(len(data))
                self.router.receive(peer_transport.decode_report(data))


@pytest.fixture
def large_data_centre(clock):
    """Return a data centre of the intended size after a warm-up."""
    data_centre = LargeDataCentre(clock)
    for _ in range(40):
        data_centre.step()
    return data_centre


def test_large_fleet_stays_within_control_bytes(large_data_centre):
    large_data_centre.bytes_to_router.clear()
    for _ in range(40):
        large_data_centre.step()
    seconds = 40 * peers_module.REPORT_INTERVAL_MS / 1_000
    sent_bytes = sum(large_data_centre.bytes_to_router)
    assert sent_bytes / seconds < CONTROL_BYTES_PER_S


def test_load_jump_is_sent_soon_in_a_large_fleet(large_data_centre):
    """The load of one of 2,000 targets jumps by more than forty requests.

    Routers must learn of it within two seconds; complete totals of 2,000
    targets were sent only every ten seconds.
    """
    hot_id = TARGET_IDS[77]
    before = large_data_centre.router.in_flight(hot_id)
    large_data_centre.extra_load = {
        hot_id: reports.TargetReport(1, health.Results(20, 0))
    }
    for _ in range(8):
        large_data_centre.step()
    assert large_data_centre.router.in_flight(hot_id) > before + 30


def test_drop_in_load_is_sent(large_data_centre):
    large_data_centre.extra_load = {
        TARGET_IDS[77]: reports.TargetReport(1, health.Results(20, 0))
    }
    for _ in range(20):
        large_data_centre.step()
    large_data_centre.extra_load = {}
    for _ in range(20):
        large_data_centre.step()
    assert large_data_centre.router.in_flight(TARGET_IDS[77]) < 10


def test_each_target_is_sent_again(clock):
    """A lost datagram is made up for even if no load has changed."""
    selector = partial_updates.TargetSelector(clock)
    targets = {
        name: reports.TargetReport(2, health.Results(4, 0))
        for name in TARGET_IDS[:300]
    }
    selector.select(targets, 300)
    selected = set()
    for _ in range(12):
        clock.advance(250)
        selected |= selector.select(targets, 30).keys()
    assert selected == targets.keys()


def test_idle_targets_are_forgotten_eventually(clock):
    selector = partial_updates.TargetSelector(clock)
    selector.select({"t1": reports.TargetReport(2, health.Results(4, 0))}, 5)
    clock.advance(250)
    assert selector.select({}, 5) == {"t1": reports.IDLE}
    clock.advance(partial_updates.IDLE_MEMORY_MS)
    assert selector.select({}, 5) == {}


def test_crashes_survive_encoding():
    crash = crash_evidence.CrashReport("t1", 5, 70, (((1 << 64) - 1, 2), (3,)))
    report = make_report("10.0.0.2:7", crashes=(crash,), cleared=(4,))
    assert (
        peer_transport.decode_report(peer_transport.encode_report(report))
        == report
    )


def test_report_without_crashes_is_as_routers_of_earlier_versions_expect():
    data = peer_transport.encode_report(make_report("10.0.0.2:7"))
    assert len(orjson.loads(zlib.decompress(data))) == 13


def test_totals_name_each_crash_once_with_all_prompts(clock):
    """Crashes reach all routers of a large fleet through its collectors."""
    crashes = [
        crash_evidence.CrashReport("t1", 5, age_ms, ((part,),))
        for age_ms, part in ((70, 1), (90, 2))
    ]
    own = make_report(OWN, crashes=crashes[:1])
    others = [make_report("10.0.0.2:7", crashes=crashes[1:], cleared=(4,))]
    total = reports.sum_reports(own, others, is_fleet_total=True)
    (crash,) = total.crashes
    assert (crash.age_ms, crash.prompts) == (90, ((1,), (2,)))
    assert total.cleared == (4,)


def test_crash_reaches_every_router_of_a_large_fleet(clock):
    """A crash is in the reports of the router that saw it for two seconds."""
    fleet = Fleet(clock, 7, 30)
    for _ in range(20):
        fleet.step()
    crash = crash_evidence.CrashReport("t1", 5, 70, ((1,),))
    fleet.crashes["10.3.0.9:7"] = (crash,)
    for _ in range(8):
        fleet.step()
    assert len(fleet.informed) >= 7 * 30 - 1


def test_total_of_many_crashes_fits_a_datagram():
    """A data centre fails while its targets begin long prompts."""
    crashes = [
        crash_evidence.CrashReport(
            f"t{number}",
            5,
            number,
            tuple(
                tuple((number * 8 + prompt) << 40 | n for n in range(32))
                for prompt in range(8)
            ),
        )
        for number in range(128)
    ]
    reported = [
        make_report(f"10.0.0.{n + 2}:7", crashes=crashes[n * 4 : n * 4 + 4])
        for n in range(32)
    ]
    total = reports.sum_reports(make_report(OWN), reported, True)
    assert total.crashes[0].age_ms == 0
    assert len(peer_transport.encode_report(total)) < 5_000


def test_largest_report_fits_a_datagram():
    """A single router reports load at all 2,000 targets."""
    rng = random.Random(1)
    targets = {
        name: reports.TargetReport(n, health.Results(rng.randrange(99), 9))
        for n, name in enumerate(TARGET_IDS)
    }
    own = make_report(OWN, targets=targets)
    assert len(peer_transport.encode_report(own)) < 65_507


def test_failed_collectors_are_replaced(clock):
    fleet = Fleet(clock, 3, 30)
    for _ in range(4):
        fleet.step()
    fleet.stopped = {
        peers._collector_of(data_centre)
        for (address, peers), data_centre in zip(
            fleet.peers.items(), fleet.data_centres.values(), strict=True
        )
    }
    assert len(fleet.stopped) == 3
    for _ in range(FAILOVER_STEPS):
        fleet.step()
    assert fleet.known_loads() == {87}


def first_in_order(data_centre, candidates, known):
    """Return a candidate that comes before the known routers."""
    key = hashing.hash64(data_centre.encode())
    return next(a for a in candidates if hashing.winner(key, [a, *known]) == a)


@pytest.mark.parametrize("data_centres", [1, 3])
def test_router_that_starts_as_collector_splits_its_data_centre(
    clock, data_centres
):
    """It knows the others from the store, and they don't know it."""
    fleet = Fleet(clock, data_centres, 15)
    for _ in range(4):
        fleet.step()
    for number in range(100, 104):
        known = [a for a, dc in fleet.data_centres.items() if dc == "dc0"]
        new = first_in_order(
            "dc0", (f"10.0.{number}.{n}:7" for n in range(250)), known
        )
        fleet.add(new, "dc0")
        for _ in range(FAILOVER_STEPS):
            fleet.step()
        assert fleet.known_loads() == {len(fleet.peers)}


def test_partitioned_data_centre_knows_its_own_load(clock):
    fleet = Fleet(clock, 3, 30)
    for _ in range(4):
        fleet.step()
    fleet.partitioned = {"dc0"}
    for _ in range(FAILOVER_STEPS):
        fleet.step()
    assert fleet.known_loads() == {30, 60}
    fleet.partitioned = set()
    for _ in range(40):
        fleet.step()
    assert fleet.known_loads() == {90}


def store_readers(fleet):
    """Return the running routers that have no upstream router."""
    return {
        address
        for address, peers in fleet.peers.items()
        if peers.upstream() is None and address not in fleet.stopped
    }


def test_one_router_of_the_fleet_reads_the_store(clock):
    """Each read of the store costs money, so one router reads for all."""
    fleet = Fleet(clock, 3, 30)
    for _ in range(4):
        fleet.step()
    assert len(store_readers(fleet)) == 1
    fleet.stopped = store_readers(fleet)
    for _ in range(FAILOVER_STEPS):
        fleet.step()
    assert len(store_readers(fleet)) == 1


def test_partitioned_data_centre_reads_the_store_itself(clock):
    fleet = Fleet(clock, 3, 30)
    for _ in range(4):
        fleet.step()
    fleet.partitioned = {"dc0"}
    for _ in range(FAILOVER_STEPS):
        fleet.step()
    found = [fleet.data_centres[address] for address in store_readers(fleet)]
    assert len(found) == 2
    assert found.count("dc0") == 1


def test_collector_has_one_of_the_largest_links(clock):
    """It sends each configuration to all other routers in its data centre."""
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
    """The first router of each data centre reads the store.

    All other routers ask that router first.
    """
    links_mbps = {f"10.0.0.{n}:7": mbps for n, mbps in enumerate(LINKS_MBPS)}
    sources = {}
    for own, own_mbps in links_mbps.items():
        peers = peers_module.Peers(own, "dc1", own_mbps, clock)
        for address, mbps in links_mbps.items():
            peers.add(address, reports.Member("dc1", mbps))
        peers.add("10.1.0.1:7", reports.Member("dc2", 100))
        sources[own] = peers.initial_sources(3)
    large = {own for own, mbps in links_mbps.items() if mbps >= 50}
    (first,) = [own for own in large if not sources[own]]
    for own, asked in sources.items():
        assert own == first or asked[0] == first
        assert ("10.1.0.1:7" in asked) == (own not in large)
        assert set(asked) <= {*large, "10.1.0.1:7"}
        assert not any(own in sources.get(other, ()) for other in asked)


async def test_large_records_are_compressed_for_peers(clock):
    """A data centre's collector may send them all over one small link."""
    replica = replica_module.Replica(
        "configuration",
        lambda key, value: None,
        lambda as_of_ms: None,
        lambda key, value: value,
        lambda replica, outcome: None,
        clock,
    )
    rng = random.Random(1)
    value = orjson.dumps(
        {
            "routes": [
                {
                    "name": f"r-{rng.randrange(36**7):07x}",
                    "host": "example.test",
                    "path_prefix": f"/{rng.randrange(36**7):07x}/",
                    "kind": "streaming",
                    "timeout_ms": 15_000,
                    "sticky_sessions": True,
                }
                for _ in range(250)
            ]
        }
    )
    record = records.KeyedRecord(3, "config", value)
    replica.apply(records.Page([record], 4, True, True), clock.boot_ms())
    peers = peers_module.Peers(OWN, "dc1", 0, clock)
    transport = peer_transport.PeerTransport(
        OWN, peers, lambda _: None, {replica.name: replica}, None, clock
    )
    request = test_utils.make_mocked_request("GET", "/feeds/configuration")
    for _ in range(2):
        response = await transport._serve_records(request)
        assert len(response.body) < len(value) / 3
    _, page = peer_transport.decode_records(response.body)
    assert page.records == [record]
