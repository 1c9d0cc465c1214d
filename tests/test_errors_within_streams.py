"""Errors of a target that is to resume a stream which has begun."""

import asyncio

import aiohttp
import pytest

from bulrushdale.routing import versions
from examples.standins import scripted_target
from tests import gateway_fixtures

ERROR_TEXT = b"error: out of memory"
EVENTS = [scripted_target.event(number) for number in range(5)]


async def break_off(request, writer):
    writer.write(scripted_target.stream_head(request))
    for event in EVENTS[:2]:
        writer.write(scripted_target.chunk(event))
    await writer.drain()
    await asyncio.sleep(0.05)
    return False


def answer(status, body=ERROR_TEXT, **extra):
    async def script(request, writer):
        writer.write(scripted_target.response(request, status, body, **extra))

    return script


async def answer_within_events(request, writer):
    writer.write(scripted_target.stream_head(request))
    writer.write(scripted_target.chunk(b"data: error\n\n" + ERROR_TEXT))
    writer.write(scripted_target.chunk(b""))


async def answer_twice(request, writer):
    """Write a second response, head and all, into the body of the first."""
    second = scripted_target.response(request, "500 Broken", ERROR_TEXT)
    writer.write(scripted_target.stream_head(request))
    writer.write(scripted_target.chunk(second + b"\n\n"))
    writer.write(scripted_target.chunk(b""))


OLD_COMPOSITION = [
    versions.DatedComposition(-60_000, versions.Composition((("v1", 1),)))
]
JSON = {"Content_Type": "application/json"}
ERRORS = {
    "failure": answer("500 Broken"),
    "busy": answer("503 Busy"),
    "rejected": answer("503 Full", X_Not_Executed="1"),
    "not found": answer("404 Gone"),
    "large failure": answer("500 Broken", ERROR_TEXT * 100_000),
    "JSON": answer("200 OK", b'{"error": 1}\n\n' + ERROR_TEXT, **JSON),
    "JSON in lines": answer("200 OK", ERROR_TEXT + b"\n\n", **JSON),
    "empty": answer("200 OK", b"", Content_Type="text/html"),
    "no content": answer("204 No Content", b""),
    "event without an id": answer_within_events,
    "whole response": answer_twice,
}


def headers(request_id, **extra):
    return {
        "Host": "example.test",
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "3000",
        "Authorization": "Bearer key-1",
        **extra,
    }


async def read_stream(response):
    """Return what was received, and whether it ended as complete."""
    received = b""
    try:
        async for data in response.content.iter_any():
            received += data
    except aiohttp.ClientError:
        return received, False
    return received, True


@pytest.mark.parametrize("error", ERRORS.values(), ids=ERRORS.keys())
async def test_error_of_the_next_target_stays_out_of_the_stream(error):
    async with gateway_fixtures.running_deployment("t1", "t2") as deployment:
        seen = []

        async def script(request, writer):
            seen.append(request)
            chosen = break_off if len(seen) == 1 else error
            return await chosen(request, writer)

        for target in deployment.targets:
            target.script = script
        async with (
            aiohttp.ClientSession() as caller,
            caller.post(
                deployment.url("/plan/x"), headers=headers("q1")
            ) as response,
        ):
            received, complete = await read_stream(response)
        assert len(seen) >= 2
        assert received == b"".join(EVENTS[:2])
        assert not complete


@pytest.mark.parametrize("error", ERRORS.values(), ids=ERRORS.keys())
async def test_error_is_not_the_rest_of_a_stream_that_is_taken_up(error):
    async with gateway_fixtures.running_deployment("t1") as deployment:
        await asyncio.sleep(0.3)
        deployment.targets[0].script = error
        deployment.routers[0]._version_history.restore("oven", OLD_COMPOSITION)
        async with (
            aiohttp.ClientSession() as caller,
            caller.post(
                deployment.url("/plan/x"),
                headers=headers(
                    "q2", **{"Resumes": "q1", "Last-Event-Id": "1"}
                ),
            ) as response,
        ):
            received, complete = await read_stream(response)
        assert response.status >= 400 or (not complete and not received)
