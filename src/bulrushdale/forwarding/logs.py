"""Structured logs on standard output that never block a request."""

import collections
import logging
import os
import sys
import time

from pythonjsonlogger import orjson as json_logger

_FIELDS = "%(levelname)s %(message)s"
# Limit per event. A router at its usual peak of a few dozen requests a second
# stays below it; a burst of one event does not.
MAX_EVENT_LINES_PER_S = 400


class DroppingHandler(logging.Handler):
    """Writes lines to a file descriptor and drops those that would block.

    Lines are dropped when the reader is slow or when one event exceeds its
    rate limit. Their number is written before the next line that succeeds.

    :param descriptor: the file descriptor; set to non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._unwritten = b""
        self._dropped = 0
        self._current_second = 0
        self._lines_by_event: collections.Counter[str] = collections.Counter()
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or count it as dropped."""
        event = getattr(record, "event", record.msg)
        if self._exceeds_rate(event):
            self._dropped += 1
            return
        line = self.format(record).encode() + b"\n"
        if self._dropped:
            notice = b'{"event":"log.dropped","count":%d}\n' % self._dropped
            line = notice + line
        try:
            if self._unwritten:
                self._unwritten = self._write(self._unwritten)
            if self._unwritten:
                self._dropped += 1
                return
            self._unwritten = self._write(line)
            self._dropped = 0
        except BlockingIOError:
            self._dropped += 1
        except OSError:
            # The reader is gone, so there is nowhere to report the error.
            self._dropped += 1

    def _exceeds_rate(self, event: str) -> bool:
        """Count a line of an event; return whether it exceeds the limit."""
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._lines_by_event.clear()
        self._lines_by_event[event] += 1
        return self._lines_by_event[event] > MAX_EVENT_LINES_PER_S

    def _write(self, data: bytes) -> bytes:
        """Write data and return what could not be written of it."""
        written = os.write(self._descriptor, data)
        return data[written:]


def configure(router: str, level: str = "INFO") -> None:
    """Send JSON lines to standard output.

    :param router: the router's name, added to every line.
    :param level: the lowest level written.
    """
    handler = DroppingHandler(sys.stdout.fileno())
    handler.setFormatter(
        json_logger.OrjsonFormatter(
            _FIELDS,
            rename_fields={"levelname": "level"},
            static_fields={"router": router},
            timestamp=True,
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # aiohttp logs a traceback for each broken connection, asyncio one for each
    # exception that nothing handled.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
