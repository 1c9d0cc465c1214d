"""The software version that one stream is bound to."""

import asyncio
import contextlib

from bulrushdale.forwarding import context as context_module
from bulrushdale.forwarding import request_log as request_log_module
from bulrushdale import results
from bulrushdale.routing import messages
from bulrushdale.routing import refusals
from bulrushdale.routing import routes
from bulrushdale.routing import targets as targets_module
from bulrushdale.routing import versions

# How long a take-up waits for the version history of a router that starts, and
# for what the other routers told before. They and the store respond within a
# few ms.
RESTORE_WAIT_MS = 300
# No stream begins, breaks off and is taken up within this time.
MIN_STREAM_MS = 250
# How long a take-up waits for a list of targets that is as recent as that, and
# how often it is looked for; half of the route's time at most. The list is
# read each second.
CURRENT_WAIT_MS = 1_500
CURRENT_INTERVAL_MS = 20


def stream_id(inbound: messages.InboundRequest) -> str:
    """Return the id of the request that began a stream, or begins it."""
    return inbound.stream_id


class StreamVersion:
    """Finds and keeps the version at which one stream may go on.

    :param context: the components of the router.
    :param inbound: the request.
    :param route: its route.
    :param service: the service that is to run it.

    :ivar bound: the version that began the stream; none before that.
    """

    __slots__ = ("bound", "_context", "_inbound", "_route", "_service")

    def __init__(
        self,
        context: context_module.Context,
        inbound: messages.InboundRequest,
        route: routes.Route,
        service: str,
    ) -> None:
        self.bound: str | None = None
        self._context = context
        self._inbound = inbound
        self._route = route
        self._service = service

    @property
    def _stream_id(self) -> str:
        return stream_id(self._inbound)

    def _composition(self) -> versions.Composition:
        """Return the composition in force, and record it in the history."""
        composition = self._context.targets.composition(self._service)
        self._context.version_history.update(self._service, composition)
        return composition

    def candidates(self) -> list[str | None]:
        """Return the versions to choose a target of, the preferred first.

        A new stream prefers the version that follows from its id, so that it
        can be taken up after all routers were lost. None stands for any.
        """
        if self.bound is not None or not self._route.resumable:
            return [self.bound]
        return self._composition().preferences(self._stream_id)

    def has_targets(self) -> bool:
        """Return whether the version has a target in the list."""
        return self.bound in (None, *dict(self._composition().counts))

    def bind(self, target: targets_module.Target) -> None:
        """Let the stream go on only at the version of its first target.

        Other routers are told of it unless it follows from the stream's id.
        """
        if self.bound is not None:
            return
        self.bound = target.listing.version
        if self._route.resumable and self._possible() != {self.bound}:
            self._context.stream_versions.record(self._stream_id, self.bound)

    def _possible(self) -> frozenset[str]:
        """Return the versions that may have begun the stream by its id."""
        history = self._context.version_history
        timeout_ms = self._route.timeout_ms
        is_named = self._inbound.resume_after is None or self._inbound.resumes
        if not is_named and not history.is_settled(self._service, timeout_ms):
            return frozenset()
        return history.possible_versions(
            self._service, self._stream_id, timeout_ms
        )

    async def bind_take_up(
        self, request_log: request_log_module.RequestLog
    ) -> None:
        """Bind a stream that the caller takes up; others stay unbound.

        :param request_log: logs the decision.
        :raises RefusedError: if the version isn't known.
        """
        if self._inbound.resume_after is None:
            return
        self._composition()
        known = self._context.stream_versions.get(self._stream_id)
        if known is None:
            await self._wait_briefly(self._context.versions_restored)
            self._context.check_streams()
            await self._wait_briefly(self._context.streams_synced)
        is_current = known is not None or await self._wait_until_current()
        self._composition()
        known = known or self._context.stream_versions.get(self._stream_id)
        possible = self._possible()
        if (
            known is None
            and is_current
            and len(possible) == 1
            and self._was_told_of_others()
        ):
            (known,) = possible
        self._context.metrics.resumed_streams.record(
            1, {"outcome": "refused" if known is None else "placed"}
        )
        request_log.log(
            "request.resumed",
            resumes=self._inbound.resumes,
            software=known or "",
            possible=sorted(possible),
            current=is_current,
        )
        if known is None:
            raise refusals.refuse(
                results.Code.STREAM_NOT_RESUMABLE,
                "the software version that began the stream isn't known",
            )
        self.bound = known

    async def _wait_until_current(self) -> bool:
        """Wait for a current list; return whether the stream's id tells.

        Targets of a version that this router hasn't heard of may have begun
        the stream. If the list doesn't come, as the store is slow, a router
        that hears most others has been told of the streams that began then.
        """
        context = self._context
        began_ms = context.clock.boot_ms() - MIN_STREAM_MS
        wait_ms = min(CURRENT_WAIT_MS, self._route.timeout_ms / 2)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000):
                while not context.targets_are_current(began_ms):
                    await context.clock.sleep_ms(CURRENT_INTERVAL_MS)
                return True
        return context.peers.hears_most()

    def _was_told_of_others(self) -> bool:
        """Return whether a version that follows from an id is the right one.

        Only a stream that this router was told of began at another version.
        """
        served = self._context.version_history.served_versions(
            self._service, self._route.timeout_ms
        )
        return len(served) == 1 or self._context.streams_synced.is_set()

    async def _wait_briefly(self, restored: asyncio.Event) -> None:
        """Wait for something from before this router started."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RESTORE_WAIT_MS / 1000):
                await restored.wait()
