"""Stall timeouts of streams."""

import random

from hypothesis import given
from hypothesis import strategies

from bulrushdale.routing import stall as stall_module


def timeout_after(gaps_ms):
    detector = stall_module.StallDetector()
    for gap_ms in gaps_ms:
        detector.record_gap(gap_ms)
    return detector.timeout_ms()


def test_new_stream_has_the_longest_timeout():
    assert timeout_after([]) == stall_module.MAX_TIMEOUT_MS


def test_steady_stream_has_the_shortest_timeout():
    """A cut stream with an event every 30 ms has 400 ms to resume."""
    rng = random.Random(1)
    gaps_ms = [30 + rng.uniform(-5, 5) for _ in range(20)]
    assert timeout_after(gaps_ms) == stall_module.MIN_TIMEOUT_MS


def test_gaps_from_long_prompts_raise_the_timeout():
    """Parts of other requests' prompts are sometimes read between events."""
    gaps_ms = [30, 30, 180, 30, 30, 30, 180, 30]
    assert timeout_after(gaps_ms) > 180


@given(strategies.lists(strategies.floats(0, 1e6)))
def test_timeout_stays_within_its_limits(gaps_ms):
    timeout_ms = timeout_after(gaps_ms)
    assert timeout_ms >= stall_module.MIN_TIMEOUT_MS
    assert timeout_ms <= stall_module.MAX_TIMEOUT_MS
