"""Requests whose callers leave before a router has read them."""

import asyncio
import socket

import aiohttp
import pytest

from tests import gateway_fixtures

CALLERS = 5


@pytest.fixture
async def deployment():
    """Start a store with a configuration, one target and a router."""
    async with gateway_fixtures.running_deployment("t1") as deployment:
        yield deployment


def headers(name):
    return {
        "Host": "example.test",
        "X-Request-Id": name,
        "X-Deadline-Ms": "1500",
        "Authorization": "Bearer key-1",
    }


async def open_connections_to_the_target(deployment):
    """Leave the router with idle connections, which it uses again."""
    async with aiohttp.ClientSession() as caller:

        async def send(number):
            async with caller.post(
                deployment.url("/plan/x"), headers=headers(f"warm{number}")
            ) as response:
                assert response.status == 200
                await response.read()

        await asyncio.gather(*(send(number) for number in range(CALLERS)))


async def test_request_of_a_caller_that_left_before_it_was_read_is_not_sent(
    deployment,
):
    # The router read it, sent it on, and read the end of the connection then.
    await open_connections_to_the_target(deployment)
    settings = deployment.routers[0].settings
    # Nothing is awaited, so the router reads only when all have left.
    for number in range(CALLERS):
        lines = [
            "POST /plan/x HTTP/1.1",
            *(f"{n}: {v}" for n, v in headers(f"left{number}").items()),
            "Content-Length: 4",
            "",
            "body",
        ]
        with socket.create_connection(
            (settings.host, settings.caller_port)
        ) as caller:
            caller.sendall("\r\n".join(lines).encode())
    await asyncio.sleep(0.3)
    sent = [request.request_id for request in deployment.targets[0].received]
    assert not [name for name in sent if name.startswith("left")]
