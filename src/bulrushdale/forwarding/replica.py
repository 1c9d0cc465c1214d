"""A local replica of a keyed topic, read from the store or from a peer."""

import asyncio
from collections import abc
import dataclasses
import logging

from bulrushdale import clock as clock_module
from bulrushdale import records

LOG = logging.getLogger(__name__)

# Deleted keys are kept for peers that read through this router. The limit
# exceeds the number of target changes in a fleet while the store keeps its
# history.
MAX_TOMBSTONES = 2_000
RETRY_DELAY_MS = 400
# While a router's upstream can't reach the store either, the router backs off
# from the store exponentially, up to this delay.
MAX_BACKOFF_MS = 3_000
# During an outage of the store itself no replica in the fleet is confirmed. A
# replica younger than this was confirmed through a peer, so the store was up.
OUTAGE_AGE_MS = 2_500

# Maximum age of a result from the upstream router that counts as up to date.
# That router updates its own replica at least this often; an older result
# shows that it is cut off.
MAX_UPSTREAM_AGE_MS = 1_000

OnChange = abc.Callable[[str, bytes | None], None]
ComparisonKey = abc.Callable[[str, bytes], object]
OnConfirm = abc.Callable[[int], None]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResult:
    """A page of records and the time as of which it is current.

    :param page: the records.
    :param as_of_ms: a time at which there were no newer records, in ms of
        the boot clock.
    """

    page: records.Page
    as_of_ms: int


def read_as_of_ms(
    page: records.Page, started_ms: int, finished_ms: int, wait_ms: int
) -> int:
    """Return the time at which there were no records newer than a page's.

    If a long poll returns no records after its whole wait, the page is
    current as of the end of the wait, not as of the start of the read.

    :param page: the result of the read.
    :param started_ms: when the read started, in ms.
    :param finished_ms: when its response arrived, in ms.
    :param wait_ms: how long the store was to wait for a record, in ms.
    """
    waited = not page.records and finished_ms - started_ms >= wait_ms
    return started_ms + wait_ms if waited else started_ms


class Replica:
    """Follows one keyed topic and never replaces a record by an older one.

    :param name: the topic's name, for logs and peers.
    :param on_change: called with each key that changed and its value, or
        none if the key was deleted.
    :param on_confirm: called with the time, in ms of the boot clock, at which
        the replica was last known to be up to date.
    :param comparison_key: returns the part of a value that matters; a record
        is skipped, and isn't passed on to peers, if this part is the same as
        in the previous record of its key.
    :param count_read: counts a read by this replica's name and outcome.
    :param clock: the clock.

    :ivar next_offset: the next offset to read; none before the first page.
    :ivar confirmed_ms: when the replica was last known to be up to date, in
        ms of the boot clock; none if it never was.
    :ivar store_unreachable: whether the last read of the store failed, and no
        other router has shown since then that the store answers.
    """

    __slots__ = (
        "name",
        "_on_change",
        "_on_confirm",
        "_comparison_key",
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
        comparison_key: ComparisonKey,
        count_read: abc.Callable[[str, str], None],
        clock: clock_module.Clock,
    ) -> None:
        self.name = name
        self._on_change = on_change
        self._on_confirm = on_confirm
        self._comparison_key = comparison_key
        self._updated = asyncio.Event()
        self._count_read = count_read
        self._clock = clock
        self._records: dict[str, records.KeyedRecord] = {}
        # Keys deleted before this offset may have no tombstone here.
        self._deletions_known_from = 0
        self.next_offset: int | None = None
        self.confirmed_ms: int | None = None
        self.store_unreachable = False
        self._store_up_since_ms: int | None = None

    def apply(self, page: records.Page, as_of_ms: int) -> None:
        """Apply the records of a page that are newer than the known ones.

        A page that reaches the end of the topic also confirms the replica.

        :param page: the result of a read.
        :param as_of_ms: the time as of which the page is current, in ms of
            the boot clock.
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
        if page.at_end and (
            self.confirmed_ms is None or as_of_ms > self.confirmed_ms
        ):
            self.confirmed_ms = as_of_ms
            self._on_confirm(as_of_ms)
            self._wake_waiting()

    def _apply_record(self, record: records.KeyedRecord) -> None:
        """Apply a record that is newer than the known one and changes it."""
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
        """Return whether a record equals the known one in what matters."""
        if known.value is None or record.value is None:
            return known.value is record.value
        if known.value == record.value:
            return True
        return self._comparison_key(
            known.key, known.value
        ) == self._comparison_key(record.key, record.value)

    async def wait_for_update(
        self, offset: int | None, wait_ms: float
    ) -> None:
        """Wait for a record at or after an offset, or until the timeout.

        Also returns once the replica is confirmed as of the start of the
        wait, so that a peer that reads through this router learns of the
        confirmation without delay.

        :param offset: the peer's next offset; none if it has no replica yet.
        :param wait_ms: the longest wait, in ms.
        """
        started_ms = self._clock.boot_ms()
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while not self._has_update(offset, started_ms):
                    await self._updated.wait()
        except TimeoutError:
            return

    def _has_update(self, offset: int | None, since_ms: int) -> bool:
        """Return whether there is anything to tell a peer that waits.

        :param offset: the peer's next offset; none if it has no replica yet.
        :param since_ms: when the wait started, in ms of the boot clock.
        """
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
        """Delete the keys that a snapshot doesn't hold any more."""
        held = {record.key for record in page.records}
        for key, known in list(self._records.items()):
            if (
                key not in held
                and known.value is not None
                and known.offset < page.next_offset
            ):
                tombstone = records.KeyedRecord(
                    page.next_offset - 1, key, None
                )
                self._apply_record(tombstone)

    def _prune_tombstones(self) -> None:
        """Drop the oldest tombstones above the limit."""
        deleted = [k for k, r in self._records.items() if r.value is None]
        for key in deleted[: max(0, len(deleted) - MAX_TOMBSTONES)]:
            pruned = self._records.pop(key)
            self._deletions_known_from = max(
                self._deletions_known_from, pruned.offset + 1
            )

    def page_since(self, offset: int | None) -> records.Page | None:
        """Return the records that a peer lacks.

        A peer whose offset is before the known deletions gets a snapshot,
        because keys that it holds may have been deleted in between. A peer
        that is ahead of this replica gets an empty page.

        :param offset: the peer's next offset; none for a snapshot.
        :return: the page; none if this replica has no records yet.
        """
        if self.next_offset is None:
            return None
        if offset is not None and offset > self.next_offset:
            return records.Page([], offset, True, False)
        if offset is not None and offset < self._deletions_known_from:
            offset = None
        newer = [
            record
            for record in self._records.values()
            if offset is None or record.offset >= offset
        ]
        return records.Page(newer, self.next_offset, True, offset is None)

    def age_ms(self) -> int | None:
        """Return the replica's age in ms; none if it was never up to date."""
        if self.confirmed_ms is None:
            return None
        return max(0, self._clock.boot_ms() - self.confirmed_ms)

    def store_up_ms(self) -> int:
        """Return for how long the store has answered without a failure.

        :return: the time in ms; 0 if the last read of the store failed.
        """
        if self.store_unreachable or self._store_up_since_ms is None:
            return 0
        return self._clock.now_ms() - self._store_up_since_ms

    def record_store_failure(self, error: Exception) -> None:
        """Record that a read of the store failed.

        :param error: why it failed, for the log.
        """
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
        """Record that the store, or a router that reads it, answered.

        :return: whether the store had been unreachable.
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
    """The sources of a replica's records.

    :param initial: reads a first copy from some other router. It comes
        compressed, which the store doesn't offer, and costs no call to the
        store.
    :param store: reads from the store, from an offset on, or a snapshot for
        none.
    :param upstream: reads from the router that this one reads records
        from; returns none while this router reads the store itself.
    :param peers: reads from any routers that can be reached.
    """

    initial: abc.Callable[[Replica], abc.Awaitable[ReadResult | None]]
    store: abc.Callable[[int | None], abc.Awaitable[ReadResult]]
    upstream: abc.Callable[[Replica], abc.Awaitable[ReadResult | None]]
    peers: abc.Callable[[Replica], abc.Awaitable[ReadResult | None]]


async def follow(
    replica: Replica,
    sources: Sources,
    interval_ms: int,
    on_store_recovered: abc.Callable[[], None],
    clock: clock_module.Clock,
) -> None:
    """Keep a replica up to date until cancelled.

    After a first copy, records come from the upstream router. The store is
    read if there is no upstream router, or if it doesn't answer or is
    outdated; other peers are read if the store fails.

    :param replica: the replica.
    :param sources: the sources of its records.
    :param interval_ms: delay between reads of the store, in ms.
    :param on_store_recovered: called when the store answers again after an
        outage that affected every router.
    :param clock: the clock.
    """

    def apply_current(result: ReadResult) -> None:
        """Apply a result that shows that the store answers."""
        age_ms = replica.age_ms()
        if replica.record_store_response() and (
            age_ms is None or age_ms > OUTAGE_AGE_MS
        ):
            on_store_recovered()
        replica.apply(result.page, result.as_of_ms)

    backoff_ms = RETRY_DELAY_MS
    skip_store_until_ms = 0
    result = await sources.initial(replica)
    if result is not None:
        apply_current(result)
    while True:
        result = await sources.upstream(replica)
        if result is not None:
            if clock.boot_ms() - result.as_of_ms <= MAX_UPSTREAM_AGE_MS:
                apply_current(result)
                continue
            replica.apply(result.page, result.as_of_ms)
            if clock.now_ms() < skip_store_until_ms:
                await clock.sleep_ms(RETRY_DELAY_MS)
                continue
        try:
            apply_current(await _read_store(replica, sources))
        except records.SourceError as error:
            replica.record_store_failure(error)
            if result is not None:
                # The upstream router keeps retrying the store. This router
                # backs off to spare the store, whose calls are limited.
                skip_store_until_ms = clock.now_ms() + backoff_ms
                backoff_ms = min(2 * backoff_ms, MAX_BACKOFF_MS)
            result = await sources.peers(replica)
            if result is not None:
                replica.apply(result.page, result.as_of_ms)
            await clock.sleep_ms(RETRY_DELAY_MS)
            continue
        backoff_ms = RETRY_DELAY_MS
        await clock.sleep_ms(interval_ms)


async def _read_store(replica: Replica, sources: Sources) -> ReadResult:
    """Read the store to the end of the topic.

    :raises SourceError: if the store doesn't answer.
    """
    offset = replica.next_offset
    while True:
        try:
            result = await sources.store(offset)
        except records.RecordsExpiredError:
            LOG.info(
                "history of the topic expired in the store; "
                "reading a snapshot",
                extra={"event": "store.history_gone", "topic": replica.name},
            )
            offset = None
            continue
        if result.page.at_end:
            return result
        replica.apply(result.page, result.as_of_ms)
        offset = result.page.next_offset
