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
from bulrushdale.routing import targets as targets_module

LOG = logging.getLogger(__name__)

# Most answers begin, and all streams go on, within this time.
SILENCE_MS = 250
# A connection opens within a round trip, some ms inside a region; two tries
# tell a lost packet from a cut.
CHECK_TIMEOUT_MS = 120
CHECK_TRIES = 2
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
        self._waits: dict[str, set[asyncio.Timeout]] = {}

    @contextlib.asynccontextmanager
    async def watch(
        self,
        target: targets_module.Target,
        timeout_ms: float,
        may_leave: bool,
    ) -> abc.AsyncIterator[None]:
        """Limit a wait for a target, and check the target if it is silent.

        :param target: the target that is waited for.
        :param timeout_ms: the longest wait, in ms.
        :param may_leave: whether the wait ends early if the target turns out
            to be unreachable.
        :raises TimeoutError: if the wait is over.
        """
        loop = asyncio.get_running_loop()
        silence = loop.call_later(SILENCE_MS / 1000, self.suspect, target)
        waits = self._waits.setdefault(target.target_id, set())
        try:
            async with asyncio.timeout(timeout_ms / 1000) as limit:
                if may_leave:
                    waits.add(limit)
                yield
        finally:
            silence.cancel()
            waits.discard(limit)
            if not waits:
                self._waits.pop(target.target_id, None)

    def suspect(self, target: targets_module.Target) -> None:
        """Check a target, unless a check is under way."""
        if target.target_id not in self._checks:
            check = asyncio.ensure_future(self._check(target))
            self._checks[target.target_id] = check
            check.add_done_callback(
                lambda _: self._checks.pop(target.target_id, None)
            )

    def note_unreachable(self, target: targets_module.Target) -> None:
        """Note that a connection could not be opened."""
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
        now_s = asyncio.get_running_loop().time()
        for limit in list(self._waits.get(target.target_id, ())):
            limit.reschedule(now_s)
        for neighbour in self._targets.all():
            near = neighbour.listing.data_centre == target.listing.data_centre
            if near and not neighbour.health.unreachable:
                self.suspect(neighbour)

    async def _check(self, target: targets_module.Target) -> None:
        for _ in range(CHECK_TRIES):
            if await _connects(target.address):
                self._note_reachable(target)
                return
        self.note_unreachable(target)

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


async def _connects(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_MS / 1000):
            _, writer = await asyncio.open_connection(host, int(port))
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True
