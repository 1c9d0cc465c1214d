"""Decide who is served while a service is short of capacity.

The load determines which share of a service's requests can be served in time.
That share is given to the more urgent ranks first, and within a rank to the
teams in equal parts, as far as they ask for them. Each router decides by
itself, from reported load and from the requests that it saw recently.
"""

from collections import abc
import copy
import dataclasses
import logging
import math

from bulrushdale import clock as clock_module
from bulrushdale import hashing
from bulrushdale import results
from bulrushdale.routing import access
from bulrushdale.routing import messages
from bulrushdale.routing import overload
from bulrushdale.routing import refusals

LOG = logging.getLogger(__name__)

# Ranks beyond this count as this one, so that state stays bounded.
MAX_RANK = 7
# Each rank and team is served at least this part of the mean share. Users
# regard less than 0.25 as starved; the difference covers random variation.
FLOOR_SHARE = 0.35
# Time constant of the counts of recent requests. A router of a large fleet
# sees a few requests of a service per second, so that some tens count.
DEMAND_DECAY_MS = 10_000
# A team without a request for this long isn't active any more.
DEMAND_TTL_MS = 30_000
# Teams counted separately for each service; further ones share one count.
MAX_TEAMS = 256
OTHER_TEAMS = ""
# The load of an engine's service is computed at most this often, as it costs
# time for each target. Reports of other routers are older than this.
LOAD_TTL_MS = 100
# In large services the time grows with the slots, to 1,000 ms at 2,000 targets
# of 12 slots. Their load is reported within 2 s.
SLOTS_PER_TTL_MS = 24
# A service without a refusal for this long is no longer short.
REFUSING_ENDS_MS = 2_000
# Wait that the control of the admitted share aims at, as a share of the time
# within which responses are useful.
AIM_SHARE = 0.5
# Gains of the control: of the present deviation from that wait, and of its
# sum, per second. Reports of load are up to 750 ms old, in which the queues of
# short requests fill several times, so that higher gains make the load swing
# between empty and full.
PROPORTIONAL_GAIN = 0.4
INTEGRAL_GAIN_PER_S = 0.8
# Part of the sum that is lost per second. Without it routers whose measured
# run times differ would drift apart.
LEAK_PER_S = 0.1
# The same while slots are free, so that refusals end soon after a shortage.
RELEASE_PER_S = 0.7
MAX_PRESSURE = 4.0
# Callers wait as told for at most this part of their remaining time.
HONOURED_SHARE = 1 / 3


@dataclasses.dataclass(frozen=True, slots=True)
class Applicant:
    """What decides on the admission of a request.

    :param request_id: determines the request's random number.
    :param rank: its rank, 0 for the most urgent.
    :param team: its team; empty for none.
    :param target_latency_ms: time within which the response, or the first
        event, should arrive, in ms; 0 if there is none.
    :param remaining_ms: time until its deadline, in ms.
    :param batched: whether engines run it.
    """

    request_id: str
    rank: int
    team: str
    target_latency_ms: float
    remaining_ms: float
    batched: bool

    @property
    def allowed_ms(self) -> float:
        """Time within which a response is useful, in ms; 0 for any."""
        if self.target_latency_ms <= 0:
            return 0.0
        return max(1.0, min(self.target_latency_ms, self.remaining_ms))


def applicant(
    request: messages.InboundRequest,
    admitted: access.AdmittedRequest,
    remaining_ms: float,
) -> Applicant:
    """Return what decides on the admission of a request.

    A stream that is taken up is as urgent as any, as part of it was served.

    :param request: the request.
    :param admitted: its route and team.
    :param remaining_ms: time until its deadline, in ms.
    """
    started = request.resume_after is not None
    team = admitted.team
    return Applicant(
        request.request_id,
        0 if started else admitted.priority,
        team.name if team is not None else "",
        admitted.route.target_latency_ms,
        remaining_ms,
        admitted.route.prefix_affinity,
    )


def draw(request_id: str) -> float:
    """Return the random number of a request, from 0 to below 1.

    It must not depend on the number that picks the request's target: if only
    requests with low numbers were admitted, they would all go to the same few
    targets.

    :param request_id: id of the request.
    """
    return hashing.fraction("admission " + request_id)


def expected_wait_ms(
    service_load: overload.ServiceLoad, batched: bool
) -> float:
    """Return the wait that decides on a refusal, in ms; 0 for no shortage.

    It is the time until a plain request is answered, or until an engine
    starts a request: a batch that has room only gets slower.
    """
    if batched:
        return service_load.expected_start_ms()
    return service_load.expected_response_ms()


def deviation(wait_ms: float, allowed_ms: float) -> float:
    """Return how far a wait is from the one that is aimed at, from -1 on.

    :param wait_ms: expected wait of a request, in ms; 0 for no shortage.
    :param allowed_ms: time within which responses are useful, in ms.
    """
    return wait_ms / (AIM_SHARE * allowed_ms) - 1


def next_pressure(pressure: float, excess: float, elapsed_ms: float) -> float:
    """Return the pressure after some time.

    The pressure is the negative logarithm of the admitted share.

    :param pressure: the pressure before; 0 if all requests are admitted.
    :param excess: deviation from the aimed wait, -1 while slots are free.
    :param elapsed_ms: time since then, in ms.
    """
    elapsed_s = elapsed_ms / 1_000
    leak_per_s = RELEASE_PER_S
    if excess > -1:
        # A router that saw no request doesn't know the load meanwhile.
        elapsed_s = min(elapsed_s, 1.0)
        leak_per_s = LEAK_PER_S
    pressure += elapsed_s * (
        INTEGRAL_GAIN_PER_S * excess - leak_per_s * pressure
    )
    return min(MAX_PRESSURE, max(0.0, pressure))


def steady_share(pressure: float, excess: float) -> float:
    """Return the admitted share of all requests, from 0 to 1.

    :param pressure: from :func:`next_pressure`.
    :param excess: deviation from the aimed wait.
    """
    return math.exp(-max(0.0, pressure + PROPORTIONAL_GAIN * excess))


def rank_shares(demand: abc.Sequence[float], mean_share: float) -> list[float]:
    """Return the share of each rank's requests that is admitted.

    Every rank gets the floor. What is left goes to the ranks in order, so a
    rank is refused requests only once all less urgent ones are at the floor.

    :param demand: recent requests by rank, 0 first.
    :param mean_share: admitted share of all requests, from 0 to 1.
    """
    floor = FLOOR_SHARE * mean_share
    left = sum(demand) * (mean_share - floor)
    shares = []
    for requests in demand:
        wanted = requests * (1 - floor)
        given = min(wanted, left)
        left -= given
        if wanted > 0:
            extra = given / wanted * (1 - floor)
        else:
            extra = (1 - floor) if left > 0 else 0.0
        shares.append(min(1.0, floor + extra))
    # Rounding must not put a less urgent rank before a more urgent one.
    for rank in range(len(shares) - 2, -1, -1):
        shares[rank] = max(shares[rank], shares[rank + 1])
    return shares


def team_share(
    demand: abc.Mapping[str, float], mean_share: float, team: str
) -> float:
    """Return the share of a team's requests that is admitted.

    Teams are admitted up to one common number of requests. A team below it
    is served fully; one whose traffic surges gets what the others leave.

    :param demand: recent requests of one rank by team.
    :param mean_share: admitted share of all these requests, from 0 to 1.
    :param team: one of the teams.
    """
    if len(demand) < 2:
        return mean_share
    floor = FLOOR_SHARE * mean_share
    left = sum(demand.values()) * (mean_share - floor)
    wanted = sorted(requests * (1 - floor) for requests in demand.values())
    level = 0.0
    for index, requests in enumerate(wanted):
        level = left / (len(wanted) - index)
        if requests >= level:
            break
        left -= requests
    else:
        return 1.0
    return min(1.0, floor + min(1 - floor, level / demand[team]))


def retry_times_ms(wait_ms: float, remaining_ms: float) -> tuple[int, int]:
    """Return when a refused caller is to return.

    :param wait_ms: expected wait of a request, in ms.
    :param remaining_ms: time until the caller's deadline, in ms.
    :return: the earliest time and the range of the random delay added to it,
        in ms. Both together stay within the time that callers honour;
        otherwise those with equal deadlines would return at once.
    """
    honoured_ms = max(2, int(remaining_ms * HONOURED_SHARE))
    earliest_ms = max(1, min(int(wait_ms), honoured_ms // 2))
    spread_ms = max(refusals.RETRY_JITTER_MS, earliest_ms)
    return earliest_ms, min(spread_ms, honoured_ms - earliest_ms)


class _Count:
    """A number of recent requests, which decays."""

    __slots__ = ("_requests", "updated_ms")

    def __init__(self, now_ms: int) -> None:
        self._requests = 0.0
        self.updated_ms = now_ms

    def add(self, now_ms: int) -> None:
        self._requests = self.value(now_ms) + 1
        self.updated_ms = now_ms

    def value(self, now_ms: int) -> float:
        age_ms = now_ms - self.updated_ms
        return self._requests * math.exp(-age_ms / DEMAND_DECAY_MS)


class _Service:
    """Recent requests of one service at this router."""

    __slots__ = (
        "counts",
        "allowed_ms",
        "load",
        "load_as_of_ms",
        "pressure",
        "pressure_as_of_ms",
        "refusing_since_ms",
        "refused_ms",
        "refused",
    )

    def __init__(self) -> None:
        # By rank and team.
        self.counts: dict[tuple[int, str], _Count] = {}
        # Mean time within which responses are useful, by rank.
        self.allowed_ms: dict[int, float] = {}
        self.load: overload.ServiceLoad | None = None
        self.load_as_of_ms = 0
        self.pressure = 0.0
        self.pressure_as_of_ms = 0
        self.refusing_since_ms: int | None = None
        self.refused_ms = 0
        self.refused = 0

    def record(
        self, rank: int, team: str, allowed_ms: float, now_ms: int
    ) -> str:
        """Count a request, and return the team that it is counted for."""
        count = self.counts.get((rank, team))
        if count is None:
            if len(self.counts) >= MAX_TEAMS:
                self.expire(now_ms)
            if len(self.counts) >= MAX_TEAMS:
                team = OTHER_TEAMS
            count = self.counts.setdefault((rank, team), _Count(now_ms))
        count.add(now_ms)
        mean_ms = self.allowed_ms.get(rank, allowed_ms)
        self.allowed_ms[rank] = mean_ms + overload.RUN_TIME_SMOOTHING * (
            allowed_ms - mean_ms
        )
        return team

    @property
    def has_kinds(self) -> bool:
        """Whether recent requests differ in rank or team."""
        return len(self.counts) > 1

    def expire(self, now_ms: int) -> None:
        """Forget teams without recent requests."""
        oldest_ms = now_ms - DEMAND_TTL_MS
        for key, count in list(self.counts.items()):
            if count.updated_ms < oldest_ms:
                del self.counts[key]
        ranks = {rank for rank, _ in self.counts}
        for rank in list(self.allowed_ms):
            if rank not in ranks:
                del self.allowed_ms[rank]


class Admission:
    """Decides on requests by load, rank and team.

    :param clock: the clock.
    """

    __slots__ = ("_clock", "_services")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._services: dict[str, _Service] = {}

    def check(
        self,
        service: str,
        applicant: Applicant,
        read_load: abc.Callable[[], overload.ServiceLoad],
        record: bool = True,
    ) -> None:
        """Refuse a request at once if the service is short of capacity.

        :param service: the service that is to run it.
        :param applicant: the request.
        :param read_load: returns load, capacity and run time of the service.
        :param record: whether to count the request; otherwise nothing changes.
        :raises RefusedError: if it is refused, with the time to retry after.
        """
        share, service_load = self.admitted_share(
            service, applicant, read_load, record
        )
        if draw(applicant.request_id) < share:
            return
        wait_ms = expected_wait_ms(service_load, applicant.batched)
        if record:
            self._record_refusal(service, service_load, wait_ms)
        earliest_ms, spread_ms = retry_times_ms(
            wait_ms, applicant.remaining_ms
        )
        raise refusals.refuse(
            results.Code.QUEUE_FULL,
            f"{service_load.load} requests for {service_load.slots} slots, "
            f"expected wait {int(wait_ms)} ms",
            earliest_ms,
            spread_ms,
        )

    def admitted_share(
        self,
        service: str,
        applicant: Applicant,
        read_load: abc.Callable[[], overload.ServiceLoad],
        record: bool = True,
    ) -> tuple[float, overload.ServiceLoad]:
        """Count a request, and return the share of its like to admit.

        The parameters are those of :meth:`check`.

        :return: the share, from 0 to 1, and the load that it is based on.
        """
        now_ms = self._clock.now_ms()
        state = self._services.get(service) or _Service()
        if record:
            self._services[service] = state
        else:
            state = copy.deepcopy(state)
        rank = min(max(applicant.rank, 0), MAX_RANK)
        allowed_ms = applicant.allowed_ms
        service_load = _current_load(state, applicant, read_load, now_ms)
        if not allowed_ms:
            return 1.0, service_load
        team = state.record(rank, applicant.team, allowed_ms, now_ms)
        if state.has_kinds or applicant.batched:
            service_load = service_load.with_bounded_run_time()
        wait_ms = expected_wait_ms(service_load, applicant.batched)
        if not wait_ms and not state.pressure:
            return 1.0, service_load
        return (
            _share(state, applicant, rank, team, wait_ms, now_ms),
            service_load,
        )

    def _record_refusal(
        self,
        service: str,
        service_load: overload.ServiceLoad,
        wait_ms: float,
    ) -> None:
        state = self._services[service]
        state.refused_ms = self._clock.now_ms()
        state.refused += 1
        if state.refusing_since_ms is None:
            state.refusing_since_ms = state.refused_ms
            LOG.warning(
                "requests are refused",
                extra={
                    "event": "overload.refusing",
                    "state": "started",
                    "service": service,
                    "load": service_load.load,
                    "slots": service_load.slots,
                    "wait_ms": int(wait_ms),
                },
            )

    def expire(self) -> None:
        """Note the end of shortages, and forget old requests."""
        now_ms = self._clock.now_ms()
        for service, state in list(self._services.items()):
            if (
                state.refusing_since_ms is not None
                and now_ms - state.refused_ms >= REFUSING_ENDS_MS
            ):
                LOG.warning(
                    "requests are not refused any more",
                    extra={
                        "event": "overload.refusing",
                        "state": "ended",
                        "service": service,
                        "refused": state.refused,
                        "took_ms": state.refused_ms - state.refusing_since_ms,
                    },
                )
                state.refusing_since_ms = None
                state.refused = 0
            state.expire(now_ms)
            if not state.counts and state.refusing_since_ms is None:
                del self._services[service]


def _current_load(
    state: _Service,
    applicant: Applicant,
    read_load: abc.Callable[[], overload.ServiceLoad],
    now_ms: int,
) -> overload.ServiceLoad:
    """Return the load of a service, which may be old for engines."""
    load = state.load
    if (
        not applicant.batched
        or load is None
        or now_ms - state.load_as_of_ms
        >= max(LOAD_TTL_MS, load.slots / SLOTS_PER_TTL_MS)
    ):
        state.load = load = read_load()
        state.load_as_of_ms = now_ms
    return load


def _share(
    state: _Service,
    applicant: Applicant,
    rank: int,
    team: str,
    wait_ms: float,
    now_ms: int,
) -> float:
    """Return the admitted share of requests like one, from 0 to 1."""
    demand = [0.0] * (MAX_RANK + 1)
    team_demand: dict[str, float] = {}
    for (other_rank, other_team), count in state.counts.items():
        requests = count.value(now_ms)
        demand[other_rank] += requests
        if other_rank == rank:
            team_demand[other_team] = requests
    # A less urgent request must not make a more urgent one late, so the
    # strictest time of the ranks before it applies to it as well.
    strictest_ms = math.inf
    mean_share = mean_allowed_ms = 0.0
    rank_share = own_share = 1.0
    for other_rank, requests in enumerate(demand):
        if not requests:
            continue
        before_ms = strictest_ms
        allowed_ms = state.allowed_ms[other_rank]
        strictest_ms = min(strictest_ms, allowed_ms)
        share = 1 - overload.refused_share(wait_ms, strictest_ms)
        mean_share += requests / sum(demand) * share
        mean_allowed_ms += requests / sum(demand) * allowed_ms
        if other_rank == rank:
            rank_share = share
            own_share = 1 - overload.refused_share(
                wait_ms, min(before_ms, applicant.allowed_ms)
            )
    if state.has_kinds or applicant.batched:
        excess = deviation(wait_ms, mean_allowed_ms)
        state.pressure = next_pressure(
            state.pressure, excess, now_ms - state.pressure_as_of_ms
        )
        state.pressure_as_of_ms = now_ms
        mean_share = min(mean_share, steady_share(state.pressure, excess))
    if rank_share <= 0:
        return own_share
    admitted = rank_shares(demand, min(1.0, mean_share))[rank]
    share = team_share(team_demand, admitted, team)
    # Requests of one rank differ in their times.
    return min(1.0, share * own_share / rank_share)
