"""Reads the settings file that the platform writes for a process."""

import os
import pathlib
import tomllib
import typing

import pydantic

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


class _Table(pydantic.BaseModel):
    """A table of the file; unknown fields are left alone."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


class Listen(_Table):
    front: str
    ready: str


class Limits(_Table):
    link_mbps: float = 0.0


class Bounds(_Table):
    drain_ms: int = 2_000
    grace_s: float = 8.0
    revoke_ms: int = 5_000
    strict_revocation: bool = True
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    budget_slack: float = 10.0


class Platform(_Table):
    address: str


class _File(_Table):
    """The fields of the file that this router uses."""

    node_name: str
    ip: str
    zone: str
    internal_ports: tuple[int, int]
    seeds: list[str] = []
    listen: Listen
    limits: Limits = Limits()
    bounds: Bounds = Bounds()
    platform: Platform


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
        target_drain_ms=bounds.drain_ms,
        drain_notice_ms=DRAIN_NOTICE_MS,
        drain_timeout_ms=int(bounds.grace_s * 1000) - STOP_MARGIN_MS,
        key_age_limit_ms=(
            bounds.revoke_ms - KEY_AGE_MARGIN_MS
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
        return _decode(_File.model_validate(data))
    except pydantic.ValidationError as error:
        problems = [
            ".".join(str(part) for part in item["loc"]) + ": " + item["msg"]
            for item in error.errors()
        ]
        raise settings_error.SettingsError(path, problems) from None
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise settings_error.SettingsError(path, [str(error)]) from None


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
