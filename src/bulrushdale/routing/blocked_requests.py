"""Requests that no target gets any more, as they crash targets.

Several crashes show that one request, not a part of its prompt, crashes each
target that runs it. It is then blocked in the whole fleet for a day: unlike a
quarantine, a block has no trials, since each trial would take down a target.
"""

import collections
from collections import abc
import dataclasses

from bulrushdale import clock as clock_module

# Callers send the same request for hours. After a day its targets may run
# other software.
BLOCK_TTL_MS = 24 * 3_600_000
# Blocked requests remembered, the latest ones.
MAX_BLOCKED = 256
# Blocked requests per report, those reported longest ago; about 30 bytes each.
MAX_REPORTED = 4


@dataclasses.dataclass(frozen=True, slots=True)
class BlockReport:
    """A blocked request, as routers report it to each other.

    :param fingerprint: hash of its fingerprint and its service.
    :param remaining_ms: how long the block lasts, in ms.
    :param crashes: number of crashes that it explains.
    """

    fingerprint: int
    remaining_ms: int
    crashes: int


@dataclasses.dataclass(slots=True)
class _Block:
    """One blocked request.

    :ivar until_ms: end of the block, in ms of the clock.
    :ivar crashes: number of crashes that it explains.
    """

    until_ms: int
    crashes: int


class BlockedRequests:
    """The blocked requests that this router and others know.

    :param clock: the clock.
    """

    __slots__ = ("_clock", "_blocks")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        # By fingerprint, the one reported longest ago first.
        self._blocks: collections.OrderedDict[int, _Block] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._blocks)

    def add(self, report: BlockReport) -> bool:
        """Block a request; return whether it was not blocked before.

        :param report: the request; a block that lasts longer stays as it is.
        """
        if not 0 < report.remaining_ms <= BLOCK_TTL_MS:
            return False
        until_ms = self._clock.now_ms() + report.remaining_ms
        known = self._blocks.get(report.fingerprint)
        if known is not None:
            known.until_ms = max(known.until_ms, until_ms)
            known.crashes = max(known.crashes, report.crashes)
            return False
        self._blocks[report.fingerprint] = _Block(until_ms, report.crashes)
        self._blocks.move_to_end(report.fingerprint, last=False)
        if len(self._blocks) > MAX_BLOCKED:
            self._evict()
        return True

    def _evict(self) -> None:
        """Forget the block that ends first."""
        first = min(self._blocks, key=lambda f: self._blocks[f].until_ms)
        del self._blocks[first]

    def get(self, fingerprint: int) -> BlockReport | None:
        """Return the block of a request; none if it isn't blocked."""
        block = self._blocks.get(fingerprint)
        if block is None:
            return None
        remaining_ms = block.until_ms - self._clock.now_ms()
        if remaining_ms <= 0:
            del self._blocks[fingerprint]
            return None
        return BlockReport(fingerprint, remaining_ms, block.crashes)

    def find(self, fingerprints: abc.Iterable[int]) -> BlockReport | None:
        """Return the first block of some requests; none if there is none."""
        return next(filter(None, map(self.get, fingerprints)), None)

    def lift(self, fingerprints: abc.Iterable[int]) -> list[int]:
        """End blocks, as a target completed the request after all.

        :param fingerprints: hashes, also of requests that aren't blocked.
        :return: those that were blocked.
        """
        return [
            fingerprint
            for fingerprint in fingerprints
            if self._blocks.pop(fingerprint, None) is not None
        ]

    def all(self) -> list[BlockReport]:
        """Return all blocks, and forget those that ended."""
        found = map(self.get, list(self._blocks))
        return [report for report in found if report is not None]

    def take_to_report(self) -> tuple[BlockReport, ...]:
        """Return the blocks to report to other routers now."""
        found = self.all()[:MAX_REPORTED]
        for report in found:
            self._blocks.move_to_end(report.fingerprint)
        return tuple(found)
