"""Client of the platform's store, a log whose keyed topics keep the newest
record of each key."""

import base64
from collections import abc
import logging

import aiohttp
import orjson

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import connections
from bulrushdale.forwarding import feed
from bulrushdale.forwarding import records as records_module

LOG = logging.getLogger(__name__)

# The store answers within some ms; ten times its slowest usual answer.
CALL_TIMEOUT_MS = 1_000

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
TARGETS_TOPIC = "keyed.servers"
# A topic of our own, where routers find each other.
ROUTERS_TOPIC = "keyed.routers"

_LENGTH_BYTES = 4
# A read begins with the end and the first offset that is kept.
_OFFSET_BYTES = 8


def _decode_record(offset: int, data: bytes) -> records_module.KeyedRecord:
    key_bytes = data[0]
    key = data[1 : 1 + key_bytes].decode()
    value = data[1 + key_bytes :]
    return records_module.KeyedRecord(offset, key, value or None)


def encode_record(key: str, value: bytes) -> bytes:
    """Return a record as an append takes it."""
    name = key.encode()
    content = bytes([len(name)]) + name + value
    return len(content).to_bytes(_LENGTH_BYTES, "big") + content


def _decode_records(
    offset: int, data: bytes
) -> list[records_module.KeyedRecord]:
    records: list[records_module.KeyedRecord] = []
    place = 0
    while place + _LENGTH_BYTES <= len(data):
        length = int.from_bytes(data[place : place + _LENGTH_BYTES], "big")
        place += _LENGTH_BYTES
        content = data[place : place + length]
        place += length
        try:
            records.append(_decode_record(offset + len(records), content))
        except (IndexError, UnicodeDecodeError) as error:
            LOG.warning(
                "record skipped",
                extra={"event": "store.bad_record", "reason": repr(error)},
            )
            records.append(
                records_module.KeyedRecord(offset + len(records), "", None)
            )
    return records


class Store:
    """Reads and appends records.

    :param session: the HTTP session.
    :param address: the store's IP and port.
    """

    __slots__ = ("_session", "_url")

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._url = f"http://{address}/bulrushdale"

    async def _call(
        self,
        method: str,
        name: str,
        query: dict[str, str],
        body: bytes | None = None,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> bytes:
        timeout = aiohttp.ClientTimeout(
            total=timeout_ms / 1000,
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
                data = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise records_module.SourceError(f"{name}: {error!r}") from error
        if response.status == 410:
            raise records_module.HistoryGoneError(name)
        if response.status != 200:
            raise records_module.SourceError(
                f"{name} answered {response.status}"
            )
        return data

    async def read(
        self, topic: str, offset: int, wait_ms: int = 0
    ) -> records_module.Page:
        """Read records from an offset on.

        :param topic: a keyed topic.
        :param offset: the first offset wanted.
        :param wait_ms: how long to wait for a record, in ms.
        :raises SourceError: without an answer.
        :raises HistoryGoneError: if the records have expired.
        """
        query = {"topic": topic, "part": "0", "from": str(offset)}
        if wait_ms:
            query["wait_ms"] = str(wait_ms)
        data = await self._call(
            "GET", "log-read", query, timeout_ms=CALL_TIMEOUT_MS + wait_ms
        )
        end = int.from_bytes(data[:_OFFSET_BYTES], "big")
        records = _decode_records(offset, data[2 * _OFFSET_BYTES :])
        next_offset = offset + len(records)
        return records_module.Page(
            records, next_offset, next_offset >= end, False
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
            data = orjson.loads(await self._call("GET", "log-newest", query))
            # Pages are not a snapshot: what changed since the first one is
            # read again from its end on.
            end = data["end"] if end is None else end
            records += [
                records_module.KeyedRecord(
                    item["offset"],
                    item["key"],
                    base64.b64decode(item["value"]),
                )
                for item in data["items"]
            ]
            if not data["has_more"]:
                return records_module.Page(records, end, True, True)
            query["after"] = data["items"][-1]["key"]

    def reader(
        self, topic: str, wait_ms: int, clock: clock_module.Clock
    ) -> abc.Callable[[int | None], abc.Awaitable[feed.Reading]]:
        """Return what reads a topic from an offset, or everything for none.

        :param topic: a keyed topic.
        :param wait_ms: how long a read waits for a record, in ms.
        :param clock: the clock.
        """

        async def read(offset: int | None) -> feed.Reading:
            asked_ms = clock.boot_ms()
            if offset is None:
                return feed.Reading(await self.newest(topic), asked_ms)
            page = await self.read(topic, offset, wait_ms)
            as_of_ms = feed.read_as_of_ms(
                page, asked_ms, clock.boot_ms(), wait_ms
            )
            return feed.Reading(page, as_of_ms)

        return read

    async def append(self, topic: str, key: str, value: bytes) -> None:
        """Append a record to a keyed topic.

        :raises SourceError: without an answer; the record may have been
            appended all the same.
        """
        query = {"topic": topic, "part": "0"}
        await self._call(
            "POST", "log-append", query, encode_record(key, value)
        )
