"""JSON responses, refusals and request bodies."""

import asyncio
import math
import typing

from aiohttp import web
import orjson

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
            "type": _ERROR_TYPES.get(refusal.meaning.status, "server_error"),
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
        error_body(refusal, request_id), refusal.meaning.status, headers
    )


async def read_body(
    request: web.Request, limit_bytes: int, timeout_ms: int
) -> bytes:
    """Return the body of a request.

    :param request: the request.
    :param limit_bytes: the largest body that is accepted, in bytes.
    :param timeout_ms: how long the caller may take, in ms.
    :raises bulrushdale.results.RefusedError: if the body is too large or too
        slow.
    """
    too_large = results.refuse(
        results.Code.BODY_TOO_LARGE,
        f"the body is larger than {limit_bytes} bytes",
    )
    if (request.content_length or 0) > limit_bytes:
        raise too_large
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            return await request.read()
    except web.HTTPRequestEntityTooLarge:
        raise too_large from None
    except TimeoutError:
        raise results.refuse(
            results.Code.BODY_TOO_SLOW,
            f"the body took longer than {timeout_ms} ms",
            1_000,
        ) from None
