"""Fixtures that the tests share."""

import pytest

from bulrushdale import clock as clock_module


@pytest.fixture
def clock() -> clock_module.ManualClock:
    """A clock that moves only when told to."""
    return clock_module.ManualClock()
