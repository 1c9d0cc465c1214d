"""Compares rules of placing and refusing in the emulated service."""

import dataclasses
import typing

from bench import emulator
from bench import report
from bulrushdale.routing import overload
from bulrushdale.routing import placement

SEEDS = (1, 2, 3)
# Load of three servers as a part of what they can do together.
PARTS = (0.5, 0.65, 0.8, 0.9, 1.0, 1.1, 1.3, 1.6, 2.0, 2.4)

PLACING = {
    "least loaded": (emulator.least_loaded, emulator.refuses_nothing),
    "level": (placement.choose_by_water_filling, emulator.refuses_nothing),
}
REFUSING = {
    "servers refuse": (
        placement.choose_by_water_filling,
        emulator.refuses_nothing,
    ),
    "refused ahead": (
        placement.choose_by_water_filling,
        overload.should_refuse,
    ),
}


def _load(base: emulator.Load, part: float) -> emulator.Load:
    most_per_s = base.servers * base.slots * 1000 / base.run_ms
    return dataclasses.replace(base, rate_per_s=part * most_per_s)


def _rows(
    base: emulator.Load, rules: dict[str, tuple[typing.Any, typing.Any]]
) -> list[dict[str, typing.Any]]:
    rows = []
    for part in PARTS:
        load = _load(base, part)
        for rule, (by_load, refuses) in rules.items():
            played = [
                emulator.play(load, by_load, refuses, seed) for seed in SEEDS
            ]
            rows.append(
                {
                    "load": part,
                    "rule": rule,
                    "in time": report.median_and_range(
                        [o.in_time(load.target_ms) for o in played]
                    ),
                    "p99 ms": report.median_and_range(
                        [o.p99_ms() for o in played]
                    ),
                    "rejected by servers": report.median_and_range(
                        [o.rejected / o.asked for o in played]
                    ),
                    "refused": report.median_and_range(
                        [o.refused / o.asked for o in played]
                    ),
                }
            )
    return rows


def _series(
    rows: list[dict[str, typing.Any]], quantity: str
) -> dict[str, list[tuple[float, float]]]:
    series: dict[str, list[tuple[float, float]]] = {}
    for row in rows:
        point = (row["load"], float(row[quantity].split()[0]))
        series.setdefault(row["rule"], []).append(point)
    return series


def run() -> None:
    """Play both comparisons and write tables and plots."""
    for name, rules in (("placing", PLACING), ("refusing", REFUSING)):
        rows = _rows(emulator.GROWN, rules)
        report.save(f"emulate-{name}", rows)
        report.plot(
            f"emulate-{name}",
            _series(rows, "in time"),
            "load, of what the servers can do",
            "answers in time, of all requests",
        )
