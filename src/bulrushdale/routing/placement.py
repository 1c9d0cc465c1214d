"""Compute which target gets a request.

All routers compute the same placement without coordination. Rendezvous
hashing of the longest shared prefix sends requests that share it to one
target, whichever router they come through. A bound on the target's load sends
the excess to the next target in the order. This handles a hot prefix: without
the bound it would overload one engine, and without the order every engine
would have to recompute it.
"""

from collections import abc
import dataclasses
import itertools

from bulrushdale import hashing

# The bound on a target's load is this factor times the mean, plus an offset
# that allows for variation of small numbers. Users tolerate twice the mean
# plus three; the difference covers requests that other routers placed since
# their last report.
BOUND_MEAN_FACTOR = 2.0
BOUND_OFFSET = 1.5
# Requests with a short shared prefix may use only this part of the bound, as
# other targets recompute it quickly; the rest is left to long prefixes.
SHORT_PREFIX_SHARE = 0.7
# A prefix of this length may use the whole bound; reading it takes about as
# long as a few steps of all running requests.
LONG_PREFIX_TOKENS = 4_000
# Targets that start within this time of each other, as when a deployment
# starts, count as equally old: no prefix was placed before all of them ran.
SIMULTANEOUS_START_MS = 5_000
# Extra load counted for a target in another data centre, for requests without
# prefix affinity, where no price of a crossing is set.
REMOTE_PENALTY = 0.75
# Extra load counted for a target during its slow start.
SLOW_START_PENALTY = 2.0
# A target counts as slow from this slowness on, for prompts. It is halfway
# between normal targets and those that are permanently 1.3 times slower.
SLOW_FROM = 1.15
# Engines read this many tokens of a prompt in 1 ms.
READ_TOKENS_PER_MS = 66
# Shortest time of a decoding step, which yields one token.
DECODE_STEP_MS = 4
# Targets that are considered for a prefix that may leave its slow target.
MAX_MOVE_CANDIDATES = 8

# Returns how long work takes at a target, as a multiple of the normal time.
Slowness = abc.Callable[[str], float]


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that could get a request.

    :param target_id: its id.
    :param load: number of all routers' requests there.
    :param slots: number of requests that it runs concurrently.
    :param local: whether it is in the router's data centre.
    :param slow: whether it is in its slow start.
    :param slowness: how long work takes there, as a multiple of the normal
        time.
    :param extra: load counted in addition, for a target in another data
        centre.
    """

    target_id: str
    load: int
    slots: int
    local: bool
    slow: bool = False
    slowness: float = 1.0
    extra: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PromptWork:
    """Normal times of a prompt's work at an engine that runs nothing else.

    :param shared_ms: time to read the shared prefix, if it isn't cached.
    :param own_ms: time to read the rest and to generate the tokens.
    """

    shared_ms: float
    own_ms: float


def prompt_work(
    prompt_tokens: int, shared_tokens: int, output_tokens: int
) -> PromptWork:
    """Return the normal times of a prompt's work."""
    own_tokens = max(0, prompt_tokens - shared_tokens)
    return PromptWork(
        shared_tokens / READ_TOKENS_PER_MS,
        own_tokens / READ_TOKENS_PER_MS + output_tokens * DECODE_STEP_MS,
    )


def load_bound(loads: abc.Collection[int], shared_tokens: int) -> float:
    """Return the maximum number of requests that a target may have.

    :param loads: the loads of all the service's targets.
    :param shared_tokens: length of the shared prefix, in tokens.
    """
    mean = (sum(loads) + 1) / len(loads)
    bound = mean * BOUND_MEAN_FACTOR + BOUND_OFFSET
    length = min(1.0, shared_tokens / LONG_PREFIX_TOKENS)
    return bound * (SHORT_PREFIX_SHARE + (1 - SHORT_PREFIX_SHARE) * length)


def preferred_target(
    ranking: hashing.Ranking,
    established: abc.Collection[str],
    active: abc.Collection[str],
    recently_left: abc.Collection[str],
) -> str:
    """Return the preferred target of a prefix.

    If the prefix is cached at all, it is there: newly joined targets are left
    out and recently left ones are included.

    :param ranking: ranks all of these targets for the prefix.
    :param established: targets that have been in the list for some time.
    :param active: all targets that get work, at least one.
    :param recently_left: targets that left recently.
    """
    return ranking.winner(
        [*established, *recently_left] if established else active
    )


def previous_preferred_target(
    ranking: hashing.Ranking, preferred: str, started_ms: abc.Mapping[str, int]
) -> str | None:
    """Return the preferred target before the current one joined.

    A router that has just started knows no prefix locations. Prefixes in use
    stay where they are when targets join, so hashing over the current targets
    alone doesn't find them.

    :param ranking: ranks all of the targets for the prefix.
    :param preferred: the current preferred target.
    :param started_ms: when the targets started, in ms since the epoch.
    :return: the preferred target among those that are older; none if the
        current one is among the oldest.
    """
    joined_ms = started_ms[preferred] - SIMULTANEOUS_START_MS
    older = [
        name for name, started in started_ms.items() if started < joined_ms
    ]
    return ranking.winner(older) if older else None


def prefix_order(
    ranking: hashing.Ranking,
    first_choices: abc.Sequence[str],
    active: abc.Collection[str],
    slowness: Slowness | None = None,
) -> abc.Iterator[str]:
    """Yield targets in the order in which they are tried for a prefix.

    A prefix whose target left has to move anyway and may go to any active
    target, also a newly joined one; other prefixes stay at established
    targets. Most requests go to the first target, so the others are sorted
    only when they are needed. Slow ones come last.

    :param ranking: ranks all targets that get work for the prefix.
    :param first_choices: locations of the prefix and its preferred target.
    :param active: all targets that get work.
    :param slowness: returns the slowness of each; none if nothing is known.
    """
    for name in first_choices:
        if name in active:
            yield name
    if slowness is None:
        yield from ranking.order(active)
        return
    slow = []
    for name in ranking.order(active):
        if slowness(name) < SLOW_FROM:
            yield name
        else:
            slow.append(name)
    yield from slow


def choose_within_bound(
    order: abc.Iterable[str],
    loads: abc.Mapping[str, int],
    bound: float,
    matches: abc.Callable[[str], bool],
    slowness: Slowness | None = None,
) -> str | None:
    """Return the first matching target whose load is within the bound.

    :param order: the targets, the preferred one first.
    :param loads: the load of each.
    :param bound: maximum number of requests that a target may have.
    :param matches: whether a target may get the request.
    :param slowness: returns the slowness of each; none if nothing is known.
    :return: the least loaded matching target if all are above the bound, where
        the load is multiplied by the slowness; none if no target matches.
    """
    for target_id in order:
        if loads[target_id] + 1 <= bound and matches(target_id):
            return target_id
    matching = [target_id for target_id in loads if matches(target_id)]
    if slowness is None:
        return min(matching, key=loads.__getitem__, default=None)
    factors = {target_id: slowness(target_id) for target_id in matching}
    return min(
        matching,
        key=lambda name: (loads[name] + 1) * factors[name],
        default=None,
    )


def avoid_slow_target(
    found: str,
    first_choices: abc.Sequence[str],
    order: abc.Iterable[str],
    loads: abc.Mapping[str, int],
    slots: abc.Callable[[str], int],
    bound: float,
    work: PromptWork,
    slowness: Slowness,
    matches: abc.Callable[[str], bool],
) -> str:
    """Return where a prompt goes if a target that has its prefix is slow.

    It leaves a slow target only for one with a free slot, and only if it ends
    earlier there although the prefix has to be read again. The first such
    target in the order is taken instead of the best one, so that all routers
    move the prefix to the same place and different prefixes to different ones.
    It returns to the slow target once it would end earlier there, as the other
    one has filled up; otherwise slow targets would be idle under overload.

    :param found: the target that it would run at.
    :param first_choices: locations of the prefix and its preferred target.
    :param order: the targets in the order of the prefix, fast ones first.
    :param loads: the load of each.
    :param slots: returns the number of requests that a target runs
        concurrently.
    :param bound: maximum number of requests that a target may have.
    :param work: the prompt's work.
    :param slowness: returns the slowness of a target.
    :param matches: whether a target may get the request.
    """

    def time_ms(name: str) -> float:
        # Each running request slows down the others. That a full batch takes
        # twice as long as a single request is an assumption.
        batch = 1 + loads[name] / max(1, slots(name))
        return slowness(name) * work.own_ms * batch

    def ends_earlier(name: str) -> bool:
        shared_ms = work.shared_ms * slowness(name)
        return time_ms(name) + shared_ms < found_ms

    found_is_slow = slowness(found) >= SLOW_FROM
    found_ms = time_ms(found)
    # Hardly any target is faster than an idle one of normal speed. Without
    # this check the targets would be sorted for each prompt of a slow target.
    if found_ms <= work.own_ms + work.shared_ms:
        return found
    for name in first_choices:
        if (
            name != found
            and name in loads
            and (found_is_slow or slowness(name) >= SLOW_FROM)
            and loads[name] + 1 <= bound
            and ends_earlier(name)
            and matches(name)
        ):
            return name
    if not found_is_slow:
        return found
    for name in itertools.islice(order, MAX_MOVE_CANDIDATES):
        if (
            name != found
            and loads[name] + 1 <= min(bound, slots(name))
            and ends_earlier(name)
            and matches(name)
        ):
            return name
    return found


def choose_by_water_filling(
    candidates: abc.Sequence[Candidate], unreported: float, spread: str
) -> Candidate:
    """Choose a target by water-filling.

    Many routers get short requests faster than reports of load arrive, so the
    target with the lowest reported load would get all of them until the next
    report. Instead the requests expected until then are distributed so that
    they raise the lowest loads to one level. Each router picks a target with
    a probability proportional to the requests that the target gets in this
    distribution; with fresh reports that is the least loaded target.

    :param candidates: at least one.
    :param unreported: expected number of requests for these candidates that
        other routers placed since their reports.
    :param spread: text whose hash picks the target, such as a request id.
    """
    if any(candidate.slowness != 1.0 for candidate in candidates):
        return _choose_by_speed(candidates, unreported, spread)
    costs = [_cost(candidate) for candidate in candidates]
    level = _water_level(costs, unreported + 1)
    position = hashing.fraction(spread) * (unreported + 1)
    for candidate, cost in zip(candidates, costs, strict=True):
        position -= max(0.0, level - cost)
        if position < 0:
            return candidate
    return min(candidates, key=_cost)


def _choose_by_speed(
    candidates: abc.Sequence[Candidate], unreported: float, spread: str
) -> Candidate:
    """Choose a target by water-filling where some targets are slow.

    A request raises the cost of a slow target by its slowness. No target is
    filled above the bound on the number of its requests.

    :param candidates: as for :func:`choose_by_water_filling`.
    :param unreported: as for :func:`choose_by_water_filling`.
    :param spread: as for :func:`choose_by_water_filling`.
    """
    loads = [candidate.load for candidate in candidates]
    bound = load_bound(loads, LONG_PREFIX_TOKENS)
    costs = [_cost_by_speed(candidate) for candidate in candidates]
    level = _water_level_by_speed(candidates, costs, unreported + 1)
    shares = [
        max(0.0, min((level - cost) / c.slowness, bound - c.load))
        for c, cost in zip(candidates, costs, strict=True)
    ]
    position = hashing.fraction(spread) * sum(shares)
    for candidate, share in zip(candidates, shares, strict=True):
        position -= share
        if position < 0:
            return candidate
    return min(candidates, key=lambda candidate: candidate.load)


def _cost_by_speed(candidate: Candidate) -> float:
    """Return the cost of a target that may be slow, in requests.

    A request takes the longer the more others there are, and at an idle slow
    target already as long as behind some others at a normal one.
    """
    cost = _cost(candidate)
    return cost + (candidate.slowness - 1) * (cost + candidate.slots)


def _water_level_by_speed(
    candidates: abc.Sequence[Candidate],
    costs: abc.Sequence[float],
    requests: float,
) -> float:
    """Return the level that the lowest costs reach if requests are added."""
    rates = [1 / candidate.slowness for candidate in candidates]
    order = sorted(zip(costs, rates, strict=True))
    level = order[0][0]
    total, width = requests, 0.0
    for cost, rate in order:
        if width and total / width <= cost:
            break
        total += cost * rate
        width += rate
        level = total / width
    return level


def _cost(candidate: Candidate) -> float:
    """Return a candidate's load with the penalties, in requests."""
    slow_start = SLOW_START_PENALTY if candidate.slow else 0.0
    return candidate.load + candidate.extra + slow_start


def _water_level(costs: abc.Sequence[float], requests: float) -> float:
    """Return the level that the lowest costs reach if requests are added."""
    total = requests
    order = sorted(costs)
    for count, cost in enumerate(order, start=1):
        total += cost
        if count == len(order) or total / count <= order[count]:
            break
    return total / count
