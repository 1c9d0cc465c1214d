"""The claims of one partition, built from the records of its log.

The first claim of a key in the log's order holds the key. A release ends a
claim, whether it comes before or after the claim in the log. Only the
router that made the claim appends the release, and only if it is certain
that it did not and will not send the service request. An outcome is final.
Every reader of the same records reaches the same state, however often a
record is repeated.
"""

import base64
import dataclasses
import enum
import typing

from bulrushdale.claims import keys
from bulrushdale import records

BUCKETS_PER_LIFE = 8
CLOCK_MARGIN_MS = 600_000
MAX_STORED_BODY_BYTES = 16_384


class Operation(enum.IntEnum):
    """What a claim client requests from a partition server."""

    CLAIM = 0
    OUTCOME = 1
    RELEASE = 2
    LOOK = 3


class Verdict(enum.IntEnum):
    """What a partition server replies."""

    WON = 0
    PENDING = 1
    DONE = 2
    REUSED = 3
    UNAVAILABLE = 4
    EXPIRED = 5
    NOTED = 6
    FREE = 7


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """How a service request ended.

    :param status: the HTTP status that the target sent; zero if it is
        not known whether the request had its effect.
    :param body: the response body, if it is small enough to be stored.
    :param content_type: the content type of the body.
    """

    status: int
    body: bytes
    content_type: str


@dataclasses.dataclass(frozen=True, slots=True)
class PendingClaim:
    """A claim without an outcome.

    :param claim_id: the claim that holds the key.
    :param body_digest: digest of the request's body.
    :param time_ms: when the log stored it, in ms since the epoch.
    """

    claim_id: bytes
    body_digest: bytes
    time_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """One operation on one key; all but ``LOOK`` are stored in records."""

    operation: Operation
    key: keys.Key
    claim_id: bytes
    body_digest: bytes = b""
    outcome: Outcome | None = None


def encode(items: list[Item]) -> dict[str, typing.Any]:
    """Return the record that contains the items."""
    return {"items": [_encode_item(item) for item in items]}


def _encode_bytes(data: bytes) -> str:
    return base64.b85encode(data).decode()


def _encode_item(item: Item) -> list[typing.Any]:
    """Return the fields of an item in the order that they are stored in."""
    fields: list[typing.Any] = [
        int(item.operation),
        _encode_bytes(item.key.digest),
        _encode_bytes(item.claim_id),
        _encode_bytes(item.body_digest),
    ]
    if item.outcome is not None:
        outcome = item.outcome
        fields += [
            outcome.status,
            _encode_bytes(outcome.body),
            outcome.content_type,
        ]
    return fields


def decode(data: dict[str, typing.Any]) -> list[Item]:
    """Return the items of a record; a record of another kind has none."""
    items = []
    for fields in data.get("items", ()):
        outcome = None
        if len(fields) > 4:
            outcome = Outcome(
                fields[4], base64.b85decode(fields[5]), fields[6]
            )
        items.append(
            Item(
                Operation(fields[0]),
                keys.Key(base64.b85decode(fields[1])),
                base64.b85decode(fields[2]),
                base64.b85decode(fields[3]),
                outcome,
            )
        )
    return items


class ClaimTable:
    """The keys of one partition.

    A key with an outcome takes its 16 bytes and the offset of the record
    with the outcome, which is read from the log when it is needed.

    :param life_ms: the lifetime of a key, in ms.

    :ivar offset: the offset of the next record to apply.

    .. versionadded:: 0.1
    """

    __slots__ = (
        "life_ms",
        "offset",
        "_bucket_ms",
        "_outcome_offsets",
        "_pending",
        "_released",
    )

    def __init__(self, life_ms: int) -> None:
        self.life_ms = life_ms
        self.offset = 0
        self._bucket_ms = max(1, life_ms // BUCKETS_PER_LIFE)
        self._outcome_offsets: dict[int, dict[bytes, int]] = {}
        self._pending: dict[bytes, PendingClaim] = {}
        self._released: dict[bytes, int] = {}

    def __len__(self) -> int:
        return len(self._pending) + sum(
            map(len, self._outcome_offsets.values())
        )

    def _bucket(self, key: keys.Key) -> int:
        return key.time_ms // self._bucket_ms

    def pending(self, key: keys.Key) -> PendingClaim | None:
        """Return the claim that holds a key and has no outcome yet."""
        return self._pending.get(key.digest)

    def outcome_offset(self, key: keys.Key) -> int | None:
        """Return the offset of the record with the outcome of a key."""
        return self._outcome_offsets.get(self._bucket(key), {}).get(key.digest)

    def is_expired(self, key: keys.Key, now_ms: int) -> bool:
        """Return whether a key is too old to be claimed.

        :param key: the key.
        :param now_ms: the current time, in ms since the epoch.
        """
        return key.time_ms < now_ms - self.life_ms

    def apply(self, record: records.LogRecord) -> None:
        """Apply the next record; an earlier one is ignored.

        :param record: a record of the partition's stream.
        """
        if record.offset < self.offset:
            return
        for item in decode(record.data):
            self._apply_item(item, record)
        self.offset = record.offset + 1

    def _apply_item(self, item: Item, record: records.LogRecord) -> None:
        if item.operation == Operation.CLAIM:
            self._apply_claim(item, record)
        elif item.operation == Operation.RELEASE:
            self._apply_release(item)
        elif item.operation == Operation.OUTCOME:
            self._apply_outcome(item, record)

    def _apply_claim(self, item: Item, record: records.LogRecord) -> None:
        """Let the claim hold its key, unless it is released or too late."""
        digest = item.key.digest
        if item.claim_id in self._released:
            return
        if (
            digest in self._pending
            or self.outcome_offset(item.key) is not None
        ):
            return
        self._pending[digest] = PendingClaim(
            item.claim_id, item.body_digest, record.time_ms
        )

    def _apply_release(self, item: Item) -> None:
        pending = self._pending.get(item.key.digest)
        if pending is not None and pending.claim_id == item.claim_id:
            del self._pending[item.key.digest]
        self._released[item.claim_id] = item.key.time_ms

    def _apply_outcome(self, item: Item, record: records.LogRecord) -> None:
        pending = self._pending.get(item.key.digest)
        if pending is None or pending.claim_id != item.claim_id:
            return
        del self._pending[item.key.digest]
        bucket = self._outcome_offsets.setdefault(self._bucket(item.key), {})
        bucket[item.key.digest] = record.offset

    def remove_expired(self, now_ms: int) -> None:
        """Remove the keys that are too old to be claimed.

        They are kept longer than their lifetime by a margin for clocks that
        differ.

        :param now_ms: the current time, in ms since the epoch.
        """
        before_ms = now_ms - self.life_ms - CLOCK_MARGIN_MS
        for bucket in list(self._outcome_offsets):
            if (bucket + 1) * self._bucket_ms < before_ms:
                del self._outcome_offsets[bucket]
        for digest in list(self._pending):
            if keys.Key(digest).time_ms < before_ms:
                del self._pending[digest]
        for claim_id, time_ms in list(self._released.items()):
            if time_ms < before_ms:
                del self._released[claim_id]


def find_outcome(record: records.LogRecord, key: keys.Key) -> Item | None:
    """Return the item of a record that has the outcome of a key."""
    for item in decode(record.data):
        if item.operation == Operation.OUTCOME and item.key == key:
            return item
    return None
