"""Log lines and metrics of one request."""

import logging
import typing

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import metrics as metrics_module

LOG = logging.getLogger(__name__)


class RequestLog:
    """Writes the log lines and metrics of one request.

    :param metrics: the metrics of the router.
    :param clock: the clock.
    :param received_ms: when the request arrived, in ms of the clock.
    :param kind: kind of the route, used as a metric label.
    :param target_latency_ms: target for the time to the first event, in ms;
        0 if the route sets none.
    :param max_gap_ms: longest allowed gap between events, in ms; 0 if the
        route sets none.
    :param fields: fields added to every log line.
    """

    __slots__ = (
        "_metrics",
        "_clock",
        "_received_ms",
        "_kind",
        "_target_latency_ms",
        "_max_gap_ms",
        "_first_event_ms",
        "_last_event_ms",
        "_longest_gap_ms",
        "_fields",
    )

    def __init__(
        self,
        metrics: metrics_module.Metrics,
        clock: clock_module.Clock,
        received_ms: int,
        kind: str,
        target_latency_ms: float = 0,
        max_gap_ms: float = 0,
        **fields: typing.Any,
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._received_ms = received_ms
        self._kind = kind
        self._target_latency_ms = target_latency_ms
        self._max_gap_ms = max_gap_ms
        self._first_event_ms: int | None = None
        self._last_event_ms = received_ms
        self._longest_gap_ms = 0
        self._fields = fields

    def _elapsed_ms(self) -> int:
        return self._clock.now_ms() - self._received_ms

    def log(self, event: str, **fields: typing.Any) -> None:
        """Write a log line for the timeline of the request.

        :param event: name of the event, listed in docs/LOGS.md.
        :param fields: inputs or outcome of a decision.
        """
        LOG.info(
            event,
            extra={
                "event": event,
                **self._fields,
                "after_ms": self._elapsed_ms(),
                **fields,
            },
        )

    def count_attempt(self, outcome: str) -> None:
        """Count an attempt by its outcome."""
        self._metrics.attempts.record(1, {"outcome": outcome})

    def record_event(self) -> None:
        """Record that an event, or a complete response, is relayed."""
        now_ms = self._clock.now_ms()
        if self._first_event_ms is None:
            self._first_event_ms = now_ms - self._received_ms
            self._metrics.first_event_ms.record(
                self._first_event_ms, {"kind": self._kind}
            )
        else:
            self._longest_gap_ms = max(
                self._longest_gap_ms, now_ms - self._last_event_ms
            )
        self._last_event_ms = now_ms

    def since_first_event_ms(self) -> int:
        """Return the time since the first event, in ms; 0 before it."""
        if self._first_event_ms is None:
            return 0
        return self._elapsed_ms() - self._first_event_ms

    def _in_time(self) -> bool:
        """Return whether latency and gaps stayed within the route's limits."""
        first_event_ms = (
            self._elapsed_ms()
            if self._first_event_ms is None
            else self._first_event_ms
        )
        if 0 < self._target_latency_ms < first_event_ms:
            return False
        return not 0 < self._max_gap_ms < self._longest_gap_ms

    def record_response(self, target_id: str, status: int) -> None:
        """Log and count the final response of a target."""
        self.count_attempt("answered")
        self._metrics.answer_ms.record(
            self._elapsed_ms(), {"kind": self._kind}
        )
        self._metrics.requests.record(
            1, {"kind": self._kind, "outcome": str(status)}
        )
        self.log(
            "request.answered",
            target=target_id,
            status=status,
            first_ms=self._first_event_ms,
            pause_ms=self._longest_gap_ms,
            in_time=self._in_time(),
        )
