"""Assignment of shards to the routers that coordinate them."""

from collections import abc
import math

from bulrushdale.admission import session
from bulrushdale import hashing


def assign(
    keys: abc.Iterable[session.ShardKey], routers: list[str]
) -> dict[session.ShardKey, str]:
    """Assign a coordinator to each shard.

    No router gets more than its even share, rounded up. Every router that
    knows the same shards and routers computes the same assignment. Each
    shard goes to the first router of its rendezvous order that has capacity
    left, so that most shards stay when a router joins or leaves.

    :param keys: all shards of this data centre.
    :param routers: the routers that may be coordinators, at least one.
    """
    ordered = sorted(keys)
    max_shards = math.ceil(len(ordered) / len(routers))
    counts = dict.fromkeys(routers, 0)
    coordinators: dict[session.ShardKey, str] = {}
    for key in ordered:
        label = f"{key[0]}/{key[1]}"
        order = hashing.rendezvous(hashing.hash64(label.encode()), routers)
        coordinator = next(name for name in order if counts[name] < max_shards)
        counts[coordinator] += 1
        coordinators[key] = coordinator
    return coordinators
