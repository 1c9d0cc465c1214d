"""Estimate how slow targets are, relative to the normal time of work.

A target may state how long work takes there at the moment. The statement
counts less with its age, and what remains is a long-term estimate: how long
this router's own requests took there, relative to those at all targets of the
service.

Nothing is estimated before some target has stated how slow it is, so
deployments whose targets state only their load are served as before.
"""

import dataclasses
import logging
import math

LOG = logging.getLogger(__name__)

MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 4.0
# The statement changes in periods of about 600 ms, and slow periods are
# shorter. Its weight falls by a factor of e in this time.
REPORT_DECAY_MS = 150
# Below this weight a statement is ignored.
MIN_REPORT_WEIGHT = 0.02
# The weight of an own run halves in this time. One router has a few dozen runs
# a minute at each target of a large deployment.
RUN_HALF_LIFE_MS = 120_000
# Variance of the logarithm of the targets' slowness if a third of them are
# 1.3 times slower. Divided into the variance of single runs it gives the
# number of runs from which on their mean counts more than no knowledge.
PRIOR_VARIANCE = math.log(1.3) ** 2 * 2 / 9
# Lower limit of the variance of runs, so that a few equal ones aren't believed
# at once.
MIN_RUN_VARIANCE = 0.01
# Variance of runs until it has been measured, that of plain requests in
# bench/emulator.py.
DEFAULT_RUN_VARIANCE = 0.36
# Runs after which the variance and the mean of a service are known.
MIN_RUNS = 8
# A single run counts as at most this many times slower or faster than the
# mean, as a caller that reads slowly delays its stream at any target.
MAX_RUN_RATIO = 4.0
# Added to the squares of the loads, so that the effect of the load isn't
# inferred from small differences.
LOAD_SQUARES_OFFSET = 50.0
# Events of a stream without which their mean distance isn't used.
MIN_EVENTS = 4
# The estimate is computed again after this time, as it costs as much as a
# twentieth of a choice.
ESTIMATE_TTL_MS = 1_000
# Speeds count for this time after some target has stated how slow it is.
ACTIVE_MS = 600_000
# A change of a stated slowness by less than this isn't logged.
MIN_LOGGED_CHANGE = 0.25
LOG_INTERVAL_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Time that a target took for a unit of work.

    :param took_ms: how long it took, in ms.
    :param load: number of requests that shared the target's speed; 0 if they
        don't matter.
    :param of_events: whether the time is that between two events of a stream;
        otherwise it is that of a whole request.
    """

    took_ms: float
    load: int
    of_events: bool


class EventGaps:
    """The events of one stream, for the mean time between them."""

    __slots__ = ("_first_ms", "_last_ms", "_count")

    def __init__(self) -> None:
        self._first_ms: int | None = None
        self._last_ms = 0
        self._count = 0

    def record(self, count: int, now_ms: int) -> None:
        """Record events that arrived together.

        :param count: how many.
        :param now_ms: the time of the clock, in ms.
        """
        if self._first_ms is None:
            self._first_ms = now_ms
        else:
            self._count += count
        self._last_ms = now_ms

    def mean_ms(self) -> float | None:
        """Return the mean time between events; none after too few events."""
        if self._first_ms is None or self._count < MIN_EVENTS:
            return None
        return (self._last_ms - self._first_ms) / self._count


class Runs:
    """Weighted means of runs, whose weights decay with age.

    :ivar weight: sum of the weights as of `updated_ms`.
    :ivar load: mean load.
    :ivar logarithm: mean logarithm of the time.
    :ivar updated_ms: time of the latest run, in ms of the clock.
    """

    __slots__ = ("weight", "load", "logarithm", "updated_ms")

    def __init__(self) -> None:
        self.weight = 0.0
        self.load = 0.0
        self.logarithm = 0.0
        self.updated_ms = 0


class ServiceRuns:
    """Runs at all targets of a service.

    The squares and products are sums over differences from the mean of the
    same target. So the effect of the load isn't mixed up with the slowness of
    targets that get less load because they are slow.

    :ivar of_events: the kind of run that is compared, the first one seen.
    :ivar runs: means over all targets.
    :ivar count: number of differences.
    :ivar load_squares: sum of the squared differences of the load.
    :ivar products: sum of the products of both differences.
    :ivar squares: sum of the squared differences of the logarithm.
    :ivar slope: increase of the logarithm with each request of the load.
    :ivar variance: variance of the logarithm at the same target and load.
    """

    __slots__ = (
        "of_events",
        "runs",
        "count",
        "load_squares",
        "products",
        "squares",
        "slope",
        "variance",
    )

    def __init__(self, of_events: bool) -> None:
        self.of_events = of_events
        self.runs = Runs()
        self.count = 0.0
        self.load_squares = 0.0
        self.products = 0.0
        self.squares = 0.0
        self.slope = 0.0
        self.variance = DEFAULT_RUN_VARIANCE


class Speed:
    """What is known about the speed of one start of a target.

    :param target_id: the target's id, for logs.
    :param service: the service that it belongs to.

    :ivar reported: slowness that it stated last; none if it stated none.
    :ivar reported_ms: when it did, in ms of the clock.
    :ivar logged: slowness that was logged last.
    :ivar runs: this router's runs there; none without any.
    :ivar estimate: the long-term estimate from these runs.
    :ivar estimate_until_ms: when it is computed again, in ms of the clock.
    """

    __slots__ = (
        "target_id",
        "service",
        "reported",
        "reported_ms",
        "logged",
        "runs",
        "estimate",
        "estimate_until_ms",
    )

    def __init__(self, target_id: str, service: str) -> None:
        self.target_id = target_id
        self.service = service
        self.reported: float | None = None
        self.reported_ms = 0
        self.logged = 1.0
        self.runs: Runs | None = None
        self.estimate = 1.0
        self.estimate_until_ms = 0


class Speeds:
    """What the speeds of all targets have in common.

    :ivar active_until_ms: until when speeds count, in ms of the clock; saves a
        look at each target where none states a load.
    :ivar services: the runs of each service.
    :ivar logged_ms: when a slowness was last logged, in ms of the clock; none
        for never.
    """

    __slots__ = ("active_until_ms", "services", "logged_ms")

    def __init__(self) -> None:
        self.active_until_ms = 0
        self.services: dict[str, ServiceRuns] = {}
        self.logged_ms: int | None = None


def record_reported(
    speeds: Speeds, speed: Speed, reported: float | None, now_ms: int
) -> None:
    """Record that a target stated its load in a valid way.

    :param speeds: what the targets have in common.
    :param speed: the target's speed.
    :param reported: how long work takes there, as a multiple of the normal
        time; none if the target doesn't say.
    :param now_ms: the time of the clock, in ms.
    """
    if not is_active(speeds, now_ms):
        speeds.services.clear()
    speeds.active_until_ms = now_ms + ACTIVE_MS
    if reported is None:
        return
    speed.reported = _clamp(reported)
    speed.reported_ms = now_ms
    _log_change(speeds, speed, speed.reported, now_ms)


def _log_change(
    speeds: Speeds, speed: Speed, reported: float, now_ms: int
) -> None:
    if abs(reported - speed.logged) < MIN_LOGGED_CHANGE:
        return
    logged_ms = speeds.logged_ms
    if logged_ms is not None and now_ms - logged_ms < LOG_INTERVAL_MS:
        return
    LOG.info(
        "target.slowness",
        extra={
            "event": "target.slowness",
            "target": speed.target_id,
            "service": speed.service,
            "slowness": reported,
            "previous": speed.logged,
            "long_term": round(_long_term(speeds, speed, now_ms), 3),
        },
    )
    speeds.logged_ms = now_ms
    speed.logged = reported


def record_run(speeds: Speeds, speed: Speed, run: Run, now_ms: int) -> None:
    """Record how long a target took for work of one of this router's requests.

    Runs aren't recorded while no target states a load.

    :param speeds: what the targets have in common.
    :param speed: the target's speed.
    :param run: the run.
    :param now_ms: the time of the clock, in ms.
    """
    if run.took_ms <= 0 or not is_active(speeds, now_ms):
        return
    service = speeds.services.get(speed.service)
    if service is None:
        service = speeds.services[speed.service] = ServiceRuns(run.of_events)
    if service.of_events is not run.of_events:
        return
    logarithm = math.log(run.took_ms)
    if service.runs.weight >= MIN_RUNS:
        limit = math.log(MAX_RUN_RATIO)
        mean = service.runs.logarithm
        logarithm = min(mean + limit, max(mean - limit, logarithm))
    if speed.runs is None:
        speed.runs = Runs()
    else:
        _add_difference(service, speed.runs, run.load, logarithm, now_ms)
    _add(speed.runs, run.load, logarithm, now_ms)
    _add(service.runs, run.load, logarithm, now_ms)


def _add(runs: Runs, load: int, logarithm: float, now_ms: int) -> None:
    runs.weight = _weight(runs, now_ms) + 1
    runs.updated_ms = now_ms
    runs.load += (load - runs.load) / runs.weight
    runs.logarithm += (logarithm - runs.logarithm) / runs.weight


def _weight(runs: Runs, now_ms: int) -> float:
    return runs.weight * _remaining(now_ms - runs.updated_ms)


def _remaining(age_ms: int) -> float:
    return math.exp2(-age_ms / RUN_HALF_LIFE_MS)


def _add_difference(
    service: ServiceRuns, runs: Runs, load: int, logarithm: float, now_ms: int
) -> None:
    """Add the difference of a run from the earlier ones at its target."""
    remaining = _remaining(now_ms - service.runs.updated_ms)
    weight = _weight(runs, now_ms)
    share = weight / (weight + 1)
    more_load = load - runs.load
    longer = logarithm - runs.logarithm
    service.count = service.count * remaining + share
    service.load_squares = (
        service.load_squares * remaining + share * more_load * more_load
    )
    service.products = (
        service.products * remaining + share * more_load * longer
    )
    service.squares = service.squares * remaining + share * longer * longer
    # A higher load makes no target faster.
    service.slope = max(
        0.0, service.products / (service.load_squares + LOAD_SQUARES_OFFSET)
    )
    if service.count >= MIN_RUNS:
        explained = service.slope * service.products
        service.variance = max(
            MIN_RUN_VARIANCE, (service.squares - explained) / service.count
        )


def is_active(speeds: Speeds, now_ms: int) -> bool:
    """Return whether any target may have a slowness other than 1.0."""
    return now_ms < speeds.active_until_ms


def slowness(
    speeds: Speeds, speed: Speed, now_ms: int, work_ms: float = 0.0
) -> float:
    """Return how long work takes at a target.

    :param speeds: what the targets have in common.
    :param speed: the target's speed.
    :param now_ms: the time of the clock, in ms.
    :param work_ms: normal time of the work, in ms. What the target states
        counts only for the time during which it probably holds.
    :return: a multiple of the normal time; 1.0 if nothing is known.
    """
    if not is_active(speeds, now_ms):
        return 1.0
    long_term = _long_term(speeds, speed, now_ms)
    reported = speed.reported
    if reported is None:
        return long_term
    weight = math.exp((speed.reported_ms - now_ms) / REPORT_DECAY_MS)
    if weight < MIN_REPORT_WEIGHT:
        return long_term
    if reported * work_ms > REPORT_DECAY_MS:
        weight *= REPORT_DECAY_MS / (reported * work_ms)
    return long_term + weight * (reported - long_term)


def _long_term(speeds: Speeds, speed: Speed, now_ms: int) -> float:
    """Return the estimate from own runs; 1.0 without any."""
    if speed.runs is None:
        return 1.0
    if now_ms >= speed.estimate_until_ms:
        speed.estimate = _estimate(speeds, speed, speed.runs, now_ms)
        speed.estimate_until_ms = now_ms + ESTIMATE_TTL_MS
    return speed.estimate


def _estimate(speeds: Speeds, speed: Speed, runs: Runs, now_ms: int) -> float:
    service = speeds.services.get(speed.service)
    if service is None:
        return 1.0
    weight = _weight(runs, now_ms)
    believed = weight / (weight + service.variance / PRIOR_VARIANCE)
    longer = runs.logarithm - service.runs.logarithm
    expected = service.slope * (runs.load - service.runs.load)
    return _clamp(math.exp(believed * (longer - expected)))


def _clamp(factor: float) -> float:
    return min(MAX_SLOWNESS, max(MIN_SLOWNESS, factor))
