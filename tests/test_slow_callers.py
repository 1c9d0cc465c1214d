"""Callers that stop reading their answer for some seconds."""

import asyncio
import socket

import pytest

from examples.standins import scripted_target
from tests import gateway_fixtures

PAUSE_S = 4
RECEIVE_BUFFER_BYTES = 4_096


def large_answer(size_bytes):
    """Return a script that answers with a body of a size."""

    async def script(request, writer):
        writer.write(scripted_target.response(request, body=b"x" * size_bytes))
        await writer.drain()

    return script


async def large_stream(request, writer):
    writer.write(scripted_target.stream_head(request))
    for number in range(300):
        event = b"id: %d\ndata: %b\n\n" % (number, b"x" * 10_000)
        writer.write(scripted_target.chunk(event))
    writer.write(scripted_target.chunk(b""))
    await writer.drain()


@pytest.mark.parametrize(
    ("path", "script", "size_bytes"),
    [
        ("/order/x", large_answer(3_000_000), 3_000_000),
        ("/order/x", large_answer(900_000), 900_000),
        ("/plan/x", large_stream, 3_000_000),
    ],
    ids=["large", "buffered", "stream"],
)
async def test_caller_that_stops_reading_gets_the_rest_of_its_answer(
    path, script, size_bytes
):
    async with gateway_fixtures.running_deployment("t1") as deployment:
        await deployment.publish(version=2, timeout_ms=20_000)
        await asyncio.sleep(0.5)
        deployment.targets[0].script = script
        settings = deployment.routers[0].settings
        sock = socket.socket()
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (settings.host, settings.caller_port))
        reader, writer = await asyncio.open_connection(sock=sock, limit=1_024)
        writer.write(
            f"POST {path} HTTP/1.1\r\nHost: example.test\r\n"
            "X-Request-Id: q1\r\nX-Deadline-Ms: 20000\r\n"
            "Authorization: Bearer key-1\r\nConnection: close\r\n\r\n".encode()
        )
        await asyncio.sleep(PAUSE_S)
        received = await reader.read()
        writer.close()
    assert received.startswith(b"HTTP/1.1 200")
    assert received.count(b"x") >= size_bytes
