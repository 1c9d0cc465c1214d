"""A local replica of a keyed topic, read from the store or from a peer.

Records are ordered by their position: the era of the store, which rises each
time the store comes back from an older copy, and the offset, which is given
out again in a new era. A value that has a version of its own, as the
configuration has, is ordered by that first: no copy of the store brings back
an older one.
"""

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
OwnVersion = abc.Callable[[str, bytes], int | None]
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
    :param own_version: returns the version that a value names; none if it
        names none, and is ordered by its position.

    :ivar era: era of the store that the replica follows; 0 before one is
        known.
    :ivar next_offset: the next offset to read; none before the first page.
    :ivar confirmed_ms: when the replica was last known to be up to date, in
        ms of the boot clock; none if it never was.
    :ivar store_unreachable: whether the last read of the store failed, and no
        other router has shown since then that the store answers.
    """

    __slots__ = (
        "name",
        "era",
        "_on_change",
        "_on_confirm",
        "_comparison_key",
        "_own_version",
        "_updated",
        "_clock",
        "_records",
        "_versions",
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
        own_version: OwnVersion = lambda key, value: None,
    ) -> None:
        self.name = name
        self.era = 0
        self._on_change = on_change
        self._on_confirm = on_confirm
        self._comparison_key = comparison_key
        self._own_version = own_version
        self._updated = asyncio.Event()
        self._count_read = count_read
        self._clock = clock
        self._records: dict[str, records.KeyedRecord] = {}
        # Versions that the values themselves name, by key.
        self._versions: dict[str, int] = {}
        # Keys deleted before this offset, or in earlier eras, may have no
        # tombstone here.
        self._deletions_known_from = 0
        self.next_offset: int | None = None
        self.confirmed_ms: int | None = None
        self.store_unreachable = False
        self._store_up_since_ms: int | None = None

    def apply(self, page: records.Page, as_of_ms: int) -> None:
        """Apply the records of a page that are newer than the known ones.

        A page that reaches the end of the topic also confirms the replica. A
        page that :meth:`accepts` rejects changes nothing.

        :param page: the result of a read.
        :param as_of_ms: the time as of which the page is current, in ms of
            the boot clock.
        """
        if not self.accepts(page):
            LOG.info(
                "records of another era ignored",
                extra={
                    "event": "store.other_era",
                    "topic": self.name,
                    "era": page.era,
                    "known_era": self.era,
                },
            )
            return
        if page.era > self.era:
            self._start_era(page)
        if page.snapshot:
            self._delete_missing(page)
            self._deletions_known_from = max(
                self._deletions_known_from, page.next_offset
            )
        changed, renewed = self._newest_records(page)
        for record in changed.values():
            self._apply_record(record, record.key in renewed)
        if self.next_offset is None or page.next_offset > self.next_offset:
            self.next_offset = page.next_offset
        if page.at_end and (
            self.confirmed_ms is None or as_of_ms > self.confirmed_ms
        ):
            self.confirmed_ms = as_of_ms
            self._on_confirm(as_of_ms)
            self._wake_waiting()

    def accepts(self, page: records.Page) -> bool:
        """Return whether a page can be applied.

        One of an earlier era is outdated. The first one of a later era must
        be a snapshot: which records the store has lost isn't known otherwise.
        """
        if page.era < self.era:
            return False
        return page.era == self.era or page.snapshot

    def starts_era(self, page: records.Page) -> bool:
        """Return whether a page tells that the store has lost records."""
        return (
            self.next_offset is not None
            and page.era > self.era
            and self.accepts(page)
        )

    def _start_era(self, page: records.Page) -> None:
        """Follow the store in a new era, in which offsets start anew."""
        if self.starts_era(page):
            LOG.warning(
                "the store came back from a copy",
                extra={
                    "event": "store.era",
                    "topic": self.name,
                    "era": page.era,
                    "previous_era": self.era,
                    "next_offset": page.next_offset,
                    "previous_next_offset": self.next_offset,
                    "age_ms": self.age_ms(),
                },
            )
        self.era = page.era
        self.next_offset = None
        self._deletions_known_from = 0
        self._store_up_since_ms = self._clock.now_ms()

    def _newest_records(
        self, page: records.Page
    ) -> tuple[dict[str, records.KeyedRecord], set[str]]:
        """Return the newest record of each key, and the keys renewed.

        A key is renewed if another value may have been in force between the
        known record and its newest one: a router that knows the value in
        between has to learn that the known one is in force again.
        """
        newest: dict[str, records.KeyedRecord] = {}
        renewed: set[str] = set()
        for record in page.records:
            earlier = newest.get(record.key)
            if not page.gapless or (
                earlier is not None
                and not self._is_equivalent(earlier, record)
            ):
                renewed.add(record.key)
            newest[record.key] = record
        return newest, renewed

    def _is_newer(
        self, record: records.KeyedRecord, known: records.KeyedRecord
    ) -> bool:
        """Return whether a record replaces the known one of its key."""
        version = self._versions.get(known.key)
        if version is not None:
            other = self._version_of(record)
            if version != other:
                if other is None or other < version:
                    self._log_version("store.older_version", record, other)
                    return False
                return True
        return record.position > known.position

    def _version_of(self, record: records.KeyedRecord) -> int | None:
        """Return the version that a record's value names; none for none."""
        if record.value is None:
            return None
        return self._own_version(record.key, record.value)

    def _log_version(
        self, event: str, record: records.KeyedRecord, version: int | None
    ) -> None:
        LOG.info(
            event,
            extra={
                "event": event,
                "topic": self.name,
                "version": version,
                "known_version": self._versions.get(record.key),
                "era": record.era,
                "offset": record.offset,
                "age_ms": self.age_ms(),
            },
        )

    @property
    def newest_version(self) -> int | None:
        """The newest version that a known value names; none for none."""
        return max(self._versions.values(), default=None)

    def _apply_record(
        self, record: records.KeyedRecord, renewed: bool
    ) -> None:
        """Apply a record that is newer than the known one.

        :param record: the record.
        :param renewed: whether to pass it on even if it repeats the known
            value.
        """
        known = self._records.get(record.key)
        if known is not None and not self._is_newer(record, known):
            return
        if known is not None and self._is_equivalent(known, record):
            if renewed:
                self._records[record.key] = record
            return
        self._records.pop(record.key, None)
        self._records[record.key] = record
        version = self._version_of(record)
        if version is not None:
            self._log_version("store.version", record, version)
            self._versions[record.key] = version
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
        self,
        offset: int | None,
        wait_ms: float,
        era: int | None = None,
        version: int | None = None,
    ) -> None:
        """Wait for a record at or after an offset, or until the timeout.

        Also returns once the replica is confirmed as of the start of the
        wait, so that a peer that reads through this router learns of the
        confirmation without delay.

        :param offset: the peer's next offset; none if it has no replica yet.
        :param wait_ms: the longest wait, in ms.
        :param era: the era of the peer's offset; none if the peer names none.
        :param version: the newest version that a value of the peer names.
        """
        if era is not None and era != self.era:
            return
        if any(self._retained_for(version)):
            return
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
            r.position >= (self.era, offset) for r in self._records.values()
        )

    def _wake_waiting(self) -> None:
        self._updated.set()
        self._updated = asyncio.Event()

    def _delete_missing(self, page: records.Page) -> None:
        """Delete the keys that a snapshot doesn't hold any more."""
        held = {record.key for record in page.records}
        for key, known in list(self._records.items()):
            if key not in held and known.value is not None:
                tombstone = records.KeyedRecord(
                    page.next_offset - 1, key, None, page.era
                )
                self._apply_record(tombstone, False)

    def _prune_tombstones(self) -> None:
        """Drop the oldest tombstones above the limit."""
        deleted = [k for k, r in self._records.items() if r.value is None]
        for key in deleted[: max(0, len(deleted) - MAX_TOMBSTONES)]:
            pruned = self._records.pop(key)
            if pruned.era == self.era:
                self._deletions_known_from = max(
                    self._deletions_known_from, pruned.offset + 1
                )

    def _retained_for(
        self, version: int | None
    ) -> abc.Iterator[records.KeyedRecord]:
        """Return the values that the store lost and a peer may lack.

        :param version: the newest version that a value of the peer names;
            none if the peer names none, and gets them in a snapshot only.
        """
        if version is None:
            return
        for key, known_version in self._versions.items():
            record = self._records[key]
            if record.era < self.era and known_version > version:
                yield record

    def page_since(
        self,
        offset: int | None,
        era: int | None = None,
        version: int | None = None,
    ) -> records.Page | None:
        """Return the records that a peer lacks.

        A peer of an earlier era, or whose offset is before the known
        deletions, gets a snapshot, because keys that it holds may have been
        deleted in between. A peer that is ahead of this replica gets an empty
        page.

        :param offset: the peer's next offset; none for a snapshot.
        :param era: the era of the peer's offset; none if the peer names none
            and orders records by their offset alone.
        :param version: the newest version that a value of the peer names.
        :return: the page; none if this replica has no records yet.
        """
        if self.next_offset is None:
            return None
        if era is not None and era < self.era:
            offset = None
        elif offset is not None and (
            (self.era if era is None else era, offset)
            > (self.era, self.next_offset)
        ):
            return records.Page([], offset, True, False, self.era)
        if offset is not None and offset < self._deletions_known_from:
            offset = None
        newer = [
            record
            for record in self._records.values()
            if offset is None or record.position >= (self.era, offset)
        ]
        if offset is not None:
            newer += self._retained_for(version)
        return records.Page(
            newer, self.next_offset, True, offset is None, self.era
        )

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
    on_store_restored: abc.Callable[[], None],
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
    :param on_store_restored: called when the store has come back from an
        older copy, before what it has lost is applied.
    :param clock: the clock.
    """

    def apply(result: ReadResult) -> None:
        """Apply a result, which may tell that the store lost records."""
        if replica.starts_era(result.page):
            on_store_restored()
        replica.apply(result.page, result.as_of_ms)

    def apply_current(result: ReadResult) -> None:
        """Apply a result that shows that the store answers."""
        age_ms = replica.age_ms()
        if replica.record_store_response() and (
            age_ms is None or age_ms > OUTAGE_AGE_MS
        ):
            on_store_recovered()
        apply(result)

    backoff_ms = RETRY_DELAY_MS
    skip_store_until_ms = 0
    result = await sources.initial(replica)
    if result is not None:
        apply_current(result)
    while True:
        result = await sources.upstream(replica)
        if result is not None and replica.accepts(result.page):
            if clock.boot_ms() - result.as_of_ms <= MAX_UPSTREAM_AGE_MS:
                apply_current(result)
                continue
            apply(result)
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
                apply(result)
            await clock.sleep_ms(RETRY_DELAY_MS)
            continue
        backoff_ms = RETRY_DELAY_MS
        await clock.sleep_ms(interval_ms)


async def _read_store(replica: Replica, sources: Sources) -> ReadResult:
    """Read the store to the end of the topic.

    :raises SourceError: if the store doesn't answer, or answers in an earlier
        era than that of the replica.
    """
    offset = replica.next_offset
    era = replica.era
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
        page = result.page
        if offset is not None and page.era > era:
            # The offset was given out in an earlier era.
            offset = None
            continue
        if page.era < era:
            raise records.SourceError(f"era {page.era} after era {era}")
        if page.at_end:
            return result
        replica.apply(page, result.as_of_ms)
        offset, era = page.next_offset, page.era
