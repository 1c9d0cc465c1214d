"""Reachability checks that find unreachable targets quickly.

A check opens a TCP connection. Unlike a health check this costs the target
almost nothing, and it distinguishes a network failure from a slow target. A
check runs when a request to the target receives no data for some time, when
connections to other targets in the same data centre fail, and repeatedly
while a target is unreachable.
"""

import asyncio
from collections import abc
import contextlib
import enum
import logging
import random

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import lag
from bulrushdale.routing import stall
from bulrushdale.routing import targets as targets_module

LOG = logging.getLogger(__name__)

# A connection opens within a round trip, 24 ms between regions. If it takes
# longer a packet may be lost, so a second connection is opened in parallel.
SECOND_TRY_MS = 40
# The check fails if neither connects within this time after the second try.
CHECK_TIMEOUT_MS = 100
# Targets of a data centre that are checked if another one can't be reached.
# With three, a fault of half of the others is missed once in eight times.
SAMPLED_TARGETS = 3
# Targets of a data centre that stopped answering within this time of each
# other were lost for one cause.
LOST_TOGETHER_MS = 1_000
# A target that doesn't answer within this time is suspected.
SAMPLE_TIMEOUT_MS = SECOND_TRY_MS + 5
# The kernel closes the connections of a killed process before the socket on
# which it listens, within this time.
EXIT_MS = 20
# If the retry budget is exhausted, a waiting request asks for a retry again
# this often. The budget's window of ten seconds moves in tenths.
FAILOVER_RETRY_MS = 250
# How often an unreachable target is checked again.
RECHECK_INTERVAL_MS = 500


class _Check(enum.Enum):
    """Result of a check."""

    CONNECTED = enum.auto()
    REFUSED = enum.auto()
    NO_RESPONSE = enum.auto()
    # This router was too busy to tell.
    INCONCLUSIVE = enum.auto()


class Prober:
    """Checks targets and ends waits for unreachable ones.

    :param targets: all targets.
    :param clock: the clock.
    """

    __slots__ = ("_targets", "_clock", "_checks", "_samplings", "_waits")

    def __init__(
        self, targets: targets_module.Targets, clock: clock_module.Clock
    ) -> None:
        self._targets = targets
        self._clock = clock
        self._checks: dict[str, asyncio.Task[None]] = {}
        # Checks that find out whether a whole data centre is unreachable.
        self._samplings: dict[str, asyncio.Task[None]] = {}
        self._waits: dict[str, set[abc.Callable[[], None]]] = {}

    @contextlib.asynccontextmanager
    async def watch(
        self,
        target: targets_module.Target,
        timeout_ms: float,
        failover_ms: float | None = None,
        may_fail_over: abc.Callable[[], bool] = lambda: False,
        started: bool = False,
        check_after_ms: float = stall.MAX_TIMEOUT_MS,
        relayed: bool = False,
    ) -> abc.AsyncIterator[None]:
        """Limit a wait for a target, and check an unresponsive target.

        :param target: the target.
        :param timeout_ms: time limit of the wait, in ms.
        :param failover_ms: time after which the request may fail over to
            another target, in ms; none for never.
        :param may_fail_over: returns whether the request may fail over, which
            ends the wait early. Called after `failover_ms`, repeatedly while
            it returns false, and when the target is found unreachable.
        :param started: whether the response has started. Then the wait ends
            early only if the target is unresponsive as well, because a
            target that accepts no new connections may still complete its
            work.
        :param check_after_ms: time without data after which to check the
            target, in ms.
        :param relayed: whether another router connects to the target, so that
            what this router reaches doesn't matter.
        :raises TimeoutError: if the time is up or the request fails over.
        """
        loop = asyncio.get_running_loop()
        limit = asyncio.timeout(timeout_ms / 1000)

        def fail_over() -> None:
            if not limit.expired() and may_fail_over():
                limit.reschedule(loop.time())

        def check_target() -> None:
            if relayed:
                return
            self._register_wait(target, fail_over)
            if target.health.unreachable:
                fail_over()
            else:
                self.check(target)

        timer = loop.call_later(check_after_ms / 1000, check_target)
        try:
            async with limit:
                if not started and not relayed:
                    self._register_wait(target, fail_over)
                with _called_repeatedly(fail_over, failover_ms):
                    yield
        finally:
            timer.cancel()
            self._unregister_wait(target, fail_over)

    def _register_wait(
        self, target: targets_module.Target, fail_over: abc.Callable[[], None]
    ) -> None:
        """Register a callback for when the target is found unreachable."""
        self._waits.setdefault(target.target_id, set()).add(fail_over)

    def _unregister_wait(
        self, target: targets_module.Target, fail_over: abc.Callable[[], None]
    ) -> None:
        waits = self._waits.get(target.target_id, set())
        waits.discard(fail_over)
        if not waits:
            self._waits.pop(target.target_id, None)

    def check(
        self, target: targets_module.Target, suspected: bool = False
    ) -> asyncio.Task[None]:
        """Start a check of a target, unless one is already running.

        :param target: the target.
        :param suspected: whether to avoid the target until the check ends.
        :return: the check.
        """
        check = self._checks.get(target.target_id)
        if check is None:
            check = asyncio.ensure_future(self._run_check(target, suspected))
            self._checks[target.target_id] = check
            check.add_done_callback(
                lambda _: self._checks.pop(target.target_id, None)
            )
        return check

    async def is_unreachable(self, target: targets_module.Target) -> bool:
        """Return whether a target that closed a connection accepts no others.

        :param target: the target.
        """
        await self._clock.sleep_ms(EXIT_MS)
        await asyncio.wait({self.check(target)})
        return target.health.unreachable

    def record_unreachable(
        self, target: targets_module.Target, refused: bool = True
    ) -> None:
        """Mark a target unreachable, and check the rest of its data centre.

        :param target: the target.
        :param refused: whether it refuses connections; otherwise it doesn't
            answer them.
        """
        target.health.refusing = refused
        if target.health.unreachable:
            return
        target.health.unreachable = True
        target.health.unreachable_since_ms = self._clock.now_ms()
        LOG.warning(
            "target unreachable",
            extra={
                "event": "target.unreachable",
                "target": target.target_id,
                "service": target.listing.service,
            },
        )
        for fail_over in list(self._waits.get(target.target_id, ())):
            fail_over()
        data_centre = target.listing.data_centre
        if data_centre not in self._samplings:
            sampling = asyncio.ensure_future(
                self._check_data_centre(data_centre)
            )
            self._samplings[data_centre] = sampling
            sampling.add_done_callback(
                lambda _: self._samplings.pop(data_centre, None)
            )

    async def _check_data_centre(self, data_centre: str) -> None:
        """Check the targets of a data centre, as one can't be reached.

        Most often it is the only one, and each check is a new connection to a
        target. So a few are checked first, and the others if one of these
        doesn't answer at once.
        """
        reachable = self._reachable_targets(data_centre)
        sample = random.sample(reachable, min(SAMPLED_TARGETS, len(reachable)))
        checks = [self.check(target) for target in sample]
        if not checks:
            return
        await asyncio.wait(checks, timeout=SAMPLE_TIMEOUT_MS / 1000)
        if any(
            not check.done() or target.health.unreachable
            for check, target in zip(checks, sample, strict=True)
        ):
            for target in self._reachable_targets(data_centre):
                self.check(target)

    def _reachable_targets(
        self, data_centre: str
    ) -> list[targets_module.Target]:
        """Return the targets of a data centre that may be reachable."""
        return [
            target
            for target in self._targets.all()
            if target.listing.data_centre == data_centre
            and not target.health.unreachable
        ]

    async def _run_check(
        self, target: targets_module.Target, suspected: bool
    ) -> None:
        """Check a target until the check is conclusive; record the result."""
        target.health.suspected = suspected
        target.health.checked_ms = self._clock.now_ms()
        try:
            while (
                result := await self._connect(target)
            ) is _Check.INCONCLUSIVE:
                LOG.info(
                    "check was inconclusive because this router is busy",
                    extra={
                        "event": "target.unchecked",
                        "target": target.target_id,
                    },
                )
        finally:
            target.health.suspected = False
        if result is _Check.CONNECTED:
            self._record_reachable(target)
        else:
            self.record_unreachable(target, result is _Check.REFUSED)

    async def _connect(self, target: targets_module.Target) -> _Check:
        """Return whether a target accepts connections.

        From the second try on, the target is suspected and thus avoided.
        """
        watch = lag.LagWatch(SECOND_TRY_MS + CHECK_TIMEOUT_MS)
        tries = {asyncio.create_task(_can_connect(target))}
        try:
            with watch:
                if await _any_connected(tries, SECOND_TRY_MS):
                    return _Check.CONNECTED
                target.health.suspected = True
                tries.add(asyncio.create_task(_can_connect(target)))
                if await _any_connected(tries, CHECK_TIMEOUT_MS):
                    return _Check.CONNECTED
            if all(task.done() for task in tries):
                return _Check.REFUSED
            if watch.lagged():
                return _Check.INCONCLUSIVE
            return _Check.NO_RESPONSE
        finally:
            for task in tries:
                task.cancel()

    def _record_reachable(self, target: targets_module.Target) -> None:
        """Record that a target accepts connections again.

        Those that were lost together with it are taken for reachable as well,
        as their path was cut, not each of them. Otherwise every router would
        open a connection to every target when a cut ends. A request that
        finds one unreachable after all goes to another target.
        """
        if not target.health.unreachable:
            return
        lost_together = []
        if not target.health.refusing:
            lost_together = self._lost_together(target)
        for found in (target, *lost_together):
            self._use_again(found)

    def _lost_together(
        self, target: targets_module.Target
    ) -> list[targets_module.Target]:
        """Return the others that stopped answering when a target did."""
        since_ms = target.health.unreachable_since_ms
        return [
            other
            for other in self._unreachable_targets()
            if other is not target
            and not other.health.refusing
            and other.listing.data_centre == target.listing.data_centre
            and abs(other.health.unreachable_since_ms - since_ms)
            < LOST_TOGETHER_MS
        ]

    def _unreachable_targets(self) -> list[targets_module.Target]:
        """Return the unreachable targets that may be used again."""
        return [
            target
            for target in self._targets.all()
            if target.health.unreachable and not target.leaving
        ]

    def _use_again(self, target: targets_module.Target) -> None:
        target.health.unreachable = target.health.refusing = False
        # It may have started again under its id.
        target.assume_cold()
        target.forget_speed()
        LOG.info(
            "target reachable again",
            extra={
                "event": "target.reachable",
                "target": target.target_id,
                "service": target.listing.service,
            },
        )

    async def recheck_unreachable(self) -> None:
        """Check unreachable targets periodically until cancelled."""
        while True:
            for target in _sample_silent(self._unreachable_targets()):
                self.check(target)
            await self._clock.sleep_ms(RECHECK_INTERVAL_MS)


def _sample_silent(
    unreachable: list[targets_module.Target],
) -> abc.Iterator[targets_module.Target]:
    """Yield the unreachable targets that are to be checked again.

    Of those in a data centre that don't answer a few tell when their path is
    back. Each that refuses connections starts again by itself.
    """
    silent: dict[str, list[targets_module.Target]] = {}
    for target in unreachable:
        if target.health.refusing:
            yield target
        else:
            silent.setdefault(target.listing.data_centre, []).append(target)
    for targets in silent.values():
        yield from random.sample(targets, min(SAMPLED_TARGETS, len(targets)))


@contextlib.contextmanager
def _called_repeatedly(
    callback: abc.Callable[[], None], after_ms: float | None
) -> abc.Iterator[None]:
    """Call back periodically within the context.

    :param callback: the function to call.
    :param after_ms: delay before the first call, in ms; none for no calls.
    """
    loop = asyncio.get_running_loop()
    timer: asyncio.TimerHandle | None = None

    def call() -> None:
        nonlocal timer
        timer = loop.call_later(FAILOVER_RETRY_MS / 1000, call)
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
    """Return whether any of the tries connects within the timeout."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_ms / 1000
    waiting = {task for task in tries if not task.done()}
    while waiting and loop.time() < deadline_s:
        done, waiting = await asyncio.wait(
            waiting,
            timeout=deadline_s - loop.time(),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if any(task.result() for task in done):
            return True
    return False


async def _can_connect(target: targets_module.Target) -> bool:
    host, _, port = target.address.rpartition(":")
    try:
        _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        target.health.record_refused()
        return False
    except OSError:
        return False
    writer.close()
    return True
