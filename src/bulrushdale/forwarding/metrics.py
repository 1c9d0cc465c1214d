"""Counters and latency histograms of a router."""

from collections import abc
import typing

from opentelemetry.exporter import prometheus
from opentelemetry import metrics
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk.metrics import view
import prometheus_client

# From a local answer to the longest deadline, a factor of two or so apart.
LATENCY_BUCKETS_MS = (
    5,
    10,
    20,
    50,
    100,
    200,
    400,
    800,
    1_500,
    3_000,
    6_000,
    15_000,
)


Histogram = metrics.Histogram


class Metrics:
    """The instruments of one router.

    :ivar requests: final answers by kind and outcome.
    :ivar attempts: requests to targets by outcome.
    :ivar first_event_ms: time to the answer's first bytes.
    :ivar answer_ms: time to the answer's end.
    :ivar store_reads: reads of the store by feed and outcome.
    """

    __slots__ = (
        "requests",
        "attempts",
        "first_event_ms",
        "answer_ms",
        "store_reads",
        "_registry",
        "_meter",
    )

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(
            disable_target_info=True, registry=self._registry
        )
        buckets = view.View(
            instrument_name="*_ms",
            instrument_type=sdk_metrics.Histogram,
            aggregation=view.ExplicitBucketHistogramAggregation(
                LATENCY_BUCKETS_MS
            ),
        )
        provider = sdk_metrics.MeterProvider([reader], views=[buckets])
        meter = provider.get_meter("bulrushdale")
        self._meter = meter
        self.requests = meter.create_counter(
            "bulrushdale_requests",
            description="Final answers by kind of route and outcome.",
        )
        self.attempts = meter.create_counter(
            "bulrushdale_attempts",
            description="Requests to targets by outcome.",
        )
        self.first_event_ms = meter.create_histogram(
            "bulrushdale_first_event_ms",
            description="Time from a request to its answer's first bytes.",
        )
        self.answer_ms = meter.create_histogram(
            "bulrushdale_answer_ms",
            description="Time from a request to its answer's end.",
        )
        self.store_reads = meter.create_counter(
            "bulrushdale_store_reads",
            description="Reads of the store by feed and outcome.",
        )

    def gauge(
        self,
        name: str,
        description: str,
        read: abc.Callable[[], abc.Mapping[str, float]],
        label: str,
    ) -> None:
        """Export values that are read at each scrape.

        :param name: the metric's name, after ``bulrushdale_``.
        :param description: what it is.
        :param read: returns its value for each value of the label.
        :param label: the label's name.
        """

        def observe(_: typing.Any) -> list[metrics.Observation]:
            return [
                metrics.Observation(value, {label: name})
                for name, value in read().items()
            ]

        self._meter.create_observable_gauge(
            f"bulrushdale_{name}",
            callbacks=[observe],
            description=description,
        )

    def scrape(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return prometheus_client.generate_latest(self._registry)
