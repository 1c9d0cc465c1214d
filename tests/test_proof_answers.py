"""Promise 2: each caller gets the complete answer to its own request."""

import asyncio
from collections import abc
import json

import aiohttp
import openai
import pytest
import pytest_asyncio

from examples import deployment
from examples.standins import engine

pytestmark = pytest.mark.asyncio(loop_scope="module")

TOKENS = 40
MESSAGES = [{"role": "user", "content": "how plumb is the wall?"}]
WORDS = "".join(engine.response_words(MESSAGES, TOKENS))


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def running() -> abc.AsyncIterator[deployment.Deployment]:
    shape = deployment.Shape(
        routers=3, engines=2, services=1, engine_options={"token_ms": 25}
    )
    async with deployment.Deployment(shape) as found:
        yield found


@pytest_asyncio.fixture(loop_scope="module")
async def up(running) -> abc.AsyncIterator[deployment.Deployment]:
    await running.wait_ready()
    yield running
    for name in running.engine_names():
        await running.set_faults(
            name,
            cut_after=0,
            cross=False,
            repeat=False,
            skip=-1,
            refuse=False,
        )


class Reader:
    """A caller that reads the events of an answer.

    :ivar text: the text received so far.
    :ivar last_id: the id of the last event, with which it resumes.
    :ivar ended: whether the end mark was received.
    :ivar error: the error that was received, if any.
    :ivar status: the HTTP status of the last response.
    """

    def __init__(self, up: deployment.Deployment) -> None:
        self.up = up
        self.text = ""
        self.last_id = ""
        self.ended = False
        self.error: dict = {}
        self.status = 0

    async def read(
        self,
        router: str,
        team: str = "bakery",
        resume: bool = False,
        stop_after: int = 10**9,
    ) -> None:
        """Request an answer, or resume it, and read its events.

        :param router: the router that gets the request.
        :param team: the team whose key is used.
        :param resume: whether to resume after the last event.
        :param stop_after: number of events after which to hang up.
        """
        headers = {"Authorization": f"Bearer {team}-key"}
        url = f"{self.up.urls[router]}/v1/chat/completions"
        method, body = (
            "POST",
            {
                "model": "loaf-1",
                "messages": MESSAGES,
                "stream": True,
                "max_tokens": TOKENS,
            },
        )
        if resume:
            headers["Last-Event-ID"] = self.last_id
            url = f"{self.up.urls[router]}/v1/answers"
            method, body = "GET", None
        async with self.up.session.request(
            method, url, json=body, headers=headers
        ) as response:
            self.status = response.status
            if response.status != 200:
                self.error = (await response.json())["error"]
                return
            try:
                await self._events(response, stop_after)
            except aiohttp.ClientError:
                return

    async def _events(
        self, response: aiohttp.ClientResponse, stop_after: int
    ) -> None:
        received = 0
        buffer = b""
        async for data in response.content.iter_any():
            buffer += data
            *events, buffer = buffer.split(b"\n\n")
            for event in events:
                self._receive(event.decode())
                received += 1
                if received >= stop_after:
                    return

    def _receive(self, event: str) -> None:
        fields = dict(line.split(": ", 1) for line in event.split("\n"))
        self.last_id = fields.get("id", self.last_id)
        if fields["data"] == "[DONE]":
            self.ended = True
            return
        data = json.loads(fields["data"])
        if "error" in data:
            self.error = data["error"]
            return
        self.text += data["choices"][0]["delta"]["content"]


async def set_faults(up: deployment.Deployment, **faults: object) -> None:
    for name in up.engine_names():
        await up.set_faults(name, **faults)


async def test_an_answer_is_the_engines_own(up) -> None:
    reader = Reader(up)
    await reader.read("mid-a-router-0")
    assert (reader.text, reader.ended) == (WORDS, True)


async def test_another_router_resumes_after_a_kill(up) -> None:
    reader = Reader(up)
    reading = asyncio.create_task(reader.read("mid-a-router-1"))
    await asyncio.sleep(0.5)
    up.kill("mid-a-router-1")
    await reading
    assert 0 < len(reader.text) < len(WORDS)
    assert not reader.ended
    await reader.read("mid-a-router-2", resume=True)
    await up.restart("mid-a-router-1")
    assert (reader.text, reader.ended) == (WORDS, True)


async def test_a_caller_that_hangs_up_resumes(up) -> None:
    """A frozen router can't cancel the answer when its caller hangs up."""
    reader = Reader(up)
    reading = asyncio.create_task(reader.read("mid-a-router-0"))
    await asyncio.sleep(0.4)
    up.freeze("mid-a-router-0")
    reading.cancel()
    await asyncio.gather(reading, return_exceptions=True)
    await reader.read("mid-a-router-2", resume=True)
    up.thaw("mid-a-router-0")
    assert (reader.text, reader.ended) == (WORDS, True)


@pytest.mark.parametrize(
    "faults",
    [
        {"cross": True},
        {"repeat": True},
        {"skip": 7},
        {"cut_after": 9},
        {"cross": True, "repeat": True, "cut_after": 11},
    ],
)
async def test_bad_frames_do_not_reach_the_caller(up, faults) -> None:
    await set_faults(up, **faults)
    readers = [Reader(up) for _ in range(6)]
    names = up.router_names()
    await asyncio.gather(
        *(r.read(names[i % 3]) for i, r in enumerate(readers))
    )
    for reader in readers:
        assert (reader.text, reader.ended) == (WORDS, True)


async def test_a_short_answer_ends_in_an_error_event(up) -> None:
    """The engine cuts the stream and forgets it, so nothing resumes it."""
    await set_faults(up, cut_after=5)
    reader = Reader(up)
    reading = asyncio.create_task(reader.read("mid-a-router-0"))
    await asyncio.sleep(0.3)
    await set_faults(up, forget=True)
    await reading
    assert not reader.ended
    assert reader.error["code"] == "4002"
    assert WORDS.startswith(reader.text)


async def test_a_whole_answer_that_is_cut_is_an_error(up) -> None:
    """The engine does the same; the caller expects the answer in one body."""
    await set_faults(up, cut_after=5)
    completion = asyncio.create_task(
        up.chat("mid-a-router-0", messages=MESSAGES, max_tokens=TOKENS)
    )
    await asyncio.sleep(0.3)
    await set_faults(up, forget=True)
    status, body, _ = await completion
    assert (status, body["error"]["code"]) == (502, "4002")


async def test_another_engine_answers_before_the_first_frame(up) -> None:
    await up.set_faults("mid-a-engine-0", refuse=True)
    for router in up.router_names():
        reader = Reader(up)
        await reader.read(router)
        assert (reader.text, reader.ended) == (WORDS, True)


async def test_another_teams_answer_is_refused(up) -> None:
    reader = Reader(up)
    await reader.read("mid-a-router-0", stop_after=3)
    other_team = Reader(up)
    other_team.last_id = reader.last_id
    await other_team.read("mid-a-router-0", team="agencia", resume=True)
    assert (other_team.status, other_team.text) == (403, "")
    assert other_team.error["code"] == "2010"


async def test_a_caller_that_goes_away_cancels_its_answer(up) -> None:
    async def cancelled() -> int:
        stats = [await up.get(n, "/stats") for n in up.engine_names()]
        return sum(s.get("cancelled", 0) for s in stats)

    before = await cancelled()
    reader = Reader(up)
    reading = asyncio.create_task(reader.read("mid-a-router-0"))
    await asyncio.sleep(0.3)
    reading.cancel()
    for _ in range(30):
        await asyncio.sleep(0.1)
        if await cancelled() > before:
            return
    raise AssertionError("no engine cancelled the answer")


async def test_a_standard_client_streams_and_reads_errors(up) -> None:
    """The client library reads streams, models and three kinds of errors."""
    client = openai.AsyncOpenAI(
        base_url=f"{up.urls['mid-a-router-0']}/v1",
        api_key="bakery-key",
        max_retries=0,
    )
    stream = await client.chat.completions.create(
        model="loaf-1", messages=MESSAGES, max_tokens=TOKENS, stream=True
    )
    text = ""
    async for chunk in stream:
        text += chunk.choices[0].delta.content or ""
    assert text == WORDS
    assert [m.id for m in (await client.models.list()).data] == ["loaf-1"]
    with pytest.raises(openai.NotFoundError) as caught:
        await client.chat.completions.create(model="x", messages=MESSAGES)
    assert caught.value.code == "2003"
    await set_faults(up, cut_after=5)
    stream = await client.chat.completions.create(
        model="loaf-1", messages=MESSAGES, max_tokens=TOKENS, stream=True
    )
    await asyncio.sleep(0.3)
    await set_faults(up, forget=True)
    with pytest.raises(openai.APIError, match="answer is incomplete"):
        async for _ in stream:
            pass
    unknown_caller = openai.AsyncOpenAI(
        base_url=client.base_url, api_key="nobody", max_retries=0
    )
    with pytest.raises(openai.AuthenticationError):
        await unknown_caller.models.list()
    await unknown_caller.close()
    await client.close()
