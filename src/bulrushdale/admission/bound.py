"""The load bound of a target, and the quorum that may enforce it.

Only one router at a time grants slots of a shard: a coordinator to which
more than half of the data centre's routers are attached. A router is
attached to one coordinator at a time, and its old coordinator stops counting
on it before it attaches to the next, so two coordinators never both have the
majority. A coordinator without a majority grants nothing; it resumes as soon
as enough routers are attached, or the platform has removed the missing ones
from its list.
"""

from collections import abc
import dataclasses
import math


def target_bound(
    total: int, targets: int, multiple: float, minimum: int
) -> int:
    """Return the maximum load of each target.

    :param total: the load of all targets, including the new request.
    :param targets: the number of targets that share it.
    :param multiple: the configured multiple of the mean load.
    :param minimum: the lower limit of the bound.
    """
    return max(minimum, math.ceil(multiple * total / targets))


@dataclasses.dataclass(frozen=True, slots=True)
class QuorumState:
    """Whether a coordinator may grant, and how much it knows of the load.

    :param majority: whether a majority of routers is attached; without it
        the coordinator grants nothing.
    :param complete: whether the slot table holds everything that runs; else
        the targets' own reports have to be counted as well.
    :param tenure_start_ms: when its tenure started, in ms of the clock; an
        older report may miss what the previous coordinator granted.
    :param recovering: whether the coordinator stood still until just now; it
        grants nothing before it has handled what arrived meanwhile.
    """

    majority: bool
    complete: bool
    tenure_start_ms: int
    recovering: bool = False


def has_majority(attached: abc.Set[str], all_routers: abc.Set[str]) -> bool:
    """Return whether more than half of the routers are attached.

    Of two equal halves, the one with the first name in sort order has the
    majority.

    :param attached: the routers attached here.
    :param all_routers: all routers that may grant, including the attached
        ones.
    """
    if 2 * len(attached) != len(all_routers):
        return 2 * len(attached) > len(all_routers)
    return min(all_routers) in attached
