"""Brings together what bears on the choice of a target."""

import collections
from collections import abc
import dataclasses
import logging

from bulrushdale import clock as clock_module
from bulrushdale import hashing
from bulrushdale.routing import health
from bulrushdale.routing import messages
from bulrushdale.routing import overload
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import placement
from bulrushdale.routing import prefix_locations as locations_module
from bulrushdale.routing import reports
from bulrushdale.routing import routes
from bulrushdale.routing import targets as targets_module

LOG = logging.getLogger(__name__)

# Shorter prefixes are read again sooner than a copy of them is set up, which
# takes some ms; engines read tens of tokens in a ms.
MIN_COPIED_TOKENS = 256

# Chooses among candidates for a request that no prefix ties to a target,
# knowing how many requests others have placed unseen, and the request's id.
LoadPolicy = abc.Callable[
    [abc.Sequence[placement.Candidate], float, str], placement.Candidate
]


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Where a request goes.

    :param target: the target that is to run it.
    :param cache_at: another target, which probably has the shared part of
        the prompt in its cache; copying it costs less than reading it again.
    """

    target: targets_module.Target
    copy_from: targets_module.Target | None = None


class Selection:
    """Chooses targets from the list, health and load.

    :param data_centre: where this router runs.
    :param targets: all targets.
    :param peers: what other routers report.
    :param holders: where prefixes were placed before.
    :param clock: the clock.
    :param by_load: chooses for requests that no prefix ties to a target.
    """

    __slots__ = (
        "_data_centre",
        "_targets",
        "_peers",
        "_locations",
        "_clock",
        "_load_policy",
        "_run_times",
    )

    def __init__(
        self,
        data_centre: str,
        targets: targets_module.Targets,
        peers: peers_module.Peers,
        locations: locations_module.PrefixLocations,
        clock: clock_module.Clock,
        load_policy: LoadPolicy = placement.choose_by_water_filling,
    ) -> None:
        self._data_centre = data_centre
        self._targets = targets
        self._peers = peers
        self._locations = locations
        self._clock = clock
        self._load_policy = load_policy
        self._run_times = overload.RunTimes()

    def load(self, target: targets_module.Target) -> int:
        """Return the requests that all routers have at a target."""
        return target.in_flight + self._peers.in_flight(target.target_id)

    def choose(
        self,
        call: messages.InboundRequest,
        route: routes.Route,
        service: str,
        tried: abc.Collection[str],
        include_unreachable: bool = False,
    ) -> Choice | None:
        """Return where a request goes; none if there is no target.

        :param call: the request.
        :param route: its route.
        :param service: the service that is to run it.
        :param tried: targets that it was sent to already.
        :param unreachable_too: whether one that can't be reached is better
            than none; if that is all of them, the fault may be near.
        """
        active = self._targets.active(service)
        fits = self._fitness(service, tried, include_unreachable)
        if route.prefix_affinity and call.prompt:
            return self._choose_by_prefix(call, service, active, fits)
        for fit in fits:
            candidates = [
                self._candidate(t) for t in active if fit(t.target_id)
            ]
            if candidates:
                found = self._load_policy(
                    candidates, self._unseen(active), call.request_id
                )
                return Choice(self._targets.require(found.target_id))
        return None

    def _candidate(self, target: targets_module.Target) -> placement.Candidate:
        return placement.Candidate(
            target.target_id,
            self.load(target),
            target.listing.slots,
            target.listing.data_centre == self._data_centre,
            self._clock.now_ms() < target.slow_until_ms,
        )

    def _fitness(
        self,
        service: str,
        tried: abc.Collection[str],
        include_unreachable: bool,
    ) -> list[abc.Callable[[str], bool]]:
        """Return what targets must meet, by what must be at least.

        Those set aside for failures, and those that may be cut off, are
        better than none. Each is judged
        when it comes into question, as few of them do for a request.
        """

        def may_get_it(target_id: str) -> bool:
            target = self._targets.require(target_id)
            return target_id not in tried and not target.backing_off

        def reachable(target_id: str) -> bool:
            target = self._targets.require(target_id)
            return not target.health.unreachable and may_get_it(target_id)

        def well(target_id: str) -> bool:
            if not reachable(target_id):
                return False
            target = self._targets.require(target_id)
            self._eject_if_outlier(target, service)
            return not (target.health.ejected or target.health.suspected)

        return [
            well,
            reachable,
            *([may_get_it] if include_unreachable else []),
        ]

    def has_untried(self, service: str, tried: abc.Collection[str]) -> bool:
        """Return whether there is a target that wasn't tried yet."""
        return any(
            t.target_id not in tried
            and not t.health.unreachable
            and not t.backing_off
            for t in self._targets.active(service)
        )

    def all_unreachable(self, service: str) -> bool:
        """Return whether no target of a service can be reached from here.

        The fault is near then, and another router can do better.
        """
        active = self._targets.active(service)
        return bool(active) and all(t.health.unreachable for t in active)

    def backoff_remaining_ms(self, service: str) -> int:
        """Return when the first target of a service ends its pause, in ms.

        0 unless all of them asked for one.
        """
        active = self._targets.active(service)
        now_ms = self._clock.now_ms()
        return min(
            (max(0, t.backoff_until_ms - now_ms) for t in active), default=0
        )

    def demand(self, service: str) -> overload.Demand:
        """Return how busy the targets are that may get work."""
        fit = self._fit(self._targets.active(service))
        return overload.Demand(
            load=sum(self.load(t) for t in fit),
            slots=sum(t.listing.slots for t in fit),
            run_ms=self._run_times.mean_ms(service),
        )

    def has_free_slot(self, target: targets_module.Target) -> bool:
        """Return whether a target would run a request at once."""
        return self.load(target) < target.listing.slots

    def record_run_time(self, service: str, took_ms: float) -> None:
        """Take over how long a request took that found a slot free."""
        self._run_times.record(service, took_ms)

    def _unseen(self, active: list[targets_module.Target]) -> float:
        """Return how many requests to expect since the news of load."""
        done = sum(
            t.health.results().done + self._peers.results(t.target_id).done
            for t in active
        )
        return done / health.WINDOW_MS * self._peers.peer_load_age_ms()

    def _choose_by_prefix(
        self,
        call: messages.InboundRequest,
        service: str,
        active: list[targets_module.Target],
        fits: list[abc.Callable[[str], bool]],
    ) -> Choice | None:
        if not active:
            return None
        others = self._peers.peer_load()
        loads = {
            t.target_id: t.in_flight
            + others.get(t.target_id, reports.IDLE).in_flight
            for t in active
        }
        key = hashing.hash64(call.affinity.encode())
        recently_left = self._targets.recently_left(service)
        ranking = hashing.Ranking(key, [*loads, *recently_left])
        hashed_to = placement.preferred_target(
            ranking, self._targets.established(service), loads, recently_left
        )
        held_by = self._locations.get(key)
        first = [*held_by, hashed_to]
        if not self._locations.in_use(key):
            first = [hashed_to]
        bound = placement.load_bound(loads.values(), call.shared_tokens)
        for fit in fits:
            order = placement.prefix_order(ranking, first, loads)
            found = placement.choose_within_bound(order, loads, bound, fit)
            if found is not None:
                break
        else:
            return None
        self._locations.record(key, found, {hashed_to, ranking.winner(loads)})
        copy_from = None
        if found not in held_by and call.shared_tokens >= MIN_COPIED_TOKENS:
            if not held_by:
                held_by = self._probable(ranking, hashed_to, active)
            copy_from = self._copy_source(service, held_by, found)
        return Choice(self._targets.require(found), copy_from)

    def _probable(
        self,
        ranking: hashing.Ranking,
        hashed_to: str,
        active: list[targets_module.Target],
    ) -> tuple[str, ...]:
        """Return where a prefix may be that was placed unseen, if at all."""
        started_ms = {t.target_id: t.listing.started_ms for t in active}
        if hashed_to not in started_ms:
            return (hashed_to,)
        older = placement.previous_preferred_target(
            ranking, hashed_to, started_ms
        )
        return (hashed_to,) if older is None else (hashed_to, older)

    def _copy_source(
        self, service: str, held_by: abc.Iterable[str], target_id: str
    ) -> targets_module.Target | None:
        """Return the target to copy a prompt's shared part from, if any."""
        for name in held_by:
            target = self._targets.find_running(service, name)
            reachable = target is not None and not target.health.unreachable
            if reachable and name != target_id:
                return target
        return None

    def _fit(
        self, active: list[targets_module.Target]
    ) -> list[targets_module.Target]:
        """Return reachable targets, those not set aside first."""
        reachable = [
            t for t in active if not t.health.unreachable and not t.backing_off
        ]
        well = [t for t in reachable if not t.health.ejected]
        return well or reachable

    def explain_no_target(self, service: str) -> str:
        """Return why no target of a service came into question."""
        states = collections.Counter(
            target.state
            for target in self._targets.all()
            if target.listing.service == service
        )
        counts = ", ".join(f"{n} {state}" for state, n in states.items())
        return f"no target of service {service!r} left: {counts or 'none'}"

    def _results(self, target: targets_module.Target) -> health.Results:
        """Return a target's results, as all routers saw them."""
        others = self._peers.results(target.target_id)
        return target.health.results() + others

    def _eject_if_outlier(
        self, target: targets_module.Target, service: str
    ) -> None:
        """Set a target aside if it fails far more than its service."""
        own = self._results(target)
        if target.health.ejected or not health.is_failing(own):
            return
        active = self._targets.active(service)
        most = int(len(active) * health.MAX_EJECTED_SHARE)
        if sum(1 for t in active if t.health.ejected) >= most:
            return
        total = sum(map(self._results, active), health.Results(0, 0))
        if not health.is_outlier(own, total):
            return
        target.health.eject()
        LOG.warning(
            "target set aside",
            extra={
                "event": "target.ejected",
                "target": target.target_id,
                "service": service,
                "failed": own.failed,
                "done": own.done,
                "for_ms": health.EJECTION_MS,
            },
        )
