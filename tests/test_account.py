"""What is logged of a request: when its answer came, and whether in time."""

import pytest

from bulrushdale.forwarding import account as account_module
from bulrushdale.forwarding import metrics as metrics_module

TARGET_TIME_MS = 500
MAX_PAUSE_MS = 200


@pytest.fixture
def account(clock):
    """The account of a stream that has just arrived."""
    return account_module.Account(
        metrics_module.Metrics(),
        clock,
        clock.now_ms(),
        "stream",
        TARGET_TIME_MS,
        MAX_PAUSE_MS,
        request_id="q1",
    )


def answered(account, caplog):
    with caplog.at_level("INFO"):
        account.answered("t1", 200)
    (record,) = caplog.records
    return record.first_ms, record.pause_ms, record.in_time


def test_stream_in_time(account, clock, caplog):
    for wait_ms in (TARGET_TIME_MS, MAX_PAUSE_MS, 10):
        clock.advance(wait_ms)
        account.event()
    expected = (TARGET_TIME_MS, MAX_PAUSE_MS, True)
    assert answered(account, caplog) == expected


def test_first_event_late(account, clock, caplog):
    clock.advance(TARGET_TIME_MS + 1)
    account.event()
    assert answered(account, caplog) == (TARGET_TIME_MS + 1, 0, False)


def test_pause_too_long(account, clock, caplog):
    account.event()
    clock.advance(MAX_PAUSE_MS + 1)
    account.event()
    assert answered(account, caplog) == (0, MAX_PAUSE_MS + 1, False)


def test_time_after_the_last_event_is_no_pause(account, clock, caplog):
    account.event()
    clock.advance(MAX_PAUSE_MS + 1)
    assert answered(account, caplog) == (0, 0, True)
