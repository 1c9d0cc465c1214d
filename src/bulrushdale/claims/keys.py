"""Idempotency keys: UUIDs of version 7, which contain a timestamp."""

import dataclasses
import hashlib
import os
import uuid

from bulrushdale import results

# More partitions spread the memory of the keys over more routers, fewer
# partitions combine more appends. The number must not change while keys
# live: see docs/design/claims.md.
PARTITIONS = 16
TIME_BYTES = 6
HASH_BYTES = 10
MAX_FUTURE_MS = 300_000
_UUID_VERSION = 7


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """A caller's key within one team and service.

    :param digest: 16 bytes: 6 bytes of the key's time in ms, then 10 bytes
        of a hash of the team, the service and the key.
    """

    digest: bytes

    @property
    def time_ms(self) -> int:
        """When the caller generated the key, in ms since the epoch."""
        return int.from_bytes(self.digest[:TIME_BYTES], "big")

    @property
    def partition(self) -> int:
        """The number of the partition that the key belongs to."""
        return self.digest[-1] % PARTITIONS


def parse(text: str, team: str, service: str, now_ms: int) -> Key:
    """Parse and check the key that a caller sent.

    :param text: the value of the ``Idempotency-Key`` header.
    :param team: the team that the caller belongs to.
    :param service: the service that is called.
    :param now_ms: the current time, in ms since the epoch.
    :raises bulrushdale.results.RefusedError: if it is not a UUID of
        version 7 or its time is more than 5 min in the future.
    """
    try:
        value = uuid.UUID(text.strip().strip('"'))
    except ValueError:
        value = None
    if value is None or value.version != _UUID_VERSION:
        raise results.refuse(
            results.Code.KEY_MALFORMED,
            "Idempotency-Key must be a UUID of version 7",
        )
    time_ms = int.from_bytes(value.bytes[:TIME_BYTES], "big")
    if time_ms > now_ms + MAX_FUTURE_MS:
        raise results.refuse(
            results.Code.KEY_MALFORMED,
            "the time of the Idempotency-Key is in the future",
        )
    scoped = f"{team}\n{service}\n{value}".encode()
    tail = hashlib.sha256(scoped).digest()[:HASH_BYTES]
    return Key(value.bytes[:TIME_BYTES] + tail)


def generate(now_ms: int) -> str:
    """Return a new key.

    :param now_ms: the current time, in ms since the epoch.
    """
    value = bytearray(now_ms.to_bytes(TIME_BYTES, "big") + os.urandom(10))
    value[6] = (value[6] & 0x0F) | (_UUID_VERSION << 4)
    value[8] = (value[8] & 0x3F) | 0x80
    return str(uuid.UUID(bytes=bytes(value)))
