"""Work on a request's path that must not grow with the fleet."""

import pytest

from bench import scale
from bulrushdale import hashing
from bulrushdale.routing import health
from bulrushdale.routing import peers as peers_module

TARGETS = 200


@pytest.fixture
def selection(clock):
    """What a router of a large fleet chooses with."""
    return scale.make_selection(TARGETS, clock)


def counted(monkeypatch, owner, name):
    """Count the calls of a function, and go on calling it."""
    calls = []
    real = getattr(owner, name)

    def count(*args, **kwargs):
        calls.append(args)
        return real(*args, **kwargs)

    monkeypatch.setattr(owner, name, count)
    return calls


def choose(selection, count):
    for number in range(count):
        selection.choose(
            scale.make_call(number), scale.ROUTE, scale.SERVICE, ()
        )


def test_reports_are_added_up_once_for_many_choices(selection, monkeypatch):
    """Else each request would cost as many sums as there are targets."""
    sums = counted(monkeypatch, peers_module.Peers, "_sum_peer_load")
    choose(selection, 50)
    assert len(sums) == 1


def test_a_name_is_hashed_once_for_a_choice(selection, monkeypatch):
    hashed = counted(monkeypatch, hashing, "_weight")
    choose(selection, 10)
    assert len(hashed) == 10 * TARGETS


def test_only_targets_that_come_into_question_are_judged(
    selection, monkeypatch
):
    judged = counted(monkeypatch, health, "is_failing")
    choose(selection, 10)
    assert len(judged) < 30
