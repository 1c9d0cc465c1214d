"""Detection of targets that crash while they respond.

A connection that breaks within a response may have been reset on the way. If
the target accepts no new connections either, it counts as crashed.
"""

import asyncio
from collections import abc
import dataclasses
import logging

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import probes
from bulrushdale.routing import targets as targets_module

LOG = logging.getLogger(__name__)

# Prompt parts in a log line, to bound its length.
MAX_LOGGED_PARTS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A target that crashed, as seen by this router.

    :param target: the target.
    :param crashed_ms: when its connections broke, in ms of the clock.
    :param prompts: shared parts of the prompts whose response had begun
        without an event, one entry per request.
    """

    target: targets_module.Target
    crashed_ms: int
    prompts: tuple[tuple[str, ...], ...]


class CrashDetector:
    """Checks targets whose connections broke within a response.

    :param prober: checks whether targets accept connections.
    :param clock: the clock.
    :param on_crash: called once with each crash.
    """

    __slots__ = ("_prober", "_clock", "_on_crash", "_lost", "_tasks")

    def __init__(
        self,
        prober: probes.Prober,
        clock: clock_module.Clock,
        on_crash: abc.Callable[[Crash], None],
    ) -> None:
        self._prober = prober
        self._clock = clock
        self._on_crash = on_crash
        # Prompts of the connections lost since a check of their target began.
        self._lost: dict[targets_module.Target, list[tuple[str, ...]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def record_lost(
        self, target: targets_module.Target, part_ids: tuple[str, ...]
    ) -> None:
        """Record a connection lost within a response, and check its target.

        :param target: the target.
        :param part_ids: shared parts of the prompt, if the response had begun
            without an event; otherwise empty.
        """
        prompts = self._lost.get(target)
        if prompts is None:
            prompts = self._lost[target] = []
            task = asyncio.create_task(self._check(target))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if part_ids:
            prompts.append(part_ids)

    async def _check(self, target: targets_module.Target) -> None:
        lost_ms = self._clock.now_ms()
        try:
            crashed = await self._prober.is_unreachable(target)
        finally:
            prompts = tuple(self._lost.pop(target))
        if not crashed:
            return
        part_ids = sorted({part_id for parts in prompts for part_id in parts})
        LOG.warning(
            "target crashed",
            extra={
                "event": "target.crashed",
                "target": target.target_id,
                "service": target.listing.service,
                "started_ms": target.listing.started_ms,
                "answering": len(prompts),
                "parts": part_ids[:MAX_LOGGED_PARTS],
            },
        )
        self._on_crash(Crash(target, lost_ms, prompts))
