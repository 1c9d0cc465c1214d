"""The bound on the load of one target.

Several routers may grant slots on the same target for a while, when views
differ or a link is cut. Each then grants for the routers that are attached
to it only, and takes a part of the bound in proportion, computed from its
own grants. As every router is attached to one home at a time, and each
home knows of no more load than there is, the parts add up to no more than
the whole bound.
"""

import math


def whole(total: int, targets: int, multiple: float, least: int) -> int:
    """Return the bound that a router enforces that grants alone.

    :param total: load on all targets, the new request included.
    :param targets: how many targets share it.
    :param multiple: the set multiple of the mean.
    :param least: the bound is never lower.
    """
    return max(least, math.ceil(multiple * total / targets))


def part(
    total: int, targets: int, multiple: float, least: int, share: float
) -> int:
    """Return the bound on the own grants of a router among several.

    :param total: the load that this router granted, the new one included.
    :param targets: how many targets share it.
    :param multiple: the set multiple of the mean.
    :param least: the whole bound is never lower.
    :param share: attached routers divided by all, at most one.
    """
    if share >= 1.0:
        return whole(total, targets, multiple, least)
    return math.floor(share * max(least, multiple * total / targets))
