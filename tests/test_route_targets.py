"""Targets from a late list, their health, and where requests go."""

import collections
import dataclasses

import pytest

from bulrushdale import hashing
from bulrushdale.routing import budget as budget_module
from bulrushdale.routing import grouping as grouping_module
from bulrushdale.routing import health
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import placement
from bulrushdale.routing import residence as residence_module
from bulrushdale.routing import targets as targets_module

LISTING = targets_module.Listing(
    target_id="t1",
    born_ms=100,
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


def staying(targets):
    return [t.target_id for t in targets.staying("chat")]


def test_leaving_is_never_taken_back(targets):
    targets.put(dataclasses.replace(LISTING, leaving=True))
    targets.put(LISTING)
    assert staying(targets) == []


def test_restart_under_the_same_id_is_a_new_target(targets):
    targets.put(dataclasses.replace(LISTING, leaving=True))
    targets.get("t1").in_flight = 3
    targets.put(dataclasses.replace(LISTING, born_ms=200))
    assert staying(targets) == ["t1"]
    assert targets.get("t1").in_flight == 0


def test_removed_entry_gets_no_new_work(targets):
    held = targets.get("t1")
    targets.remove("t1")
    assert staying(targets) == []
    assert held.leaving


def test_lapsed_entry_stays_for_a_while_after_an_outage(targets, clock):
    targets.note_store_back()
    targets.remove("t1")
    clock.advance(targets_module.LAPSE_GRACE_MS - 1)
    targets.expire()
    assert staying(targets) == ["t1"]
    clock.advance(1)
    targets.expire()
    assert staying(targets) == []


def test_lapsed_entry_that_comes_back_stays(targets, clock):
    targets.note_store_back()
    targets.remove("t1")
    targets.put(LISTING)
    clock.advance(targets_module.LAPSE_GRACE_MS)
    targets.expire()
    assert staying(targets) == ["t1"]


def test_leaving_target_does_not_lapse(targets):
    targets.put(dataclasses.replace(LISTING, leaving=True))
    targets.note_store_back()
    targets.remove("t1")
    assert targets.get("t1") is None


def test_outlier_needs_several_failures_above_its_service():
    service = health.Results(100, 15)
    assert not health.is_outlier(health.Results(2, 2), service)
    assert not health.is_outlier(health.Results(20, 5), service)
    assert health.is_outlier(health.Results(10, 6), service)
    assert not health.is_outlier(health.Results(10, 5), health.Results(60, 28))


def test_results_expire(clock):
    state = health.Health(clock)
    state.note(failed=True)
    clock.advance(health.WINDOW_MS + 1)
    state.note(failed=False)
    assert state.results() == health.Results(1, 0)


def test_budget_shares_its_slack(clock):
    budget = budget_module.RetryBudget(clock, 0.2, 50, 10_000)
    for _ in range(100):
        budget.note_request("chat")
    alone = budget.left("chat", 1)
    shared = budget.left("chat", 10)
    assert alone == int((20 + 50) * budget_module.SPENT_SHARE)
    assert shared == int((20 + 5) * budget_module.SPENT_SHARE)
    for _ in range(shared):
        assert budget.spend("chat", 10)
    assert not budget.spend("chat", 10)
    clock.advance(10_000)
    assert budget.left("chat", 10) == int(5 * budget_module.SPENT_SHARE)


def make_candidates(loads, new=()):
    return [
        placement.Candidate(name, load, 8, local=False, new=name in new)
        for name, load in loads.items()
    ]


def test_prefix_goes_to_one_target_until_the_bound():
    loads = dict.fromkeys(["a", "b", "c", "d"], 1)
    first = placement.by_prefix(7, make_candidates(loads), 3.0, None)
    again = placement.by_prefix(7, make_candidates(loads), 3.0, None)
    assert first == again
    loads[first.target_id] = 3
    other = placement.by_prefix(7, make_candidates(loads), 3.0, None)
    assert other.target_id != first.target_id


def test_all_above_the_bound_goes_to_the_least_loaded():
    loads = {"a": 9, "b": 5, "c": 7}
    found = placement.by_prefix(7, make_candidates(loads), 3.0, None)
    assert found.target_id == "b"


def test_load_never_passes_the_bound_of_the_mean():
    loads = dict.fromkeys(["a", "b", "c", "d", "e"], 0)
    for _ in range(200):
        bound = placement.load_bound(loads.values())
        found = placement.by_prefix(7, make_candidates(loads), bound, None)
        loads[found.target_id] += 1
        mean = sum(loads.values()) / len(loads)
        assert loads[found.target_id] <= 2 * mean + 3


def test_prefixes_in_use_stay_when_a_target_joins(clock):
    """A join moves no prefix that is in use; hashing alone moves a fifth."""
    old = dict.fromkeys(["a", "b", "c", "d"], 0)
    joined = {**old, "e": 0}
    residence = residence_module.Residence(clock)
    before = {
        key: placement.by_prefix(key, make_candidates(old), 9.0, None)
        for key in range(200)
    }
    for new in (("e",), ()):
        for key in range(200):
            found = placement.by_prefix(
                key, make_candidates(joined, new), 9.0, residence.find(key)
            )
            residence.note(key, found.target_id, hashing.winner(key, joined))
            assert found.target_id == before[key].target_id
    by_hash = [hashing.winner(key, joined) for key in range(200)]
    assert 20 < by_hash.count("e") < 60


def test_routers_learn_exceptions_and_forget_them(clock):
    one = residence_module.Residence(clock)
    two = residence_module.Residence(clock)
    one.note(1, "a", "b")
    one.note(2, "b", "b")
    news = one.take_news()
    assert news == {1: "a"}
    assert one.take_news() == {}
    two.learn(news)
    assert two.find(1) == "a"
    clock.advance(residence_module.MEMORY_MS + 1)
    assert two.find(1) is None


def test_grouping_keeps_small_groups_together():
    grouping = grouping_module.Grouping()
    for i in range(200):
        grouping.note("reviews", f"r{i % 3}", 11_800)
        grouping.note("tags", f"t{i % 40}", 2_400)
    assert grouping.by_first_part("tags", 5)
    assert not grouping.by_first_part("reviews", 5)
    assert not grouping.by_first_part("unseen", 5)


def make_report(sequence, in_flight, started_ms=1, address="10.0.0.2:7"):
    return peers_module.Report(
        router="r2",
        address=address,
        data_centre="dc1",
        started_ms=started_ms,
        sequence=sequence,
        version=1,
        targets={
            "t1": peers_module.TargetReport(in_flight, health.Results(4, 1))
        },
    )


def test_peers_reports_replace_each_other_in_order(clock):
    peers = peers_module.Peers("10.0.0.1:7", clock)
    assert peers.take(make_report(2, 5))
    assert not peers.take(make_report(1, 9))
    assert peers.in_flight("t1") == 5
    assert peers.take(make_report(1, 3, started_ms=2))
    assert peers.in_flight("t1") == 3
    assert peers.results("t1") == health.Results(4, 1)
    assert peers.count() == 2


def test_silent_peer_is_left_out(clock):
    peers = peers_module.Peers("10.0.0.1:7", clock)
    peers.take(make_report(1, 5))
    clock.advance(peers_module.REPORT_LIFE_MS + 1)
    assert peers.in_flight("t1") == 0
    assert peers.count() == 2
    clock.advance(peers_module.MEMBER_LIFE_MS)
    assert peers.count() == 1


def test_own_report_is_not_a_peers(clock):
    peers = peers_module.Peers("10.0.0.1:7", clock)
    assert not peers.take(make_report(1, 5, address="10.0.0.1:7"))
    assert collections.Counter(peers.addresses()) == {}
