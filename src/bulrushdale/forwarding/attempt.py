"""A single attempt to send a request to a target."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import typing

import aiohttp

from bulrushdale.forwarding import bodies
from bulrushdale.forwarding import connections
from bulrushdale.forwarding import lag
from bulrushdale.forwarding import memory_account
from bulrushdale.forwarding import request_targets
from bulrushdale.forwarding import response_ends
from bulrushdale.forwarding import sessions
from bulrushdale.routing import messages
from bulrushdale import statuses

_EVENT_STREAM = "text/event-stream"
# Responses with one of these have no body, whatever their headers say.
_BODILESS_STATUSES = frozenset({204, 304})
_CONNECTION_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The target did not run the request, and never will.

    :param reason: why, for logs.
    :param sent: whether the request reached the target.
    :param moved: whether the address now belongs to another target.
    :param refused: whether the target refused the connection.
    :param timed_out: whether connecting timed out, without even a refusal.
    :param inconclusive: whether this router was too busy to see in time that
        it connected, so that the target may well be reachable.
    :param head: head of the response; none if there was no response.
    :param use: the connection of the response; none if there was no response.
    """

    reason: str
    sent: bool
    moved: bool = False
    refused: bool = False
    timed_out: bool = False
    inconclusive: bool = False
    head: messages.ResponseHead | None = None
    use: sessions.ConnectionUse | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The target may have run the request, or may still run it.

    :param reason: why, for logs.
    :param connection_lost: whether the connection ended before the response.
    """

    reason: str
    connection_lost: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WithheldResponse(OutcomeUnknown):
    """The target's response would be an unfounded promise to the caller.

    :param head: status and headers.
    :param size_bytes: size of its body, which wasn't read; none if the
        response doesn't tell.
    """

    head: messages.ResponseHead
    size_bytes: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class OpenResponse:
    """The target started a response that may be relayed.

    :param head: status and headers.
    :param response: the response, to read the body from; the receiver closes
        it.

    :ivar relayed: status and headers for the caller.
    :raises UnfoundedPromiseError: if the response may not be relayed.
    """

    head: messages.ResponseHead
    response: aiohttp.ClientResponse
    relayed: statuses.RelayedHead = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "relayed", self.head.for_caller())

    @property
    def framed(self) -> bool:
        """Whether the response tells where its body ends.

        Otherwise the body ends with the connection.
        """
        headers = self.response.headers
        return (
            "Content-Length" in headers
            or "Transfer-Encoding" in headers
            or self.head.status in _BODILESS_STATUSES
        )

    def has_end_arrived(self) -> bool:
        """Return whether the end of the connection has arrived.

        Before it there may be data that wasn't read yet.
        """
        connection = self.response.connection
        return self.response.content.is_eof() or (
            connection is not None
            and connections.is_ended_by_peer(connection.transport)
        )

    @property
    def may_be_event_stream(self) -> bool:
        """Whether nothing says that the body isn't an event stream."""
        content_type = self.response.headers.get("Content-Type", _EVENT_STREAM)
        media_type = content_type.partition(";")[0].strip().lower()
        return self.head.status == 200 and media_type == _EVENT_STREAM


@dataclasses.dataclass(frozen=True, slots=True)
class Oversized:
    """The response body is too large to buffer, and not read to its end.

    :param received: the part of the body read so far.
    """

    received: bodies.Pieces


# Larger responses are relayed as they arrive. If one breaks off it can't be
# retried at another target. Usual responses have some KB.
MAX_BUFFERED_BYTES = 1 << 20
# Error texts in logs and refusals are cut to this length.
MAX_ERROR_CHARS = 120
# Raises TimeoutError when the time is up.
TimeLimit = contextlib.AbstractAsyncContextManager[None]
DecodeResponseHead = typing.Callable[[int, typing.Any], messages.ResponseHead]


async def open_response(
    session: aiohttp.ClientSession,
    address: str,
    inbound: messages.InboundRequest,
    headers: list[tuple[str, str]],
    decode: DecodeResponseHead,
    limit: TimeLimit,
) -> OpenResponse | NotRun | OutcomeUnknown:
    """Send a request and wait for the response head.

    :param session: the HTTP client session for targets.
    :param address: IP address and port of the target.
    :param inbound: the request.
    :param headers: the request headers for this target.
    :param decode: decodes the response head.
    :param limit: limits the wait for the response head.
    :return: the response if it can be relayed; otherwise the reason, which
        tells whether the target may have run the request.
    """
    timeout = aiohttp.ClientTimeout(
        total=None, sock_connect=connections.CONNECT_TIMEOUT_MS / 1000
    )
    url = request_targets.url(f"http://{address}", inbound.raw_target)
    watch = lag.LagWatch(connections.CONNECT_TIMEOUT_MS)
    try:
        with watch:
            async with limit:
                response = await session.request(
                    inbound.method,
                    url,
                    headers=headers,
                    data=bodies.to_payload(inbound.body),
                    timeout=timeout,
                    allow_redirects=False,
                )
    except aiohttp.ClientConnectorError as error:
        return NotRun(
            f"no connection: {describe(error)}",
            sent=False,
            refused=isinstance(error.os_error, ConnectionRefusedError),
        )
    except aiohttp.ConnectionTimeoutError:
        return NotRun(
            "connecting timed out",
            sent=False,
            timed_out=True,
            inconclusive=watch.lagged(),
        )
    except TimeoutError:
        return OutcomeUnknown("timed out waiting for the response")
    except _CONNECTION_ERRORS as error:
        return OutcomeUnknown(
            f"connection lost: {describe(error)}", connection_lost=True
        )
    head = decode(response.status, response.headers)
    unidentified = getattr(response, "unidentified", False)
    problem = _check_response(head, inbound, unidentified)
    if problem is None:
        try:
            return OpenResponse(head, response)
        except statuses.UnfoundedPromiseError as error:
            problem = WithheldResponse(
                reason=str(error),
                head=head,
                size_bytes=response.content_length,
            )
    response.close()
    if isinstance(problem, NotRun):
        use = getattr(response, "use", None)
        return dataclasses.replace(problem, use=use)
    return problem


def disable_keep_alive(opened: OpenResponse) -> None:
    """Close the connection of a response once the response is complete."""
    connection = opened.response.connection
    if connection is not None and connection.protocol is not None:
        connection.protocol.force_close()


def describe(error: BaseException) -> str:
    """Return a short text for an error.

    The text never contains the headers of the request, which a parser error
    of aiohttp holds.
    """
    if isinstance(error, aiohttp.ClientResponseError):
        text = error.message.partition("\n")[0]
    else:
        text = str(error)
    return f"{type(error).__name__}: {text[:MAX_ERROR_CHARS]}".rstrip(": ")


def _check_response(
    head: messages.ResponseHead,
    inbound: messages.InboundRequest,
    unidentified: bool,
) -> NotRun | OutcomeUnknown | None:
    """Return why a response can't be relayed; none if it can.

    :param head: the head of the response.
    :param inbound: the request.
    :param unidentified: whether it may belong to an earlier request. A faulty
        target may repeat a refusal, while it runs this request.
    """
    if unidentified:
        return OutcomeUnknown("the response may belong to an earlier request")
    if head.request_id and head.request_id != inbound.request_id:
        return OutcomeUnknown("the response belongs to another request")
    if head.other_target:
        return NotRun(
            "the address belongs to another target",
            sent=True,
            moved=True,
            head=head,
        )
    if head.not_run:
        return NotRun(f"rejected with {head.status}", sent=True, head=head)
    if head.success and not head.request_id:
        return OutcomeUnknown("the response has no request id")
    if head.success and not head.sealed:
        return OutcomeUnknown("the response has no signature")
    if head.encoded:
        return OutcomeUnknown(
            "the response has a content encoding that was not requested"
        )
    return None


async def read_body(
    opened: OpenResponse,
    limit: TimeLimit,
    holder: memory_account.Holder,
    read: abc.Callable[
        [abc.Awaitable[bytes]], abc.Awaitable[bytes]
    ] = response_ends.read_on,
) -> bodies.Pieces | Oversized | OutcomeUnknown:
    """Read a response body to its end, or until it is too large to buffer.

    :param opened: the response.
    :param limit: limits the time to read the body.
    :param holder: holds the body unless it is small.
    :param read: awaits the next part of it.
    :return: the body; the part read so far if it is too large; or why it
        couldn't be read.
    """
    pieces = bodies.Pieces()
    try:
        async with limit:
            content = opened.response.content
            while data := await read(content.readany()):
                pieces.append(data)
                missing_bytes = pieces.size_bytes - pieces.held_bytes
                if missing_bytes <= memory_account.SMALL_BYTES:
                    continue
                if (
                    pieces.size_bytes > MAX_BUFFERED_BYTES
                    or not holder.try_buffer(missing_bytes)
                ):
                    return Oversized(pieces)
                pieces.held_bytes = pieces.size_bytes
    except asyncio.CancelledError:
        # Unread, it would keep its connection and buffers.
        opened.response.close()
        raise
    except TimeoutError:
        problem = OutcomeUnknown("timed out reading the body")
    except _CONNECTION_ERRORS as error:
        problem = OutcomeUnknown(
            f"body cut short: {describe(error)}", connection_lost=True
        )
    else:
        opened.response.release()
        return pieces
    holder.release(pieces.held_bytes)
    opened.response.close()
    return problem
