"""Homes: spread evenly, and stable when routers come and go."""

import collections

import pytest

from bulrushdale.admission import coordinators

ROUTERS = [f"router-{number}" for number in range(51)]
KEYS = [(f"pool-{pool}", shard) for pool in range(4) for shard in range(9)]


@pytest.mark.parametrize("count", [1, 2, 3, 7, 36, 51])
def test_no_router_has_more_than_its_even_part(count: int) -> None:
    found = coordinators.assign(KEYS, ROUTERS[:count])
    counts = collections.Counter(found.values())
    assert len(found) == len(KEYS)
    assert max(counts.values()) == -(-len(KEYS) // count)


def test_the_order_of_names_does_not_matter() -> None:
    assert coordinators.assign(KEYS, ROUTERS) == coordinators.assign(
        KEYS[::-1], ROUTERS[::-1]
    )


def test_a_router_that_leaves_moves_few_shards() -> None:
    before = coordinators.assign(KEYS, ROUTERS)
    moved = []
    for gone in ROUTERS:
        after = coordinators.assign(KEYS, [r for r in ROUTERS if r != gone])
        moved.append(sum(before[key] != after[key] for key in KEYS))
    assert sum(moved) / len(moved) < 3
