"""Translates between the platform's HTTP headers and the project's types."""

from collections import abc
import logging
import math

from aiohttp import web
import multidict

from bulrushdale.forwarding import request_targets
from bulrushdale.routing import messages

LOG = logging.getLogger(__name__)

REQUEST_ID = "X-Request-Id"
_DEADLINE = "X-Deadline-Ms"
_PROMPT_PREFIX = "X-Prompt-Prefix"
_TOKEN_COUNTS = "X-Token-Counts"
_LAST_EVENT_ID = "Last-Event-Id"
# Id of the request whose response brought the first event of the stream that
# is taken up.
_RESUMES = "Resumes"
_EXPECT_TARGET = "X-Expect-Instance"
_TEAM = "X-Tenant-Id"
_URGENCY = "X-Request-Urgency"
_AUTHORIZATION = "Authorization"
_BEARER_PREFIX = "bearer "
# Signature of the target. A response without it did not come from a target.
_SIGNATURE = "X-Server-Seal"
_NOT_EXECUTED = "X-Not-Executed"
# Address of a target that has the prefix cached; it copies the prefix to the
# target that asks for it.
_COPY_FROM = "Kv-Fetch"
# Sent by a target that is about to stop, with every response from then on.
_LEAVING = "Server-Leaving"
_LEAVING_VALUE = "1"
# Back-off in seconds that an overloaded target asks for in a 503 response.
_RETRY_AFTER = "Retry-After"
# Requests per second that a target takes from all routers together.
_RATE_LIMIT = "Server-Limit"
# Requests that a brittle target may reject in a second for want of room. If it
# has to reject more it falls over.
_MAX_REJECTIONS = "Server-Brittle"
# How long a target stays cold, in ms.
_COLD = "X-Cold-Ms"
# Load of a target: RUNNING,WAITING,SLOTS[,PERCENT]. The last value is how long
# work takes there now, in percent of the normal time.
_LOAD = "X-Server-Load"

# Largest number of requests that a target may name. The largest engines run
# and queue fewer than a hundred; the rest is a margin.
_MAX_LOAD = 100_000
# A truncated percentage is mostly below the minimum, such as 25 instead of
# 250.
_MIN_LOAD_PERCENT = 50
_MAX_LOAD_PERCENT = 1_000

_STATUS_MISDIRECTED = 421
_STATUS_OVERLOADED = 503

# Hop-by-hop headers, in addition to those that the Connection header lists.
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
# Headers that only the router may send to a target; the ones that a caller
# sends are dropped.
_ROUTER_ONLY = frozenset(
    name.lower()
    for name in (
        _DEADLINE,
        _EXPECT_TARGET,
        _TEAM,
        _URGENCY,
        _AUTHORIZATION,
        "X-Hold",
        "X-Pin-Ms",
        "X-Kv-Backup",
        "Kv-From",
        _COPY_FROM,
        "X-Expect-Version",
    )
)


class HeadError(Exception):
    """The head of a request that can't be decoded."""


class HeaderError(HeadError):
    """A request header whose value can't be decoded.

    :param header: the header's name.
    :param value: the header's value.
    """

    def __init__(self, header: str, value: str) -> None:
        super().__init__(f"{header} header is invalid: {value[:80]!r}")


def _filter_headers(
    headers: abc.Mapping[str, str] | multidict.CIMultiDictProxy[str],
    dropped: frozenset[str],
) -> list[tuple[str, str]]:
    """Return all headers but the hop-by-hop and the dropped ones."""
    connection = headers.get("Connection", "")
    connection_only = {name.strip().lower() for name in connection.split(",")}
    return [
        (name, value)
        for name, value in headers.items()
        if (lower := name.lower()) not in _HOP_BY_HOP
        and lower not in dropped
        and lower not in connection_only
    ]


def _parse_number(headers: abc.Mapping[str, str], name: str) -> int | None:
    value = headers.get(name)
    if value is None:
        return None
    try:
        return int(float(value))
    except (ValueError, OverflowError):
        raise HeaderError(name, value) from None


def _parse_prompt_prefix(value: str) -> tuple[messages.PromptPart, ...]:
    """Return the parts of a prompt's prefix; 0 for an invalid token count."""
    parts = []
    for item in value.split(","):
        part_id, _, tokens = item.strip().partition(":")
        if part_id:
            parts.append(
                messages.PromptPart(
                    part_id, int(tokens) if tokens.isdigit() else 0
                )
            )
    return tuple(parts)


def _parse_api_key(headers: abc.Mapping[str, str]) -> str:
    value = headers.get(_AUTHORIZATION, "")
    if value[: len(_BEARER_PREFIX)].lower() != _BEARER_PREFIX:
        return ""
    return value[len(_BEARER_PREFIX) :].strip()


def decode_request_id(request: web.BaseRequest) -> str:
    """Return the caller's request id, or an empty string without one."""
    return request.headers.get(REQUEST_ID, "")


def encode_question(
    request_id: str, prompt: str, last_event_id: str
) -> dict[str, str]:
    """Return the headers of a question where a request would go.

    They are those of the request, apart from its key.

    :param request_id: id of the request; empty for none.
    :param prompt: parts of the prompt, as in the header; empty for none.
    :param last_event_id: number of the last event received; empty for none.
    """
    named = {
        REQUEST_ID: request_id,
        _PROMPT_PREFIX: prompt,
        _LAST_EVENT_ID: last_event_id,
    }
    return {name: value for name, value in named.items() if value}


def decode_request(
    request: web.BaseRequest, body: bytes
) -> messages.InboundRequest:
    """Decode a caller's request.

    :param request: the request.
    :param body: the complete body of the request.
    :raises HeadError: if the deadline or the last event id isn't a number, or
        the request target is invalid; an invalid token count is read as 0.
    """
    headers = request.headers
    try:
        authority, target = request_targets.split(request.raw_path)
    except request_targets.TargetError as error:
        raise HeadError(str(error)) from error
    forwarded = _filter_headers(headers, _ROUTER_ONLY)
    if authority:
        # The Host field of a request in the absolute form is ignored.
        forwarded = [
            (name, authority if name.lower() == "host" else value)
            for name, value in forwarded
        ]
    prompt_tokens, _, output_tokens = headers.get(_TOKEN_COUNTS, "").partition(
        ","
    )
    return messages.InboundRequest(
        request_id=decode_request_id(request),
        method=request.method,
        host=authority or headers.get("Host", ""),
        path=target.partition("?")[0],
        raw_target=target,
        headers=forwarded,
        body=body,
        api_key=_parse_api_key(headers),
        deadline_ms=_parse_number(headers, _DEADLINE),
        resume_after=_parse_number(headers, _LAST_EVENT_ID),
        resumes=headers.get(_RESUMES, ""),
        prompt=_parse_prompt_prefix(headers.get(_PROMPT_PREFIX, "")),
        prompt_tokens=int(prompt_tokens) if prompt_tokens.isdigit() else 0,
        output_tokens=int(output_tokens) if output_tokens.isdigit() else 0,
    )


def encode_request(
    request: messages.InboundRequest,
    target_id: str,
    team: str | None,
    urgency: int | None,
    remaining_ms: int,
    resume_after: int | None,
    copy_from: str | None,
) -> list[tuple[str, str]]:
    """Return the headers of a request to a target.

    :param request: the caller's request.
    :param target_id: the only target that may run the request.
    :param team: the team that the caller's key belongs to.
    :param urgency: priority at the target, 0 is served first; none for the
        default priority.
    :param remaining_ms: time that is left for the target, in ms.
    :param resume_after: id of the last event that the caller has received;
        none if it has received none.
    :param copy_from: address of a target to copy the cached prefix from; none
        for no copy.
    """
    headers = [
        (name, value)
        for name, value in request.headers
        if name.lower() != _LAST_EVENT_ID.lower()
    ]
    headers.append((_EXPECT_TARGET, target_id))
    headers.append((_DEADLINE, str(max(1, remaining_ms))))
    if team is not None:
        headers.append((_TEAM, team))
    if urgency is not None:
        headers.append((_URGENCY, str(urgency)))
    if resume_after is not None:
        headers.append((_LAST_EVENT_ID, str(resume_after)))
    if copy_from is not None:
        headers.append((_COPY_FROM, copy_from))
    return headers


def decode_response_head(
    status: int, headers: multidict.CIMultiDictProxy[str]
) -> messages.ResponseHead:
    """Decode the status and headers of a target's response."""
    encoding = headers.get("Content-Encoding", "identity").lower()
    sealed = _SIGNATURE in headers
    misdirected = status == _STATUS_MISDIRECTED
    limit_per_s = max_rejections_per_s = None
    if not misdirected:
        limit_per_s = _parse_rate(headers, _RATE_LIMIT)
        max_rejections_per_s = _parse_rate(headers, _MAX_REJECTIONS)
    server_load = None
    states_load = not misdirected and _LOAD in headers
    if states_load:
        server_load = _parse_load(headers[_LOAD])
    return messages.ResponseHead(
        status=status,
        headers=_filter_headers(headers, frozenset({"date", "server"})),
        request_id=headers.get(REQUEST_ID, ""),
        sealed=sealed,
        not_run=_NOT_EXECUTED in headers,
        other_target=misdirected,
        encoded=encoding != "identity",
        leaving=(
            headers.get(_LEAVING, "").strip() == _LEAVING_VALUE
            and not misdirected
        ),
        retry_after_ms=_parse_retry_after(status, headers.get(_RETRY_AFTER)),
        limit_per_s=limit_per_s,
        states_limit=not misdirected
        and (
            limit_per_s is not None or (sealed and _RATE_LIMIT not in headers)
        ),
        max_rejections_per_s=max_rejections_per_s,
        states_max_rejections=not misdirected
        and (
            max_rejections_per_s is not None
            or (sealed and _MAX_REJECTIONS not in headers)
        ),
        cold_ms=None if misdirected else _parse_cold(headers.get(_COLD)),
        server_load=server_load,
        invalid_load=states_load and server_load is None,
    )


def _parse_load(value: str) -> messages.ServerLoad | None:
    """Return the load that a target states; none if any part is invalid."""
    fields = value.split(",", 4)
    numbers = [
        int(field)
        for field in fields
        if field.isascii() and field.isdigit() and len(field) <= 6
    ]
    if len(numbers) == len(fields) and len(numbers) in (3, 4):
        running, waiting, slots = numbers[:3]
        percent = numbers[3] if len(numbers) == 4 else None
        if (
            running <= slots
            and waiting <= _MAX_LOAD
            and 0 < slots <= _MAX_LOAD
            and (
                percent is None
                or _MIN_LOAD_PERCENT <= percent <= _MAX_LOAD_PERCENT
            )
        ):
            return messages.ServerLoad(
                running,
                waiting,
                slots,
                None if percent is None else percent / 100,
            )
    LOG.warning(
        "invalid load of a target ignored",
        extra={"event": "target.bad_load", "value": value[:80]},
    )
    return None


def _parse_cold(value: str | None) -> int | None:
    """Return how long a target stays cold, in ms; none if it doesn't say."""
    if value is None:
        return None
    if not (value.isascii() and value.isdigit()) or len(value) > 9:
        LOG.warning(
            "invalid time of a cold target ignored",
            extra={"event": "target.bad_cold", "value": value[:80]},
        )
        return None
    return int(value)


def _parse_rate(
    headers: multidict.CIMultiDictProxy[str], name: str
) -> float | None:
    """Return a number of requests per second that a target names.

    :return: the number; none without a valid one.
    """
    value = headers.get(name)
    if value is None:
        return None
    try:
        rate_per_s = float(value)
    except ValueError:
        rate_per_s = math.nan
    if not math.isfinite(rate_per_s) or rate_per_s < 0:
        LOG.warning(
            "invalid rate of a target ignored",
            extra={
                "event": "target.bad_limit",
                "header": name,
                "value": value[:80],
            },
        )
        return None
    return rate_per_s


def _parse_retry_after(status: int, value: str | None) -> int | None:
    """Return the back-off that an overloaded target asks for, in ms.

    :return: the back-off; none without a valid one.
    """
    if status != _STATUS_OVERLOADED or value is None:
        return None
    try:
        retry_after_s = float(value)
    except ValueError:
        retry_after_s = math.nan
    if not math.isfinite(retry_after_s) or retry_after_s < 0:
        LOG.warning(
            "invalid Retry-After header ignored",
            extra={"event": "target.bad_rest", "value": value[:80]},
        )
        return None
    return math.ceil(retry_after_s * 1000)
