"""The YAML settings file of a router and its schema."""

import pathlib
import typing
from typing import Annotated

import pydantic
import yaml

from bulrushdale import settings_error

SettingsError = settings_error.SettingsError

Port = Annotated[int, pydantic.Field(ge=1, le=65535)]
PositiveMs = Annotated[int, pydantic.Field(gt=0)]
Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


def _check_host(value: str) -> str:
    try:
        pydantic.TypeAdapter(pydantic.IPvAnyAddress).validate_python(value)
    except pydantic.ValidationError:
        raise ValueError("expected an IP number, such as 10.1.2.3") from None
    return value


Host = Annotated[str, pydantic.AfterValidator(_check_host)]


class Listen(_Section):
    """The addresses on which a router listens."""

    host: Host
    caller_port: Port
    operator_port: Port
    link_port: Port


class Platform(_Section):
    """The platform's services and how they are read."""

    store_url: str
    vm_list_url: str
    poll_interval_ms: PositiveMs = 1000
    request_timeout_ms: PositiveMs = 2000
    retention_ms: PositiveMs = 172_800_000


class Limits(_Section):
    """Limits of one router for requests and for its shutdown."""

    body_bytes: Annotated[int, pydantic.Field(gt=0)] = 4_194_304
    body_timeout_ms: PositiveMs = 10_000
    requests: Annotated[int, pydantic.Field(gt=0)] = 2_000
    explain_entries: Annotated[int, pydantic.Field(ge=0)] = 2_000
    drain_notice_ms: Annotated[int, pydantic.Field(ge=0)] = 3_000
    drain_timeout_ms: PositiveMs = 600_000
    head_timeout_ms: PositiveMs = 10_000
    memory_mb: Annotated[int, pydantic.Field(gt=0)] | None = None
    max_fds: Annotated[int, pydantic.Field(gt=0)] | None = None


class Links(_Section):
    """Timing of the permanent links between routers."""

    heartbeat_interval_ms: PositiveMs = 1_200
    lease_ms: PositiveMs = 2_500
    switch_ms: PositiveMs = 3_500
    forget_ms: PositiveMs = 15_000

    @pydantic.model_validator(mode="after")
    def _check_order(self) -> "Links":
        if not self.heartbeat_interval_ms < self.lease_ms < self.switch_ms:
            raise ValueError(
                "expected heartbeat_interval_ms < lease_ms < switch_ms"
            )
        return self


class Tls(_Section):
    """Certificate files for the ports of callers and operators."""

    certificate_file: str
    key_file: str


class Telemetry(_Section):
    """The log level and the destination of traces."""

    log_level: typing.Literal["debug", "info", "warning", "error"] = "info"
    traces: typing.Literal["off", "console", "file"] = "off"
    traces_file: str = "traces.jsonl"


class Settings(_Section):
    """All settings of one router."""

    router: Name
    data_centre: Name
    listen: Listen
    platform: Platform
    fleet_secret: Annotated[str, pydantic.Field(min_length=16)]
    answer_secrets: Annotated[
        list[Annotated[str, pydantic.Field(min_length=16)]],
        pydantic.Field(min_length=1),
    ]
    operator_key_sha256: Annotated[
        list[Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]],
        pydantic.Field(min_length=1),
    ]
    limits: Limits = Limits()
    links: Links = Links()
    tls: Tls | None = None
    telemetry: Telemetry = Telemetry()


def _describe_problem(error: typing.Any) -> str:
    location = ".".join(str(part) for part in error["loc"]) or "(file)"
    if error["type"] == "extra_forbidden":
        return f"{location}: unknown setting"
    if error["type"] == "missing":
        return f"{location}: required setting is missing"
    message = error["msg"].removeprefix("Value error, ")
    return f"{location}: {message[0].lower()}{message[1:]}"


def parse(text: str, path: str) -> Settings:
    """Parse and check the text of a settings file.

    :param text: the YAML text.
    :param path: path of the file, used in error messages.
    :raises SettingsError: if the text is invalid.
    """
    try:
        data = yaml.safe_load(text)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = f"line {mark.line + 1}: " if mark else ""
        problem = getattr(error, "problem", None) or "not valid YAML"
        raise SettingsError(path, [f"{line}{problem}"]) from None
    if not isinstance(data, dict):
        raise SettingsError(path, ["(file): expected a mapping of settings"])
    try:
        return Settings.model_validate(data)
    except pydantic.ValidationError as error:
        problems = [_describe_problem(item) for item in error.errors()]
        raise SettingsError(path, problems) from None


def load(path: str) -> Settings:
    """Read and check a settings file.

    :param path: path of the file.
    :raises SettingsError: if the file can't be read or is invalid.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "not UTF-8 text"
        raise SettingsError(path, [reason]) from None
    return parse(text, path)
