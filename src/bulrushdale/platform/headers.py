"""Headers of callers and targets on the platform.

Decodes them into the product's types and encodes those for targets.
"""

from collections import abc
import logging
import math

from aiohttp import web
import multidict

from bulrushdale.routing import messages

LOG = logging.getLogger(__name__)

REQUEST_ID = "X-Request-Id"
_DEADLINE = "X-Deadline-Ms"
_PROMPT = "X-Prompt-Prefix"
_TOKENS = "X-Token-Counts"
_RESUME = "Last-Event-Id"
_EXPECT_TARGET = "X-Expect-Instance"
_TEAM = "X-Tenant-Id"
_URGENCY = "X-Request-Urgency"
_KEY = "Authorization"
_KEY_SCHEME = "bearer "
# The target's signature; without it nothing came from a target.
_SEAL = "X-Server-Seal"
_NOT_RUN = "X-Not-Executed"
# The target that has the prompt in its cache copies it to the one that asks.
_COPY_FROM = "Kv-Fetch"
# The target is about to stop, in each of its answers from then on.
_LEAVING = "Server-Leaving"
_LEAVING_VALUE = "1"
# In a 503, for how many seconds the target wants no requests.
_REST = "Retry-After"

_STATUS_OTHER_TARGET = 421
_STATUS_OVERLOADED = 503

# Headers of one connection only, besides those that Connection names.
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
# What only the router may tell a target; a caller's own is dropped.
_OWN_TO_SET = frozenset(
    name.lower()
    for name in (
        _DEADLINE,
        _EXPECT_TARGET,
        _TEAM,
        _URGENCY,
        _KEY,
        "X-Hold",
        "X-Pin-Ms",
        "X-Kv-Backup",
        "Kv-From",
        _COPY_FROM,
        "X-Expect-Version",
    )
)


class CallError(Exception):
    """A request whose headers make no sense.

    :param header: the header.
    :param value: what it holds.
    """

    def __init__(self, header: str, value: str) -> None:
        super().__init__(f"{header} can't be read: {value[:80]!r}")


def _kept(
    headers: abc.Mapping[str, str] | multidict.CIMultiDictProxy[str],
    dropped: frozenset[str],
) -> list[tuple[str, str]]:
    connection = headers.get("Connection", "")
    named = {name.strip().lower() for name in connection.split(",")}
    return [
        (name, value)
        for name, value in headers.items()
        if (lower := name.lower()) not in _HOP_BY_HOP
        and lower not in dropped
        and lower not in named
    ]


def _number(headers: abc.Mapping[str, str], name: str) -> int | None:
    value = headers.get(name)
    if value is None:
        return None
    try:
        return int(float(value))
    except (ValueError, OverflowError):
        raise CallError(name, value) from None


def _prompt(value: str) -> tuple[messages.PromptPart, ...]:
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


def _key(headers: abc.Mapping[str, str]) -> str:
    value = headers.get(_KEY, "")
    if value[: len(_KEY_SCHEME)].lower() != _KEY_SCHEME:
        return ""
    return value[len(_KEY_SCHEME) :].strip()


def decode_request_id(request: web.BaseRequest) -> str:
    """Return the id that a caller gave its request; empty if it gave none."""
    return request.headers.get(REQUEST_ID, "")


def decode_call(
    request: web.BaseRequest, body: bytes
) -> messages.InboundRequest:
    """Return a caller's request in the product's words.

    :param request: the request.
    :param body: its whole body.
    :raises CallError: if a header makes no sense.
    """
    headers = request.headers
    prompt_tokens, _, output_tokens = headers.get(_TOKENS, "").partition(",")
    return messages.InboundRequest(
        request_id=decode_request_id(request),
        method=request.method,
        host=headers.get("Host", ""),
        path=request.raw_path.partition("?")[0],
        raw_target=request.raw_path,
        headers=_kept(headers, _OWN_TO_SET),
        body=body,
        key=_key(headers),
        deadline_ms=_number(headers, _DEADLINE),
        resume_after=_number(headers, _RESUME),
        prompt=_prompt(headers.get(_PROMPT, "")),
        prompt_tokens=int(prompt_tokens) if prompt_tokens.isdigit() else 0,
        output_tokens=int(output_tokens) if output_tokens.isdigit() else 0,
    )


def encode_call(
    call: messages.InboundRequest,
    target_id: str,
    team: str | None,
    urgency: int | None,
    left_ms: int,
    resume_after: int | None,
    cache_at: str | None,
) -> list[tuple[str, str]]:
    """Return the headers of a request for a target.

    :param call: the caller's request.
    :param target_id: the only target that may run it.
    :param team: the team that holds the caller's key.
    :param urgency: rank at the target, 0 first; none for the usual one.
    :param left_ms: how long the target may work, in ms.
    :param resume_after: the last event that the caller has.
    :param cache_at: address of a target to copy the shared part of the
        prompt from.
    """
    headers = [
        (name, value)
        for name, value in call.headers
        if name.lower() != _RESUME.lower()
    ]
    headers.append((_EXPECT_TARGET, target_id))
    headers.append((_DEADLINE, str(max(1, left_ms))))
    if team is not None:
        headers.append((_TEAM, team))
    if urgency is not None:
        headers.append((_URGENCY, str(urgency)))
    if resume_after is not None:
        headers.append((_RESUME, str(resume_after)))
    if cache_at is not None:
        headers.append((_COPY_FROM, cache_at))
    return headers


def decode_answer(
    status: int, headers: multidict.CIMultiDictProxy[str]
) -> messages.ResponseHead:
    """Return the head of a target's answer in the product's words."""
    encoding = headers.get("Content-Encoding", "identity").lower()
    return messages.ResponseHead(
        status=status,
        headers=_kept(headers, frozenset({"date", "server"})),
        request_id=headers.get(REQUEST_ID, ""),
        sealed=_SEAL in headers,
        not_run=_NOT_RUN in headers,
        other_target=status == _STATUS_OTHER_TARGET,
        encoded=encoding != "identity",
        leaving=(
            headers.get(_LEAVING, "").strip() == _LEAVING_VALUE
            and status != _STATUS_OTHER_TARGET
        ),
        retry_after_ms=_rest_ms(status, headers.get(_REST)),
    )


def _rest_ms(status: int, value: str | None) -> int | None:
    """Return the pause that an overloaded target asks for, in ms."""
    if status != _STATUS_OVERLOADED or value is None:
        return None
    try:
        rest_s = float(value)
    except ValueError:
        rest_s = math.nan
    if not math.isfinite(rest_s) or rest_s < 0:
        LOG.warning(
            "pause not understood",
            extra={"event": "target.bad_rest", "value": value[:80]},
        )
        return None
    return int(rest_s * 1000)
