"""One call of a service's target."""

import asyncio
import dataclasses

import aiohttp
from aiohttp import web

from bulrushdale.admission import session as session_module
from bulrushdale.catalogue import entries
from bulrushdale.claims import claim_table
from bulrushdale import hashing
from bulrushdale.web import caller as caller_module
from bulrushdale.web import context as context_module


CONNECT_TIMEOUT_MS = 1_000
# An assumption: so long a call may be under way to its target; on a VM that
# isn't busy it takes some ms.
BEGIN_MS = 40
NOT_CONNECTED = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


class NotSentError(Exception):
    """No connection to the target was made, so nothing was sent."""


class StaleSlotError(NotSentError):
    """The slot was granted too long ago to be used."""


class NoResponseError(Exception):
    """The call was sent and no answer came."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRequest:
    """One call of a service.

    :param service: the service's name.
    :param spec: the service's entry.
    :param method: the HTTP method.
    :param path: path and query, from the slash on.
    :param headers: the caller's headers that are passed on.
    :param body: the body.
    """

    service: str
    spec: entries.Service
    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    def digest(self) -> bytes:
        """Return what two requests with one key must have in common."""
        head = f"{self.method} {self.path}\n".encode()
        return hashing.digest(head + self.body)


async def send(
    context: context_module.Context,
    session: aiohttp.ClientSession,
    grant: session_module.Grant,
    service_request: ServiceRequest,
) -> claim_table.Outcome:
    """Send the request to the target of a grant.

    :raises NotSentError: if no connection was made.
    :raises NoResponseError: if the connection broke afterwards.
    """
    target = context.targets.get(grant.target)
    if target is None or not context.slot_client.usable(grant):
        raise StaleSlotError("the slot is too old")
    timeout = aiohttp.ClientTimeout(
        total=service_request.spec.call_timeout_ms / 1000,
        sock_connect=CONNECT_TIMEOUT_MS / 1000,
    )
    # A service answers at its end only; what was sent counts as begun.
    begin = asyncio.get_running_loop().call_later(
        BEGIN_MS / 1000, context.slot_client.report_started, grant
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
            body = await response.read()
            return claim_table.Outcome(
                response.status, body, response.content_type
            )
    except NOT_CONNECTED as error:
        raise NotSentError(repr(error)) from error
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise NoResponseError(repr(error)) from error
    finally:
        begin.cancel()


async def acquire(
    context: context_module.Context,
    caller: caller_module.Caller,
    need: session_module.SlotRequirements,
    failed: tuple[str, ...],
) -> session_module.Grant:
    """Get a slot for a call, and note which.

    :param failed: targets that failed the call already.
    :raises bulrushdale.results.RefusedError: if there is none in time.
    """
    with context.telemetry.tracer.start_as_current_span("slot"):
        grant = await context.slot_client.acquire(need, failed)
    caller.timeline.step(
        "slot", f"{grant.target}, by home {grant.coordinator}"
    )
    return grant


def response(
    caller: caller_module.Caller,
    outcome: claim_table.Outcome,
    replayed: bool = False,
) -> web.Response:
    """Return the response that carries an outcome.

    :param replayed: whether an earlier request made the call.
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
