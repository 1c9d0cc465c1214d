"""Client of the platform's store.

The store holds topics of records; a keyed topic keeps at least the newest
record of each key.
"""

import base64
from collections import abc
import dataclasses
import functools
import logging
import typing

import aiohttp
import orjson

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import connections
from bulrushdale.forwarding import replica
from bulrushdale.forwarding import sessions
from bulrushdale import records as records_module

LOG = logging.getLogger(__name__)

_Decoded = typing.TypeVar("_Decoded")

# Longest silence in a response. The store normally starts to respond within a
# few ms and keeps sending; this is ten times its slowest usual response.
IDLE_TIMEOUT_MS = 1_000
# The largest configuration, 4 MB, takes half of this time over a link of
# 5 Mbit/s.
TOTAL_TIMEOUT_MS = 15_000

# A response of the store holds about 1 MB and at most one further record of
# up to 4 MB.
MAX_RESPONSE_BYTES = 16 << 20

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
TARGETS_TOPIC = "keyed.servers"
# This topic is the project's own, not the platform's. Routers discover each
# other through it.
ROUTERS_TOPIC = "keyed.routers"
# Also the project's own: the crashes behind quarantines, for routers that
# start when no other router is up.
QUARANTINE_TOPIC = "keyed.quarantine"
# Also the project's own: which software versions served lately, by service.
VERSIONS_TOPIC = "keyed.versions"
# Also the project's own: versions of streams that don't follow from their ids.
STREAMS_TOPIC = "keyed.streams"

_ERA_HEADER = "Store-Era"

_LENGTH_BYTES = 4
# A response to a read starts with the end offset and the oldest offset that
# is still kept.
_OFFSET_BYTES = 8
# The store has not applied an append that it answers with one of these. After
# any other status, or without a response, the record may still appear.
_NOT_APPLIED_STATUSES = frozenset({412, 429, 503, 507})


@dataclasses.dataclass(frozen=True, slots=True)
class RawPage:
    """Undecoded records of a topic.

    :param first_offset: the oldest offset that is still kept.
    :param end_offset: one past the newest offset.
    :param records: the contents of the records, in order.
    :param era: the era of the offsets.
    """

    first_offset: int
    end_offset: int
    records: list[bytes]
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Response:
    """A response of the store.

    :param data: the body.
    :param era: the era in which the store answered.
    """

    data: bytes
    era: int


def _decode_era(text: str) -> int:
    """Decode the era that a response names.

    :raises ValueError: if it isn't a valid era.
    """
    if not (text.isascii() and text.isdigit()):
        raise ValueError("not a number")
    return records_module.check_era(int(text[:32]))


def _decode_record(
    offset: int, content: bytes, era: int
) -> records_module.KeyedRecord:
    key_bytes = content[0]
    key = content[1 : 1 + key_bytes].decode()
    value = content[1 + key_bytes :]
    return records_module.KeyedRecord(offset, key, value or None, era)


def _encode_keyed_record(key: str, value: bytes) -> bytes:
    """Encode a record of a keyed topic."""
    name = key.encode()
    return bytes([len(name)]) + name + value


def _frame(content: bytes) -> bytes:
    return len(content).to_bytes(_LENGTH_BYTES, "big") + content


def _split_frames(data: bytes) -> list[bytes]:
    """Split data into the frames that :func:`_frame` encodes.

    :raises ValueError: if the data ends within a frame.
    """
    frames: list[bytes] = []
    position = 0
    while position < len(data):
        length = int.from_bytes(
            data[position : position + _LENGTH_BYTES], "big"
        )
        position += _LENGTH_BYTES
        if position + length > len(data):
            raise ValueError("the data ends within a frame")
        frames.append(data[position : position + length])
        position += length
    return frames


def _decode_records(
    offset: int, contents: list[bytes], era: int
) -> list[records_module.KeyedRecord]:
    """Decode records of a keyed topic.

    One that can't be decoded becomes a deletion of the empty key.
    """
    records: list[records_module.KeyedRecord] = []
    for record_offset, content in enumerate(contents, offset):
        try:
            records.append(_decode_record(record_offset, content, era))
        except (IndexError, UnicodeDecodeError) as error:
            LOG.warning(
                "undecodable record of a keyed topic skipped",
                extra={"event": "store.bad_record", "reason": repr(error)},
            )
            records.append(
                records_module.KeyedRecord(record_offset, "", None, era)
            )
    return records


def _decode_newest_page(
    fields: typing.Any, era: int
) -> tuple[list[records_module.KeyedRecord], int, str | None]:
    """Decode a page of the newest records.

    :return: the records, the topic's end offset, and the key after which the
        next page starts; none if this is the last page.
    """
    records = [
        records_module.KeyedRecord(
            item["offset"], item["key"], base64.b64decode(item["value"]), era
        )
        for item in fields["items"]
    ]
    last_key = records[-1].key if fields["has_more"] else None
    return records, fields["end"], last_key


def _decode_json(
    name: str, data: bytes, extract: abc.Callable[[typing.Any], _Decoded]
) -> _Decoded:
    """Extract a value from a JSON response.

    :raises SourceError: if the response doesn't hold it; an append may have
        taken effect nevertheless.
    """
    try:
        return extract(orjson.loads(data))
    except (ValueError, LookupError, TypeError) as error:
        raise records_module.SourceError(
            f"{name}: {error!r}", may_have_taken_effect=True
        ) from error


class Store:
    """Reads and appends records.

    :param session: the HTTP session.
    :param url: the store's base URL.
    :param timeout_ms: the longest silence in a response, in ms; the time for
        which a read asks the store to wait is added.

    :ivar era: the era of the newest response; 0 before one named it.
    """

    __slots__ = ("era", "_session", "_url", "_timeout_ms", "_bad_era")

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        timeout_ms: int = IDLE_TIMEOUT_MS,
    ) -> None:
        self._session = session
        self._url = f"{url.rstrip('/')}/bulrushdale"
        self._timeout_ms = timeout_ms
        self.era = 0
        # The last invalid era, which is logged once.
        self._bad_era: str | None = None

    def _record_era(self, name: str, text: str | None) -> int:
        """Record the era that a response names; return the response's era.

        A response without a valid era counts for the era in force.

        :param name: the name of the request, for errors.
        :param text: the value of the header; none if there is none.
        :raises SourceError: if the response is of an earlier era: it was
            under way while the store came back from a copy, or another copy
            of the store answers as well.
        """
        if text is None and not self.era:
            return 0
        try:
            era = _decode_era(text or "")
        except ValueError as error:
            if text != self._bad_era:
                self._bad_era = text
                LOG.warning(
                    "invalid era of the store ignored",
                    extra={
                        "event": "store.bad_era",
                        "value": (text or "")[:32],
                        "reason": str(error),
                        "era": self.era,
                    },
                )
            return self.era
        if era < self.era:
            raise records_module.SourceError(
                f"{name}: response of era {era}, after one of era {self.era}",
                may_have_taken_effect=True,
            )
        self.era = era
        return era

    async def _request(
        self,
        method: str,
        name: str,
        query: dict[str, str],
        body: bytes | None = None,
        wait_ms: int = 0,
    ) -> _Response:
        """Send a request and return its response.

        :param method: the HTTP method.
        :param name: the last part of the URL's path.
        :param query: the parameters of the query.
        :param body: the body of the request; none for none.
        :param wait_ms: how long the store may wait for a record, in ms.
        :raises SourceError: if the store doesn't answer or fails.
        :raises RecordsExpiredError: if the requested records have expired.
        """
        timeout = aiohttp.ClientTimeout(
            total=(TOTAL_TIMEOUT_MS + wait_ms) / 1000,
            sock_read=(self._timeout_ms + wait_ms) / 1000,
            sock_connect=connections.CONNECT_TIMEOUT_MS / 1000,
        )
        try:
            async with self._session.request(
                method,
                f"{self._url}/{name}",
                params=query,
                data=body,
                timeout=timeout,
            ) as response:
                data = await sessions.read_bounded(
                    response, MAX_RESPONSE_BYTES
                )
        except aiohttp.ClientConnectorError as error:
            raise records_module.SourceError(f"{name}: {error!r}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise records_module.SourceError(
                f"{name}: {error!r}", may_have_taken_effect=True
            ) from error
        era = self._record_era(name, response.headers.get(_ERA_HEADER))
        if response.status == 410:
            raise records_module.RecordsExpiredError(
                _decode_json(name, data, lambda fields: int(fields["first"]))
            )
        if response.status != 200:
            raise records_module.SourceError(
                f"{name}: unexpected status {response.status}",
                may_have_taken_effect=response.status
                not in _NOT_APPLIED_STATUSES,
            )
        return _Response(data, era)

    async def read_raw(
        self,
        topic: str,
        offset: int,
        wait_ms: int = 0,
        max_kb: int | None = None,
    ) -> RawPage:
        """Read undecoded records, starting at an offset.

        :param topic: the topic.
        :param offset: the offset of the first record to read.
        :param wait_ms: how long the store may wait for a record, in ms.
        :param max_kb: the maximum size of the response, in KB; none for the
            store's own limit.
        :raises SourceError: if the store doesn't answer or fails.
        :raises RecordsExpiredError: if the records have expired.
        """
        query = {"topic": topic, "part": "0", "from": str(offset)}
        if wait_ms:
            query["wait_ms"] = str(wait_ms)
        if max_kb is not None:
            query["max_kb"] = str(max_kb)
        response = await self._request(
            "GET", "log-read", query, wait_ms=wait_ms
        )
        data = response.data
        if len(data) < 2 * _OFFSET_BYTES:
            raise records_module.SourceError("log-read: response too short")
        try:
            contents = _split_frames(data[2 * _OFFSET_BYTES :])
        except ValueError as error:
            raise records_module.SourceError(f"log-read: {error}") from error
        return RawPage(
            first_offset=int.from_bytes(
                data[_OFFSET_BYTES : 2 * _OFFSET_BYTES]
            ),
            end_offset=int.from_bytes(data[:_OFFSET_BYTES]),
            records=contents,
            era=response.era,
        )

    async def read(
        self, topic: str, offset: int, wait_ms: int = 0
    ) -> records_module.Page:
        """Read records of a keyed topic, starting at an offset.

        :param topic: the keyed topic.
        :param offset: the offset of the first record to read.
        :param wait_ms: how long the store may wait for a record, in ms.
        :raises SourceError: if the store doesn't answer or fails.
        :raises RecordsExpiredError: if the records have expired.
        """
        raw = await self.read_raw(topic, offset, wait_ms)
        next_offset = offset + len(raw.records)
        return records_module.Page(
            _decode_records(offset, raw.records, raw.era),
            next_offset,
            at_end=next_offset >= raw.end_offset,
            snapshot=False,
            era=raw.era,
            gapless=True,
        )

    async def read_newest(self, topic: str) -> records_module.Page:
        """Read the newest record of each key.

        :param topic: the keyed topic.
        :raises SourceError: if the store doesn't answer or fails, or comes
            back from a copy during the read.
        """
        records: list[records_module.KeyedRecord] = []
        query = {"topic": topic, "part": "0"}
        end = era = None
        while True:
            response = await self._request("GET", "log-newest", query)
            page_records, page_end, last_key = _decode_json(
                "log-newest",
                response.data,
                functools.partial(_decode_newest_page, era=response.era),
            )
            # The pages together are no consistent snapshot. The caller reads
            # on from the end offset of the first page and so receives every
            # change since then.
            end = page_end if end is None else end
            era = response.era if era is None else era
            if response.era != era:
                raise records_module.SourceError(
                    f"log-newest: era {response.era} after era {era}"
                )
            records += page_records
            if last_key is None:
                return records_module.Page(records, end, True, True, era)
            query["after"] = last_key

    def reader(
        self, topic: str, wait_ms: int, clock: clock_module.Clock
    ) -> abc.Callable[[int | None], abc.Awaitable[replica.ReadResult]]:
        """Return a function that reads a topic.

        The function takes the offset to start at; none to read the newest
        record of each key.

        :param topic: the keyed topic.
        :param wait_ms: how long the store may wait for a record, in ms.
        :param clock: the clock.
        """

        async def read(offset: int | None) -> replica.ReadResult:
            requested_ms = clock.boot_ms()
            if offset is None:
                return replica.ReadResult(
                    await self.read_newest(topic), requested_ms
                )
            page = await self.read(topic, offset, wait_ms)
            as_of_ms = replica.read_as_of_ms(
                page, requested_ms, clock.boot_ms(), wait_ms
            )
            return replica.ReadResult(page, as_of_ms)

        return read

    async def append(
        self, topic: str, content: bytes, at: int | None = None
    ) -> int:
        """Append a record.

        :param topic: the topic.
        :param content: the content of the record.
        :param at: the offset that the record must get; none for any.
        :return: the offset of the record.
        :raises SourceError: if the store doesn't answer or fails; the error
            says whether the record may have been appended nevertheless.
        """
        query = {"topic": topic, "part": "0"}
        if at is not None:
            query["at"] = str(at)
        response = await self._request(
            "POST", "log-append", query, _frame(content)
        )
        return _decode_json(
            "log-append", response.data, lambda fields: fields["offset"]
        )

    async def put(
        self, topic: str, key: str, value: bytes, at: int | None = None
    ) -> None:
        """Append a record to a keyed topic.

        :param topic: the keyed topic.
        :param key: the key, at most 255 bytes in UTF-8.
        :param value: the value of the key; empty to drop the key.
        :param at: the offset that the record must get; none for any.
        :raises SourceError: as for :meth:`append`.
        """
        await self.append(topic, _encode_keyed_record(key, value), at)
