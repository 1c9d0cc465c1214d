"""Streams of answers from engines, resumed after interruptions."""

import asyncio
from collections import abc

import aiohttp

from bulrushdale.answers import frames
from bulrushdale import clock as clock_module
from bulrushdale import statuses

FIRST_FRAME_TIMEOUT_MS = 30_000
STALL_TIMEOUT_MS = 5_000
CONNECT_TIMEOUT_MS = 1_000
MAX_RESUME_ATTEMPTS = 4
RESUME_DELAY_MS = 100

CONNECT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
CONNECTION_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


class NotStartedError(Exception):
    """The engine sent no frame; the request may be retried elsewhere.

    :param detail: a description of the failure.
    :param overloaded: whether the engine may be tried again: it is overloaded,
        or the slot wasn't usable.
    :param may_have_run: whether the engine may run the request nevertheless.
    """

    def __init__(
        self,
        detail: str,
        overloaded: bool = False,
        may_have_run: bool = True,
    ) -> None:
        super().__init__(detail)
        self.overloaded = overloaded
        self.may_have_run = may_have_run


class CutError(Exception):
    """The stream ended before its end mark and can't be resumed."""


class GoneError(Exception):
    """The engine no longer has the stream."""


class EngineStream:
    """The stream of one answer from an engine.

    :param session: the HTTP session.
    :param url: the engine's base URL.
    :param request_id: the id of the request, which the engine's response
        has to repeat.
    :param clock: the clock.

    :ivar stream_id: the engine's name for the stream.
    :ivar resumes: how often the stream was resumed.
    :ivar cached_tokens: how many prompt tokens the engine had cached.

    .. versionadded:: 0.1
    """

    __slots__ = (
        "_session",
        "_url",
        "_request_id",
        "_clock",
        "_response",
        "_parser",
        "stream_id",
        "resumes",
        "cached_tokens",
    )

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        request_id: str,
        clock: clock_module.Clock,
    ) -> None:
        self._session = session
        self._url = url
        self._request_id = request_id
        self._clock = clock
        self._response: aiohttp.ClientResponse | None = None
        self._parser = frames.FrameParser("")
        self.stream_id = ""
        self.resumes = 0
        self.cached_tokens = 0

    @property
    def drop_counts(self) -> frames.DropCounts:
        """Counts of the frames dropped."""
        return self._parser.drop_counts

    @property
    def last_number(self) -> int:
        """The number of the last accepted frame."""
        return self._parser.last_number

    @property
    def done(self) -> bool:
        """Whether the end mark was received."""
        return self._parser.done

    async def start(self, body: bytes, headers: dict[str, str]) -> None:
        """Send the request.

        :param body: the request body, as JSON.
        :param headers: additional headers.
        :raises NotStartedError: if the engine did not accept the request.
        """
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_MS / 1000,
            sock_read=FIRST_FRAME_TIMEOUT_MS / 1000,
        )
        try:
            response = await self._session.post(
                f"{self._url}/v1/chat/completions",
                data=body,
                headers={**headers, "X-Request-Id": self._request_id},
                timeout=timeout,
            )
        except CONNECTION_ERRORS as error:
            raise NotStartedError(
                repr(error), may_have_run=not isinstance(error, CONNECT_ERRORS)
            ) from error
        self._response = response
        names_request = (
            response.headers.get("X-Request-Id") == self._request_id
        )
        if response.status != 200:
            response.close()
            raise NotStartedError(
                f"engine responded with status {response.status}",
                response.status == 429,
                may_have_run=not (
                    names_request
                    and statuses.promises_not_run(response.status)
                ),
            )
        if not names_request:
            response.close()
            raise NotStartedError("engine's response names another request")
        self.stream_id = response.headers.get("X-Stream-Id", "")
        cached = response.headers.get("X-Cached-Tokens", "0")
        self.cached_tokens = int(cached) if cached.isdigit() else 0
        self._parser = frames.FrameParser(self.stream_id)

    async def reopen(self, stream_id: str, last_number: int) -> None:
        """Continue a stream that another router started.

        :param stream_id: the engine's name for the stream.
        :param last_number: the number of the last frame that the caller got.
        :raises GoneError: if the engine no longer has the stream.
        :raises CutError: if the engine doesn't resume it.
        """
        self.stream_id = stream_id
        self._parser = frames.FrameParser(stream_id, last_number)
        if not await self._resume():
            raise CutError("engine didn't resume the stream")

    async def read(self) -> abc.AsyncIterator[list[bytes]]:
        """Yield the data of the frames, in order and without gaps.

        The end mark is the last frame.

        :raises NotStartedError: if no frame was received.
        :raises CutError: if the stream ended before its end mark and can't
            be resumed.
        """
        timeout_ms = FIRST_FRAME_TIMEOUT_MS
        # Only complete frames reset the timeout, because a stalled engine may
        # still send a byte now and then.
        last_frame_ms = self._clock.now_ms()
        while not self._parser.done:
            waited_ms = self._clock.now_ms() - last_frame_ms
            data = await self._read_bytes(max(0, timeout_ms - waited_ms))
            accepted = self._parser.feed(data) if data else []
            if accepted:
                timeout_ms = STALL_TIMEOUT_MS
                yield accepted
                last_frame_ms = self._clock.now_ms()
            if self._parser.done:
                break
            if not data or self._parser.gap:
                await self._resume_or_raise()
                last_frame_ms = self._clock.now_ms()

    async def _read_bytes(self, timeout_ms: int) -> bytes:
        """Return the next bytes; none at the end or after an error."""
        response = self._response
        if response is None:
            return b""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await response.content.readany()
        except CONNECTION_ERRORS:
            return b""

    async def _resume_or_raise(self) -> None:
        """Resume the stream after an interruption.

        :raises NotStartedError: if no frame was received.
        :raises CutError: if the stream can't be resumed.
        """
        if self._parser.last_number < 0 and not self._parser.gap:
            self.close()
            raise NotStartedError("engine sent no frame")
        try:
            resumed = await self._resume()
        except GoneError as error:
            raise CutError(str(error)) from error
        if not resumed:
            raise CutError(
                "the stream ended before its end mark and can't be resumed"
            )

    async def _resume(self) -> bool:
        """Request the frames after the last one, and retry if that fails.

        :return: whether the engine resumed the stream; false after
            ``MAX_RESUME_ATTEMPTS`` attempts, or if it was resumed 50 times.
        :raises GoneError: if the engine no longer has the stream.
        """
        self.close()
        if self.resumes >= 50:
            return False
        for attempt in range(MAX_RESUME_ATTEMPTS):
            if attempt:
                await self._clock.sleep_ms(RESUME_DELAY_MS * 2**attempt)
            if await self._resume_once():
                self.resumes += 1
                self._parser.reset()
                return True
        return False

    async def _resume_once(self) -> bool:
        """Request the frames after the last one.

        :return: whether the engine resumed the stream; if not, a later request
            may succeed.
        :raises GoneError: if the engine no longer has the stream.
        """
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_MS / 1000,
            sock_read=STALL_TIMEOUT_MS / 1000,
        )
        try:
            response = await self._session.get(
                f"{self._url}/streams/{self.stream_id}",
                headers={"Last-Event-ID": str(self._parser.last_number)},
                timeout=timeout,
            )
        except CONNECTION_ERRORS:
            return False
        if response.status == 200:
            self._response = response
            return True
        response.close()
        if response.status in (404, 410):
            raise GoneError(f"engine no longer has stream {self.stream_id}")
        return False

    async def cancel(self) -> None:
        """Cancel the stream at the engine, because it is no longer read."""
        self.close()
        if not self.stream_id:
            return
        timeout = aiohttp.ClientTimeout(total=CONNECT_TIMEOUT_MS / 1000)
        try:
            async with self._session.delete(
                f"{self._url}/streams/{self.stream_id}", timeout=timeout
            ):
                return
        except CONNECTION_ERRORS:
            return

    def close(self) -> None:
        """Close the connection."""
        if self._response is not None:
            self._response.close()
            self._response = None

    def release(self) -> None:
        """Return the connection to the session after the end mark."""
        if self._response is not None:
            self._response.release()
            self._response = None
