"""An emulated service of short requests behind a fleet of routers.

Time is simulated. Each router is the product's own selection, targets and
reports of load; the servers, their queues and the callers are emulated. It
compares rules for placing requests that no prefix ties to a target.
"""

import collections
from collections import abc
import dataclasses
import heapq
import itertools
import math
import random

from bulrushdale import clock as clock_module
from bulrushdale import hashing
from bulrushdale.routing import messages
from bulrushdale.routing import overload
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import placement
from bulrushdale.routing import prefix_locations
from bulrushdale.routing import reports
from bulrushdale.routing import routes
from bulrushdale.routing import selection
from bulrushdale.routing import targets as targets_module

SERVICE = "orders"
# Turns a request away, by demand, target time and the request's draw.
Refuses = abc.Callable[[overload.Demand, float, float], bool]
# Spread of the work of a request around its mean; of its logarithm.
WORK_SIGMA = 0.6
# A request reaches a server, and its refusal the router, within this time.
HOP_MS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A service and what is asked of it.

    :param routers: routers in all data centres.
    :param data_centres: how many, with as many routers each.
    :param servers: servers of the service.
    :param slots: requests that a server runs at once.
    :param queued: further ones that it queues before it rejects.
    :param rate_per_s: requests a second, over all routers.
    :param work_ms: mean time that a request runs.
    :param target_ms: time within which its answer is of full use.
    :param seconds: length of the run.
    """

    routers: int
    data_centres: int
    servers: int
    slots: int
    queued: int
    rate_per_s: float
    run_ms: float
    target_ms: float
    seconds: float


@dataclasses.dataclass(slots=True)
class Outcome:
    """What callers got.

    :param asked: requests.
    :param refused: requests that a router turned away, or no server took.
    :param rejected: offers that a full server rejected.
    :param took_ms: the time until each answer.
    """

    asked: int = 0
    refused: int = 0
    rejected: int = 0
    took_ms: list[float] = dataclasses.field(default_factory=list)

    def in_time(self, target_ms: float) -> float:
        """Return the share of all requests answered within a time."""
        return sum(t <= target_ms for t in self.took_ms) / max(1, self.asked)

    def p99_ms(self) -> float:
        """Return the time within which 99 in 100 answers came."""
        took_ms = sorted(self.took_ms) or [0.0]
        return took_ms[int(0.99 * (len(took_ms) - 1))]


class _Router:
    """The parts of a router that place requests."""

    def __init__(
        self,
        address: str,
        data_centre: str,
        clock: clock_module.Clock,
        by_load: selection.LoadPolicy,
    ) -> None:
        self.address = address
        self.data_centre = data_centre
        self.targets = targets_module.Targets(clock)
        self.peers = peers_module.Peers(address, data_centre, 0, clock)
        self.selection = selection.Selection(
            data_centre,
            self.targets,
            self.peers,
            prefix_locations.PrefixLocations(clock),
            clock,
            by_load,
        )
        self.sequence = 0

    def report(self) -> reports.Report:
        self.sequence += 1
        return reports.Report(
            address=self.address,
            data_centre=self.data_centre,
            started_ms=1,
            sequence=self.sequence,
            routers=1,
            is_fleet_total=False,
            store_up_ms=0,
            targets=self.targets.reports(),
            members={},
            prefix_locations={},
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Asker:
    """Who waits for an answer, since when, and what was known then."""

    router: _Router
    asked_ms: float
    sent_ms: float
    slot_free: bool


class _Server:
    def __init__(self) -> None:
        self.running = 0
        self.waiting: collections.deque[_Asker] = collections.deque()


class _World:
    """One run: events in the order of their time."""

    def __init__(
        self,
        load: Load,
        by_load: selection.LoadPolicy,
        refuses: Refuses,
        seed: int,
    ) -> None:
        self.load = load
        self._refuses = refuses
        self.random = random.Random(seed)
        self.outcome = Outcome()
        self._clock = clock_module.ManualClock()
        self._begin_ms = self._clock.now_ms()
        self._now_ms = 0.0
        self._events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._count = itertools.count()
        self._servers = {f"s{n}": _Server() for n in range(load.servers)}
        self._routers = {}
        for n in range(load.routers):
            centre = f"dc{n % load.data_centres}"
            address = f"10.0.{n // 200}.{n % 200}:1"
            self._routers[address] = _Router(
                address, centre, self._clock, by_load
            )
        self._introduce()

    def _introduce(self) -> None:
        for router in self._routers.values():
            for other in self._routers.values():
                router.peers.add(
                    other.address, reports.Member(other.data_centre, 0)
                )
            for n, name in enumerate(self._servers):
                centre = f"dc{n % self.load.data_centres}"
                router.targets.put(
                    targets_module.Listing(
                        name,
                        1,
                        SERVICE,
                        f"{name}:1",
                        centre,
                        self.load.slots,
                        False,
                        0,
                    )
                )

    def at(self, time_ms: float, event: abc.Callable[[], None]) -> None:
        heapq.heappush(self._events, (time_ms, next(self._count), event))

    def run(self) -> Outcome:
        end_ms = self.load.seconds * 1000
        time_ms = 0.0
        while time_ms < end_ms:
            time_ms += self.random.expovariate(self.load.rate_per_s / 1000)
            router = self.random.choice(list(self._routers.values()))
            self.at(time_ms, lambda router=router: self._ask(router))
        for router in self._routers.values():
            first_ms = self.random.random() * peers_module.REPORT_INTERVAL_MS
            self.at(first_ms, lambda router=router: self._report(router))
        while self._events and self._now_ms < end_ms:
            self._now_ms, _, event = heapq.heappop(self._events)
            late_ms = self._clock.now_ms() - self._begin_ms
            self._clock.advance(int(self._now_ms) - late_ms)
            event()
        return self.outcome

    def _report(self, router: _Router) -> None:
        for address, report in router.peers.outgoing(router.report()):
            self._routers[address].peers.receive(report)
        self.at(
            self._now_ms + peers_module.REPORT_INTERVAL_MS,
            lambda: self._report(router),
        )

    def _ask(self, router: _Router) -> None:
        self.outcome.asked += 1
        call = make_request(f"q{self.outcome.asked}")
        demand = router.selection.demand(SERVICE)
        chance = hashing.fraction(call.request_id)
        if self._refuses(demand, self.load.target_ms, chance):
            self.outcome.refused += 1
            return
        self._offer(router, call, self._now_ms, set())

    def _offer(
        self,
        router: _Router,
        call: messages.InboundRequest,
        asked_ms: float,
        tried: set[str],
    ) -> None:
        choice = router.selection.choose(call, ROUTE, SERVICE, tried)
        if choice is None:
            self.outcome.refused += 1
            return
        target = choice.target
        server = self._servers[target.target_id]
        free = router.selection.has_free_slot(target)
        asker = _Asker(router, asked_ms, self._now_ms, free)
        if server.running < self.load.slots:
            target.in_flight += 1
            self._begin(target.target_id, asker)
        elif len(server.waiting) < self.load.queued:
            target.in_flight += 1
            server.waiting.append(asker)
        else:
            self.outcome.rejected += 1
            tried.add(target.target_id)
            self.at(
                self._now_ms + HOP_MS,
                lambda: self._offer(router, call, asked_ms, tried),
            )

    def _begin(self, name: str, asker: _Asker) -> None:
        self._servers[name].running += 1
        mean = math.log(self.load.run_ms) - WORK_SIGMA**2 / 2
        run_ms = HOP_MS + self.random.lognormvariate(mean, WORK_SIGMA)
        self.at(self._now_ms + run_ms, lambda: self._end(name, asker))

    def _end(self, name: str, asker: _Asker) -> None:
        self.outcome.took_ms.append(self._now_ms - asker.asked_ms)
        if asker.slot_free:
            took_ms = self._now_ms - asker.sent_ms
            asker.router.selection.record_run_time(SERVICE, took_ms)
        target = asker.router.targets.get(name)
        if target is not None:
            target.in_flight -= 1
            target.health.record(failed=False)
        server = self._servers[name]
        server.running -= 1
        if server.waiting:
            self._begin(name, server.waiting.popleft())


ROUTE = routes.Route(
    name="order",
    host="example.test",
    path_prefix="/",
    kind=routes.Kind.NON_IDEMPOTENT,
    timeout_ms=4_000,
    target_latency_ms=400,
    max_gap_ms=0,
    priority=0,
    shares=(routes.Share(SERVICE, 1),),
    max_attempts=1,
    public=True,
    prefix_affinity=False,
    resumable=False,
)


def make_request(request_id: str) -> messages.InboundRequest:
    """Return a request for the service."""
    return messages.InboundRequest(
        request_id=request_id,
        method="POST",
        host="example.test",
        path="/",
        raw_target="/",
        headers=(),
        body=b"",
        key="",
        deadline_ms=None,
        resume_after=None,
        prompt=(),
        prompt_tokens=0,
        output_tokens=0,
    )


def least_loaded(
    candidates: abc.Sequence[placement.Candidate], unseen: float, spread: str
) -> placement.Candidate:
    """The simpler rule: whatever looks least loaded, news old or not."""
    return min(
        candidates,
        key=lambda c: (
            c.load,
            hashing.hash64((spread + c.target_id).encode()),
        ),
    )


def refuses_nothing(
    demand: overload.Demand, target_time_ms: float, chance: float
) -> bool:
    """The simpler rule: the servers turn away what their queues can't hold."""
    return False


def play(
    load: Load,
    by_load: selection.LoadPolicy = placement.choose_by_water_filling,
    refuses: Refuses = overload.should_refuse,
    seed: int = 1,
) -> Outcome:
    """Return what callers get under a load and some rules."""
    return _World(load, by_load, refuses, seed).run()


# Second letter's grown deployments: a service of three servers behind 88
# routers in three data centres, at its usual load.
GROWN = Load(88, 3, 3, 6, 24, 131, 72, 358, 20)
# The same with one server left: 131 requests a second for what does 83.
ONE_LEFT = dataclasses.replace(GROWN, servers=1)
# A small deployment, where every router hears every other.
SMALL = Load(7, 2, 3, 6, 24, 60, 72, 358, 20)
