"""Decide whether a response has ended where its target ended it.

A response without a length ends with its connection. The kernel ends the
connections of a killed process in the same orderly way, as soon as the peer
has taken what the process had written. If the caller reads slowly this is
seconds later, and the target may run again by then, under its id and at its
address. So the decision considers all that is known of the target since it
was sent the request, up to the arrival of the end.

A target that didn't answer for a time is no evidence: its path may have been
cut, and the kernel that ended the connection has survived. Nor is one that
refused connections, if the connection of the response was open later: what
arrives after a silence in which this router was ready to read was sent then.
"""

import asyncio
from collections import abc
import contextlib
import dataclasses
import logging

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import lag
from bulrushdale.routing import targets as targets_module

LOG = logging.getLogger(__name__)

# A caller that takes no more for this time reads slowly.
SLOW_MS = 10
# What arrives after a longer wait has just been sent; round trips take up to
# 24 ms between regions.
SILENCE_MS = 100
# How often the target of a response to a slow caller is checked. It is seen to
# be down if it takes longer than that to start again.
CHECK_INTERVAL_MS = 250


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What is known of a target when the end of its response has arrived.

    :param reachable: whether it accepts connections, or may do so.
    :param refused: whether it refused one since it was sent the request, and
        since its connection was known to be open.
    :param replaced: whether a later start of it, or of another target at its
        address, is listed.
    """

    reachable: bool
    refused: bool
    replaced: bool


def is_ended_by_target(evidence: Evidence) -> bool:
    """Return whether a target has ended its response itself.

    :param evidence: what is known of it.
    """
    return evidence.reachable and not (evidence.refused or evidence.replaced)


def find_evidence(
    target: targets_module.Target,
    targets: targets_module.Targets,
    since_ms: int,
    reachable: bool,
    connects: bool = True,
) -> Evidence:
    """Return what is known of a target.

    :param target: the target, as it was when it was sent the request.
    :param targets: all targets.
    :param since_ms: when the connection of its response was last known to be
        open, in ms of the clock; at first, when it was sent the request.
    :param reachable: whether it accepts connections now, or may do so.
    :param connects: whether this router connects to it. Otherwise another one
        relays the request, and what refuses may be the path from here.
    """
    listing = target.listing
    return Evidence(
        reachable=reachable,
        refused=connects and target.health.refused_ms > since_ms,
        replaced=any(
            other.listing.started_ms > listing.started_ms
            and (
                other.target_id == target.target_id
                or other.address == target.address
            )
            for other in targets.all()
        ),
    )


async def read_on(part: abc.Awaitable[bytes]) -> bytes:
    """Await a part of a response of which nothing is to be learned."""
    return await part


class EndWatch:
    """Watches the target of a response until the response has ended.

    :param target: the target.
    :param targets: all targets.
    :param since_ms: when it was sent the request, in ms of the clock.
    :param framed: whether the response tells where it ends; then the target
        isn't watched.
    :param has_arrived: returns whether the end of the response has arrived,
        though the caller may not have taken all before it.
    :param is_unreachable: finds out whether the target accepts no connections.
    :param check: starts a check of the target by connecting; none if this
        router doesn't connect to it.
    :param clock: the clock.
    """

    __slots__ = (
        "_target",
        "_targets",
        "_since_ms",
        "_framed",
        "_has_arrived",
        "_is_unreachable",
        "_check",
        "_clock",
        "_silent",
        "_slow",
        "_writing",
        "_watch",
        "_decision",
    )

    def __init__(
        self,
        target: targets_module.Target,
        targets: targets_module.Targets,
        since_ms: int,
        framed: bool,
        has_arrived: abc.Callable[[], bool],
        is_unreachable: abc.Callable[
            [targets_module.Target], abc.Awaitable[bool]
        ],
        check: abc.Callable[[targets_module.Target], object] | None,
        clock: clock_module.Clock,
    ) -> None:
        self._target = target
        self._targets = targets
        self._since_ms = since_ms
        self._framed = framed
        self._has_arrived = has_arrived
        self._is_unreachable = is_unreachable
        self._check = check
        self._clock = clock
        # Whether nothing arrived for a time, though this router was reading.
        self._silent = False
        # Whether the caller has read slowly since the last check.
        self._slow = False
        self._writing = False
        self._watch: asyncio.Task[None] | None = None
        self._decision: asyncio.Task[bool] | None = None

    async def read(self, part: abc.Awaitable[bytes]) -> bytes:
        """Await the next part of the response, or its end, and learn from it.

        :param part: the next part, empty at the end.
        """
        if self._framed:
            return await part
        loop = asyncio.get_running_loop()
        due_s = loop.time() + SILENCE_MS / 1000
        timer = loop.call_at(due_s, self._record_silence, due_s)
        self._silent = False
        try:
            data = await part
        finally:
            timer.cancel()
        if self._silent:
            self._since_ms = self._clock.now_ms()
        return data

    def _record_silence(self, due_s: float) -> None:
        """Record that nothing arrived, unless the event loop was blocked."""
        delay_ms = (asyncio.get_running_loop().time() - due_s) * 1000
        self._silent = delay_ms <= lag.MAX_LAG_MS

    @contextlib.contextmanager
    def writing(self) -> abc.Iterator[None]:
        """Watch the target while a part of the response is passed on."""
        if self._framed:
            yield
            return
        loop = asyncio.get_running_loop()
        timer = loop.call_later(SLOW_MS / 1000, self._record_slow)
        self._writing = True
        try:
            yield
        finally:
            self._writing = False
            timer.cancel()

    def _record_slow(self) -> None:
        self._slow = True
        if self._watch is None:
            self._watch = asyncio.create_task(self._run())

    async def _run(self) -> None:
        """Check the target until the end arrives, and decide then."""
        while not self._has_arrived():
            if self._slow:
                self._slow = self._writing
                self._check_if_due()
            await self._clock.sleep_ms(CHECK_INTERVAL_MS)
        self._decide()

    def _check_if_due(self) -> None:
        """Check the target, unless another request has done so lately."""
        due_ms = self._target.health.checked_ms + CHECK_INTERVAL_MS
        if self._check is not None and self._clock.now_ms() >= due_ms:
            self._check(self._target)

    def _decide(self) -> asyncio.Task[bool]:
        if self._decision is None:
            self._decision = asyncio.create_task(self._find_whole())
        return self._decision

    async def _find_whole(self) -> bool:
        unreachable = await self._is_unreachable(self._target)
        evidence = find_evidence(
            self._target,
            self._targets,
            self._since_ms,
            reachable=not unreachable,
            connects=self._check is not None,
        )
        if is_ended_by_target(evidence):
            return True
        LOG.warning(
            "a response may be cut off",
            extra={
                "event": "answer.cut_off",
                "target": self._target.target_id,
                "service": self._target.listing.service,
                **dataclasses.asdict(evidence),
            },
        )
        return False

    async def is_whole(self) -> bool:
        """Return whether the response, whose end was read, is whole."""
        return self._framed or await self._decide()

    def close(self) -> None:
        """Stop watching the target."""
        for task in (self._watch, self._decision):
            if task is not None:
                task.cancel()
