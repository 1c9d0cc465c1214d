"""Which router is the home of which shard."""

from collections import abc
import math

from bulrushdale.admission import seat
from bulrushdale import hashing


def assign(
    keys: abc.Iterable[seat.ShardKey], routers: list[str]
) -> dict[seat.ShardKey, str]:
    """Spread shards over routers, none having more than its even part.

    Every router that knows the same shards and routers computes the same
    homes. Each shard goes to the first router of its rendezvous order that
    has room, so that most of them stay where they are when a router joins
    or leaves.

    :param keys: all shards of this data centre.
    :param routers: the routers that may be homes, at least one.
    """
    ordered = sorted(keys)
    most = math.ceil(len(ordered) / len(routers))
    counts = dict.fromkeys(routers, 0)
    homes: dict[seat.ShardKey, str] = {}
    for key in ordered:
        label = f"{key[0]}/{key[1]}"
        order = hashing.rendezvous(hashing.hash64(label.encode()), routers)
        home = next(name for name in order if counts[name] < most)
        counts[home] += 1
        homes[key] = home
    return homes
