"""What a connection takes beside the bodies that its requests hold.

The load that this answers: crowds of connections with large heads, requests
sent ahead, or data that waits to be read. Each takes little, so it is counted
as it arrives, and the connections that send more wait at their kernels while
there is no room.
"""

import collections
from collections import abc

# A connection without a request: its transport, protocol and parser.
CONNECTION_BYTES = 8 << 10
# A request with a small head that waits to be handled.
_REQUEST_BYTES = 8 << 10
# What handling one takes: its attempt, and its connection to a target.
_HANDLING_BYTES = 32 << 10
# The objects of a field, in the parser's list and in the mapping.
_FIELD_BYTES = 128
# The parser's bytes, the decoded text, and what was read.
_HEAD_COPIES = 3

Fields = abc.Iterable[tuple[bytes, bytes]]


def head_bytes(fields: Fields, target: str = "") -> int:
    """Return what the head of a request takes, in bytes.

    :param fields: its names and values.
    :param target: its target, such as the path.
    """
    sizes = [len(name) + len(value) for name, value in fields]
    text_bytes = len(target) + sum(sizes)
    return len(sizes) * _FIELD_BYTES + text_bytes * _HEAD_COPIES


def request_bytes(fields: Fields, target: str = "") -> int:
    """Return what a request takes without its body, in bytes.

    :param fields: the names and values of its head.
    :param target: its target.
    """
    return _REQUEST_BYTES + head_bytes(fields, target)


class Usage:
    """What a connection takes for its requests, in the order of arrival.

    The first one may be in progress, the others were sent ahead.

    :ivar last_head_bytes: what aiohttp keeps of the last head until the next
        one is complete, in bytes.
    """

    __slots__ = ("last_head_bytes", "_requests", "_partial_head_bytes")

    def __init__(self) -> None:
        self.last_head_bytes = 0
        # What each takes without its body, and what its body arrives in.
        self._requests: collections.deque[tuple[int, object]] = (
            collections.deque()
        )
        self._partial_head_bytes = 0

    @property
    def bytes(self) -> int:
        """All of it, in bytes."""
        total_bytes = self._partial_head_bytes * _HEAD_COPIES + sum(
            size_bytes + unread_bytes(body)
            for size_bytes, body in self._requests
        )
        if self._requests:
            return total_bytes + _HANDLING_BYTES
        return total_bytes + self.last_head_bytes

    @property
    def awaits_head(self) -> bool:
        """Whether the next data belongs to a head."""
        return not self._requests or _is_complete(self._requests[-1][1])

    @property
    def awaits_data(self) -> bool:
        """Whether a head or a body has arrived in part, or one ahead."""
        return (
            self._partial_head_bytes > 0
            or not self.awaits_head
            or len(self._requests) > 1
        )

    def begin(self, fields: Fields, body: object, target: str = "") -> None:
        """Record a request whose head is complete.

        :param fields: the names and values of its head.
        :param body: the stream in which its body arrives.
        :param target: its target.
        """
        size_bytes = head_bytes(fields, target)
        self._requests.append((_REQUEST_BYTES + size_bytes, body))
        self.last_head_bytes = size_bytes
        self._partial_head_bytes = 0

    def record_partial_head(self, size_bytes: int) -> None:
        """Record a further part of a head that isn't complete yet.

        :param size_bytes: its size.
        """
        self._partial_head_bytes += size_bytes

    def end(self) -> None:
        """Record that the first request has ended."""
        if self._requests:
            self._requests.popleft()

    def clear(self, *, keep_first: bool) -> None:
        """Record that the connection has ended.

        :param keep_first: whether its first request goes on.
        """
        self.last_head_bytes = 0
        self._partial_head_bytes = 0
        while len(self._requests) > keep_first:
            self._requests.pop()


def unread_bytes(body: object) -> int:
    """Return how much of a body waits to be read, in bytes."""
    return int(getattr(body, "_size", 0))


def _is_complete(body: object) -> bool:
    return bool(body.is_eof())  # type: ignore[attr-defined]
