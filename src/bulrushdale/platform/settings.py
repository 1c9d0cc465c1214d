"""Reads the settings file that the platform writes for a process."""

import os
import pathlib
import tomllib
import typing

import msgspec

from bulrushdale.forwarding import settings as forwarding_settings
from bulrushdale import settings_error

ENVIRONMENT_VARIABLE = "BULRUSHDALE_CONFIG"
# Named in the deploy file, which has to give a fixed port.
METRICS_PORT = 9464
# A process that is still there after the grace period is killed; answers on
# their way need this long before.
STOP_MARGIN_MS = 500
# Callers' balancer asks each second and needs two misses; connections that
# are on their way by then are still taken.
DRAIN_NOTICE_MS = 2_500
# A request that passes the check of its key is at its target by then.
KEY_AGE_MARGIN_MS = 600


class _Table(msgspec.Struct, frozen=True):
    """A table of the file; unknown fields are left alone."""


class Listen(_Table, frozen=True):
    front: str
    ready: str


class Limits(_Table, frozen=True):
    link_mbps: float = 0.0


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
    """The fields of the file that this router uses."""

    node_name: str
    ip: str
    zone: str
    internal_ports: tuple[int, int]
    listen: Listen
    platform: Platform
    seeds: tuple[str, ...] = ()
    limits: Limits = Limits()
    bounds: Bounds = Bounds()


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])


def _decode(file: _File) -> forwarding_settings.Settings:
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
        metrics_port=METRICS_PORT,
        # The file names another port of theirs; all VMs use the same ones.
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
    )


def load(path: str) -> forwarding_settings.Settings:
    """Read and check a settings file.

    :param path: the file.
    :raises SettingsError: if it can't be read or a field is wrong.
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
    return _decode(msgspec.convert(data, _File))


def _field_problems(
    field: msgspec.structs.FieldInfo, data: dict[str, typing.Any]
) -> list[str]:
    """Return what is wrong with a field of the file; usually nothing."""
    if field.encode_name not in data:
        return ["the field is missing"] if field.required else []
    try:
        msgspec.convert(data[field.encode_name], field.type)
    except msgspec.ValidationError as error:
        return [str(error)]
    return []


def load_from_environment() -> forwarding_settings.Settings:
    """Read the settings of this process.

    :raises SettingsError: if the environment names no file, or it can't be
        read, or a field is wrong.
    """
    return load(path_from_environment())


def path_from_environment() -> str:
    """Return the settings file's path.

    :raises SettingsError: if the environment names none.
    """
    path = os.environ.get(ENVIRONMENT_VARIABLE, "")
    if not path:
        raise settings_error.SettingsError(
            ENVIRONMENT_VARIABLE, ["the environment variable is not set"]
        )
    return path
