"""A caller's request and a target's answer, free of wire names."""

from collections import abc
import dataclasses


# Callers repeat whatever gets one of these, as it has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share.

    :param part_id: the same for the same tokens.
    :param tokens: its length.
    """

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class InboundRequest:
    """What a caller asked for.

    :param request_id: chosen by the caller, unique for each attempt.
    :param method: HTTP method.
    :param host: the Host header.
    :param path: path without the query.
    :param raw_target: path and query as sent.
    :param headers: headers for the target, in the caller's order.
    :param body: the whole body.
    :param key: the team's key; empty if none was sent.
    :param deadline_ms: how long the caller waits; none if it didn't say.
    :param resume_after: the last event that the caller has; none to start
        at the beginning.
    :param prompt: parts of the prompt, the request's own one last.
    :param prompt_tokens: length of the prompt.
    :param output_tokens: the most tokens to generate.
    """

    request_id: str
    method: str
    host: str
    path: str
    raw_target: str
    headers: abc.Sequence[tuple[str, str]]
    body: bytes
    key: str
    deadline_ms: int | None
    resume_after: int | None
    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int

    @property
    def affinity(self) -> str:
        """Id of the longest prefix that other requests share."""
        if not self.prompt:
            return ""
        return self.prompt[-2 if len(self.prompt) > 1 else 0].part_id

    @property
    def shared_tokens(self) -> int:
        """Length of the prefix that other requests share."""
        return sum(part.tokens for part in self.prompt[:-1])


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a target's answer.

    :param status: HTTP status.
    :param headers: headers for the caller.
    :param request_id: the request that it answers; empty if it doesn't say.
    :param sealed: whether the target signed it.
    :param not_run: whether the target states that it didn't run the request.
    :param other_target: whether another target has the address now.
    :param encoded: whether the body has a content encoding that nobody
        asked for, so that it isn't the target's.
    :param leaving: whether the target says that it is about to stop.
    :param retry_after_ms: for how long the target wants no requests, in ms;
        none if it doesn't say.
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

    @property
    def implies_not_run(self) -> bool:
        """Whether callers take the status for a promise that isn't given."""
        return self.status in NOT_RUN_STATUSES and not self.not_run

    @property
    def success(self) -> bool:
        return 200 <= self.status < 300
