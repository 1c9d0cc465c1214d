"""Logs are bounded and never block."""

import logging
import os

import orjson
import pytest

from bulrushdale.forwarding import logs


@pytest.fixture
def pipe():
    """Both ends of a pipe, the reading one first."""
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    yield reading, writing
    os.close(reading)
    os.close(writing)


def make_logger(descriptor):
    handler = logs.DroppingHandler(descriptor)
    handler.setFormatter(logging.Formatter('{"event":"%(event)s"}'))
    logger = logging.Logger("test")
    logger.addHandler(handler)
    return logger


def read_lines(descriptor):
    data = b""
    while True:
        try:
            piece = os.read(descriptor, 1 << 20)
        except BlockingIOError:
            return [orjson.loads(line) for line in data.splitlines()]
        data += piece


def test_slow_reader_costs_lines_not_time(pipe):
    reading, writing = pipe
    logger = make_logger(writing)
    for number in range(20_000):
        logger.info("line", extra={"event": f"e{number}"})
    first = read_lines(reading)
    assert 1_000 < len(first) < 20_000
    logger.info("line", extra={"event": "after"})
    logger.info("line", extra={"event": "last"})
    rest = read_lines(reading)
    dropped = sum(line.get("count", 0) for line in rest)
    assert len(first) + dropped + 2 >= 20_000
    assert rest[-1] == {"event": "last"}


def test_one_event_too_often_is_counted(pipe, monkeypatch):
    reading, writing = pipe
    now = [100.0]
    monkeypatch.setattr(logs.time, "monotonic", lambda: now[0])
    logger = make_logger(writing)
    for _ in range(logs.MAX_EVENT_LINES_PER_S + 7):
        logger.info("line", extra={"event": "storm"})
    now[0] += 1
    logger.info("line", extra={"event": "calm"})
    lines = read_lines(reading)
    assert len(lines) == logs.MAX_EVENT_LINES_PER_S + 2
    assert lines[-2] == {"event": "log.dropped", "count": 7}


def test_reader_that_is_gone_is_no_error(pipe):
    reading, writing = pipe
    logger = make_logger(writing)
    os.dup2(os.open(os.devnull, os.O_RDONLY), reading)
    logger.info("line", extra={"event": "lost"})
