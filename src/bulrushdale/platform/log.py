"""Logs of JSON records, each log in a topic of the platform's store."""

import logging
import typing

import orjson

from bulrushdale import clock as clock_module
from bulrushdale.platform import store as store_module
from bulrushdale import records

LOG = logging.getLogger(__name__)

# Nearly every record fits; a larger one is read again without a limit.
SINGLE_RECORD_MAX_KB = 64


class Log:
    """Appends to and reads from logs in the store.

    :param store: the store's client.
    :param clock: the clock.

    :ivar failing_since_ms: time of the first failed call since the last
        successful one, in ms since the epoch; none if the last call
        succeeded.

    .. versionadded:: 0.1
    """

    __slots__ = ("_store", "_clock", "failing_since_ms")

    def __init__(
        self, store: store_module.Store, clock: clock_module.Clock
    ) -> None:
        self._store = store
        self._clock = clock
        self.failing_since_ms: int | None = None

    async def append(self, name: str, data: dict[str, typing.Any]) -> int:
        """Append one record.

        :param name: the log's name.
        :param data: the record, which is stored as JSON.
        :return: the record's offset.
        :raises SourceError: if the store doesn't answer or fails; the error
            says whether the record may have been appended nevertheless.
        """
        content = {"time_ms": self._clock.wall_ms(), "data": data}
        try:
            offset = await self._store.append(name, orjson.dumps(content))
        except records.SourceError:
            self._record_failure()
            raise
        self.failing_since_ms = None
        return offset

    async def read(self, name: str, offset: int) -> records.LogPage:
        """Read records in order.

        :param name: the log's name.
        :param offset: the offset of the first record to read; if it has
            expired, the page starts at the oldest offset that is still kept.
        :raises SourceError: if the store doesn't answer or fails.
        """
        return await self._read(name, offset, None)

    async def read_one(
        self, name: str, offset: int
    ) -> records.LogRecord | None:
        """Return the record at an offset.

        :param name: the log's name.
        :param offset: the record's offset.
        :return: the record; none if it has expired or isn't written yet.
        :raises SourceError: if the store doesn't answer or fails.
        """
        page = await self._read(name, offset, SINGLE_RECORD_MAX_KB)
        if not page.records and page.end_offset > offset:
            page = await self._read(name, offset, None)
        record = page.records[0] if page.records else None
        return record if record and record.offset == offset else None

    async def _read(
        self, name: str, offset: int, max_kb: int | None
    ) -> records.LogPage:
        """Read records, from the oldest that is kept if the offset expired."""
        try:
            raw = await self._store.read_raw(name, offset, max_kb=max_kb)
        except records.RecordsExpiredError as expired:
            return await self._read(name, expired.first_offset, max_kb)
        except records.SourceError:
            self._record_failure()
            raise
        self.failing_since_ms = None
        return records.LogPage(
            raw.first_offset,
            raw.end_offset,
            [
                _decode_record(record_offset, content)
                for record_offset, content in enumerate(raw.records, offset)
            ],
        )

    def _record_failure(self) -> None:
        if self.failing_since_ms is None:
            self.failing_since_ms = self._clock.wall_ms()


def _decode_record(offset: int, content: bytes) -> records.LogRecord:
    """Decode a record; return an empty one if another program wrote it."""
    try:
        fields = orjson.loads(content)
        return records.LogRecord(offset, fields["time_ms"], fields["data"])
    except (ValueError, KeyError, TypeError) as error:
        LOG.warning(
            "undecodable record of a log replaced by an empty one",
            extra={"event": "store.bad_record", "reason": repr(error)},
        )
        return records.LogRecord(offset, 0, {})
