"""Client of the platform's store: topics of records, of which the keyed ones
keep the newest record of each key."""

import base64
from collections import abc
import dataclasses
import logging
import typing

import aiohttp
import orjson

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import connections
from bulrushdale.forwarding import replica
from bulrushdale import records as records_module

LOG = logging.getLogger(__name__)

_Taken = typing.TypeVar("_Taken")

# The store answers within some ms, and goes on; ten times its slowest usual
# answer.
CALL_TIMEOUT_MS = 1_000
# The largest configuration, 4 MB, takes half of this over a link of 5 Mbit/s.
READ_TIMEOUT_MS = 15_000

# The store gives about 1 MB at once, and one record more of at most 4 MB.
MAX_ANSWER_BYTES = 16 << 20

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
TARGETS_TOPIC = "keyed.servers"
# A topic of our own, where routers find each other.
ROUTERS_TOPIC = "keyed.routers"

_LENGTH_BYTES = 4
# A read begins with the end and the first offset that is kept.
_OFFSET_BYTES = 8
# With these the store has done nothing; without an answer, or with another
# one, an append may still appear.
_REFUSED_STATUSES = frozenset({412, 429, 503, 507})


@dataclasses.dataclass(frozen=True, slots=True)
class Contents:
    """Records as they stand in the store.

    :param first: the oldest offset that is still kept.
    :param end: one past the newest offset.
    :param records: what was appended, in order.
    """

    first: int
    end: int
    records: list[bytes]


def _decode_record(offset: int, content: bytes) -> records_module.KeyedRecord:
    key_bytes = content[0]
    key = content[1 : 1 + key_bytes].decode()
    value = content[1 + key_bytes :]
    return records_module.KeyedRecord(offset, key, value or None)


def _keyed_content(key: str, value: bytes) -> bytes:
    """Return the content of a record of a keyed topic."""
    name = key.encode()
    return bytes([len(name)]) + name + value


def _framed(content: bytes) -> bytes:
    return len(content).to_bytes(_LENGTH_BYTES, "big") + content


def _contents(data: bytes) -> list[bytes]:
    found: list[bytes] = []
    place = 0
    while place + _LENGTH_BYTES <= len(data):
        length = int.from_bytes(data[place : place + _LENGTH_BYTES], "big")
        place += _LENGTH_BYTES
        found.append(data[place : place + length])
        place += length
    return found


def _decode_records(
    offset: int, contents: list[bytes]
) -> list[records_module.KeyedRecord]:
    records: list[records_module.KeyedRecord] = []
    for place, content in enumerate(contents, offset):
        try:
            records.append(_decode_record(place, content))
        except (IndexError, UnicodeDecodeError) as error:
            LOG.warning(
                "record skipped",
                extra={"event": "store.bad_record", "reason": repr(error)},
            )
            records.append(records_module.KeyedRecord(place, "", None))
    return records


def _newest_page(
    fields: typing.Any,
) -> tuple[list[records_module.KeyedRecord], int, str | None]:
    """Return a page's records, the topic's end and the key to go on after."""
    records = [
        records_module.KeyedRecord(
            item["offset"], item["key"], base64.b64decode(item["value"])
        )
        for item in fields["items"]
    ]
    last_key = records[-1].key if fields["has_more"] else None
    return records, fields["end"], last_key


def _decode(
    name: str, data: bytes, take: abc.Callable[[typing.Any], _Taken]
) -> _Taken:
    """Return what is taken from a JSON answer.

    :raises SourceError: if it isn't there; an append was made all the same.
    """
    try:
        return take(orjson.loads(data))
    except (ValueError, LookupError, TypeError) as error:
        raise records_module.SourceError(
            f"{name}: {error!r}", may_have_taken_effect=True
        ) from error


class Store:
    """Reads and appends records.

    :param session: the HTTP session.
    :param url: the store's base URL.
    :param timeout_ms: how long the store may be silent in a call, besides
        its wait, in ms.
    """

    __slots__ = ("_session", "_url", "_timeout_ms")

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> None:
        self._session = session
        self._url = f"{url.rstrip('/')}/bulrushdale"
        self._timeout_ms = timeout_ms

    async def _call(
        self,
        method: str,
        name: str,
        query: dict[str, str],
        body: bytes | None = None,
        wait_ms: int = 0,
    ) -> bytes:
        timeout = aiohttp.ClientTimeout(
            total=(READ_TIMEOUT_MS + wait_ms) / 1000,
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
                data = await connections.read_bounded(
                    response, MAX_ANSWER_BYTES
                )
        except aiohttp.ClientConnectorError as error:
            raise records_module.SourceError(f"{name}: {error!r}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise records_module.SourceError(
                f"{name}: {error!r}", may_have_taken_effect=True
            ) from error
        if response.status == 410:
            raise records_module.HistoryGoneError(
                _decode(name, data, lambda fields: int(fields["first"]))
            )
        if response.status != 200:
            raise records_module.SourceError(
                f"{name} answered {response.status}",
                may_have_taken_effect=response.status not in _REFUSED_STATUSES,
            )
        return data

    async def read_contents(
        self,
        topic: str,
        offset: int,
        wait_ms: int = 0,
        most_kb: int | None = None,
    ) -> Contents:
        """Read records as they stand from an offset on.

        :param topic: a topic.
        :param offset: the first offset wanted.
        :param wait_ms: how long to wait for a record, in ms.
        :param most_kb: how much to read at most, in KB; none for the
            store's own limit.
        :raises SourceError: without an answer.
        :raises HistoryGoneError: if the records have expired.
        """
        query = {"topic": topic, "part": "0", "from": str(offset)}
        if wait_ms:
            query["wait_ms"] = str(wait_ms)
        if most_kb is not None:
            query["max_kb"] = str(most_kb)
        data = await self._call("GET", "log-read", query, wait_ms=wait_ms)
        if len(data) < 2 * _OFFSET_BYTES:
            raise records_module.SourceError("log-read: answer too short")
        return Contents(
            first=int.from_bytes(data[_OFFSET_BYTES : 2 * _OFFSET_BYTES]),
            end=int.from_bytes(data[:_OFFSET_BYTES]),
            records=_contents(data[2 * _OFFSET_BYTES :]),
        )

    async def read(
        self, topic: str, offset: int, wait_ms: int = 0
    ) -> records_module.Page:
        """Read records of a keyed topic from an offset on.

        :param topic: a keyed topic.
        :param offset: the first offset wanted.
        :param wait_ms: how long to wait for a record, in ms.
        :raises SourceError: without an answer.
        :raises HistoryGoneError: if the records have expired.
        """
        found = await self.read_contents(topic, offset, wait_ms)
        next_offset = offset + len(found.records)
        return records_module.Page(
            _decode_records(offset, found.records),
            next_offset,
            next_offset >= found.end,
            False,
        )

    async def newest(self, topic: str) -> records_module.Page:
        """Read the newest record of each key.

        :param topic: a keyed topic.
        :raises SourceError: without an answer.
        """
        records: list[records_module.KeyedRecord] = []
        query = {"topic": topic, "part": "0"}
        end = None
        while True:
            data = await self._call("GET", "log-newest", query)
            found, page_end, last_key = _decode(
                "log-newest", data, _newest_page
            )
            # Pages are not a snapshot: what changed since the first one is
            # read again from its end on.
            end = page_end if end is None else end
            records += found
            if last_key is None:
                return records_module.Page(records, end, True, True)
            query["after"] = last_key

    def reader(
        self, topic: str, wait_ms: int, clock: clock_module.Clock
    ) -> abc.Callable[[int | None], abc.Awaitable[replica.ReadResult]]:
        """Return what reads a topic from an offset, or everything for none.

        :param topic: a keyed topic.
        :param wait_ms: how long a read waits for a record, in ms.
        :param clock: the clock.
        """

        async def read(offset: int | None) -> replica.ReadResult:
            asked_ms = clock.boot_ms()
            if offset is None:
                return replica.ReadResult(await self.newest(topic), asked_ms)
            page = await self.read(topic, offset, wait_ms)
            as_of_ms = replica.read_as_of_ms(
                page, asked_ms, clock.boot_ms(), wait_ms
            )
            return replica.ReadResult(page, as_of_ms)

        return read

    async def append(self, topic: str, content: bytes) -> int:
        """Append a record.

        :param topic: a topic.
        :param content: the record.
        :return: its offset.
        :raises SourceError: without an answer; the error tells whether the
            record may be in the topic all the same.
        """
        query = {"topic": topic, "part": "0"}
        data = await self._call("POST", "log-append", query, _framed(content))
        return _decode("log-append", data, lambda fields: fields["offset"])

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record to a keyed topic.

        :raises SourceError: without an answer, as for `append`.
        """
        await self.append(topic, _keyed_content(key, value))
