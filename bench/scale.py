"""Measure the cost of choosing a target, by the size of the fleet.

A router of a large fleet gets the total load of all routers from its
collector, and chooses targets for prompts whose prefix any router may have
placed.
"""

import dataclasses
import time
import typing

from bench import emulator
from bench import report
from bulrushdale import clock as clock_module
from bulrushdale.routing import health
from bulrushdale.routing import messages
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import prefix_locations as locations_module
from bulrushdale.routing import reports
from bulrushdale.routing import routes
from bulrushdale.routing import selection as selection_module
from bulrushdale.routing import targets as targets_module

SIZES = (60, 300, 1_000, 2_000)
ROUTERS = 360
CHOICES = 300
SERVICE = "chat"
OWN = "10.0.0.1:1"
COLLECTOR = "10.0.1.1:1"

ROUTE = dataclasses.replace(
    emulator.ROUTE,
    kind=routes.Kind.STREAM,
    shares=(routes.Share(SERVICE, 1),),
    prefix_affinity=True,
)


def make_request(number: int) -> messages.InboundRequest:
    """Return a request whose prompt shares its prefix with no other one."""
    parts = (
        messages.PromptPart(f"prefix-{number}", 2_000),
        messages.PromptPart("own", 100),
    )
    return dataclasses.replace(
        emulator.make_request(f"q{number}"), prompt=parts
    )


def _listing(number: int) -> targets_module.Listing:
    return targets_module.Listing(
        target_id=f"i-{number:010x}",
        started_ms=1,
        service=SERVICE,
        address=f"10.1.{number // 250}.{number % 250}:80",
        data_centre="dc1",
        slots=12,
        leaving=False,
        slow_start_ms=0,
    )


def make_selection(
    targets: int, clock: clock_module.Clock
) -> selection_module.Selection:
    """Return the target selection of a router in a large fleet.

    :param targets: number of targets of the only service.
    :param clock: the clock.
    """
    known = targets_module.Targets(clock)
    for number in range(targets):
        known.put(_listing(number))
    peers = peers_module.Peers(OWN, "dc1", 100, clock)
    for number in range(ROUTERS):
        peers.add(f"10.2.{number // 250}.{number % 250}:1")
    parts = {
        target.target_id: reports.TargetReport(
            number % 7, health.Results(20, number % 3)
        )
        for number, target in enumerate(known.all())
    }
    peers.receive(
        reports.Report(COLLECTOR, "dc1", 1, 1, ROUTERS, True, 0, parts, {}, {})
    )
    return selection_module.Selection(
        "dc1", known, peers, locations_module.PrefixLocations(clock), clock
    )


def measure(targets: int) -> float:
    """Return the mean time of a choice, in us.

    :param targets: number of targets of the service.
    """
    selection = make_selection(targets, clock_module.Clock())
    requests = [make_request(number) for number in range(CHOICES)]
    started_ns = time.perf_counter_ns()
    for request in requests:
        selection.choose(request, ROUTE, SERVICE, ())
    return (time.perf_counter_ns() - started_ns) / CHOICES / 1_000


def run() -> None:
    """Measure a choice at each size, as the minimum of three runs."""
    rows: list[dict[str, typing.Any]] = [
        {
            "targets": targets,
            "choice_us": round(min(measure(targets) for _ in range(3))),
        }
        for targets in SIZES
    ]
    report.print_and_save("scale", rows)
