"""Hashes that every router computes alike."""

from collections import abc
import hashlib

import xxhash

DIGEST_BYTES = 16


def digest(data: bytes) -> bytes:
    """Return the first 16 bytes of the SHA-256 of *data*."""
    return hashlib.sha256(data).digest()[:DIGEST_BYTES]


def hash64(data: bytes) -> int:
    """Return a 64-bit hash of *data* for placement, not for security."""
    return xxhash.xxh3_64_intdigest(data)


def name_hash(name: str) -> int:
    """Return the hash by which routers name a target to each other."""
    return hash64(name.encode())


def _weight(name: str, key: int) -> tuple[int, str]:
    """Return the weight of a name for a key; the name breaks ties."""
    return xxhash.xxh3_64_intdigest(name.encode(), key), name


class Ranking:
    """Names by highest random weight for one key, hashed once.

    :param key: a 64-bit hash.
    :param names: the candidates.
    """

    __slots__ = ("_weights",)

    def __init__(self, key: int, names: abc.Iterable[str]) -> None:
        self._weights = {name: _weight(name, key) for name in names}

    def winner(self, among: abc.Iterable[str]) -> str:
        """Return the first of some of the names, at least one."""
        return max(among, key=self._weights.__getitem__)

    def order(self, among: abc.Iterable[str]) -> list[str]:
        """Return some of the names, the preferred one first."""
        return sorted(among, key=self._weights.__getitem__, reverse=True)


def rendezvous(key: int, names: abc.Iterable[str]) -> list[str]:
    """Order names by highest random weight for one key.

    Every router that knows the same names computes the same order, and a
    name that joins or leaves moves only the keys that it wins.

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
    """Return a number from 0 to below 1 that a text decides."""
    return (hash64(text.encode()) >> 11) / 2**53
