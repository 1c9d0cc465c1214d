"""When a stream that pauses is taken for silent."""

import random

from hypothesis import given
from hypothesis import strategies

from bulrushdale.routing import stall as stall_module


def after(pauses_ms):
    stall = stall_module.StallDetector()
    for pause_ms in pauses_ms:
        stall.record_gap(pause_ms)
    return stall.timeout_ms()


def test_nothing_is_known_of_a_stream_that_begins():
    assert after([]) == stall_module.MAX_TIMEOUT_MS


def test_steady_stream_is_missed_soon():
    """A stream of an event in 30 ms that is cut has 400 ms to go on."""
    draw = random.Random(1)
    pauses_ms = [30 + draw.uniform(-5, 5) for _ in range(20)]
    assert after(pauses_ms) == stall_module.MIN_TIMEOUT_MS


def test_stream_beside_long_prompts_is_given_time():
    """Parts of others' prompts are read between its steps now and then."""
    pauses_ms = [30, 30, 180, 30, 30, 30, 180, 30]
    assert after(pauses_ms) > 180


@given(strategies.lists(strategies.floats(0, 1e6)))
def test_silence_stays_within_its_limits(pauses_ms):
    silence_ms = after(pauses_ms)
    assert silence_ms >= stall_module.MIN_TIMEOUT_MS
    assert silence_ms <= stall_module.MAX_TIMEOUT_MS
