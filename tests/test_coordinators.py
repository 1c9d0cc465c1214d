"""Coordinators: spread evenly, and stable when routers join or leave."""

import collections

import pytest

from bulrushdale.admission import coordinators

ROUTERS = [f"router-{number}" for number in range(51)]
KEYS = [(f"pool-{pool}", shard) for pool in range(4) for shard in range(9)]


@pytest.mark.parametrize("count", [1, 2, 3, 7, 36, 51])
def test_no_router_exceeds_its_even_share(count: int) -> None:
    assigned = coordinators.assign(KEYS, ROUTERS[:count])
    counts = collections.Counter(assigned.values())
    assert len(assigned) == len(KEYS)
    assert max(counts.values()) == -(-len(KEYS) // count)


def test_assignment_ignores_order_of_names() -> None:
    assert coordinators.assign(KEYS, ROUTERS) == coordinators.assign(
        KEYS[::-1], ROUTERS[::-1]
    )


def test_leaving_router_moves_few_shards() -> None:
    before = coordinators.assign(KEYS, ROUTERS)
    moved = []
    for left in ROUTERS:
        after = coordinators.assign(KEYS, [r for r in ROUTERS if r != left])
        moved.append(sum(before[key] != after[key] for key in KEYS))
    assert sum(moved) / len(moved) < 3
