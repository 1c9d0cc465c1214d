"""Requests that a router sends to the targets of a service."""

import asyncio
import dataclasses
import logging

import aiohttp
from aiohttp import web
import yarl

from bulrushdale.admission import session as session_module
from bulrushdale.catalogue import entries
from bulrushdale.claims import claim_table
from bulrushdale import clock as clock_module
from bulrushdale.forwarding import bodies
from bulrushdale.forwarding import memory_account
from bulrushdale.forwarding import request_targets
from bulrushdale import hashing
from bulrushdale import results
from bulrushdale import statuses
from bulrushdale.web import caller as caller_module
from bulrushdale.web import context as context_module


LOG = logging.getLogger(__name__)

CONNECT_TIMEOUT_MS = 1_000
# A request is assumed to reach its target within this time. On a VM that isn't
# busy this takes a few ms.
START_DELAY_MS = 40
# Larger responses of a service are cut off, as they are kept in memory.
MAX_RESPONSE_BYTES = 16 << 20
CONNECT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


class NotSentError(Exception):
    """No connection to the target was made, so nothing was sent."""


class StaleSlotError(NotSentError):
    """The slot was granted too long ago to be used."""


class NoResponseError(Exception):
    """The request was sent, but no response for its caller arrived."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A request for a service.

    :param service: the service's name.
    :param spec: the service's entry.
    :param method: the HTTP method.
    :param path: path and query as sent, starting with a slash.
    :param headers: the headers for the target.
    :param body: the request body.
    :param holder: the memory of the request and its response.
    """

    service: str
    spec: entries.Service
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    holder: memory_account.Holder = dataclasses.field(
        default_factory=lambda: memory_account.uncounted(clock_module.Clock())
    )

    def digest(self) -> bytes:
        """Return the digest that all requests with one key must share.

        A request is refused if its key was used with another digest. Routers
        of earlier versions, which may have seen the key, decode the path.
        """
        path, _, query = self.path.partition("?")
        url = yarl.URL.build(path=path, query_string=query, encoded=True)
        decoded = f"{url.path}?{url.query_string}" if query else url.path
        head = f"{self.method} {decoded}\n".encode()
        return hashing.digest(head, self.body)


async def send(
    context: context_module.Context,
    session: aiohttp.ClientSession,
    grant: session_module.Grant,
    service_request: ServiceRequest,
) -> claim_table.Outcome:
    """Send a request once, to the target of a grant.

    :param session: the HTTP session.
    :param grant: the slot that the request runs on.
    :raises NotSentError: if no connection was made.
    :raises NoResponseError: if the connection broke afterwards, or the
        response is too large.
    """
    target = context.targets.get(grant.target)
    if target is None or not context.slot_client.usable(grant):
        raise StaleSlotError("the slot is too old")
    timeout = aiohttp.ClientTimeout(
        total=service_request.spec.call_timeout_ms / 1000,
        sock_connect=CONNECT_TIMEOUT_MS / 1000,
    )
    # A service responds only when a request ends, so a request counts as
    # started once it should have reached the target.
    start_timer = asyncio.get_running_loop().call_later(
        START_DELAY_MS / 1000, context.slot_client.report_started, grant
    )
    service_request.holder.sent = True
    try:
        async with session.request(
            service_request.method,
            request_targets.url(target.url, service_request.path),
            data=bodies.to_payload(service_request.body),
            headers=service_request.headers,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            if getattr(response, "unidentified", False):
                raise aiohttp.ClientPayloadError(
                    "the response may belong to an earlier request"
                )
            body = await _read(
                response,
                service_request.holder,
                service_request.spec.call_timeout_ms,
            )
            return claim_table.Outcome(
                response.status, body, response.content_type
            )
    except CONNECT_ERRORS as error:
        raise NotSentError(repr(error)) from error
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise NoResponseError(repr(error)) from error
    finally:
        start_timer.cancel()


def check_outcome(
    context: context_module.Context,
    caller: caller_module.Caller,
    service_request: ServiceRequest,
    grant: session_module.Grant,
    outcome: claim_table.Outcome,
) -> None:
    """Withhold an outcome that promises that the request did not run.

    A service has no way to state that, so the request may have run.

    :param grant: the slot that the request ran on.
    :raises NoResponseError: if the status of the outcome promises it.
    """
    if not statuses.promises_not_run(outcome.status):
        return
    context.telemetry.withheld_answers.add(
        1, {"service": service_request.service, "status": outcome.status}
    )
    LOG.warning(
        "answer withheld, as its status promises that nothing ran",
        extra={
            "event": "answer.withheld",
            "request_id": caller.request_id,
            "service": service_request.service,
            "target": grant.target,
            "status": outcome.status,
            "size_bytes": len(outcome.body),
        },
    )
    raise NoResponseError(str(statuses.UnfoundedPromiseError(outcome.status)))


async def _read(
    response: aiohttp.ClientResponse,
    holder: memory_account.Holder,
    wait_ms: int,
) -> bytes:
    """Return the body of a response, which is read once there is room.

    Room for the length that it tells is reserved before it is read, so that
    responses don't wait for each other.

    :param holder: holds the body, unless it is small.
    :param wait_ms: how long it may wait for room, in ms.
    :raises ClientPayloadError: if it is too large or there is no room; the
        connection is closed.
    """
    pieces = bodies.Pieces()
    held_bytes = 0
    missing_bytes = response.content_length or 0
    try:
        if missing_bytes > MAX_RESPONSE_BYTES:
            raise _too_large()
        while True:
            if missing_bytes > memory_account.SMALL_BYTES:
                await holder.add_response(missing_bytes, wait_ms)
                held_bytes += missing_bytes
            data = await response.content.readany()
            if not data:
                return pieces.join()
            pieces.append(data)
            if pieces.size_bytes > MAX_RESPONSE_BYTES:
                raise _too_large()
            # A body without a length doubles the room that it has.
            missing_bytes = 0
            if pieces.size_bytes > max(held_bytes, memory_account.SMALL_BYTES):
                missing_bytes = pieces.size_bytes
    except BaseException as error:
        holder.release(held_bytes)
        response.close()
        if isinstance(error, results.RefusedError):
            raise aiohttp.ClientPayloadError(
                "there was no memory left for the response"
            ) from None
        raise


def _too_large() -> aiohttp.ClientPayloadError:
    return aiohttp.ClientPayloadError(
        f"the body has over {MAX_RESPONSE_BYTES} bytes"
    )


async def acquire(
    context: context_module.Context,
    caller: caller_module.Caller,
    requirements: session_module.SlotRequirements,
    failed: tuple[str, ...],
) -> session_module.Grant:
    """Acquire a slot for a request, and add it to the timeline.

    :param requirements: what slot the request needs.
    :param failed: targets that have already failed the request.
    :raises bulrushdale.results.RefusedError: if there is no slot in time.
    """
    with context.telemetry.tracer.start_as_current_span("slot"):
        grant = await context.slot_client.acquire(requirements, failed)
    caller.timeline.step(
        "slot", f"{grant.target}, by coordinator {grant.coordinator}"
    )
    return grant


def response(
    caller: caller_module.Caller,
    outcome: claim_table.Outcome,
    replayed: bool = False,
) -> web.Response:
    """Return the response that carries an outcome.

    :param replayed: whether the outcome is that of an earlier request, which
        a router of an earlier version may have recorded.
    :raises bulrushdale.results.RefusedError: if its status promises that the
        request did not run.
    """
    headers = {"X-Request-Id": caller.request_id, "Bulrushdale-Ran": "yes"}
    if replayed:
        headers["Idempotency-Replayed"] = "true"
    try:
        head = statuses.RelayedHead(outcome.status, tuple(headers.items()))
    except statuses.UnfoundedPromiseError as error:
        raise results.refuse(
            results.Code.TARGET_FAILED, f"the target failed: {error}"
        ) from error
    return web.Response(
        body=outcome.body,
        status=head.status,
        content_type=outcome.content_type or "application/octet-stream",
        headers=dict(head.headers),
    )
