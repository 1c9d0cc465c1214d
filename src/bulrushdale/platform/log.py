"""Client of the platform's append-only log."""

import dataclasses
import typing

import aiohttp
import orjson

from bulrushdale import clock as clock_module

CONNECT_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


class LogUnavailableError(Exception):
    """The log gave no answer that settles the call.

    :param may_have_taken_effect: whether an append may still appear.
    """

    def __init__(self, detail: str, may_have_taken_effect: bool) -> None:
        super().__init__(detail)
        self.may_have_taken_effect = may_have_taken_effect


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One record of a stream.

    :param offset: its place in the stream, from zero.
    :param time_ms: when the log stored it, in ms since the epoch.
    :param data: what was appended.
    """

    offset: int
    time_ms: int
    data: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Records read from a stream.

    :param first: the oldest offset that the log still keeps.
    :param end: one past the newest offset that this replica knows.
    :param records: in order, from the offset asked for.
    """

    first: int
    end: int
    records: list[Record]


class LogClient:
    """Appends to and reads from streams of the log.

    :param session: the HTTP session.
    :param url: the log's base URL.
    :param timeout_ms: how long one call may take, in ms.
    :param clock: the clock.

    :ivar failing_since_ms: when the first of the calls failed that no
        success has followed, in ms since the epoch; else none.

    .. versionadded:: 0.1
    """

    __slots__ = (
        "_session",
        "_url",
        "_timeout",
        "_clock",
        "calls",
        "failing_since_ms",
    )

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        timeout_ms: int,
        clock: clock_module.Clock,
    ) -> None:
        self._session = session
        self._url = url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout_ms / 1000)
        self._clock = clock
        self.calls = 0
        self.failing_since_ms: int | None = None

    def _fail(self, detail: str, unsettled: bool) -> LogUnavailableError:
        if self.failing_since_ms is None:
            self.failing_since_ms = self._clock.wall_ms()
        return LogUnavailableError(detail, unsettled)

    async def append(self, stream: str, data: dict[str, typing.Any]) -> int:
        """Append one record.

        :param stream: the stream's name.
        :param data: the record, to be stored as JSON.
        :return: the record's offset.
        :raises LogUnavailableError: without an answer; the error tells
            whether the record may be in the log all the same.
        """
        self.calls += 1
        url = f"{self._url}/streams/{stream}/append"
        body = orjson.dumps(data)
        try:
            async with self._session.post(
                url, data=body, timeout=self._timeout
            ) as response:
                if response.status == 200:
                    offset = int((await response.json())["offset"])
                    self.failing_since_ms = None
                    return offset
                unsettled = response.status >= 500
                raise self._fail(
                    f"append answered {response.status}", unsettled
                )
        except aiohttp.ClientConnectorError as error:
            raise self._fail(str(error), False) from error
        except CONNECT_ERRORS as error:
            raise self._fail(repr(error), True) from error

    async def read(self, stream: str, offset: int, limit: int = 1000) -> Page:
        """Read records in order.

        :param stream: the stream's name.
        :param offset: the first offset wanted.
        :param limit: how many records at most.
        :raises LogUnavailableError: without an answer.
        """
        self.calls += 1
        url = f"{self._url}/streams/{stream}/read"
        query = {"from": str(offset), "limit": str(limit)}
        try:
            async with self._session.get(
                url, params=query, timeout=self._timeout
            ) as response:
                if response.status != 200:
                    raise self._fail(f"read answered {response.status}", False)
                page = orjson.loads(await response.read())
        except CONNECT_ERRORS as error:
            raise self._fail(repr(error), False) from error
        self.failing_since_ms = None
        records = [
            Record(item["offset"], item["time_ms"], item["data"])
            for item in page["records"]
        ]
        return Page(page["first"], page["end"], records)
