"""Fixtures that several tests use."""

import gc

import hypothesis
import pytest

from bulrushdale import clock as clock_module

# The verdict must depend on the sources alone, not on drawn examples or on
# the load of the machine.
hypothesis.settings.register_profile(
    "repeatable",
    derandomize=True,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile("repeatable")


def pytest_collection_finish() -> None:
    """Exclude all loaded modules from garbage collection, as routers do.

    A full collection would stop the event loop for up to 0.3 s, longer than
    many a time limit under test.
    """
    gc.collect()
    gc.freeze()


@pytest.fixture
def clock() -> clock_module.ManualClock:
    """Return a clock that moves only when a test advances it."""
    return clock_module.ManualClock()
