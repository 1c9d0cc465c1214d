"""Logs are limited in rate and never block."""

import logging
import os

import orjson
import pytest

from bulrushdale.forwarding import logs


@pytest.fixture
def pipe():
    """The read end and the write end of a pipe."""
    read_end, write_end = os.pipe()
    os.set_blocking(read_end, False)
    yield read_end, write_end
    os.close(read_end)
    os.close(write_end)


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
            chunk = os.read(descriptor, 1 << 20)
        except BlockingIOError:
            return [orjson.loads(line) for line in data.splitlines()]
        data += chunk


def test_slow_reader_drops_lines_without_blocking(pipe):
    read_end, write_end = pipe
    logger = make_logger(write_end)
    for number in range(20_000):
        logger.info("line", extra={"event": f"e{number}"})
    first = read_lines(read_end)
    assert 1_000 < len(first) < 20_000
    logger.info("line", extra={"event": "after"})
    logger.info("line", extra={"event": "last"})
    remaining = read_lines(read_end)
    dropped = sum(line.get("count", 0) for line in remaining)
    assert len(first) + dropped + 2 >= 20_000
    assert remaining[-1] == {"event": "last"}


def test_lines_over_the_rate_limit_are_counted(pipe, monkeypatch):
    read_end, write_end = pipe
    now = [100.0]
    monkeypatch.setattr(logs.time, "monotonic", lambda: now[0])
    logger = make_logger(write_end)
    for _ in range(logs.MAX_EVENT_LINES_PER_S + 7):
        logger.info("line", extra={"event": "storm"})
    now[0] += 1
    logger.info("line", extra={"event": "calm"})
    lines = read_lines(read_end)
    assert len(lines) == logs.MAX_EVENT_LINES_PER_S + 2
    assert lines[-2] == {"event": "log.dropped", "count": 7}


def test_closed_reader_raises_no_error(pipe):
    read_end, write_end = pipe
    logger = make_logger(write_end)
    os.dup2(os.open(os.devnull, os.O_RDONLY), read_end)
    logger.info("line", extra={"event": "lost"})
