"""Transport between routers: load reports and records of topics.

Load reports are datagrams: a lost one is replaced by the next within a
fraction of a second. Records are read over HTTP: a first copy at the start,
new records from the upstream router, which is the collector or the router
that reads the store, and any peer's records while the store does not answer.
"""

import asyncio
import base64
from collections import abc
import contextlib
import itertools
import logging
import random
import typing
import zlib

import aiohttp
from aiohttp import web
import orjson

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import connections
from bulrushdale.forwarding import memory_account
from bulrushdale.forwarding import permits
from bulrushdale.forwarding import replica as replica_module
from bulrushdale.forwarding import servers
from bulrushdale.forwarding import sessions
from bulrushdale import records
from bulrushdale.routing import blocked_requests
from bulrushdale.routing import crash_evidence
from bulrushdale.routing import health
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import rate_limits
from bulrushdale.routing import reports

LOG = logging.getLogger(__name__)

PEER_TIMEOUT_MS = 500
# Routers asked for a first copy, one after another.
MAX_INITIAL_PEERS = 6
# Delay between these requests. A live router starts its response within a few
# milliseconds.
NEXT_PEER_DELAY_MS = 60
# Peers asked for records before the store is read again.
MAX_FALLBACK_PEERS = 3
# A read from the upstream router returns with an update, or after this time.
UPSTREAM_WAIT_MS = 700
MAX_WAIT_MS = 5_000
# Other routers read elsewhere when this one stops.
STOP_TIMEOUT_S = 0.05
# Fits a configuration of 4 MB, the largest that operators may publish, and
# the list of several thousand targets.
MAX_RESPONSE_BYTES = 16 << 20
# Compressed data may expand a thousand times. A datagram holds less than
# 64 KB, and totals of 2,000 targets are some 100 KB of JSON.
MAX_DATAGRAM_JSON_BYTES = 4 << 20
MAX_RECORDS_BYTES = 64 << 20


def encode_report(report: reports.Report) -> bytes:
    """Encode a report as a compressed datagram.

    Crashes are left out if there are none: routers of earlier versions ignore
    reports with fields that they don't know. What they don't know follows in
    a second compressed block, which they don't read or read in part.
    """
    crashes = [
        [
            [
                crash.target_id,
                crash.started_ms,
                crash.age_ms,
                crash.prompts,
            ]
            for crash in report.crashes
        ],
        report.cleared,
    ]
    data = _compress(
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
                    target.in_flight,
                    target.results.done,
                    target.results.failed,
                ]
                for target_id, target in report.targets.items()
            },
            {
                address: [member.data_centre, member.link_mbps]
                for address, member in report.members.items()
            },
            list(report.prefix_locations.items()),
            report.link_mbps,
            report.partial,
            list(report.leaving),
            *(crashes if any(crashes) else []),
        ]
    )
    if not report.grants_permits:
        return data
    limits = [
        [
            limit.target_id,
            limit.started_ms,
            limit.limit_per_s,
            limit.age_ms,
        ]
        for limit in report.limits
    ]
    waiting = [crash.waiting for crash in report.crashes]
    blocked = [
        [block.fingerprint, block.remaining_ms, block.crashes]
        for block in report.blocked
    ]
    return data + _compress(
        [
            limits,
            list(report.streams.items()),
            waiting,
            blocked,
            report.grants_slots,
        ]
    )


def _compress(data: typing.Any) -> bytes:
    return zlib.compress(orjson.dumps(data), zlib.Z_BEST_SPEED)


def _decompress_blocks(data: bytes) -> list[typing.Any]:
    """Decode the compressed blocks of a datagram.

    :raises ValueError: if a block is cut short or invalid, or all together
        are too large.
    """
    blocks = []
    left_bytes = MAX_DATAGRAM_JSON_BYTES
    while data:
        block, data = _decompress(data, left_bytes)
        left_bytes -= len(block)
        blocks.append(orjson.loads(block))
    return blocks


def _decompress(data: bytes, max_bytes: int) -> tuple[bytes, bytes]:
    """Return a decompressed block, and the data behind it.

    :raises ValueError: if the block is cut short or larger.
    """
    decompressor = zlib.decompressobj()
    # Zero would mean no limit.
    block = decompressor.decompress(data, max(1, max_bytes))
    if not decompressor.eof:
        raise ValueError(f"a block is cut short or has over {max_bytes} bytes")
    return block, decompressor.unused_data


def decode_report(data: bytes) -> reports.Report:
    """Decode the report in a datagram.

    :raises ValueError: if the datagram holds no valid report.
    """
    try:
        fields, *extensions = _decompress_blocks(data)
        encoded_targets, members, locations, link_mbps, partial, leaving = (
            fields[7:13]
        )
        crashes, cleared = fields[13:] or ([], [])
        limits, streams, waiting, blocked, grants_slots = _pad(extensions, 5)
        targets = {
            target_id: reports.TargetReport(
                in_flight, health.Results(done, failed)
            )
            for target_id, (in_flight, done, failed) in encoded_targets.items()
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
            prefix_locations=dict(locations),
            link_mbps=link_mbps,
            partial=partial,
            leaving=tuple(
                (target_id, int(started_ms))
                for target_id, started_ms in leaving
            ),
            crashes=tuple(
                _decode_crash(crash, fingerprints)
                for crash, fingerprints in zip(
                    crashes,
                    waiting or itertools.repeat([]),
                    strict=False,
                )
            ),
            cleared=tuple(map(int, cleared)),
            grants_permits=bool(extensions),
            grants_slots=grants_slots is True,
            limits=tuple(_decode_limit(*limit) for limit in limits),
            streams={int(key): str(version) for key, version in streams},
            blocked=tuple(
                blocked_requests.BlockReport(*map(int, block))
                for block in blocked
            ),
        )
    except (TypeError, AttributeError, LookupError, zlib.error) as error:
        raise ValueError(repr(error)) from error


def _pad(extensions: list[typing.Any], length: int) -> list[typing.Any]:
    """Return the fields of the second block, empty lists if left out.

    Routers of earlier versions send fewer fields, or no second block.
    """
    fields = list(extensions[0][:length]) if extensions else []
    return fields + [[] for _ in range(length - len(fields))]


def _decode_limit(
    target_id: str, started_ms: int, limit_per_s: float | None, age_ms: int
) -> rate_limits.LimitReport:
    return rate_limits.LimitReport(
        target_id,
        int(started_ms),
        None if limit_per_s is None else float(limit_per_s),
        max(0, int(age_ms)),
    )


def _decode_crash(
    fields: list[typing.Any], waiting: abc.Iterable[int]
) -> crash_evidence.CrashReport:
    target_id, started_ms, age_ms, prompts = fields
    return crash_evidence.CrashReport(
        target_id,
        int(started_ms),
        int(age_ms),
        tuple(tuple(map(int, parts)) for parts in prompts),
        tuple(map(int, waiting)),
    )


class _ReportProtocol(asyncio.DatagramProtocol):
    """Passes received datagrams to a callback, with their sender."""

    def __init__(self, on_datagram: abc.Callable[[bytes, str], None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, address: typing.Any) -> None:
        host, port, *_ = address
        self._on_datagram(data, f"{host}:{port}")

    def error_received(self, exc: Exception) -> None:
        LOG.debug("datagram not delivered: %r", exc)


class PeerTransport:
    """Exchanges load reports and records with the other routers.

    :param address: this router's IP and port for other routers.
    :param peers: the reports of the other routers.
    :param on_report: called with each new report, for what it holds besides
        load.
    :param replicas: the replicas that peers may read here, by name.
    :param session: the HTTP session to other routers.
    :param clock: the clock.
    :param max_connections: connections of other routers that may be open; 0
        for any number.

    :ivar on_message: called with each datagram that holds no report, and the
        address of its sender; none to ignore them.
    :ivar pages: returns what peers may read here besides replicas, by name.
    """

    __slots__ = (
        "on_message",
        "pages",
        "_address",
        "_peers",
        "_on_report",
        "_replicas",
        "_session",
        "_clock",
        "_encoded_values",
        "_newer_reads",
        "_max_connections",
        "_transport",
        "_runner",
    )

    def __init__(
        self,
        address: str,
        peers: peers_module.Peers,
        on_report: abc.Callable[[reports.Report], None],
        replicas: abc.Mapping[str, replica_module.Replica],
        session: aiohttp.ClientSession,
        clock: clock_module.Clock,
        max_connections: int = servers.UNLIMITED,
    ) -> None:
        self.on_message: abc.Callable[[bytes, str], None] | None = None
        self.pages: dict[str, abc.Callable[[], bytes]] = {}
        self._address = address
        self._peers = peers
        self._on_report = on_report
        self._replicas = replicas
        self._session = session
        self._clock = clock
        # Position and encoded value, by topic and key.
        self._encoded_values: dict[
            tuple[str, str], tuple[tuple[int, int], str]
        ] = {}
        # Reads of values that the store lost, by topic.
        self._newer_reads: dict[str, asyncio.Task[None]] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._max_connections = max_connections
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Open the ports for datagrams and for reading records."""
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _ReportProtocol(self._receive),
            local_addr=(host, int(port)),
        )
        self._runner = web.ServerRunner(
            servers.make_server(
                "link_port",
                self._serve,
                memory_account.MemoryAccount(0, self._clock),
                self._max_connections,
            ),
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, int(port)).start()

    async def stop(self) -> None:
        """Close the ports."""
        for task in self._newer_reads.values():
            task.cancel()
        if self._transport is not None:
            self._transport.close()
        if self._runner is not None:
            await self._runner.cleanup()

    def _receive(self, data: bytes, sender: str) -> None:
        """Handle a datagram; an invalid or outdated one is ignored."""
        try:
            if data.startswith(permits.MESSAGE_START):
                if self.on_message is not None:
                    self.on_message(data, sender)
                return
            report = decode_report(data)
            if self._peers.receive(report):
                self._on_report(report)
        except (ValueError, TypeError) as error:
            LOG.warning(
                "invalid datagram ignored",
                extra={"event": "link.bad_report", "reason": str(error)},
            )

    def send(self, address: str, data: bytes) -> None:
        """Send a datagram to another router."""
        if self._transport is None or self._transport.is_closing():
            return
        host, _, port = address.rpartition(":")
        self._transport.sendto(data, (host, int(port)))

    def send_reports(self, own: reports.Report) -> None:
        """Send load reports to the routers that should receive them.

        :param own: this router's own report.
        """
        if self._transport is None or self._transport.is_closing():
            return
        encoded: dict[int, bytes] = {}
        for address, report in self._peers.outgoing(own):
            data = encoded.get(id(report))
            if data is None:
                data = encoded[id(report)] = encode_report(report)
            self.send(address, data)

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        """Serve a peer's read of a page or of a replica."""
        make_page = self.pages.get(request.path.removeprefix("/"))
        if make_page is not None:
            return web.Response(body=make_page())
        return await self._serve_records(request)

    async def _serve_records(self, request: web.BaseRequest) -> web.Response:
        """Serve a peer's read, which may ask to wait for new records."""
        replica = self._replicas.get(request.path.removeprefix("/feeds/"))
        if replica is None:
            return web.Response(status=404)
        offset = _parse_integer(request.query.get("from"))
        era = _parse_integer(request.query.get("era"))
        version = _parse_integer(request.query.get("version"))
        wait_ms = _parse_integer(request.query.get("wait_ms"))
        self._read_if_newer(replica, request.query.get("peer", ""), version)
        received_ms = self._clock.boot_ms()
        if wait_ms:
            await replica.wait_for_update(
                offset, min(wait_ms, MAX_WAIT_MS), era, version
            )
        page = replica.page_since(offset, era, version)
        age_ms = replica.age_ms()
        if page is None or age_ms is None:
            return web.Response(status=503)
        waited_ms = self._clock.boot_ms() - received_ms
        body = orjson.dumps(
            {
                "age_ms": age_ms - waited_ms,
                "next_offset": page.next_offset,
                "snapshot": page.snapshot,
                "records": [
                    [
                        record.offset,
                        record.key,
                        self._encode_value(replica.name, record),
                    ]
                    for record in page.records
                ],
                "era": page.era,
                "earlier": {
                    record.key: record.era
                    for record in page.records
                    if record.era != page.era
                },
            }
        )
        return web.Response(body=body)

    def _read_if_newer(
        self, replica: replica_module.Replica, peer: str, version: int | None
    ) -> None:
        """Read from a peer that knows a newer version than this router.

        The store came back from a copy that lacks it, and this router has
        started since then.

        :param replica: the replica.
        :param peer: address of the peer.
        :param version: the newest version that a value of the peer names.
        """
        own_version = replica.newest_version
        if version is None or own_version is None or version <= own_version:
            return
        if replica.name in self._newer_reads:
            return
        if peer not in self._peers.addresses():
            return

        async def read() -> None:
            result = await self._read(replica, peer, 0)
            if result is not None:
                replica.apply(result.page, result.as_of_ms)

        task = asyncio.create_task(read())
        self._newer_reads[replica.name] = task
        task.add_done_callback(
            lambda _: self._newer_reads.pop(replica.name, None)
        )

    def _encode_value(
        self, topic: str, record: records.KeyedRecord
    ) -> str | None:
        """Return a record's value, compressed once for all peers.

        A configuration has hundreds of KB and goes to every router of the
        data centre over one network link, which may be slow.
        """
        cache_key = (topic, record.key)
        if record.value is None:
            self._encoded_values.pop(cache_key, None)
            return None
        position, encoded = self._encoded_values.get(cache_key, (None, ""))
        if position != record.position:
            value = zlib.compress(record.value, zlib.Z_BEST_SPEED)
            encoded = base64.b64encode(value).decode()
            self._encoded_values[cache_key] = (record.position, encoded)
        return encoded

    async def read_initial(
        self, replica: replica_module.Replica
    ) -> replica_module.ReadResult | None:
        """Read a first copy of a replica from another router.

        Many routers may have stopped together, so another one is asked as
        well whenever those asked before don't answer at once.

        :param replica: the replica.
        :return: the first copy received; none if no router sends one soon.
        """
        results: asyncio.Queue[replica_module.ReadResult | None] = (
            asyncio.Queue()
        )

        async def read(address: str) -> None:
            await results.put(
                await self._read(replica, address, UPSTREAM_WAIT_MS)
            )

        tasks: list[asyncio.Task[None]] = []
        try:
            for address in self._peers.initial_sources(MAX_INITIAL_PEERS):
                tasks.append(asyncio.create_task(read(address)))
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(NEXT_PEER_DELAY_MS / 1000):
                        if (result := await results.get()) is not None:
                            return result
            return None
        finally:
            for task in tasks:
                task.cancel()

    async def read_from_upstream(
        self, replica: replica_module.Replica
    ) -> replica_module.ReadResult | None:
        """Read new records from the upstream router.

        :param replica: the replica.
        :return: the records; none if this router reads the store itself, or
            if its upstream router doesn't answer or has no records to give.
        """
        upstream = self._peers.upstream()
        if upstream is None:
            return None
        result = await self._read(replica, upstream, UPSTREAM_WAIT_MS)
        if result is None:
            self._peers.mark_unresponsive(upstream)
        return result

    async def read_from_peers(
        self, replica: replica_module.Replica
    ) -> replica_module.ReadResult | None:
        """Read new records from a few other routers.

        :param replica: the replica.
        :return: the newest result; none if no router answered.
        """
        addresses = self._peers.live() or self._peers.addresses()
        chosen = random.sample(
            addresses, min(MAX_FALLBACK_PEERS, len(addresses))
        )
        responses = await asyncio.gather(
            *(self._read(replica, address, 0) for address in chosen)
        )
        results = [result for result in responses if result is not None]
        newest = max(
            results, key=lambda r: (r.page.era, r.as_of_ms), default=None
        )
        if newest is not None and newest.page.records:
            LOG.info(
                "records read from peers",
                extra={
                    "event": "link.records",
                    "topic": replica.name,
                    "count": len(newest.page.records),
                    "age_ms": self._clock.boot_ms() - newest.as_of_ms,
                },
            )
        return newest

    async def _read(
        self, replica: replica_module.Replica, address: str, wait_ms: int
    ) -> replica_module.ReadResult | None:
        """Read the records that a replica lacks from another router.

        :param replica: the replica.
        :param address: address of the other router.
        :param wait_ms: how long it may wait for new records, in ms.
        :return: the records; none if the router didn't answer or has none.
        """
        sent_ms = self._clock.boot_ms()
        query = {"wait_ms": str(wait_ms), "peer": self._address}
        if replica.next_offset is not None:
            query["from"] = str(replica.next_offset)
            query["era"] = str(replica.era)
        if replica.newest_version is not None:
            query["version"] = str(replica.newest_version)
        timeout = aiohttp.ClientTimeout(
            total=(PEER_TIMEOUT_MS + wait_ms) / 1000,
            sock_connect=connections.CONNECT_TIMEOUT_MS / 1000,
        )
        try:
            async with self._session.get(
                f"http://{address}/feeds/{replica.name}",
                params=query,
                timeout=timeout,
            ) as response:
                if response.status != 200:
                    return None
                body = await sessions.read_bounded(
                    response, MAX_RESPONSE_BYTES
                )
            age_ms, page = decode_records(body)
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            ValueError,
        ) as error:
            LOG.info(
                "records not read from a peer",
                extra={
                    "event": "link.no_records",
                    "peer": address,
                    "topic": replica.name,
                    "reason": repr(error),
                },
            )
            return None
        # The peer's age counts from when it received the request. Counted from
        # when this router sent it, the result may seem older, but never newer.
        return replica_module.ReadResult(page, sent_ms - age_ms)


def _parse_integer(value: str | None) -> int | None:
    return int(value) if value is not None and value.isdigit() else None


def decode_records(body: bytes) -> tuple[int, records.Page]:
    """Decode a peer's response to a read of its replica.

    Routers of earlier versions name no era, which counts as the first one.

    :return: the age of the replica, in ms, and the records.
    :raises ValueError: if the response is invalid.
    """
    try:
        data = orjson.loads(body)
        era = records.check_era(int(data.get("era", 0)))
        earlier = data.get("earlier", {})
        decoded = []
        left_bytes = MAX_RECORDS_BYTES
        for offset, key, compressed in data["records"]:
            value = None
            if compressed is not None:
                value, _ = _decompress(
                    base64.b64decode(compressed), left_bytes
                )
                left_bytes -= len(value)
            decoded.append(
                records.KeyedRecord(
                    int(offset),
                    str(key),
                    value,
                    records.check_era(int(earlier.get(key, era))),
                )
            )
        page = records.Page(
            decoded,
            int(data["next_offset"]),
            at_end=True,
            snapshot=bool(data["snapshot"]),
            era=era,
        )
        return int(data["age_ms"]), page
    except (TypeError, AttributeError, LookupError, zlib.error) as error:
        raise ValueError(repr(error)) from error
