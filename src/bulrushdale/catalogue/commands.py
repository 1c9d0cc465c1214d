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


def _parse_entry_path(text: str) -> tuple[str, str]:
    """Return the kind and the name in a path KIND/NAME."""
    kind, slash, name = text.partition("/")
    try:
        entries.parse_kind(kind)
        if not slash:
            raise entries.InvalidEntryError(["expected KIND/NAME"])
        entries.check_name(name)
    except entries.InvalidEntryError as error:
        raise commands.CommandError(f"{text}: {error}") from None
    return kind, name


def _read_documents(path: str) -> list[tuple[str, str, typing.Any]]:
    """Return kind, name and checked spec of each document in a file."""
    try:
        with click.open_file(path) as file:
            documents = list(yaml.safe_load_all(file))
    except OSError as error:
        raise commands.CommandError(f"{path}: {error.strerror}") from None
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        raise commands.CommandError(f"{path}: {error}") from None
    checked = []
    for number, item in enumerate(documents, 1):
        location = f"{path}: document {number}"
        if not isinstance(item, dict) or set(item) != {
            "kind",
            "name",
            "spec",
        }:
            raise commands.CommandError(
                f"{location}: expected kind, name and spec"
            )
        try:
            name = entries.check_name(str(item["name"]))
            spec = entries.parse(item["kind"], item["spec"])
        except entries.InvalidEntryError as error:
            raise commands.CommandError(f"{location}: {error}") from None
        checked.append(
            (item["kind"], name, spec.model_dump(exclude_defaults=True))
        )
    return checked


@catalogue.command()
@click.argument("path", metavar="FILE")
@commands.ROUTER
@commands.KEY
@click.option(
    "--operator", default="cli", help="Name to record in the history."
)
def apply(path: str, url: str, operator_key: str, operator: str) -> None:
    """Create or change the entries in a YAML FILE.

    Each document has kind, name and spec. The whole file is checked before
    anything is changed.

    \b
    Example:
      bulrushdale catalogue apply entries.yaml
    """
    documents = _read_documents(path)
    listed = commands.call(url, operator_key, "GET", "/catalogue")["entries"]
    existing = {(entry["kind"], entry["name"]): entry for entry in listed}
    for kind, name, spec in documents:
        old = existing.get((kind, name))
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
    kind, name = _parse_entry_path(place)
    commands.show(
        commands.call(url, operator_key, "GET", f"/catalogue/{kind}/{name}")
    )


@catalogue.command("list")
@click.argument("kind", required=False)
@commands.ROUTER
@commands.KEY
def list_entries(kind: str | None, url: str, operator_key: str) -> None:
    """List the entries of one KIND, or of all kinds.

    \b
    Example:
      bulrushdale catalogue list team
    """
    query = f"?kind={kind}" if kind else ""
    listing = commands.call(url, operator_key, "GET", f"/catalogue{query}")
    for entry in listing["entries"]:
        click.echo(
            f"{entry['kind']}/{entry['name']}  revision {entry['revision']}"
            f"  by {entry['operator']}"
        )


@catalogue.command()
@click.argument("place", metavar="KIND/NAME")
@commands.ROUTER
@commands.KEY
def history(place: str, url: str, operator_key: str) -> None:
    """Show the edits of one entry that are still in the log.

    \b
    Example:
      bulrushdale catalogue history team/bakery
    """
    kind, name = _parse_entry_path(place)
    path = f"/catalogue/{kind}/{name}/history"
    for change in commands.call(url, operator_key, "GET", path)["changes"]:
        outcome = "accepted" if change["accepted"] else "conflict"
        content = "deleted" if change["spec"] is None else change["spec"]
        click.echo(
            f"revision {change['revision']}  {outcome}"
            f"  by {change['operator']}  {content}"
        )


@catalogue.command()
@click.argument("place", metavar="KIND/NAME")
@click.option(
    "--revision",
    type=int,
    help="Delete only if the entry is at this revision.",
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
    kind, name = _parse_entry_path(place)
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
    help="Wait until this revision is in force on all routers.",
)
@click.option("--timeout", "timeout_s", default=9.0, show_default=True)
@commands.ROUTER
@commands.KEY
def status(
    revision: int | None, timeout_s: float, url: str, operator_key: str
) -> None:
    """Show the revision in force on each router.

    \b
    Example:
      bulrushdale catalogue status --wait 120
    """
    deadline = time.monotonic() + timeout_s
    while True:
        revisions = _revisions_in_force(url, operator_key)
        behind = [
            name
            for name, in_force in revisions.items()
            if in_force is None or (revision or 0) > in_force
        ]
        if not behind or revision is None or time.monotonic() > deadline:
            break
        time.sleep(STATUS_POLL_S)
    for name, in_force in revisions.items():
        shown = "unreachable" if in_force is None else f"revision {in_force}"
        click.echo(f"{name}  {shown}")
    if revision is not None and behind:
        names = ", ".join(behind)
        raise commands.CommandError(
            f"revision {revision} is not in force on {names}"
        )


def _revisions_in_force(url: str, operator_key: str) -> dict[str, int | None]:
    """Return the revision in force on each router.

    Routers without a known operator address are left out. The revision of a
    router whose call fails is None.
    """
    first_status = commands.call(url, operator_key, "GET", "/status")
    revisions: dict[str, int | None] = {
        first_status["router"]: first_status["offset"]
    }
    for member in first_status["routers"]:
        name = member["router"]
        if name in revisions or not member["operator_address"]:
            continue
        try:
            reply = client_module.call(
                member["operator_address"], operator_key, "GET", "/status"
            )
            revisions[name] = reply["offset"]
        except client_module.CallError:
            revisions[name] = None
    return dict(sorted(revisions.items()))
