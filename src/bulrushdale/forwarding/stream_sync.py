"""Asks other routers for the versions of streams that they told before.

Routers tell each other of a stream whose version doesn't follow from its id
when it begins. A router that starts later, or that stood still, has missed
that, and would take the version that follows for the right one.
"""

import asyncio
from collections import abc
import dataclasses
import logging
import random
import typing
import zlib

import aiohttp
import orjson

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import connections
from bulrushdale.forwarding import sessions
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import versions

LOG = logging.getLogger(__name__)

# Name of the page that other routers read.
PAGE = "streams"
# Routers asked in a large fleet, where each has been told of the streams of
# all others; in a small one all are asked.
MAX_ASKED = 4
# A live router responds within a few ms.
ANSWER_TIMEOUT_MS = 500
# MAX_STREAMS streams take about 400 KB, a quarter of that compressed.
MAX_PAGE_BYTES = 1 << 20
MAX_STREAMS_BYTES = 4 << 20
MAX_VERSION_CHARS = 64
MAX_HASH = 2**64 - 1


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """What a router knows.

    :param streams: the streams that it was told of.
    :param complete: whether it knows those from before its start as well.
    """

    streams: list[versions.KnownStream]
    complete: bool


def encode_page(page: Page) -> bytes:
    """Encode what a router knows."""
    return zlib.compress(
        orjson.dumps(
            {
                "streams": [
                    [stream.stream_hash, stream.version, stream.age_ms]
                    for stream in page.streams
                ],
                "complete": page.complete,
            }
        ),
        zlib.Z_BEST_SPEED,
    )


def decode_page(body: bytes) -> Page:
    """Decode what another router knows.

    :raises ValueError: if the page is invalid.
    """
    try:
        data = orjson.loads(
            zlib.decompressobj().decompress(body, MAX_STREAMS_BYTES)
        )
        return Page(
            [decode_stream(*fields) for fields in data["streams"]],
            data["complete"] is True,
        )
    except (TypeError, LookupError, zlib.error) as error:
        raise ValueError(repr(error)) from error


def decode_stream(
    stream_hash: typing.Any, version: typing.Any, age_ms: typing.Any
) -> versions.KnownStream:
    """Decode one stream.

    :raises ValueError: if a field is invalid.
    """
    if type(stream_hash) is not int or not 0 <= stream_hash <= MAX_HASH:
        raise ValueError("the hash is invalid")
    if not isinstance(version, str) or len(version) > MAX_VERSION_CHARS:
        raise ValueError("the version is invalid")
    if type(age_ms) is not int:
        raise ValueError("the age is invalid")
    return versions.KnownStream(
        stream_hash, version, min(max(0, age_ms), versions.HISTORY_MS)
    )


class StreamSync:
    """Learns from other routers what they told before this one started.

    :param streams: the versions of streams that this router knows.
    :param peers: the other routers.
    :param session: the HTTP session to other routers.
    :param read_saved: reads the streams that are saved.
    :param clock: the clock.

    :ivar done: set while this router knows what the others have told so far.
    """

    __slots__ = (
        "done",
        "_streams",
        "_peers",
        "_session",
        "_read_saved",
        "_clock",
        "_heard_ms",
        "_wanted",
    )

    def __init__(
        self,
        streams: versions.StreamVersions,
        peers: peers_module.Peers,
        session: aiohttp.ClientSession,
        read_saved: abc.Callable[
            [], abc.Awaitable[list[versions.KnownStream]]
        ],
        clock: clock_module.Clock,
    ) -> None:
        self.done = asyncio.Event()
        self._streams = streams
        self._peers = peers
        self._session = session
        self._read_saved = read_saved
        self._clock = clock
        # When the last report arrived, in ms of the boot clock.
        self._heard_ms = clock.boot_ms()
        self._wanted = asyncio.Event()
        self._wanted.set()

    def page(self) -> bytes:
        """Return the page for other routers."""
        return encode_page(Page(self._streams.known(), self.done.is_set()))

    def record_report(self) -> None:
        """Record that another router's report has arrived."""
        self.check()
        self._heard_ms = self._clock.boot_ms()

    def check(self) -> None:
        """Ask again if no report has arrived for some time.

        This router may have stood still or been cut off, and then has missed
        what the others told meanwhile.
        """
        now_ms = self._clock.boot_ms()
        if now_ms - self._heard_ms > versions.REPORTED_FOR_MS:
            self.done.clear()
            self._wanted.set()
            self._heard_ms = now_ms

    async def run(self, discovered: asyncio.Event) -> None:
        """Ask what was told before, at the start and when it was missed.

        :param discovered: set once the other routers may be known.
        """
        await discovered.wait()
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            await self._ask()
            if not self._wanted.is_set():
                self.done.set()

    async def _ask(self) -> None:
        """Ask the other routers, and the store if none of them knows."""
        asked = self._sources()
        pages = await asyncio.gather(*map(self._read, asked))
        answered = [page for page in pages if page is not None]
        for page in answered:
            self._streams.restore(page.streams)
        from_store = not any(page.complete for page in answered)
        if from_store:
            self._streams.restore(await self._read_saved())
        LOG.info(
            "versions of streams restored",
            extra={
                "event": "link.streams",
                "asked": len(asked),
                "answered": len(answered),
                "from_store": from_store,
                "streams": len(self._streams.known()),
            },
        )

    def _sources(self) -> list[str]:
        """Return the routers to ask, those first that have reported."""
        live = self._peers.live()
        others = [a for a in self._peers.addresses() if a not in live]
        random.shuffle(others)
        sources = [*live, *others]
        return sources if self._peers.full_mesh else sources[:MAX_ASKED]

    async def _read(self, address: str) -> Page | None:
        """Read the page of a router; return none without a valid one.

        Routers of earlier versions have no such page.
        """
        timeout = aiohttp.ClientTimeout(
            total=ANSWER_TIMEOUT_MS / 1000,
            sock_connect=connections.CONNECT_TIMEOUT_MS / 1000,
        )
        try:
            async with self._session.get(
                f"http://{address}/{PAGE}", timeout=timeout
            ) as response:
                if response.status != 200:
                    raise ValueError(f"status {response.status}")
                body = await sessions.read_bounded(response, MAX_PAGE_BYTES)
            return decode_page(body)
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            ValueError,
        ) as error:
            LOG.info(
                "versions of streams not read from a router",
                extra={
                    "event": "link.no_streams",
                    "peer": address,
                    "reason": repr(error),
                },
            )
            return None
