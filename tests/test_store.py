"""Tests of the client of the platform's store and of its logs."""

import asyncio
import contextlib
import socket

import aiohttp
from aiohttp import test_utils
from aiohttp import web
import pytest
import pytest_asyncio

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import connections
from bulrushdale.forwarding import sessions
from bulrushdale.platform import log as log_module
from bulrushdale.platform import store as store_module
from bulrushdale import records
from examples import ports
from examples.standins import scripted_target
from examples.standins import store as store_standin


@pytest.fixture
def unreachable_address():
    """The address of a port whose accept queue is full.

    The operating system drops every further request to connect to it.
    """
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind((ports.HOST, 0))
        listener.listen(0)
        address = listener.getsockname()
        for _ in range(4):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(address)
        yield f"{address[0]}:{address[1]}"


@pytest.mark.parametrize("wait_ms", [0, 500])
async def test_call_to_unreachable_store_fails_soon(
    unreachable_address, wait_ms
):
    """A call to an unreachable store must fail soon.

    Otherwise the next attempt, after the network is back, waits for this one.
    """
    loop = asyncio.get_running_loop()
    async with aiohttp.ClientSession() as session:
        store = store_module.Store(session, f"http://{unreachable_address}")
        start_s = loop.time()
        with pytest.raises(records.SourceError):
            await store.read("keyed.op", 0, wait_ms)
    limit_ms = connections.CONNECT_TIMEOUT_MS
    assert (loop.time() - start_s) * 1_000 < 3 * limit_ms


@pytest_asyncio.fixture
async def store_and_log():
    """A stand-in for the store and a log in it."""
    async with contextlib.AsyncExitStack() as stack:
        standin = store_standin.Store()
        runner = web.AppRunner(standin.app(), shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        (port,) = ports.free_ports(1)
        await web.TCPSite(runner, ports.HOST, port).start()
        session = await stack.enter_async_context(aiohttp.ClientSession())
        store = store_module.Store(session, f"http://{ports.HOST}:{port}")
        yield standin, log_module.Log(store, clock_module.Clock())


async def test_records_are_read_in_order(store_and_log):
    _, log = store_and_log
    for number in range(3):
        assert await log.append("orders", {"number": number}) == number
    page = await log.read("orders", 1)
    assert (page.first_offset, page.end_offset) == (0, 3)
    assert [(r.offset, r.data["number"]) for r in page.records] == [
        (1, 1),
        (2, 2),
    ]


async def test_expired_records_are_skipped(store_and_log):
    standin, log = store_and_log
    await log.append("orders", {"number": 0})
    standin.retention_ms = 0
    await asyncio.sleep(0.002)
    page = await log.read("orders", 0)
    assert (page.first_offset, page.end_offset, page.records) == (1, 1, [])
    assert await log.read_one("orders", 0) is None


async def test_read_one_returns_record_above_size_limit(store_and_log):
    _, log = store_and_log
    text = "x" * 2 * 1024 * log_module.SINGLE_RECORD_MAX_KB
    offset = await log.append("orders", {"text": text})
    record = await log.read_one("orders", offset)
    assert record is not None
    assert record.data == {"text": text}


async def test_only_refused_append_has_no_effect(store_and_log):
    """An append reported as without effect must not be in the log.

    The caller would send it again, and the record would be there twice.
    """
    standin, log = store_and_log
    standin.refuse = 503
    with pytest.raises(records.SourceError) as refused:
        await log.append("orders", {})
    assert not refused.value.may_have_taken_effect
    assert log.failing_since_ms is not None
    standin.refuse = None
    standin.lose_answers = 1
    with pytest.raises(records.SourceError) as unanswered:
        await log.append("orders", {})
    assert unanswered.value.may_have_taken_effect
    page = await log.read("orders", 0)
    assert page.end_offset == 1
    assert log.failing_since_ms is None


@pytest.mark.parametrize("body", [b"not JSON", b"[]", b"{}"])
@pytest.mark.parametrize("status", [200, 410])
async def test_invalid_response_raises_source_error(body, status):
    async def handle(_):
        return web.Response(status=status, body=body)

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", handle)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    (port,) = ports.free_ports(1)
    await web.TCPSite(runner, ports.HOST, port).start()
    try:
        async with aiohttp.ClientSession() as session:
            store = store_module.Store(session, f"http://{ports.HOST}:{port}")
            with pytest.raises(records.SourceError) as appended:
                await store.append("orders", b"{}")
            assert appended.value.may_have_taken_effect
            with pytest.raises(records.SourceError):
                await store.read("keyed.op", 0)
            with pytest.raises(records.SourceError):
                await store.read_newest("keyed.op")
    finally:
        await runner.cleanup()


@contextlib.asynccontextmanager
async def slow_store(pauses_s):
    """A store that sends its newest records in parts, with pauses between."""
    body = (
        b'{"items":[{"offset":3,"key":"config","value":"dg=="}],'
        b'"has_more":false,"end":4}'
    )

    async def handle(request):
        response = web.StreamResponse()
        await response.prepare(request)
        size = -(-len(body) // len(pauses_s))
        for part, pause_s in enumerate(pauses_s):
            await asyncio.sleep(pause_s)
            await response.write(body[part * size : (part + 1) * size])
        await response.write_eof()
        return response

    app = web.Application()
    app.router.add_get("/bulrushdale/log-newest", handle)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    (port,) = ports.free_ports(1)
    await web.TCPSite(runner, ports.HOST, port).start()
    try:
        async with aiohttp.ClientSession() as session:
            yield store_module.Store(
                session, f"http://{ports.HOST}:{port}", timeout_ms=200
            )
    finally:
        await runner.cleanup()


async def test_slow_response_is_read_while_data_arrives():
    """Only a silent store times out, not one that keeps sending.

    A configuration of 600 KB takes a second over a link of 5 Mbit/s.
    """
    async with slow_store([0.1] * 5) as store:
        page = await store.read_newest("keyed.op")
    assert page.records == [records.KeyedRecord(3, "config", b"v")]


async def test_stalled_response_times_out():
    async with slow_store([0, 0, 5]) as store:
        with pytest.raises(records.SourceError):
            await store.read_newest("keyed.op")


async def test_undecodable_record_is_read_as_empty(store_and_log):
    standin, log = store_and_log
    await standin.put("orders", "", b"not a record")
    await log.append("orders", {"number": 1})
    page = await log.read("orders", 0)
    assert [record.data for record in page.records] == [{}, {"number": 1}]


@contextlib.asynccontextmanager
async def store_naming_eras(*eras):
    """A client of a store whose answers name these eras, one by one."""
    named = iter(eras)

    async def answer(request):
        era = next(named)
        headers = {} if era is None else {"Store-Era": era}
        return web.Response(body=bytes(16), headers=headers)

    app = web.Application()
    app.router.add_get("/bulrushdale/log-read", answer)
    server = test_utils.TestServer(app)
    await server.start_server()
    async with aiohttp.ClientSession() as session:
        yield store_module.Store(session, str(server.make_url("/")))
    await server.close()


@pytest.mark.parametrize(
    "odd", [None, "", "x", "-1", "2.0", "²", "9" * 5_000, "1e3", "1000001"]
)
async def test_response_without_a_valid_era_changes_no_era(odd):
    async with store_naming_eras("2", odd, "2") as store:
        for _ in range(3):
            page = await store.read("keyed.op", 0)
            assert page.era == store.era == 2


async def test_response_of_an_earlier_era_is_rejected():
    async with store_naming_eras("2", "3", "2", "3") as store:
        for _ in range(2):
            await store.read("keyed.op", 0)
        with pytest.raises(records.SourceError):
            await store.read("keyed.op", 0)
        assert (await store.read("keyed.op", 0)).era == 3


async def test_store_that_names_no_era_is_read_as_before():
    async with store_naming_eras(None, None) as store:
        for _ in range(2):
            assert (await store.read("keyed.op", 0)).era == 0


@pytest.mark.parametrize("missing_bytes", range(1, 11))
async def test_read_that_ends_within_a_record_skips_no_record(missing_bytes):
    # A store without lengths that is killed ends its response in order.
    record = store_module._frame(b"\x01kvalue")
    end_offset, first_offset = (2).to_bytes(8), bytes(8)
    body = end_offset + first_offset + 2 * record

    async def serve(request):
        response = web.StreamResponse()
        response.force_close()
        response._length_check = False
        await response.prepare(request)
        await response.write(body[:-missing_bytes])
        return response

    app = web.Application()
    app.router.add_get("/bulrushdale/log-read", serve)
    async with (
        test_utils.TestServer(app) as server,
        aiohttp.ClientSession() as session,
    ):
        store = store_module.Store(session, str(server.make_url("")))
        with pytest.raises(records.SourceError, match="within a frame"):
            await store.read("keyed.op", 0)


@contextlib.asynccontextmanager
async def store_answering_twice():
    """A client of a store that writes its first answer once more."""

    async def answer(request, writer):
        topic = request.line.partition("topic=")[2].partition("&")[0]
        content = len(topic).to_bytes(4) + topic.encode()
        response = scripted_target.response(request, body=bytes(16) + content)
        writer.write(response)
        if topic == "first":
            loop = asyncio.get_running_loop()
            loop.call_later(0.02, writer.write, response)

    target = scripted_target.ScriptedTarget(answer)
    await target.start()
    async with sessions.open_session() as session:
        yield store_module.Store(session, f"http://{target.address}")
    await target.stop()


async def test_second_answer_is_not_that_to_the_next_read():
    """All later reads on the connection got records of the topic before."""
    async with store_answering_twice() as store:
        for topic in ("first", "second", "third"):
            page = await store.read_raw(topic, 0)
            assert page.records == [topic.encode()]
            await asyncio.sleep(0.05)
