"""Chat requests, and joining the chunks of an answer."""

import orjson
import pytest

from bulrushdale.answers import chat
from bulrushdale import results

HELLO = {"role": "user", "content": "hello"}
BOOK = {"role": "system", "content": "Recipe book. " * 40}


def parse(team: str = "bakery", **fields: object) -> chat.ChatRequest:
    body = {"model": "loaf-1", "messages": [HELLO], **fields}
    return chat.parse(orjson.dumps(body), team)


def test_a_returning_chat_keeps_its_hashes() -> None:
    first = parse(messages=[BOOK, HELLO])
    more = [BOOK, HELLO, {"role": "assistant", "content": "hi"}, HELLO]
    again = parse(messages=more)
    assert (first.chat, first.affinity) == (again.chat, again.affinity)


def test_chats_on_one_long_prefix_share_their_affinity() -> None:
    other = {"role": "user", "content": "other"}
    one, two = parse(messages=[BOOK, HELLO]), parse(messages=[BOOK, other])
    assert one.affinity == two.affinity
    assert one.chat != two.chat


def test_teams_share_no_prefix() -> None:
    assert parse("a").affinity != parse("b").affinity


@pytest.mark.parametrize(
    "fields",
    [
        {"model": 7},
        {"messages": []},
        {"messages": ["x"]},
        {"messages": [{}]},
        {"stream": "yes"},
        {"max_tokens": 0},
        {"max_tokens": "many"},
    ],
)
def test_bad_fields_are_refused(fields: dict) -> None:
    with pytest.raises(results.RefusedError) as caught:
        parse(**fields)
    assert caught.value.refusal.code == results.Code.BAD_REQUEST


@pytest.mark.parametrize("data", [b"", b"{", b"[]", b"\xff", b'{"a":NaN}'])
def test_a_bad_body_is_refused(data: bytes) -> None:
    with pytest.raises(results.RefusedError):
        chat.parse(data, "bakery")


def test_chunks_join_into_one_completion() -> None:
    builder = chat.CompletionBuilder()
    for content, reason in (("Hel", None), ("lo", "stop")):
        delta = {"role": "assistant", "content": content}
        choice = {"index": 0, "delta": delta, "finish_reason": reason}
        builder.add(orjson.dumps({"id": "x", "choices": [choice]}))
    builder.add(b"[DONE]")
    found = orjson.loads(builder.body())
    assert found["choices"][0]["message"]["content"] == "Hello"
    assert found["choices"][0]["finish_reason"] == "stop"


def test_tool_calls_join() -> None:
    builder = chat.CompletionBuilder()
    for arguments in ('{"a"', ": 1}"):
        call = {"index": 0, "function": {"arguments": arguments}}
        delta = {"tool_calls": [call]}
        chunk = {"choices": [{"index": 0, "delta": delta}]}
        builder.add(orjson.dumps(chunk))
    message = orjson.loads(builder.body())["choices"][0]["message"]
    assert message["tool_calls"][0]["function"]["arguments"] == '{"a": 1}'
