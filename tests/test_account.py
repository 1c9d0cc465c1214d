"""What is logged of a request: when its answer came, and whether in time."""

import pytest

from bulrushdale.forwarding import metrics as metrics_module
from bulrushdale.forwarding import request_log as request_log_module

TARGET_TIME_MS = 500
MAX_PAUSE_MS = 200


@pytest.fixture
def request_log(clock):
    """The request_log of a stream that has just arrived."""
    return request_log_module.RequestLog(
        metrics_module.Metrics(),
        clock,
        clock.now_ms(),
        "stream",
        TARGET_TIME_MS,
        MAX_PAUSE_MS,
        request_id="q1",
    )


def answered(request_log, caplog):
    with caplog.at_level("INFO"):
        request_log.record_response("t1", 200)
    (record,) = caplog.records
    return record.first_ms, record.pause_ms, record.in_time


def test_stream_in_time(request_log, clock, caplog):
    for wait_ms in (TARGET_TIME_MS, MAX_PAUSE_MS, 10):
        clock.advance(wait_ms)
        request_log.record_event()
    expected = (TARGET_TIME_MS, MAX_PAUSE_MS, True)
    assert answered(request_log, caplog) == expected


def test_first_event_late(request_log, clock, caplog):
    clock.advance(TARGET_TIME_MS + 1)
    request_log.record_event()
    assert answered(request_log, caplog) == (TARGET_TIME_MS + 1, 0, False)


def test_pause_too_long(request_log, clock, caplog):
    request_log.record_event()
    clock.advance(MAX_PAUSE_MS + 1)
    request_log.record_event()
    assert answered(request_log, caplog) == (0, MAX_PAUSE_MS + 1, False)


def test_time_after_the_last_event_is_no_pause(request_log, clock, caplog):
    request_log.record_event()
    clock.advance(MAX_PAUSE_MS + 1)
    assert answered(request_log, caplog) == (0, 0, True)
