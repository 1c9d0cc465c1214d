"""Reconstructs the timeline of a request from log files of several routers."""

from collections import abc
import dataclasses
import pathlib
import typing

import orjson

# Fields of every log line, which are not details of the request.
_COMMON_FIELDS = frozenset(
    {"level", "message", "router", "event", "timestamp", "request_id"}
)


class LogFileError(Exception):
    """A log file that can't be read.

    :param path: path of the file.
    :param reason: why it can't be read.
    """

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One decision of a router about a request.

    :param time: time of the decision by the router's clock.
    :param router: the router that decided.
    :param event: the decision, named by the event of its log line.
    :param details: the values that led to the decision.
    """

    time: str
    router: str
    event: str
    details: abc.Mapping[str, typing.Any]


def _parse(line: str) -> dict[str, typing.Any] | None:
    """Return the JSON fields of a line; text in front of them is skipped.

    :return: the fields; none if the line holds no JSON object.
    """
    start = line.find("{")
    if start < 0:
        return None
    try:
        fields = orjson.loads(line[start:])
    except ValueError:
        return None
    return fields if isinstance(fields, dict) else None


def read(paths: abc.Iterable[str], request_id: str) -> list[Step]:
    """Return the steps of a request, sorted by time.

    :param paths: paths of the routers' log files.
    :param request_id: the id of the request.
    :raises LogFileError: if a file can't be read.
    """
    steps = []
    for path in paths:
        try:
            text = pathlib.Path(path).read_text(errors="replace")
        except OSError as error:
            raise LogFileError(path, error.strerror or str(error)) from error
        for line in text.splitlines():
            if request_id not in line:
                continue
            fields = _parse(line)
            if fields is None or fields.get("request_id") != request_id:
                continue
            steps.append(
                Step(
                    fields.get("timestamp", ""),
                    fields.get("router", ""),
                    fields.get("event", fields.get("message", "")),
                    {
                        k: v
                        for k, v in fields.items()
                        if k not in _COMMON_FIELDS
                    },
                )
            )
    return sorted(steps, key=lambda step: step.time)


def format_step(step: Step) -> str:
    """Format a step as one line for a terminal."""
    details = " ".join(
        f"{name}={value}" for name, value in step.details.items()
    )
    return f"{step.time}  {step.router}  {step.event:<20} {details}".rstrip()
