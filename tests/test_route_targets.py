"""Test the list of targets, their health, and the placement of requests."""

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


def active_ids(targets):
    return [t.target_id for t in targets.active("chat")]


def test_leaving_is_never_reset(targets):
    targets.put(dataclasses.replace(LISTING, leaving=True))
    targets.put(LISTING)
    assert active_ids(targets) == []


def test_restart_under_the_same_id_is_a_new_target(targets):
    targets.put(dataclasses.replace(LISTING, leaving=True))
    targets.get("t1").in_flight = 3
    targets.put(dataclasses.replace(LISTING, started_ms=200))
    assert active_ids(targets) == ["t1"]
    assert targets.get("t1").in_flight == 0


def test_removed_entry_gets_no_new_work(targets):
    target = targets.get("t1")
    targets.remove("t1")
    assert active_ids(targets) == []
    assert target.leaving


def test_lapsed_entry_stays_during_the_grace_period(targets, clock):
    targets.record_store_regained()
    targets.remove("t1")
    clock.advance(targets_module.LAPSE_GRACE_MS - 1)
    targets.expire(0)
    assert active_ids(targets) == ["t1"]
    clock.advance(1)
    targets.expire(0)
    assert active_ids(targets) == []


def test_lapsed_entry_is_dropped_if_the_store_was_up(targets):
    """Only this router couldn't reach the store; the others could."""
    targets.record_store_regained()
    targets.remove("t1")
    targets.expire(targets_module.LAPSE_GRACE_MS)
    assert active_ids(targets) == []


def test_lapsed_entry_that_is_listed_again_stays(targets, clock):
    targets.record_store_regained()
    targets.remove("t1")
    targets.put(LISTING)
    clock.advance(targets_module.LAPSE_GRACE_MS)
    targets.expire(0)
    assert active_ids(targets) == ["t1"]


def test_start_keeps_what_it_stated_before_its_entry_was_read(targets, clock):
    targets.put(dataclasses.replace(LISTING, started_ms=clock.wall_ms()))
    clock.advance(5_000)
    started_ms = clock.wall_ms()
    clock.advance(300)
    targets.require("t1").back_off(1_500)
    targets.require("t1").set_limit(5.0, clock.now_ms())
    clock.advance(100)
    targets.put(dataclasses.replace(LISTING, started_ms=started_ms))
    assert targets.require("t1").backing_off
    assert targets.require("t1").limit_per_s == 5.0


def test_start_forgets_what_the_start_before_it_stated(targets, clock):
    targets.put(dataclasses.replace(LISTING, started_ms=clock.wall_ms()))
    targets.require("t1").back_off(60_000)
    targets.require("t1").set_limit(5.0, clock.now_ms())
    clock.advance(5_000)
    targets.put(dataclasses.replace(LISTING, started_ms=clock.wall_ms()))
    assert not targets.require("t1").backing_off
    assert targets.require("t1").limit_per_s is None


def test_start_that_is_listed_again_keeps_what_it_stated(targets, clock):
    """Its back-off was forgotten, and requests reached it at once."""
    target = targets.require("t1")
    target.back_off(20_000)
    target.set_limit(5.0, clock.now_ms())
    target.set_max_rejections(2.0, clock.now_ms())
    targets.remove("t1")
    clock.advance(2_000)
    targets.put(LISTING)
    listed_again = targets.require("t1")
    assert listed_again.backing_off
    assert listed_again.limit_per_s == 5.0
    assert listed_again.brittle
    clock.advance(17_999)
    assert listed_again.backing_off
    targets.remove("t1")
    targets.put(dataclasses.replace(LISTING, started_ms=2))
    assert not targets.require("t1").backing_off


def test_what_a_removed_start_stated_is_forgotten_in_time(targets, clock):
    targets.require("t1").set_limit(5.0, clock.now_ms())
    targets.remove("t1")
    clock.advance(targets_module.LEAVING_MEMORY_MS + 1)
    targets.expire(0)
    targets.put(LISTING)
    assert targets.require("t1").limit_per_s is None


def test_leaving_target_does_not_lapse(targets):
    targets.put(dataclasses.replace(LISTING, leaving=True))
    targets.record_store_regained()
    targets.remove("t1")
    assert targets.get("t1") is None


def test_newly_joined_and_recently_left_targets(targets, clock):
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
    target_health = health.Health(clock)
    target_health.record(failed=True)
    clock.advance(health.WINDOW_MS + 1)
    target_health.record(failed=False)
    assert target_health.results() == health.Results(1, 0)


@pytest.mark.parametrize("restarted_s", [1, 5, 9])
def test_retries_stay_within_the_budget_when_all_routers_restart(
    clock, restarted_s
):
    """Retries of earlier starts count at the service, but not here."""
    routers, slack, ratio = 7, 54, 0.2
    sent_ms = []
    requests_ms = []
    budgets = []
    for second in range(30):
        if second in (0, 10 + restarted_s):
            budgets = [
                budget_module.RetryBudget(clock, ratio, slack, 10_000)
                for _ in range(routers)
            ]
        for budget in budgets:
            for _ in range(4):
                budget.record_request("chat")
                requests_ms.append(clock.now_ms())
            while budget.spend("chat", routers):
                sent_ms.append(clock.now_ms())
        clock.advance(1_000)
    for end_ms in sent_ms:
        window = range(end_ms - 9_999, end_ms + 1)
        sent = sum(1 for at_ms in sent_ms if at_ms in window)
        requests = sum(1 for at_ms in requests_ms if at_ms in window)
        assert sent <= ratio * requests + slack


def test_budget_shares_its_slack(clock):
    budget = budget_module.RetryBudget(clock, 0.2, 50, 10_000)
    clock.advance(10_000)
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


def prefix_order(
    key, established, active, recently_left=(), known_locations=()
):
    ranking = hashing.Ranking(key, [*active, *established, *recently_left])
    preferred = placement.preferred_target(
        ranking, established, active, recently_left
    )
    return list(
        placement.prefix_order(ranking, [*known_locations, preferred], active)
    )


def choose(key, loads, bound):
    order = prefix_order(key, list(loads), loads)
    return placement.choose_within_bound(order, loads, bound, lambda _: True)


def test_prefix_goes_to_one_target_until_the_bound():
    loads = dict.fromkeys(["a", "b", "c", "d"], 1)
    first = choose(7, loads, 3.0)
    assert choose(7, loads, 3.0) == first
    loads[first] = 3
    assert choose(7, loads, 3.0) != first


def test_least_loaded_target_is_used_if_all_are_above_the_bound():
    assert choose(7, {"a": 9, "b": 5, "c": 7}, 3.0) == "b"


def test_load_stays_within_the_bound():
    """A single hot prefix that fills the fleet is the worst case."""
    loads = dict.fromkeys(["a", "b", "c", "d", "e"], 0)
    for _ in range(200):
        bound = placement.load_bound(loads.values(), 10_000)
        found = choose(7, loads, bound)
        loads[found] += 1
        mean = sum(loads.values()) / len(loads)
        assert loads[found] <= 2 * mean + 3


def test_short_prefixes_leave_capacity_for_long_ones():
    """At a hot target long prefixes stay and short ones move."""
    loads = {"a": 10, "b": 4, "c": 4, "d": 4}
    long = placement.load_bound(loads.values(), 10_000)
    short = placement.load_bound(loads.values(), 600)
    assert short < 11 <= long
    for key in range(50):
        if hashing.winner(key, loads) == "a":
            assert choose(key, loads, long) == "a"
            assert choose(key, loads, short) != "a"


def test_prefixes_in_use_stay_when_a_target_joins(clock):
    """Hashing alone would move a fifth of the prefixes in use."""
    initial = ["a", "b", "c", "d"]
    joined = [*initial, "e"]
    locations = locations_module.PrefixLocations(clock)
    preferred = {key: hashing.winner(key, initial) for key in range(200)}
    for established in (initial, joined):
        for key in range(200):
            known_locations = locations.get(key)
            order = prefix_order(key, established, joined, (), known_locations)
            assert order[0] == preferred[key]
            locations.record(
                key, order[0], {preferred[key], hashing.winner(key, joined)}
            )
    by_hash = [hashing.winner(key, joined) for key in range(200)]
    assert 20 < by_hash.count("e") < 60


def test_newly_joined_targets_get_prefixes_of_a_target_that_left():
    active = ["b", "c", "e"]
    first_targets = collections.Counter()
    for key in range(300):
        order = prefix_order(key, ["b", "c"], active, ["a"])
        if hashing.winner(key, ["a", "b", "c"]) == "a":
            first_targets[order[0]] += 1
        else:
            assert order[0] == hashing.winner(key, ["b", "c"])
    assert set(first_targets) == {"b", "c", "e"}


def test_remapped_prefixes_are_reported_once(clock):
    sender = locations_module.PrefixLocations(clock)
    receiver = locations_module.PrefixLocations(clock)
    sender.record(1, "a", {"b"})
    sender.record(2, "b", {"b"})
    updates = sender.take_updates()
    assert updates == {1: "a"}
    assert sender.take_updates() == {}
    receiver.merge(updates)
    assert receiver.get(1) == ("a",)
    assert receiver.in_use(1)
    clock.advance(locations_module.IN_USE_MS + 1)
    assert not receiver.in_use(1)
    assert receiver.get(1) == ("a",)


def test_return_to_the_preferred_target_is_reported(clock):
    """Otherwise other routers would go on using the previous location."""
    sender = locations_module.PrefixLocations(clock)
    receiver = locations_module.PrefixLocations(clock)
    for name in ("a", "b"):
        sender.record(1, name, {"b"})
        receiver.merge(sender.take_updates())
        assert receiver.get(1)[0] == name
    assert receiver.get(1) == ("b", "a")


def test_number_of_prefixes_and_locations_is_bounded(clock):
    locations = locations_module.PrefixLocations(clock)
    for key in range(locations_module.MAX_PREFIXES + 5):
        locations.record(key, "a", {"a"})
    assert locations.get(4) == ()
    assert locations.get(5) == ("a",)
    for name in ("b", "c", "d", "e"):
        locations.record(5, name, {"a"})
    assert locations.get(5) == ("e", "d", "c")
