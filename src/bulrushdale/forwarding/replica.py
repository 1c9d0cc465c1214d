"""A local copy of a keyed topic, read from the store or from a peer."""

import asyncio
from collections import abc
import dataclasses
import logging

from bulrushdale import clock as clock_module
from bulrushdale import records

LOG = logging.getLogger(__name__)

# Dropped keys are remembered for peers that read through this router; more
# than a fleet's targets change within the life of the store's history.
MAX_TOMBSTONES = 2_000
RETRY_DELAY_MS = 400
# While the store is away for the reader too, the others leave it alone for
# longer and longer, up to this.
MAX_BACKOFF_MS = 3_000
# Through an outage of the store itself no copy in the fleet is confirmed; one
# that is younger than this was confirmed by a peer, and the store was there.
OUTAGE_AGE_MS = 2_500

# A copy that the reader gives must not be older; its own reads are this often
# or more, and an older one shows that it is cut off.
MAX_READER_AGE_MS = 1_000

OnChange = abc.Callable[[str, bytes | None], None]
Normalize = abc.Callable[[str, bytes], object]
OnConfirm = abc.Callable[[int], None]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResult:
    """Records, and the time at which there were no newer ones.

    :param page: the records.
    :param as_of_ms: that time, in ms of the boot clock.
    """

    page: records.Page
    as_of_ms: int


def read_as_of_ms(
    page: records.Page, asked_ms: int, answered_ms: int, wait_ms: int
) -> int:
    """Return the time at which there were no newer records than a page's.

    An answer without records that took the whole wait was given when the
    wait was over, not when the read began.

    :param page: what was read.
    :param asked_ms: when the read began, in ms.
    :param answered_ms: when its answer came, in ms.
    :param wait_ms: how long the store was to wait for a record, in ms.
    """
    waited = not page.records and answered_ms - asked_ms >= wait_ms
    return asked_ms + wait_ms if waited else asked_ms


class Replica:
    """Follows one keyed topic; a record never gives way to an older one.

    :param name: the topic's name, for logs and peers.
    :param on_change: called with each key that changed, and its value or none.
    :param on_confirm: called with the time, in ms of the boot clock, at which
        the copy was last known to be up to date.
    :param normalize: what a value says; a record that says the same as the
        one before isn't passed on to peers.
    :param count_read: counts a read by this replica's name and outcome.
    :param clock: the clock.

    :ivar next_offset: where to read on; none before the first page.
    :ivar confirmed_ms: when the copy was last known to be up to date, in ms
        of the boot clock; none if it never was.
    """

    __slots__ = (
        "name",
        "_on_change",
        "_on_confirm",
        "_normalize",
        "_updated",
        "_clock",
        "_records",
        "_deletions_known_from",
        "next_offset",
        "confirmed_ms",
        "store_unreachable",
        "_store_up_since_ms",
        "_count_read",
    )

    def __init__(
        self,
        name: str,
        on_change: OnChange,
        on_confirm: OnConfirm,
        normalize: Normalize,
        count_read: abc.Callable[[str, str], None],
        clock: clock_module.Clock,
    ) -> None:
        self.name = name
        self._on_change = on_change
        self._on_confirm = on_confirm
        self._normalize = normalize
        self._updated = asyncio.Event()
        self._count_read = count_read
        self._clock = clock
        self._records: dict[str, records.KeyedRecord] = {}
        # Of keys that were dropped before this offset nothing may be known.
        self._deletions_known_from = 0
        self.next_offset: int | None = None
        self.confirmed_ms: int | None = None
        self.store_unreachable = False
        self._store_up_since_ms: int | None = None

    def apply(self, page: records.Page, as_of_ms: int) -> None:
        """Take over a page.

        :param page: what was read.
        :param as_of_ms: when the read began, in ms of the boot clock.
        """
        if page.snapshot:
            self._delete_missing(page)
            self._deletions_known_from = max(
                self._deletions_known_from, page.next_offset
            )
        changed = {record.key: record for record in page.records}
        for record in changed.values():
            self._apply_record(record)
        if self.next_offset is None or page.next_offset > self.next_offset:
            self.next_offset = page.next_offset
        if page.complete and (
            self.confirmed_ms is None or as_of_ms > self.confirmed_ms
        ):
            self.confirmed_ms = as_of_ms
            self._on_confirm(as_of_ms)
            self._wake_waiting()

    def _apply_record(self, record: records.KeyedRecord) -> None:
        known = self._records.get(record.key)
        if known is not None and known.offset >= record.offset:
            return
        if known is not None and self._is_equivalent(known, record):
            return
        self._records.pop(record.key, None)
        self._records[record.key] = record
        self._on_change(record.key, record.value)
        if record.value is None:
            self._prune_tombstones()
        self._wake_waiting()

    def _is_equivalent(
        self, known: records.KeyedRecord, record: records.KeyedRecord
    ) -> bool:
        if known.value is None or record.value is None:
            return known.value is record.value
        if known.value == record.value:
            return True
        return self._normalize(known.key, known.value) == self._normalize(
            record.key, record.value
        )

    async def wait_for_update(
        self, offset: int | None, wait_ms: float
    ) -> None:
        """Return once there is a record from an offset on, or time is up.

        Also once the copy is known to be up to date as of now: a peer that
        reads through this router learns it without delay.

        :param offset: where a peer would read on; none if any copy is news.
        :param wait_ms: the longest wait, in ms.
        """
        asked_ms = self._clock.boot_ms()
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while not self._has_update(offset, asked_ms):
                    await self._updated.wait()
        except TimeoutError:
            return

    def _has_update(self, offset: int | None, since_ms: int) -> bool:
        if offset is None:
            return self.next_offset is not None
        if self.confirmed_ms is not None and self.confirmed_ms >= since_ms:
            return True
        return offset < self._deletions_known_from or any(
            r.offset >= offset for r in self._records.values()
        )

    def _wake_waiting(self) -> None:
        self._updated.set()
        self._updated = asyncio.Event()

    def _delete_missing(self, page: records.Page) -> None:
        """Drop the keys that a snapshot doesn't hold any more."""
        held = {record.key for record in page.records}
        for key, known in list(self._records.items()):
            if (
                key not in held
                and known.value is not None
                and known.offset < page.next_offset
            ):
                dropped = records.KeyedRecord(page.next_offset - 1, key, None)
                self._apply_record(dropped)

    def _prune_tombstones(self) -> None:
        dropped = [k for k, r in self._records.items() if r.value is None]
        for key in dropped[: max(0, len(dropped) - MAX_TOMBSTONES)]:
            forgotten = self._records.pop(key)
            self._deletions_known_from = max(
                self._deletions_known_from, forgotten.offset + 1
            )

    def page_since(self, offset: int | None) -> records.Page | None:
        """Return what a peer lacks; none if there is no copy yet.

        A peer that is behind this copy's beginning gets everything: keys
        that it knows may have been dropped in between.

        :param offset: where the peer would read on; none for everything.
        """
        if self.next_offset is None:
            return None
        if offset is not None and offset > self.next_offset:
            return records.Page([], offset, True, False)
        if offset is not None and offset < self._deletions_known_from:
            offset = None
        found = [
            record
            for record in self._records.values()
            if offset is None or record.offset >= offset
        ]
        return records.Page(found, self.next_offset, True, offset is None)

    def age_ms(self) -> int | None:
        """Return the age of the copy; none if it was never up to date."""
        if self.confirmed_ms is None:
            return None
        return max(0, self._clock.boot_ms() - self.confirmed_ms)

    def store_up_ms(self) -> int:
        """Return for how long the store has answered each read, in ms."""
        if self.store_unreachable or self._store_up_since_ms is None:
            return 0
        return self._clock.now_ms() - self._store_up_since_ms

    def record_store_failure(self, error: Exception) -> None:
        """Note that the store gave no answer."""
        self._count_read(self.name, "failed")
        if not self.store_unreachable:
            LOG.warning(
                "store unreachable",
                extra={
                    "event": "store.lost",
                    "topic": self.name,
                    "reason": str(error),
                    "age_ms": self.age_ms(),
                },
            )
        self.store_unreachable = True

    def record_store_response(self) -> bool:
        """Note an answer of the store.

        :return: whether it had been store_unreachable.
        """
        self._count_read(self.name, "answered")
        if self.store_unreachable or self._store_up_since_ms is None:
            self._store_up_since_ms = self._clock.now_ms()
        was_unreachable, self.store_unreachable = self.store_unreachable, False
        if was_unreachable:
            LOG.info(
                "store reachable again",
                extra={
                    "event": "store.regained",
                    "topic": self.name,
                    "age_ms": self.age_ms(),
                },
            )
        return was_unreachable


@dataclasses.dataclass(frozen=True, slots=True)
class Sources:
    """Where a replica's records are read.

    :param initial: reads a first copy from some other router. It comes
        compressed, which the store doesn't do, and costs no call.
    :param store: reads from an offset on, or everything for none.
    :param reader: reads from the router that reads for this one; none while
        this one reads the store.
    :param peers: reads from any routers that can be reached.
    """

    initial: abc.Callable[[Replica], abc.Awaitable[ReadResult | None]]
    store: abc.Callable[[int | None], abc.Awaitable[ReadResult]]
    reader: abc.Callable[[Replica], abc.Awaitable[ReadResult | None]]
    peers: abc.Callable[[Replica], abc.Awaitable[ReadResult | None]]


async def follow(
    replica: Replica,
    sources: Sources,
    interval_ms: int,
    on_store_recovered: abc.Callable[[], None],
    clock: clock_module.Clock,
) -> None:
    """Keep a replica up to date until cancelled.

    :param replica: the replica.
    :param sources: where its records are read.
    :param interval_ms: pause between reads.
    :param on_store_recovered: called when the store answers again after an
        outage that affected every router.
    :param clock: the clock.
    """

    def take(reading: ReadResult) -> None:
        age_ms = replica.age_ms()
        if replica.record_store_response() and (
            age_ms is None or age_ms > OUTAGE_AGE_MS
        ):
            on_store_recovered()
        replica.apply(reading.page, reading.as_of_ms)

    pause_ms = RETRY_DELAY_MS
    spared_until_ms = 0
    reading = await sources.initial(replica)
    if reading is not None:
        take(reading)
    while True:
        reading = await sources.reader(replica)
        if reading is not None:
            if clock.boot_ms() - reading.as_of_ms <= MAX_READER_AGE_MS:
                take(reading)
                continue
            replica.apply(reading.page, reading.as_of_ms)
            if clock.now_ms() < spared_until_ms:
                await clock.sleep_ms(RETRY_DELAY_MS)
                continue
        try:
            take(await _read_store(replica, sources))
        except records.SourceError as error:
            replica.record_store_failure(error)
            if reading is not None:
                # The reader still tries; the others spare the store.
                spared_until_ms = clock.now_ms() + pause_ms
                pause_ms = min(2 * pause_ms, MAX_BACKOFF_MS)
            reading = await sources.peers(replica)
            if reading is not None:
                replica.apply(reading.page, reading.as_of_ms)
            await clock.sleep_ms(RETRY_DELAY_MS)
            continue
        pause_ms = RETRY_DELAY_MS
        await clock.sleep_ms(interval_ms)


async def _read_store(replica: Replica, sources: Sources) -> ReadResult:
    """Read the store up to its end.

    :raises SourceError: without an answer.
    """
    offset = replica.next_offset
    while True:
        try:
            reading = await sources.store(offset)
        except records.HistoryGoneError:
            LOG.info(
                "history expired",
                extra={"event": "store.history_gone", "topic": replica.name},
            )
            offset = None
            continue
        if reading.page.complete:
            return reading
        replica.apply(reading.page, reading.as_of_ms)
        offset = reading.page.next_offset
