"""Answers operators' questions about where a request would go."""

from collections import abc
import dataclasses
import typing
import uuid

from aiohttp import web
import orjson

from bulrushdale import clock as clock_module
from bulrushdale import results
from bulrushdale.routing import messages

PATH = "/placement"
# An answer looks at all targets of a service, which the event loop of a large
# fleet's router can afford a few times in a second.
MIN_INTERVAL_MS = 500

Decode = abc.Callable[[web.BaseRequest, bytes], messages.InboundRequest]


class PlacementQueries:
    """Serves questions, a few in a second.

    A question has the headers that the request would have. Host and path are
    in the query. The key is neither logged nor part of an answer.

    :param decode: decodes the headers of a request.
    :param header_error: exception that it raises for invalid heads.
    :param explain: returns the explanation of a request.
    :param clock: the clock.
    """

    __slots__ = ("_decode", "_header_error", "_explain", "_clock", "_next_ms")

    def __init__(
        self,
        decode: Decode,
        header_error: type[Exception],
        explain: abc.Callable[
            [messages.InboundRequest], dict[str, typing.Any]
        ],
        clock: clock_module.Clock,
    ) -> None:
        self._decode = decode
        self._header_error = header_error
        self._explain = explain
        self._clock = clock
        self._next_ms = 0

    def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer a question."""
        if request.method != "GET":
            return _error(
                405, results.Code.BAD_REQUEST, "only GET is served here"
            )
        now_ms = self._clock.now_ms()
        if now_ms < self._next_ms:
            return _error(
                429,
                results.Code.TOO_MANY_REQUESTS,
                "too many questions; ask again later",
                MIN_INTERVAL_MS,
            )
        query = request.query
        if not query.get("host") or not query.get("path"):
            return _error(
                400,
                results.Code.BAD_REQUEST,
                "the query must name host and path",
            )
        try:
            inbound = self._decode(request, b"")
        except self._header_error as error:
            return _error(400, results.Code.BAD_REQUEST, str(error))
        self._next_ms = now_ms + MIN_INTERVAL_MS
        path = query["path"]
        inbound = dataclasses.replace(
            inbound,
            request_id=inbound.request_id or uuid.uuid4().hex,
            host=query["host"],
            path=path.partition("?")[0],
            raw_target=path,
        )
        return web.Response(
            body=orjson.dumps(self._explain(inbound)),
            content_type="application/json",
        )


def _error(
    status: int,
    code: results.Code,
    detail: str,
    retry_after_ms: int | None = None,
) -> web.Response:
    headers = {}
    if retry_after_ms is not None:
        headers["Retry-After"] = f"{retry_after_ms / 1000:.3f}"
    return web.Response(
        status=status,
        body=orjson.dumps(
            {
                "error": {
                    "code": int(code),
                    "name": code.name,
                    "message": detail,
                }
            }
        ),
        content_type="application/json",
        headers=headers,
    )
