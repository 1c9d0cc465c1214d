"""Brings together what bears on the choice of a target."""

import collections
from collections import abc
import dataclasses
import logging

from bulrushdale import clock as clock_module
from bulrushdale import hashing
from bulrushdale.routing import calls
from bulrushdale.routing import health
from bulrushdale.routing import overload
from bulrushdale.routing import overrides as overrides_module
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import placement
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
    :param overrides: prefixes that live elsewhere than hashing puts them.
    :param clock: the clock.
    :param by_load: chooses for requests that no prefix ties to a target.
    """

    __slots__ = (
        "_data_centre",
        "_targets",
        "_peers",
        "_overrides",
        "_clock",
        "_by_load",
        "_work",
    )

    def __init__(
        self,
        data_centre: str,
        targets: targets_module.Targets,
        peers: peers_module.Peers,
        overrides: overrides_module.Overrides,
        clock: clock_module.Clock,
        by_load: ByLoad = placement.by_level,
    ) -> None:
        self._data_centre = data_centre
        self._targets = targets
        self._peers = peers
        self._overrides = overrides
        self._clock = clock
        self._by_load = by_load
        self._work = overload.WorkTimes()

    def load(self, target: targets_module.Target) -> int:
        """Return the requests that all routers have at a target."""
        return target.in_flight + self._peers.in_flight(target.target_id)

    def choose(
        self,
        call: calls.Call,
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
        if not staying:
            return None
        loads = {t.target_id: self.load(t) for t in staying}
        untried = [
            t for t in staying if t.target_id not in tried and not t.resting
        ]
        fit = self._fit(untried) or (untried if unreachable_too else [])
        if not fit:
            return None
        now_ms = self._clock.now_ms()
        candidates = [
            placement.Candidate(
                t.target_id,
                loads[t.target_id],
                t.listing.slots,
                t.listing.data_centre == self._data_centre,
                now_ms < t.slow_until_ms,
            )
            for t in fit
        ]
        if route.by_prefix and call.prompt:
            return self._by_prefix(call, service, candidates, loads)
        found = self._by_load(
            candidates, self._unseen(staying), call.request_id
        )
        return Choice(self._targets.known(found.target_id))

    def has_other(self, service: str, tried: abc.Collection[str]) -> bool:
        """Return whether there is a target that wasn't tried yet."""
        return any(
            t.target_id not in tried
            and not t.health.unreachable
            and not t.resting
            for t in self._targets.staying(service)
        )

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
        return done / health.WINDOW_MS * self._peers.news_age_ms()

    def _by_prefix(
        self,
        call: calls.Call,
        service: str,
        candidates: list[placement.Candidate],
        loads: abc.Mapping[str, int],
    ) -> Choice:
        key = hashing.hash64(call.affinity.encode())
        hashed_to = placement.home(
            key,
            self._targets.settled(service),
            loads,
            self._targets.gone(service),
        )
        order = placement.prefix_order(key, hashed_to, loads)
        lives_at = self._overrides.find(key)
        if lives_at is not None:
            order.insert(0, lives_at)
        bound = placement.load_bound(loads.values(), call.shared_tokens)
        found = placement.by_prefix(order, candidates, bound)
        self._overrides.note(
            key, found.target_id, {hashed_to, hashing.winner(key, loads)}
        )
        return Choice(
            self._targets.known(found.target_id),
            self._cache_at(
                service,
                lives_at or hashed_to,
                found.target_id,
                call.shared_tokens,
            ),
        )

    def _cache_at(
        self, service: str, home: str, target_id: str, shared_tokens: int
    ) -> targets_module.Target | None:
        """Return the target to copy a prompt's shared part from, if any."""
        if home == target_id or shared_tokens < COPIED_TOKENS_MIN:
            return None
        target = self._targets.running(service, home)
        if target is None or target.health.unreachable:
            return None
        return target

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

    def judge(self, service: str) -> None:
        """Set targets aside that fail far more than their service."""
        staying = self._targets.staying(service)
        results = {
            t.target_id: t.health.results() + self._peers.results(t.target_id)
            for t in staying
        }
        total = sum(results.values(), health.Results(0, 0))
        most = int(len(staying) * health.MAX_EJECTED_SHARE)
        aside = sum(1 for t in staying if t.health.ejected)
        for target in staying:
            if aside >= most:
                return
            own = results[target.target_id]
            if not target.health.ejected and health.is_outlier(own, total):
                target.health.eject()
                aside += 1
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
