"""Requests that a router sends to the targets of a service."""

import asyncio
import dataclasses

import aiohttp
from aiohttp import web

from bulrushdale.admission import session as session_module
from bulrushdale.catalogue import entries
from bulrushdale.claims import claim_table
from bulrushdale.forwarding import sessions
from bulrushdale import hashing
from bulrushdale.web import caller as caller_module
from bulrushdale.web import context as context_module


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
    """The request was sent, but no response arrived."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A request for a service.

    :param service: the service's name.
    :param spec: the service's entry.
    :param method: the HTTP method.
    :param path: path and query, starting with a slash.
    :param headers: the headers for the target.
    :param body: the request body.
    """

    service: str
    spec: entries.Service
    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    def digest(self) -> bytes:
        """Return the digest that all requests with one key must share.

        A request is refused if its key was used with another digest.
        """
        head = f"{self.method} {self.path}\n".encode()
        return hashing.digest(head + self.body)


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
    try:
        async with session.request(
            service_request.method,
            f"{target.url}{service_request.path}",
            data=service_request.body or None,
            headers=service_request.headers,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            if getattr(response, "unidentified", False):
                raise aiohttp.ClientPayloadError(
                    "the response may belong to an earlier request"
                )
            body = await sessions.read_bounded(response, MAX_RESPONSE_BYTES)
            return claim_table.Outcome(
                response.status, body, response.content_type
            )
    except CONNECT_ERRORS as error:
        raise NotSentError(repr(error)) from error
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise NoResponseError(repr(error)) from error
    finally:
        start_timer.cancel()


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

    :param replayed: whether the outcome is that of an earlier request.
    """
    headers = {"X-Request-Id": caller.request_id, "Bulrushdale-Ran": "yes"}
    if replayed:
        headers["Idempotency-Replayed"] = "true"
    return web.Response(
        body=outcome.body,
        status=outcome.status,
        content_type=outcome.content_type or "application/octet-stream",
        headers=headers,
    )
