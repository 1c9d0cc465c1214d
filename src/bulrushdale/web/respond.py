"""JSON responses, refusals and request bodies."""

import asyncio
import math
import typing

from aiohttp import hdrs
from aiohttp import web
import orjson

from bulrushdale.forwarding import bodies
from bulrushdale.forwarding import expectations
from bulrushdale.forwarding import memory_account
from bulrushdale.forwarding import servers
from bulrushdale import results

JSON = "application/json"

_ERROR_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    429: "rate_limit_error",
}


def json_response(
    data: typing.Any,
    status: int = 200,
    headers: dict[str, str] | None = None,
) -> web.Response:
    """Return a response with JSON data.

    :param data: the data to encode.
    :param status: the HTTP status.
    :param headers: further headers.
    """
    return web.Response(
        body=orjson.dumps(data),
        status=status,
        content_type=JSON,
        headers=headers,
    )


def error_body(
    refusal: results.Refusal, request_id: str
) -> dict[str, typing.Any]:
    """Return a refusal in the form that chat client libraries parse."""
    return {
        "error": {
            "message": refusal.detail,
            "type": _ERROR_TYPES.get(refusal.status, "server_error"),
            "param": None,
            "code": str(int(refusal.code)),
            "name": refusal.code.name,
            "ran": refusal.effect.value,
            "retry_after_ms": refusal.retry_after_ms,
            "request_id": request_id,
        }
    }


def refusal_response(
    refusal: results.Refusal, request_id: str
) -> web.Response:
    """Return the HTTP response of a refusal."""
    headers = {
        "X-Request-Id": request_id,
        "Bulrushdale-Code": str(int(refusal.code)),
        "Bulrushdale-Ran": refusal.effect.value,
    }
    if refusal.retry_after_ms:
        seconds = math.ceil(refusal.retry_after_ms / 1000)
        headers["Retry-After"] = str(seconds)
        headers["Retry-After-Ms"] = str(refusal.retry_after_ms)
    elif not refusal.meaning.retry:
        headers["X-Should-Retry"] = "false"
    return json_response(
        error_body(refusal, request_id), refusal.status, headers
    )


def holder_of(request: web.BaseRequest) -> memory_account.Holder:
    """Return what counts the memory that a request holds."""
    return typing.cast(servers.Connection, request.protocol).holder


async def send(
    request: web.BaseRequest, response: web.StreamResponse
) -> web.StreamResponse:
    """Send a response as fast as the caller reads, unless it is small.

    :param request: the request.
    :param response: the response, which may have been sent already.
    :return: the response that was sent, or is to be sent.
    """
    if not response.prepared:
        expectations.close(request, response)
    if (
        not isinstance(response, web.Response)
        or response.prepared
        or request.method == hdrs.METH_HEAD
        or not isinstance(response.body, bytes)
        or len(response.body) <= memory_account.SMALL_BYTES
    ):
        return response
    body = response.body
    sent = web.StreamResponse(status=response.status, headers=response.headers)
    sent.content_length = len(body)
    expectations.close(request, sent)
    holder_of(request).begin(None)
    await sent.prepare(request)
    for piece in bodies.split(body):
        await sent.write(piece)
    await sent.write_eof()
    return sent


async def read_body(
    request: web.Request, limit_bytes: int, timeout_ms: int
) -> bytes:
    """Return the body of a request, which is held until the request ends.

    :param request: the request.
    :param limit_bytes: the largest body that is accepted, in bytes.
    :param timeout_ms: how long the caller may take, in ms.
    :raises bulrushdale.results.RefusedError: if the body is too large or too
        slow, or there is no memory left for it.
    """
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            return await bodies.read(request, limit_bytes, holder_of(request))
    except TimeoutError:
        raise results.refuse(
            results.Code.BODY_TOO_SLOW,
            f"the body took longer than {timeout_ms} ms",
            1_000,
        ) from None
