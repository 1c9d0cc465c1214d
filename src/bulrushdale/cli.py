"""The command line: the daemon and the operators' commands."""

import sys
import time
import typing

import click
import yaml

from bulrushdale.catalogue import entries
from bulrushdale.claims import keys
from bulrushdale import client as client_module
from bulrushdale import clock as clock_module
from bulrushdale import daemon
from bulrushdale.forwarding import settings as forwarding_settings
from bulrushdale.platform import settings as platform_settings
from bulrushdale import settings as settings_module
from bulrushdale import stories

STATUS_POLL_S = 0.25


class CommandError(click.ClickException):
    """A command that failed; the text shows the way."""

    exit_code = 2

    def show(self, file: typing.IO[typing.Any] | None = None) -> None:
        click.echo(f"bulrushdale: {self.format_message()}", err=True)


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
        raise CommandError(error.show()) from None


def _load_platform(path: str) -> forwarding_settings.Settings:
    try:
        return platform_settings.load(path)
    except settings_module.SettingsError as error:
        raise CommandError(error.show()) from None


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

    A file that ends in .toml is taken for one that the platform wrote.

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


_ROUTER = click.option(
    "--router",
    "url",
    envvar="BULRUSHDALE_ROUTER",
    required=True,
    metavar="URL",
    help="Operator address of any router [env: BULRUSHDALE_ROUTER].",
)
_KEY = click.option(
    "--key",
    "operator_key",
    envvar="BULRUSHDALE_OPERATOR_KEY",
    required=True,
    metavar="KEY",
    help="The operator's key [env: BULRUSHDALE_OPERATOR_KEY].",
)


def _call(
    url: str,
    operator_key: str,
    method: str,
    path: str,
    **options: typing.Any,
) -> typing.Any:
    try:
        return client_module.call(url, operator_key, method, path, **options)
    except client_module.CallError as error:
        raise CommandError(str(error)) from None


def _print(data: typing.Any) -> None:
    click.echo(yaml.safe_dump(data, sort_keys=False).rstrip())


@main.command()
@click.argument("request_id")
@_ROUTER
@_KEY
def explain(request_id: str, url: str, operator_key: str) -> None:
    """Say what became of a recent request, by REQUEST_ID.

    The id is in the X-Request-Id header of every response; ask the router
    that served it.

    \b
    Example:
      bulrushdale explain 1f0c... --router http://10.1.0.1:9001
    """
    story = _call(url, operator_key, "GET", f"/explain/{request_id}")
    code = story["code"]
    shown = "in progress" if code is None else f"code {code}"
    click.echo(f"request {request_id} of team {story['team']}: {shown}")
    for step in story["steps"]:
        click.echo(
            f"{step['elapsed_ms']:>8} ms  {step['step']:<16} {step['detail']}"
        )


@main.command()
@click.argument("request_id")
@click.argument("paths", metavar="LOG...", nargs=-1, required=True)
def story(request_id: str, paths: tuple[str, ...]) -> None:
    """Say what became of REQUEST_ID, from the LOG files of routers.

    \b
    Example:
      bulrushdale story 9c41d07be2a35f68 logs/*.jsonl
    """
    try:
        steps = stories.read(paths, request_id)
    except stories.LogFileError as error:
        raise CommandError(str(error)) from None
    if not steps:
        raise CommandError(f"no line of these files names {request_id}")
    for step in steps:
        click.echo(stories.show(step))


@main.command()
@_ROUTER
@_KEY
def fleet(url: str, operator_key: str) -> None:
    """Show a router's view: peers, duties, targets, load and bounds.

    \b
    Example:
      bulrushdale fleet --router http://10.1.0.1:9001
    """
    _print(_call(url, operator_key, "GET", "/fleet"))


@main.group()
def catalogue() -> None:
    """Read and edit the catalogue.

    \b
    Example:
      bulrushdale catalogue apply entries.yaml
      bulrushdale catalogue status --wait 120
    """


def _place(text: str) -> tuple[str, str]:
    kind, slash, name = text.partition("/")
    try:
        entries.check_kind(kind)
        if not slash:
            raise entries.InvalidEntryError(["expected KIND/NAME"])
        entries.check_name(name)
    except entries.InvalidEntryError as error:
        raise CommandError(f"{text}: {error}") from None
    return kind, name


def _documents(path: str) -> list[tuple[str, str, typing.Any]]:
    try:
        with click.open_file(path) as file:
            found = list(yaml.safe_load_all(file))
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}") from None
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        raise CommandError(f"{path}: {error}") from None
    checked = []
    for number, item in enumerate(found, 1):
        place = f"{path}: document {number}"
        if not isinstance(item, dict) or set(item) != {
            "kind",
            "name",
            "spec",
        }:
            raise CommandError(f"{place}: expected kind, name and spec")
        try:
            name = entries.check_name(str(item["name"]))
            spec = entries.parse(item["kind"], item["spec"])
        except entries.InvalidEntryError as error:
            raise CommandError(f"{place}: {error}") from None
        checked.append(
            (item["kind"], name, spec.model_dump(exclude_defaults=True))
        )
    return checked


@catalogue.command()
@click.argument("path", metavar="FILE")
@_ROUTER
@_KEY
@click.option("--operator", default="cli", help="Name for the history.")
def apply(path: str, url: str, operator_key: str, operator: str) -> None:
    """Create or change every entry of a YAML FILE.

    The whole file is checked first. Each document has kind, name and spec.

    \b
    Example:
      bulrushdale catalogue apply entries.yaml
    """
    wanted = _documents(path)
    listed = _call(url, operator_key, "GET", "/catalogue")["entries"]
    held = {(entry["kind"], entry["name"]): entry for entry in listed}
    for kind, name, spec in wanted:
        old = held.get((kind, name))
        if old is not None and old["spec"] == spec:
            click.echo(f"{kind}/{name}: unchanged at {old['revision']}")
            continue
        condition = (
            {"If-Match": f'"{old["revision"]}"'}
            if old
            else {"If-None-Match": "*"}
        )
        entry = _call(
            url,
            operator_key,
            "PUT",
            f"/catalogue/{kind}/{name}",
            body=spec,
            headers={**condition, "X-Operator": operator},
        )
        click.echo(f"{kind}/{name}: revision {entry['revision']}")


@catalogue.command("get")
@click.argument("place", metavar="KIND/NAME")
@_ROUTER
@_KEY
def get_entry(place: str, url: str, operator_key: str) -> None:
    """Show one entry.

    \b
    Example:
      bulrushdale catalogue get team/bakery
    """
    kind, name = _place(place)
    _print(_call(url, operator_key, "GET", f"/catalogue/{kind}/{name}"))


@catalogue.command("list")
@click.argument("kind", required=False)
@_ROUTER
@_KEY
def list_entries(kind: str | None, url: str, operator_key: str) -> None:
    """List entries, of one KIND or all.

    \b
    Example:
      bulrushdale catalogue list team
    """
    query = f"?kind={kind}" if kind else ""
    found = _call(url, operator_key, "GET", f"/catalogue{query}")
    for entry in found["entries"]:
        click.echo(
            f"{entry['kind']}/{entry['name']}  revision {entry['revision']}"
            f"  by {entry['operator']}"
        )


@catalogue.command()
@click.argument("place", metavar="KIND/NAME")
@_ROUTER
@_KEY
def history(place: str, url: str, operator_key: str) -> None:
    """Show the edits of one entry that the log still keeps.

    \b
    Example:
      bulrushdale catalogue history team/bakery
    """
    kind, name = _place(place)
    path = f"/catalogue/{kind}/{name}/history"
    for change in _call(url, operator_key, "GET", path)["changes"]:
        verdict = "accepted" if change["accepted"] else "conflict"
        what = "deleted" if change["spec"] is None else change["spec"]
        click.echo(
            f"revision {change['revision']}  {verdict}"
            f"  by {change['operator']}  {what}"
        )


@catalogue.command()
@click.argument("place", metavar="KIND/NAME")
@click.option(
    "--revision", type=int, help="Delete only if this is the revision."
)
@_ROUTER
@_KEY
def delete(
    place: str, revision: int | None, url: str, operator_key: str
) -> None:
    """Delete one entry.

    \b
    Example:
      bulrushdale catalogue delete target/engine-7
    """
    kind, name = _place(place)
    path = f"/catalogue/{kind}/{name}"
    if revision is None:
        revision = _call(url, operator_key, "GET", path)["revision"]
    headers = {"If-Match": f'"{revision}"'}
    entry = _call(url, operator_key, "DELETE", path, headers=headers)
    click.echo(f"{place}: deleted at revision {entry['revision']}")


@catalogue.command()
@click.option(
    "--wait",
    "revision",
    type=int,
    metavar="REVISION",
    help="Wait until this revision is in force everywhere.",
)
@click.option("--timeout", "timeout_s", default=9.0, show_default=True)
@_ROUTER
@_KEY
def status(
    revision: int | None, timeout_s: float, url: str, operator_key: str
) -> None:
    """Show which routers have which revision in force.

    \b
    Example:
      bulrushdale catalogue status --wait 120
    """
    deadline = time.monotonic() + timeout_s
    while True:
        offsets = _offsets(url, operator_key)
        waiting = [
            name
            for name, offset in offsets.items()
            if offset is None or (revision or 0) > offset
        ]
        if not waiting or revision is None or time.monotonic() > deadline:
            break
        time.sleep(STATUS_POLL_S)
    for name, offset in offsets.items():
        shown = "unreachable" if offset is None else f"revision {offset}"
        click.echo(f"{name}  {shown}")
    if revision is not None and waiting:
        names = ", ".join(waiting)
        raise CommandError(f"revision {revision} is not in force on {names}")


def _offsets(url: str, operator_key: str) -> dict[str, int | None]:
    """Ask every router that one router knows for its offset."""
    first = _call(url, operator_key, "GET", "/status")
    offsets: dict[str, int | None] = {first["router"]: first["offset"]}
    for member in first["routers"]:
        name = member["router"]
        if name in offsets or not member["operator_address"]:
            continue
        try:
            found = client_module.call(
                member["operator_address"], operator_key, "GET", "/status"
            )
            offsets[name] = found["offset"]
        except client_module.CallError:
            offsets[name] = None
    return dict(sorted(offsets.items()))


if __name__ == "__main__":
    sys.exit(main())
