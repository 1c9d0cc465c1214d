"""Choose a target by health, load and prefix locations."""

import collections
from collections import abc
import dataclasses
import logging

from bulrushdale import clock as clock_module
from bulrushdale import hashing
from bulrushdale.routing import admission as admission_module
from bulrushdale.routing import eligibility
from bulrushdale.routing import engine_memory
from bulrushdale.routing import health
from bulrushdale.routing import locality
from bulrushdale.routing import messages
from bulrushdale.routing import overload
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import placement
from bulrushdale.routing import prefix_locations as locations_module
from bulrushdale.routing import reports
from bulrushdale.routing import routes
from bulrushdale.routing import speeds
from bulrushdale.routing import targets as targets_module

LOG = logging.getLogger(__name__)

# Setting up a copy takes some ms. Engines read tens of tokens per ms, so they
# recompute shorter prefixes sooner.
MIN_COPIED_TOKENS = 256

# Below this share of its slots a brittle target has room for all routers' next
# requests.
CALM_SHARE = 0.5

# Chooses among candidates for a request without prefix affinity. The other
# arguments are the expected number of requests that other routers placed and
# haven't reported yet, and the request's id.
LoadPolicy = abc.Callable[
    [abc.Sequence[placement.Candidate], float, str], placement.Candidate
]


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The target chosen for a request.

    :param target: the target that is to run it.
    :param copy_from: another target that probably has the shared part of the
        prompt in its cache; copying it costs less than recomputing it.
    """

    target: targets_module.Target
    copy_from: targets_module.Target | None = None


class Selection:
    """Chooses targets by the list, their health and their load.

    :param data_centre: where this router runs.
    :param targets: all targets.
    :param peers: reports of other routers.
    :param locations: where prefixes were placed before.
    :param clock: the clock.
    :param load_policy: chooses for requests without prefix affinity.
    :ivar admission: decides on requests while a service is short.
    :ivar memory: memory of engines, and what requests need of it.
    :param remote_cost: price of a request to another data centre; none for a
        constant penalty instead.
    """

    __slots__ = (
        "admission",
        "memory",
        "_data_centre",
        "_targets",
        "_peers",
        "_locations",
        "_clock",
        "_load_policy",
        "_run_times",
        "_remote_cost",
        "_max_short_tokens",
        "_localities",
    )

    def __init__(
        self,
        data_centre: str,
        targets: targets_module.Targets,
        peers: peers_module.Peers,
        locations: locations_module.PrefixLocations,
        clock: clock_module.Clock,
        load_policy: LoadPolicy = placement.choose_by_water_filling,
        remote_cost: float | None = None,
    ) -> None:
        self._data_centre = data_centre
        self._targets = targets
        self._peers = peers
        self._locations = locations
        self._clock = clock
        self._load_policy = load_policy
        self._run_times = overload.RunTimes()
        self.admission = admission_module.Admission(clock)
        self.memory = engine_memory.EngineMemory()
        self._localities: dict[str, locality.State] = {}
        self.set_remote_cost(remote_cost)

    def set_remote_cost(self, remote_cost: float | None) -> None:
        """Set the price of a request to another data centre.

        :param remote_cost: the price; none for a constant penalty instead.
        """
        self._remote_cost = remote_cost
        self._max_short_tokens = -1
        if remote_cost is not None:
            self._max_short_tokens = locality.max_short_prefix_tokens(
                remote_cost
            )

    def load(self, target: targets_module.Target) -> int:
        """Return the number of all routers' requests at a target."""
        return target.in_flight + self._peers.in_flight(target.target_id)

    def is_local(self, target: targets_module.Target) -> bool:
        """Return whether a target is in the router's data centre."""
        return target.listing.data_centre == self._data_centre

    def choose(
        self,
        request: messages.InboundRequest,
        route: routes.Route,
        service: str,
        tried: abc.Collection[str],
        include_unreachable: bool = False,
        rank: int = 0,
        version: str | None = None,
        record: bool = True,
    ) -> Choice | None:
        """Return the target for a request; none if no target is available.

        :param request: the request.
        :param route: its route.
        :param service: the service that is to run it.
        :param tried: ids of the targets that it was already sent to.
        :param include_unreachable: whether to fall back to unreachable
            targets; if all of them are, the fault may be on this router's
            side.
        :param rank: rank of the request among those that need a permit.
        :param version: version of the target's software; none for any.
        :param record: whether to record the placement and eject outliers;
            otherwise nothing changes.
        """
        active = self._targets.active(service)
        filters = self._filters(
            tried, include_unreachable, rank, version, request.tokens, record
        )
        if route.prefix_affinity and request.prompt:
            return self._choose_by_prefix(
                request, service, active, filters, record
            )
        if not active:
            return None
        slowness = self._slowness()
        if slowness is not None:
            wait_ms = self.service_load(service).expected_response_ms()
            slowness = self._slowness(wait_ms)
        unreported = self._unreported_requests(active)
        state = None
        remote_extra = placement.REMOTE_PENALTY
        if self._remote_cost is not None:
            state = self._locality(service, splits=True)
            remote_extra = (
                locality.CAUTION * unreported / len(active) + state.penalty
            )
        for matches in filters:
            candidates = [
                self._candidate(t, remote_extra, slowness)
                for t in active
                if matches(t.target_id)
            ]
            if candidates:
                if state is not None:
                    candidates, sharing = self._split(
                        candidates, state.share, request.request_id
                    )
                    unreported *= sharing / len(active)
                found = self._load_policy(
                    candidates, unreported, request.request_id
                )
                return Choice(self._targets.require(found.target_id))
        return None

    def _slowness(self, work_ms: float = 0.0) -> placement.Slowness | None:
        """Return a function for the slowness of a target.

        :param work_ms: normal time of the work and of the wait for it, in ms;
            0 if that is short.
        :return: the function; none while all targets count as normal.
        """
        known = self._targets.speeds
        now_ms = self._clock.now_ms()
        if not speeds.is_active(known, now_ms):
            return None

        def slowness(target_id: str) -> float:
            speed = self._targets.require(target_id).speed
            return speeds.slowness(known, speed, now_ms, work_ms)

        return slowness

    def _split(
        self,
        candidates: list[placement.Candidate],
        share: float,
        request_id: str,
    ) -> tuple[list[placement.Candidate], float]:
        """Keep a request in the own data centre, or send it away.

        A request that stays may still go to another data centre if the load
        there is lower by more than a crossing costs. The requests that the
        other data centres are expected to place there count as load, so that
        the same difference doesn't attract all routers.

        :param candidates: targets that may get the request.
        :param share: share of the requests that is sent away.
        :param request_id: determines whether the request is sent away.
        :return: the candidates to choose from, and the number of targets
            that get the requests not reported yet, with the caution.
        """
        remote = [c for c in candidates if not c.local]
        if not remote or len(remote) == len(candidates):
            return candidates, len(candidates)
        if share and hashing.fraction(f"away {request_id}") < share:
            return remote, len(remote)
        return candidates, locality.CAUTION * (len(candidates) - len(remote))

    def _locality(self, service: str, splits: bool = False) -> locality.State:
        """Return what is sent away, computed a few times a second.

        :param service: the service, which has active targets.
        :param splits: whether the request is sent away by the share.
        """
        now_ms = self._clock.now_ms()
        state = self._localities.get(service)
        if state is None:
            # The services are those of the list, so the states are as many.
            for name in self._localities.keys() - self._targets.services():
                del self._localities[name]
            state = self._localities[service] = locality.State()
        state.splits |= splits
        if now_ms < state.due_ms:
            return state
        peer_load = self._peers.peer_load()
        capacities = locality.add_up(
            (
                t.listing.data_centre,
                t.in_flight
                + peer_load.get(t.target_id, reports.IDLE).in_flight,
                t.listing.slots,
            )
            for t in self._usable(self._targets.active(service))
            if t.cold_rate_per_s is None
        )
        others = locality.sum_of_others(capacities, self._data_centre)
        locality.update(
            state,
            capacities.get(self._data_centre, locality.NOTHING),
            others,
            now_ms,
            self._peers.peer_load_age_ms(),
            self._run_times.mean_ms(service),
            self._remote_cost or 0.0,
        )
        changed = locality.take_change(state, now_ms)
        if changed is not None:
            LOG.info(
                "share sent to other data centres changed",
                extra={
                    "event": "locality.changed",
                    "service": service,
                    "sent_away": changed,
                    "share": round(state.share, 2),
                },
            )
        return state

    def _candidate(
        self,
        target: targets_module.Target,
        remote_extra: float,
        slowness: placement.Slowness | None,
    ) -> placement.Candidate:
        local = target.listing.data_centre == self._data_centre
        return placement.Candidate(
            target.target_id,
            self.load(target),
            target.listing.slots,
            local,
            self._clock.now_ms() < target.slow_until_ms,
            1.0 if slowness is None else slowness(target.target_id),
            0.0 if local else remote_extra,
        )

    def _filters(
        self,
        tried: abc.Collection[str],
        include_unreachable: bool,
        rank: int,
        version: str | None,
        tokens: int,
        record: bool,
    ) -> list[abc.Callable[[str], bool]]:
        """Return filters for targets, from the strictest to the weakest.

        Ejected targets and those suspected to be unreachable are used only
        if there is no other. Outliers are detected when a target is
        considered, as few targets are considered for a request.
        """

        def matcher(
            passed_over: abc.Container[eligibility.Exclusion],
        ) -> abc.Callable[[str], bool]:
            def matches(target_id: str) -> bool:
                reason = self.exclusion(
                    self._targets.require(target_id),
                    rank,
                    tried,
                    version,
                    tokens,
                    record,
                )
                return reason is None or reason in passed_over

            return matches

        stages: list[abc.Container[eligibility.Exclusion]] = [
            (),
            eligibility.LAST_RESORT,
        ]
        if include_unreachable:
            stages.append(eligibility.RELAYED)
        return [matcher(passed_over) for passed_over in stages]

    def exclusion(
        self,
        target: targets_module.Target,
        rank: int = 0,
        tried: abc.Collection[str] = (),
        version: str | None = None,
        tokens: int = 0,
        record: bool = True,
    ) -> eligibility.Exclusion | None:
        """Return why a target doesn't get a request; none if it may.

        :param target: the target.
        :param rank: rank of the request among those that need a permit.
        :param tried: ids of the targets that it was already sent to.
        :param version: version of the target's software; none for any.
        :param tokens: memory that it needs, in tokens.
        :param record: whether to eject the target if it is an outlier;
            otherwise nothing changes.
        """
        return eligibility.exclusion(
            target,
            self._is_refused,
            self.may_reject,
            self._eject_if_outlier if record else self._would_eject,
            lambda t: self.has_memory(t, tokens),
            rank,
            tried,
            version,
        )

    def has_memory(self, target: targets_module.Target, tokens: int) -> bool:
        """Return whether a request fits into the memory of a target.

        :param target: the target.
        :param tokens: memory that the request needs, in tokens.
        """
        service = target.listing.service
        return not self.memory.limited(service) or self.memory.has_room(
            service,
            tokens,
            target.tokens_in_flight,
            self._peers.in_flight(target.target_id),
        )

    def lacks_memory(self, service: str, tokens: int) -> bool:
        """Return whether a request doesn't fit into a target's memory.

        :param service: the service.
        :param tokens: memory that the request needs, in tokens.
        :return: whether that is so at any of the service's targets.
        """
        return self.memory.limited(service) and any(
            not self.has_memory(t, tokens)
            for t in self._targets.active(service)
        )

    def may_reject(self, target: targets_module.Target) -> bool:
        """Return whether a brittle target may reject one more request.

        Its grantor tells whether it has room. Beside a grantor of an earlier
        version it has room while few of its slots are taken. Beyond that, the
        loads that other routers report are too old to tell, so each router
        fills its own part of the slots.
        """
        if not target.brittle:
            return False
        if target.full:
            return True
        slots = target.listing.slots
        if self._peers.grants_slots():
            return self.load(target) >= slots
        if self.load(target) < CALM_SHARE * slots:
            return False
        own_slots = self._peers.slot_share(target.target_id, slots)
        return target.in_flight >= own_slots

    def _is_refused(self, target: targets_module.Target) -> bool:
        """Return whether the grantor of a brittle target refused it."""
        if not target.risk_wait_ms:
            return False
        return self._peers.grants_slots() or self.may_reject(target)

    def has_untried(
        self,
        service: str,
        tried: abc.Collection[str],
        version: str | None = None,
        include_unreachable: bool = False,
        tokens: int = 0,
    ) -> bool:
        """Return whether there is a usable target that wasn't tried yet.

        Targets that limit their requests don't count, as they may have no
        permit.

        :param service: the service.
        :param tried: ids of the targets that were tried.
        :param version: version of the target's software; none for any.
        :param include_unreachable: whether targets that only other routers
            reach are usable.
        :param tokens: memory that the request needs, in tokens.
        """
        return any(
            t.target_id not in tried
            and (include_unreachable or not t.health.unreachable)
            and not t.backing_off
            and not t.needs_permits
            and not self.may_reject(t)
            and version in (None, t.listing.version)
            and self.has_memory(t, tokens)
            for t in self._targets.active(service)
        )

    def all_unreachable(self, service: str) -> bool:
        """Return whether no target of a service can be reached from here.

        The fault is then probably on this router's side, and another router
        may reach the targets.
        """
        active = self._targets.active(service)
        return bool(active) and all(t.health.unreachable for t in active)

    def backoff_remaining_ms(self, service: str) -> int:
        """Return the time until the first back-off of a target ends, in ms.

        0 if a target of the service has no back-off left, or if the service
        has no targets. The waits of half-open targets aren't included.
        """
        active = self._targets.active(service)
        now_ms = self._clock.now_ms()
        return min(
            (max(0, t.backoff_until_ms - now_ms) for t in active), default=0
        )

    def permit_wait_ms(self, service: str, rank: int) -> int:
        """Return the time until a target may have a permit, in ms.

        :param service: the service.
        :param rank: rank of the request.
        :return: 0 if no target refuses permits.
        """
        waits_ms = [
            wait_ms
            for t in self._targets.active(service)
            if (wait_ms := max(t.permit_wait_ms(rank), t.risk_wait_ms))
        ]
        return min(waits_ms, default=0)

    def service_load(self, service: str) -> overload.ServiceLoad:
        """Return load, capacity and mean run time of a service.

        Load and capacity are those of its usable targets.
        """
        usable = self._usable(self._targets.active(service))
        peer_load = self._peers.peer_load()
        load = sum(
            t.in_flight + peer_load.get(t.target_id, reports.IDLE).in_flight
            for t in usable
        )
        slots = sum(t.listing.slots for t in usable)
        # Counting results takes long, and is useless while slots are free.
        done = self._done(usable) if load >= slots else 0
        return overload.ServiceLoad(
            load=load,
            slots=slots,
            run_ms=self._run_times.mean_ms(service),
            done_per_s=done * 1_000 / health.WINDOW_MS,
        )

    def has_free_slot(self, target: targets_module.Target) -> bool:
        """Return whether a target would start a request immediately."""
        return self.load(target) < target.listing.slots

    def record_run_time(self, service: str, took_ms: float) -> None:
        """Record the run time of a request that found a free slot.

        :param service: the service that ran it.
        :param took_ms: how long it ran, in ms.
        """
        self._run_times.record(service, took_ms)

    def record_server_load(
        self, target: targets_module.Target, load: messages.ServerLoad
    ) -> None:
        """Record the load that a target states.

        Speeds count only where some target states how slow it is, so that
        deployments whose targets state only their load are served as before.
        """
        now_ms = self._clock.now_ms()
        known = self._targets.speeds
        if load.slowness is None and not speeds.is_active(known, now_ms):
            return
        speeds.record_reported(known, target.speed, load.slowness, now_ms)

    def record_run(
        self,
        target: targets_module.Target,
        took_ms: float | None,
        of_events: bool,
    ) -> None:
        """Record how long a target took for work of a request.

        :param target: the target.
        :param took_ms: time between events of a stream, or run time of a
            request that found a free slot, in ms; none if it isn't known.
        :param of_events: whether it is the time between events. The running
            requests of an engine slow down each other; the slots of other
            targets don't.
        """
        if took_ms is not None:
            load = self.load(target) if of_events else 0
            run = speeds.Run(took_ms, load, of_events)
            speeds.record_run(
                self._targets.speeds, target.speed, run, self._clock.now_ms()
            )

    def _done(self, targets: list[targets_module.Target]) -> int:
        """Return the number of results of all routers in the window."""
        peer_load = self._peers.peer_load()
        return sum(
            t.health.results().done
            + peer_load.get(t.target_id, reports.IDLE).results.done
            for t in targets
        )

    def _unreported_requests(
        self, active: list[targets_module.Target]
    ) -> float:
        """Return the expected number of requests that aren't reported yet.

        It is estimated from the rate of results at the service's targets and
        from the age of the peer load.
        """
        done = self._done(active)
        return done / health.WINDOW_MS * self._peers.peer_load_age_ms()

    def _choose_by_prefix(
        self,
        request: messages.InboundRequest,
        service: str,
        active: list[targets_module.Target],
        filters: list[abc.Callable[[str], bool]],
        record: bool,
    ) -> Choice | None:
        """Return the target for a request that names its prompt's parts.

        A prefix in use stays at its latest location that matches and whose
        load is within the bound. Other prefixes start at their preferred
        target. If the chosen target doesn't have the prefix, a long prefix
        is copied from a target that probably has it.

        :param request: the request.
        :param service: the service that is to run it.
        :param active: the active targets of the service.
        :param filters: tried in this order until a target matches.
        :param record: whether to record the placement.
        :return: the choice; none if no target matches.
        """
        if not active:
            return None
        peer_load = self._peers.peer_load()
        loads = {
            t.target_id: t.in_flight
            + peer_load.get(t.target_id, reports.IDLE).in_flight
            for t in active
        }
        if request.cached_tokens <= self._max_short_tokens:
            home = self._short_prefix_home(request, service, active, loads)
            if home is not None and filters[0](home):
                return Choice(self._targets.require(home))
        prefix_hash = hashing.hash64(request.shared_prefix_id.encode())
        recently_left = self._targets.recently_left(service)
        ranking = hashing.Ranking(prefix_hash, [*loads, *recently_left])
        preferred = placement.preferred_target(
            ranking, self._targets.established(service), loads, recently_left
        )
        locations = self._locations.get(prefix_hash)
        first_choices = [*locations, preferred]
        if not self._locations.in_use(prefix_hash):
            first_choices = [preferred]
        found = self._find_by_prefix(
            request,
            ranking,
            first_choices,
            loads,
            self._unlimited_loads(active, loads),
            filters,
        )
        if found is None:
            return None
        if record:
            self._locations.record(
                prefix_hash, found, {preferred, ranking.winner(loads)}
            )
        copy_from = None
        if (
            found not in locations
            and request.shared_tokens >= MIN_COPIED_TOKENS
        ):
            if not locations:
                locations = self._probable_locations(
                    ranking, preferred, active
                )
            copy_from = self._copy_source(service, locations, found)
        return Choice(self._targets.require(found), copy_from)

    def _short_prefix_home(
        self,
        request: messages.InboundRequest,
        service: str,
        active: list[targets_module.Target],
        loads: abc.Mapping[str, int],
    ) -> str | None:
        """Return the target of a short prefix in the own data centre.

        It isn't recorded as a location: the other data centres read the
        prefix themselves.

        :param request: the request.
        :param service: the service that is to run it.
        :param active: the active targets of the service.
        :param loads: the load of each.
        :return: none if the own data centre has no room, or if the target has
            reached its bound.
        """
        local = [
            t.target_id
            for t in active
            if self.is_local(t) and t.cold_rate_per_s is None
        ]
        if not local or len(local) == len(active):
            return None
        if not self._locality(service).has_room:
            return None
        key = hashing.hash64(request.shared_prefix_id.encode())
        home = hashing.winner(key, local)
        bound = placement.load_bound(loads.values(), request.shared_tokens)
        return home if loads[home] + 1 <= bound else None

    def _unlimited_loads(
        self,
        active: list[targets_module.Target],
        loads: abc.Mapping[str, int],
    ) -> dict[str, int]:
        """Return the loads of the unlimited targets that have a free slot.

        The result is empty if no target limits its requests.
        """
        may_be_cold = (
            self._clock.now_ms() < self._targets.cold_rules.latest_end_ms
        )
        if not may_be_cold and all(t.limit_per_s is None for t in active):
            return {}
        if not any(t.needs_permits for t in active):
            return {}
        return {
            t.target_id: loads[t.target_id]
            for t in active
            if not t.needs_permits and loads[t.target_id] < t.listing.slots
        }

    def _find_by_prefix(
        self,
        request: messages.InboundRequest,
        ranking: hashing.Ranking,
        first_choices: abc.Sequence[str],
        loads: abc.Mapping[str, int],
        unlimited_loads: abc.Mapping[str, int],
        filters: list[abc.Callable[[str], bool]],
    ) -> str | None:
        """Return the first target in the order that matches within its bound.

        Short prefixes go to unlimited targets if possible, which recompute
        them quickly: the permits of limited targets are left to the long
        prefixes that are cached there.

        :param request: the request.
        :param ranking: ranks the targets for the prefix.
        :param first_choices: locations of the prefix and its preferred target.
        :param loads: loads of all active targets.
        :param unlimited_loads: loads of those that are preferred for short
            prefixes; empty for none.
        :param filters: tried in this order until a target matches.
        """
        shared_tokens = request.shared_tokens
        slowness, work = self._slowness(), None
        if slowness is not None:
            work = placement.prompt_work(
                request.prompt_tokens, shared_tokens, request.output_tokens
            )
            slowness = self._slowness(work.own_ms)
        stages = [(loads, matches) for matches in filters]
        if unlimited_loads and shared_tokens < placement.LONG_PREFIX_TOKENS:
            stages.insert(0, (unlimited_loads, filters[0]))
        for stage_loads, matches in stages:
            bound = placement.load_bound(stage_loads.values(), shared_tokens)
            order = placement.prefix_order(
                ranking, first_choices, stage_loads, slowness
            )
            found = placement.choose_within_bound(
                order, stage_loads, bound, matches, slowness
            )
            if found is None:
                continue
            if not slowness or not work or found not in first_choices:
                return found
            return placement.avoid_slow_target(
                found,
                first_choices,
                placement.prefix_order(ranking, (), stage_loads, slowness),
                stage_loads,
                self._slots,
                bound,
                work,
                slowness,
                matches,
            )
        return None

    def _slots(self, target_id: str) -> int:
        return self._targets.require(target_id).listing.slots

    def _probable_locations(
        self,
        ranking: hashing.Ranking,
        preferred: str,
        active: list[targets_module.Target],
    ) -> tuple[str, ...]:
        """Return the likely locations of a prefix with no known location."""
        started_ms = {t.target_id: t.listing.started_ms for t in active}
        if preferred not in started_ms:
            return (preferred,)
        previous = placement.previous_preferred_target(
            ranking, preferred, started_ms
        )
        return (preferred,) if previous is None else (preferred, previous)

    def _copy_source(
        self, service: str, locations: abc.Iterable[str], target_id: str
    ) -> targets_module.Target | None:
        """Return the target to copy the shared part from, if there is one.

        :param service: the service.
        :param locations: ids of targets that may have it, in this order.
        :param target_id: the target that runs the request.
        """
        for name in locations:
            target = self._targets.find_running(service, name)
            reachable = target is not None and not target.health.unreachable
            if reachable and name != target_id:
                return target
        return None

    def _usable(
        self, active: list[targets_module.Target]
    ) -> list[targets_module.Target]:
        """Return the targets that are reachable and not backing off.

        Ejected ones are left out if possible.
        """
        available = [
            t for t in active if not t.health.unreachable and not t.backing_off
        ]
        healthy = [t for t in available if not t.health.ejected]
        return healthy or available

    def explain_no_target(self, service: str) -> str:
        """Return why no target of a service is available."""
        states = collections.Counter(
            target.state
            for target in self._targets.all()
            if target.listing.service == service
        )
        counts = ", ".join(f"{n} {state}" for state, n in states.items())
        return (
            f"no target of service {service!r} available: {counts or 'none'}"
        )

    def _total_results(self, target: targets_module.Target) -> health.Results:
        """Return a target's results, added up over all routers."""
        others = self._peers.results(target.target_id)
        return target.health.results() + others

    def _would_eject(self, target: targets_module.Target) -> bool:
        """Return whether a target is an outlier, without ejecting it."""
        return self._eject_if_outlier(target, record=False)

    def _eject_if_outlier(
        self, target: targets_module.Target, record: bool = True
    ) -> bool:
        """Eject a target if it fails far more often than its service.

        :param target: the target.
        :param record: whether to eject it; otherwise nothing changes.
        :return: whether it is to be ejected now.
        """
        service = target.listing.service
        results = self._total_results(target)
        if target.health.ejected or not health.is_failing(results):
            return False
        active = self._targets.active(service)
        max_ejected = int(len(active) * health.MAX_EJECTED_SHARE)
        if sum(1 for t in active if t.health.ejected) >= max_ejected:
            return False
        total = sum(map(self._total_results, active), health.Results(0, 0))
        if not health.is_outlier(results, total):
            return False
        if not record:
            return True
        target.health.eject()
        LOG.warning(
            "target ejected",
            extra={
                "event": "target.ejected",
                "target": target.target_id,
                "service": service,
                "failed": results.failed,
                "done": results.done,
                "for_ms": health.EJECTION_MS,
            },
        )
        return True
