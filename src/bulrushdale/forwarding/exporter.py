"""Exports metrics through OpenTelemetry in the text format of Prometheus."""

from collections import abc
import typing

from opentelemetry.exporter import prometheus
from opentelemetry import metrics
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk.metrics import view
import prometheus_client

from bulrushdale.forwarding import metrics as metrics_module


class Exporter:
    """The metrics registry and the meter of one router."""

    __slots__ = ("_registry", "_meter")

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(
            disable_target_info=True, registry=self._registry
        )
        buckets = view.View(
            instrument_name="*_ms",
            instrument_type=sdk_metrics.Histogram,
            aggregation=view.ExplicitBucketHistogramAggregation(
                metrics_module.LATENCY_BUCKETS_MS
            ),
        )
        provider = sdk_metrics.MeterProvider([reader], views=[buckets])
        self._meter = provider.get_meter("bulrushdale")

    def counter(self, name: str, description: str) -> abc.Callable[..., None]:
        """Create a counter and return its add function."""
        return self._meter.create_counter(name, description=description).add

    def histogram(
        self, name: str, description: str
    ) -> abc.Callable[..., None]:
        """Create a histogram and return its record function."""
        histogram = self._meter.create_histogram(name, description=description)
        return histogram.record

    def gauge(
        self,
        name: str,
        description: str,
        read: metrics_module.ReadGauge,
        label: str,
    ) -> None:
        """Create a gauge whose values are read at each scrape.

        :param name: the metric's name.
        :param description: the metric's description.
        :param read: returns the gauge's value for each value of the label.
        :param label: the label's name.
        """

        def observe(_: typing.Any) -> list[metrics.Observation]:
            return [
                metrics.Observation(value, {label: name})
                for name, value in read().items()
            ]

        self._meter.create_observable_gauge(
            name, callbacks=[observe], description=description
        )

    def scrape(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return prometheus_client.generate_latest(self._registry)
