"""What routers tell each other: load reports and records.

Load reports are datagrams: a lost one is replaced by the next within a
fraction of a second. Records go over HTTP, asked for only while the store
does not answer.
"""

import asyncio
import base64
from collections import abc
import contextlib
import logging
import random
import typing
import zlib

import aiohttp
from aiohttp import web
import orjson

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import connections
from bulrushdale.forwarding import feed as feed_module
from bulrushdale import records
from bulrushdale.routing import health
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import reports

LOG = logging.getLogger(__name__)

PEER_TIMEOUT_MS = 500
# Routers asked for a first copy, one after another...
FIRST_ASKED = 6
# ...at this distance. One that lives begins its answer within some ms.
ASK_NEXT_MS = 60
# Peers asked for records before the store is asked again.
PEERS_ASKED = 3
# A read from the reader returns with news, or after this.
READER_WAIT_MS = 700
MAX_WAIT_MS = 5_000
# A peer's answer: a configuration of 4 MB, the most that operators may
# publish, and the list of some thousand targets.
MAX_READ_BYTES = 16 << 20


def encode_report(report: reports.Report) -> bytes:
    """Return a report as a datagram holds it, compressed."""
    return _compress(
        [
            report.address,
            report.data_centre,
            report.started_ms,
            report.sequence,
            report.routers,
            report.is_fleet_total,
            report.store_up_ms,
            {
                target_id: [
                    part.in_flight,
                    part.results.done,
                    part.results.failed,
                ]
                for target_id, part in report.targets.items()
            },
            {
                address: [member.data_centre, member.link_mbps]
                for address, member in report.members.items()
            },
            list(report.prefix_locations.items()),
            report.link_mbps,
            report.partial,
            list(report.leaving),
        ]
    )


def _compress(data: typing.Any) -> bytes:
    return zlib.compress(orjson.dumps(data), zlib.Z_BEST_SPEED)


def decode_report(data: bytes) -> reports.Report:
    """Return the report that a datagram holds.

    :raises ValueError: if it holds none.
    """
    try:
        fields = orjson.loads(zlib.decompress(data))
        parts, members, places, link_mbps, partial, leaving = fields[7:]
        targets = {
            target_id: reports.TargetReport(
                in_flight, health.Results(done, failed)
            )
            for target_id, (in_flight, done, failed) in parts.items()
        }
        return reports.Report(
            address=fields[0],
            data_centre=fields[1],
            started_ms=fields[2],
            sequence=fields[3],
            routers=fields[4],
            is_fleet_total=fields[5],
            store_up_ms=fields[6],
            targets=targets,
            members={
                address: reports.Member(*member)
                for address, member in members.items()
            },
            prefix_locations=dict(places),
            link_mbps=link_mbps,
            partial=partial,
            leaving=tuple(
                (target_id, int(born_ms)) for target_id, born_ms in leaving
            ),
        )
    except (TypeError, AttributeError, KeyError, zlib.error) as error:
        raise ValueError(repr(error)) from error


class _Datagrams(asyncio.DatagramProtocol):
    """Hands datagrams that hold a report on."""

    def __init__(self, take: abc.Callable[[bytes], None]) -> None:
        self._take = take

    def datagram_received(self, data: bytes, _: typing.Any) -> None:
        self._take(data)

    def error_received(self, exc: Exception) -> None:
        LOG.debug("datagram not delivered: %r", exc)


class Links:
    """Exchanges load reports and records with the other routers.

    :param address: this router's IP and port for links.
    :param peers: what other routers report.
    :param learn: takes over what a new report tells besides load.
    :param feeds: by name, what peers may read here.
    :param session: the HTTP session to other routers.
    :param clock: the clock.
    """

    __slots__ = (
        "_address",
        "_peers",
        "_learn",
        "_feeds",
        "_session",
        "_clock",
        "_packed",
        "_transport",
        "_runner",
    )

    def __init__(
        self,
        address: str,
        peers: peers_module.Peers,
        learn: abc.Callable[[reports.Report], None],
        feeds: abc.Mapping[str, feed_module.Feed],
        session: aiohttp.ClientSession,
        clock: clock_module.Clock,
    ) -> None:
        self._address = address
        self._peers = peers
        self._learn = learn
        self._feeds = feeds
        self._session = session
        self._clock = clock
        self._packed: dict[tuple[str, str], tuple[int, str]] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Open the ports for datagrams and for reading records."""
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self._take), local_addr=(host, int(port))
        )
        self._runner = web.ServerRunner(
            web.Server(self._serve_records, access_log=None)
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, int(port)).start()

    async def stop(self) -> None:
        """Close the ports."""
        if self._transport is not None:
            self._transport.close()
        if self._runner is not None:
            await self._runner.cleanup()

    def _take(self, data: bytes) -> None:
        try:
            report = decode_report(data)
            if self._peers.receive(report):
                self._learn(report)
        except ValueError as error:
            LOG.warning(
                "report skipped",
                extra={"event": "link.bad_report", "reason": str(error)},
            )

    def send(self, own: reports.Report) -> None:
        """Send load reports to the routers that are to have them.

        :param own: this router's own report.
        """
        if self._transport is None or self._transport.is_closing():
            return
        encoded: dict[int, bytes] = {}
        for address, report in self._peers.outgoing(own):
            data = encoded.get(id(report))
            if data is None:
                data = encoded[id(report)] = encode_report(report)
            host, _, port = address.rpartition(":")
            self._transport.sendto(data, (host, int(port)))

    async def _serve_records(self, request: web.BaseRequest) -> web.Response:
        feed = self._feeds.get(request.path.removeprefix("/feeds/"))
        if feed is None:
            return web.Response(status=404)
        offset = _count(request.query.get("from"))
        wait_ms = _count(request.query.get("wait_ms"))
        asked_ms = self._clock.boot_ms()
        if wait_ms:
            await feed.wait_for_news(offset, min(wait_ms, MAX_WAIT_MS))
        page = feed.since(offset)
        age_ms = feed.age_ms()
        if page is None or age_ms is None:
            return web.Response(status=503)
        waited_ms = self._clock.boot_ms() - asked_ms
        body = orjson.dumps(
            {
                "age_ms": age_ms - waited_ms,
                "next_offset": page.next_offset,
                "snapshot": page.snapshot,
                "records": [
                    [record.offset, record.key, self._pack(feed.name, record)]
                    for record in page.records
                ],
            }
        )
        return web.Response(body=body)

    def _pack(self, topic: str, record: records.KeyedRecord) -> str | None:
        """Return a record's value, compressed once for all who read it.

        A configuration has hundreds of KB, and goes to every router of the
        data centre through one link that may be small.
        """
        name = (topic, record.key)
        if record.value is None:
            self._packed.pop(name, None)
            return None
        offset, packed = self._packed.get(name, (None, ""))
        if offset != record.offset:
            value = zlib.compress(record.value, zlib.Z_BEST_SPEED)
            packed = base64.b64encode(value).decode()
            self._packed[name] = (record.offset, packed)
        return packed

    async def read_first(
        self, feed: feed_module.Feed
    ) -> feed_module.Reading | None:
        """Read a first copy of a feed from some other router.

        Many may have stopped together, so another one is asked as well
        whenever those asked before are not quick to answer.

        :param feed: the feed.
        :return: none if nobody gives one soon.
        """
        found: asyncio.Queue[feed_module.Reading | None] = asyncio.Queue()

        async def ask(address: str) -> None:
            await found.put(await self._read(feed, address, READER_WAIT_MS))

        asked: list[asyncio.Task[None]] = []
        try:
            for address in self._peers.initial_sources(FIRST_ASKED):
                asked.append(asyncio.create_task(ask(address)))
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(ASK_NEXT_MS / 1000):
                        if (reading := await found.get()) is not None:
                            return reading
            return None
        finally:
            for task in asked:
                task.cancel()

    async def read_reader(
        self, feed: feed_module.Feed
    ) -> feed_module.Reading | None:
        """Read a feed's new records from the router that reads for this one.

        :param feed: the feed.
        :return: none if this one reads the store, or it gives nothing.
        """
        reader = self._peers.record_source()
        if reader is None:
            return None
        reading = await self._read(feed, reader, READER_WAIT_MS)
        if reading is None:
            self._peers.mark_unresponsive(reader)
        return reading

    async def read_peers(
        self, feed: feed_module.Feed
    ) -> feed_module.Reading | None:
        """Read a feed's new records from some other routers.

        :param feed: the feed.
        :return: the newest that was found; none if nobody gave any.
        """
        addresses = self._peers.live() or self._peers.addresses()
        asked = random.sample(addresses, min(PEERS_ASKED, len(addresses)))
        found = await asyncio.gather(
            *(self._read(feed, address, 0) for address in asked)
        )
        readings = [reading for reading in found if reading is not None]
        newest = max(readings, key=lambda r: r.as_of_ms, default=None)
        if newest is not None and newest.page.records:
            LOG.info(
                "records read from peers",
                extra={
                    "event": "link.records",
                    "topic": feed.name,
                    "count": len(newest.page.records),
                    "age_ms": self._clock.boot_ms() - newest.as_of_ms,
                },
            )
        return newest

    async def _read(
        self, feed: feed_module.Feed, address: str, wait_ms: int
    ) -> feed_module.Reading | None:
        asked_ms = self._clock.boot_ms()
        query = {"wait_ms": str(wait_ms)}
        if feed.next_offset is not None:
            query["from"] = str(feed.next_offset)
        timeout = aiohttp.ClientTimeout(
            total=(PEER_TIMEOUT_MS + wait_ms) / 1000,
            sock_connect=connections.CONNECT_TIMEOUT_MS / 1000,
        )
        try:
            async with self._session.get(
                f"http://{address}/feeds/{feed.name}",
                params=query,
                timeout=timeout,
            ) as response:
                if response.status != 200:
                    return None
                data = orjson.loads(
                    await connections.read_bounded(response, MAX_READ_BYTES)
                )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            LOG.info(
                "peer gave no records",
                extra={
                    "event": "link.no_records",
                    "peer": address,
                    "topic": feed.name,
                    "reason": repr(error),
                },
            )
            return None
        # The age counts from when the peer got the request, which was not
        # before this router sent it.
        as_of_ms = asked_ms - data["age_ms"]
        return feed_module.Reading(_decode_page(data), as_of_ms)


def _count(value: str | None) -> int | None:
    return int(value) if value is not None and value.isdigit() else None


def _decode_page(data: dict[str, typing.Any]) -> records.Page:
    found = [
        records.KeyedRecord(
            offset,
            key,
            None
            if value is None
            else zlib.decompress(base64.b64decode(value)),
        )
        for offset, key, value in data["records"]
    ]
    return records.Page(found, data["next_offset"], True, data["snapshot"])
