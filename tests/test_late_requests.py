"""Requests that arrive late in a planned stop."""

import asyncio

import aiohttp
import pytest

from tests import gateway_fixtures

NOTICE_MS = 300
TIMEOUT_MS = 2_000
# A connection that was accepted has this time to deliver its request.
CLOSED_AFTER_MS = NOTICE_MS + 250


@pytest.fixture
async def deployment():
    """Start a target and two routers; the second one is to stop."""
    async with gateway_fixtures.running_deployment("t1") as deployment:
        router = await deployment.add_router(
            router="r2",
            drain_notice_ms=NOTICE_MS,
            drain_timeout_ms=TIMEOUT_MS,
        )
        await deployment.wait_ready(router)
        yield deployment


def make_request(path, body, sent_bytes):
    head = (
        f"POST {path} HTTP/1.1\r\nHost: example.test\r\n"
        "X-Request-Id: q1\r\nX-Deadline-Ms: 10000\r\n"
        "Authorization: Bearer key-1\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode()
    return head + body[:sent_bytes], body[sent_bytes:]


@pytest.mark.parametrize("path", ["/order/1", "/lookup/1", "/chat/1"])
async def test_request_whose_body_ends_late_is_refused_as_not_run(
    deployment, path
):
    router = deployment.routers.pop()
    settings = router.settings
    reader, writer = await asyncio.open_connection(
        settings.host, settings.caller_port
    )
    first, rest = make_request(path, b"x" * 100, 50)
    writer.write(first)
    await asyncio.sleep(0.1)
    stop = asyncio.create_task(router.stop())
    await asyncio.sleep(CLOSED_AFTER_MS / 1000 + 0.3)
    writer.write(rest)
    response = await reader.read()
    writer.close()
    await stop
    assert response.startswith(b"HTTP/1.1 503")
    assert b"Retry-After" in response
    assert not deployment.targets[0].received


@pytest.mark.parametrize("path", ["/order/1", "/lookup/1", "/chat/1"])
@pytest.mark.parametrize("sent_before", [True, False])
async def test_request_that_cannot_end_in_the_grace_gets_an_answer(
    deployment, path, sent_before
):
    """The target works for longer than is left."""

    async def script(request, writer):
        await asyncio.sleep(30)

    deployment.targets[0].script = script
    router = deployment.routers.pop()

    async def send():
        async with (
            aiohttp.ClientSession() as caller,
            caller.post(
                deployment.url(path, router),
                headers={
                    "Host": "example.test",
                    "X-Request-Id": "q1",
                    "X-Deadline-Ms": "10000",
                    "Authorization": "Bearer key-1",
                },
            ) as response,
        ):
            return response.status

    if sent_before:
        waiting = asyncio.create_task(send())
        await asyncio.sleep(0.1)
        stop = asyncio.create_task(router.stop())
    else:
        stop = asyncio.create_task(router.stop())
        await asyncio.sleep(0.1)
        waiting = asyncio.create_task(send())
    status = await waiting
    await stop
    assert status == 504
    (received,) = {r.request_id for r in deployment.targets[0].received}
    assert received == "q1"


async def test_target_is_handed_no_more_time_than_the_grace(deployment):
    router = deployment.routers.pop()
    stop = asyncio.create_task(router.stop())
    await asyncio.sleep(0.1)
    async with (
        aiohttp.ClientSession() as caller,
        caller.post(
            deployment.url("/order/1", router),
            headers={
                "Host": "example.test",
                "X-Request-Id": "q1",
                "X-Deadline-Ms": "10000",
                "Authorization": "Bearer key-1",
            },
        ) as response,
    ):
        assert response.status == 200
    await stop
    (request,) = deployment.targets[0].received
    assert int(request.headers["x-deadline-ms"]) < TIMEOUT_MS
