"""Metrics that are recorded before their exporter is loaded."""

import subprocess
import sys

from bulrushdale.forwarding import metrics as metrics_module


def value(text, name, *labels):
    """Return the value of the only line with a name and all given labels."""
    (line,) = [
        line
        for line in text.splitlines()
        if line.startswith(f"bulrushdale_{name}{{")
        and all(label in line for label in labels)
    ]
    return float(line.rpartition(" ")[2])


def test_values_recorded_before_the_exporter_are_kept():
    metrics = metrics_module.Metrics()
    metrics.requests.record(1, {"kind": "stream", "outcome": "200"})
    metrics.answer_ms.record(30, {"kind": "stream"})
    metrics.gauge("routers", "Live routers.", lambda: {"live": 3}, "state")
    metrics.connect()
    metrics.requests.record(1, {"kind": "stream", "outcome": "200"})
    metrics.gauge("targets", "Targets.", lambda: {"good": 5}, "state")
    text = metrics.scrape().decode()
    assert value(text, "requests_total", 'kind="stream"') == 2
    assert value(text, "answer_ms_bucket", 'le="50"') == 1
    assert value(text, "answer_ms_bucket", 'le="20"') == 0
    assert value(text, "routers", 'state="live"') == 3
    assert value(text, "targets", 'state="good"') == 5


def test_start_does_not_load_the_exporter():
    """The same holds for other libraries that a start doesn't need."""
    code = (
        "import sys, bulrushdale.gateway;"
        "print([n for n in ('opentelemetry', 'prometheus_client', 'pydantic',"
        " 'grpclib', 'google.protobuf') if n in sys.modules])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
    )
    assert result.stdout.strip() == "[]"
