"""Decide what a data centre sends to the others.

Each router decides for itself, for its own data centre, from the reported
load. It compares the expected wait at the targets of its data centre with the
wait elsewhere plus the cost of crossing, and sends away the share of the
requests that makes both equal.

Reports are 0.2 to 3 s old, and all data centres decide at the same time. A
share that is corrected by the load it has caused would oscillate: the load
follows the share late. Therefore the demand of the data centre is estimated
from the reported load and the share that was in force when that load was
placed. The demand and the load of all data centres together don't depend on
the share, so the share that is computed from them doesn't either.
"""

import collections
from collections import abc
import dataclasses
import math

# Shares are computed at most this often per service, as reports arrive no more
# often.
INTERVAL_MS = 250
# Services with more targets are updated less often, as their reports arrive
# less often as well. At 2,000 targets an update takes about 4 ms.
TARGETS_PER_INTERVAL = 700
# A difference of load between data centres has often gone by the time that it
# is reported. Where a request may cross for it, the requests not reported yet
# count this many times, so that fewer follow the difference. In the emulator,
# at 0.8 of the capacity of three targets, 0.0072 of the requests were refused
# at 1.0, 0.0032 at 1.5 and 0.014 at 0.6 (means of six seeds).
CAUTION = 2.0
# A request and its response cross once each.
CROSSING_MS = 2 * 0.9
# What a crossing costs besides its time, as time to the answer, at a remote
# cost of 1. With the crossing time it makes the constant penalty of 0.75
# requests for a run time of 72 ms and six slots.
PRICE_MS = 7.2
# Assumed until a run time is known.
UNKNOWN_RUN_MS = 72.0
# Engines read this many prompt tokens per ms.
READ_TOKENS_PER_MS = 66
# Reading a prefix in one more data centre also delays the requests that run
# there, and takes memory that other prefixes lose.
READING_FACTOR = 4.0
# Time in which the estimates of demand and load follow a change. A target
# with six slots has four requests, plus or minus two, from chance alone. With
# 1,500 ms the share turned twice in 2 of 16 emulated steps of load on reports
# that were 0.75 and 3 s old, with 2,500 ms in 1 of 16.
SMOOTHING_MS = 2_500
# The share follows the computed one at least this slowly.
MIN_DAMPING_MS = 500
# A data centre that sends nothing away starts at this share, and one that does
# stops at the lower one. In between, changes below MIN_CHANGE are ignored.
START_SHARE = 0.05
STOP_SHARE = 0.02
MIN_CHANGE = 0.03
# A queue that grew until reports told of it is no demand. Load counts up to
# this part of the slots, or of the others' use of theirs if that is higher.
MAX_OBSERVED_USE = 2.0
MAX_OBSERVED_RATIO = 1.5
# Above this share the load at home says little about the demand.
MAX_OBSERVED_SHARE = 0.9
# While its targets have any slots, a data centre keeps some requests, so that
# their health and load remain known.
MAX_SHARE = 0.95
# Shares are remembered for the age of a report and a run time.
MAX_SHARES = 32
# Bounds on the load of a target, below those of placement.load_bound: requests
# placed since the report add to it.
BOUND_MEAN_FACTOR = 1.8
BOUND_OFFSET = 1.5
# A data centre has no more room for short prefixes when its slots are in use
# above this part and more than the others' by ROOM_FACTOR. It has room again
# below the lower values.
FULL_USE = 0.8
ROOM_FACTOR = 1.25
ROOM_AGAIN_USE = 0.7
ROOM_AGAIN_FACTOR = 1.05
# Time between two logged changes of a service.
LOG_INTERVAL_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Targets with room in one data centre or in several, and their load.

    Unreachable, cold and evacuated targets have no room.

    :param load: number of all routers' requests at these targets.
    :param slots: number of requests that they run concurrently.
    :param targets: number of these targets.
    :param data_centres: number of data centres with such targets.
    """

    load: float
    slots: int
    targets: int
    data_centres: int = 1

    @property
    def use(self) -> float:
        """Load relative to the slots."""
        return self.load / self.slots if self.slots else math.inf


NOTHING = Capacity(0, 0, 0, 0)


class State:
    """What a router knows of one service and its data centre.

    :ivar splits: whether requests are sent away by the share. Prompts aren't,
        and need to know only about the room.
    :ivar share: share of the data centre's requests sent to others.
    :ivar penalty: load that counts as much as a crossing, in requests.
    :ivar has_room: whether short prefixes are served in the data centre.
    :ivar demand: estimated load that the data centre's requests would cause
        if all stayed; none before the first estimate.
    :ivar total: estimated load at the targets of all data centres.
    :ivar updated_ms: time of the last update, in ms of the clock; none before
        the first one.
    :ivar due_ms: time of the next update, in ms of the clock.
    :ivar shares: the shares in force since given times, in ms of the clock,
        the latest one last.
    :ivar logged_band: the band that was logged last.
    :ivar logged_ms: when it was logged, in ms of the clock.
    """

    __slots__ = (
        "splits",
        "share",
        "penalty",
        "has_room",
        "demand",
        "total",
        "updated_ms",
        "due_ms",
        "shares",
        "logged_band",
        "logged_ms",
    )

    def __init__(self) -> None:
        self.splits = False
        self.share = 0.0
        self.penalty = 0.0
        self.has_room = True
        self.demand: float | None = None
        self.total = 0.0
        self.updated_ms: int | None = None
        self.due_ms = 0
        self.shares: collections.deque[tuple[int, float]] = collections.deque(
            maxlen=MAX_SHARES
        )
        self.logged_band = "none"
        self.logged_ms: int | None = None


def crossing_cost_ms(remote_cost: float) -> float:
    """Return the cost of a crossing as time to the answer, in ms.

    :param remote_cost: price of a crossing; 1 is the default, 0 is free.
    """
    return CROSSING_MS + PRICE_MS * remote_cost


def remote_penalty(remote_cost: float, run_ms: float, slots: float) -> float:
    """Return the load that counts as much as a crossing, in requests.

    One more request at a target delays the next by a run time divided by the
    slots.

    :param remote_cost: price of a crossing.
    :param run_ms: mean run time of a request, in ms; 0 if not known.
    :param slots: mean slots of a target.
    """
    return crossing_cost_ms(remote_cost) * slots / (run_ms or UNKNOWN_RUN_MS)


def max_short_prefix_tokens(remote_cost: float) -> int:
    """Return the length up to which a prefix is read in each data centre.

    :param remote_cost: price of a crossing.
    :return: the length, in tokens.
    """
    saved_ms = crossing_cost_ms(remote_cost) / READING_FACTOR
    return int(saved_ms * READ_TOKENS_PER_MS)


def expected_wait_ms(load: float, slots: float, run_ms: float) -> float:
    """Return the expected wait of a new request for a slot, in ms.

    The load varies around its mean by about its square root.

    :param load: mean number of requests.
    :param slots: number of requests that run concurrently.
    :param run_ms: mean run time of a request, in ms.
    """
    if slots <= 0:
        return math.inf
    sigma = math.sqrt(max(load, 1.0))
    excess = load + 1 - slots
    z = excess / sigma
    density = math.exp(-z * z / 2) / math.sqrt(2 * math.pi)
    below = (1 + math.erf(z / math.sqrt(2))) / 2
    return max(0.0, sigma * density + excess * below) / slots * run_ms


def load_to_keep(
    demand: float,
    others_load: float,
    own: Capacity,
    others: Capacity,
    run_ms: float,
    crossing_ms: float,
) -> float:
    """Return the part of its load that a data centre should keep.

    At this load the wait at home equals the wait elsewhere plus the crossing.
    The load that it doesn't keep is added to that of the others. The others
    count as one, as whichever of them is short sends its excess away as well.

    :param demand: load that the data centre's requests cause.
    :param others_load: load at the other data centres without it.
    :param own: the data centre's targets with room.
    :param others: those of the other data centres.
    :param run_ms: mean run time of a request, in ms.
    :param crossing_ms: cost of a crossing, in ms.
    """
    if not others.slots:
        return demand
    if not own.slots:
        return 0.0

    def pays(kept: float) -> bool:
        elsewhere = others_load + demand - kept
        wait_ms = expected_wait_ms(
            elsewhere / others.data_centres,
            others.slots / others.data_centres,
            run_ms,
        )
        return (
            expected_wait_ms(kept, own.slots, run_ms) > wait_ms + crossing_ms
        )

    mean = (others_load + demand) / (own.targets + others.targets)
    bound = own.targets * (mean * BOUND_MEAN_FACTOR + BOUND_OFFSET)
    low, high = 0.0, min(demand, bound)
    if not pays(high):
        return high
    # Halving 16 times leaves an error far below one request.
    for _ in range(16):
        middle = (low + high) / 2
        if pays(middle):
            high = middle
        else:
            low = middle
    return low


def update(
    state: State,
    own: Capacity,
    others: Capacity,
    now_ms: int,
    age_ms: float,
    run_ms: float,
    remote_cost: float,
) -> None:
    """Update the share that is sent away and the room for short prefixes.

    :param state: the state to update.
    :param own: targets with room in the own data centre.
    :param others: targets with room in all others.
    :param now_ms: the time, in ms of the clock.
    :param age_ms: maximum age of the reported load, in ms.
    :param run_ms: mean run time of a request, in ms; 0 if not known.
    :param remote_cost: price of a crossing.
    """
    run_ms = run_ms or UNKNOWN_RUN_MS
    since_ms = INTERVAL_MS
    if state.updated_ms is not None:
        since_ms = now_ms - state.updated_ms
    state.updated_ms = now_ms
    targets = own.targets + others.targets
    state.due_ms = now_ms + int(
        INTERVAL_MS * max(1.0, targets / TARGETS_PER_INTERVAL)
    )
    slots = own.slots + others.slots
    state.penalty = remote_penalty(
        remote_cost, run_ms, slots / max(1, targets)
    )
    _update_room(state, own, others)
    if not state.splits:
        return
    _observe(state, own, others, now_ms - (age_ms + run_ms) / 2, since_ms)
    demand = state.demand or 0.0
    if not own.slots or not others.slots:
        # Nothing is left to weigh. Targets that are back take the requests
        # over again step by step.
        state.share = 1.0 if others.slots else 0.0
    else:
        kept = load_to_keep(
            demand,
            max(0.0, state.total - demand),
            own,
            others,
            run_ms,
            crossing_cost_ms(remote_cost),
        )
        wanted = min(MAX_SHARE, 1 - kept / demand) if demand > 0 else 0.0
        damping_ms = max(MIN_DAMPING_MS, age_ms)
        state.share = _step(
            state.share, wanted, since_ms / (since_ms + damping_ms)
        )
    state.shares.append((now_ms, state.share))


def _step(share: float, wanted: float, gain: float) -> float:
    """Return the next share on the way to the wanted one."""
    if wanted < (STOP_SHARE if share else START_SHARE):
        wanted = 0.0
    elif abs(wanted - share) < MIN_CHANGE:
        return share
    share += (wanted - share) * gain
    return 0.0 if not wanted and share < STOP_SHARE else share


def _observe(
    state: State,
    own: Capacity,
    others: Capacity,
    placed_ms: float,
    since_ms: int,
) -> None:
    """Update the estimates of the demand and of the load everywhere.

    :param placed_ms: when the reported load was placed, on average, in ms of
        the clock.
    :param since_ms: time since the last update, in ms.
    """
    weight = since_ms / (since_ms + SMOOTHING_MS)
    share = _share_at(state, placed_ms)
    load = min(
        own.load,
        own.slots
        * max(
            MAX_OBSERVED_USE,
            MAX_OBSERVED_RATIO * others.use if others.slots else math.inf,
        ),
    )
    total = load + others.load
    if state.demand is None:
        state.demand, state.total = load, total
        return
    state.total += (total - state.total) * weight
    if share <= MAX_OBSERVED_SHARE and own.slots:
        demand = load / (1 - share)
        state.demand += (demand - state.demand) * weight
    state.demand = min(state.demand, state.total)


def _share_at(state: State, time_ms: float) -> float:
    """Return the share that was in force at a time."""
    for since_ms, share in reversed(state.shares):
        if since_ms <= time_ms:
            return share
    return state.shares[0][1] if state.shares else 0.0


def _update_room(state: State, own: Capacity, others: Capacity) -> None:
    """Decide whether the own data centre has room for short prefixes."""
    if not own.slots:
        state.has_room = False
        return
    all_use = (own.load + others.load) / (own.slots + others.slots)
    if state.has_room:
        state.has_room = own.use <= max(FULL_USE, all_use * ROOM_FACTOR)
    else:
        state.has_room = own.use <= max(
            ROOM_AGAIN_USE, all_use * ROOM_AGAIN_FACTOR
        )


def band(share: float) -> str:
    """Return the band of a share for the log: none, some or most."""
    if share <= 0:
        return "none"
    return "some" if share < 0.5 else "most"


def take_change(state: State, now_ms: int) -> str | None:
    """Return the band to log now; none if there is nothing to log.

    :param state: the state; the band counts as logged from now on.
    :param now_ms: the time, in ms of the clock.
    """
    current = band(state.share)
    if current == state.logged_band:
        return None
    if (
        state.logged_ms is not None
        and now_ms - state.logged_ms < LOG_INTERVAL_MS
    ):
        return None
    state.logged_band, state.logged_ms = current, now_ms
    return current


def add_up(parts: abc.Iterable[tuple[str, float, int]]) -> dict[str, Capacity]:
    """Return the capacity of each data centre.

    :param parts: data centre, load and slots of each target with room.
    """
    sums: dict[str, list[float]] = {}
    for data_centre, load, slots in parts:
        entry = sums.setdefault(data_centre, [0.0, 0, 0])
        entry[0] += load
        entry[1] += slots
        entry[2] += 1
    return {
        name: Capacity(load, int(slots), int(targets))
        for name, (load, slots, targets) in sums.items()
    }


def sum_of_others(
    capacities: abc.Mapping[str, Capacity], own: str
) -> Capacity:
    """Return the capacity of all data centres but one.

    :param capacities: capacity by data centre.
    :param own: the data centre that is left out.
    """
    others = [c for name, c in capacities.items() if name != own]
    return Capacity(
        sum(c.load for c in others),
        sum(c.slots for c in others),
        sum(c.targets for c in others),
        len(others),
    )
