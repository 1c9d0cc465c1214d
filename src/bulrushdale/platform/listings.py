"""Decodes the entries through which targets register in the store."""

from collections import abc
import dataclasses
import logging
import typing

import orjson

from bulrushdale.platform import addresses
from bulrushdale.routing import targets

LOG = logging.getLogger(__name__)

_STATE_LEAVING = "draining"
_STATES = ("ready", _STATE_LEAVING)
# Routers name versions to each other.
MAX_VERSION_CHARS = 64
MAX_NAME_CHARS = 256
# Unix time in ms; the year 5138. Routers name starts to each other as 64-bit
# integers.
MAX_STARTED_MS = 10**14
MAX_SLOTS = 100_000
MAX_SLOW_START_MS = 24 * 3_600_000
# Characters of a value in a log line, to bound its length.
_MAX_LOGGED_CHARS = 80


class ListingError(Exception):
    """An entry that doesn't describe a target.

    Another program may have written it.
    """


def _decode_text(data: dict[str, typing.Any], name: str) -> str:
    value = data.get(name)
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_CHARS:
        raise _invalid(name, value)
    return value


def _invalid(name: str, value: object) -> ListingError:
    return ListingError(
        f"{name} is invalid: {repr(value)[:_MAX_LOGGED_CHARS]}"
    )


def _decode_integer(
    data: dict[str, typing.Any],
    name: str,
    minimum: int,
    maximum: int,
    default: int | None = None,
) -> int:
    """Return a field that holds a whole number within bounds."""
    value = data.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _invalid(name, value)
    if not minimum <= value <= maximum:
        raise _invalid(name, value)
    return int(value)


def _decode_address(data: dict[str, typing.Any]) -> str:
    """Return the IP address and port of a target."""
    address = _decode_text(data, "address")
    if not addresses.is_valid(address):
        raise _invalid("address", address)
    return address


def _decode_version(value: typing.Any) -> str:
    """Return the version of the software; empty if there is none."""
    if value is None:
        return ""
    if isinstance(value, str) and len(value) <= MAX_VERSION_CHARS:
        return value
    raise _invalid("version", value)


def decode(target_id: str, value: bytes) -> targets.Listing:
    """Decode the entry of a target.

    :param target_id: the entry's key.
    :param value: the entry's value.
    :raises ListingError: if it doesn't describe a target.
    """
    if len(target_id) > MAX_NAME_CHARS:
        raise _invalid("id", target_id)
    try:
        data = orjson.loads(value)
    except ValueError as error:
        raise ListingError(str(error)) from error
    if not isinstance(data, dict):
        raise ListingError("not a JSON object")
    state = data.get("state")
    if state not in _STATES:
        raise _invalid("state", state)
    return targets.Listing(
        target_id=target_id,
        started_ms=_decode_integer(data, "born", 0, MAX_STARTED_MS, 0),
        service=_decode_text(data, "service"),
        address=_decode_address(data),
        data_centre=_decode_text(data, "zone"),
        slots=_decode_integer(data, "slots", 1, MAX_SLOTS),
        leaving=state == _STATE_LEAVING,
        # Remaining time as of when the target wrote the entry, not as of now.
        slow_start_ms=_decode_integer(
            data, "cold_remaining_ms", 0, MAX_SLOW_START_MS, 0
        ),
        version=_decode_version(data.get("version")),
    )


def comparison_key(target_id: str, value: bytes) -> object:
    """Return the part of an entry that heartbeats don't change.

    Two entries of a target with equal parts differ only in what each
    heartbeat updates, such as its sequence number.

    :param target_id: the entry's key.
    :param value: the entry's value.
    """
    try:
        listing = decode(target_id, value)
    except ListingError:
        return value
    # This field counts down with each heartbeat from its first value. Whether
    # the target is cold at all is a difference.
    return dataclasses.replace(
        listing, slow_start_ms=int(listing.slow_start_ms > 0)
    )


def record_handler(
    known_targets: targets.Targets,
) -> abc.Callable[[str, bytes | None], None]:
    """Return a function that applies entries of targets.

    The function takes the key and the value of an entry. A missing value
    removes the target; an entry that can't be decoded is skipped.

    :param known_targets: receives the decoded entries.
    """

    def apply(key: str, value: bytes | None) -> None:
        if value is None:
            known_targets.remove(key)
            return
        try:
            known_targets.put(decode(key, value))
        except ListingError as error:
            LOG.warning(
                "invalid entry of a target skipped",
                extra={
                    "event": "target.bad_entry",
                    "target": key,
                    "reason": str(error),
                },
            )

    return apply
