"""Runs the soak: ``python -m soak --seed 1 --seconds 30``."""

import asyncio
import logging
import sys

import click

from soak import scenario


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--seeds", default=1, help="How many seeds, one after another.")
@click.option("--seconds", default=20.0, help="Length of each run.")
@click.option("--routers", default=4, help="Router processes.")
def main(seed: int, seeds: int, seconds: float, routers: int) -> None:
    """Play random faults on real router processes and check the promises."""
    # Faults break connections of the stand-ins too; asyncio logs each.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    failed = 0
    for number in range(seed, seed + seeds):
        checker = asyncio.run(scenario.play(number, seconds, routers))
        counts = ", ".join(
            f"{name}: {count}"
            for name, count in sorted(checker.answers.items())
        )
        click.echo(f"seed {number}: {counts}")
        for line in checker.broken:
            click.echo(f"  BROKEN {line}")
        for line in checker.trace:
            click.echo(f"  {line}")
        failed += bool(checker.broken) or not checker.answers["200"]
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
