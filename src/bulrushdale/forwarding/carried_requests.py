"""The requests that one connection has carried."""

from bulrushdale import hashing

# About 100 bytes each. A connection that has carried as many takes no more.
MAX_CARRIED_REQUESTS = 128


class CarriedRequests:
    """Tells which requests a connection may carry.

    A target may send a copy of an earlier response at any time. The request
    id tells it from the response that is due, unless the connection has
    carried a request with this id before.
    """

    __slots__ = ("_hashes", "_count")

    def __init__(self) -> None:
        self._hashes: set[int] = set()
        self._count = 0

    @property
    def count(self) -> int:
        """Number of requests that the connection has carried."""
        return self._count

    @property
    def full(self) -> bool:
        """Whether the connection takes no more requests."""
        return self._count >= MAX_CARRIED_REQUESTS

    def allows(self, request_id: str | None) -> bool:
        """Return whether the connection may carry a request.

        :param request_id: its id. Nothing tells the response to a request
            without an id, so that takes a new connection.
        """
        if request_id is None:
            return not self._count
        return not self.full and _hash(request_id) not in self._hashes

    def add(self, request_id: str | None) -> None:
        """Record that the connection carries a request.

        :param request_id: its id; none if it has none.
        """
        self._count += 1
        if request_id is not None:
            self._hashes.add(_hash(request_id))


def _hash(request_id: str) -> int:
    return hashing.hash64(request_id.encode("utf-8", "surrogateescape"))
