"""The server of one partition of the claims.

It appends changes to the log in batches and answers from its claim table.
Several routers may serve the same partition at the same time: the order of
the log decides which claim wins, not the router that appended it.
"""

import asyncio
import dataclasses
import logging
import typing

from bulrushdale.claims import claim_table
from bulrushdale import clock as clock_module
from bulrushdale.platform import log
from bulrushdale import records

LOG = logging.getLogger(__name__)

RETRY_INTERVAL_MS = 150
MAX_BATCH_ITEMS = 200
MAX_QUEUED_ITEMS = 10_000
EXPIRE_INTERVAL_MS = 60_000
IDLE_TIMEOUT_MS = 600_000

Operation = claim_table.Operation
Verdict = claim_table.Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The reply to a claim client.

    :param verdict: the state of the key or the result of the request.
    :param outcome: the outcome of the service request, if it is done.
    :param age_ms: for a pending claim the time since it was stored, for an
        unavailable log the time since it stopped answering, in ms.
    """

    verdict: claim_table.Verdict
    outcome: claim_table.Outcome | None = None
    age_ms: int = 0


@dataclasses.dataclass(slots=True)
class _QueuedItem:
    item: claim_table.Item
    future: "asyncio.Future[Decision]"
    deadline_ms: int


class PartitionServer:
    """Serves the claims of one partition.

    :param partition: the number of the partition.
    :param log_client: the client of the log.
    :param clock: the clock.
    :param life_ms: the lifetime of a key, in ms.
    :param interval_ms: returns the minimum time between two appends, in
        ms.

    :ivar last_used_ms: when the last request arrived, in ms.

    .. versionadded:: 0.1
    """

    __slots__ = (
        "_interval_ms",
        "_stream",
        "_log_client",
        "_clock",
        "_table",
        "_queue",
        "_wake",
        "_task",
        "_last_expiry_ms",
        "_read_lock",
        "last_used_ms",
    )

    def __init__(
        self,
        partition: int,
        log_client: log.Log,
        clock: clock_module.Clock,
        life_ms: int,
        interval_ms: typing.Callable[[], int],
    ) -> None:
        self._interval_ms = interval_ms
        self._stream = stream_name(partition)
        self._log_client = log_client
        self._clock = clock
        self._table: claim_table.ClaimTable | None = None
        self._queue: list[_QueuedItem] = []
        self._wake = asyncio.Event()
        self._last_expiry_ms = clock.now_ms()
        self._read_lock = asyncio.Lock()
        self.last_used_ms = clock.now_ms()
        self.set_key_life(life_ms)
        self._task = asyncio.create_task(self._run())

    def set_key_life(self, life_ms: int) -> None:
        """Set the lifetime of keys, which the catalogue may change.

        A change starts an empty table and replays the log, because a longer
        lifetime needs keys that were removed.

        :param life_ms: the lifetime of a key, in ms.
        """
        table = self._table
        if table is None or life_ms != table.life_ms:
            self._table = claim_table.ClaimTable(life_ms)

    @property
    def table(self) -> claim_table.ClaimTable:
        """The claim table, up to the last record that was read."""
        if self._table is None:
            raise RuntimeError("set_key_life() was not called")
        return self._table

    @property
    def busy(self) -> bool:
        """Whether any change waits to be appended."""
        return bool(self._queue)

    async def stop(self) -> None:
        """Stop, and refuse the changes that were not appended."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._fail(self._queue)
        self._queue = []

    async def handle(
        self, item: claim_table.Item, timeout_ms: int
    ) -> Decision:
        """Handle one request of a claim client.

        :param item: the requested operation.
        :param timeout_ms: how long to wait for the log, in ms.
        """
        self.last_used_ms = self._clock.now_ms()
        if item.operation in (Operation.CLAIM, Operation.LOOK):
            decision = await self._check_table(item)
            if decision is not None:
                return decision
        if item.operation == Operation.LOOK:
            return Decision(Verdict.FREE)
        return await self._append(item, timeout_ms)

    async def _check_table(self, item: claim_table.Item) -> Decision | None:
        """Return a decision if the key is expired or the table has it.

        The decision is ``UNAVAILABLE`` if the log must be read first and
        can't be.
        """
        key = item.key
        if self.table.is_expired(key, self._clock.wall_ms()):
            return Decision(Verdict.EXPIRED)
        claim = self.table.pending(key)
        may_be_stale = claim is not None or item.operation == Operation.LOOK
        if may_be_stale or not self.table.offset:
            try:
                await self._catch_up()
            except records.SourceError:
                return self._unavailable()
        return await self._key_state(item)

    async def _key_state(self, item: claim_table.Item) -> Decision | None:
        """Return the state of a key, if the table has it."""
        claim = self.table.pending(item.key)
        if claim is not None:
            if claim.claim_id == item.claim_id:
                return Decision(Verdict.WON)
            if item.body_digest and claim.body_digest != item.body_digest:
                return Decision(Verdict.REUSED)
            age_ms = max(0, self._clock.wall_ms() - claim.time_ms)
            return Decision(Verdict.PENDING, age_ms=age_ms)
        offset = self.table.outcome_offset(item.key)
        if offset is None:
            return None
        return await self._read_outcome(item, offset)

    async def _read_outcome(
        self, item: claim_table.Item, offset: int
    ) -> Decision:
        """Read the outcome of a key from the log.

        The key counts as pending if the log can't be read, and as expired if
        the log no longer has the record.
        """
        try:
            record = await self._log_client.read_one(self._stream, offset)
        except records.SourceError:
            return Decision(Verdict.PENDING)
        if record is None:
            return Decision(Verdict.EXPIRED)
        found = claim_table.find_outcome(record, item.key)
        if found is None:
            return Decision(Verdict.PENDING)
        if item.body_digest and found.body_digest != item.body_digest:
            return Decision(Verdict.REUSED)
        return Decision(Verdict.DONE, found.outcome)

    async def _append(
        self, item: claim_table.Item, timeout_ms: int
    ) -> Decision:
        """Queue a change for the next batch, and wait for the decision."""
        future = asyncio.get_running_loop().create_future()
        deadline_ms = self._clock.now_ms() + timeout_ms
        queued = _QueuedItem(item, future, deadline_ms)
        if len(self._queue) >= MAX_QUEUED_ITEMS:
            return self._unavailable()
        self._queue.append(queued)
        self._wake.set()
        return await future

    async def _run(self) -> None:
        """Append the queued changes in batches until the server stops."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                batch = self._queue[:MAX_BATCH_ITEMS]
                del self._queue[: len(batch)]
                await self._commit(batch)
                await self._clock.sleep_ms(self._interval_ms())
            self._expire()

    async def _commit(self, batch: list[_QueuedItem]) -> None:
        """Append a batch, read the log up to it and reply.

        After a lost reply the batch is appended again, as the table ignores
        repeated items. A batch that is abandoned may still appear in the
        log; its claim clients then release their claims.
        """
        record = claim_table.encode([p.item for p in batch])
        offset: int | None = None
        while True:
            now_ms = self._clock.now_ms()
            overdue = [p for p in batch if p.deadline_ms <= now_ms]
            self._fail(overdue)
            batch = [p for p in batch if p.deadline_ms > now_ms]
            if not batch:
                return
            try:
                if offset is None:
                    offset = await self._log_client.append(
                        self._stream, record
                    )
                if await self._catch_up() > offset:
                    break
            except records.SourceError as error:
                LOG.warning("can't append or read %s: %s", self._stream, error)
                if offset is None and not error.may_have_taken_effect:
                    self._fail(batch)
                    return
            await self._clock.sleep_ms(RETRY_INTERVAL_MS)
        for queued in batch:
            await self._reply(queued)

    async def _reply(self, queued: _QueuedItem) -> None:
        """Reply to a change that is in the log."""
        decision: Decision | None = Decision(Verdict.NOTED)
        if queued.item.operation == Operation.CLAIM:
            decision = await self._key_state(queued.item)
        if not queued.future.done():
            queued.future.set_result(decision or self._unavailable())

    def _fail(self, batch: list[_QueuedItem]) -> None:
        """Reply to changes that the log is unavailable."""
        for queued in batch:
            if not queued.future.done():
                queued.future.set_result(self._unavailable())

    def _unavailable(self) -> Decision:
        """Return the decision while the log doesn't answer."""
        since_ms = self._log_client.failing_since_ms
        if since_ms is None:
            return Decision(Verdict.UNAVAILABLE)
        age_ms = max(0, self._clock.wall_ms() - since_ms)
        return Decision(Verdict.UNAVAILABLE, age_ms=age_ms)

    async def _catch_up(self) -> int:
        """Apply all new records and return the next offset.

        :raises SourceError: if the log doesn't answer.
        """
        async with self._read_lock:
            table = self.table
            while True:
                page = await self._log_client.read(self._stream, table.offset)
                for record in page.records:
                    table.apply(record)
                table.offset = max(table.offset, page.first_offset)
                if not page.records or table.offset >= page.end_offset:
                    return table.offset

    async def refresh(self) -> None:
        """Apply new records; the log's client records an outage."""
        try:
            await self._catch_up()
        except records.SourceError:
            return
        self._expire()

    def _expire(self) -> None:
        """Remove expired keys, at most every ``EXPIRE_INTERVAL_MS``."""
        now_ms = self._clock.now_ms()
        if now_ms - self._last_expiry_ms > EXPIRE_INTERVAL_MS:
            self._last_expiry_ms = now_ms
            self.table.remove_expired(self._clock.wall_ms())


def stream_name(partition: int) -> str:
    """Return the name of a partition's stream in the log."""
    return f"claims-{partition:02d}"
