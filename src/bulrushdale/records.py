"""Records as the store keeps them and routers pass them on."""

import dataclasses
import typing


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
    """What a read of a keyed topic returned.

    :param records: in order.
    :param next_offset: where to read on.
    :param at_end: whether nothing newer had been appended.
    :param snapshot: whether it holds the newest record of every key.
    """

    records: list[KeyedRecord]
    next_offset: int
    at_end: bool
    snapshot: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """A record of a log.

    :param offset: its place in the log, from zero.
    :param time_ms: when it was appended, by its writer's clock, in ms since
        the epoch.
    :param data: what was appended.
    """

    offset: int
    time_ms: int
    data: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """What a read of a log returned.

    :param first_offset: the oldest offset that is still kept.
    :param end_offset: one past the newest offset.
    :param records: in order, from the requested offset, or from
        ``first_offset`` if that one has expired.
    """

    first_offset: int
    end_offset: int
    records: list[LogRecord]


class SourceError(Exception):
    """A source of records gave no answer that settles the call.

    :param detail: what happened.
    :param may_have_taken_effect: whether an append may still appear.
    """

    def __init__(
        self, detail: str, may_have_taken_effect: bool = False
    ) -> None:
        super().__init__(detail)
        self.may_have_taken_effect = may_have_taken_effect


class RecordsExpiredError(Exception):
    """The records asked for have expired.

    :param first_offset: the oldest offset that is still kept.
    """

    def __init__(self, first_offset: int) -> None:
        super().__init__(f"records before offset {first_offset} have expired")
        self.first_offset = first_offset
