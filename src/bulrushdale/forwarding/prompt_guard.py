"""Guards targets against the prompt of one request."""

import asyncio
from collections import abc
import contextlib

from bulrushdale.forwarding import crashes
from bulrushdale.routing import messages
from bulrushdale.routing import quarantine as quarantine_module
from bulrushdale.routing import targets as targets_module


# Connections that may break before the first event of one request.
MAX_LOST = 2


class WithdrawnError(Exception):
    """The prompt got into quarantine while the request waited at a target."""


class PromptGuard:
    """Follows the attempts of a request, as evidence for and against it.

    :param quarantine: decides which requests are withheld.
    :param crash_detector: finds out which targets crashed.
    :param service: the service that is to run the request.
    :param part_ids: the shared parts of its prompt.
    :param fingerprint: name of the request, equal each time that it comes.
    :param streams: whether the response begins as soon as the target works on
        the request; other responses begin once they are complete.

    :ivar progress: how far the target got with the response.
    """

    __slots__ = (
        "_quarantine",
        "_crash_detector",
        "_service",
        "_part_ids",
        "_fingerprint",
        "_streams",
        "_withdraw",
        "_lost",
        "progress",
    )

    def __init__(
        self,
        quarantine: quarantine_module.Quarantine,
        crash_detector: crashes.CrashDetector,
        service: str,
        part_ids: tuple[str, ...],
        fingerprint: str,
        streams: bool,
    ) -> None:
        self._quarantine = quarantine
        self._crash_detector = crash_detector
        self._service = service
        self._part_ids = part_ids
        self._fingerprint = fingerprint
        self._streams = streams
        self._withdraw: abc.Callable[[], None] | None = None
        self._lost = 0
        self.progress = messages.Progress.SENT

    def check(self) -> quarantine_module.Withheld | None:
        """Return why the request is withheld; none if it may be sent now."""
        return self._quarantine.check(
            self._service, self._part_ids, self._fingerprint
        )

    @contextlib.asynccontextmanager
    async def attempt(self) -> abc.AsyncIterator[None]:
        """Watch an attempt, and withdraw it if its prompt crashes targets.

        Other targets may crash on the same prompt while the request waits for
        its first event.

        :raises WithdrawnError: if the attempt was withdrawn.
        """
        loop = asyncio.get_running_loop()
        self.progress = messages.Progress.SENT
        try:
            async with asyncio.timeout(None) as limit:
                self._withdraw = lambda: limit.reschedule(loop.time())
                with self._quarantine.watch(
                    self._service,
                    self._part_ids,
                    self._fingerprint,
                    self._withdraw,
                ):
                    yield
        except TimeoutError:
            if limit.expired():
                raise WithdrawnError from None
            raise

    def record_head(self) -> None:
        """Record that the target began a response."""
        self.progress = messages.Progress.BEGUN

    def record_event(self) -> None:
        """Record an event, or a complete response: the target bears it."""
        if self.progress is messages.Progress.EVENTS:
            return
        self.progress = messages.Progress.EVENTS
        if self._withdraw is not None:
            self._quarantine.stop_watching(self._withdraw)
        self._quarantine.record_event(
            self._service, self._part_ids, self._fingerprint
        )

    def record_lost(
        self,
        target: targets_module.Target,
        is_unreachable: crashes.IsUnreachable | None = None,
    ) -> None:
        """Record that the connection broke off before the response ended.

        :param target: the target.
        :param is_unreachable: as for :meth:`.CrashDetector.record_lost`.
        """
        if self.progress is not messages.Progress.EVENTS:
            self._lost += 1
        self._crash_detector.record_lost(
            target,
            crashes.LostRequest(
                self.progress,
                self.progress is messages.Progress.BEGUN or not self._streams,
                self._part_ids,
                self._fingerprint,
            ),
            is_unreachable,
        )

    def may_repeat(self) -> bool:
        """Return whether the request may be sent again after a failure.

        It may not if its connection broke before the first event, and it or
        its prompt is under suspicion for earlier crashes; nor if that happened
        before to the same request, as two targets may have crashed on it.
        """
        if self.progress is messages.Progress.EVENTS:
            return True
        return self._lost < MAX_LOST and self._quarantine.may_repeat(
            self._service, self._part_ids, self._fingerprint
        )
