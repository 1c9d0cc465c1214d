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
MAX_DROPPED = 2_000
RETRY_DELAY_MS = 400
# While the store is away for the reader too, the others leave it alone for
# longer and longer, up to this.
MAX_PAUSE_MS = 3_000
# Through an outage of the store itself no copy in the fleet is confirmed; one
# that is younger than this was confirmed by a peer, and the store was there.
OUTAGE_AGE_MS = 2_500

# A copy that the reader gives must not be older; its own reads are this often
# or more, and an older one shows that it is cut off.
READER_AGE_MS = 1_000

Apply = abc.Callable[[str, bytes | None], None]
Meaning = abc.Callable[[str, bytes], object]
Confirm = abc.Callable[[int], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
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


class Feed:
    """Follows one keyed topic; a record never gives way to an older one.

    :param name: the topic's name, for logs and peers.
    :param apply: called with each key that changed, and its value or none.
    :param confirm: called with the time, in ms of the boot clock, at which
        the copy was last known to be up to date.
    :param meaning: what a value says; a record that says the same as the
        one before isn't passed on to peers.
    :param count_read: counts a read by this feed's name and outcome.
    :param clock: the clock.

    :ivar next_offset: where to read on; none before the first page.
    :ivar confirmed_ms: when the copy was last known to be up to date, in ms
        of the boot clock; none if it never was.
    """

    __slots__ = (
        "name",
        "_apply",
        "_confirm",
        "_meaning",
        "_news",
        "_clock",
        "_records",
        "_drops_from",
        "next_offset",
        "confirmed_ms",
        "away",
        "_up_since_ms",
        "_count_read",
    )

    def __init__(
        self,
        name: str,
        apply: Apply,
        confirm: Confirm,
        meaning: Meaning,
        count_read: abc.Callable[[str, str], None],
        clock: clock_module.Clock,
    ) -> None:
        self.name = name
        self._apply = apply
        self._confirm = confirm
        self._meaning = meaning
        self._news = asyncio.Event()
        self._count_read = count_read
        self._clock = clock
        self._records: dict[str, records.KeyedRecord] = {}
        # Of keys that were dropped before this offset nothing may be known.
        self._drops_from = 0
        self.next_offset: int | None = None
        self.confirmed_ms: int | None = None
        self.away = False
        self._up_since_ms: int | None = None

    def take(self, page: records.Page, as_of_ms: int) -> None:
        """Take over a page.

        :param page: what was read.
        :param as_of_ms: when the read began, in ms of the boot clock.
        """
        if page.snapshot:
            self._drop_missing(page)
            self._drops_from = max(self._drops_from, page.next_offset)
        changed = {record.key: record for record in page.records}
        for record in changed.values():
            self._put(record)
        if self.next_offset is None or page.next_offset > self.next_offset:
            self.next_offset = page.next_offset
        if page.at_end and (
            self.confirmed_ms is None or as_of_ms > self.confirmed_ms
        ):
            self.confirmed_ms = as_of_ms
            self._confirm(as_of_ms)
            self._tell_waiting()

    def _put(self, record: records.KeyedRecord) -> None:
        known = self._records.get(record.key)
        if known is not None and known.offset >= record.offset:
            return
        if known is not None and self._says_the_same(known, record):
            return
        self._records.pop(record.key, None)
        self._records[record.key] = record
        self._apply(record.key, record.value)
        if record.value is None:
            self._forget_dropped()
        self._tell_waiting()

    def _says_the_same(
        self, known: records.KeyedRecord, record: records.KeyedRecord
    ) -> bool:
        if known.value is None or record.value is None:
            return known.value is record.value
        if known.value == record.value:
            return True
        return self._meaning(known.key, known.value) == self._meaning(
            record.key, record.value
        )

    async def wait_for_news(self, offset: int | None, wait_ms: float) -> None:
        """Return once there is a record from an offset on, or time is up.

        Also once the copy is known to be up to date as of now: a peer that
        reads through this router learns it without delay.

        :param offset: where a peer would read on; none if any copy is news.
        :param wait_ms: the longest wait, in ms.
        """
        asked_ms = self._clock.boot_ms()
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while not self._has_news(offset, asked_ms):
                    await self._news.wait()
        except TimeoutError:
            return

    def _has_news(self, offset: int | None, since_ms: int) -> bool:
        if offset is None:
            return self.next_offset is not None
        if self.confirmed_ms is not None and self.confirmed_ms >= since_ms:
            return True
        return offset < self._drops_from or any(
            r.offset >= offset for r in self._records.values()
        )

    def _tell_waiting(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

    def _drop_missing(self, page: records.Page) -> None:
        """Drop the keys that a snapshot doesn't hold any more."""
        held = {record.key for record in page.records}
        for key, known in list(self._records.items()):
            if (
                key not in held
                and known.value is not None
                and known.offset < page.next_offset
            ):
                dropped = records.KeyedRecord(page.next_offset - 1, key, None)
                self._put(dropped)

    def _forget_dropped(self) -> None:
        dropped = [k for k, r in self._records.items() if r.value is None]
        for key in dropped[: max(0, len(dropped) - MAX_DROPPED)]:
            forgotten = self._records.pop(key)
            self._drops_from = max(self._drops_from, forgotten.offset + 1)

    def since(self, offset: int | None) -> records.Page | None:
        """Return what a peer lacks; none if there is no copy yet.

        A peer that is behind this copy's beginning gets everything: keys
        that it knows may have been dropped in between.

        :param offset: where the peer would read on; none for everything.
        """
        if self.next_offset is None:
            return None
        if offset is not None and offset > self.next_offset:
            return records.Page([], offset, True, False)
        if offset is not None and offset < self._drops_from:
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

    def up_ms(self) -> int:
        """Return for how long the store has answered each read, in ms."""
        if self.away or self._up_since_ms is None:
            return 0
        return self._clock.now_ms() - self._up_since_ms

    def note_away(self, error: Exception) -> None:
        """Note that the store gave no answer."""
        self._count_read(self.name, "failed")
        if not self.away:
            LOG.warning(
                "store unreachable",
                extra={
                    "event": "store.lost",
                    "topic": self.name,
                    "reason": str(error),
                    "age_ms": self.age_ms(),
                },
            )
        self.away = True

    def note_back(self) -> bool:
        """Note an answer of the store.

        :return: whether it had been away.
        """
        self._count_read(self.name, "answered")
        if self.away or self._up_since_ms is None:
            self._up_since_ms = self._clock.now_ms()
        was_away, self.away = self.away, False
        if was_away:
            LOG.info(
                "store reachable again",
                extra={
                    "event": "store.regained",
                    "topic": self.name,
                    "age_ms": self.age_ms(),
                },
            )
        return was_away


@dataclasses.dataclass(frozen=True, slots=True)
class Sources:
    """Where a feed's records are read.

    :param first: reads a first copy from some other router. It comes
        compressed, which the store doesn't do, and costs no call.
    :param store: reads from an offset on, or everything for none.
    :param reader: reads from the router that reads for this one; none while
        this one reads the store.
    :param peers: reads from any routers that can be reached.
    """

    first: abc.Callable[[Feed], abc.Awaitable[Reading | None]]
    store: abc.Callable[[int | None], abc.Awaitable[Reading]]
    reader: abc.Callable[[Feed], abc.Awaitable[Reading | None]]
    peers: abc.Callable[[Feed], abc.Awaitable[Reading | None]]


async def follow(
    feed: Feed,
    sources: Sources,
    interval_ms: int,
    back: abc.Callable[[], None],
    clock: clock_module.Clock,
) -> None:
    """Keep a feed up to date until cancelled.

    :param feed: the feed.
    :param sources: where its records are read.
    :param interval_ms: pause between reads.
    :param back: called when the store is back after an outage for all.
    :param clock: the clock.
    """

    def take(reading: Reading) -> None:
        age_ms = feed.age_ms()
        if feed.note_back() and (age_ms is None or age_ms > OUTAGE_AGE_MS):
            back()
        feed.take(reading.page, reading.as_of_ms)

    pause_ms = RETRY_DELAY_MS
    spared_until_ms = 0
    reading = await sources.first(feed)
    if reading is not None:
        take(reading)
    while True:
        reading = await sources.reader(feed)
        if reading is not None:
            if clock.boot_ms() - reading.as_of_ms <= READER_AGE_MS:
                take(reading)
                continue
            feed.take(reading.page, reading.as_of_ms)
            if clock.now_ms() < spared_until_ms:
                await clock.sleep_ms(RETRY_DELAY_MS)
                continue
        try:
            take(await _read_store(feed, sources))
        except records.SourceError as error:
            feed.note_away(error)
            if reading is not None:
                # The reader still tries; the others spare the store.
                spared_until_ms = clock.now_ms() + pause_ms
                pause_ms = min(2 * pause_ms, MAX_PAUSE_MS)
            reading = await sources.peers(feed)
            if reading is not None:
                feed.take(reading.page, reading.as_of_ms)
            await clock.sleep_ms(RETRY_DELAY_MS)
            continue
        pause_ms = RETRY_DELAY_MS
        await clock.sleep_ms(interval_ms)


async def _read_store(feed: Feed, sources: Sources) -> Reading:
    """Read the store up to its end.

    :raises SourceError: without an answer.
    """
    offset = feed.next_offset
    while True:
        try:
            reading = await sources.store(offset)
        except records.RecordsExpiredError:
            LOG.info(
                "history expired",
                extra={"event": "store.history_gone", "topic": feed.name},
            )
            offset = None
            continue
        if reading.page.at_end:
            return reading
        feed.take(reading.page, reading.as_of_ms)
        offset = reading.page.next_offset
