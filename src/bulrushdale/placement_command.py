"""Command that asks a router where a request would go."""

from collections import abc
import typing
import urllib.parse

import click
import orjson

from bulrushdale import commands
from bulrushdale.forwarding import placement_queries
from bulrushdale.platform import headers


@click.command("explain-placement")
@click.option(
    "--router",
    "url",
    envvar="BULRUSHDALE_METRICS",
    required=True,
    metavar="URL",
    help="Metrics address of a router of the platform "
    "[env: BULRUSHDALE_METRICS].",
)
@click.option("--host", required=True, help="Host of the request.")
@click.option("--path", required=True, help="Path of the request.")
@click.option(
    "--key",
    default="",
    envvar="BULRUSHDALE_API_KEY",
    help="Key of the team [env: BULRUSHDALE_API_KEY].",
)
@click.option(
    "--prompt",
    default="",
    metavar="ID:TOKENS,...",
    help="Parts of the prompt; the last one is the request's own.",
)
@click.option(
    "--last-event-id", default="", help="Last event of a stream taken up."
)
@click.option(
    "--request-id", default="", help="Id of the request; a new one if absent."
)
@click.option("--json", "as_json", is_flag=True, help="Print the answer.")
def explain_placement(
    url: str,
    host: str,
    path: str,
    key: str,
    prompt: str,
    last_event_id: str,
    request_id: str,
    as_json: bool,
) -> None:
    """Show where a router would send a request now, and why.

    Nothing is sent to a target, and the router's state stays as it is.

    \b
    Example:
      bulrushdale explain-placement --router http://10.1.0.1:9464 \\
        --host api.example --path /plan/1 --prompt book:300,own:10
    """
    query = urllib.parse.urlencode({"host": host, "path": path})
    answer = commands.call(
        url,
        key,
        "GET",
        f"{placement_queries.PATH}?{query}",
        headers=headers.encode_question(request_id, prompt, last_event_id),
    )
    if as_json:
        click.echo(orjson.dumps(answer, option=orjson.OPT_INDENT_2))
        return
    for line in _format(answer):
        click.echo(line)


def _format(answer: dict[str, typing.Any]) -> abc.Iterator[str]:
    """Yield the lines of an answer as text."""
    decision = answer["decision"]
    if "target" in decision:
        yield f"target {decision['target']}"
        if decision["copy_from"]:
            yield f"prefix copied from {decision['copy_from']}"
    else:
        yield (
            f"refused with {decision['code']} (status {decision['status']}), "
            f"retry after {decision['retry_after_ms']} ms: "
            f"{decision['detail']}"
        )
    for name in ("route", "service", "team", "rank", "urgency", "version"):
        if answer[name] is not None:
            yield f"{name} {answer[name]}"
    if answer["relayed"]:
        yield "through another router"
    ages = ", ".join(
        f"{name} {'unknown' if age_ms is None else f'{age_ms} ms'}"
        for name, age_ms in answer["input_ages_ms"].items()
    )
    yield f"ages: {ages}"
    for candidate in answer["candidates"]:
        flags = [
            name.replace("_", " ")
            for name in ("prefix_location", "cold", "slow", "needs_permit")
            if candidate[name]
        ]
        place = "own" if candidate["own"] else "other"
        yield "  ".join(
            [
                f"  {candidate['target']:<24}",
                f"load {candidate['load']}/{candidate['slots']}",
                f"{candidate['data_centre']} ({place})",
                candidate["exclusion"] or "usable",
                *flags,
            ]
        )
    for reason, count in answer["other_candidates"].items():
        yield f"  {count} more: {reason}"
