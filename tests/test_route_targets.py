"""Targets from a late list, their health, and where requests go."""

import collections
import dataclasses

import pytest

from bulrushdale import hashing
from bulrushdale.routing import budget as budget_module
from bulrushdale.routing import health
from bulrushdale.routing import placement
from bulrushdale.routing import prefix_locations as locations_module
from bulrushdale.routing import targets as targets_module

LISTING = targets_module.Listing(
    target_id="t1",
    started_ms=100,
    service="chat",
    address="10.0.0.1:80",
    data_centre="dc1",
    slots=8,
    leaving=False,
    slow_start_ms=0,
)


@pytest.fixture
def targets(clock):
    targets = targets_module.Targets(clock)
    targets.put(LISTING)
    return targets


def active(targets):
    return [t.target_id for t in targets.active("chat")]


def test_leaving_is_never_taken_back(targets):
    targets.put(dataclasses.replace(LISTING, leaving=True))
    targets.put(LISTING)
    assert active(targets) == []


def test_restart_under_the_same_id_is_a_new_target(targets):
    targets.put(dataclasses.replace(LISTING, leaving=True))
    targets.get("t1").in_flight = 3
    targets.put(dataclasses.replace(LISTING, started_ms=200))
    assert active(targets) == ["t1"]
    assert targets.get("t1").in_flight == 0


def test_removed_entry_gets_no_new_work(targets):
    held = targets.get("t1")
    targets.remove("t1")
    assert active(targets) == []
    assert held.leaving


def test_lapsed_entry_stays_for_a_while_after_an_outage(targets, clock):
    targets.record_store_regained()
    targets.remove("t1")
    clock.advance(targets_module.LAPSE_GRACE_MS - 1)
    targets.expire(0)
    assert active(targets) == ["t1"]
    clock.advance(1)
    targets.expire(0)
    assert active(targets) == []


def test_lapsed_entry_goes_at_once_if_the_store_was_there(targets):
    """This router alone was cut off; the others saw the store all along."""
    targets.record_store_regained()
    targets.remove("t1")
    targets.expire(targets_module.LAPSE_GRACE_MS)
    assert active(targets) == []


def test_lapsed_entry_that_comes_back_stays(targets, clock):
    targets.record_store_regained()
    targets.remove("t1")
    targets.put(LISTING)
    clock.advance(targets_module.LAPSE_GRACE_MS)
    targets.expire(0)
    assert active(targets) == ["t1"]


def test_leaving_target_does_not_lapse(targets):
    targets.put(dataclasses.replace(LISTING, leaving=True))
    targets.record_store_regained()
    targets.remove("t1")
    assert targets.get("t1") is None


def test_newcomers_settle_and_those_that_left_are_known(targets, clock):
    clock.advance(targets_module.INITIAL_LIST_MS)
    targets.put(dataclasses.replace(LISTING, target_id="t2"))
    assert targets.established("chat") == ["t1"]
    clock.advance(targets_module.ESTABLISHED_AFTER_MS)
    assert targets.established("chat") == ["t1", "t2"]
    targets.remove("t1")
    assert targets.recently_left("chat") == ["t1"]
    clock.advance(targets_module.ESTABLISHED_AFTER_MS + 1)
    assert targets.recently_left("chat") == []


def test_outlier_needs_several_failures_above_its_service():
    service = health.Results(100, 15)
    assert not health.is_outlier(health.Results(2, 2), service)
    assert not health.is_outlier(health.Results(20, 5), service)
    assert health.is_outlier(health.Results(10, 6), service)
    assert not health.is_outlier(health.Results(10, 5), health.Results(60, 28))


def test_results_expire(clock):
    state = health.Health(clock)
    state.record(failed=True)
    clock.advance(health.WINDOW_MS + 1)
    state.record(failed=False)
    assert state.results() == health.Results(1, 0)


def test_budget_shares_its_slack(clock):
    budget = budget_module.RetryBudget(clock, 0.2, 50, 10_000)
    for _ in range(100):
        budget.record_request("chat")
    alone = budget.remaining("chat", 1)
    shared = budget.remaining("chat", 10)
    assert alone == int((20 + 50) * budget_module.USABLE_SHARE)
    assert shared == int((20 + 5) * budget_module.USABLE_SHARE)
    for _ in range(shared):
        assert budget.spend("chat", 10)
    assert not budget.spend("chat", 10)
    clock.advance(10_000)
    assert budget.remaining("chat", 10) == int(5 * budget_module.USABLE_SHARE)


def order_for(key, established, active, recently_left=(), lives_at=()):
    ranking = hashing.Ranking(key, [*active, *established, *recently_left])
    home = placement.preferred_target(
        ranking, established, active, recently_left
    )
    return list(placement.prefix_order(ranking, [*lives_at, home], active))


def place(key, loads, bound):
    order = order_for(key, list(loads), loads)
    return placement.choose_within_bound(order, loads, bound, lambda _: True)


def test_prefix_goes_to_one_target_until_the_bound():
    loads = dict.fromkeys(["a", "b", "c", "d"], 1)
    first = place(7, loads, 3.0)
    assert place(7, loads, 3.0) == first
    loads[first] = 3
    assert place(7, loads, 3.0) != first


def test_all_above_the_bound_goes_to_the_least_loaded():
    assert place(7, {"a": 9, "b": 5, "c": 7}, 3.0) == "b"


def test_load_never_passes_the_bound_of_the_mean():
    """One hot prefix that fills the fleet, the worst case for the bound."""
    loads = dict.fromkeys(["a", "b", "c", "d", "e"], 0)
    for _ in range(200):
        bound = placement.load_bound(loads.values(), 10_000)
        found = place(7, loads, bound)
        loads[found] += 1
        mean = sum(loads.values()) / len(loads)
        assert loads[found] <= 2 * mean + 3


def test_short_prefixes_leave_room_for_long_ones():
    """With mixed traffic over a hot target the long prefixes stay there."""
    loads = {"a": 10, "b": 4, "c": 4, "d": 4}
    long = placement.load_bound(loads.values(), 10_000)
    short = placement.load_bound(loads.values(), 600)
    assert short < 11 <= long
    for key in range(50):
        if hashing.winner(key, loads) == "a":
            assert place(key, loads, long) == "a"
            assert place(key, loads, short) != "a"


def test_prefixes_in_use_stay_when_a_target_joins(clock):
    """A join moves no prefix that is in use; hashing alone moves a fifth."""
    old = ["a", "b", "c", "d"]
    joined = [*old, "e"]
    holders = locations_module.PrefixLocations(clock)
    before = {key: hashing.winner(key, old) for key in range(200)}
    for established in (old, joined):
        for key in range(200):
            lives_at = holders.get(key)
            order = order_for(key, established, joined, (), lives_at)
            assert order[0] == before[key]
            holders.record(
                key, order[0], {before[key], hashing.winner(key, joined)}
            )
    by_hash = [hashing.winner(key, joined) for key in range(200)]
    assert 20 < by_hash.count("e") < 60


def test_prefixes_of_a_target_that_left_go_to_newcomers_too():
    active = ["b", "c", "e"]
    places = collections.Counter()
    for key in range(300):
        order = order_for(key, ["b", "c"], active, ["a"])
        if hashing.winner(key, ["a", "b", "c"]) == "a":
            places[order[0]] += 1
        else:
            assert order[0] == hashing.winner(key, ["b", "c"])
    assert set(places) == {"b", "c", "e"}


def test_routers_learn_where_prefixes_went(clock):
    one = locations_module.PrefixLocations(clock)
    two = locations_module.PrefixLocations(clock)
    one.record(1, "a", {"b"})
    one.record(2, "b", {"b"})
    updates = one.take_updates()
    assert updates == {1: "a"}
    assert one.take_updates() == {}
    two.merge(updates)
    assert two.get(1) == ("a",)
    assert two.in_use(1)
    clock.advance(locations_module.IN_USE_MS + 1)
    assert not two.in_use(1)
    assert two.get(1) == ("a",)


def test_routers_learn_of_a_return_to_where_hashing_puts_a_prefix(clock):
    """Else they would go on at the place before."""
    one = locations_module.PrefixLocations(clock)
    two = locations_module.PrefixLocations(clock)
    for name in ("a", "b"):
        one.record(1, name, {"b"})
        two.merge(one.take_updates())
        assert two.get(1)[0] == name
    assert two.get(1) == ("b", "a")


def test_memory_of_places_is_bounded(clock):
    holders = locations_module.PrefixLocations(clock)
    for key in range(locations_module.MAX_PREFIXES + 5):
        holders.record(key, "a", {"a"})
    assert holders.get(4) == ()
    assert holders.get(5) == ("a",)
    for name in ("b", "c", "d", "e"):
        holders.record(5, name, {"a"})
    assert holders.get(5) == ("e", "d", "c")
