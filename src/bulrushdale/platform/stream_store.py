"""Saves the versions of streams that don't follow from the streams' ids.

Routers tell these to each other. Only the store knows them when all routers
were lost. The router that reads the store for the fleet writes them, soon
after the first one, and four times a second while there are new ones.
"""

from collections import abc
import logging

import orjson

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import stream_sync
from bulrushdale.platform import store as store_module
from bulrushdale import records as records_module
from bulrushdale.routing import versions

LOG = logging.getLogger(__name__)

CHECK_INTERVAL_MS = 250
# Streams that began since the last write are lost with the routers, and are
# taken for streams of the version that follows, or refused.
MIN_WRITE_INTERVAL_MS = 250
# A store that is away is spared.
FAILED_WRITE_DELAY_MS = 1_000
RETRY_DELAY_MS = 500
# Streams saved, the latest ones. Each takes about 40 bytes.
MAX_SAVED = 1_024
_KEY = "latest"


def _encode(
    streams: abc.Sequence[versions.KnownStream], wall_ms: int
) -> bytes:
    return orjson.dumps(
        [
            [stream.stream_hash, stream.version, wall_ms - stream.age_ms]
            for stream in streams[-MAX_SAVED:]
        ]
    )


def _decode(value: bytes, wall_ms: int) -> list[versions.KnownStream]:
    """Decode saved streams.

    :raises ValueError: if they are invalid.
    """
    try:
        return [
            stream_sync.decode_stream(
                stream_hash, version, wall_ms - learned_wall_ms
            )
            for stream_hash, version, learned_wall_ms in orjson.loads(value)
        ]
    except TypeError as error:
        raise ValueError(repr(error)) from error


class StreamStore:
    """Saves what this router was told, and reads what was saved before.

    :param store: the platform's store.
    :param streams: the versions of streams that this router knows.
    :param clock: the clock.
    """

    __slots__ = ("_store", "_streams", "_clock", "_saved")

    def __init__(
        self,
        store: store_module.Store,
        streams: versions.StreamVersions,
        clock: clock_module.Clock,
    ) -> None:
        self._store = store
        self._streams = streams
        self._clock = clock
        # Hash of the latest stream that was saved.
        self._saved: int | None = None

    async def run(self, is_writer: abc.Callable[[], bool]) -> None:
        """Save new streams until cancelled.

        :param is_writer: returns whether this router writes for the fleet.
        """
        while True:
            latest = self._streams.latest
            if latest != self._saved and is_writer():
                saved = await self._save(latest)
                await self._clock.sleep_ms(
                    MIN_WRITE_INTERVAL_MS if saved else FAILED_WRITE_DELAY_MS
                )
            else:
                await self._clock.sleep_ms(CHECK_INTERVAL_MS)

    async def _save(self, latest: int | None) -> bool:
        """Save the streams; return whether the store took them."""
        value = _encode(self._streams.known(), self._clock.wall_ms())
        try:
            await self._store.put(store_module.STREAMS_TOPIC, _KEY, value)
        except records_module.SourceError as error:
            LOG.warning(
                "versions of streams not saved",
                extra={
                    "event": "store.streams_not_saved",
                    "reason": str(error),
                },
            )
            return False
        self._saved = latest
        return True

    async def read(self) -> list[versions.KnownStream]:
        """Return the saved streams.

        Without a response the store is asked again, until no stream can have
        begun before the first time.
        """
        end_ms = self._clock.now_ms() + versions.HISTORY_MS
        while True:
            try:
                return await self._read()
            except records_module.SourceError as error:
                LOG.warning(
                    "versions of streams not read",
                    extra={
                        "event": "store.no_streams",
                        "reason": str(error),
                    },
                )
            if self._clock.now_ms() >= end_ms:
                return []
            await self._clock.sleep_ms(RETRY_DELAY_MS)

    async def _read(self) -> list[versions.KnownStream]:
        """Read once; invalid records are skipped.

        :raises SourceError: if the store doesn't answer.
        """
        page = await self._store.read_newest(store_module.STREAMS_TOPIC)
        found: list[versions.KnownStream] = []
        for record in page.records:
            try:
                found += _decode(record.value or b"[]", self._clock.wall_ms())
            except ValueError as error:
                LOG.warning(
                    "invalid versions of streams skipped",
                    extra={"event": "store.bad_record", "reason": str(error)},
                )
        return found
