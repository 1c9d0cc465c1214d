"""Fixtures that several tests use."""

import pytest

from bulrushdale import clock as clock_module


@pytest.fixture
def clock() -> clock_module.ManualClock:
    """Return a clock that moves only when a test advances it."""
    return clock_module.ManualClock()
