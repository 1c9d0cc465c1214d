"""A blocking client of the operator API."""

import asyncio
import typing

import aiohttp
import orjson

TIMEOUT_S = 15.0


class CallError(Exception):
    """A call that a router refused, or that didn't reach a router.

    :param message: the error message.
    :param code: the result code; none if no router answered.
    """

    def __init__(self, message: str, code: int | None = None) -> None:
        super().__init__(message)
        self.code = code


def call(
    url: str,
    operator_key: str,
    method: str,
    path: str,
    body: typing.Any = None,
    headers: dict[str, str] | None = None,
) -> typing.Any:
    """Send one request and return the decoded response.

    :param url: the operator address of a router.
    :param operator_key: the operator's key.
    :param method: the HTTP method.
    :param path: the path, starting with a slash.
    :param body: data that is sent as JSON; none sends no body.
    :param headers: further headers.
    :raises CallError: if the request fails or is refused.
    """
    return asyncio.run(
        _call(url, operator_key, method, path, body, headers or {})
    )


async def _call(
    url: str,
    operator_key: str,
    method: str,
    path: str,
    body: typing.Any,
    headers: dict[str, str],
) -> typing.Any:
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    all_headers = {"Authorization": f"Bearer {operator_key}", **headers}
    data = None if body is None else orjson.dumps(body)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(
                method,
                url.rstrip("/") + path,
                data=data,
                headers=all_headers,
            ) as response,
        ):
            decoded = orjson.loads(await response.read())
            if response.status < 400:
                return decoded
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise CallError(
            f"6002 ROUTER_UNREACHABLE: {url} doesn't answer: {error}"
        ) from None
    except ValueError:
        raise CallError(f"{url} is not a router's operator address") from None
    refusal = decoded["error"]
    raise CallError(
        f"{refusal['code']} {refusal['name']}: {refusal['message']}",
        int(refusal["code"]),
    )
