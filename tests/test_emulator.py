"""Rules of placement under emulated load, by what callers get."""

import dataclasses

import pytest

from bench import emulator
from bulrushdale.routing import overload
from bulrushdale.routing import placement

# Calm days are to have 95 in 100 of each kind within its target time.
IN_TIME = 0.95
RUSH = dataclasses.replace(emulator.GROWN, rate_per_s=200)


@pytest.mark.parametrize("load", [emulator.GROWN, RUSH, emulator.SMALL])
def test_short_requests_are_spread_though_news_of_load_is_old(load):
    outcome = emulator.play(load, refuses=emulator.refuses_nothing)
    assert outcome.in_time(load.target_ms) >= IN_TIME
    assert outcome.rejected <= 0.01 * outcome.asked
    assert outcome.refused == 0


def test_the_least_loaded_target_would_be_flooded():
    """What the rule is for; without it servers reject what others can do."""
    simple = emulator.play(RUSH, emulator.least_loaded)
    level = emulator.play(RUSH, placement.choose_by_water_filling)
    assert simple.rejected > 20 * (level.rejected + 1)
    assert simple.p99_ms() > level.p99_ms()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_overload_is_turned_away_before_it_makes_answers_late(seed):
    load = emulator.ONE_LEFT
    simple = emulator.play(load, refuses=emulator.refuses_nothing, seed=seed)
    ahead = emulator.play(load, seed=seed)
    assert ahead.in_time(load.target_ms) > simple.in_time(load.target_ms)
    assert len(ahead.took_ms) >= 0.95 * len(simple.took_ms)
    # What servers reject is by their own choice of kinds, not the same part
    # of each.
    assert ahead.rejected < simple.rejected / 2


@pytest.mark.parametrize("load", [emulator.GROWN, RUSH, emulator.SMALL])
def test_nothing_is_turned_away_while_there_is_room(load):
    assert emulator.play(load).refused <= 0.01 * emulator.play(load).asked


def test_route_without_a_target_time_is_never_too_full():
    full = overload.Demand(load=90, slots=6, run_ms=72)
    assert overload.should_refuse(full, 400, 0.99)
    assert not overload.should_refuse(full, 0, 0.0)
    assert not overload.should_refuse(overload.Demand(0, 6, 72), 0, 0.0)
