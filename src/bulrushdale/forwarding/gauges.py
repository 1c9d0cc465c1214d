"""Metrics that are read from a router's state at each scrape."""

from collections import abc

from bulrushdale.forwarding import callers
from bulrushdale.forwarding import feed as feed_module
from bulrushdale.forwarding import metrics as metrics_module
from bulrushdale.routing import budget as budget_module
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import selection as selection_module
from bulrushdale.routing import targets as targets_module

TARGET_STATES = ("good", "leaving", "resting", "unreachable", "ejected")


def add(
    metrics: metrics_module.Metrics,
    feeds: abc.Mapping[str, feed_module.Feed],
    targets: targets_module.Targets,
    activity: callers.Activity,
    peers: peers_module.Peers,
    selection: selection_module.Selection,
    budget: budget_module.RetryBudget,
) -> None:
    """Export the state of a router's parts."""

    def ages() -> dict[str, float]:
        found = {name: feed.age_ms() for name, feed in feeds.items()}
        return {n: -1 if age is None else age for n, age in found.items()}

    def states() -> dict[str, float]:
        counts = dict.fromkeys(TARGET_STATES, 0.0)
        for target in targets.all():
            counts[target.state] += 1
        return counts

    def services() -> set[str]:
        return {target.listing.service for target in targets.all()}

    def waits() -> dict[str, float]:
        return {name: selection.demand(name).wait_ms() for name in services()}

    def retries() -> dict[str, float]:
        return {
            name: budget.remaining(name, peers.count()) for name in services()
        }

    gauge = metrics.gauge
    gauge(
        "copy_age_ms",
        "Age of the copy of each topic; -1 for none.",
        ages,
        "feed",
    )
    gauge("targets", "Targets by state.", states, "state")
    gauge(
        "requests_in_flight",
        "Requests being served.",
        lambda: {"all": activity.requests},
        "of",
    )
    gauge(
        "routers",
        "Live routers, this one included.",
        lambda: {"live": peers.count()},
        "state",
    )
    gauge(
        "expected_wait_ms",
        "Time until a new request would be answered; 0 while slots are free.",
        waits,
        "service",
    )
    gauge(
        "retries_left",
        "Retries that this router may make now.",
        retries,
        "service",
    )
