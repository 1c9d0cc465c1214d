"""One request to one target."""

import contextlib
import dataclasses
import typing

import aiohttp
import yarl

from bulrushdale.forwarding import connections
from bulrushdale.routing import messages

_LOST = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The target did not run the request, and never will.

    :param reason: why, for logs.
    :param sent: whether the request reached the target.
    :param moved: whether another target has the address.
    :param silent: whether nothing came back, not even a refusal.
    :param head: what it answered; none if it didn't.
    """

    reason: str
    sent: bool
    moved: bool = False
    silent: bool = False
    head: messages.ResponseHead | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The target may have run the request, or may still.

    :param reason: why, for logs.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Opened:
    """The target began an answer.

    :param head: status and headers.
    :param response: gives the body; to be closed by the receiver.
    """

    head: messages.ResponseHead
    response: aiohttp.ClientResponse


@dataclasses.dataclass(frozen=True, slots=True)
class Oversized:
    """An answer that is too large to hold; the rest is still to be read.

    :param begun: what was read of its body.
    """

    begun: bytes


# A larger answer is passed on as it arrives, and can't be asked for at
# another target any more if it breaks off; usual ones have some KB.
MAX_HELD_BYTES = 1 << 20
# Characters of an error's text in logs and refusals.
MAX_ERROR_TEXT = 120
# Raises TimeoutError when the wait is over.
Wait = contextlib.AbstractAsyncContextManager[None]
DecodeAnswer = typing.Callable[[int, typing.Any], messages.ResponseHead]


async def open_answer(
    session: aiohttp.ClientSession,
    address: str,
    call: messages.InboundRequest,
    headers: list[tuple[str, str]],
    decode: DecodeAnswer,
    wait: Wait,
) -> Opened | NotRun | Unknown:
    """Send a request and wait for the head of its answer.

    :param session: the session to the targets.
    :param address: the target's IP and port.
    :param call: the request.
    :param headers: its headers for this target.
    :param decode: decodes the head.
    :param wait: limits the wait for the head.
    """
    timeout = aiohttp.ClientTimeout(
        total=None, sock_connect=connections.CONNECT_TIMEOUT_MS / 1000
    )
    url = yarl.URL(f"http://{address}{call.raw_target}", encoded=True)
    try:
        async with wait:
            response = await session.request(
                call.method,
                url,
                headers=headers,
                data=call.body or None,
                timeout=timeout,
                allow_redirects=False,
            )
    except aiohttp.ClientConnectorError as error:
        return NotRun(f"no connection: {describe(error)}", sent=False)
    except aiohttp.ConnectionTimeoutError:
        return NotRun("connecting timed out", sent=False, silent=True)
    except TimeoutError:
        return Unknown("no answer in time")
    except _LOST as error:
        return Unknown(f"connection lost: {describe(error)}")
    head = decode(response.status, response.headers)
    fault = _fault(head, call)
    if fault is None:
        return Opened(head, response)
    response.close()
    return fault


def close_after(opened: Opened) -> None:
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
    return f"{type(error).__name__}: {text[:MAX_ERROR_TEXT]}".rstrip(": ")


def _fault(
    head: messages.ResponseHead, call: messages.InboundRequest
) -> NotRun | Unknown | None:
    """Return why an answer is none that can be passed on."""
    if head.request_id and head.request_id != call.request_id:
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


async def read_whole(
    opened: Opened, wait: Wait
) -> bytes | Oversized | Unknown:
    """Read the body of an answer to its end, or until it is too large.

    :param opened: the answer.
    :param wait: limits how long that may take.
    """
    body = bytearray()
    try:
        async with wait:
            async for data in opened.response.content.iter_any():
                body += data
                if len(body) > MAX_HELD_BYTES:
                    return Oversized(bytes(body))
    except TimeoutError:
        fault = "body not complete in time"
    except _LOST as error:
        fault = f"body cut short: {describe(error)}"
    else:
        opened.response.release()
        return bytes(body)
    opened.response.close()
    return Unknown(fault)
