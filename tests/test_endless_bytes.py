"""Responses without an end, and stalled streams that still send bytes.

Targets send as fast as the router reads, until it closes the connection.
"""

import asyncio
import contextlib
import time

import aiohttp
import psutil
import pytest

from bulrushdale.forwarding import attempt
from bulrushdale.forwarding import events
from bulrushdale.forwarding import proxy
from bulrushdale.forwarding import sessions
from examples.standins import scripted_target
from tests import gateway_fixtures

# Far above what a router may buffer of one response, and far below what an
# endless one sends before the deadline.
MAX_MEMORY_GROWTH_BYTES = 40 << 20
BLOCK = b"x" * 65_536


@pytest.fixture
async def deployment():
    """Start a store with a configuration, one target and a router."""
    async with gateway_fixtures.running_deployment("t1") as deployment:
        yield deployment


def headers(deadline_ms=1_500):
    return {
        "Host": "example.test",
        "X-Request-Id": "q1",
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": "Bearer key-1",
    }


def endless_script(head, block, closed):
    """Return a script that sends a head and then a block endlessly.

    :param head: returns the response head for a request.
    :param block: bytes that are repeated until the connection closes.
    :param closed: event that is set when the connection closes.
    """

    async def script(request, writer):
        writer.write(head(request))
        try:
            while True:
                writer.write(block)
                await writer.drain()
                await asyncio.sleep(0)
        except ConnectionError:
            return False
        finally:
            closed.set()

    return script


def plain_head(request):
    return (
        "HTTP/1.1 200 OK\r\n"
        f"X-Request-Id: {request.request_id}\r\n"
        "X-Server-Seal: seal\r\n"
    ).encode()


def chunked_head(request):
    return plain_head(request) + b"Transfer-Encoding: chunked\r\n\r\n"


def unframed_head(request):
    return plain_head(request) + b"Connection: close\r\n\r\n"


def stray_head(request):
    head = scripted_target.stream_head(request)
    return head.replace(request.request_id.encode(), b"another")


def complete_response(request):
    if "/order/" in request.line:
        return scripted_target.response(request)
    event = scripted_target.event(0)
    body = scripted_target.chunk(event) + scripted_target.chunk(b"")
    return scripted_target.stream_head(request) + body


ENDLESS = {
    "no_head": (lambda _: b"", BLOCK),
    "status_line": (lambda _: b"HTTP/1.1 200 ", BLOCK),
    "header_fields": (plain_head, b"X-More: 1\r\n" * 5_000),
    "one_header_field": (lambda r: plain_head(r) + b"X-More: ", BLOCK),
    "body_without_length": (unframed_head, BLOCK),
    "body_in_chunks": (chunked_head, scripted_target.chunk(BLOCK)),
    "chunk_extension": (lambda r: chunked_head(r) + b"5;a=", BLOCK),
    "trailers": (
        lambda r: chunked_head(r) + b"0\r\n",
        b"X-More: 1\r\n" * 5_000,
    ),
    "after_a_response": (complete_response, BLOCK),
    "stray_response": (stray_head, scripted_target.chunk(BLOCK)),
    "event": (scripted_target.stream_head, scripted_target.chunk(BLOCK)),
    "informational_responses": (
        lambda _: b"",
        b"HTTP/1.1 100 Continue\r\n\r\n" * 2_500,
    ),
    "empty_stray_responses": (
        lambda _: b"",
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Request-Id: another\r\n"
        b"\r\n" * 1_000,
    ),
}


@pytest.mark.parametrize("path", ["/order/x", "/plan/x", "/chat/x"])
@pytest.mark.parametrize("name", ENDLESS)
async def test_endless_data_ends_with_the_request(deployment, name, path):
    """The router cuts it off in time and uses little memory.

    The response is complete only if the data follows a complete response.
    """
    closed = asyncio.Event()
    deployment.targets[0].script = endless_script(*ENDLESS[name], closed)
    rss_before = psutil.Process().memory_info().rss
    started = time.monotonic()
    async with aiohttp.ClientSession() as caller:
        size_bytes = 0
        try:
            async with caller.post(
                deployment.url(path), headers=headers()
            ) as response:
                async for data in response.content.iter_any():
                    size_bytes += len(data)
                complete = response.status == 200
        except aiohttp.ClientError:
            complete = False
    assert time.monotonic() - started < 2.5
    assert complete == (name == "after_a_response")
    growth_bytes = psutil.Process().memory_info().rss - rss_before
    assert growth_bytes < MAX_MEMORY_GROWTH_BYTES
    assert size_bytes <= proxy.MAX_RESPONSE_BYTES + len(BLOCK)
    async with asyncio.timeout(0.5):
        await closed.wait()


@pytest.mark.parametrize("name", ENDLESS)
async def test_other_callers_are_served_beside_endless_data(deployment, name):
    closed = asyncio.Event()
    endless = endless_script(*ENDLESS[name], closed)

    async def script(request, writer):
        if "/order/" in request.line:
            return await endless(request, writer)
        return await gateway_fixtures.respond(request, writer)

    deployment.targets[0].script = script
    async with aiohttp.ClientSession() as caller:

        async def order():
            with contextlib.suppress(aiohttp.ClientError):
                async with caller.post(
                    deployment.url("/order/x"), headers=headers()
                ) as response:
                    await response.read()

        endless_order = asyncio.create_task(order())
        for number in range(10):
            async with caller.post(
                deployment.url("/plan/x"),
                headers={**headers(), "X-Request-Id": f"other{number}"},
            ) as response:
                body = await response.read()
                assert response.status == 200, body
                assert body.count(b"id:") == 5
        await endless_order


async def test_connection_with_too_many_stray_responses_is_closed(
    deployment, caplog
):
    """The router parsed and logged them until the deadline."""
    closed = asyncio.Event()
    deployment.targets[0].script = endless_script(
        *ENDLESS["empty_stray_responses"], closed
    )
    async with (
        aiohttp.ClientSession() as caller,
        caller.post(deployment.url("/order/x"), headers=headers()) as response,
    ):
        assert response.status == 502
    strays = [
        record
        for record in caplog.records
        if getattr(record, "event", "") == "answer.stray"
    ]
    assert len(strays) <= 1 + sessions.MAX_STRAY_RESPONSES
    assert closed.is_set()


async def test_endless_body_waits_for_a_caller_who_reads_slowly(deployment):
    closed = asyncio.Event()
    deployment.targets[0].script = endless_script(
        *ENDLESS["body_in_chunks"], closed
    )
    rss_before = psutil.Process().memory_info().rss
    async with aiohttp.ClientSession() as caller:
        with contextlib.suppress(aiohttp.ClientError):
            async with caller.post(
                deployment.url("/order/x"), headers=headers()
            ) as response:
                async for _ in response.content.iter_chunked(1_000):
                    await asyncio.sleep(0.05)
    growth_bytes = psutil.Process().memory_info().rss - rss_before
    assert growth_bytes < MAX_MEMORY_GROWTH_BYTES
    async with asyncio.timeout(1):
        await closed.wait()


async def test_large_response_is_relayed_completely(deployment):
    body = bytes(range(256)) * (attempt.MAX_BUFFERED_BYTES // 64)

    async def script(request, writer):
        writer.write(scripted_target.response(request, body=body))

    deployment.targets[0].script = script
    async with (
        aiohttp.ClientSession() as caller,
        caller.post(deployment.url("/order/x"), headers=headers()) as response,
    ):
        assert response.status == 200
        assert response.headers["X-Server-Seal"] == "seal"
        assert await response.read() == body


async def test_large_response_that_is_cut_short_is_reported_as_incomplete(
    deployment,
):
    async def script(request, writer):
        writer.write(plain_head(request) + b"Content-Length: 9000000\r\n\r\n")
        writer.write(b"x" * (2 * attempt.MAX_BUFFERED_BYTES))
        await writer.drain()
        return False

    deployment.targets[0].script = script
    with pytest.raises(aiohttp.ClientError):
        async with (
            aiohttp.ClientSession() as caller,
            caller.post(
                deployment.url("/order/x"), headers=headers()
            ) as response,
        ):
            await response.read()


def trickle_script(piece):
    async def script(request, writer):
        writer.write(scripted_target.stream_head(request))
        writer.write(scripted_target.chunk(scripted_target.event(0)))
        while True:
            writer.write(scripted_target.chunk(piece))
            await asyncio.sleep(0.1)

    return script


@pytest.mark.parametrize("piece", [b"d", b": still here\n\n", b"\n\n"])
async def test_stalled_stream_is_resumed_at_another_target(deployment, piece):
    """Bytes that complete no event may arrive from time to time."""
    stalled = trickle_script(piece)
    seen = []

    async def script(request, writer):
        seen.append(request)
        if len(seen) == 1:
            return await stalled(request, writer)
        return await gateway_fixtures.respond(request, writer)

    await deployment.add_target("t2")
    for target in deployment.targets:
        target.script = script
    await asyncio.sleep(0.8)
    async with (
        aiohttp.ClientSession() as caller,
        caller.post(
            deployment.url("/plan/x"), headers=headers(3_000)
        ) as response,
    ):
        body = await response.read()
    expected = b"".join(scripted_target.event(n) for n in range(5))
    assert body.replace(b": still here", b"").split() == expected.split()


async def test_slow_stream_with_regular_events_is_not_abandoned(deployment):
    async def script(request, writer):
        writer.write(scripted_target.stream_head(request))
        for number in range(5):
            writer.write(scripted_target.chunk(scripted_target.event(number)))
            await asyncio.sleep(0.5)
        writer.write(scripted_target.chunk(b""))

    deployment.targets[0].script = script
    async with (
        aiohttp.ClientSession() as caller,
        caller.post(
            deployment.url("/plan/x"), headers=headers(3_000)
        ) as response,
    ):
        body = await response.read()
    assert body == b"".join(scripted_target.event(n) for n in range(5))
    assert len(deployment.targets[0].received) == 1


def test_event_without_end_is_a_fault():
    parser = events.EventParser(None)
    parsed = [parser.feed(b"data: " + BLOCK) for _ in range(20)]
    assert parsed[-1].error is not None
    assert sum(f.error is None for f in parsed) <= (
        events.MAX_EVENT_BYTES // len(BLOCK)
    )


async def test_response_of_store_or_peer_is_bounded(deployment):
    target = deployment.targets[0]
    target.script = endless_script(unframed_head, BLOCK, asyncio.Event())
    async with (
        sessions.open_session() as session,
        session.get(f"http://{target.address}/") as response,
    ):
        with pytest.raises(aiohttp.ClientPayloadError):
            await sessions.read_bounded(response, 1 << 20)
