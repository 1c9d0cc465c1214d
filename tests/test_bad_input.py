"""Tests that invalid input is refused with a result code and never runs."""

import asyncio
from collections import abc
import json
import time

import pytest
import pytest_asyncio

from bulrushdale.claims import keys
from examples import deployment

pytestmark = pytest.mark.asyncio(loop_scope="module")

ROUTER = "mid-a-router-0"
NOW_MS = 1_780_000_000_000


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet() -> abc.AsyncIterator[deployment.Deployment]:
    shape = deployment.Shape(
        routers=1,
        engines=1,
        services=1,
        settings={"limits": {"body_bytes": 20_000, "body_timeout_ms": 700}},
    )
    async with deployment.Deployment(shape) as found:
        yield found


async def send(
    fleet: deployment.Deployment,
    method: str,
    path: str,
    key: str = "bakery-key",
    **options: object,
) -> tuple[int, str, str]:
    """Send a request; return its status, result code and whether it ran."""
    headers = {"Authorization": f"Bearer {key}"}
    headers.update(options.pop("headers", {}))
    async with fleet.session.request(
        method, fleet.urls[ROUTER] + path, headers=headers, **options
    ) as response:
        body = json.loads(await response.read())
        error = body.get("error", {})
        return response.status, error.get("code", ""), error.get("ran", "")


@pytest.mark.parametrize(
    ("method", "path", "options", "expected"),
    [
        ("GET", "/nowhere", {}, (404, "2012", "no")),
        ("GET", "/v1/chat/completions", {}, (404, "2012", "no")),
        ("GET", "/v1/models", {"key": ""}, (401, "2002", "no")),
        ("GET", "/v1/models", {"key": "x" * 5_000}, (401, "2002", "no")),
        ("POST", "/v1/chat/completions", {"data": b"{"}, (400, "2001", "no")),
        (
            "POST",
            "/v1/chat/completions",
            {"data": b"[" * 10_000},
            (400, "2001", "no"),
        ),
        (
            "POST",
            "/v1/chat/completions",
            {"data": b"x" * 20_001},
            (413, "2004", "no"),
        ),
        (
            "POST",
            "/v1/chat/completions",
            {"json": {"model": "other", "messages": [{"role": "user"}]}},
            (404, "2003", "no"),
        ),
        ("GET", "/v1/answers", {}, (403, "2010", "no")),
        (
            "GET",
            "/v1/answers",
            {"headers": {"Last-Event-ID": "eHh4.1"}},
            (403, "2010", "no"),
        ),
        ("POST", "/services/none/x", {}, (404, "2009", "no")),
        ("POST", "/services/orders/x", {}, (400, "2005", "no")),
        (
            "POST",
            "/services/orders/x",
            {"headers": {"Idempotency-Key": "order-1"}},
            (400, "2006", "no"),
        ),
    ],
)
async def test_refusal(fleet, method, path, options, expected) -> None:
    assert await send(fleet, method, path, **options) == expected
    assert await fleet.effects() == {}


async def test_a_slow_body_is_refused(fleet) -> None:
    async def send_slowly() -> abc.AsyncIterator[bytes]:
        for _ in range(30):
            yield b"{"
            await asyncio.sleep(0.1)

    found = await send(
        fleet, "POST", "/v1/chat/completions", data=send_slowly()
    )
    assert found == (408, "2011", "no")


async def send_raw(fleet: deployment.Deployment, data: bytes) -> bytes:
    port = fleet.router_ports[ROUTER][0]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    try:
        return await asyncio.wait_for(reader.read(4_000), 3)
    finally:
        writer.close()


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: 4\r\nContent-Length: 5\r\n",
        b"Content-Length: +4\r\n",
        b"Transfer-Encoding: xchunked\r\n",
        b"X-Bad\x00: 1\r\n",
        b"X-Long: " + b"a" * 20_000 + b"\r\n",
    ],
)
async def test_smuggled_framing_is_refused(fleet, framing: bytes) -> None:
    key = keys.generate(NOW_MS).encode()
    response = await send_raw(
        fleet,
        b"POST /services/orders/x HTTP/1.1\r\nHost: x\r\n"
        b"Authorization: Bearer bakery-key\r\n"
        b"Idempotency-Key: " + key + b"\r\n" + framing + b"\r\n0\r\n\r\n",
    )
    assert response.split()[1] == b"400"
    assert await fleet.effects() == {}


async def test_a_caller_can_not_choose_its_team(fleet) -> None:
    key = keys.generate(time.time_ns() // 1_000_000)
    async with fleet.session.post(
        f"{fleet.urls[ROUTER]}/services/orders/x",
        headers={
            "Authorization": "Bearer agencia-key",
            "Idempotency-Key": key,
            "X-Team": "bakery",
            "Connection": "close, X-Request-Id",
        },
    ) as response:
        assert response.status == 200
        request_id = response.headers["X-Request-Id"]
    _, timeline = await fleet.operator(ROUTER, "GET", f"/explain/{request_id}")
    assert timeline["team"] == "agencia"


@pytest.mark.parametrize(
    ("method", "path", "options", "expected"),
    [
        ("GET", "/catalogue/team/none", {}, (404, "5004")),
        ("GET", "/catalogue/planet/x", {}, (422, "5001")),
        ("PUT", "/catalogue/team/Bad%20Name", {"json": {}}, (422, "5001")),
        ("PUT", "/catalogue/class/x", {"data": b"{"}, (422, "5001")),
        ("PUT", "/catalogue/class/x", {"json": {"w": 1}}, (422, "5001")),
        (
            "PUT",
            "/catalogue/class/x",
            {"json": {"weight": 1, "queue_ms": 1}},
            (428, "5006"),
        ),
        (
            "PUT",
            "/catalogue/class/gold",
            {
                "json": {"weight": 1, "queue_ms": 1},
                "headers": {"If-Match": '"999"'},
            },
            (412, "5002"),
        ),
        (
            "PUT",
            "/catalogue/promise/fleet",
            {
                "json": {"key_life_ms": 100_000_000},
                "headers": {"If-Match": '"1"'},
            },
            (422, "5001"),
        ),
        ("DELETE", "/catalogue/class/none", {}, (404, "5004")),
        ("GET", "/explain/nothing", {}, (404, "5004")),
    ],
)
async def test_operator_refusal(
    fleet, method, path, options, expected
) -> None:
    status, body = await fleet.operator(ROUTER, method, path, **options)
    assert (status, body["error"]["code"]) == expected


async def test_operators_need_their_key(fleet) -> None:
    status, body = await fleet.operator(
        ROUTER, "GET", "/catalogue", headers={"Authorization": "Bearer no"}
    )
    assert (status, body["error"]["code"]) == (401, "2002")


async def test_an_unauthenticated_peer_gets_no_link(fleet) -> None:
    from grpclib import client
    from grpclib import exceptions

    from bulrushdale.control import control_grpc
    from bulrushdale.control import control_pb2 as pb

    channel = client.Channel("127.0.0.1", fleet.router_ports[ROUTER][2])
    stub = control_grpc.ControlStub(channel)
    with pytest.raises((exceptions.GRPCError, exceptions.ProtocolError)):
        async with stub.Exchange.open(
            metadata={"x-router": "mid-a-router-9 1", "x-proof": "0"}
        ) as stream:
            hello = pb.Hello(router="mid-a-router-9", data_centre="mid-a")
            await stream.send_message(pb.Frame(hello=hello))
            if await stream.recv_message() is None:
                raise exceptions.ProtocolError("closed")
    channel.close()
    _, view = await fleet.operator(ROUTER, "GET", "/fleet")
    assert view["links"] == []
