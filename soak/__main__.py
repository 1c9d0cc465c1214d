"""Command line of the soak: ``python -m soak --seed 1 --seconds 30``."""

import asyncio
import logging
import sys

import click

from soak import scenario


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--seeds", default=1, help="Number of consecutive seeds.")
@click.option("--seconds", default=20.0, help="Length of each run, in s.")
@click.option("--routers", default=4, help="Number of router processes.")
def main(seed: int, seeds: int, seconds: float, routers: int) -> None:
    """Inject random faults into router processes and check guarantees."""
    # The faults also break connections of the stand-ins, and asyncio would
    # log each of them.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    failed = 0
    for current in range(seed, seed + seeds):
        checker = asyncio.run(scenario.run_seed(current, seconds, routers))
        counts = ", ".join(
            f"{name}: {count}"
            for name, count in sorted(checker.outcomes.items())
        )
        own, others = checker.copies_met[True], checker.copies_met[False]
        click.echo(
            f"seed {current}: {counts}; copies met by their own request: "
            f"{own}, by others: {others}"
        )
        for line in checker.violations:
            click.echo(f"  BROKEN {line}")
        for line in checker.trace:
            click.echo(f"  {line}")
        failed += bool(checker.violations) or not checker.outcomes["200"]
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
