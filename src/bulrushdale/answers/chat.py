"""Chat completion requests, and completions built from chunks."""

import dataclasses
import typing

import orjson

from bulrushdale.answers import frames
from bulrushdale import hashing
from bulrushdale import results

MIN_SHARED_PREFIX_BYTES = 256
DEFAULT_ANSWER_TOKENS = 256
BYTES_PER_TOKEN = 4
# Parts of the values that a mark stands for: a number and its place in a list,
# an empty list, a dictionary with one key, half a string.
_BYTES_PER_MARK = {b",": 40, b"[": 64, b"{": 128, b'"': 35}


@dataclasses.dataclass(frozen=True, slots=True)
class ChatRequest:
    """A request for a chat completion.

    :param model: the name of the model.
    :param stream: whether the caller wants a stream of events.
    :param service_tier: the class of service that the caller asks for, which
        applies unless its weight is higher than that of the team's own; empty
        if the caller named none.
    :param affinity_key: hash of the prefix that other chats may share.
    :param chat: hash of the part that all requests of a chat have in common.
    :param tokens: estimate of the tokens of prompt and answer.
    :param body: the request body as received.
    """

    model: str
    stream: bool
    service_tier: str
    affinity_key: int
    chat: int
    tokens: int
    body: dict[str, typing.Any]

    def for_engine(self, priority: int) -> bytes:
        """Return the request body for an engine, as JSON.

        :param priority: the priority of the class of service at the engine.
        """
        return orjson.dumps(
            {**self.body, "stream": True, "priority": priority}
        )


def parsed_bytes(data: bytes) -> int:
    """Return how much memory the values of a body take at most, in bytes.

    Text with many of the marks is taken for values, so this isn't exact.

    :param data: the body, as JSON.
    """
    return sum(
        data.count(mark) * size_bytes
        for mark, size_bytes in _BYTES_PER_MARK.items()
    )


def parse(data: bytes, team: str) -> ChatRequest:
    """Parse and check the body of a chat completion request.

    :param data: the body, as JSON.
    :param team: the caller's team; hashes of different teams differ.
    :raises bulrushdale.results.RefusedError: if the body is invalid.
    """
    try:
        body = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise _bad_request(f"the body is not JSON: {error}") from None
    if not isinstance(body, dict):
        raise _bad_request("the body must be a JSON object")
    model = body.get("model")
    if not isinstance(model, str):
        raise _bad_request("'model' must be a string")
    stream = body.get("stream", False)
    if not isinstance(stream, bool):
        raise _bad_request("'stream' must be true or false")
    messages = _check_messages(body)
    limit = body.get("max_completion_tokens", body.get("max_tokens"))
    if limit is None:
        limit = DEFAULT_ANSWER_TOKENS
    if not isinstance(limit, int) or not 0 < limit <= 1_000_000:
        raise _bad_request("'max_tokens' must be an integer from 1 to 1000000")
    affinity_key, chat = _prefix_hashes(body, messages, team)
    tier = body.get("service_tier")
    return ChatRequest(
        model,
        stream,
        tier if isinstance(tier, str) else "",
        affinity_key,
        chat,
        len(data) // BYTES_PER_TOKEN + limit,
        body,
    )


def _bad_request(detail: str) -> results.RefusedError:
    return results.refuse(results.Code.BAD_REQUEST, detail)


def _check_messages(
    body: dict[str, typing.Any],
) -> list[dict[str, typing.Any]]:
    """Return the messages of a request body, if they are valid."""
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _bad_request("'messages' must be a non-empty list")
    for message in messages:
        if not isinstance(message, dict) or "role" not in message:
            raise _bad_request("each message must be an object with a 'role'")
    return messages


def _prefix_hashes(
    body: dict[str, typing.Any],
    messages: list[dict[str, typing.Any]],
    team: str,
) -> tuple[int, int]:
    """Return the hash of the shared prefix and the hash of the chat."""
    team_prefix = team.encode() + b"\0"
    system_messages = []
    for message in messages:
        if message["role"] not in ("system", "developer"):
            break
        system_messages.append(message)
    shared_prefix = orjson.dumps(system_messages)
    opening = orjson.dumps(messages[: len(system_messages) + 1])
    chat = hashing.hash64(team_prefix + opening)
    cache_key = body.get("prompt_cache_key")
    if isinstance(cache_key, str) and cache_key:
        return hashing.hash64(team_prefix + cache_key.encode()), chat
    if len(shared_prefix) >= MIN_SHARED_PREFIX_BYTES:
        return hashing.hash64(team_prefix + shared_prefix), chat
    return chat, chat


class CompletionBuilder:
    """Builds a completion from the chunks of an answer.

    .. versionadded:: 0.1
    """

    __slots__ = ("_metadata", "_choices", "_usage")

    def __init__(self) -> None:
        self._metadata: dict[str, typing.Any] = {}
        self._choices: dict[int, dict[str, typing.Any]] = {}
        self._usage: dict[str, typing.Any] | None = None

    def add(self, data: bytes) -> None:
        """Add the data of one frame.

        :raises ValueError: if the data is not a chunk.
        """
        if data == frames.END_MARK:
            return
        chunk = orjson.loads(data)
        if not isinstance(chunk, dict):
            raise ValueError("a chunk must be an object")
        for field in ("id", "created", "model", "system_fingerprint"):
            if field in chunk:
                self._metadata.setdefault(field, chunk[field])
        self._usage = chunk.get("usage") or self._usage
        for choice in chunk.get("choices", ()):
            self._add_choice(choice)

    def _add_choice(self, choice: dict[str, typing.Any]) -> None:
        """Add one choice of a chunk to the completed choice of its index."""
        index = choice.get("index", 0)
        completed_choice = self._choices.setdefault(
            index,
            {
                "index": index,
                "message": {"role": "assistant", "content": ""},
                "finish_reason": None,
            },
        )
        message = completed_choice["message"]
        for field, value in choice.get("delta", {}).items():
            if field == "tool_calls":
                _add_tool_calls(message, value)
            elif isinstance(value, str) and field != "role":
                message[field] = (message.get(field) or "") + value
        if choice.get("finish_reason"):
            completed_choice["finish_reason"] = choice["finish_reason"]

    def body(self) -> bytes:
        """Return the completion as JSON."""
        completion: dict[str, typing.Any] = {
            "object": "chat.completion",
            **self._metadata,
            "choices": [self._choices[i] for i in sorted(self._choices)],
        }
        if self._usage:
            completion["usage"] = self._usage
        return orjson.dumps(completion)


def _add_tool_calls(
    message: dict[str, typing.Any], deltas: list[dict[str, typing.Any]]
) -> None:
    """Add the parts of tool calls in a chunk to those of the message."""
    calls = message.setdefault("tool_calls", [])
    for delta in deltas:
        index = delta.get("index", 0)
        while len(calls) <= index:
            calls.append({"function": {"name": "", "arguments": ""}})
        call = calls[index]
        for field in ("id", "type"):
            if delta.get(field):
                call[field] = delta[field]
        for field, value in delta.get("function", {}).items():
            call["function"][field] += value or ""
