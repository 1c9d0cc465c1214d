"""Test that the soak's checker finds each kind of violation."""

import pytest

from soak import checker as checker_module
from soak import repeats as repeats_module

RATIO, SLACK, WINDOW_MS = 0.2, 1.5, 1_000
CALM_MS = checker_module.STABILITY_MS + 1


@pytest.fixture
def checker():
    return checker_module.Checker(
        repeats_module.Repeats(RATIO, SLACK, WINDOW_MS)
    )


def test_correct_run_has_no_violations(checker):
    checker.record_sent("q1", at_most_once=True)
    checker.record_execution("q1", "t1", old_key=False, now_ms=10)
    checker.record_response("q1", 200, "q1", complete=True)
    assert checker.violations == []


def test_second_execution_is_found(checker):
    checker.record_sent("q1", at_most_once=True)
    checker.record_execution("q1", "t1", old_key=False, now_ms=10)
    checker.record_execution("q1", "t2", old_key=False, now_ms=20)
    assert checker.violations == ["q1 ran 2 times"]


def test_execution_despite_not_run_status_is_found(checker):
    for request_id in ("q1", "q2"):
        checker.record_sent(request_id, at_most_once=True)
    checker.record_execution("q1", "t1", old_key=False, now_ms=10)
    checker.record_response("q1", 503, "", complete=False)
    checker.record_response("q2", 503, "", complete=False)
    checker.record_execution("q2", "t1", old_key=False, now_ms=20)
    assert checker.violations == [
        "q1 ran, but got 503",
        "q2 ran after 'not run'",
    ]


def test_response_of_another_request_and_incomplete_body_are_found(checker):
    checker.record_response("q1", 200, "q2", complete=True)
    checker.record_response("q1", 200, "q1", complete=False)
    assert len(checker.violations) == 2


def test_execution_at_a_target_that_left_is_found(checker):
    checker.record_entry_leaving("t1", 0)
    checker.record_execution(
        "q1", "t1", False, checker_module.MAX_LEAVING_DELAY_MS
    )
    assert checker.violations == []
    checker.record_execution(
        "q2", "t1", False, checker_module.MAX_LEAVING_DELAY_MS + 1
    )
    assert checker.violations == ["q2 ran at t1, which left"]
    late_ms = checker_module.MAX_LEAVING_DELAY_MS + 1
    checker.record_execution(
        "q3", "t1", False, late_ms, must_know_changes=False
    )
    assert checker.violations == ["q2 ran at t1, which left"]


def test_revoked_key_and_denial_are_found(checker):
    checker.record_revocation(0)
    checker.record_execution(
        "q1", "t1", True, checker_module.MAX_REVOCATION_DELAY_MS
    )
    assert checker.violations == []
    checker.record_execution(
        "q2", "t1", True, checker_module.MAX_REVOCATION_DELAY_MS + 1
    )
    checker.record_response("q3", 401, "", complete=False)
    assert len(checker.violations) == 2
    checker.record_response("q4", 401, "", complete=False, old_key=True)
    assert len(checker.violations) == 2


def test_denial_of_a_key_before_its_revocation_is_found(checker):
    checker.record_response("q1", 401, "", complete=False, old_key=True)
    assert checker.violations == ["q1 was denied with 401"]


def test_request_after_a_leaving_notice_is_found(checker):
    checker.record_leaving_notice("t1", "r1", 0)
    checker.record_arrival("t1", "r1", 400, 9_000)
    checker.record_arrival("t1", "r2", 900, 9_000)
    checker.record_arrival("t2", "r1", 900, 9_000)
    assert checker.violations == []
    checker.record_arrival("t1", "r1", 900, 9_000)
    assert len(checker.violations) == 1


def test_request_during_a_backoff_is_found(checker):
    checker.record_backoff_notice("t1", "r1", 0, 1_000)
    for now_ms in (100, 200, 300, 600, 700, 1_000):
        checker.record_arrival("t1", "r1", now_ms, 9_000)
    assert checker.violations == []
    checker.record_arrival("t1", "r1", 900, 9_000)
    assert len(checker.violations) == 1


def test_new_start_is_in_no_backoff_and_another_target_still_is(checker):
    for target in ("t1", "t2"):
        checker.record_backoff_notice(target, "r1", 0, 2_000)
    checker.record_new_start("t1")
    for target in ("t1", "t2"):
        for _ in range(checker_module.MAX_IN_TRANSIT + 1):
            checker.record_arrival(target, "r1", 900, 9_000)
    assert checker.violations == ["r1 sent a request to t2, which backs off"]


def test_second_execution_at_one_target_under_a_new_id_is_found(checker):
    checker.record_sent("q1", at_most_once=True)
    checker.record_execution("q1", "t1", old_key=False, now_ms=10)
    checker.record_new_start("t1")
    checker.record_execution("q1", "t1-1", old_key=False, now_ms=20)
    assert checker.violations == ["q1 ran 2 times"]


def test_router_with_a_fault_since_the_notice_is_excused(checker):
    checker.record_leaving_notice("t1", "r1", 0)
    checker.record_arrival("t1", "r1", 900, 300)
    checker.record_arrival("t1", "r1", 1_000, 400)
    assert checker.violations == []


def record_repeated(checker, request_id, now_ms, arrivals):
    """Record a request, and its arrivals 1 ms apart."""
    checker.repeats.record_request(now_ms)
    for number in range(arrivals):
        checker.repeats.record_arrival(request_id, now_ms + number)


def test_repeats_within_the_budget_are_allowed(checker):
    for number in range(10):
        record_repeated(checker, f"q{number}", 100 * number, 1 + (number < 3))
    checker.check_repeats()
    assert checker.violations == []


def test_repeats_beyond_the_budget_are_found(checker):
    for number in range(10):
        record_repeated(checker, f"q{number}", 100 * number, 1 + (number < 4))
    checker.check_repeats()
    (violation,) = checker.violations
    assert violation.startswith("4 repeats from 1 ms on for 9 requests")


def test_repeats_are_counted_in_any_window(checker):
    # In each of two adjacent windows two repeats, four across their border.
    for number, arrivals in ((8, 2), (9, 2), (10, 2), (11, 2)):
        record_repeated(checker, f"q{number}", 100 * number, arrivals)
    checker.check_repeats()
    assert len(checker.violations) == 1


def test_requests_before_the_window_of_the_repeats_count(checker):
    for number in range(10):
        record_repeated(checker, f"q{number}", 100 * number, 1)
    for number in range(3):
        checker.repeats.record_arrival(f"q{number}", 1_000)
    checker.check_repeats()
    assert checker.violations == []


def run_at_two_targets(checker, first_ends_ms, fault_free_ms):
    """Record a request that goes on at a second target 500 ms later."""
    checker.record_execution("q1", "t1", False, now_ms=0)
    checker.record_execution("q1", "t2", False, now_ms=500)
    checker.record_end("q1", "t2", 10_000, CALM_MS)
    checker.record_end("q1", "t1", first_ends_ms, fault_free_ms)


def test_run_beside_a_later_one_is_found(checker):
    ends_ms = 500 + checker_module.MAX_OVERLAP_MS + 1
    run_at_two_targets(checker, ends_ms, CALM_MS)
    (violation,) = checker.violations
    assert violation.startswith("q1 went on at t2 while t1 was at work")


@pytest.mark.parametrize(
    "first_ends_ms, fault_free_ms",
    [
        (500 + checker_module.MAX_OVERLAP_MS, CALM_MS),
        (9_000, checker_module.STABILITY_MS),
    ],
)
def test_run_that_ends_soon_or_could_not_be_ended_is_allowed(
    checker, first_ends_ms, fault_free_ms
):
    run_at_two_targets(checker, first_ends_ms, fault_free_ms)
    assert checker.violations == []
