"""Splitting a stream of server-sent events into whole events."""

import dataclasses

_ID_FIELD = b"id:"
_SEPARATORS = (b"\n\n", b"\r\n\r\n")


class OrderError(Exception):
    """An event's id does not follow the one before it.

    :param found: the id found.
    :param expected: the id that should stand there.
    """

    def __init__(self, found: int, expected: int) -> None:
        super().__init__(f"event {found} where {expected} was expected")
        self.found = found
        self.expected = expected


@dataclasses.dataclass(frozen=True, slots=True)
class Events:
    """Whole events, ready to be passed on.

    :param data: their bytes, unchanged.
    :param last_id: id of the last one; none if no event had an id.
    :param count: how many there are.
    """

    data: bytes
    last_id: int | None
    count: int


class Splitter:
    """Takes bytes as they arrive and returns whole events.

    :param last_id: id of the last event that the caller has; none if it has
        none.

    :ivar last_id: id of the last event returned.
    """

    __slots__ = ("_rest", "last_id")

    def __init__(self, last_id: int | None) -> None:
        self._rest = b""
        self.last_id = last_id

    @property
    def within_event(self) -> bool:
        """Whether the bytes so far end in the middle of an event."""
        return bool(self._rest)

    def drop_rest(self) -> None:
        """Forget the bytes of an event that was cut short."""
        self._rest = b""

    def feed(self, data: bytes) -> Events:
        """Return the events that are whole by now.

        :param data: the next bytes.
        :raises OrderError: if an event is missing, repeated or out of order.
        """
        self._rest += data
        end = _last_end(self._rest)
        if end < 0:
            return Events(b"", None, 0)
        whole, self._rest = self._rest[:end], self._rest[end:]
        count = 0
        for line in whole.splitlines():
            if line.startswith(_ID_FIELD):
                self._follow(line[len(_ID_FIELD) :])
                count += 1
        return Events(whole, self.last_id, count)

    def _follow(self, value: bytes) -> None:
        event_id = int(value)
        if self.last_id is not None and event_id != self.last_id + 1:
            raise OrderError(event_id, self.last_id + 1)
        self.last_id = event_id


def _last_end(data: bytes) -> int:
    """Return the index behind the last whole event; -1 for none."""
    ends = [
        place + len(separator)
        for separator in _SEPARATORS
        if (place := data.rfind(separator)) >= 0
    ]
    return max(ends, default=-1)
