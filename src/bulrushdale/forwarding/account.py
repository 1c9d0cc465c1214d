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
    :param fields: what every line of its log holds.
    """

    __slots__ = ("_metrics", "_clock", "_received_ms", "_kind", "_fields")

    def __init__(
        self,
        metrics: metrics_module.Metrics,
        clock: clock_module.Clock,
        received_ms: int,
        kind: str,
        **fields: typing.Any,
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._received_ms = received_ms
        self._kind = kind
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
        self._metrics.attempts.note(1, {"outcome": outcome})

    def first_event(self) -> None:
        """Record the time to the first event, or to a whole answer."""
        self._metrics.first_event_ms.note(
            self._after_ms(), {"kind": self._kind}
        )

    def answered(self, target_id: str, status: int) -> None:
        """Log and count a final answer of a target."""
        self.attempt("answered")
        self._metrics.answer_ms.note(self._after_ms(), {"kind": self._kind})
        self._metrics.requests.note(
            1, {"kind": self._kind, "outcome": str(status)}
        )
        self.log("request.answered", target=target_id, status=status)
