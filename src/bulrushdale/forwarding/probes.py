"""Finds out quickly which targets can't be reached.

Opening a connection costs a target almost nothing, unlike a health check,
and tells a path that is cut from a target that takes its time. A check runs
when a request to the target is silent for long, when a connection fails to a
target in the same data centre, and until an unreachable target is back.
"""

import asyncio
from collections import abc
import contextlib
import logging

from bulrushdale import clock as clock_module
from bulrushdale.routing import stall
from bulrushdale.routing import targets as targets_module

LOG = logging.getLogger(__name__)

# A connection opens within a round trip, 24 ms between regions. One that
# takes longer is tried again beside the first, as a packet may be lost...
CHECK_AGAIN_MS = 40
# ...and given up after this.
CHECK_TIMEOUT_MS = 100
# A check that ends so much later than it should tells that this router is
# busy, and may have connected without noticing.
LATE_MS = 20
# A wait that couldn't be left, as no retry was left, asks again this often;
# the window of retries moves on by tenths of its ten seconds.
ASK_INTERVAL_MS = 250
# An unreachable target is tried again this often.
REPEAT_INTERVAL_MS = 500


class Prober:
    """Checks targets and ends waits for those that are cut off.

    :param targets: all targets.
    :param clock: the clock.
    """

    __slots__ = ("_targets", "_clock", "_checks", "_waits")

    def __init__(
        self, targets: targets_module.Targets, clock: clock_module.Clock
    ) -> None:
        self._targets = targets
        self._clock = clock
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._waits: dict[str, set[abc.Callable[[], None]]] = {}

    @contextlib.asynccontextmanager
    async def watch(
        self,
        target: targets_module.Target,
        timeout_ms: float,
        patience_ms: float | None = None,
        may_leave: abc.Callable[[], bool] = lambda: False,
        begun: bool = False,
        silence_ms: float = stall.MAX_TIMEOUT_MS,
    ) -> abc.AsyncIterator[None]:
        """Limit a wait for a target, and check the target if it is silent.

        :param target: the target that is waited for.
        :param timeout_ms: the longest wait, in ms.
        :param patience_ms: when to leave for another target, in ms.
        :param may_leave: asked when the patience is over, again while it
            says no, and when the target turns out to be unreachable; the
            wait ends early if it says yes.
        :param begun: whether the target has begun its answer. Then only
            silence shows that it is cut off: what can't be connected to
            may still go on with its work.
        :param silence_ms: when to check the target, in ms.
        :raises TimeoutError: if the wait is over.
        """
        loop = asyncio.get_running_loop()
        limit = asyncio.timeout(timeout_ms / 1000)

        def leave() -> None:
            if not limit.expired() and may_leave():
                limit.reschedule(loop.time())

        def note_silent() -> None:
            self._listen(target, leave)
            if target.health.unreachable:
                leave()
            else:
                self.suspect(target)

        silence = loop.call_later(silence_ms / 1000, note_silent)
        try:
            async with limit:
                if not begun:
                    self._listen(target, leave)
                with _repeated(leave, patience_ms):
                    yield
        finally:
            silence.cancel()
            self._unlisten(target, leave)

    def _listen(
        self, target: targets_module.Target, leave: abc.Callable[[], None]
    ) -> None:
        """Have a wait told when its target turns out to be unreachable."""
        self._waits.setdefault(target.target_id, set()).add(leave)

    def _unlisten(
        self, target: targets_module.Target, leave: abc.Callable[[], None]
    ) -> None:
        waits = self._waits.get(target.target_id, set())
        waits.discard(leave)
        if not waits:
            self._waits.pop(target.target_id, None)

    def suspect(
        self, target: targets_module.Target, doubted: bool = False
    ) -> None:
        """Check a target, unless a check is under way.

        :param target: the target.
        :param doubted: whether it gets nothing until it answers.
        """
        if target.target_id not in self._checks:
            check = asyncio.ensure_future(self._check(target, doubted))
            self._checks[target.target_id] = check
            check.add_done_callback(
                lambda _: self._checks.pop(target.target_id, None)
            )

    def note_unreachable(self, target: targets_module.Target) -> None:
        """Note that a target refuses connections, or doesn't answer them."""
        if target.health.unreachable:
            return
        target.health.unreachable = True
        LOG.warning(
            "target unreachable",
            extra={
                "event": "target.unreachable",
                "target": target.target_id,
                "service": target.listing.service,
            },
        )
        for leave in list(self._waits.get(target.target_id, ())):
            leave()
        for neighbour in self._targets.all():
            near = neighbour.listing.data_centre == target.listing.data_centre
            if near and not neighbour.health.unreachable:
                self.suspect(neighbour)

    async def _check(
        self, target: targets_module.Target, doubted: bool
    ) -> None:
        target.health.suspected = doubted
        try:
            while (found := await self._reach(target)) is None:
                LOG.info(
                    "check came late",
                    extra={
                        "event": "target.unchecked",
                        "target": target.target_id,
                    },
                )
        finally:
            target.health.suspected = False
        if found:
            self._note_reachable(target)
        else:
            self.note_unreachable(target)

    async def _reach(self, target: targets_module.Target) -> bool | None:
        """Return whether a target can be connected to.

        None if this router was too busy to tell.
        """
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        tries = {asyncio.create_task(_connects(target.address))}
        try:
            if await _any_connected(tries, CHECK_AGAIN_MS):
                return True
            target.health.suspected = True
            tries.add(asyncio.create_task(_connects(target.address)))
            if await _any_connected(tries, CHECK_TIMEOUT_MS):
                return True
            refused = all(attempt.done() for attempt in tries)
            took_ms = (loop.time() - begun_s) * 1000
            late_ms = took_ms - CHECK_AGAIN_MS - CHECK_TIMEOUT_MS
            return None if late_ms > LATE_MS and not refused else False
        finally:
            for attempt in tries:
                attempt.cancel()

    def _note_reachable(self, target: targets_module.Target) -> None:
        if not target.health.unreachable:
            return
        target.health.unreachable = False
        LOG.info(
            "target reachable again",
            extra={
                "event": "target.reachable",
                "target": target.target_id,
                "service": target.listing.service,
            },
        )

    async def repeat(self) -> None:
        """Check the unreachable targets until cancelled."""
        while True:
            for target in self._targets.all():
                if target.health.unreachable and not target.leaving:
                    self.suspect(target)
            await self._clock.sleep_ms(REPEAT_INTERVAL_MS)


@contextlib.contextmanager
def _repeated(
    callback: abc.Callable[[], None], after_ms: float | None
) -> abc.Iterator[None]:
    """Call back after a time, and then again and again."""
    loop = asyncio.get_running_loop()
    timer: asyncio.TimerHandle | None = None

    def call() -> None:
        nonlocal timer
        timer = loop.call_later(ASK_INTERVAL_MS / 1000, call)
        callback()

    if after_ms is not None:
        timer = loop.call_later(after_ms / 1000, call)
    try:
        yield
    finally:
        if timer is not None:
            timer.cancel()


async def _any_connected(
    tries: set[asyncio.Task[bool]], timeout_ms: float
) -> bool:
    """Return whether one of some tries has connected in time."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_ms / 1000
    waiting = {attempt for attempt in tries if not attempt.done()}
    while waiting and loop.time() < deadline_s:
        done, waiting = await asyncio.wait(
            waiting,
            timeout=deadline_s - loop.time(),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if any(attempt.result() for attempt in done):
            return True
    return False


async def _connects(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    writer.close()
    return True
