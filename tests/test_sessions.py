"""Connections that HTTP client sessions reuse."""

import asyncio
import contextlib
import logging

import pytest

from bulrushdale.forwarding import carried_requests
from bulrushdale.forwarding import sessions
from examples.standins import scripted_target

ID_HEADER = "X-Request-Id"
# More than the kernel buffers.
LONG_BODY_BYTES = 8 << 20


async def respond(request, writer):
    writer.write(scripted_target.response(request))


class Client:
    """A session, a target, and how requests got their connections."""

    def __init__(self, target):
        self.target = target
        self.outcomes = []
        self._url = f"http://{target.address}/x"
        self.session = sessions.open_session(
            id_header=ID_HEADER, on_use=self.outcomes.append
        )

    async def send(self, request_id):
        headers = {} if request_id is None else {ID_HEADER: request_id}
        async with self.session.get(self._url, headers=headers) as response:
            await response.read()


@pytest.fixture
async def client():
    target = scripted_target.ScriptedTarget(respond)
    await target.start()
    found = Client(target)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(target.stop)
        await stack.enter_async_context(found.session)
        yield found


async def test_connection_that_carried_a_request_does_not_carry_it_again(
    client,
):
    for request_id in ("q1", "q2", "q1", "q3"):
        await client.send(request_id)
    assert client.outcomes == [
        "opened",
        "reused",
        "ambiguous",
        "opened",
        "reused",
    ]


async def test_request_without_an_id_takes_a_new_connection(client):
    for request_id in ("q1", None, None, "q2"):
        await client.send(request_id)
    assert client.outcomes == [
        "opened",
        "ambiguous",
        "opened",
        "ambiguous",
        "opened",
        "reused",
    ]


async def test_connection_remembers_a_bounded_number_of_requests(client):
    limit = carried_requests.MAX_CARRIED_REQUESTS
    for number in range(2 * limit + 1):
        await client.send(f"q{number}")
    assert client.outcomes.count("opened") == 3
    assert client.outcomes.count("full") == 2
    assert client.outcomes.count("reused") == 2 * (limit - 1)


async def test_complete_response_is_not_logged_as_abandoned(client, caplog):
    caplog.set_level(logging.INFO)

    async def close_after_response(request, writer):
        writer.write(scripted_target.response(request, Connection="close"))

    client.target.script = close_after_response
    await client.send("q1")
    events = [getattr(record, "event", "") for record in caplog.records]
    assert "answer.abandoned" not in events


async def test_connection_whose_responses_name_no_request_is_not_reused(
    client,
):
    async def respond_without_id(request, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    client.target.script = respond_without_id
    for request_id in ("q1", "q2"):
        await client.send(request_id)
    assert client.outcomes == ["opened", "opened"]


@pytest.mark.parametrize("copied_bytes", [1, 30, None])
async def test_copy_on_an_idle_connection_does_not_delay_the_next_request(
    client, copied_bytes
):
    async def respond_twice(request, writer):
        response = scripted_target.response(request)
        writer.write(response)
        loop = asyncio.get_running_loop()
        loop.call_later(0.01, writer.write, response[:copied_bytes])

    client.target.script = respond_twice
    async with asyncio.timeout(2):
        await client.send("q1")
        await asyncio.sleep(0.05)
        await client.send("q2")
    assert client.outcomes == ["opened", "unasked", "opened"]


async def test_session_without_ids_reuses_connections():
    target = scripted_target.ScriptedTarget(respond)
    await target.start()
    outcomes = []
    async with sessions.open_session(on_use=outcomes.append) as session:
        for _ in range(3):
            async with session.get(f"http://{target.address}/x") as response:
                await response.read()
    await target.stop()
    assert outcomes == ["opened", "reused", "reused"]


async def test_refused_request_is_not_delivered_after_its_refusal():
    """The rest of a long body was sent on after another target had it."""
    received = asyncio.Queue()

    async def refuse_early(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 503 Full\r\nX-Request-Id: q1\r\nX-Not-Executed: 1\r\n"
            b"Connection: close\r\nContent-Length: 0\r\n\r\n"
        )
        await asyncio.sleep(0.1)
        size_bytes = 0
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(1 << 16):
                size_bytes += len(data)
        await received.put(size_bytes)
        writer.close()

    server = await asyncio.start_server(refuse_early, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with sessions.open_session(id_header=ID_HEADER) as session:
        async with session.post(
            f"http://{host}:{port}/x",
            headers={ID_HEADER: "q1"},
            data=bytes(LONG_BODY_BYTES),
        ) as response:
            assert response.status == 503
        async with asyncio.timeout(5):
            assert await received.get() < LONG_BODY_BYTES
    server.close()
