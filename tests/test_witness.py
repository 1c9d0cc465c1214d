"""The soak's checks notice each broken promise."""

import pytest

from soak import witness as witness_module


@pytest.fixture
def witness():
    return witness_module.Witness()


def test_nothing_broken(witness):
    witness.sent("q1", once=True)
    witness.ran("q1", "t1", old_key=False, now_ms=10)
    witness.answered("q1", 200, "q1", whole=True)
    assert witness.broken == []


def test_second_run(witness):
    witness.sent("q1", once=True)
    witness.ran("q1", "t1", old_key=False, now_ms=10)
    witness.ran("q1", "t2", old_key=False, now_ms=20)
    assert witness.broken == ["q1 ran 2 times"]


def test_not_run_is_not_true(witness):
    for request_id in ("q1", "q2"):
        witness.sent(request_id, once=True)
    witness.ran("q1", "t1", old_key=False, now_ms=10)
    witness.answered("q1", 503, "", whole=False)
    witness.answered("q2", 503, "", whole=False)
    witness.ran("q2", "t1", old_key=False, now_ms=20)
    assert witness.broken == ["q1 ran, but 503", "q2 ran after 'not run'"]


def test_answers_of_others_and_in_part(witness):
    witness.answered("q1", 200, "q2", whole=True)
    witness.answered("q1", 200, "q1", whole=False)
    assert len(witness.broken) == 2


def test_work_at_a_target_that_left(witness):
    witness.left("t1", 0)
    witness.ran("q1", "t1", False, witness_module.LEAVE_MS)
    assert witness.broken == []
    witness.ran("q2", "t1", False, witness_module.LEAVE_MS + 1)
    assert witness.broken == ["q2 at t1, which left"]


def test_revoked_key_and_denial(witness):
    witness.revoked(0)
    witness.ran("q1", "t1", True, witness_module.REVOKE_MS)
    assert witness.broken == []
    witness.ran("q2", "t1", True, witness_module.REVOKE_MS + 1)
    witness.answered("q3", 401, "", whole=False)
    assert len(witness.broken) == 2
    witness.answered("q4", 401, "", whole=False, old_key=True)
    assert len(witness.broken) == 2


def test_key_is_denied_before_it_is_taken_away(witness):
    witness.answered("q1", 401, "", whole=False, old_key=True)
    assert witness.broken == ["q1 denied with 401"]
