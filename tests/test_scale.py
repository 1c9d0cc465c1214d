"""Test that the work per request doesn't grow with the fleet."""

import pytest

from bench import scale
from bulrushdale import hashing
from bulrushdale.routing import health
from bulrushdale.routing import peers as peers_module

TARGETS = 200


@pytest.fixture
def selection(clock):
    """Return the selection of a router in a large fleet."""
    return scale.make_selection(TARGETS, clock)


def record_calls(monkeypatch, owner, name):
    """Record the calls of a function, and pass them on to it."""
    calls = []
    original = getattr(owner, name)

    def record(*args, **kwargs):
        calls.append(args)
        return original(*args, **kwargs)

    monkeypatch.setattr(owner, name, record)
    return calls


def choose(selection, count):
    for number in range(count):
        selection.choose(
            scale.make_request(number), scale.ROUTE, scale.SERVICE, ()
        )


def test_reports_are_added_up_once_for_many_choices(selection, monkeypatch):
    """Otherwise each request would cost as many sums as there are targets."""
    calls = record_calls(monkeypatch, peers_module.Peers, "_sum_peer_load")
    choose(selection, 50)
    assert len(calls) == 1


def test_each_target_is_hashed_once_per_choice(selection, monkeypatch):
    calls = record_calls(monkeypatch, hashing, "_weight")
    choose(selection, 10)
    assert len(calls) == 10 * TARGETS


def test_only_considered_targets_are_checked_for_failures(
    selection, monkeypatch
):
    calls = record_calls(monkeypatch, health, "is_failing")
    choose(selection, 10)
    assert len(calls) < 30
