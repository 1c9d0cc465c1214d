"""What routers report to each other."""

from collections import abc
import dataclasses

from bulrushdale.routing import health

# Targets in one report, so that it fits a datagram of 64 KiB.
MAX_TARGETS = 2_000


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


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What one router says of itself, or a collector of several.

    :param address: where its sender is reached.
    :param data_centre: where its sender runs.
    :param started_ms: tells two starts apart, in ms since the epoch.
    :param sequence: grows with each report of one start.
    :param routers: routers that it sums up; 1 for a router's own.
    :param whole_fleet: whether it sums up all data centres.
    :param store_up_ms: for how long the store has answered the sender, or
        the one of the routers that saw it longest.
    :param targets: their part in each target's load.
    :param members: routers lately heard of, by address.
    :param places: prefixes that live elsewhere than hashing puts them.
    :param link_mbps: what the sender's link carries, in Mbit/s.
    """

    address: str
    data_centre: str
    started_ms: int
    sequence: int
    routers: int
    whole_fleet: bool
    store_up_ms: int
    targets: abc.Mapping[str, TargetReport]
    members: abc.Mapping[str, Member]
    places: abc.Mapping[int, str]
    link_mbps: int = 0


def merge(own: Report, others: abc.Iterable[Report], whole: bool) -> Report:
    """Return one report that sums several up.

    :param own: the collector's own; gives the sender.
    :param others: further ones.
    :param whole: whether they cover the whole fleet.
    """
    targets = dict(own.targets)
    places = dict(own.places)
    routers, store_up_ms = own.routers, own.store_up_ms
    for report in others:
        routers += report.routers
        store_up_ms = max(store_up_ms, report.store_up_ms)
        places.update(report.places)
        for target_id, part in report.targets.items():
            known = targets.get(target_id)
            targets[target_id] = part if known is None else known + part
    return dataclasses.replace(
        own,
        routers=routers,
        whole_fleet=whole,
        store_up_ms=store_up_ms,
        targets=_busiest(targets),
        places=places,
    )


def _busiest(
    targets: abc.Mapping[str, TargetReport],
) -> dict[str, TargetReport]:
    """Return as many targets as a report holds, the busiest ones first."""
    order = sorted(targets, key=lambda name: -targets[name].in_flight)
    return {name: targets[name] for name in order[:MAX_TARGETS]}
