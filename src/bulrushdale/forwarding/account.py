"""What is logged and counted of one request on its way."""

import logging
import typing

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import metrics as metrics_module

LOG = logging.getLogger(__name__)


class Account:
    """Logs and counts what becomes of one request.

    :param metrics: where it is counted.
    :param clock: the clock.
    :param received_ms: when the request arrived.
    :param kind: its route's kind, a label of metrics.
    :param target_time_ms: within which an answer is in time, in ms; 0 if the
        route doesn't say.
    :param max_pause_ms: the longest pause of a stream in time, in ms; 0 if
        the route doesn't say.
    :param fields: what every line of its log holds.
    """

    __slots__ = (
        "_metrics",
        "_clock",
        "_received_ms",
        "_kind",
        "_target_time_ms",
        "_max_pause_ms",
        "_first_ms",
        "_event_ms",
        "_pause_ms",
        "_fields",
    )

    def __init__(
        self,
        metrics: metrics_module.Metrics,
        clock: clock_module.Clock,
        received_ms: int,
        kind: str,
        target_time_ms: float = 0,
        max_pause_ms: float = 0,
        **fields: typing.Any,
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._received_ms = received_ms
        self._kind = kind
        self._target_time_ms = target_time_ms
        self._max_pause_ms = max_pause_ms
        self._first_ms: int | None = None
        self._event_ms = received_ms
        self._pause_ms = 0
        self._fields = fields

    def _after_ms(self) -> int:
        return self._clock.now_ms() - self._received_ms

    def log(self, event: str, **fields: typing.Any) -> None:
        """Write a line of the request's story.

        :param event: one of those in docs/LOGS.md.
        :param fields: the inputs or the outcome of a decision.
        """
        LOG.info(
            event,
            extra={
                "event": event,
                **self._fields,
                "after_ms": self._after_ms(),
                **fields,
            },
        )

    def attempt(self, outcome: str) -> None:
        """Count an attempt at a target by how it ended."""
        self._metrics.attempts.record(1, {"outcome": outcome})

    def event(self) -> None:
        """Record that an event, or a whole answer, is passed on."""
        now_ms = self._clock.now_ms()
        if self._first_ms is None:
            self._first_ms = now_ms - self._received_ms
            self._metrics.first_event_ms.record(
                self._first_ms, {"kind": self._kind}
            )
        else:
            self._pause_ms = max(self._pause_ms, now_ms - self._event_ms)
        self._event_ms = now_ms

    def _in_time(self) -> bool:
        first_ms = (
            self._after_ms() if self._first_ms is None else self._first_ms
        )
        if 0 < self._target_time_ms < first_ms:
            return False
        return not 0 < self._max_pause_ms < self._pause_ms

    def answered(self, target_id: str, status: int) -> None:
        """Log and count a final answer of a target."""
        self.attempt("answered")
        self._metrics.answer_ms.record(self._after_ms(), {"kind": self._kind})
        self._metrics.requests.record(
            1, {"kind": self._kind, "outcome": str(status)}
        )
        self.log(
            "request.answered",
            target=target_id,
            status=status,
            first_ms=self._first_ms,
            pause_ms=self._pause_ms,
            in_time=self._in_time(),
        )
