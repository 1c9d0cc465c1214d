"""One request to one target."""

import contextlib
import dataclasses
import typing

import aiohttp
import yarl

from bulrushdale.forwarding import connections
from bulrushdale.routing import messages

_CONNECTION_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The target did not run the request, and never will.

    :param reason: why, for logs.
    :param sent: whether the request reached the target.
    :param moved: whether another target has the address.
    :param timed_out: whether nothing came back, not even a refusal.
    :param head: what it answered; none if it didn't.
    """

    reason: str
    sent: bool
    moved: bool = False
    timed_out: bool = False
    head: messages.ResponseHead | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The target may have run the request, or may still.

    :param reason: why, for logs.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class OpenResponse:
    """The target began an answer.

    :param head: status and headers.
    :param response: gives the body; to be closed by the receiver.
    """

    head: messages.ResponseHead
    response: aiohttp.ClientResponse


@dataclasses.dataclass(frozen=True, slots=True)
class Oversized:
    """An answer that is too large to hold; the rest is still to be read.

    :param received: what was read of its body.
    """

    received: bytes


# A larger answer is passed on as it arrives, and can't be asked for at
# another target any more if it breaks off; usual ones have some KB.
MAX_BUFFERED_BYTES = 1 << 20
# Characters of an error's text in logs and refusals.
MAX_ERROR_CHARS = 120
# Raises TimeoutError when the wait is over.
TimeLimit = contextlib.AbstractAsyncContextManager[None]
DecodeResponseHead = typing.Callable[[int, typing.Any], messages.ResponseHead]


async def open_response(
    session: aiohttp.ClientSession,
    address: str,
    inbound: messages.InboundRequest,
    headers: list[tuple[str, str]],
    decode: DecodeResponseHead,
    limit: TimeLimit,
) -> OpenResponse | NotRun | Unknown:
    """Send a request and wait for the head of its answer.

    :param session: the session to the targets.
    :param address: the target's IP and port.
    :param inbound: the request.
    :param headers: its headers for this target.
    :param decode: decodes the head.
    :param limit: limits the wait for the head.
    """
    timeout = aiohttp.ClientTimeout(
        total=None, sock_connect=connections.CONNECT_TIMEOUT_MS / 1000
    )
    url = yarl.URL(f"http://{address}{inbound.raw_target}", encoded=True)
    try:
        async with limit:
            response = await session.request(
                inbound.method,
                url,
                headers=headers,
                data=inbound.body or None,
                timeout=timeout,
                allow_redirects=False,
            )
    except aiohttp.ClientConnectorError as error:
        return NotRun(f"no connection: {describe(error)}", sent=False)
    except aiohttp.ConnectionTimeoutError:
        return NotRun("connecting timed out", sent=False, timed_out=True)
    except TimeoutError:
        return Unknown("no answer in time")
    except _CONNECTION_ERRORS as error:
        return Unknown(f"connection lost: {describe(error)}")
    head = decode(response.status, response.headers)
    problem = _check_response(head, inbound)
    if problem is None:
        return OpenResponse(head, response)
    response.close()
    return problem


def disable_keep_alive(opened: OpenResponse) -> None:
    """Don't use an answer's connection again."""
    connection = opened.response.connection
    if connection is not None and connection.protocol is not None:
        connection.protocol.force_close()


def describe(error: BaseException) -> str:
    """Return an error as a short text without the request's headers."""
    if isinstance(error, aiohttp.ClientResponseError):
        text = error.message.partition("\n")[0]
    else:
        text = str(error)
    return f"{type(error).__name__}: {text[:MAX_ERROR_CHARS]}".rstrip(": ")


def _check_response(
    head: messages.ResponseHead, inbound: messages.InboundRequest
) -> NotRun | Unknown | None:
    """Return why an answer is none that can be passed on."""
    if head.request_id and head.request_id != inbound.request_id:
        return Unknown("the answer is to another request")
    if head.other_target:
        return NotRun(
            "another target has the address", sent=True, moved=True, head=head
        )
    if head.not_run:
        return NotRun(f"rejected with {head.status}", sent=True, head=head)
    if head.success and not head.request_id:
        return Unknown("the answer doesn't say which request it is to")
    if head.success and not head.sealed:
        return Unknown("the answer has no signature")
    if head.encoded:
        return Unknown("the answer is encoded, which nobody asked for")
    return None


async def read_body(
    opened: OpenResponse, limit: TimeLimit
) -> bytes | Oversized | Unknown:
    """Read the body of an answer to its end, or until it is too large.

    :param opened: the answer.
    :param limit: limits how long that may take.
    """
    body = bytearray()
    try:
        async with limit:
            async for data in opened.response.content.iter_any():
                body += data
                if len(body) > MAX_BUFFERED_BYTES:
                    return Oversized(bytes(body))
    except TimeoutError:
        problem = "body not complete in time"
    except _CONNECTION_ERRORS as error:
        problem = f"body cut short: {describe(error)}"
    else:
        opened.response.release()
        return bytes(body)
    opened.response.close()
    return Unknown(problem)
