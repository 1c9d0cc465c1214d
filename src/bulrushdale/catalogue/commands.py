"""Commands that read and edit the catalogue."""

import time
import typing

import click
import yaml

from bulrushdale.catalogue import entries
from bulrushdale import client as client_module
from bulrushdale import commands

STATUS_POLL_S = 0.25


@click.group()
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
        raise commands.CommandError(f"{text}: {error}") from None
    return kind, name


def _documents(path: str) -> list[tuple[str, str, typing.Any]]:
    try:
        with click.open_file(path) as file:
            found = list(yaml.safe_load_all(file))
    except OSError as error:
        raise commands.CommandError(f"{path}: {error.strerror}") from None
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        raise commands.CommandError(f"{path}: {error}") from None
    checked = []
    for number, item in enumerate(found, 1):
        place = f"{path}: document {number}"
        if not isinstance(item, dict) or set(item) != {
            "kind",
            "name",
            "spec",
        }:
            raise commands.CommandError(
                f"{place}: expected kind, name and spec"
            )
        try:
            name = entries.check_name(str(item["name"]))
            spec = entries.parse(item["kind"], item["spec"])
        except entries.InvalidEntryError as error:
            raise commands.CommandError(f"{place}: {error}") from None
        checked.append(
            (item["kind"], name, spec.model_dump(exclude_defaults=True))
        )
    return checked


@catalogue.command()
@click.argument("path", metavar="FILE")
@commands.ROUTER
@commands.KEY
@click.option("--operator", default="cli", help="Name for the history.")
def apply(path: str, url: str, operator_key: str, operator: str) -> None:
    """Create or change every entry of a YAML FILE.

    The whole file is checked first. Each document has kind, name and spec.

    \b
    Example:
      bulrushdale catalogue apply entries.yaml
    """
    wanted = _documents(path)
    listed = commands.call(url, operator_key, "GET", "/catalogue")["entries"]
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
        entry = commands.call(
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
@commands.ROUTER
@commands.KEY
def get_entry(place: str, url: str, operator_key: str) -> None:
    """Show one entry.

    \b
    Example:
      bulrushdale catalogue get team/bakery
    """
    kind, name = _place(place)
    commands.show(
        commands.call(url, operator_key, "GET", f"/catalogue/{kind}/{name}")
    )


@catalogue.command("list")
@click.argument("kind", required=False)
@commands.ROUTER
@commands.KEY
def list_entries(kind: str | None, url: str, operator_key: str) -> None:
    """List entries, of one KIND or all.

    \b
    Example:
      bulrushdale catalogue list team
    """
    query = f"?kind={kind}" if kind else ""
    found = commands.call(url, operator_key, "GET", f"/catalogue{query}")
    for entry in found["entries"]:
        click.echo(
            f"{entry['kind']}/{entry['name']}  revision {entry['revision']}"
            f"  by {entry['operator']}"
        )


@catalogue.command()
@click.argument("place", metavar="KIND/NAME")
@commands.ROUTER
@commands.KEY
def history(place: str, url: str, operator_key: str) -> None:
    """Show the edits of one entry that the log still keeps.

    \b
    Example:
      bulrushdale catalogue history team/bakery
    """
    kind, name = _place(place)
    path = f"/catalogue/{kind}/{name}/history"
    for change in commands.call(url, operator_key, "GET", path)["changes"]:
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
@commands.ROUTER
@commands.KEY
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
        revision = commands.call(url, operator_key, "GET", path)["revision"]
    headers = {"If-Match": f'"{revision}"'}
    entry = commands.call(url, operator_key, "DELETE", path, headers=headers)
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
@commands.ROUTER
@commands.KEY
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
        raise commands.CommandError(
            f"revision {revision} is not in force on {names}"
        )


def _offsets(url: str, operator_key: str) -> dict[str, int | None]:
    """Ask every router that one router knows for its offset."""
    first = commands.call(url, operator_key, "GET", "/status")
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
