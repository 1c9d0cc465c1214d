"""Pages that list names agree with the code."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent
SOURCES = [
    *(ROOT / "src/bulrushdale/forwarding").glob("*.py"),
    *(ROOT / "src/bulrushdale/routing").glob("*.py"),
    *(ROOT / "src/bulrushdale/platform").glob("*.py"),
    ROOT / "src/bulrushdale/gateway.py",
    ROOT / "src/bulrushdale/start.py",
]
EVENT = re.compile(
    r'"((?:request|answer|configuration|target|store|link|router|log)'
    r'\.[a-z_]+)"'
)
METRIC = re.compile(r'"bulrushdale_([a-z_]+)"')
GAUGE = re.compile(r'gauge\(\s*"([a-z_]+)"')


def first_cells(page):
    lines = (ROOT / "docs" / page).read_text().splitlines()
    return {line.split("`")[1] for line in lines if line.startswith("| `")}


def found(pattern):
    text = "\n".join(path.read_text() for path in SOURCES)
    return set(pattern.findall(text))


def test_page_of_logs_lists_every_event():
    assert found(EVENT) == first_cells("LOGS.md")


def test_page_of_metrics_lists_every_metric():
    names = {f"bulrushdale_{n}" for n in found(METRIC) | found(GAUGE)}
    assert names == first_cells("METRICS.md")
