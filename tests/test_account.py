"""Log fields on the timing of a response, and whether it was in time."""

import pytest

from bulrushdale.forwarding import metrics as metrics_module
from bulrushdale.forwarding import request_log as request_log_module

TARGET_LATENCY_MS = 500
MAX_GAP_MS = 200


@pytest.fixture
def request_log(clock):
    """Return the log of a stream that has just arrived."""
    return request_log_module.RequestLog(
        metrics_module.Metrics(),
        clock,
        clock.now_ms(),
        "stream",
        TARGET_LATENCY_MS,
        MAX_GAP_MS,
        request_id="q1",
    )


def logged_fields(request_log, caplog):
    with caplog.at_level("INFO"):
        request_log.record_response("t1", 200)
    (record,) = caplog.records
    return record.first_ms, record.pause_ms, record.in_time


def test_stream_in_time(request_log, clock, caplog):
    for wait_ms in (TARGET_LATENCY_MS, MAX_GAP_MS, 10):
        clock.advance(wait_ms)
        request_log.record_event()
    expected = (TARGET_LATENCY_MS, MAX_GAP_MS, True)
    assert logged_fields(request_log, caplog) == expected


def test_first_event_late(request_log, clock, caplog):
    clock.advance(TARGET_LATENCY_MS + 1)
    request_log.record_event()
    assert logged_fields(request_log, caplog) == (
        TARGET_LATENCY_MS + 1,
        0,
        False,
    )


def test_gap_too_long(request_log, clock, caplog):
    request_log.record_event()
    clock.advance(MAX_GAP_MS + 1)
    request_log.record_event()
    assert logged_fields(request_log, caplog) == (
        0,
        MAX_GAP_MS + 1,
        False,
    )


def test_time_after_the_last_event_is_no_gap(request_log, clock, caplog):
    request_log.record_event()
    clock.advance(MAX_GAP_MS + 1)
    assert logged_fields(request_log, caplog) == (0, 0, True)
