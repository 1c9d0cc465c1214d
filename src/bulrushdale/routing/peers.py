"""Load reports exchanged between routers.

In a small fleet every router sends its report to every other router. In a
larger fleet a router reports to one collector in its data centre. The
collector adds up the reports, exchanges totals with the collectors of the
other data centres, and sends the fleet total to the routers that report to
it.

No election is needed, because a router acts as collector for every router
that chooses it. Routers choose by rendezvous hashing and skip a collector
that does not respond. While they disagree, each of them sees only a part of
the load; no guarantee depends on these numbers.
"""

import collections
from collections import abc
import dataclasses
import logging

from bulrushdale import clock as clock_module
from bulrushdale import hashing
from bulrushdale.routing import health
from bulrushdale.routing import partial_updates
from bulrushdale.routing import reports

LOG = logging.getLogger(__name__)

# Interval between load reports. The load of the fleet changes within about a
# second of a burst or of the loss of a target.
REPORT_INTERVAL_MS = 250
# Older reports are ignored, because the router and its requests may be gone.
REPORT_TTL_MS = 1_500
# Totals from a collector stay valid for longer, because routers need up to
# this long to switch to another collector when theirs fails.
TOTALS_TTL_MS = 3_000
# Share of its link that a collector may use to send totals. A link of unknown
# bandwidth counts as the smallest one.
TOTALS_LINK_SHARE = 0.2
MIN_LINK_MBPS = 5
# Targets that a collector adds up per second. Adding up 2,000 targets takes
# 25 ms, so totals stay below the 4.2% of a core allowed for control traffic.
TOTALS_TARGETS_PER_S = 2_500
# Bytes of totals sent to one router. Its control traffic may use 8 KB/s; its
# own reports and its long polls for records take the rest.
ROUTER_TOTALS_BYTES_PER_S = 5_000
# Size of one target in a compressed report: an id of five random bytes and
# three small numbers.
TARGET_REPORT_BYTES = 13
# A router without a report for this long is not counted as a fleet member.
MEMBER_TTL_MS = 6_000
# Up to this fleet size all routers report to each other: four reports per
# second of some hundred bytes stay below the 8 KB/s for control traffic.
MAX_FULL_MESH_ROUTERS = 12
# A collector that has not responded for this long is skipped.
UNRESPONSIVE_AFTER_MS = 1_200
# A collector to which no router of its data centre reports for this long
# reports to the next one in the order.
INTRODUCE_AFTER_MS = 1_000
# A collector that is skipped is tried again after this time.
COLLECTOR_RETRY_MS = 5_000


# Minimum link bandwidth of a collector, as a share of the largest link in its
# data centre. A collector sends to all routers there, and a configuration of
# some 100 KB would fill a small link for seconds.
MIN_COLLECTOR_LINK_SHARE = 0.5
# A router that has just started grants no permits as the only one it knows,
# because it has not heard of the others yet.
GRANT_AFTER_MS = 1_000
# The fleet was as large as this long ago. Routers that can't reach the others
# use only their part of a rate or of an allowance. Longer than the window of
# any allowance.
FLEET_SIZE_MEMORY_MS = 30_000
# A router without a sign of life for this long is gone. Longer than the cuts
# that operators usually mend, as two cuts in a row that both last longer may
# leave two parts of the fleet that each take themselves for the larger one.
FORGET_AFTER_MS = 600_000
# Members that a collector heard of through other collectors, told in each of
# its totals in turn. 320 are told within 40 s, at a total per second.
MAX_TOLD_MEMBERS = 8
# Share of a target's slots that the routers of a large fleet fill unasked.
# Each decides by a hash whether it has one, so their sum varies.
SHARED_SLOTS = 0.75
# Rendezvous key by which the fleet selects the collector that reads the
# store.
STORE_READER_KEY = 0


def _totals_interval_ms(targets: int) -> int:
    """Return the interval between totals over *targets* targets, in ms."""
    spread_ms = targets * 1000 // TOTALS_TARGETS_PER_S
    return max(REPORT_INTERVAL_MS, spread_ms)


def _select_targets(
    report: reports.Report,
    selector: partial_updates.TargetSelector,
    max_targets: int,
) -> reports.Report:
    """Return a copy of a report with the targets that are sent now.

    :param report: a total with all targets that have any load or results.
    :param selector: remembers what was sent to the same receivers; it may
        add targets that have become idle.
    :param max_targets: maximum number of targets in the copy.
    :return: the copy, marked as partial if it leaves out any targets.
    """
    targets = selector.select(report.targets, max_targets)
    partial = not targets.keys() >= report.targets.keys()
    return dataclasses.replace(report, targets=targets, partial=partial)


class _Peer:
    """State of another router.

    :ivar data_centre: its data centre; empty while unknown.
    :ivar link_mbps: bandwidth of its link, in Mbit/s; 0 while unknown.
    :ivar last_report_ms: when its last report arrived, in ms of the clock.
    :ivar unanswered_since_ms: when the first message since its last report
        was sent to it, in ms of the clock; none if no message was.
    :ivar unresponsive_since_ms: when it was found unresponsive, in ms of the
        clock.
    :ivar report: its newest report.
    :ivar alive_ms: when the last sign of life of it arrived, or when it was
        added, in ms of the boot clock.
    :ivar named_ms: when another router last named it as one that reports to
        that router, in ms of the boot clock; none if none did.
    """

    __slots__ = (
        "data_centre",
        "link_mbps",
        "last_report_ms",
        "unanswered_since_ms",
        "unresponsive_since_ms",
        "report",
        "alive_ms",
        "named_ms",
    )

    def __init__(self, now_ms: int) -> None:
        self.data_centre = ""
        self.link_mbps = 0
        self.last_report_ms: int | None = None
        self.unanswered_since_ms: int | None = None
        self.unresponsive_since_ms: int | None = None
        self.report: reports.Report | None = None
        self.alive_ms = now_ms
        self.named_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Grantor:
    """The router to ask for permits for a target.

    :param address: its address; none if this router grants them itself.
    :param forwards: whether it may have to ask another router.
    :param share: the share of the rate that this router grants.
    """

    address: str | None
    forwards: bool = False
    share: float = 0.0


class Peers:
    """The newest report of each other router.

    :param own_address: address of this router, which is never a peer.
    :param data_centre: data centre of this router.
    :param link_mbps: bandwidth of this router's link, in Mbit/s.
    :param clock: the clock.
    """

    __slots__ = (
        "_own_address",
        "_data_centre",
        "_link_mbps",
        "_clock",
        "_peers",
        "_own_reported_targets",
        "_fleet_selector",
        "_data_centre_selector",
        "_next_totals_ms",
        "_peer_load",
        "_peer_load_expires_ms",
        "_started_ms",
        "_fleet_sizes",
        "_sharing",
        "_sharing_count",
        "_sharing_expires_ms",
        "_grants_slots",
        "_grants_slots_expires_ms",
        "_most_since_ms",
        "_heard_most_ms",
        "_told_members",
        "_unheeded_since_ms",
    )

    def __init__(
        self,
        own_address: str,
        data_centre: str,
        link_mbps: int,
        clock: clock_module.Clock,
    ) -> None:
        self._own_address = own_address
        self._data_centre = data_centre
        self._link_mbps = link_mbps
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._peers: dict[str, _Peer] = {}
        # Targets in this router's last report outside a full mesh, subtracted
        # from fleet totals.
        self._own_reported_targets: abc.Mapping[str, reports.TargetReport] = {}
        self._fleet_selector = partial_updates.TargetSelector(clock)
        self._data_centre_selector = partial_updates.TargetSelector(clock)
        self._next_totals_ms = 0
        # Load of the other routers at each target; recomputed after a report,
        # and if it is older than REPORT_INTERVAL_MS.
        self._peer_load: abc.Mapping[str, reports.TargetReport] = {}
        self._peer_load_expires_ms = 0
        # Sizes of the fleet that no later one has exceeded, with the last
        # time of each; at most one entry for each size.
        self._fleet_sizes: collections.deque[tuple[int, int]] = (
            collections.deque()
        )
        # Routers that share the slots of brittle targets, and their number;
        # found again each REPORT_INTERVAL_MS.
        self._sharing: list[str] = []
        self._sharing_count = 1
        self._sharing_expires_ms = 0
        self._grants_slots = False
        self._grants_slots_expires_ms = 0
        # Since when this router has heard most routers, and when it last did,
        # in ms of the boot clock.
        self._most_since_ms = self._heard_most_ms = clock.boot_ms()
        # Since when this router is a collector to which none reports.
        self._unheeded_since_ms: int | None = None
        # Members told in totals so far.
        self._told_members = 0

    def add(
        self, address: str, member: reports.Member = reports.UNKNOWN
    ) -> None:
        """Add a possible peer, or update what is known about it.

        :param address: IP address and port; ignored if it is this router's.
        :param member: data centre and link of the peer, as far as known.
        """
        if address == self._own_address:
            return
        peer = self._peers.get(address)
        if peer is None:
            peer = self._peers[address] = _Peer(self._clock.boot_ms())
        peer.data_centre = member.data_centre or peer.data_centre
        peer.link_mbps = member.link_mbps or peer.link_mbps

    def receive(self, report: reports.Report) -> bool:
        """Store a report unless it or a newer one is known.

        The sender of any report, and the members named in a stored one, are
        added as possible peers.

        :param report: a report from another router; this router's own
            reports are ignored.
        :return: whether the report was stored.
        """
        if report.address == self._own_address:
            return False
        self.add(
            report.address,
            reports.Member(report.data_centre, report.link_mbps),
        )
        peer = self._peers[report.address]
        version = (report.started_ms, report.sequence)
        if peer.report is not None:
            known_version = (peer.report.started_ms, peer.report.sequence)
            if version <= known_version:
                return False
        peer.report = reports.apply_partial(report, peer.report)
        peer.last_report_ms = self._clock.now_ms()
        self._peer_load_expires_ms = 0
        peer.unanswered_since_ms = None
        peer.unresponsive_since_ms = None
        peer.alive_ms = self._clock.boot_ms()
        for address, member in report.members.items():
            self.add(address, member)
            self._record_named(address, by_total=report.is_fleet_total)
        return True

    def _record_named(self, address: str, by_total: bool) -> None:
        """Record that a report names a router as a live one.

        Fleet totals also name routers that their sender has heard of through
        others only. These aren't told again, or routers that tell each other
        would keep one alive that is gone.
        """
        peer = self._peers.get(address)
        if peer is not None:
            peer.alive_ms = self._clock.boot_ms()
            if not by_total:
                peer.named_ms = peer.alive_ms

    def _watch_majority(self) -> None:
        """Record whether this router hears most routers now.

        A short gap doesn't count, but standing still does.
        """
        if not self.hears_most():
            return
        now_ms = self._clock.boot_ms()
        if now_ms - self._heard_most_ms > MEMBER_TTL_MS:
            self._most_since_ms = now_ms
        self._heard_most_ms = now_ms

    def forget(self) -> list[str]:
        """Forget the routers that are gone.

        A router that is cut off can't tell which of the others are gone, so
        only one that heard most of them the whole time forgets any. It always
        keeps as many as are live, because it doesn't hear of each one while
        its collector is of an earlier version.

        :return: their addresses.
        """
        self._watch_majority()
        oldest_ms = self._clock.boot_ms() - FORGET_AFTER_MS
        if not self.hears_most() or self._most_since_ms > oldest_ms:
            return []
        silent = sorted(
            (peer.alive_ms, address)
            for address, peer in self._peers.items()
            if peer.alive_ms <= oldest_ms
        )
        surplus = 1 + len(self._peers) - self._largest_fleet_size()
        gone = [address for _, address in silent[: max(0, surplus)]]
        for address in gone:
            del self._peers[address]
            LOG.info(
                "router forgotten",
                extra={
                    "event": "router.forgotten",
                    "peer": address,
                    "after_ms": FORGET_AFTER_MS,
                    "known": 1 + len(self._peers),
                },
            )
        return gone

    def alive_members(self) -> dict[str, reports.Member]:
        """Return the routers that are live, also by what others report."""
        oldest_ms = self._clock.boot_ms() - MEMBER_TTL_MS
        return {
            address: reports.Member(peer.data_centre, peer.link_mbps)
            for address, peer in self._peers.items()
            if peer.alive_ms >= oldest_ms
            and (peer.report is not None or peer.named_ms is not None)
        }

    def _members_to_tell(self) -> dict[str, reports.Member]:
        """Return some of the routers that other collectors named lately.

        The routers that report to this one hear of them only through it.
        """
        oldest_ms = self._clock.boot_ms() - MEMBER_TTL_MS
        named = sorted(
            address
            for address, peer in self._peers.items()
            if peer.named_ms is not None and peer.named_ms >= oldest_ms
        )
        if not named:
            return {}
        start = self._told_members % len(named)
        self._told_members += MAX_TOLD_MEMBERS
        members = {}
        for address in (named + named)[start : start + MAX_TOLD_MEMBERS]:
            peer = self._peers[address]
            members[address] = reports.Member(peer.data_centre, peer.link_mbps)
        return members

    def _recent_reports(self, max_age_ms: int) -> abc.Iterator[reports.Report]:
        """Yield the peers' latest reports up to an age, in ms."""
        oldest_ms = self._clock.now_ms() - max_age_ms
        for peer in self._peers.values():
            if (
                peer.report is not None
                and (peer.last_report_ms or 0) >= oldest_ms
            ):
                yield peer.report

    @property
    def full_mesh(self) -> bool:
        """Whether every router reports to every other one."""
        return len(self._peers) < MAX_FULL_MESH_ROUTERS

    def _collector_of(
        self, data_centre: str, include_own: bool = True
    ) -> str | None:
        """Return the address of a data centre's collector.

        Unresponsive peers and those with small links are left out.

        :param data_centre: the data centre.
        :param include_own: whether it may be this router.
        :return: the address, which may be this router's; none if no router
            of the data centre can be its collector.
        """
        now_ms = self._clock.now_ms()
        links_mbps = {
            address: peer.link_mbps
            for address, peer in self._peers.items()
            if peer.data_centre == data_centre
            and not self._is_unresponsive(peer, now_ms)
        }
        if data_centre == self._data_centre and include_own:
            links_mbps[self._own_address] = self._link_mbps
        if not links_mbps:
            return None
        min_mbps = MIN_COLLECTOR_LINK_SHARE * max(links_mbps.values())
        candidates = [a for a, mbps in links_mbps.items() if mbps >= min_mbps]
        return hashing.winner(hashing.hash64(data_centre.encode()), candidates)

    def _is_unresponsive(self, peer: _Peer, now_ms: int) -> bool:
        """Return whether to skip a peer as unresponsive.

        This also records since when it is unresponsive, and clears that once
        it may be tried again.

        :param peer: state of the peer; updated.
        :param now_ms: the time, in ms of the clock.
        """
        if peer.unresponsive_since_ms is not None:
            if now_ms - peer.unresponsive_since_ms < COLLECTOR_RETRY_MS:
                return True
            peer.unresponsive_since_ms = None
            peer.unanswered_since_ms = None
        if (
            peer.unanswered_since_ms is None
            or now_ms - peer.unanswered_since_ms < UNRESPONSIVE_AFTER_MS
        ):
            return False
        peer.unresponsive_since_ms = now_ms
        return True

    def collector(self) -> str | None:
        """Return the collector of this router's data centre.

        :return: the collector's address; none if it is this router.
        """
        found = self._collector_of(self._data_centre)
        return None if found == self._own_address else found

    def upstream(self) -> str | None:
        """Return the upstream router, from which to read store records.

        One router of the fleet reads the store. The collectors of the other
        data centres read from that router, and all other routers read from
        their collector.

        :return: the router's address; none if this router reads the store.
        """
        collector = self.collector()
        if collector is not None:
            return collector
        data_centres = {peer.data_centre for peer in self._peers.values()}
        collectors = {self._own_address}
        for data_centre in data_centres - {self._data_centre, ""}:
            candidate = self._collector_of(data_centre)
            if candidate is not None and self._reported_recently(candidate):
                collectors.add(candidate)
        reader = hashing.winner(STORE_READER_KEY, collectors)
        return None if reader == self._own_address else reader

    def grantor(self, target_id: str) -> Grantor:
        """Return the router that grants permits for a target.

        Each target has another grantor, which takes up its role without an
        election. In a large fleet only collectors hear of each other, so they
        are the grantors, and other routers ask their collector.

        :param target_id: id of the target.
        """
        if self.full_mesh:
            candidates = [a for a in self._peers if self._grants_permits(a)]
            return self._grantor_among(target_id, candidates)
        collector = self.collector()
        if collector is not None:
            if self._grants_permits(collector):
                return Grantor(collector, forwards=True)
            return Grantor(None, share=1 / self.count())
        return self._grantor_among(target_id, self._granting_collectors())

    def _granting_collectors(self) -> list[str]:
        """Return the collectors of other data centres that grant permits."""
        data_centres = {peer.data_centre for peer in self._peers.values()}
        collectors = map(
            self._collector_of, data_centres - {self._data_centre, ""}
        )
        return [a for a in collectors if a and self._grants_permits(a)]

    def grants_slots(self) -> bool:
        """Return whether the grantors of brittle targets grant their slots.

        Up to MAX_FULL_MESH_ROUTERS the shares of the routers add up to the
        slots, and no grants are needed. Routers of earlier versions grant
        none. Found again each REPORT_INTERVAL_MS, as it is asked for each
        target that a request may go to.
        """
        now_ms = self._clock.now_ms()
        if now_ms >= self._grants_slots_expires_ms:
            self._grants_slots = self._find_grants_slots()
            self._grants_slots_expires_ms = now_ms + REPORT_INTERVAL_MS
        return self._grants_slots

    def _find_grants_slots(self) -> bool:
        if self.full_mesh:
            return False
        collector = self.collector()
        grantors = [collector] if collector else self._granting_collectors()
        reports_of_grantors = [self._peers[a].report for a in grantors]
        return all(
            r is not None and r.grants_slots for r in reports_of_grantors
        )

    def slot_share(self, target_id: str, slots: int) -> int:
        """Return how many of a target's slots this router may fill unasked.

        The shares of all routers add up to no more than the slots. Where
        there are fewer slots than routers, some have one and others none,
        others at each target.

        :param target_id: id of the target.
        :param slots: number of its slots.
        """
        now_ms = self._clock.now_ms()
        if now_ms >= self._sharing_expires_ms:
            self._sharing = [self._own_address, *self.live()]
            self._sharing_count = self.count()
            self._sharing_expires_ms = now_ms + REPORT_INTERVAL_MS
        if not self.full_mesh:
            # Only collectors know which routers are live.
            share, chance = divmod(
                SHARED_SLOTS * slots / self._sharing_count, 1
            )
            own = hashing.fraction(f"{self._own_address} {target_id}")
            return int(share) + (own < chance)
        share, left = divmod(slots, len(self._sharing))
        if not left:
            return share
        key = hashing.name_hash(target_id)
        routers = hashing.rendezvous(key, self._sharing)
        return share + (routers.index(self._own_address) < left)

    def _grantor_among(self, target_id: str, candidates: list[str]) -> Grantor:
        """Return the grantor among this router and some others."""
        found = hashing.winner(
            hashing.name_hash(target_id), [*candidates, self._own_address]
        )
        if found != self._own_address:
            return Grantor(found)
        return Grantor(None, share=self._reachable_share())

    def _grants_permits(self, address: str) -> bool:
        """Return whether a router would answer a request for a permit."""
        report = self._peers[address].report
        return (
            report is not None
            and report.grants_permits
            and self._reported_recently(address)
        )

    def _reachable_share(self) -> float:
        """Return the share of the fleet that this router knows to be live.

        In a partition each part of the fleet has grantors of its own.
        """
        largest = self._largest_fleet_size()
        count = self.count()
        if self._clock.now_ms() - self._started_ms < GRANT_AFTER_MS:
            return 1 / max(count, 1 + len(self._peers))
        return count / largest

    def _largest_fleet_size(self) -> int:
        """Return the largest size of the fleet in ``FLEET_SIZE_MEMORY_MS``.

        Also records its size now.
        """
        now_ms = self._clock.now_ms()
        count = self.count()
        sizes = self._fleet_sizes
        while sizes and sizes[-1][1] <= count:
            sizes.pop()
        sizes.append((now_ms, count))
        while now_ms - sizes[0][0] > FLEET_SIZE_MEMORY_MS:
            sizes.popleft()
        return sizes[0][1]

    def initial_sources(self, count: int) -> list[str]:
        """Return routers to ask for a first copy, the preferred one first.

        Reports aren't considered, as none have arrived yet. Routers with
        large links send a copy fast, and traffic within the data centre is
        free. When all routers start at the same time, those with large links
        wait only for the ones before them in the order: the first one reads
        the store, and no two routers wait for each other. Routers with small
        links ask any of those with large links, also in other data centres.

        :param count: maximum number of routers.
        """
        links_mbps = {a: peer.link_mbps for a, peer in self._peers.items()}
        links_mbps[self._own_address] = self._link_mbps
        min_mbps = MIN_COLLECTOR_LINK_SHARE * max(links_mbps.values())
        local = [self._own_address]
        remote: list[str] = []
        for address, peer in self._peers.items():
            if peer.data_centre and links_mbps[address] >= min_mbps:
                is_local = peer.data_centre == self._data_centre
                (local if is_local else remote).append(address)
        key = hashing.hash64(self._data_centre.encode())
        local = hashing.rendezvous(key, local)
        if self._link_mbps >= min_mbps:
            return local[: local.index(self._own_address)][:count]
        local.remove(self._own_address)
        # Include other data centres, as all routers in this one may be down.
        local_count = count // 2
        return (
            local[:local_count]
            + hashing.rendezvous(key, remote)[: count - local_count]
        )

    def _reported_recently(self, address: str) -> bool:
        """Return whether a router sent a report recently."""
        last_report_ms = self._peers[address].last_report_ms
        oldest_ms = self._clock.now_ms() - UNRESPONSIVE_AFTER_MS
        return last_report_ms is not None and last_report_ms >= oldest_ms

    def mark_unresponsive(self, address: str) -> None:
        """Skip a router for a while, as it gave no records."""
        peer = self._peers.get(address)
        if peer is not None:
            peer.unresponsive_since_ms = self._clock.now_ms()

    def _local_reports(self) -> list[reports.Report]:
        """Return recent reports of single routers in this data centre."""
        return [
            report
            for report in self._recent_reports(REPORT_TTL_MS)
            if report.data_centre == self._data_centre and report.routers == 1
        ]

    def outgoing(
        self, own: reports.Report
    ) -> list[tuple[str, reports.Report]]:
        """Return the reports to send now, with their destinations.

        In a large fleet this also records that the destinations are to
        respond and, if totals are due, when the next ones are.

        :param own: report of this router.
        :return: pairs of destination address and report.
        """
        self._largest_fleet_size()
        self._watch_majority()
        if self.full_mesh:
            return [(address, own) for address in self._peers]
        self._own_reported_targets = own.targets
        self._peer_load_expires_ms = 0
        messages = [
            (address, own)
            for address, peer in self._peers.items()
            if not peer.data_centre
        ]
        collector = self._collector_of(self._data_centre)
        if collector is not None and collector != self._own_address:
            messages.append((collector, own))
        local_reports = self._local_reports()
        if collector != self._own_address or local_reports:
            self._unheeded_since_ms = None
        elif (known := self._next_collector()) is not None:
            messages.append((known, own))
        is_collector = bool(local_reports) or collector == self._own_address
        if is_collector and self._clock.now_ms() >= self._next_totals_ms:
            messages += self._totals(own, local_reports)
        for address, _ in messages:
            peer = self._peers[address]
            if peer.unanswered_since_ms is None:
                peer.unanswered_since_ms = self._clock.now_ms()
        return messages

    def _next_collector(self) -> str | None:
        """Return the router that the others may take for the collector.

        They may not know this router yet, and report to the next one in the
        order.

        :return: its address; none if the others had no time to report to
            this router, or there is no other one.
        """
        now_ms = self._clock.now_ms()
        if self._unheeded_since_ms is None:
            self._unheeded_since_ms = now_ms
        if now_ms - self._unheeded_since_ms < INTRODUCE_AFTER_MS:
            return None
        return self._collector_of(self._data_centre, include_own=False)

    def _totals(
        self, own: reports.Report, local_reports: list[reports.Report]
    ) -> list[tuple[str, reports.Report]]:
        """Return a collector's totals, with their destinations.

        The routers that report to it get the fleet total, other collectors
        the total of this data centre. So do other routers that take this one
        for a collector, as they may not know the collector of their own data
        centre.

        :param own: report of this router.
        :param local_reports: reports of the other routers in this data
            centre.
        :return: pairs of destination address and report.
        """
        data_centre_total = reports.sum_reports(
            own, local_reports, is_fleet_total=False
        )
        remote_totals: dict[str, reports.Report] = {}
        for report in self._recent_reports(TOTALS_TTL_MS):
            if report.data_centre != self._data_centre:
                known_total = remote_totals.get(report.data_centre)
                if known_total is None or known_total.routers < report.routers:
                    remote_totals[report.data_centre] = report
        fleet_total = reports.sum_reports(
            data_centre_total, remote_totals.values(), is_fleet_total=True
        )
        data_centres = {peer.data_centre for peer in self._peers.values()}
        other_collectors = {
            collector
            for data_centre in data_centres - {self._data_centre, ""}
            if (collector := self._collector_of(data_centre)) is not None
        } | {
            report.address
            for report in self._recent_reports(REPORT_TTL_MS)
            if report.data_centre != self._data_centre
        }
        interval_ms = _totals_interval_ms(len(fleet_total.targets))
        self._next_totals_ms = self._clock.now_ms() + interval_ms
        max_targets = self._max_targets(
            len(local_reports) + len(other_collectors), interval_ms
        )
        fleet_total = _select_targets(
            fleet_total, self._fleet_selector, max_targets
        )
        fleet_total = dataclasses.replace(
            fleet_total,
            members={**self._members_to_tell(), **fleet_total.members},
        )
        data_centre_total = _select_targets(
            data_centre_total, self._data_centre_selector, max_targets
        )
        return [
            *((report.address, fleet_total) for report in local_reports),
            *(
                (collector, data_centre_total)
                for collector in other_collectors
            ),
        ]

    def _max_targets(self, receivers: int, interval_ms: int) -> int:
        """Return how many targets a total may hold.

        :param receivers: routers that each total is sent to.
        :param interval_ms: interval between totals, in ms.
        """
        link_mbps = self._link_mbps or MIN_LINK_MBPS
        link_bytes_per_s = link_mbps * 125_000 * TOTALS_LINK_SHARE
        bytes_per_s = min(
            link_bytes_per_s / max(1, receivers), ROUTER_TOTALS_BYTES_PER_S
        )
        message_bytes = bytes_per_s * interval_ms / 1000
        return max(1, int(message_bytes / TARGET_REPORT_BYTES))

    def _fleet_total(self) -> reports.Report | None:
        """Return the recent fleet total that covers the most routers."""
        fleet_totals = [
            report
            for report in self._recent_reports(TOTALS_TTL_MS)
            if report.is_fleet_total
        ]
        return max(
            fleet_totals, key=lambda report: report.routers, default=None
        )

    def _load_sources(self) -> list[reports.Report]:
        """Return the reports that add up to the load of the other routers.

        This is the fleet total, if there is one and no other router reports
        to this one; otherwise all recent reports except fleet totals.
        """
        fleet_total = self._fleet_total()
        if fleet_total is not None and not self._local_reports():
            return [fleet_total]
        return [
            r
            for r in self._recent_reports(REPORT_TTL_MS)
            if not r.is_fleet_total
        ]

    def peer_load(self) -> abc.Mapping[str, reports.TargetReport]:
        """Return the load of the other routers, by target id."""
        now_ms = self._clock.now_ms()
        if now_ms >= self._peer_load_expires_ms:
            self._peer_load = self._sum_peer_load()
            # No call marks the expiry of a report, so the cached sum expires
            # by time.
            self._peer_load_expires_ms = now_ms + REPORT_INTERVAL_MS
        return self._peer_load

    def _sum_peer_load(self) -> dict[str, reports.TargetReport]:
        """Return the load of the other routers, by target id.

        A fleet total includes this router's own report, which is subtracted.
        """
        sources = self._load_sources()
        total = reports.sum_targets(report.targets for report in sources)
        for report in sources:
            if report.is_fleet_total:
                for target_id, reported in self._own_reported_targets.items():
                    if target_id in total:
                        total[target_id] -= reported
        return total

    def in_flight(self, target_id: str) -> int:
        """Return the requests of other routers in flight at a target."""
        return self.peer_load().get(target_id, reports.IDLE).in_flight

    def peer_load_age_ms(self) -> int:
        """Return the maximum age of the known peer load, in ms.

        A report, the total of a data centre and the fleet total each wait
        for the sender's next interval.
        """
        if self.full_mesh:
            return REPORT_INTERVAL_MS
        fleet_total = self._fleet_total()
        targets = len(fleet_total.targets) if fleet_total is not None else 0
        return REPORT_INTERVAL_MS + 2 * _totals_interval_ms(targets)

    def results(self, target_id: str) -> health.Results:
        """Return the results of other routers' requests to a target."""
        return self.peer_load().get(target_id, reports.IDLE).results

    def store_up_ms(self) -> int:
        """Return the longest store uptime seen by another router, in ms."""
        recent = self._recent_reports(REPORT_TTL_MS)
        return max((report.store_up_ms for report in recent), default=0)

    def live(self) -> list[str]:
        """Return the addresses of the routers that reported recently."""
        return [r.address for r in self._recent_reports(MEMBER_TTL_MS)]

    def members(self) -> dict[str, reports.Member]:
        """Return the routers that reported recently, by address."""
        return {
            r.address: reports.Member(r.data_centre, r.link_mbps)
            for r in self._recent_reports(MEMBER_TTL_MS)
        }

    def count(self) -> int:
        """Return the number of live routers, this one included.

        Shortly after the start all known routers count, because the others
        may have started together with this one and not reported yet.
        """
        count = self._heard_routers(MEMBER_TTL_MS)
        if self._clock.now_ms() - self._started_ms < MEMBER_TTL_MS:
            return max(count, 1 + len(self._peers))
        return count

    def fleet_size(self) -> int:
        """Return the number of routers that share an allowance.

        Routers that fell silent count for ``FLEET_SIZE_MEMORY_MS``, as what
        they used of it still does. A router that is cut off can't tell which
        of the others are live, so all that it knows count.
        """
        largest = self._largest_fleet_size()
        if self.hears_most():
            return largest
        return max(largest, 1 + len(self._peers))

    def hears_most(self) -> bool:
        """Return whether this router hears of most routers, itself included.

        One that is cut off, or has stood still, doesn't.
        """
        heard = self._heard_routers(REPORT_TTL_MS)
        return 2 * heard > 1 + len(self._peers)

    def _heard_routers(self, max_age_ms: int) -> int:
        """Return the number of routers heard of, this one included.

        While some routers know of more than others, only some take the fleet
        for a large one. None is counted twice then, by itself and within the
        total of its data centre, and none is left out.

        :param max_age_ms: the maximum age of a report, in ms.
        """
        senders: collections.Counter[str] = collections.Counter()
        totals: dict[str, int] = {}
        for report in self._recent_reports(max_age_ms):
            data_centre = report.data_centre
            senders[data_centre] += 1
            if not report.is_fleet_total:
                known = totals.get(data_centre, 0)
                totals[data_centre] = max(known, report.routers)
        heard = 1 + sum(max(n, totals.get(k, 0)) for k, n in senders.items())
        fleet_total = self._fleet_total()
        return (
            heard if fleet_total is None else max(heard, fleet_total.routers)
        )

    def data_centres(self) -> dict[str, str]:
        """Return the data centres of the routers, by address.

        In a large fleet a router hears of its collector only, so all known
        routers are returned; otherwise those that reported recently.
        """
        addresses = self.live() if self.full_mesh else self.addresses()
        return {a: self._peers[a].data_centre for a in addresses}

    def knows_host(self, host: str) -> bool:
        """Return whether a router runs at an IP address."""
        return any(a.rpartition(":")[0] == host for a in self._peers)

    def addresses(self) -> list[str]:
        """Return the addresses of all possible peers."""
        return list(self._peers)
