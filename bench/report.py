"""Write tables, JSON files and plots of the benches."""

import datetime
import json
import pathlib
import statistics
import typing

import click

RESULTS = pathlib.Path(__file__).parent / "results"


def median_and_range(values: list[float]) -> str:
    """Return the median and the range of values as text."""
    median = statistics.median(values)
    return f"{median:.3g} ({min(values):.3g}-{max(values):.3g})"


def table(rows: list[dict[str, typing.Any]]) -> str:
    """Return rows as a Markdown table."""
    names = list(rows[0])
    lines = ["| " + " | ".join(names) + " |", "|" + "---|" * len(names)]
    for row in rows:
        cells = [_cell(row[name]) for name in names]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _cell(value: typing.Any) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def fit_line(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return the slope and intercept of a linear regression."""
    return statistics.linear_regression(
        [x for x, _ in points], [y for _, y in points]
    )


def print_and_save(
    name: str,
    rows: list[dict[str, typing.Any]],
    slopes: dict[str, tuple[float, float]] | None = None,
) -> None:
    """Print results as a table and write them as JSON.

    :param name: name of the bench.
    :param rows: the measurements.
    :param slopes: slope and intercept by quantity.
    """
    RESULTS.mkdir(exist_ok=True)
    data = {
        "bench": name,
        "command": f"python -m bench {name}",
        "date": datetime.date.today().isoformat(),
        "rows": rows,
        "slopes": slopes or {},
    }
    path = RESULTS / f"{name}.json"
    path.write_text(json.dumps(data, indent=1) + "\n")
    click.echo(table(rows))
    for quantity, (slope, intercept) in (slopes or {}).items():
        click.echo(f"{quantity}: {slope:.4g} each, {intercept:.4g} at none")


def plot(
    name: str,
    series: dict[str, list[tuple[float, float]]],
    x_label: str,
    y_label: str,
) -> None:
    """Write a line plot.

    :param name: name of the bench.
    :param series: points by label.
    :param x_label: label of the horizontal axis.
    :param y_label: label of the vertical axis.
    """
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "bulrushdale"
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(6, 3.5), layout="tight")
    for label, points in series.items():
        axes.plot(*zip(*points, strict=True), marker="o", label=label)
    axes.set_xlabel(x_label)
    axes.set_ylabel(y_label)
    axes.set_ylim(bottom=0)
    axes.legend()
    figure.savefig(RESULTS / f"{name}.svg", metadata={"Date": None})
    pyplot.close(figure)


def load(name: str) -> dict[str, typing.Any]:
    """Return the newest results of a bench.

    :raises FileNotFoundError: if the bench has no results.
    """
    return json.loads((RESULTS / f"{name}.json").read_text())
