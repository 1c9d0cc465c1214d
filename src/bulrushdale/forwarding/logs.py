"""Structured logs on standard output that never hold a request up."""

import logging
import os
import sys

from pythonjsonlogger import orjson as json_logger

# The pipe to a slow reader takes 64 KiB; lines that don't fit are counted.
_FIELDS = "%(levelname)s %(message)s"


class _DroppingHandler(logging.Handler):
    """Writes lines to a descriptor and drops those that would block.

    :param descriptor: where lines go; set to non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._dropped = 0
        self._rest = b""
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        line = self.format(record).encode() + b"\n"
        if self._dropped and not self._rest:
            line = b'{"event":"log.dropped","count":%d}\n%b' % (
                self._dropped,
                line,
            )
        try:
            self._rest = self._write(self._rest + line)
            self._dropped = 0
        except BlockingIOError:
            self._dropped += 1
        except OSError:
            # Nobody reads the log any more; requests go on.
            self._dropped += 1

    def _write(self, data: bytes) -> bytes:
        written = os.write(self._descriptor, data)
        return data[written:]


def configure(router: str, level: str = "INFO") -> None:
    """Send JSON lines to standard output.

    :param router: named in every line.
    :param level: the least level written.
    """
    handler = _DroppingHandler(sys.stdout.fileno())
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
