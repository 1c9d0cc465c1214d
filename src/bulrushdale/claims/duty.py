"""The router on duty for a partition of the claims.

It batches the appends and answers from its fold. Several routers on duty
for the same partition do no harm: the log's order decides, not the duty.
"""

import asyncio
import dataclasses
import logging
import typing

from bulrushdale.claims import ledger as ledger_module
from bulrushdale import clock as clock_module
from bulrushdale.platform import log
from bulrushdale import records

LOG = logging.getLogger(__name__)

RETRY_INTERVAL_MS = 150
BATCH_ITEMS = 200
RELEASE_BACKLOG = 10_000
EXPIRE_INTERVAL_MS = 60_000
IDLE_STOP_MS = 600_000

Operation = ledger_module.Operation
Verdict = ledger_module.Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The reply to a holder.

    :param verdict: how the key stands.
    :param outcome: the key's outcome, if it is done.
    :param age_ms: how long a pending claim has had no outcome, or the log
        no answer, in ms.
    """

    verdict: ledger_module.Verdict
    outcome: ledger_module.Outcome | None = None
    age_ms: int = 0


@dataclasses.dataclass(slots=True)
class _Pending:
    item: ledger_module.Item
    future: "asyncio.Future[Decision]"
    deadline_ms: int


class Duty:
    """Serves the claims of one partition.

    :param partition: which one.
    :param client: the log.
    :param clock: the clock.
    :param life_ms: how long a key lives, in ms.
    :param interval_ms: returns the least time between two appends, in ms.

    .. versionadded:: 0.1
    """

    __slots__ = (
        "_interval_ms",
        "_stream",
        "_log",
        "_clock",
        "_ledger",
        "_queue",
        "_wake",
        "_task",
        "_expired_ms",
        "_reading",
        "used_ms",
    )

    def __init__(
        self,
        partition: int,
        client: log.Log,
        clock: clock_module.Clock,
        life_ms: int,
        interval_ms: typing.Callable[[], int],
    ) -> None:
        self._interval_ms = interval_ms
        self._stream = stream_name(partition)
        self._log = client
        self._clock = clock
        self._ledger: ledger_module.Ledger | None = None
        self._queue: list[_Pending] = []
        self._wake = asyncio.Event()
        self._expired_ms = clock.now_ms()
        self._reading = asyncio.Lock()
        self.used_ms = clock.now_ms()
        self.set_life(life_ms)
        self._task = asyncio.create_task(self._run())

    def set_life(self, life_ms: int) -> None:
        """Follow the catalogue; a longer life needs a new replay."""
        ledger = self._ledger
        if ledger is None or life_ms != ledger.life_ms:
            self._ledger = ledger_module.Ledger(life_ms)

    @property
    def ledger(self) -> ledger_module.Ledger:
        """The fold as far as it was read."""
        if self._ledger is None:
            raise RuntimeError("set_life() was not called")
        return self._ledger

    @property
    def busy(self) -> bool:
        """Whether something is still to be appended."""
        return bool(self._queue)

    async def stop(self) -> None:
        """Stop; what was not appended is refused."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._fail(self._queue)
        self._queue = []

    async def decide(
        self, item: ledger_module.Item, timeout_ms: int
    ) -> Decision:
        """Handle one request of a holder.

        :param item: the change that it asks for.
        :param timeout_ms: how long it waits for the log, in ms.
        """
        self.used_ms = self._clock.now_ms()
        if item.operation in (Operation.CLAIM, Operation.LOOK):
            decision = await self._known(item)
            if decision is not None:
                return decision
        if item.operation == Operation.LOOK:
            return Decision(Verdict.FREE)
        return await self._append(item, timeout_ms)

    async def _known(self, item: ledger_module.Item) -> Decision | None:
        """Answer from the fold where the key is known to it."""
        key = item.key
        if self.ledger.expired(key, self._clock.wall_ms()):
            return Decision(Verdict.EXPIRED)
        held = self.ledger.held(key)
        unsettled = held is not None or item.operation == Operation.LOOK
        if unsettled or not self.ledger.offset:
            try:
                await self._catch_up()
            except records.SourceError:
                return self._unavailable()
        return await self._standing(item)

    async def _standing(self, item: ledger_module.Item) -> Decision | None:
        """Return how a key stands in the fold, if it is known there."""
        held = self.ledger.held(item.key)
        if held is not None:
            if held.claim_id == item.claim_id:
                return Decision(Verdict.WON)
            if item.body and held.body != item.body:
                return Decision(Verdict.REUSED)
            age_ms = max(0, self._clock.wall_ms() - held.time_ms)
            return Decision(Verdict.PENDING, age_ms=age_ms)
        offset = self.ledger.settled(item.key)
        if offset is None:
            return None
        return await self._done(item, offset)

    async def _done(self, item: ledger_module.Item, offset: int) -> Decision:
        try:
            record = await self._log.read_one(self._stream, offset)
        except records.SourceError:
            return Decision(Verdict.PENDING)
        if record is None:
            return Decision(Verdict.EXPIRED)
        done = ledger_module.outcome_in(record, item.key)
        if done is None:
            return Decision(Verdict.PENDING)
        if item.body and done.body != item.body:
            return Decision(Verdict.REUSED)
        return Decision(Verdict.DONE, done.outcome)

    async def _append(
        self, item: ledger_module.Item, timeout_ms: int
    ) -> Decision:
        future = asyncio.get_running_loop().create_future()
        deadline_ms = self._clock.now_ms() + timeout_ms
        pending = _Pending(item, future, deadline_ms)
        if len(self._queue) >= RELEASE_BACKLOG:
            return self._unavailable()
        self._queue.append(pending)
        self._wake.set()
        return await future

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                batch = self._queue[:BATCH_ITEMS]
                del self._queue[: len(batch)]
                await self._settle(batch)
                await self._clock.sleep_ms(self._interval_ms())
            self._expire()

    async def _settle(self, batch: list[_Pending]) -> None:
        """Append a batch and read up to it.

        A lost answer is met by appending again: the fold passes over
        whatever stands in the log twice. A batch that is given up on may
        still appear; its holders then release their claims.
        """
        record = ledger_module.encode([p.item for p in batch])
        offset: int | None = None
        while True:
            now_ms = self._clock.now_ms()
            late = [p for p in batch if p.deadline_ms <= now_ms]
            self._fail(late)
            batch = [p for p in batch if p.deadline_ms > now_ms]
            if not batch:
                return
            try:
                if offset is None:
                    offset = await self._log.append(self._stream, record)
                if await self._catch_up() > offset:
                    break
            except records.SourceError as error:
                LOG.warning("claims on %s wait: %s", self._stream, error)
                if offset is None and not error.may_have_taken_effect:
                    self._fail(batch)
                    return
            await self._clock.sleep_ms(RETRY_INTERVAL_MS)
        for pending in batch:
            await self._reply(pending)

    async def _reply(self, pending: _Pending) -> None:
        decision: Decision | None = Decision(Verdict.NOTED)
        if pending.item.operation == Operation.CLAIM:
            decision = await self._standing(pending.item)
        if not pending.future.done():
            pending.future.set_result(decision or self._unavailable())

    def _fail(self, batch: list[_Pending]) -> None:
        for pending in batch:
            if not pending.future.done():
                pending.future.set_result(self._unavailable())

    def _unavailable(self) -> Decision:
        since_ms = self._log.failing_since_ms
        if since_ms is None:
            return Decision(Verdict.UNAVAILABLE)
        age_ms = max(0, self._clock.wall_ms() - since_ms)
        return Decision(Verdict.UNAVAILABLE, age_ms=age_ms)

    async def _catch_up(self) -> int:
        """Fold everything new; return the next offset.

        :raises SourceError: if the log doesn't answer.
        """
        async with self._reading:
            ledger = self.ledger
            while True:
                page = await self._log.read(self._stream, ledger.offset)
                for record in page.records:
                    ledger.fold(record)
                ledger.offset = max(ledger.offset, page.first_offset)
                if not page.records or ledger.offset >= page.end_offset:
                    return ledger.offset

    async def refresh(self) -> None:
        """Fold what is new; an outage is noted by the log's client."""
        try:
            await self._catch_up()
        except records.SourceError:
            return
        self._expire()

    def _expire(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._expired_ms > EXPIRE_INTERVAL_MS:
            self._expired_ms = now_ms
            self.ledger.expire(self._clock.wall_ms())


def stream_name(partition: int) -> str:
    """Return the name of a partition's stream in the log."""
    return f"claims-{partition:02d}"
