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

    __slots__ = ("_keys", "_count")

    def __init__(self) -> None:
        self._keys: set[int] = set()
        self._count = 0

    @property
    def count(self) -> int:
        """Number of requests that the connection has carried."""
        return self._count

    @property
    def full(self) -> bool:
        """Whether the connection takes no more requests."""
        return self._count >= MAX_CARRIED_REQUESTS

    def allows(self, key: int | None) -> bool:
        """Return whether the response to a request could be told from others.

        :param key: the request's key. Without an id only a new connection
            tells; later requests on it know that a response without an id
            isn't theirs.
        """
        return not self._count if key is None else key not in self._keys

    def add(self, key: int | None) -> None:
        """Record that the connection carries a request.

        :param key: the request's key.
        """
        self._count += 1
        if key is not None:
            self._keys.add(key)


def request_key(request_id: str | None) -> int | None:
    """Return the key of a request.

    :param request_id: its id.
    :return: the key; none if the request has no id.
    """
    if request_id is None:
        return None
    return hashing.hash64(request_id.encode("utf-8", "surrogateescape"))
