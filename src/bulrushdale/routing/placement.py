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
BOUND_OF_MEAN = 2.0
BOUND_EXTRA = 1.5
# Load that a target in another data centre counts more when nothing ties a
# request to a target: traffic between data centres is paid for.
REMOTE_EXTRA = 0.75
# Load that a target counts more while it is slow after its start.
SLOW_START_EXTRA = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that could get a request.

    :param target_id: its id.
    :param load: requests that all routers have there.
    :param slots: requests that it runs at once.
    :param local: whether it is in the router's data centre.
    :param slow: whether it is slow after its start.
    :param new: whether it joined so lately that prefixes in use stay where
        they are; it gets what is above the others' bound.
    """

    target_id: str
    load: int
    slots: int
    local: bool
    slow: bool = False
    new: bool = False


def load_bound(loads: abc.Collection[int]) -> float:
    """Return the most requests that a target may have.

    :param loads: the loads of all the service's targets.
    """
    mean = (sum(loads) + 1) / len(loads)
    return mean * BOUND_OF_MEAN + BOUND_EXTRA


def by_prefix(
    key: int,
    candidates: abc.Sequence[Candidate],
    bound: float,
    lives_at: str | None,
) -> Candidate:
    """Choose the first target of the prefix's order within the bound.

    :param key: hash of the shared part of the prompt.
    :param candidates: at least one.
    :param bound: most requests that a target may have.
    :param lives_at: the target that comes first for once, as it has the
        prefix in its cache; none for the usual order.
    :return: the least loaded if all are above the bound.
    """
    by_id = {candidate.target_id: candidate for candidate in candidates}
    settled = [c.target_id for c in candidates if not c.new]
    order = hashing.rendezvous(key, settled or by_id)
    if lives_at in by_id:
        order.insert(0, lives_at)
    for target_id in order:
        if by_id[target_id].load + 1 <= bound:
            return by_id[target_id]
    return min(candidates, key=lambda candidate: candidate.load)


def by_load(candidates: abc.Sequence[Candidate], spread: str) -> Candidate:
    """Choose the least loaded target, a near one if that is as good.

    :param candidates: at least one.
    :param spread: breaks ties differently for each request.
    """

    def cost(candidate: Candidate) -> tuple[float, int]:
        extra = 0.0 if candidate.local else REMOTE_EXTRA
        extra += SLOW_START_EXTRA if candidate.slow else 0.0
        tie = hashing.hash64((spread + candidate.target_id).encode())
        return candidate.load + extra, tie

    return min(candidates, key=cost)
