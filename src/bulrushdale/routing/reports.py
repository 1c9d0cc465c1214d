"""What routers report to each other."""

from collections import abc
import dataclasses

from bulrushdale.routing import health


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Where a router runs.

    :param data_centre: its data centre; empty if that isn't known.
    :param link_mbps: what its link carries, in Mbit/s; 0 if not known.
    """

    data_centre: str
    link_mbps: int


UNKNOWN = Member("", 0)


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReport:
    """A part in a target's load and results.

    :param in_flight: requests there.
    :param results: results within the window of health.
    """

    in_flight: int
    results: health.Results

    def __add__(self, other: "TargetReport") -> "TargetReport":
        return TargetReport(
            self.in_flight + other.in_flight, self.results + other.results
        )

    def __sub__(self, other: "TargetReport") -> "TargetReport":
        done = self.results.done - other.results.done
        failed = self.results.failed - other.results.failed
        return TargetReport(
            max(0, self.in_flight - other.in_flight),
            health.Results(max(0, done), max(0, failed)),
        )


IDLE = TargetReport(0, health.Results(0, 0))


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What one router says of itself, or a collector of several.

    :param address: where its sender is reached.
    :param data_centre: where its sender runs.
    :param started_ms: tells two starts apart, in ms since the epoch.
    :param sequence: grows with each report of one start.
    :param routers: routers that it sums up; 1 for a router's own.
    :param is_fleet_total: whether it sums up all data centres.
    :param store_up_ms: for how long the store has answered the sender, or
        the one of the routers that saw it longest.
    :param targets: their part in each target's load.
    :param members: routers lately heard of, by address.
    :param prefix_locations: targets of prefixes that are not at the target
        that hashing prefers, by the hash of the prefix.
    :param link_mbps: what the sender's link carries, in Mbit/s.
    :param partial: whether targets left out are as the sender told before.
    :param leaving: targets that said in an answer that they leave, and when
        they started.
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


def apply_partial(report: Report, previous: Report | None) -> Report:
    """Return a report with what it leaves out.

    :param report: a report.
    :param previous: the one that its sender told before, completed.
    """
    if not report.partial or previous is None:
        return report
    if previous.started_ms != report.started_ms:
        return report
    targets = {**previous.targets, **report.targets}
    return dataclasses.replace(report, targets=targets)


def aggregate(
    own: Report, others: abc.Iterable[Report], is_fleet_total: bool
) -> Report:
    """Return one report that sums several up.

    :param own: the collector's own; gives the sender.
    :param others: further ones.
    :param is_fleet_total: whether they cover the whole fleet.
    """
    prefix_locations = dict(own.prefix_locations)
    routers, store_up_ms = own.routers, own.store_up_ms
    target_maps = [own.targets]
    leaving = set(own.leaving)
    for report in others:
        leaving.update(report.leaving)
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
    )


def sum_targets(
    target_maps: abc.Iterable[abc.Mapping[str, TargetReport]],
) -> dict[str, TargetReport]:
    """Return the sum for each target.

    In plain numbers: a collector of a large fleet adds up some ten thousand
    parts, four times a second.
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
