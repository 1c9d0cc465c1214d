"""Tells from log files what became of a request, over several routers."""

from collections import abc
import dataclasses
import pathlib
import typing

import orjson

# Fields that stand in each line and say nothing of the request.
_COMMON_FIELDS = frozenset(
    {"level", "message", "router", "event", "timestamp", "request_id"}
)


class LogFileError(Exception):
    """A log file that can't be read.

    :param path: the file.
    :param reason: why not.
    """

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One decision on a request.

    :param time: when, as the router's clock read.
    :param router: which router decided.
    :param event: what it decided.
    :param details: what decided it.
    """

    time: str
    router: str
    event: str
    details: abc.Mapping[str, typing.Any]


def _parse(line: str) -> dict[str, typing.Any] | None:
    """Return the fields of a line; text before them is passed over."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        fields = orjson.loads(line[start:])
    except ValueError:
        return None
    return fields if isinstance(fields, dict) else None


def read(paths: abc.Iterable[str], request_id: str) -> list[Step]:
    """Return the steps of a request in order of time.

    :param paths: log files of routers.
    :param request_id: the request's id.
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
    """Return a step as a line for a terminal."""
    details = " ".join(
        f"{name}={value}" for name, value in step.details.items()
    )
    return f"{step.time}  {step.router}  {step.event:<20} {details}".rstrip()
