"""Gauges that are read from a router's state at each scrape."""

from collections import abc

from bulrushdale.forwarding import callers
from bulrushdale.forwarding import metrics as metrics_module
from bulrushdale.forwarding import replica as replica_module
from bulrushdale.forwarding import servers
from bulrushdale.routing import budget as budget_module
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import quarantine as quarantine_module
from bulrushdale.routing import selection as selection_module
from bulrushdale.routing import targets as targets_module

TARGET_STATES = (
    "good",
    "leaving",
    "resting",
    "unreachable",
    "ejected",
    "limited",
    "evacuated",
    "cold",
)


def register(
    metrics: metrics_module.Metrics,
    replicas: abc.Mapping[str, replica_module.Replica],
    targets: targets_module.Targets,
    state: callers.GatewayState,
    peers: peers_module.Peers,
    selection: selection_module.Selection,
    budget: budget_module.RetryBudget,
    quarantine: quarantine_module.Quarantine,
    caller_server: servers.Server,
) -> None:
    """Register the gauges of a router.

    :param metrics: the metrics to add them to.
    :param replicas: the replicas of the store's topics, by name.
    :param targets: the known targets.
    :param state: the requests in flight and the drain state.
    :param peers: the other routers.
    :param selection: estimates the expected wait of each service.
    :param budget: the retry budget of each service.
    :param quarantine: decides which requests are withheld.
    :param caller_server: the server of the callers' port.
    """

    def replica_ages_ms() -> dict[str, float]:
        ages_ms = {
            name: replica.age_ms() for name, replica in replicas.items()
        }
        return {
            n: -1 if age_ms is None else age_ms
            for n, age_ms in ages_ms.items()
        }

    def targets_by_state() -> dict[str, float]:
        counts = dict.fromkeys(TARGET_STATES, 0.0)
        for target in targets.all():
            counts[target.state] += 1
        return counts

    def service_names() -> set[str]:
        return {target.listing.service for target in targets.all()}

    def expected_waits_ms() -> dict[str, float]:
        return {
            name: selection.service_load(name).expected_response_ms()
            for name in service_names()
        }

    def retries_left() -> dict[str, float]:
        return {
            name: budget.remaining(name, peers.fleet_size())
            for name in service_names()
        }

    gauge = metrics.gauge
    gauge(
        "copy_age_ms",
        "Age of the copy of each topic; -1 for none.",
        replica_ages_ms,
        "feed",
    )
    gauge("targets", "Targets by state.", targets_by_state, "state")
    gauge(
        "requests_in_flight",
        "Requests being served.",
        lambda: {"all": state.requests},
        "of",
    )
    gauge(
        "tunnels",
        "Connections of other routers to targets through this router.",
        lambda: {"open": state.tunnels},
        "state",
    )
    gauge(
        "routers",
        "Live routers, and all that are known, this one included.",
        lambda: {
            "live": peers.count(),
            "known": 1 + len(peers.addresses()),
        },
        "state",
    )
    gauge(
        "expected_wait_ms",
        "Time until a new request would be answered; 0 while slots are free.",
        expected_waits_ms,
        "service",
    )
    gauge(
        "retries_left",
        "Retries that this router may make now.",
        retries_left,
        "service",
    )
    gauge(
        "quarantined_prompts",
        "Sets of prompt parts in quarantine.",
        lambda: {"active": len(quarantine.active())},
        "state",
    )
    gauge(
        "blocked_requests",
        "Single requests that no target gets, as they crash targets.",
        lambda: {"active": len(quarantine.blocks())},
        "state",
    )
    account = caller_server.account
    gauge(
        "held_bytes",
        "Bytes held for callers and taken by their connections, and how many "
        "may be; 0 for no bound.",
        lambda: {
            "held": account.held_bytes,
            "bound": account.bound_bytes,
            "connections": account.connection_bytes,
            "limit": account.limit_bytes,
        },
        "state",
    )
    gauge(
        "caller_connections",
        "Open connections of callers, how many may be, and which wait.",
        lambda: {
            "open": len(caller_server.open_connections),
            "bound": caller_server.max_connections,
            "waiting": caller_server.turns.waiting,
            "without_room": account.waiting_readers,
        },
        "state",
    )
