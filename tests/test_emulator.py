"""Test placement and refusal under emulated load."""

import dataclasses

import pytest

from bench import emulator
from bulrushdale.routing import overload
from bulrushdale.routing import placement

# Without overload, at least this share of the requests of each kind must get a
# response within their target time.
IN_TIME = 0.95
BUSY = dataclasses.replace(emulator.LARGE, rate_per_s=200)


@pytest.mark.parametrize("load", [emulator.LARGE, BUSY, emulator.SMALL])
def test_short_requests_are_spread_despite_outdated_load_reports(load):
    outcome = emulator.simulate(load, refusal_policy=emulator.refuse_nothing)
    assert outcome.in_time(load.target_ms) >= IN_TIME
    assert outcome.rejected <= 0.01 * outcome.requests
    assert outcome.refused == 0


def test_choosing_the_least_loaded_target_would_flood_it():
    """Without water-filling, servers reject what others have capacity for."""
    baseline = emulator.simulate(BUSY, emulator.least_loaded)
    balanced = emulator.simulate(BUSY, placement.choose_by_water_filling)
    assert baseline.rejected > 20 * (balanced.rejected + 1)
    assert baseline.p99_ms() > balanced.p99_ms()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_overload_is_refused_before_it_delays_responses(seed):
    load = emulator.ONE_SERVER
    baseline = emulator.simulate(
        load, refusal_policy=emulator.refuse_nothing, seed=seed
    )
    refusing = emulator.simulate(load, seed=seed)
    assert refusing.in_time(load.target_ms) > baseline.in_time(load.target_ms)
    assert len(refusing.response_times_ms) >= 0.95 * len(
        baseline.response_times_ms
    )
    # Routers refuse the same share of each kind of request. Servers reject by
    # their own choice of kinds.
    assert refusing.rejected < baseline.rejected / 2


@pytest.mark.parametrize("load", [emulator.LARGE, BUSY, emulator.SMALL])
def test_nothing_is_refused_while_there_is_capacity(load):
    assert (
        emulator.simulate(load).refused
        <= 0.01 * emulator.simulate(load).requests
    )


def test_route_without_a_target_time_never_refuses():
    overloaded = overload.ServiceLoad(load=90, slots=6, run_ms=72)
    assert overload.should_refuse(overloaded, 400, 0.99)
    assert not overload.should_refuse(overloaded, 0, 0.0)
    assert not overload.should_refuse(overload.ServiceLoad(0, 6, 72), 0, 0.0)
