"""Reports that routers send to each other."""

from collections import abc
import dataclasses
import itertools

from bulrushdale.routing import blocked_requests
from bulrushdale.routing import crash_evidence
from bulrushdale.routing import health
from bulrushdale.routing import rate_limits
from bulrushdale.routing import versions


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Location and link of a router.

    :param data_centre: data centre of the router; empty if unknown.
    :param link_mbps: bandwidth of its link, in Mbit/s; 0 if unknown.
    """

    data_centre: str
    link_mbps: int


UNKNOWN = Member("", 0)


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReport:
    """Load and results of one target, as seen by one or more routers.

    :param in_flight: requests in flight at the target.
    :param results: results within the health window.
    """

    in_flight: int
    results: health.Results

    def __add__(self, other: "TargetReport") -> "TargetReport":
        return TargetReport(
            self.in_flight + other.in_flight, self.results + other.results
        )

    def __sub__(self, other: "TargetReport") -> "TargetReport":
        """Return the difference, with 0 for each negative number.

        A total may be older than the report that is subtracted from it.
        """
        done = self.results.done - other.results.done
        failed = self.results.failed - other.results.failed
        return TargetReport(
            max(0, self.in_flight - other.in_flight),
            health.Results(max(0, done), max(0, failed)),
        )


IDLE = TargetReport(0, health.Results(0, 0))


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Report of one router, or the total of several from a collector.

    :param address: address of the sender.
    :param data_centre: data centre of the sender.
    :param started_ms: start time of the sender, in ms since the epoch;
        distinguishes its restarts.
    :param sequence: grows with each report since the sender's start.
    :param routers: number of routers covered; 1 for a router's own report.
    :param is_fleet_total: whether the report covers all data centres.
    :param store_up_ms: how long the store has been up for the sender, in
        ms; for a total, the maximum over its routers.
    :param targets: load and results of each target, by id.
    :param members: routers that reported recently, by address.
    :param prefix_locations: targets of remapped prefixes, by the hash of
        the prefix.
    :param link_mbps: bandwidth of the sender's link, in Mbit/s.
    :param partial: whether targets that are left out keep their values from
        the sender's earlier reports.
    :param leaving: targets that announced in a response that they are
        leaving, with their start times.
    :param crashes: recent crashes of targets, and those behind a quarantine.
    :param cleared: hashes of the prompt parts that were cleared of crashes.
    :param grants_permits: whether the sender answers requests for permits;
        routers of earlier versions don't.
    :param grants_slots: whether the sender grants the slots of brittle
        targets; routers of earlier versions don't.
    :param limits: some of the limits that targets named, or that ended.
    :param streams: versions of streams that don't follow from the streams'
        ids, by the hash of the id.
    :param blocked: some of the requests that no target gets.
    """

    address: str
    data_centre: str
    started_ms: int
    sequence: int
    routers: int
    is_fleet_total: bool
    store_up_ms: int
    targets: abc.Mapping[str, TargetReport]
    members: abc.Mapping[str, Member]
    prefix_locations: abc.Mapping[int, str]
    link_mbps: int = 0
    partial: bool = False
    leaving: abc.Sequence[tuple[str, int]] = ()
    crashes: abc.Sequence[crash_evidence.CrashReport] = ()
    cleared: abc.Sequence[int] = ()
    grants_permits: bool = False
    grants_slots: bool = False
    limits: abc.Sequence[rate_limits.LimitReport] = ()
    streams: abc.Mapping[int, str] = dataclasses.field(default_factory=dict)
    blocked: abc.Sequence[blocked_requests.BlockReport] = ()


def apply_partial(report: Report, previous: Report | None) -> Report:
    """Return a report with the targets that it leaves out filled in.

    :param report: a report, partial or complete.
    :param previous: the sender's previous report, with its own left-out
        targets filled in.
    """
    if not report.partial or previous is None:
        return report
    if previous.started_ms != report.started_ms:
        return report
    targets = {**previous.targets, **report.targets}
    return dataclasses.replace(report, targets=targets)


def sum_reports(
    own: Report, others: abc.Iterable[Report], is_fleet_total: bool
) -> Report:
    """Return the total of several reports.

    :param own: the collector's own report, or a total that it computed; the
        result has its sender and members.
    :param others: the other reports.
    :param is_fleet_total: whether the total covers the whole fleet.
    """
    prefix_locations = dict(own.prefix_locations)
    routers, store_up_ms = own.routers, own.store_up_ms
    target_maps = [own.targets]
    leaving = set(own.leaving)
    crashes = list(own.crashes)
    cleared = set(own.cleared)
    streams = dict(own.streams)
    for report in others:
        leaving.update(report.leaving)
        crashes += report.crashes
        cleared.update(report.cleared)
        streams.update(report.streams)
        routers += report.routers
        store_up_ms = max(store_up_ms, report.store_up_ms)
        prefix_locations.update(report.prefix_locations)
        target_maps.append(report.targets)
    return dataclasses.replace(
        own,
        routers=routers,
        is_fleet_total=is_fleet_total,
        store_up_ms=store_up_ms,
        targets=sum_targets(target_maps),
        prefix_locations=prefix_locations,
        leaving=tuple(sorted(leaving)),
        crashes=_merge_crashes(crashes),
        cleared=tuple(cleared),
        streams=dict(
            itertools.islice(streams.items(), versions.MAX_REPORTED_STREAMS)
        ),
    )


def _merge_crashes(
    crashes: abc.Iterable[crash_evidence.CrashReport],
) -> tuple[crash_evidence.CrashReport, ...]:
    """Return each crash once, with all prompts, as far as a report holds them.

    The most recent ones come first.
    """
    merged: dict[tuple[str, int], crash_evidence.CrashReport] = {}
    for crash in crashes:
        key = (crash.target_id, crash.started_ms)
        known = merged.get(key, crash)
        prompts = dict.fromkeys([*known.prompts, *crash.prompts])
        waiting = dict.fromkeys([*known.waiting, *crash.waiting])
        merged[key] = dataclasses.replace(
            known,
            age_ms=max(known.age_ms, crash.age_ms),
            prompts=tuple(prompts)[: crash_evidence.MAX_PROMPTS],
            waiting=tuple(waiting)[: crash_evidence.MAX_WAITING],
        )
    recent = sorted(merged.values(), key=lambda crash: crash.age_ms)
    return crash_evidence.limit_reports(recent)


def sum_targets(
    target_maps: abc.Iterable[abc.Mapping[str, TargetReport]],
) -> dict[str, TargetReport]:
    """Return the total of each target, by id.

    Plain integers are added, because a collector of a large fleet adds up some
    ten thousand entries four times per second.
    """
    sums: dict[str, list[int]] = {}
    for targets in target_maps:
        for name, report in targets.items():
            results = report.results
            total = sums.get(name)
            if total is None:
                sums[name] = [report.in_flight, results.done, results.failed]
            else:
                total[0] += report.in_flight
                total[1] += results.done
                total[2] += results.failed
    return {
        name: TargetReport(in_flight, health.Results(done, failed))
        for name, (in_flight, done, failed) in sums.items()
    }
