"""Counters and latency histograms of a router.

Loading the SDK that exports them takes a fifth of the startup time, during
which the router serves no requests. So instruments buffer their values until
the SDK is loaded, some time after the start or at the first scrape.
"""

from collections import abc
import importlib
import typing

# From a response of the router itself to the longest deadline, about a factor
# of two apart.
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
_EXPORTER_MODULE = "bulrushdale.forwarding.exporter"

Labels = abc.Mapping[str, str]
# Returns a gauge's value for each value of its label.
ReadGauge = abc.Callable[[], abc.Mapping[str, float]]


class Exporter(typing.Protocol):
    """Interface of the exporter, which is loaded after the start."""

    def counter(self, name: str, description: str) -> abc.Callable[..., None]:
        """Create a counter and return its add function."""

    def histogram(
        self, name: str, description: str
    ) -> abc.Callable[..., None]:
        """Create a histogram and return its record function."""

    def gauge(
        self, name: str, description: str, read: ReadGauge, label: str
    ) -> None:
        """Create a gauge whose values are read at each scrape."""

    def scrape(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""


class Instrument:
    """A counter or histogram that works before the exporter is loaded.

    :param name: the metric's name.
    :param description: the metric's description.
    """

    __slots__ = ("name", "description", "_buffered", "_record")

    def __init__(self, name: str, description: str) -> None:
        self.name = name
        self.description = description
        self._buffered: list[tuple[float, Labels]] = []
        self._record: abc.Callable[..., None] | None = None

    def record(self, value: float, labels: Labels) -> None:
        """Add to the counter, or record a value in the histogram.

        :param value: the increment of a counter, or a time in ms.
        :param labels: the values of the labels, by name.
        """
        if self._record is None:
            self._buffered.append((value, labels))
        else:
            self._record(value, labels)

    def connect(self, record: abc.Callable[..., None]) -> None:
        """Pass on the buffered values and all later ones.

        :param record: called with each value and its labels.
        """
        for value, labels in self._buffered:
            record(value, labels)
        self._buffered.clear()
        self._record = record


class Metrics:
    """The instruments of one router.

    :ivar requests: final responses by kind of route and outcome.
    :ivar attempts: requests to targets by outcome.
    :ivar first_event_ms: time to the first bytes of the response, in ms.
    :ivar answer_ms: time to the end of the response, in ms.
    :ivar store_reads: reads of the store by replica (the label ``feed``) and
        outcome.
    :ivar retries: requests sent to a further target, by service.
    :ivar target_crashes: targets that crashed while they responded, by
        service.
    :ivar permits: requests for permits of targets that limit their requests,
        by outcome.
    :ivar endings: requests to targets that were given up, by how their ends
        arrived.
    :ivar connections: requests to targets, by how they got their connection.
    :ivar relays: requests to other routers for a tunnel to a target, by
        outcome.
    :ivar resumed_streams: streams that callers took up, by outcome.
    :ivar invalid_loads: responses whose target states its load in an invalid
        way, by service.
    :ivar refusals: requests refused because their service is short of
        capacity, by service and rank.
    :ivar placements: requests to targets of the own data centre and of
        others, by kind of route.
    :ivar withheld_answers: responses whose status would have been an
        unfounded promise, by service and status.
    """

    __slots__ = (
        "requests",
        "attempts",
        "retries",
        "first_event_ms",
        "answer_ms",
        "store_reads",
        "target_crashes",
        "permits",
        "endings",
        "connections",
        "relays",
        "resumed_streams",
        "invalid_loads",
        "refusals",
        "placements",
        "withheld_answers",
        "_gauges",
        "_exporter",
    )

    def __init__(self) -> None:
        self.requests = Instrument(
            "bulrushdale_requests",
            "Final answers by kind of route and outcome.",
        )
        self.attempts = Instrument(
            "bulrushdale_attempts", "Requests to targets by outcome."
        )
        self.retries = Instrument(
            "bulrushdale_retries",
            "Requests sent to a further target, by service.",
        )
        self.first_event_ms = Instrument(
            "bulrushdale_first_event_ms",
            "Time from a request to its answer's first bytes.",
        )
        self.answer_ms = Instrument(
            "bulrushdale_answer_ms",
            "Time from a request to its answer's end.",
        )
        self.store_reads = Instrument(
            "bulrushdale_store_reads",
            "Reads of the store by feed and outcome.",
        )
        self.target_crashes = Instrument(
            "bulrushdale_target_crashes",
            "Targets that crashed while they responded, by service.",
        )
        self.permits = Instrument(
            "bulrushdale_permits",
            "Requests for permits of limited targets by outcome.",
        )
        self.endings = Instrument(
            "bulrushdale_endings",
            "Requests to targets that were given up by how the end arrived.",
        )
        self.connections = Instrument(
            "bulrushdale_connections",
            "Requests to targets by how they got their connection.",
        )
        self.relays = Instrument(
            "bulrushdale_relays",
            "Requests to other routers for a tunnel to a target by outcome.",
        )
        self.resumed_streams = Instrument(
            "bulrushdale_resumed_streams",
            "Streams that callers took up by outcome.",
        )
        self.invalid_loads = Instrument(
            "bulrushdale_invalid_loads",
            "Responses with an invalid load of their target, by service.",
        )
        self.refusals = Instrument(
            "bulrushdale_overload_refusals",
            "Requests refused for lack of capacity by service and rank.",
        )
        self.placements = Instrument(
            "bulrushdale_placements",
            "Requests to targets by data centre and kind of route.",
        )
        self.withheld_answers = Instrument(
            "bulrushdale_withheld_answers",
            "Answers with an unfounded promise by service and status.",
        )
        self._gauges: list[tuple[str, str, ReadGauge, str]] = []
        self._exporter: Exporter | None = None

    def gauge(
        self, name: str, description: str, read: ReadGauge, label: str
    ) -> None:
        """Create a gauge whose values are read at each scrape.

        :param name: the metric's name without the prefix ``bulrushdale_``.
        :param description: the metric's description.
        :param read: returns the gauge's value for each value of the label.
        :param label: the label's name.
        """
        gauge = (f"bulrushdale_{name}", description, read, label)
        self._gauges.append(gauge)
        if self._exporter is not None:
            self._exporter.gauge(*gauge)

    def connect(self) -> Exporter:
        """Load the exporter unless it is loaded, and pass it all values."""
        if self._exporter is not None:
            return self._exporter
        exporter = load_exporter_module().Exporter()
        for counter in (
            self.requests,
            self.attempts,
            self.retries,
            self.store_reads,
            self.target_crashes,
            self.permits,
            self.endings,
            self.connections,
            self.relays,
            self.resumed_streams,
            self.invalid_loads,
            self.refusals,
            self.placements,
            self.withheld_answers,
        ):
            counter.connect(
                exporter.counter(counter.name, counter.description)
            )
        for histogram in (self.first_event_ms, self.answer_ms):
            histogram.connect(
                exporter.histogram(histogram.name, histogram.description)
            )
        for gauge in self._gauges:
            exporter.gauge(*gauge)
        self._exporter = exporter
        return exporter

    def scrape(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return self.connect().scrape()


def load_exporter_module() -> typing.Any:
    """Import the module of the exporter; the first import is slow."""
    return importlib.import_module(_EXPORTER_MODULE)
