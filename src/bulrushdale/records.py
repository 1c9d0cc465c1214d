"""Records of the store, also as routers pass them on to each other."""

import dataclasses
import typing

# The store counts the times that it came back from a copy; a number beyond
# this comes from another writer.
MAX_ERA = 1_000_000


def check_era(era: int) -> int:
    """Return an era if it may be one.

    :raises ValueError: if it is out of range.
    """
    if not 0 <= era <= MAX_ERA:
        raise ValueError("the era is out of range")
    return era


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed topic.

    :param offset: the record's offset in the topic.
    :param key: the key.
    :param value: the new value of the key; none if the key was deleted.
    :param era: the era in which the store gave out the offset. The store
        starts a new one when it comes back from an older copy; offsets are
        then given out again.
    """

    offset: int
    key: str
    value: bytes | None
    era: int = 0

    @property
    def position(self) -> tuple[int, int]:
        """The era and the offset, which order the records of a topic."""
        return self.era, self.offset


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """The result of a read of a keyed topic.

    :param records: the records in order.
    :param next_offset: the offset at which the next read starts.
    :param at_end: whether the page reaches the end of the topic.
    :param snapshot: whether the page holds the newest record of every key.
    :param era: the era of ``next_offset``; 0 if the source names none.
    :param gapless: whether the page holds every record of its range, not just
        those that change something.
    """

    records: list[KeyedRecord]
    next_offset: int
    at_end: bool
    snapshot: bool
    era: int = 0
    gapless: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """A record of a log.

    :param offset: the record's offset in the log, starting at zero.
    :param time_ms: time of the append by the writer's clock, in ms since the
        epoch.
    :param data: the content of the record.
    """

    offset: int
    time_ms: int
    data: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """The result of a read of a log.

    :param first_offset: the oldest offset that is still kept.
    :param end_offset: one past the newest offset.
    :param records: the records in order, from the requested offset, or from
        ``first_offset`` if that one has expired.
    """

    first_offset: int
    end_offset: int
    records: list[LogRecord]


class SourceError(Exception):
    """A call to a source of records failed, or its outcome is unknown.

    :param detail: a description of the failure.
    :param may_have_taken_effect: whether the record of a failed append may
        still appear.
    """

    def __init__(
        self, detail: str, may_have_taken_effect: bool = False
    ) -> None:
        super().__init__(detail)
        self.may_have_taken_effect = may_have_taken_effect


class RecordsExpiredError(Exception):
    """The requested records have expired.

    :param first_offset: the oldest offset that is still kept.
    """

    def __init__(self, first_offset: int) -> None:
        super().__init__(f"records before offset {first_offset} have expired")
        self.first_offset = first_offset
