"""Compare cache reuse and skew of placement policies with baselines."""

from concurrent import futures
import typing

import click

from bench import model
from bench import report

SEEDS = range(8)
SCENES = {
    "calm": (False, False),
    "churn": (True, False),
    "surge": (False, True),
    "churn and surge": (True, True),
}
WORKLOADS = {w.name: w for w in (model.AGENCIA, model.WHEATSHEAF)}


def _run(job: tuple) -> tuple[tuple, dict[str, float]]:
    workload, scene, policy, load_multiple, seed = job
    churn, surge = SCENES[scene]
    simulation = model.Simulation(
        WORKLOADS[workload], policy, seed, churn, surge, load_multiple
    )
    return job, simulation.run().figures()


def run(workers: int) -> None:
    """Run all policies on both deployments in parallel processes.

    :param workers: number of processes.
    """
    policies = [(p, 1.25) for p in model.POLICIES]
    policies += [("bulrushdale", 1.1), ("bulrushdale", 1.5)]
    jobs = [
        (workload, scene, policy, load_multiple, seed)
        for workload in WORKLOADS
        for scene in SCENES
        for policy, load_multiple in policies
        for seed in SEEDS
    ]
    results: dict[tuple, list[dict[str, float]]] = {}
    with (
        futures.ProcessPoolExecutor(workers) as pool,
        click.progressbar(length=len(jobs), label="placement") as bar,
    ):
        for job, figures in pool.map(_run, jobs, chunksize=4):
            results.setdefault(job[:4], []).append(figures)
            bar.update(1)
    report.print_and_save(
        "placement", [_row(k, v) for k, v in results.items()]
    )


def _row(key: tuple, runs: list[dict[str, float]]) -> dict[str, typing.Any]:
    workload, scene, policy, load_multiple = key
    label = (
        policy if policy != "bulrushdale" else f"{policy} c={load_multiple}"
    )
    row = {"deployment": workload, "scene": scene, "policy": label}
    for name in runs[0]:
        row[name] = report.median_and_range([r[name] for r in runs])
    return row
