"""Logs, metrics and traces."""

import contextlib
import logging
import sys
import typing

from opentelemetry import context as otel_context
from opentelemetry.exporter import prometheus
from opentelemetry import metrics
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry import trace
from opentelemetry.trace.propagation import tracecontext
import prometheus_client
from pythonjsonlogger import json as json_logger

from bulrushdale import settings as settings_module

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()
LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure_logging(router: str, level: str) -> None:
    """Write log records as lines of JSON to standard error.

    :param router: the router's name, which is added to every line.
    :param level: the lowest level that is written.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        json_logger.JsonFormatter(
            LOG_FORMAT,
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"router": router},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)


class Telemetry:
    """The metric instruments and the tracer of one router.

    :param settings: the router's settings.

    .. versionadded:: 0.1
    """

    def __init__(self, settings: settings_module.Settings) -> None:
        resource = resources.Resource.create(
            {
                "service.name": "bulrushdale",
                "service.instance.id": settings.router,
            }
        )
        self._registry = prometheus_client.REGISTRY
        reader = prometheus.PrometheusMetricReader()
        self._meter_provider = sdk_metrics.MeterProvider([reader], resource)
        meter = self._meter_provider.get_meter("bulrushdale")
        self.requests = meter.create_counter(
            "bulrushdale.requests", description="Requests by result code."
        )
        self.first_token_ms = meter.create_histogram(
            "bulrushdale.first_token",
            unit="ms",
            description="Time to the first token by class of service.",
        )
        self.dropped_frames = meter.create_counter(
            "bulrushdale.dropped_frames",
            description="Frames of engines dropped as crossed or late.",
        )
        self.retries = meter.create_counter(
            "bulrushdale.retries", description="Calls tried elsewhere."
        )
        self.withheld_answers = meter.create_counter(
            "bulrushdale.withheld_answers",
            description="Answers with an unfounded promise by status.",
        )
        self._meter = meter
        self.tracing = settings.telemetry.traces != "off"
        self.tracer = self._make_tracer(settings.telemetry, resource)

    def _make_tracer(
        self,
        settings: settings_module.Telemetry,
        resource: resources.Resource,
    ) -> trace.Tracer:
        """Return the tracer for the destination that the settings name."""
        if not self.tracing:
            return trace.NoOpTracer()
        output = sys.stdout
        if settings.traces == "file":
            output = open(settings.traces_file, "a", buffering=1)  # noqa: SIM115
        exporter = export.ConsoleSpanExporter(
            out=output, formatter=lambda span: span.to_json(None) + "\n"
        )
        provider = sdk_trace.TracerProvider(resource=resource)
        provider.add_span_processor(export.BatchSpanProcessor(exporter))
        self._tracer_provider = provider
        return provider.get_tracer("bulrushdale")

    def gauge(
        self, name: str, description: str, read: typing.Callable[[], float]
    ) -> None:
        """Export a value that is read at each scrape.

        :param name: the metric's name, after ``bulrushdale.``.
        :param description: the metric's description.
        :param read: returns the current value.
        """
        self._meter.create_observable_gauge(
            f"bulrushdale.{name}",
            callbacks=[lambda _: [metrics.Observation(read())]],
            description=description,
        )

    def traceparent(self) -> str:
        """Return the current trace context in W3C format.

        :return: the context to send to a peer; empty while traces are off.
        """
        return inject().get("traceparent", "") if self.tracing else ""

    def placement_span(
        self, traceparent: str
    ) -> typing.ContextManager[typing.Any]:
        """Return a context manager for the span of a peer's placement.

        :param traceparent: the trace context of the peer that requested the
            placement; empty for none.
        """
        if not self.tracing or not traceparent:
            return contextlib.nullcontext()
        return self.tracer.start_as_current_span(
            "placement", context=extract({"traceparent": traceparent})
        )

    def scrape(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def shutdown(self) -> None:
        """Flush the buffered spans and stop tracing."""
        if self.tracing:
            self._tracer_provider.shutdown()


def extract(headers: typing.Mapping[str, str]) -> otel_context.Context:
    """Return the trace context of a request's headers."""
    return _PROPAGATOR.extract(headers)


def inject() -> dict[str, str]:
    """Return headers that carry the current trace context."""
    headers: dict[str, str] = {}
    _PROPAGATOR.inject(headers)
    return headers
