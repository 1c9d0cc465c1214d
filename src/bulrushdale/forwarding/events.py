"""Parser that splits a byte stream into complete server-sent events."""

import dataclasses
import re

_ID = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)
_EVENT_END = re.compile(rb"\r?\n\r?\n")
_MAX_END_BYTES = 4
_COMMENT = re.compile(rb"(:[^\n]*\n|\r?\n)*")

# An event holds some tokens, a few hundred bytes. Data without an event end
# that is thousands of times larger isn't an event stream.
MAX_EVENT_BYTES = 1 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class Events:
    """Complete events, ready to be relayed.

    :param data: the bytes of the events, unchanged.
    :param count: number of events, not counting comments.
    :param error: why the next event can't be relayed; none if there is no
        error so far.
    """

    data: bytes
    count: int
    error: str | None


class EventParser:
    """Incremental parser for a stream of server-sent events.

    :param last_id: id of the last event that the caller received; none if it
        received none.

    :ivar last_id: id of the last event that the caller received or that was
        returned.
    """

    __slots__ = ("_buffer", "_searched_bytes", "last_id")

    def __init__(self, last_id: int | None) -> None:
        self._buffer = bytearray()
        # How much of the buffer has no event end in it.
        self._searched_bytes = 0
        self.last_id = last_id

    @property
    def buffered_bytes(self) -> int:
        """Bytes of an event that isn't complete yet."""
        return len(self._buffer)

    @property
    def within_event(self) -> bool:
        """Whether the data so far ends within an event."""
        return bool(self._buffer)

    def discard_partial_event(self) -> None:
        """Discard the bytes of an event that was cut short."""
        self._buffer = bytearray()
        self._searched_bytes = 0

    def feed(self, data: bytes) -> Events:
        """Return the complete events, up to the first that is out of order.

        :param data: the next bytes of the stream.
        """
        self._buffer += data
        if _EVENT_END.search(self._buffer, self._searched_bytes) is None:
            self._searched_bytes = max(0, len(self._buffer) - _MAX_END_BYTES)
            return Events(b"", 0, self._check_size())
        received = bytes(self._buffer)
        consumed = count = 0
        error = None
        for end in _EVENT_END.finditer(received):
            event = received[consumed : end.end()]
            error = self._check_order(event)
            if error is not None:
                break
            count += _COMMENT.fullmatch(event) is None
            consumed = end.end()
        self._buffer = bytearray(received[consumed:])
        self._searched_bytes = 0
        return Events(received[:consumed], count, error or self._check_size())

    def _check_size(self) -> str | None:
        """Return an error if the event that isn't complete is too large."""
        if len(self._buffer) <= MAX_EVENT_BYTES:
            return None
        return f"an event has over {MAX_EVENT_BYTES} bytes"

    def _check_order(self, event: bytes) -> str | None:
        """Record an event's id; return an error if it is out of order.

        Where earlier events have ids, one without is not of the same stream;
        it may be the text of an error.
        """
        match = _ID.search(event)
        if match is None:
            is_comment = _COMMENT.fullmatch(event) is not None
            if is_comment or self.last_id is None:
                return None
            return "an event without an id"
        event_id = int(match[1])
        if self.last_id is not None and event_id != self.last_id + 1:
            return f"event {event_id} where {self.last_id + 1} was expected"
        self.last_id = event_id
        return None
