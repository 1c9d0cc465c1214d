"""Reads the settings file that the platform writes for each process."""

import os
import pathlib
import tomllib
import typing

import msgspec

from bulrushdale.forwarding import settings as forwarding_settings
from bulrushdale import settings_error

ENVIRONMENT_VARIABLE = "BULRUSHDALE_CONFIG"
# The deploy file names this port and allows only a fixed one.
METRICS_PORT = 9464
# The platform kills a process that still runs after the grace period.
# Responses already on their way need this time before then.
STOP_MARGIN_MS = 500
# The callers' load balancer polls every second and removes a router after two
# failed checks. Connections already on their way by then are still accepted.
DRAIN_NOTICE_MS = 2_500
# A request reaches its target within this time after the check of its key.
KEY_AGE_MARGIN_MS = 600
# At this price no request crosses for load: a crossing counts as much as
# 7 seconds.
MAX_REMOTE_COST = 1_000


RemoteCost = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_REMOTE_COST)]


class _Table(msgspec.Struct, frozen=True):
    """A table of the file; unknown fields are ignored."""


class Listen(_Table, frozen=True):
    front: str
    ready: str


class Limits(_Table, frozen=True):
    link_mbps: float = 0.0
    memory_mb: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.0
    max_fds: typing.Annotated[int, msgspec.Meta(ge=0)] = 0


class Bounds(_Table, frozen=True):
    drain_ms: float = 2_000
    grace_s: float = 8.0
    revoke_ms: float = 5_000
    strict_revocation: bool = True
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    budget_slack: float = 10.0


class Platform(_Table, frozen=True):
    address: str


class _File(_Table, frozen=True):
    """The fields of the settings file that a router uses."""

    node_name: str
    ip: str
    zone: str
    internal_ports: tuple[int, int]
    listen: Listen
    platform: Platform
    seeds: tuple[str, ...] = ()
    bootstrap: bool = False
    limits: Limits = Limits()
    bounds: Bounds = Bounds()
    remote_cost: RemoteCost | None = None


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])


def _decode(file: _File) -> forwarding_settings.Settings:
    """Convert the fields of the file to the router's settings."""
    bounds = file.bounds
    first_port = file.internal_ports[0]
    return forwarding_settings.Settings(
        router=file.node_name,
        host=file.ip,
        data_centre=file.zone,
        link_mbps=int(file.limits.link_mbps),
        caller_port=_port(file.listen.front),
        ready_port=_port(file.listen.ready),
        link_port=first_port,
        relay_port=first_port + 1,
        metrics_port=METRICS_PORT,
        # The seeds in the file carry a different port. All VMs use the same
        # internal ports, so this VM's first one is right for the seeds too.
        seeds=tuple(
            f"{seed.rpartition(':')[0]}:{first_port}" for seed in file.seeds
        ),
        store_address=file.platform.address,
        target_drain_ms=int(bounds.drain_ms),
        drain_notice_ms=DRAIN_NOTICE_MS,
        drain_timeout_ms=int(bounds.grace_s * 1000) - STOP_MARGIN_MS,
        key_age_limit_ms=(
            int(bounds.revoke_ms) - KEY_AGE_MARGIN_MS
            if bounds.strict_revocation
            else None
        ),
        retry_ratio=bounds.retry_budget_ratio,
        retry_slack=bounds.budget_slack,
        retry_window_ms=int(bounds.budget_window_s * 1000),
        first_start=file.bootstrap,
        memory_mb=int(file.limits.memory_mb),
        max_fds=file.limits.max_fds,
        remote_cost=file.remote_cost,
    )


def load(path: str) -> forwarding_settings.Settings:
    """Read and check a settings file.

    :param path: path of the file.
    :raises SettingsError: if the file can't be read or a field is invalid.
    """
    try:
        data: dict[str, typing.Any] = tomllib.loads(
            pathlib.Path(path).read_text(encoding="utf-8")
        )
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise settings_error.SettingsError(path, [str(error)]) from None
    problems = [
        f"{field.encode_name}: {problem}"
        for field in msgspec.structs.fields(_File)
        for problem in _field_problems(field, data)
    ]
    if problems:
        raise settings_error.SettingsError(path, problems)
    file = msgspec.convert(data, _File)
    first_port, last_port = file.internal_ports
    if last_port < first_port + 1:
        raise settings_error.SettingsError(
            path, ["internal_ports: at least two ports are needed"]
        )
    return _decode(file)


def _field_problems(
    field: msgspec.structs.FieldInfo, data: dict[str, typing.Any]
) -> list[str]:
    """Return the problems of a field of the file; empty if it is valid."""
    if field.encode_name not in data:
        return ["the field is missing"] if field.required else []
    try:
        msgspec.convert(data[field.encode_name], field.type)
    except msgspec.ValidationError as error:
        return [str(error)]
    return []


def load_from_environment() -> forwarding_settings.Settings:
    """Read the settings file that the environment variable names.

    :raises SettingsError: if the variable isn't set, the file can't be read
        or a field is invalid.
    """
    return load(path_from_environment())


def path_from_environment() -> str:
    """Return the path of the settings file from the environment.

    :raises SettingsError: if the environment variable isn't set.
    """
    path = os.environ.get(ENVIRONMENT_VARIABLE, "")
    if not path:
        raise settings_error.SettingsError(
            ENVIRONMENT_VARIABLE, ["the environment variable is not set"]
        )
    return path
