"""Which target gets a request.

Every router decides alone and alike: rendezvous hashing by the longest
shared prefix brings requests that share it to one target, whichever router
they come through, and a bound on the target's load sends the rest to the
next one in the order. Answers to a hot prefix, which would crush one engine
without the bound and would be read again everywhere without the order.
"""

from collections import abc
import dataclasses

from bulrushdale import hashing

# The bound on a target's load: so many times the mean, plus a constant that
# lets small numbers vary. The users bear twice the mean plus three; the gap
# covers what other routers placed since their last report.
BOUND_MEAN_FACTOR = 2.0
BOUND_OFFSET = 1.5
# Requests with a short shared prefix, which is read again quickly elsewhere,
# leave the upper part of the bound to those with a long one.
SHORT_PREFIX_SHARE = 0.7
# A prefix of so many tokens may use the whole bound; reading it takes about
# as long as a few steps of all running requests.
LONG_PREFIX_TOKENS = 4_000
# Targets that start within this time of each other, as when a deployment
# starts, are of one age; prefixes were never placed without them.
SIMULTANEOUS_START_MS = 5_000
# Load that a target in another data centre counts more when nothing ties a
# request to a target: traffic between data centres is paid for.
REMOTE_PENALTY = 0.75
# Load that a target counts more while it is slow after its start.
SLOW_START_PENALTY = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that could get a request.

    :param target_id: its id.
    :param load: requests that all routers have there.
    :param slots: requests that it runs at once.
    :param local: whether it is in the router's data centre.
    :param slow: whether it is slow after its start.
    """

    target_id: str
    load: int
    slots: int
    local: bool
    slow: bool = False


def load_bound(loads: abc.Collection[int], shared_tokens: int) -> float:
    """Return the most requests that a target may have.

    :param loads: the loads of all the service's targets.
    :param shared_tokens: length of the prefix that may be in its cache.
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
    """Return the target that has a prefix, if any has it.

    Targets that have just joined don't, and one that left lately does.

    :param ranking: ranks all of these targets for the prefix.
    :param settled: targets that are in the list for some time.
    :param staying: all targets that get work, at least one.
    :param gone: targets that left lately.
    """
    return ranking.winner(
        [*established, *recently_left] if established else active
    )


def previous_preferred_target(
    ranking: hashing.Ranking, preferred: str, started_ms: abc.Mapping[str, int]
) -> str | None:
    """Return the target that has a prefix if its home is a newer one.

    Answers to a router that starts and remembers nothing: prefixes in use
    stay where they are when targets join, and hashing alone doesn't tell.

    :param ranking: ranks all of the targets for the prefix.
    :param home: where hashing puts it.
    :param born_ms: when the targets started, in ms since the epoch.
    :return: where it put the prefix before that one joined; none if that
        one is among the oldest.
    """
    joined_ms = started_ms[preferred] - SIMULTANEOUS_START_MS
    older = [name for name, born in started_ms.items() if born < joined_ms]
    return ranking.winner(older) if older else None


def prefix_order(
    ranking: hashing.Ranking,
    first: abc.Sequence[str],
    active: abc.Collection[str],
) -> abc.Iterator[str]:
    """Yield targets in the order in which a prefix may go to them.

    A prefix whose target is gone has to move anyway, and goes to any target;
    the others leave out those that have just joined. Most requests end at
    the first one, so the rest is ordered only when it is asked for.

    :param ranking: ranks all targets that get work for the prefix.
    :param first: where the prefix lives, and its home.
    :param staying: all targets that get work.
    """
    for name in first:
        if name in active:
            yield name
    yield from ranking.order(active)


def choose_within_bound(
    order: abc.Iterable[str],
    loads: abc.Mapping[str, int],
    bound: float,
    fits: abc.Callable[[str], bool],
) -> str | None:
    """Choose the first target of an order that fits, within the bound.

    :param order: the targets, the preferred one first.
    :param loads: the load of each.
    :param bound: most requests that a target may have.
    :param fits: whether a target may get the request.
    :return: the least loaded if all are above the bound; none if none fits.
    """
    for target_id in order:
        if loads[target_id] + 1 <= bound and fits(target_id):
            return target_id
    fit = [target_id for target_id in loads if fits(target_id)]
    return min(fit, key=loads.__getitem__, default=None)


def choose_by_water_filling(
    candidates: abc.Sequence[Candidate], unseen: float, spread: str
) -> Candidate:
    """Choose a target with room below the level that all will reach.

    Answers to short requests that come to many routers faster than news of
    load: the target that looks least loaded would get all of them until the
    next news. The requests that are expected until then are poured over the
    targets like water, and each router takes a share of what each target
    gets; with fresh news that is the least loaded target.

    :param candidates: at least one.
    :param unseen: requests that other routers have placed since the news of
        load, as far as expected.
    :param spread: decides for each request differently.
    """
    costs = [_cost(candidate) for candidate in candidates]
    level = _level(costs, unseen + 1)
    share = hashing.fraction(spread) * (unseen + 1)
    for candidate, cost in zip(candidates, costs, strict=True):
        share -= max(0.0, level - cost)
        if share < 0:
            return candidate
    return min(candidates, key=_cost)


def _cost(candidate: Candidate) -> float:
    extra = 0.0 if candidate.local else REMOTE_PENALTY
    extra += SLOW_START_PENALTY if candidate.slow else 0.0
    return candidate.load + extra


def _level(costs: abc.Sequence[float], amount: float) -> float:
    """Return how high an amount fills up the gaps above some costs."""
    total = amount
    order = sorted(costs)
    for count, cost in enumerate(order, start=1):
        total += cost
        if count == len(order) or total / count <= order[count]:
            break
    return total / count
