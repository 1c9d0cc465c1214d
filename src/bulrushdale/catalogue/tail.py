"""Tail of the catalogue's log, and snapshots before records expire."""

import logging
import typing
import uuid

from bulrushdale.catalogue import state
from bulrushdale import clock as clock_module
from bulrushdale.platform import log
from bulrushdale import records as records_module

LOG = logging.getLogger(__name__)

OnChange = typing.Callable[[int], None]


class Tail:
    """Reads new records of the catalogue's log and appends snapshots.

    :param catalogue: the catalogue that the records are applied to.
    :param log_client: the client of the log.
    :param clock: the clock.
    :param retention_ms: how long the log keeps a record, in ms.
    :param on_change: called after changes, with the offset before them.

    :ivar read_ms: when the log was last read to its end, in ms by the
        clock; none if it has not been read yet.

    .. versionadded:: 0.1
    """

    __slots__ = (
        "_catalogue",
        "_log_client",
        "_clock",
        "_retention_ms",
        "_on_change",
        "_snapshot_time_ms",
        "read_ms",
    )

    def __init__(
        self,
        catalogue: state.Catalogue,
        log_client: log.Log,
        clock: clock_module.Clock,
        retention_ms: int,
        on_change: OnChange,
    ) -> None:
        self._catalogue = catalogue
        self._log_client = log_client
        self._clock = clock
        self._retention_ms = retention_ms
        self._on_change = on_change
        self._snapshot_time_ms = 0
        self.read_ms: int | None = None

    async def poll(self) -> None:
        """Read and apply all new records.

        A snapshot is loaded if records expired before they were read.

        :raises SourceError: if the log can't be read.
        """
        base_offset = self._catalogue.offset
        while True:
            page = await self._log_client.read(
                state.LOG_NAME, self._catalogue.offset
            )
            if page.first_offset > self._catalogue.offset:
                if not await self._restore(page.first_offset):
                    return
                continue
            for record in page.records:
                self._apply(record)
            if not page.records:
                break
        self._catalogue.advance(self._catalogue.offset)
        self.read_ms = self._clock.now_ms()
        if self._catalogue.offset != base_offset:
            self._on_change(base_offset)

    def _apply(self, record: records_module.LogRecord) -> None:
        if record.data.get("type") == "snapshot":
            self._snapshot_time_ms = max(
                self._snapshot_time_ms, record.time_ms
            )
        self._catalogue.apply(record)

    async def _restore(self, first_offset: int) -> bool:
        """Load a snapshot and the records that follow it.

        :param first_offset: the offset of the oldest record in the log.
        :return: whether a snapshot was found.
        """
        records: list[records_module.LogRecord] = []
        offset = first_offset
        while True:
            page = await self._log_client.read(state.LOG_NAME, offset)
            records.extend(page.records)
            if not page.records:
                break
            offset = page.records[-1].offset + 1
        restored = state.restore(self._catalogue, records)
        if not restored:
            LOG.error(
                "catalogue records before offset %d have expired and no"
                " snapshot covers them; waiting for a peer's catalogue",
                first_offset,
            )
        return restored

    def snapshot_due(self, delay_ms: int) -> bool:
        """Return whether a new snapshot is due.

        It is due once a quarter of the retention time plus *delay_ms* has
        passed since the newest one.

        :param delay_ms: a delay that differs between data centres, in ms.
        """
        if not self._catalogue.loaded or not self._catalogue.offset:
            return False
        age_ms = self._clock.wall_ms() - self._snapshot_time_ms
        return age_ms > self._retention_ms // 4 + delay_ms

    async def append_snapshot(self) -> None:
        """Append a snapshot, so that the records before it may expire.

        Entries deleted more than twice the retention time ago are dropped.

        :raises SourceError: if the log can't be written.
        """
        snapshot_id = uuid.uuid4().hex
        for data in state.snapshot_records(self._catalogue, snapshot_id):
            await self._log_client.append(state.LOG_NAME, data)
        self._snapshot_time_ms = self._clock.wall_ms()
        self._catalogue.drop_deleted(
            self._clock.wall_ms() - 2 * self._retention_ms
        )
