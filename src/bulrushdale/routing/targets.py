"""Track the targets of all services.

The list of targets comes from the store; it may be late and have gaps.
"""

from collections import abc
import dataclasses
import logging

from bulrushdale import clock as clock_module
from bulrushdale.routing import backoff
from bulrushdale.routing import cold_starts
from bulrushdale.routing import evacuations as evacuations_module
from bulrushdale.routing import health as health_module
from bulrushdale.routing import rate_limits
from bulrushdale.routing import reports as reports_module
from bulrushdale.routing import speeds as speeds_module
from bulrushdale.routing import versions

LOG = logging.getLogger(__name__)

# Entries that lapsed in an outage of the store are listed again within this
# time after it; the users specified it.
LAPSE_GRACE_MS = 2_000
# A newly joined target gets its share of the prefixes only after this time in
# the list, and a target that left counts as recently left for as long. It is
# longer than prefix_locations.IN_USE_MS, so prefixes in use are not remapped.
ESTABLISHED_AFTER_MS = 12_000
# How long a start that is leaving is remembered: one of its heartbeats may
# arrive late, after the entry of the next start. Minutes are far more than
# any grace period. What a start stated is remembered for as long after its
# entry was removed, which is longer than any back-off.
LEAVING_MEMORY_MS = 600_000
# A brittle target that rejected a request has no room for this time.
FULL_MS = 300
# A statement that a target is brittle holds for this long.
BRITTLE_TTL_MS = 15_000
# Limits per report, those reported longest ago; about 20 bytes each.
MAX_REPORTED_LIMITS = 16
# The end of a limit is reported for this time.
ENDED_LIMIT_REPORT_MS = 5_000
# A start that was listed within this time of its beginning may be cold. Clocks
# of VMs differ by some hundred ms, and entries arrive about 1 s late.
MAX_START_AGE_MS = 3_000
# Targets listed within this time of the first one were running before this
# router started.
INITIAL_LIST_MS = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """A target's entry in the list.

    :param target_id: its id; usually new at each start, but it may be reused.
    :param started_ms: when it started, in ms since the epoch; distinguishes
        two starts with the same id.
    :param service: the service that it belongs to.
    :param address: IP address and port.
    :param data_centre: where it runs.
    :param slots: number of requests that it runs concurrently.
    :param leaving: whether it is about to stop.
    :param slow_start_ms: remaining time of its slow start, in ms.
    :param version: version of its software; empty if unknown. A stream may be
        resumed only at the version that began it.
    """

    target_id: str
    started_ms: int
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    slow_start_ms: int
    version: str = ""


class Target:
    """One start of a target.

    :param listing: its entry in the list.
    :param clock: the clock.
    :param cold_rules: what targets bear while they are cold.

    :ivar leaving: whether it gets no new work; never reset to false.
    :ivar evacuated: whether its data centre is being evacuated.
    :ivar moved: whether another target has its address.
    :ivar lapsed: whether its entry is missing, perhaps because of an outage
        of the store.
    :ivar in_flight: number of this router's requests in flight there.
    :ivar health: results of its requests.
    :ivar slow_until_ms: end of its slow start, in ms of the clock.
    :ivar cold_start: whether it is cold, by all that this router knows.
    :ivar speed: what is known about its speed.
    :ivar listed_ms: when this router first saw it in the list, in ms of the
        clock.
    :ivar backoff_until_ms: end of the back-off that it asked for, in ms of
        the clock.
    :ivar limit_per_s: requests per second that it takes from all routers
        together; none without a limit.
    :ivar max_rejections_per_s: requests that it may reject in a second
        without falling over; none if it isn't brittle.
    :ivar limit_as_of_ms: time as of which the limit is known, in ms of the
        clock; none if the target has stated nothing yet.
    """

    __slots__ = (
        "listing",
        "leaving",
        "evacuated",
        "moved",
        "lapsed",
        "in_flight",
        "tokens_in_flight",
        "health",
        "slow_until_ms",
        "cold_start",
        "speed",
        "_cold_rules",
        "listed_ms",
        "backoff_until_ms",
        "_backoff_as_of_ms",
        "limit_per_s",
        "limit_as_of_ms",
        "max_rejections_per_s",
        "_brittle_as_of_ms",
        "_brittle_reported_ms",
        "_full_until_ms",
        "_risk_refused_until_ms",
        "_limit_changed_ms",
        "_limit_reported_ms",
        "_permits_refused_until_ms",
        "_half_open",
        "_next_half_open_ms",
        "_clock",
    )

    def __init__(
        self,
        listing: Listing,
        clock: clock_module.Clock,
        cold_rules: cold_starts.Rules | None = None,
    ) -> None:
        self.listing = listing
        self.leaving = listing.leaving
        self.evacuated = False
        self.moved = False
        self.lapsed = False
        self.in_flight = 0
        self.tokens_in_flight = 0
        self.health = health_module.Health(clock)
        self.slow_until_ms = clock.now_ms() + listing.slow_start_ms
        self._cold_rules = cold_rules or cold_starts.Rules()
        self.cold_start = cold_starts.ColdStart(clock, self._cold_rules)
        self.cold_start.record_entry(listing.slow_start_ms)
        self.speed = speeds_module.Speed(listing.target_id, listing.service)
        self.listed_ms = clock.now_ms()
        self.backoff_until_ms = 0
        self._backoff_as_of_ms: int | None = None
        self.limit_per_s: float | None = None
        self.limit_as_of_ms: int | None = None
        self.max_rejections_per_s: float | None = None
        self._brittle_as_of_ms: int | None = None
        self._brittle_reported_ms = 0
        self._full_until_ms = 0
        self._risk_refused_until_ms = 0
        self._limit_changed_ms = 0
        self._limit_reported_ms = 0
        # By the rank of the request.
        self._permits_refused_until_ms = [0] * (rate_limits.MAX_RANK + 1)
        self._half_open = False
        self._next_half_open_ms = 0
        self._clock = clock

    def take_over(self, earlier: "Target", since_ms: int = 0) -> None:
        """Take over what this start of the target has stated already.

        :param earlier: the target before its entry was removed, or the start
            before, which was listed until now.
        :param since_ms: when this start began, in ms of the clock; an earlier
            statement is that of another start.
        """

        def is_own(as_of_ms: int | None) -> bool:
            return as_of_ms is not None and as_of_ms >= since_ms

        if is_own(earlier._backoff_as_of_ms):
            self.backoff_until_ms = earlier.backoff_until_ms
            self._backoff_as_of_ms = earlier._backoff_as_of_ms
            self._half_open = earlier._half_open
            self._next_half_open_ms = earlier._next_half_open_ms
        if is_own(earlier.limit_as_of_ms):
            self.limit_per_s = earlier.limit_per_s
            self.limit_as_of_ms = earlier.limit_as_of_ms
        if is_own(earlier._brittle_as_of_ms):
            self.max_rejections_per_s = earlier.max_rejections_per_s
            self._brittle_as_of_ms = earlier._brittle_as_of_ms

    @property
    def has_stated_limits(self) -> bool:
        """Whether it asked for fewer requests, or for none, and still may."""
        return self._half_open or self.limit_per_s is not None or self.brittle

    @property
    def target_id(self) -> str:
        return self.listing.target_id

    @property
    def address(self) -> str:
        return self.listing.address

    @property
    def state(self) -> str:
        """Whether it gets work, or why it doesn't, in one word."""
        if self.leaving:
            return "leaving"
        if self.evacuated:
            return "evacuated"
        if self.backing_off:
            return "resting"
        if self.health.unreachable:
            return "unreachable"
        if self.health.ejected:
            return "ejected"
        if self.limit_per_s is not None:
            return "limited"
        return "good" if self.cold_rate_per_s is None else "cold"

    @property
    def cold_rate_per_s(self) -> float | None:
        """Requests per second that it bears while it is cold.

        None if it is warm, or if its service names no rate.
        """
        if not self.cold_start.active:
            return None
        rule = self._cold_rules.get(self.listing.service)
        return None if rule is None else rule.per_s

    @property
    def withdrawn(self) -> bool:
        """Whether it gets no new work at all."""
        return self.evacuated or self.leaving

    @property
    def needs_permits(self) -> bool:
        """Whether each request to it needs a permit."""
        return self.limit_per_s is not None or self.cold_rate_per_s is not None

    def assume_cold(self) -> None:
        """Take it for cold, as it may have started again."""
        rule = self._cold_rules.get(self.listing.service)
        if rule is not None:
            self.cold_start.assume(rule.duration_ms)

    def forget_speed(self) -> None:
        """Forget its speed, as it may have started again."""
        self.speed = speeds_module.Speed(self.target_id, self.listing.service)

    def cold_report(self) -> rate_limits.LimitReport | None:
        """Return the limit while it is cold; none if it isn't cold."""
        rate_per_s = self.cold_rate_per_s
        if rate_per_s is None:
            return None
        return rate_limits.LimitReport(
            rate_limits.cold_id(self.target_id),
            self.listing.started_ms,
            rate_per_s,
            0,
        )

    @property
    def backing_off(self) -> bool:
        """Whether it gets no requests for now, as it asked to back off.

        A half-open target is backing off between its single requests.
        """
        now_ms = self._clock.now_ms()
        if now_ms < self.backoff_until_ms:
            return True
        return self._half_open and now_ms < self._next_half_open_ms

    def back_off(self, retry_after_ms: int) -> None:
        """Send the target no requests for the time that it asked for.

        A later request for a shorter back-off doesn't shorten this one.

        :param retry_after_ms: the time that it asked for, in ms.
        """
        now_ms = self._clock.now_ms()
        until_ms = now_ms + backoff.duration_ms(retry_after_ms)
        self._backoff_as_of_ms = now_ms
        self.backoff_until_ms = max(self.backoff_until_ms, until_ms)
        self._half_open = True

    def set_limit(self, limit_per_s: float | None, as_of_ms: int) -> None:
        """Record a limit, or that there is none, unless it is outdated.

        :param limit_per_s: requests per second; none for no limit.
        :param as_of_ms: time as of which this is known, in ms of the clock.
        """
        if self.limit_as_of_ms is not None and as_of_ms < self.limit_as_of_ms:
            return
        previous = self.limit_per_s
        self.limit_per_s = limit_per_s
        self.limit_as_of_ms = as_of_ms
        if limit_per_s != previous:
            self._limit_changed_ms = self._clock.now_ms()
            self._limit_reported_ms = 0
            LOG.info(
                "target.limited",
                extra={
                    "event": "target.limited",
                    "target": self.target_id,
                    "service": self.listing.service,
                    "limit_per_s": limit_per_s,
                    "previous_per_s": previous,
                    "age_ms": self._clock.now_ms() - as_of_ms,
                },
            )

    def limit_report(self) -> rate_limits.LimitReport | None:
        """Return what is known about its limit; none if nothing is."""
        if self.limit_as_of_ms is None:
            return None
        return rate_limits.LimitReport(
            self.target_id,
            self.listing.started_ms,
            self.limit_per_s,
            self._clock.now_ms() - self.limit_as_of_ms,
        )

    def refuse_permits(self, rank: int, wait_ms: int) -> None:
        """Record that its grantor has no permits for a time.

        :param rank: rank of the refused request; less urgent ones are
            refused too.
        :param wait_ms: how long, in ms.
        """
        until_ms = self._clock.now_ms() + wait_ms
        for other in range(
            min(rank, rate_limits.MAX_RANK),
            len(self._permits_refused_until_ms),
        ):
            self._permits_refused_until_ms[other] = max(
                until_ms, self._permits_refused_until_ms[other]
            )

    def permit_wait_ms(self, rank: int) -> int:
        """Return the time until a permit may be asked for, in ms.

        :param rank: rank of the request.
        :return: 0 for now, and for a target that needs no permits.
        """
        if not self.needs_permits:
            return 0
        until_ms = self._permits_refused_until_ms[
            min(rank, rate_limits.MAX_RANK)
        ]
        return max(0, until_ms - self._clock.now_ms())

    def set_max_rejections(
        self, max_rejections_per_s: float | None, as_of_ms: int
    ) -> None:
        """Record whether it is brittle, unless that is outdated.

        :param max_rejections_per_s: requests that it may reject in a second;
            none if it isn't brittle.
        :param as_of_ms: time as of which this is known, in ms of the clock.
        """
        known_ms = self._brittle_as_of_ms
        if known_ms is not None and as_of_ms < known_ms:
            return
        previous = self.max_rejections_per_s
        self.max_rejections_per_s = max_rejections_per_s
        self._brittle_as_of_ms = as_of_ms
        if max_rejections_per_s != previous:
            LOG.info(
                "target.brittle",
                extra={
                    "event": "target.brittle",
                    "target": self.target_id,
                    "service": self.listing.service,
                    "max_rejections_per_s": max_rejections_per_s,
                    "previous_per_s": previous,
                    "age_ms": self._clock.now_ms() - as_of_ms,
                },
            )

    @property
    def brittle(self) -> bool:
        """Whether it falls over if it has to reject many requests."""
        if self.max_rejections_per_s is None:
            return False
        age_ms = self._clock.now_ms() - (self._brittle_as_of_ms or 0)
        return age_ms < BRITTLE_TTL_MS

    @property
    def full(self) -> bool:
        """Whether it is brittle and rejected a request a moment ago."""
        return self.brittle and self._clock.now_ms() < self._full_until_ms

    def record_full(self) -> None:
        """Record that it rejected a request for want of room."""
        self._full_until_ms = self._clock.now_ms() + FULL_MS

    def refuse_risk(self, wait_ms: int) -> None:
        """Record that its grantor has no permits for requests at risk."""
        self._risk_refused_until_ms = self._clock.now_ms() + wait_ms

    @property
    def risk_wait_ms(self) -> int:
        """Time until a request that it may reject may be sent, in ms."""
        if not self.brittle:
            return 0
        return max(0, self._risk_refused_until_ms - self._clock.now_ms())

    def rejections_report(self) -> rate_limits.LimitReport | None:
        """Return the limit on its rejections; none if it isn't brittle."""
        if not self.brittle or self._brittle_as_of_ms is None:
            return None
        return rate_limits.LimitReport(
            rate_limits.rejections_id(self.target_id),
            self.listing.started_ms,
            self.max_rejections_per_s,
            self._clock.now_ms() - self._brittle_as_of_ms,
        )

    def take_rejections_report(self) -> rate_limits.LimitReport | None:
        """Return what to report of its brittleness now."""
        self._brittle_reported_ms = self._clock.now_ms()
        return self.rejections_report()

    @property
    def brittle_reported_ms(self) -> int:
        """When its brittleness was last reported, in ms of the clock."""
        return self._brittle_reported_ms

    def take_limit_report(self) -> rate_limits.LimitReport | None:
        """Return what to report about its limit now; none for nothing."""
        now_ms = self._clock.now_ms()
        self._limit_reported_ms = now_ms
        return self.limit_report()

    @property
    def reports_limit(self) -> bool:
        """Whether other routers are told of its limit, or of its end."""
        if self.limit_per_s is not None:
            return True
        elapsed_ms = self._clock.now_ms() - self._limit_changed_ms
        return (
            bool(self._limit_changed_ms) and elapsed_ms < ENDED_LIMIT_REPORT_MS
        )

    @property
    def limit_reported_ms(self) -> int:
        """When its limit was last reported, in ms of the clock."""
        return self._limit_reported_ms

    def record_sent(self) -> None:
        """Delay its next request, if it is half-open."""
        if self._half_open:
            now_ms = self._clock.now_ms()
            self._next_half_open_ms = now_ms + backoff.HALF_OPEN_INTERVAL_MS

    def record_accepted(self, sent_ms: int) -> None:
        """End its half-open state, if it accepted a request in it.

        What it accepted before a back-off may respond after it.

        :param sent_ms: when the request was sent, in ms of the clock.
        """
        if sent_ms >= self.backoff_until_ms:
            self._half_open = False


class Targets:
    """The targets that a router may use.

    :param clock: the clock.
    :param drain_ms: how long a leaving target goes on serving, in ms.
    :param evacuations: data centres that get no requests.

    :ivar cold_rules: what targets bear while they are cold.
    :ivar speeds: what the targets' speeds have in common.
    """

    __slots__ = (
        "cold_rules",
        "speeds",
        "_clock",
        "_evacuations",
        "_targets",
        "_by_service",
        "_active",
        "_compositions",
        "_recently_left",
        "_leaving_seen_ms",
        "_removed",
        "_lapse_grace_until_ms",
        "_restore_grace_until_ms",
        "_first_listed_ms",
        "_drain_ms",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        drain_ms: int = 0,
        evacuations: evacuations_module.Evacuations | None = None,
    ) -> None:
        self._clock = clock
        self.cold_rules = cold_starts.Rules()
        self.speeds = speeds_module.Speeds()
        self._evacuations = evacuations or evacuations_module.Evacuations(
            clock
        )
        self._evacuations.add_listener(self._update_evacuated)
        self._targets: dict[str, Target] = {}
        self._by_service: dict[str, dict[str, Target]] = {}
        # Active targets by service, computed on demand.
        self._active: dict[str, list[Target]] = {}
        # Their versions by service, computed on demand.
        self._compositions: dict[str, versions.Composition] = {}
        self._recently_left: dict[str, dict[str, tuple[int, Target]]] = {}
        self._leaving_seen_ms: dict[tuple[str, int], int] = {}
        # Starts whose entries were removed although they had stated limits,
        # with the time of the removal. They may be listed again.
        self._removed: dict[tuple[str, int], tuple[int, Target]] = {}
        self._first_listed_ms: int | None = None
        self._lapse_grace_until_ms = 0
        self._restore_grace_until_ms = 0
        self._drain_ms = drain_ms

    def put(self, listing: Listing) -> None:
        """Apply an entry of the list.

        A start that is known to be leaving stays so. An entry with another
        start time replaces the known target of this id.
        """
        start = (listing.target_id, listing.started_ms)
        if listing.leaving:
            self._leaving_seen_ms[start] = self._clock.now_ms()
        elif start in self._leaving_seen_ms:
            listing = dataclasses.replace(listing, leaving=True)
        known = self._targets.get(listing.target_id)
        if known is None or known.listing.started_ms != listing.started_ms:
            if known is not None:
                self._drop(known, "started again")
            target = Target(listing, self._clock, self.cold_rules)
            _, earlier = self._removed.pop(start, (0, None))
            if earlier is not None:
                target.take_over(earlier)
            elif known is not None:
                # It may have answered requests before its entry was read.
                age_ms = self._clock.wall_ms() - listing.started_ms
                target.take_over(known, self._clock.now_ms() - age_ms)
            self._assume_cold_start(target)
            self._add(target)
            return
        if listing.leaving and not known.leaving:
            self._deactivate(known)
            self._log(
                "target.leaving", known, "its entry is marked as leaving"
            )
        known.lapsed = False
        if known.listing.version != listing.version:
            self._compositions.pop(listing.service, None)
        if known.listing.address != listing.address:
            self._log("target.moved", known, listing.address)
        self._update_cold(known, listing)
        known.listing = listing
        self._set_evacuated(known)

    def _assume_cold_start(self, target: Target) -> None:
        """Take a start for cold that began a moment ago, by its clock.

        Its entry may not say so yet. One that is listed again after an outage
        of the store began long ago.
        """
        age_ms = self._clock.wall_ms() - target.listing.started_ms
        if (
            self._first_listed_ms is not None
            and abs(age_ms) < MAX_START_AGE_MS
        ):
            target.assume_cold()

    def _update_cold(self, known: Target, listing: Listing) -> None:
        """Apply what a newer entry of a start says about its being cold."""
        known.cold_start.record_entry(listing.slow_start_ms)
        if listing.slow_start_ms:
            known.slow_until_ms = self._clock.now_ms() + listing.slow_start_ms
        if bool(listing.slow_start_ms) != bool(known.listing.slow_start_ms):
            event = "target.cold" if listing.slow_start_ms else "target.warm"
            self._log(event, known, "its entry says so")

    def _set_evacuated(self, target: Target) -> None:
        """Apply the evacuations in force to a target.

        After an evacuation the target counts as newly joined, so that the
        prefixes that moved away and are in use don't all come back at once.
        It may have become cold meanwhile.
        """
        evacuated = self._evacuations.is_active(target.listing.data_centre)
        if evacuated == target.evacuated:
            return
        target.evacuated = evacuated
        self._forget_active(target.listing.service)
        if not evacuated:
            target.listed_ms = self._clock.now_ms()
            target.assume_cold()

    def _update_evacuated(self, data_centre: str) -> None:
        """Apply the start or the end of the evacuation of a data centre."""
        for target in self._targets.values():
            if target.listing.data_centre == data_centre:
                self._set_evacuated(target)

    def _add(self, target: Target) -> None:
        listing = target.listing
        if self._first_listed_ms is None:
            self._first_listed_ms = self._clock.now_ms()
        self._targets[listing.target_id] = target
        by_id = self._by_service.setdefault(listing.service, {})
        by_id[listing.target_id] = target
        self._set_evacuated(target)
        self._forget_active(listing.service)
        self._log("target.listed", target, listing.address)

    def mark_leaving(self, target: Target, reason: str) -> None:
        """Give a target no new work from now on.

        Later entries of the same start don't change this: a heartbeat may
        have been under way, and an entry may lapse and be listed again.

        :param target: the target.
        :param reason: how this router knows, for logs.
        """
        start = (target.target_id, target.listing.started_ms)
        self._leaving_seen_ms[start] = self._clock.now_ms()
        if not target.leaving:
            self._deactivate(target)
            self._log("target.leaving", target, reason)

    def mark_moved(self, target: Target) -> None:
        """Mark a target as leaving, as another one has its address."""
        target.moved = True
        self.mark_leaving(target, "another target has its address")

    def merge_leaving(self, starts: abc.Iterable[tuple[str, int]]) -> None:
        """Mark the targets as leaving that other routers report as such.

        :param starts: their ids and start times, in ms since the epoch.
        """
        for target_id, started_ms in starts:
            known = self._targets.get(target_id)
            if known is None or known.listing.started_ms != started_ms:
                self._leaving_seen_ms.setdefault(
                    (target_id, started_ms), self._clock.now_ms()
                )
            elif not known.leaving:
                self.mark_leaving(
                    known, "another router reports it as leaving"
                )

    def leaving_to_report(self) -> tuple[tuple[str, int], ...]:
        """Return the starts that announced in a response that they leave.

        The response may have gone to another router, which reported it.
        Targets whose listing is marked as leaving are left out, as all
        routers read the list.

        :return: their ids and start times, in ms since the epoch.
        """
        return tuple(
            (target.target_id, target.listing.started_ms)
            for target in self.all()
            if target.leaving
            and not target.moved
            and not target.listing.leaving
        )

    def merge_limit(
        self, report: rate_limits.LimitReport
    ) -> rate_limits.LimitReport:
        """Record a limit that another router knows.

        :param report: the limit.
        :return: the newest knowledge; the report itself if the target isn't
            listed here.
        """
        brittle_id = rate_limits.rejections_target(report.target_id)
        target = self._targets.get(brittle_id or report.target_id)
        if target is None or target.listing.started_ms != report.started_ms:
            return report
        if brittle_id is not None:
            target.set_max_rejections(
                report.limit_per_s, self._clock.now_ms() - report.age_ms
            )
            return target.rejections_report() or report
        target.set_limit(
            report.limit_per_s, self._clock.now_ms() - report.age_ms
        )
        return target.limit_report() or report

    def take_limits_to_report(self) -> tuple[rate_limits.LimitReport, ...]:
        """Return limits to report now, those reported longest ago."""
        limited = sorted(
            (target for target in self.all() if target.reports_limit),
            key=lambda target: target.limit_reported_ms,
        )
        brittle = sorted(
            (target for target in self.all() if target.brittle),
            key=lambda target: target.brittle_reported_ms,
        )
        reports = [
            target.take_limit_report()
            for target in limited[:MAX_REPORTED_LIMITS]
        ]
        reports += [
            target.take_rejections_report()
            for target in brittle[: MAX_REPORTED_LIMITS - len(reports)]
        ]
        return tuple(report for report in reports if report is not None)

    def _drop(self, target: Target, reason: str) -> None:
        """Forget a target, except that it left recently and its limits."""
        if not target.leaving:
            self._deactivate(target)
        self._targets.pop(target.target_id, None)
        by_id = self._by_service.get(target.listing.service, {})
        by_id.pop(target.target_id, None)
        self._forget_active(target.listing.service)
        if target.has_stated_limits:
            start = (target.target_id, target.listing.started_ms)
            self._removed[start] = (self._clock.now_ms(), target)
        self._log("target.dropped", target, reason)

    def _deactivate(self, target: Target) -> None:
        """Mark a target as leaving, and remember that it left recently."""
        target.leaving = True
        self._forget_active(target.listing.service)
        left = self._recently_left.setdefault(target.listing.service, {})
        left[target.target_id] = (self._clock.now_ms(), target)

    def _forget_active(self, service: str) -> None:
        """Forget what was computed from a service's active targets."""
        self._active.pop(service, None)
        self._compositions.pop(service, None)

    def _log(self, event: str, target: Target, detail: str) -> None:
        LOG.info(
            event,
            extra={
                "event": event,
                "target": target.target_id,
                "service": target.listing.service,
                "detail": detail,
            },
        )

    def remove(self, target_id: str) -> None:
        """Remove a target whose entry was removed from the list.

        Shortly after an outage of the store the entry may be listed again;
        until then the target stays in use, unless it is leaving.
        """
        target = self._targets.get(target_id)
        if target is None:
            return
        in_grace = self._clock.now_ms() < self._lapse_grace_until_ms
        if in_grace and not target.leaving:
            target.lapsed = True
            self._log(
                "target.lapsed", target, "entry lapsed after a store outage"
            )
            return
        self._drop(target, "entry removed")

    def record_store_regained(self) -> None:
        """Start the grace period after an outage of the store.

        If only this router couldn't reach the store, :meth:`expire` may end
        the grace period early, as the entries were renewed all along.
        """
        self._lapse_grace_until_ms = self._clock.now_ms() + LAPSE_GRACE_MS

    def record_store_restored(self) -> None:
        """Start the grace period after the store lost entries.

        Routers that haven't noticed yet count the store as up all along, so
        :meth:`expire` doesn't end this grace period early.
        """
        self.record_store_regained()
        self._restore_grace_until_ms = self._lapse_grace_until_ms

    def expire(self, store_up_ms: int) -> None:
        """Drop targets whose entry lapsed and wasn't listed again in time.

        :param store_up_ms: how long the store has been reachable from some
            other router, in ms. If that is at least the grace period, all
            entries that are still valid have been listed again, so the grace
            period ends.
        """
        in_restore = self._clock.now_ms() < self._restore_grace_until_ms
        if store_up_ms >= LAPSE_GRACE_MS and not in_restore:
            self._lapse_grace_until_ms = 0
        oldest_ms = self._clock.now_ms() - LEAVING_MEMORY_MS
        for start, seen_ms in list(self._leaving_seen_ms.items()):
            if seen_ms < oldest_ms:
                del self._leaving_seen_ms[start]
        for start, (removed_ms, _) in list(self._removed.items()):
            if removed_ms < oldest_ms:
                del self._removed[start]
        if self._clock.now_ms() < self._lapse_grace_until_ms:
            return
        for target in list(self._targets.values()):
            if target.lapsed:
                self._drop(target, "entry lapsed and was not listed again")

    def get(self, target_id: str) -> Target | None:
        """Return a target by its id; none if it isn't listed."""
        return self._targets.get(target_id)

    def require(self, target_id: str) -> Target:
        """Return a listed target by its id.

        :raises KeyError: if it isn't listed.
        """
        return self._targets[target_id]

    def all(self) -> abc.Collection[Target]:
        """Return every listed target."""
        return self._targets.values()

    def reports(self) -> dict[str, reports_module.TargetReport]:
        """Return this router's load and results at the targets it uses."""
        found = {}
        for target in self.all():
            results = target.health.results()
            if target.in_flight or results.done:
                found[target.target_id] = reports_module.TargetReport(
                    target.in_flight, results
                )
        return found

    def established(self, service: str) -> list[str]:
        """Return the active targets of a service that aren't newly joined.

        Targets listed when the router started count as established.
        """
        now_ms = self._clock.now_ms()
        first_listed_ms = self._first_listed_ms or 0
        return [
            target.target_id
            for target in self.active(service)
            if now_ms - target.listed_ms >= ESTABLISHED_AFTER_MS
            or target.listed_ms - first_listed_ms < INITIAL_LIST_MS
        ]

    def recently_left(self, service: str) -> list[str]:
        """Return the ids of a service's targets that left recently."""
        left = self._recently_left.get(service, {})
        oldest_ms = self._clock.now_ms() - ESTABLISHED_AFTER_MS
        for target_id, (left_ms, _) in list(left.items()):
            if left_ms < oldest_ms:
                del left[target_id]
        return [*left, *self._recently_evacuated(service, oldest_ms)]

    def _recently_evacuated(
        self, service: str, oldest_ms: int
    ) -> abc.Iterator[str]:
        """Yield the targets of a service that are evacuated since a time."""
        for data_centre in self._evacuations.data_centres():
            since_ms = self._evacuations.since_ms(data_centre)
            if since_ms is None or since_ms < oldest_ms:
                continue
            for target in self._by_service.get(service, {}).values():
                if (
                    target.listing.data_centre == data_centre
                    and not target.leaving
                ):
                    yield target.target_id

    def find_running(self, service: str, target_id: str) -> Target | None:
        """Return a target of a service if it is probably still running.

        A target that announced that it leaves is removed from the list when
        it ends; one that is removed unannounced goes on for the drain time.
        """
        listed = self._by_service.get(service, {}).get(target_id)
        if listed is not None:
            return None if listed.moved else listed
        left_ms, target = self._recently_left.get(service, {}).get(
            target_id, (0, None)
        )
        if target is None or target.moved or target.listing.leaving:
            return None
        recent = self._clock.now_ms() - left_ms < self._drain_ms
        return target if recent else None

    def active(self, service: str) -> list[Target]:
        """Return the targets of a service that may get new work."""
        found = self._active.get(service)
        if found is None:
            by_id = self._by_service.get(service, {})
            found = [t for t in by_id.values() if not t.withdrawn]
            self._active[service] = found
        return found

    def services(self) -> list[str]:
        """Return the services that have or had targets."""
        return list(self._by_service)

    def composition(self, service: str) -> versions.Composition:
        """Return how many active targets of a service run each version."""
        found = self._compositions.get(service)
        if found is None:
            found = versions.count_versions(
                target.listing.version for target in self.active(service)
            )
            self._compositions[service] = found
        return found
