"""Structured logs on standard output that never hold a request up."""

import collections
import logging
import os
import sys
import time

from pythonjsonlogger import orjson as json_logger

_FIELDS = "%(levelname)s %(message)s"
# Lines of one event in a second; a router at its usual peak of some dozens of
# requests a second stays below it, a storm of one event does not.
EVENTS_PER_S = 400


class DroppingHandler(logging.Handler):
    """Writes lines to a descriptor and drops those that would block.

    What was dropped, because the reader was slow or one event came too often,
    is counted in the next line that can be written.

    :param descriptor: where lines go; set to non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._rest = b""
        self._dropped = 0
        self._second = 0
        self._seen: collections.Counter[str] = collections.Counter()
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or count it as dropped."""
        event = getattr(record, "event", record.msg)
        if self._is_too_often(event):
            self._dropped += 1
            return
        line = self.format(record).encode() + b"\n"
        if self._dropped:
            count = b'{"event":"log.dropped","count":%d}\n' % self._dropped
            line = count + line
        try:
            if self._rest:
                self._rest = self._write(self._rest)
            if self._rest:
                self._dropped += 1
                return
            self._rest = self._write(line)
            self._dropped = 0
        except BlockingIOError:
            self._dropped += 1
        except OSError:
            # The reader is gone; there is nowhere to report it to.
            self._dropped += 1

    def _is_too_often(self, event: str) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._seen.clear()
        self._seen[event] += 1
        return self._seen[event] > EVENTS_PER_S

    def _write(self, data: bytes) -> bytes:
        """Return what could not be written of a line."""
        written = os.write(self._descriptor, data)
        return data[written:]


def configure(router: str, level: str = "INFO") -> None:
    """Send JSON lines to standard output.

    :param router: named in every line.
    :param level: the least level written.
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
    # aiohttp logs broken connections with a traceback each.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
