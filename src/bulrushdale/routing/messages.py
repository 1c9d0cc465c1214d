"""Requests of callers and responses of targets, independent of wire names."""

from collections import abc
import dataclasses
import enum

from bulrushdale import statuses


class Progress(enum.StrEnum):
    """How far a target got with the response to a request."""

    SENT = "sent"
    BEGUN = "begun"
    EVENTS = "events"


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt, which several requests may share.

    :param part_id: id of the part; equal for equal tokens.
    :param tokens: length of the part, in tokens.
    """

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class InboundRequest:
    """A request from a caller.

    :param request_id: id chosen by the caller, unique for each attempt.
    :param method: HTTP method.
    :param host: value of the Host header.
    :param path: path without the query.
    :param raw_target: path and query as sent.
    :param headers: headers for the target, in the caller's order.
    :param body: the complete body.
    :param api_key: API key of the team; empty if none was sent.
    :param deadline_ms: how long the caller waits, in ms; none if not given.
    :param resume_after: number of the last event that the caller received;
        none to start at the beginning.
    :param prompt: parts of the prompt; the last one belongs to this request
        alone.
    :param prompt_tokens: length of the prompt, in tokens.
    :param output_tokens: maximum number of tokens to generate.
    :param resumes: id of the request whose response began the stream that the
        caller takes up; empty if it names none.
    """

    request_id: str
    method: str
    host: str
    path: str
    raw_target: str
    headers: abc.Sequence[tuple[str, str]]
    body: bytes
    api_key: str
    deadline_ms: int | None
    resume_after: int | None
    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    resumes: str = ""

    @property
    def tokens(self) -> int:
        """Memory that only this request needs at an engine, in tokens.

        An engine holds a prefix that requests share once.
        """
        own_tokens = max(0, self.prompt_tokens - self.shared_tokens)
        return own_tokens + self.output_tokens

    @property
    def stream_id(self) -> str:
        """Id of the request that began its stream, or begins it."""
        if self.resume_after is not None and self.resumes:
            return self.resumes
        return self.request_id

    @property
    def shared_prefix_id(self) -> str:
        """Id of the last part shared with other requests.

        It stands for the longest shared prefix. A prompt of a single part
        counts as shared; without a prompt the id is empty.
        """
        if not self.prompt:
            return ""
        return self.prompt[-2 if len(self.prompt) > 1 else 0].part_id

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """Ids of the parts that other requests may share, in order."""
        return tuple(part.part_id for part in self.prompt[:-1])

    @property
    def shared_tokens(self) -> int:
        """Length of the prefix shared with other requests, in tokens."""
        return sum(part.tokens for part in self.prompt[:-1])

    @property
    def cached_tokens(self) -> int:
        """Length of the part that a target may have cached, in tokens.

        A prompt of a single part may be sent again as a whole.
        """
        if len(self.prompt) == 1:
            return self.prompt[0].tokens
        return self.shared_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLoad:
    """What a target states about its load.

    :param running: number of requests that it runs.
    :param waiting: number of requests in its queue.
    :param slots: number of requests that it runs concurrently.
    :param slowness: how long work takes there now, as a multiple of the
        normal time; none if it doesn't say.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a target's response.

    :param status: HTTP status.
    :param headers: headers for the caller.
    :param request_id: id of the request that the response belongs to; empty
        if it names none.
    :param sealed: whether the target signed the response.
    :param not_run: whether the target states that the request did not run.
    :param other_target: whether the address now belongs to another target.
    :param encoded: whether the body has a content encoding that was not
        requested, so that it doesn't come from the target.
    :param leaving: whether the target announces that it is about to stop.
    :param retry_after_ms: how long the target wants no requests, in ms;
        none if not given.
    :param limit_per_s: requests per second that the target takes from all
        routers together; none if it names no limit.
    :param states_limit: whether `limit_per_s` is the target's statement. An
        invalid limit and a response that isn't the target's state nothing.
    :param max_rejections_per_s: requests that the target may reject in a
        second without falling over; none if it isn't brittle.
    :param states_max_rejections: whether that is the target's statement.
    :param cold_ms: how long the target stays cold, in ms; none if it doesn't
        say.
    :param server_load: the target's load; none if it doesn't say, or not in a
        valid way.
    :param invalid_load: whether the target states its load in an invalid way.
    """

    status: int
    headers: abc.Sequence[tuple[str, str]]
    request_id: str
    sealed: bool
    not_run: bool
    other_target: bool
    encoded: bool
    leaving: bool = False
    retry_after_ms: int | None = None
    limit_per_s: float | None = None
    states_limit: bool = False
    max_rejections_per_s: float | None = None
    states_max_rejections: bool = False
    cold_ms: int | None = None
    server_load: ServerLoad | None = None
    invalid_load: bool = False

    def for_caller(self) -> statuses.RelayedHead:
        """Return the head of the response to the caller.

        :raises UnfoundedPromiseError: if its status promises that the request
            did not run.
        """
        return statuses.RelayedHead(self.status, self.headers)

    @property
    def success(self) -> bool:
        return 200 <= self.status < 300
