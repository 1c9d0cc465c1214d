"""Tables, JSON files and plots of the benches."""

import datetime
import json
import pathlib
import statistics
import typing

import click

RESULTS = pathlib.Path(__file__).parent / "results"


def median_and_range(values: list[float]) -> str:
    """Return a median with its range, as text."""
    middle = statistics.median(values)
    return f"{middle:.3g} ({min(values):.3g}-{max(values):.3g})"


def table(rows: list[dict[str, typing.Any]]) -> str:
    """Return rows as a table of Markdown."""
    names = list(rows[0])
    lines = ["| " + " | ".join(names) + " |", "|" + "---|" * len(names)]
    for row in rows:
        cells = [_cell(row[name]) for name in names]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _cell(value: typing.Any) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def slope(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return the slope and the intercept of a line through points."""
    return statistics.linear_regression(
        [x for x, _ in points], [y for _, y in points]
    )


def save(
    name: str,
    rows: list[dict[str, typing.Any]],
    slopes: dict[str, tuple[float, float]] | None = None,
) -> None:
    """Print a table and write it as JSON.

    :param name: the bench's name.
    :param rows: what was measured.
    :param slopes: for each quantity, its slope and intercept.
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
    for quantity, (rise, base) in (slopes or {}).items():
        click.echo(f"{quantity}: {rise:.4g} each, {base:.4g} at none")


def plot(
    name: str,
    series: dict[str, list[tuple[float, float]]],
    x_label: str,
    y_label: str,
) -> None:
    """Write a plot of lines.

    :param name: the bench's name.
    :param series: points by label.
    :param x_label: what is on the horizontal axis.
    :param y_label: what is on the vertical axis.
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
    """Return a bench's newest results.

    :raises FileNotFoundError: if it has not run.
    """
    return json.loads((RESULTS / f"{name}.json").read_text())
