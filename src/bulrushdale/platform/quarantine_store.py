"""Saves quarantines and blocked requests in the platform's store.

Routers tell each other of crashes, and one that starts learns of quarantines
from the others. Only the store knows them when all routers were down, and
without it each loss of all routers would cost several targets again.
"""

from collections import abc
import logging
import typing

import orjson

from bulrushdale import clock as clock_module
from bulrushdale.platform import store as store_module
from bulrushdale import records as records_module
from bulrushdale.routing import blocked_requests
from bulrushdale.routing import crash_evidence
from bulrushdale.routing import quarantine as quarantine_module

LOG = logging.getLogger(__name__)

# Quarantines are saved in this many keys, which bounds the topic. Two of them
# in one key replace each other.
MAX_KEYS = 16
# Crashes saved per quarantine, the latest ones; a few more than it takes.
MAX_CRASHES = 6
CHECK_INTERVAL_MS = 500
# Routers name crashes and requests to each other by 64-bit numbers.
MAX_NUMBER = 2**64 - 1
# Blocked requests are saved in as many keys, several in each.
_BLOCKED_KEY_PREFIX = "blocked-"
_RELEASED = b"[]"

# What was saved under a key: the parts and the number of their crashes.
_Saved = tuple[crash_evidence.Prompt, int]


def _key(culprit: crash_evidence.Culprit) -> str:
    return str(min(culprit.parts) % MAX_KEYS)


def _encode(
    culprit: crash_evidence.Culprit,
    crashes: abc.Sequence[crash_evidence.CrashReport],
    wall_ms: int,
) -> bytes:
    """Encode the crashes that a culprit explains."""
    return orjson.dumps(
        [
            [
                crash.target_id,
                crash.started_ms,
                wall_ms - crash.age_ms,
                sorted(culprit.parts),
            ]
            for crash in crashes[:MAX_CRASHES]
        ]
    )


def _bounded(value: typing.Any) -> int:
    """Return a number that reports of routers can hold.

    :raises ValueError: if it isn't one.
    """
    number = int(value)
    if not 0 <= number <= MAX_NUMBER:
        raise ValueError(f"number out of range: {str(number)[:80]}")
    return number


def _decode(value: bytes, wall_ms: int) -> list[crash_evidence.CrashReport]:
    """Decode saved crashes.

    :raises ValueError: if the value holds no valid crashes.
    """
    try:
        return [
            crash_evidence.CrashReport(
                str(target_id),
                _bounded(started_ms),
                max(0, wall_ms - _bounded(crashed_wall_ms)),
                (tuple(map(_bounded, parts)),),
            )
            for target_id, started_ms, crashed_wall_ms, parts in orjson.loads(
                value
            )
        ]
    except TypeError as error:
        raise ValueError(repr(error)) from error


def _blocked_key(block: blocked_requests.BlockReport) -> str:
    # The last bits of all fingerprints are the same.
    return f"{_BLOCKED_KEY_PREFIX}{(block.fingerprint >> 32) % MAX_KEYS}"


def _encode_blocks(
    blocks: abc.Iterable[blocked_requests.BlockReport], wall_ms: int
) -> bytes:
    return orjson.dumps(
        [
            [block.fingerprint, wall_ms + block.remaining_ms, block.crashes]
            for block in blocks
        ]
    )


def _decode_blocks(
    value: bytes, wall_ms: int
) -> list[blocked_requests.BlockReport]:
    """Decode saved blocks.

    :raises ValueError: if the value holds no valid blocks.
    """
    try:
        return [
            blocked_requests.BlockReport(
                _bounded(fingerprint),
                _bounded(until_wall_ms) - wall_ms,
                _bounded(crashes),
            )
            for fingerprint, until_wall_ms, crashes in orjson.loads(value)
        ]
    except TypeError as error:
        raise ValueError(repr(error)) from error


class QuarantineStore:
    """Saves what this router withholds, and restores what others saved.

    :param store: the platform's store.
    :param quarantine: the quarantines.
    :param evidence: receives the restored crashes.
    :param clock: the clock.
    """

    __slots__ = (
        "_store",
        "_quarantine",
        "_evidence",
        "_clock",
        "_saved",
        "_saved_blocks",
    )

    def __init__(
        self,
        store: store_module.Store,
        quarantine: quarantine_module.Quarantine,
        evidence: crash_evidence.CrashEvidence,
        clock: clock_module.Clock,
    ) -> None:
        self._store = store
        self._quarantine = quarantine
        self._evidence = evidence
        self._clock = clock
        self._saved: dict[str, _Saved] = {}
        # Fingerprints by key.
        self._saved_blocks: dict[str, frozenset[int]] = {}

    async def run(self, is_reader: abc.Callable[[], bool]) -> None:
        """Restore and save the quarantines for the fleet until cancelled.

        Only the router that reads the store for the others does so; each call
        costs money. The others learn of crashes from its reports.

        :param is_reader: whether this router reads the store now.
        """
        restored = False
        while True:
            if is_reader():
                if restored:
                    await self.save()
                else:
                    restored = await self.restore()
            await self._clock.sleep_ms(CHECK_INTERVAL_MS)

    async def restore(self) -> bool:
        """Record the saved crashes; return whether the store answered."""
        topic = store_module.QUARANTINE_TOPIC
        try:
            page = await self._store.read_newest(topic)
        except records_module.SourceError as error:
            LOG.warning(
                "quarantines not restored",
                extra={"event": "prompt.not_restored", "reason": str(error)},
            )
            return False
        for record in page.records:
            value, wall_ms = record.value or b"", self._clock.wall_ms()
            try:
                if record.key.startswith(_BLOCKED_KEY_PREFIX):
                    self._restore_blocks(record.key, value, wall_ms)
                    continue
                crashes = _decode(value, wall_ms)
            except ValueError as error:
                LOG.warning(
                    "invalid quarantine in the store skipped",
                    extra={"event": "store.bad_record", "reason": str(error)},
                )
                continue
            for crash in crashes:
                self._evidence.record(crash, announce=True)
        for culprit in self._quarantine.active():
            self._saved[_key(culprit)] = (culprit.parts, culprit.crashes)
        return True

    def _restore_blocks(self, key: str, value: bytes, wall_ms: int) -> None:
        """Block the requests saved under a key.

        :raises ValueError: if the value holds no valid blocks.
        """
        blocks = _decode_blocks(value, wall_ms)
        self._quarantine.merge_blocks(blocks, "the store has it")
        self._saved_blocks[key] = frozenset(b.fingerprint for b in blocks)

    async def save(self) -> None:
        """Save what changed, and clear what ended."""
        await self._save_quarantines()
        await self._save_blocks()

    async def _save_blocks(self) -> None:
        blocks: dict[str, list[blocked_requests.BlockReport]] = {}
        for block in self._quarantine.blocks():
            blocks.setdefault(_blocked_key(block), []).append(block)
        for key in blocks.keys() | self._saved_blocks.keys():
            found = blocks.get(key, [])
            names = frozenset(block.fingerprint for block in found)
            if names == self._saved_blocks.get(key):
                continue
            value = _encode_blocks(found, self._clock.wall_ms())
            crashes = max((block.crashes for block in found), default=0)
            if await self._put(key, value, crashes):
                self._saved_blocks[key] = names

    async def _save_quarantines(self) -> None:
        culprits = {_key(c): c for c in self._quarantine.active()}
        for key, culprit in culprits.items():
            saved = (culprit.parts, culprit.crashes)
            if self._saved.get(key) != saved:
                crashes = self._quarantine.crashes_behind(culprit)
                value = _encode(culprit, crashes, self._clock.wall_ms())
                if await self._put(key, value, culprit.crashes):
                    self._saved[key] = saved
        for key in self._saved.keys() - culprits.keys():
            if await self._put(key, _RELEASED, 0):
                del self._saved[key]

    async def _put(self, key: str, value: bytes, crashes: int) -> bool:
        """Write a value; return whether the store took it."""
        fields: dict[str, typing.Any] = {"key": key, "crashes": crashes}
        topic = store_module.QUARANTINE_TOPIC
        try:
            await self._store.put(topic, key, value)
        except records_module.SourceError as error:
            LOG.warning(
                "quarantine not saved",
                extra={
                    "event": "prompt.not_saved",
                    "reason": str(error),
                    **fields,
                },
            )
            return False
        LOG.info("quarantine saved", extra={"event": "prompt.saved", **fields})
        return True
