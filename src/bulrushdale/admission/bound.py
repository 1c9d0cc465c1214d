"""The bound on the load of one target, and who may enforce it.

Only one router at a time grants slots of a shard: a home to which more
than half of the data centre's routers are attached. A router is attached
to one home at a time, and its old home stops counting on it before it goes
to the next, so two homes never both have the majority. A home without it
grants nothing; it starts again as soon as it has heard from enough routers
or the platform has taken the missing ones off its list.
"""

from collections import abc
import dataclasses
import math


def target_bound(
    total: int, targets: int, multiple: float, minimum: int
) -> int:
    """Return the bound on the load of each target.

    :param total: load on all targets, the new request included.
    :param targets: how many targets share it.
    :param multiple: the set multiple of the mean.
    :param least: the bound is never lower.
    """
    return max(minimum, math.ceil(multiple * total / targets))


@dataclasses.dataclass(frozen=True, slots=True)
class Quorum:
    """What a home may rely on.

    :param majority: whether it may grant at all.
    :param complete: whether its ledger holds everything that runs; else
        the targets' own reports have to be counted as well.
    :param since_ms: when it became the home, in ms; an older report may
        miss what its predecessor granted.
    """

    majority: bool
    complete: bool
    since_ms: int


def has_majority(attached: abc.Set[str], all_routers: abc.Set[str]) -> bool:
    """Return whether more than half of some routers are attached.

    Of two halves, the one with the first name counts.

    :param attached: the routers attached here.
    :param everyone: all that may be granting, the attached ones included.
    """
    if 2 * len(attached) != len(all_routers):
        return 2 * len(attached) > len(all_routers)
    return min(all_routers) in attached
