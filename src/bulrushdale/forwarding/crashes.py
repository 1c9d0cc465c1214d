"""Detection of targets that crash while they work on requests.

A connection that breaks before its response has ended may have been reset on
the way. If the target accepts no new connections either, it counts as crashed.
"""

import asyncio
from collections import abc
import dataclasses
import logging

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import probes
from bulrushdale.routing import messages
from bulrushdale.routing import targets as targets_module

LOG = logging.getLogger(__name__)

# Prompt parts and fingerprints in a log line, to bound its length.
MAX_LOGGED_PARTS = 32

# Returns whether a target accepts no connections.
IsUnreachable = abc.Callable[[targets_module.Target], abc.Awaitable[bool]]


@dataclasses.dataclass(frozen=True, slots=True)
class LostRequest:
    """A request whose connection broke before the response ended.

    :param progress: how far the target got with the response.
    :param may_have_begun: whether the target may have begun to work on it.
    :param part_ids: shared parts of its prompt.
    :param fingerprint: name of the request, equal each time that it comes.
    """

    progress: messages.Progress
    may_have_begun: bool
    part_ids: tuple[str, ...]
    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A target that crashed, as seen by this router.

    :param target: the target.
    :param crashed_ms: when its connections broke, in ms of the clock.
    :param requests: the requests there whose response had no event yet.
    """

    target: targets_module.Target
    crashed_ms: int
    requests: tuple[LostRequest, ...]

    @property
    def begun(self) -> list[LostRequest]:
        """Requests that the target may have begun to work on."""
        return [r for r in self.requests if r.may_have_begun]

    @property
    def waiting(self) -> list[LostRequest]:
        """The other requests."""
        return [r for r in self.requests if not r.may_have_begun]


class CrashDetector:
    """Checks targets whose connections broke before a response ended.

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
        # Requests without an event that were lost since a check of their
        # target began.
        self._lost: dict[targets_module.Target, list[LostRequest]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def record_lost(
        self,
        target: targets_module.Target,
        request: LostRequest,
        is_unreachable: IsUnreachable | None = None,
    ) -> None:
        """Record a connection that broke, and check its target.

        :param target: the target.
        :param request: the request on the connection.
        :param is_unreachable: checks the target; none to connect to it.
        """
        requests = self._lost.get(target)
        if requests is None:
            requests = self._lost[target] = []
            task = asyncio.create_task(
                self._check(
                    target, is_unreachable or self._prober.is_unreachable
                )
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if request.progress is not messages.Progress.EVENTS:
            requests.append(request)

    async def _check(
        self,
        target: targets_module.Target,
        is_unreachable: IsUnreachable,
    ) -> None:
        lost_ms = self._clock.now_ms()
        try:
            crashed = await is_unreachable(target)
        finally:
            requests = tuple(self._lost.pop(target))
        if not crashed:
            return
        crash = Crash(target, lost_ms, requests)
        part_ids = sorted(
            {part for request in crash.begun for part in request.part_ids}
        )
        LOG.warning(
            "target crashed",
            extra={
                "event": "target.crashed",
                "target": target.target_id,
                "service": target.listing.service,
                "started_ms": target.listing.started_ms,
                "answering": sum(
                    request.progress is messages.Progress.BEGUN
                    for request in requests
                ),
                "parts": part_ids[:MAX_LOGGED_PARTS],
                "begun": _fingerprints(crash.begun),
                "waiting": _fingerprints(crash.waiting),
            },
        )
        self._on_crash(crash)


def _fingerprints(requests: list[LostRequest]) -> list[str]:
    return [request.fingerprint for request in requests][:MAX_LOGGED_PARTS]
