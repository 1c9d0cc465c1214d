"""Command line of the daemon and of operators."""

import sys

import click

from bulrushdale.catalogue import commands as catalogue_commands
from bulrushdale.claims import keys
from bulrushdale import clock as clock_module
from bulrushdale import commands
from bulrushdale import daemon
from bulrushdale.forwarding import settings as forwarding_settings
from bulrushdale import log_timeline
from bulrushdale import placement_command
from bulrushdale.platform import settings as platform_settings
from bulrushdale import settings as settings_module


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="bulrushdale")
def main() -> None:
    """Run and operate a fleet of routers.

    \b
    Example:
      bulrushdale check-config router.yaml
      bulrushdale router --config router.yaml
    """


def _load(path: str) -> settings_module.Settings:
    try:
        return settings_module.load(path)
    except settings_module.SettingsError as error:
        raise commands.CommandError(error.show()) from None


def _load_platform(path: str) -> forwarding_settings.Settings:
    try:
        return platform_settings.load(path)
    except settings_module.SettingsError as error:
        raise commands.CommandError(error.show()) from None


@main.command()
@click.option(
    "--config", "path", required=True, metavar="FILE", help="Settings file."
)
def router(path: str) -> None:
    """Run a router until SIGTERM, then drain it.

    \b
    Example:
      bulrushdale router --config router.yaml
    """
    daemon.run(_load(path))


@main.command("check-config")
@click.argument("path", metavar="FILE")
def check_config(path: str) -> None:
    """Check a settings FILE without starting anything.

    A file that ends in .toml has the format that the platform writes.

    \b
    Example:
      bulrushdale check-config router.yaml
    """
    if path.endswith(".toml"):
        router_name = _load_platform(path).router
    else:
        router_name = _load(path).router
    click.echo(f"{path}: settings of router {router_name} are valid")


@main.command()
def key() -> None:
    """Print a new idempotency key.

    \b
    Example:
      curl -H "Idempotency-Key: $(bulrushdale key)" ...
    """
    click.echo(keys.generate(clock_module.Clock().wall_ms()))


@main.command()
@click.argument("request_id")
@commands.ROUTER
@commands.KEY
def explain(request_id: str, url: str, operator_key: str) -> None:
    """Show the timeline of a recent request, by REQUEST_ID.

    The id is in the X-Request-Id header of every response; ask the router
    that served it.

    \b
    Example:
      bulrushdale explain 1f0c... --router http://10.1.0.1:9001
    """
    timeline = commands.call(
        url, operator_key, "GET", f"/explain/{request_id}"
    )
    code = timeline["code"]
    status = "in progress" if code is None else f"code {code}"
    click.echo(f"request {request_id} of team {timeline['team']}: {status}")
    for step in timeline["steps"]:
        click.echo(
            f"{step['elapsed_ms']:>8} ms  {step['step']:<16} {step['detail']}"
        )


@main.command()
@click.argument("request_id")
@click.argument("paths", metavar="LOG...", nargs=-1, required=True)
def story(request_id: str, paths: tuple[str, ...]) -> None:
    """Show the timeline of REQUEST_ID from the LOG files of routers.

    \b
    Example:
      bulrushdale story 9c41d07be2a35f68 logs/*.jsonl
    """
    try:
        steps = log_timeline.read(paths, request_id)
    except log_timeline.LogFileError as error:
        raise commands.CommandError(str(error)) from None
    if not steps:
        raise commands.CommandError(
            f"no line of these files names {request_id}"
        )
    for step in steps:
        click.echo(log_timeline.format_step(step))


@main.command()
@commands.ROUTER
@commands.KEY
def fleet(url: str, operator_key: str) -> None:
    """Show the state of a router: roles, peers, targets, load and bounds.

    \b
    Example:
      bulrushdale fleet --router http://10.1.0.1:9001
    """
    commands.show(commands.call(url, operator_key, "GET", "/fleet"))


main.add_command(catalogue_commands.catalogue)
main.add_command(placement_command.explain_placement)

if __name__ == "__main__":
    sys.exit(main())
