"""Saves the version history of services in the platform's store.

Which version began a stream follows from the versions that served then. When
all routers were lost, only the store knows them. A record is written when the
versions of a service change, by the router that reads the store.
"""

import asyncio
from collections import abc
import logging

import orjson

from bulrushdale import clock as clock_module
from bulrushdale.platform import store as store_module
from bulrushdale import records as records_module
from bulrushdale.routing import versions

LOG = logging.getLogger(__name__)

CHECK_INTERVAL_MS = 250
RETRY_DELAY_MS = 500
# Compositions per record, the latest ones.
MAX_SAVED = 64


def _encode(
    dated: abc.Sequence[versions.DatedComposition], ms_to_wall: int
) -> bytes:
    """Encode a history.

    :param dated: the compositions, with times of the clock.
    :param ms_to_wall: difference of the time since the epoch, in ms.
    """
    return orjson.dumps(
        [
            [item.since_ms + ms_to_wall, dict(item.composition.counts)]
            for item in dated[-MAX_SAVED:]
        ]
    )


def _decode(
    value: bytes, ms_to_wall: int, now_ms: int
) -> list[versions.DatedComposition]:
    """Decode a saved history, with times of the clock.

    :raises ValueError: if it isn't a valid history.
    """
    try:
        return [
            versions.DatedComposition(
                min(now_ms, int(since_wall_ms) - ms_to_wall),
                versions.Composition(
                    tuple(sorted((str(v), int(n)) for v, n in counts.items()))
                ),
            )
            for since_wall_ms, counts in orjson.loads(value)
        ]
    except (TypeError, AttributeError) as error:
        raise ValueError(repr(error)) from error


class VersionStore:
    """Saves the history of this router, and restores that of earlier ones.

    :param store: the platform's store.
    :param history: the version history.
    :param clock: the clock.

    :ivar restored: set once the store has been read.
    """

    __slots__ = ("restored", "_store", "_history", "_clock", "_saved")

    def __init__(
        self,
        store: store_module.Store,
        history: versions.VersionHistory,
        clock: clock_module.Clock,
    ) -> None:
        self.restored = asyncio.Event()
        self._store = store
        self._history = history
        self._clock = clock
        # The latest saved composition by service.
        self._saved: dict[str, versions.Composition] = {}

    def _ms_to_wall(self) -> int:
        return self._clock.wall_ms() - self._clock.now_ms()

    async def run(self, reads_store: abc.Callable[[], bool]) -> None:
        """Restore the history, then save its changes until cancelled.

        :param reads_store: returns whether this router reads the store for
            the fleet, and so is the one that writes.
        """
        while not await self._restore():
            await self._clock.sleep_ms(RETRY_DELAY_MS)
        self.restored.set()
        while True:
            if reads_store():
                for service in self._history.services():
                    await self._save(service)
            await self._clock.sleep_ms(CHECK_INTERVAL_MS)

    async def _restore(self) -> bool:
        """Restore what was saved; return whether the store answered."""
        try:
            page = await self._store.read_newest(store_module.VERSIONS_TOPIC)
        except records_module.SourceError as error:
            LOG.warning(
                "failed to read the version history",
                extra={"event": "store.no_versions", "reason": str(error)},
            )
            return False
        for record in page.records:
            try:
                dated = _decode(
                    record.value or b"[]",
                    self._ms_to_wall(),
                    self._clock.now_ms(),
                )
            except ValueError as error:
                LOG.warning(
                    "invalid version history skipped",
                    extra={"event": "store.bad_record", "reason": str(error)},
                )
                continue
            self._history.restore(record.key, dated)
            if dated:
                self._saved[record.key] = dated[-1].composition
        return True

    async def _save(self, service: str) -> None:
        """Save the history of a service, if it has changed."""
        current = self._history.current(service)
        if current is None or self._saved.get(service) == current:
            return
        dated = self._history.dated(service)
        try:
            await self._store.put(
                store_module.VERSIONS_TOPIC,
                service,
                _encode(dated, self._ms_to_wall()),
            )
        except records_module.SourceError as error:
            LOG.warning(
                "failed to save the version history",
                extra={
                    "event": "store.versions_not_saved",
                    "service": service,
                    "reason": str(error),
                },
            )
            return
        self._saved[service] = current
        LOG.info(
            "version history saved",
            extra={
                "event": "store.versions_saved",
                "service": service,
                "versions": dict(current.counts),
            },
        )
