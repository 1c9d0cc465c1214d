"""The soak's checks notice each broken promise."""

import pytest

from soak import checker as checker_module


@pytest.fixture
def checker():
    return checker_module.Checker()


def test_nothing_broken(checker):
    checker.sent("q1", once=True)
    checker.ran("q1", "t1", old_key=False, now_ms=10)
    checker.answered("q1", 200, "q1", whole=True)
    assert checker.broken == []


def test_second_run(checker):
    checker.sent("q1", once=True)
    checker.ran("q1", "t1", old_key=False, now_ms=10)
    checker.ran("q1", "t2", old_key=False, now_ms=20)
    assert checker.broken == ["q1 ran 2 times"]


def test_not_run_is_not_true(checker):
    for request_id in ("q1", "q2"):
        checker.sent(request_id, once=True)
    checker.ran("q1", "t1", old_key=False, now_ms=10)
    checker.answered("q1", 503, "", whole=False)
    checker.answered("q2", 503, "", whole=False)
    checker.ran("q2", "t1", old_key=False, now_ms=20)
    assert checker.broken == ["q1 ran, but 503", "q2 ran after 'not run'"]


def test_answers_of_others_and_in_part(checker):
    checker.answered("q1", 200, "q2", whole=True)
    checker.answered("q1", 200, "q1", whole=False)
    assert len(checker.broken) == 2


def test_work_at_a_target_that_left(checker):
    checker.left("t1", 0)
    checker.ran("q1", "t1", False, checker_module.LEAVE_MS)
    assert checker.broken == []
    checker.ran("q2", "t1", False, checker_module.LEAVE_MS + 1)
    assert checker.broken == ["q2 at t1, which left"]
    late_ms = checker_module.LEAVE_MS + 1
    checker.ran("q3", "t1", False, late_ms, informed=False)
    assert checker.broken == ["q2 at t1, which left"]


def test_revoked_key_and_denial(checker):
    checker.revoked(0)
    checker.ran("q1", "t1", True, checker_module.REVOKE_MS)
    assert checker.broken == []
    checker.ran("q2", "t1", True, checker_module.REVOKE_MS + 1)
    checker.answered("q3", 401, "", whole=False)
    assert len(checker.broken) == 2
    checker.answered("q4", 401, "", whole=False, old_key=True)
    assert len(checker.broken) == 2


def test_key_is_denied_before_it_is_taken_away(checker):
    checker.answered("q1", 401, "", whole=False, old_key=True)
    assert checker.broken == ["q1 denied with 401"]


def test_work_after_a_target_told_that_it_leaves_is_found():
    checker = checker_module.Checker()
    checker.told_leaving("t1", "r1", 0)
    checker.arrived("t1", "r1", 400, 9_000)
    checker.arrived("t1", "r2", 900, 9_000)
    checker.arrived("t2", "r1", 900, 9_000)
    assert checker.broken == []
    checker.arrived("t1", "r1", 900, 9_000)
    assert len(checker.broken) == 1


def test_work_within_a_pause_is_found():
    checker = checker_module.Checker()
    checker.told_rest("t1", "r1", 0, 1_000)
    for now_ms in (100, 200, 300, 600, 700, 1_000):
        checker.arrived("t1", "r1", now_ms, 9_000)
    assert checker.broken == []
    checker.arrived("t1", "r1", 900, 9_000)
    assert len(checker.broken) == 1


def test_a_router_that_was_disturbed_since_is_excused():
    checker = checker_module.Checker()
    checker.told_leaving("t1", "r1", 0)
    checker.arrived("t1", "r1", 900, 300)
    checker.arrived("t1", "r1", 1_000, 400)
    assert checker.broken == []
