"""Decodes the records that operators write.

One holds the configuration, each of the others orders an evacuation.
"""

from collections import abc
import logging
import typing

import orjson

from bulrushdale.platform import listings
from bulrushdale.platform import store
from bulrushdale.routing import evacuations as evacuations_module
from bulrushdale.routing import revisions as revisions_module
from bulrushdale.routing import routes

LOG = logging.getLogger(__name__)

_KINDS = {
    "idempotent": routes.Kind.IDEMPOTENT,
    "non_idempotent": routes.Kind.NON_IDEMPOTENT,
    "streaming": routes.Kind.STREAM,
}
_UNLIMITED_BYTES = 1 << 30
# Keys of the records that order an evacuation; the data centre follows.
_EVACUATE_PREFIX = "evacuate/"


class ConfigurationError(Exception):
    """A record that can't be decoded as a configuration."""


def _decode_shares(data: dict[str, typing.Any]) -> tuple[routes.Share, ...]:
    split = data.get("traffic_split")
    if split:
        return tuple(
            routes.Share(item["service"], int(item["weight"]))
            for item in split
        )
    return (routes.Share(data["service"], 1),)


def _decode_route(data: dict[str, typing.Any]) -> routes.Route:
    timeout_ms = int(data["timeout_ms"])
    return routes.Route(
        name=data["name"],
        host=data["host"].lower(),
        path_prefix=data["path_prefix"],
        kind=_KINDS[data["kind"]],
        timeout_ms=timeout_ms,
        target_latency_ms=int(data.get("target_latency_ms", timeout_ms)),
        max_gap_ms=int(data.get("gap_aim_ms", 0)),
        priority=int(data.get("priority", 0)),
        shares=_decode_shares(data),
        max_attempts=max(1, int(data.get("max_attempts", 1))),
        public=bool(data.get("public", False)),
        # Despite its name the field is not about sessions: it marks routes
        # whose requests list the parts of their prompt.
        prefix_affinity=bool(data.get("sticky_sessions", False)),
        resumable=bool(data.get("resumable", False)),
    )


def _decode_service(data: dict[str, typing.Any]) -> routes.Service:
    engine = data.get("engine") or {}
    return routes.Service(
        name=data["name"],
        max_connections=int(data.get("max_connections", 0)),
        slots=int(engine.get("slots", 0)),
        cold_start_ms=int(float(data.get("cold_start_s", 0)) * 1000),
        cold_rate_per_s=float(data.get("cold_per_s", 0)),
        kv_capacity=int(engine.get("kv_capacity", 0)),
    )


def _decode_teams(
    data: list[dict[str, typing.Any]] | None,
) -> dict[str, routes.Team] | None:
    """Return the teams by API key; none if the record lists no teams."""
    if data is None:
        return None
    teams_by_key = {}
    for item in data:
        team = routes.Team(item["name"], item.get("priority"))
        for key in item.get("api_keys", ()):
            teams_by_key[key] = team
    return teams_by_key


def decode(value: bytes) -> routes.Configuration:
    """Decode a configuration record.

    :param value: the record's value.
    :raises ConfigurationError: if it isn't a valid configuration.
    """
    try:
        data = orjson.loads(value)
        limits = data.get("limits") or {}
        return routes.Configuration(
            version=int(data["version"]),
            routes=[_decode_route(item) for item in data["routes"]],
            services=[_decode_service(item) for item in data["services"]],
            teams_by_key=_decode_teams(data.get("tenants")),
            limits=routes.CallerLimits(
                header_bytes=int(
                    limits.get("max_header_bytes", _UNLIMITED_BYTES)
                ),
                body_bytes=int(limits.get("max_body_bytes", _UNLIMITED_BYTES)),
                idle_ms=int(limits.get("idle_timeout_ms", 0)),
                head_ms=int(limits.get("header_timeout_ms", 0)),
            ),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise ConfigurationError(repr(error)) from error


def own_version(key: str, value: bytes) -> int | None:
    """Return the version that a record's value names.

    :param key: the record's key.
    :param value: the record's value.
    :return: the version; none for other records and invalid configurations.
    """
    if key != store.CONFIGURATION_KEY:
        return None
    try:
        return decode(value).version
    except ConfigurationError:
        return None


def record_handler(
    revisions: revisions_module.Revisions,
    evacuations: evacuations_module.Evacuations,
) -> abc.Callable[[str, bytes | None], None]:
    """Return a function that applies operators' records.

    The function takes the key and the value of a record; it skips the
    records of other keys and those that can't be decoded. The value of an
    evacuation says nothing: its record is in force as long as it exists.

    :param revisions: receives the decoded configurations.
    :param evacuations: receives the data centres to evacuate.
    """

    def apply(key: str, value: bytes | None) -> None:
        if key.startswith(_EVACUATE_PREFIX):
            data_centre = key.removeprefix(_EVACUATE_PREFIX)
            if value is None:
                evacuations.remove(data_centre)
            elif 0 < len(data_centre) <= listings.MAX_NAME_CHARS:
                evacuations.put(data_centre)
            return
        if key != store.CONFIGURATION_KEY or value is None:
            return
        try:
            revisions.apply(decode(value))
        except ConfigurationError as error:
            LOG.error(
                "invalid configuration record skipped",
                extra={"event": "configuration.bad", "reason": str(error)},
            )

    return apply
