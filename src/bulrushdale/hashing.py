"""Hash functions with the same results on every router."""

from collections import abc
import hashlib

import xxhash

DIGEST_BYTES = 16


def digest(*parts: bytes) -> bytes:
    """Return the first 16 bytes of the SHA-256 of joined *parts*."""
    found = hashlib.sha256()
    for part in parts:
        found.update(part)
    return found.digest()[:DIGEST_BYTES]


def hash64(data: bytes) -> int:
    """Return a 64-bit hash of *data* for placement, not for security."""
    return xxhash.xxh3_64_intdigest(data)


def name_hash(name: str) -> int:
    """Return the hash that identifies a target between routers."""
    return hash64(name.encode())


def _weight(name: str, key: int) -> tuple[int, str]:
    """Return the weight of a name for a key; the name breaks ties."""
    return xxhash.xxh3_64_intdigest(name.encode(), key), name


class Ranking:
    """Rendezvous ranking of names for one key, with weights computed once.

    :param key: a 64-bit hash.
    :param names: the candidates.
    """

    __slots__ = ("_weights",)

    def __init__(self, key: int, names: abc.Iterable[str]) -> None:
        self._weights = {name: _weight(name, key) for name in names}

    def winner(self, among: abc.Iterable[str]) -> str:
        """Return the preferred one of *among*, which must not be empty."""
        return max(among, key=self._weights.__getitem__)

    def order(self, among: abc.Iterable[str]) -> list[str]:
        """Return the names of *among*, the preferred one first."""
        return sorted(among, key=self._weights.__getitem__, reverse=True)


def rendezvous(key: int, names: abc.Iterable[str]) -> list[str]:
    """Order names by rendezvous hashing (highest random weight) for a key.

    Every router with the same names computes the same order. A name that
    joins or leaves moves only the keys for which it comes first.

    :param key: a 64-bit hash.
    :param names: the candidates.
    :return: the candidates, the preferred one first.
    """
    return sorted(names, key=lambda name: _weight(name, key), reverse=True)


def winner(key: int, names: abc.Iterable[str]) -> str:
    """Return the first name of :func:`rendezvous`.

    :param key: a 64-bit hash.
    :param names: the candidates, at least one.
    :raises ValueError: if there is no candidate.
    """
    return max(names, key=lambda name: _weight(name, key))


def fraction(text: str) -> float:
    """Return a number in [0, 1) derived from a hash of *text*."""
    return (hash64(text.encode()) >> 11) / 2**53
