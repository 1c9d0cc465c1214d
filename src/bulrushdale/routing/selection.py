"""Brings together what bears on the choice of a target."""

import collections
from collections import abc
import dataclasses
import logging

from bulrushdale import clock as clock_module
from bulrushdale import hashing
from bulrushdale.routing import health
from bulrushdale.routing import holders as holders_module
from bulrushdale.routing import messages
from bulrushdale.routing import overload
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import placement
from bulrushdale.routing import reports
from bulrushdale.routing import routes
from bulrushdale.routing import targets as targets_module

LOG = logging.getLogger(__name__)

# Shorter prefixes are read again sooner than a copy of them is set up, which
# takes some ms; engines read tens of tokens in a ms.
COPIED_TOKENS_MIN = 256

# Chooses among candidates for a request that no prefix ties to a target,
# knowing how many requests others have placed unseen, and the request's id.
ByLoad = abc.Callable[
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
    cache_at: targets_module.Target | None = None


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
        "_holders",
        "_clock",
        "_by_load",
        "_work",
    )

    def __init__(
        self,
        data_centre: str,
        targets: targets_module.Targets,
        peers: peers_module.Peers,
        holders: holders_module.Holders,
        clock: clock_module.Clock,
        by_load: ByLoad = placement.by_level,
    ) -> None:
        self._data_centre = data_centre
        self._targets = targets
        self._peers = peers
        self._holders = holders
        self._clock = clock
        self._by_load = by_load
        self._work = overload.WorkTimes()

    def load(self, target: targets_module.Target) -> int:
        """Return the requests that all routers have at a target."""
        return target.in_flight + self._peers.in_flight(target.target_id)

    def choose(
        self,
        call: messages.InboundRequest,
        route: routes.Route,
        service: str,
        tried: abc.Collection[str],
        unreachable_too: bool = False,
    ) -> Choice | None:
        """Return where a request goes; none if there is no target.

        :param call: the request.
        :param route: its route.
        :param service: the service that is to run it.
        :param tried: targets that it was sent to already.
        :param unreachable_too: whether one that can't be reached is better
            than none; if that is all of them, the fault may be near.
        """
        staying = self._targets.staying(service)
        fits = self._fitness(service, tried, unreachable_too)
        if route.prefix_affinity and call.prompt:
            return self._by_prefix(call, service, staying, fits)
        for fit in fits:
            candidates = [
                self._candidate(t) for t in staying if fit(t.target_id)
            ]
            if candidates:
                found = self._by_load(
                    candidates, self._unseen(staying), call.request_id
                )
                return Choice(self._targets.known(found.target_id))
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
        self, service: str, tried: abc.Collection[str], unreachable_too: bool
    ) -> list[abc.Callable[[str], bool]]:
        """Return what targets must meet, by what must be at least.

        Those set aside for failures, and those that may be cut off, are
        better than none. Each is judged
        when it comes into question, as few of them do for a request.
        """

        def may_get_it(target_id: str) -> bool:
            target = self._targets.known(target_id)
            return target_id not in tried and not target.resting

        def reachable(target_id: str) -> bool:
            target = self._targets.known(target_id)
            return not target.health.unreachable and may_get_it(target_id)

        def well(target_id: str) -> bool:
            if not reachable(target_id):
                return False
            target = self._targets.known(target_id)
            self._judge(target, service)
            return not (target.health.ejected or target.health.suspected)

        return [well, reachable, *([may_get_it] if unreachable_too else [])]

    def has_other(self, service: str, tried: abc.Collection[str]) -> bool:
        """Return whether there is a target that wasn't tried yet."""
        return any(
            t.target_id not in tried
            and not t.health.unreachable
            and not t.resting
            for t in self._targets.staying(service)
        )

    def is_cut_off(self, service: str) -> bool:
        """Return whether no target of a service can be reached from here.

        The fault is near then, and another router can do better.
        """
        staying = self._targets.staying(service)
        return bool(staying) and all(t.health.unreachable for t in staying)

    def rest_left_ms(self, service: str) -> int:
        """Return when the first target of a service ends its pause, in ms.

        0 unless all of them asked for one.
        """
        staying = self._targets.staying(service)
        now_ms = self._clock.now_ms()
        return min(
            (max(0, t.rest_until_ms - now_ms) for t in staying), default=0
        )

    def demand(self, service: str) -> overload.Demand:
        """Return how busy the targets are that may get work."""
        fit = self._fit(self._targets.staying(service))
        return overload.Demand(
            load=sum(self.load(t) for t in fit),
            slots=sum(t.listing.slots for t in fit),
            work_ms=self._work.mean_ms(service),
        )

    def has_free_slot(self, target: targets_module.Target) -> bool:
        """Return whether a target would run a request at once."""
        return self.load(target) < target.listing.slots

    def note_work(self, service: str, took_ms: float) -> None:
        """Take over how long a request took that found a slot free."""
        self._work.note(service, took_ms)

    def _unseen(self, staying: list[targets_module.Target]) -> float:
        """Return how many requests to expect since the news of load."""
        done = sum(
            t.health.results().done + self._peers.results(t.target_id).done
            for t in staying
        )
        return done / health.WINDOW_MS * self._peers.peer_load_age_ms()

    def _by_prefix(
        self,
        call: messages.InboundRequest,
        service: str,
        staying: list[targets_module.Target],
        fits: list[abc.Callable[[str], bool]],
    ) -> Choice | None:
        if not staying:
            return None
        others = self._peers.peer_load()
        loads = {
            t.target_id: t.in_flight
            + others.get(t.target_id, reports.IDLE).in_flight
            for t in staying
        }
        key = hashing.hash64(call.affinity.encode())
        gone = self._targets.gone(service)
        ranking = hashing.Ranking(key, [*loads, *gone])
        hashed_to = placement.home(
            ranking, self._targets.settled(service), loads, gone
        )
        holding = self._holders.holding(key)
        first = [*holding, hashed_to]
        if not self._holders.in_use(key):
            first = [hashed_to]
        bound = placement.load_bound(loads.values(), call.shared_tokens)
        for fit in fits:
            order = placement.prefix_order(ranking, first, loads)
            found = placement.by_prefix(order, loads, bound, fit)
            if found is not None:
                break
        else:
            return None
        self._holders.note(key, found, {hashed_to, ranking.winner(loads)})
        cache_at = None
        if found not in holding and call.shared_tokens >= COPIED_TOKENS_MIN:
            if not holding:
                holding = self._probable(ranking, hashed_to, staying)
            cache_at = self._cache_at(service, holding, found)
        return Choice(self._targets.known(found), cache_at)

    def _probable(
        self,
        ranking: hashing.Ranking,
        hashed_to: str,
        staying: list[targets_module.Target],
    ) -> tuple[str, ...]:
        """Return where a prefix may be that was placed unseen, if at all."""
        born_ms = {t.target_id: t.listing.born_ms for t in staying}
        if hashed_to not in born_ms:
            return (hashed_to,)
        older = placement.older_home(ranking, hashed_to, born_ms)
        return (hashed_to,) if older is None else (hashed_to, older)

    def _cache_at(
        self, service: str, holding: abc.Iterable[str], target_id: str
    ) -> targets_module.Target | None:
        """Return the target to copy a prompt's shared part from, if any."""
        for name in holding:
            target = self._targets.running(service, name)
            reachable = target is not None and not target.health.unreachable
            if reachable and name != target_id:
                return target
        return None

    def _fit(
        self, staying: list[targets_module.Target]
    ) -> list[targets_module.Target]:
        """Return reachable targets, those not set aside first."""
        reachable = [
            t for t in staying if not t.health.unreachable and not t.resting
        ]
        well = [t for t in reachable if not t.health.ejected]
        return well or reachable

    def why_none(self, service: str) -> str:
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

    def _judge(self, target: targets_module.Target, service: str) -> None:
        """Set a target aside if it fails far more than its service."""
        own = self._results(target)
        if target.health.ejected or not health.is_suspect(own):
            return
        staying = self._targets.staying(service)
        most = int(len(staying) * health.MAX_EJECTED_SHARE)
        if sum(1 for t in staying if t.health.ejected) >= most:
            return
        total = sum(map(self._results, staying), health.Results(0, 0))
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
