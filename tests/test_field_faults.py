"""Faults seen in similar systems, reproduced on real sockets.

Each could reach callers as a wrong, incomplete or duplicate response.
"""

import asyncio
import types

import aiohttp
import pytest

from bulrushdale.answers import engine_stream
from bulrushdale.answers import frames
from bulrushdale import clock as clock_module
from examples.standins import scripted_target
from tests import gateway_fixtures

CALLER_COUNT = 20


@pytest.fixture
async def deployment():
    """Start a store with a configuration, one target and a router."""
    async with gateway_fixtures.running_deployment("t1") as deployment:
        yield deployment


@pytest.fixture
async def caller():
    """Open an HTTP client session for callers."""
    async with aiohttp.ClientSession() as session:
        yield session


def headers(request_id, deadline_ms=3_000):
    return {
        "Host": "example.test",
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": "Bearer key-1",
    }


def second_response(request, header_line):
    """Return a signed response that names another request, or none.

    :param header_line: replaces the line of the request id; empty for none.
    """
    data = scripted_target.response(request, body=b"another's")
    line = f"X-Request-Id: {request.request_id}\r\n".encode()
    return data.replace(
        line, f"{header_line}\r\n".encode() if header_line else b""
    )


@pytest.mark.parametrize("delay_s", [0.0, 0.05])
@pytest.mark.parametrize("names_request", [True, False])
async def test_second_response_never_reaches_the_next_caller(
    deployment, caller, delay_s, names_request
):
    """The second response arrives at once or late.

    The next caller's request has not been sent yet, or already waits.
    """

    async def respond_twice(request, writer):
        await asyncio.sleep(0.03)
        writer.write(scripted_target.response(request, body=b"mine"))
        await writer.drain()
        await asyncio.sleep(delay_s)
        header_line = "X-Request-Id: q-old" if names_request else ""
        writer.write(second_response(request, header_line))

    deployment.targets[0].script = respond_twice
    for number in range(6):
        async with caller.post(
            deployment.url("/order/x"), headers=headers(f"q{number}")
        ) as response:
            body = await response.read()
        if response.status == 200:
            assert response.headers["X-Request-Id"] == f"q{number}"
            assert body == b"mine"
        else:
            assert response.status == 502


async def test_accepted_requests_complete_when_a_router_stops_under_load(
    deployment,
):
    """Callers reuse connections and open new ones during the stop."""

    async def respond_slowly(request, writer):
        await asyncio.sleep(0.05)
        writer.write(scripted_target.response(request))

    deployment.targets[0].script = respond_slowly
    url = deployment.url("/order/x")
    outcomes = {"answered": 0, "refused": 0, "not connected": 0, "cut": 0}
    stopped = asyncio.Event()

    async def send_requests(number):
        count = 0
        async with aiohttp.ClientSession() as caller:
            while not stopped.is_set():
                count += 1
                try:
                    async with caller.post(
                        url, headers=headers(f"q{number}-{count}")
                    ) as response:
                        await response.read()
                        outcome = (
                            "refused" if response.status == 503 else "cut"
                        )
                        outcome = (
                            "answered" if response.status == 200 else outcome
                        )
                except aiohttp.ClientConnectorError:
                    outcome = "not connected"
                    await asyncio.sleep(0.02)
                except aiohttp.ClientError:
                    outcome = "cut"
                outcomes[outcome] += 1

    tasks = [
        asyncio.create_task(send_requests(number))
        for number in range(CALLER_COUNT)
    ]
    await asyncio.sleep(0.4)
    await deployment.routers.pop().stop()
    stopped.set()
    await asyncio.gather(*tasks)
    assert outcomes["answered"] >= CALLER_COUNT
    assert outcomes["not connected"] > 0
    assert outcomes["cut"] == 0


def response_head(request, *lines):
    header_lines = [
        "HTTP/1.1 200 OK",
        f"X-Request-Id: {request.request_id}",
        "X-Server-Seal: seal",
        *lines,
    ]
    return ("\r\n".join(header_lines) + "\r\n\r\n").encode()


CUT_RESPONSES = {
    "in_head": lambda r: response_head(r)[:-10],
    "before_body": lambda r: response_head(r, "Content-Length: 9"),
    "in_length": lambda r: response_head(r, "Content-Length: 9") + b"half",
    "in_chunk": lambda r: (
        response_head(r, "Transfer-Encoding: chunked") + b"9\r\nhal"
    ),
    "between_chunks": lambda r: (
        response_head(r, "Transfer-Encoding: chunked")
        + scripted_target.chunk(b"half")
    ),
    "before_last_line": lambda r: (
        response_head(r, "Transfer-Encoding: chunked")
        + scripted_target.chunk(b"half")
        + b"0\r\n"
    ),
}


@pytest.mark.parametrize("path", ["/order/x", "/lookup/x"])
@pytest.mark.parametrize("where", CUT_RESPONSES)
async def test_response_cut_short_is_not_a_success(
    deployment, caller, where, path
):
    """The target closes the connection in order, without a reset."""

    async def script(request, writer):
        writer.write(CUT_RESPONSES[where](request))
        await writer.drain()
        return False

    deployment.targets[0].script = script
    async with caller.post(
        deployment.url(path), headers=headers("q1")
    ) as response:
        assert response.status == 502
        assert "X-Server-Seal" not in response.headers


@pytest.mark.parametrize("change", ["removed", "leaving", "unreachable"])
async def test_running_stream_continues_when_its_target_becomes_unavailable(
    deployment, caller, change
):
    """The target's entry changes, or it accepts no new connections."""

    async def respond_slowly(request, writer):
        writer.write(scripted_target.stream_head(request))
        for number in range(8):
            writer.write(scripted_target.chunk(scripted_target.event(number)))
            await asyncio.sleep(0.2)
        writer.write(scripted_target.chunk(b""))

    for target in deployment.targets:
        target.script = respond_slowly
    pending = asyncio.create_task(
        caller.post(deployment.url("/plan/x"), headers=headers("q1"))
    )
    await asyncio.sleep(0.1)
    other = await deployment.add_target("t2", respond_slowly)
    await asyncio.sleep(0.8)
    entry = gateway_fixtures.make_entry(
        deployment.targets[0].address, state="draining"
    )
    if change == "unreachable":
        await deployment.targets[0].stop()
        router = deployment.routers[0]
        target = router._targets.require("t1")
        router._prober.record_unreachable(target)
    else:
        value = entry if change == "leaving" else b""
        await deployment.store.put("keyed.servers", "t1", value)
    response = await pending
    body = await response.read()
    assert body == b"".join(scripted_target.event(n) for n in range(8))
    ran = [r.request_id for r in deployment.targets[0].received]
    assert ran == ["q1"]
    assert other.received == []


class Trickle:
    """Response body that yields a byte of a comment from time to time."""

    async def readany(self):
        await asyncio.sleep(0.02)
        return b"."


async def test_stalled_engine_response_is_abandoned(monkeypatch):
    """The response would never end if every byte counted as progress."""
    monkeypatch.setattr(engine_stream, "FIRST_FRAME_TIMEOUT_MS", 200)
    source = engine_stream.EngineStream(None, "", "q1", clock_module.Clock())
    source._parser = frames.FrameParser("s1")
    source._response = types.SimpleNamespace(
        content=Trickle(), close=lambda: None
    )
    with pytest.raises(engine_stream.NotStartedError):
        async with asyncio.timeout(1):
            async for _ in source.read():
                pass
