"""Records of a keyed topic, as a store keeps them and routers pass on."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed topic.

    :param offset: its place in the topic.
    :param key: its key.
    :param value: its value; none if the key was dropped.
    """

    offset: int
    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """What a read returned.

    :param records: in order.
    :param next_offset: where to read on.
    :param complete: whether nothing newer had been appended.
    :param snapshot: whether it holds the newest record of every key.
    """

    records: list[KeyedRecord]
    next_offset: int
    complete: bool
    snapshot: bool


class SourceError(Exception):
    """A source of records gave no answer that settles the call.

    :param detail: what happened.
    """


class HistoryGoneError(Exception):
    """The records asked for have expired; read the newest ones instead."""
