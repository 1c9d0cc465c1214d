"""Decodes the entries that targets keep of themselves in the store."""

from collections import abc
import dataclasses
import logging
import typing

import orjson

from bulrushdale.routing import targets

LOG = logging.getLogger(__name__)

_STATE_LEAVING = "draining"
_STATES = ("ready", _STATE_LEAVING)


class ListingError(Exception):
    """An entry that names no target; another writer may have put it."""


def _text(data: dict[str, typing.Any], name: str) -> str:
    value = data.get(name)
    if not isinstance(value, str) or not value:
        raise ListingError(f"{name} is {value!r}")
    return value


def _count(
    data: dict[str, typing.Any], name: str, default: int | None = None
) -> int:
    value = data.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ListingError(f"{name} is {value!r}")
    return int(value)


def decode(target_id: str, value: bytes) -> targets.Listing:
    """Return the listing that an entry holds.

    :param target_id: the entry's key.
    :param value: its value.
    :raises ListingError: if it names no target.
    """
    try:
        data = orjson.loads(value)
    except ValueError as error:
        raise ListingError(str(error)) from error
    if not isinstance(data, dict):
        raise ListingError("not a table")
    state = data.get("state")
    if state not in _STATES:
        raise ListingError(f"state is {state!r}")
    address = _text(data, "address")
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ListingError(f"address is {address!r}")
    return targets.Listing(
        target_id=target_id,
        started_ms=_count(data, "born", 0),
        service=_text(data, "service"),
        address=address,
        data_centre=_text(data, "zone"),
        slots=_count(data, "slots"),
        leaving=state == _STATE_LEAVING,
        # Counted from when the target wrote it, not from when it is read.
        slow_start_ms=_count(data, "cold_remaining_ms", 0),
    )


def meaning(target_id: str, value: bytes) -> object:
    """Return what an entry says; heartbeats change only its sequence.

    :param target_id: the entry's key.
    :param value: its value.
    """
    try:
        listing = decode(target_id, value)
    except ListingError:
        return value
    # It counts down with each heartbeat from what the first one said.
    return dataclasses.replace(listing, slow_start_ms=0)


def apply_to(
    known: targets.Targets,
) -> abc.Callable[[str, bytes | None], None]:
    """Return what takes entries over into the targets that are known.

    :param known: takes the listings.
    """

    def apply(key: str, value: bytes | None) -> None:
        if value is None:
            known.remove(key)
            return
        try:
            known.put(decode(key, value))
        except ListingError as error:
            LOG.warning(
                "entry skipped",
                extra={
                    "event": "target.bad_entry",
                    "target": key,
                    "reason": str(error),
                },
            )

    return apply
