"""The client of the platform's store."""

import asyncio
import contextlib
import socket

import aiohttp
from aiohttp import web
import pytest
import pytest_asyncio

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import connections
from bulrushdale.platform import log as log_module
from bulrushdale.platform import store as store_module
from bulrushdale import records
from examples import ports
from examples.standins import store as store_standin


@pytest.fixture
def silent_address():
    """A port where the system drops every request to connect."""
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
async def test_store_that_is_cut_off_is_given_up_soon(silent_address, wait_ms):
    """After the cut the next try must not wait for the end of this one."""
    loop = asyncio.get_running_loop()
    async with aiohttp.ClientSession() as session:
        store = store_module.Store(session, f"http://{silent_address}")
        begun = loop.time()
        with pytest.raises(records.SourceError):
            await store.read("keyed.op", 0, wait_ms)
    limit_ms = connections.CONNECT_TIMEOUT_MS
    assert (loop.time() - begun) * 1_000 < 3 * limit_ms


@pytest_asyncio.fixture
async def kept():
    """A store's stand-in and a log in it."""
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


async def test_records_come_back_in_order(kept):
    _, log = kept
    for number in range(3):
        assert await log.append("orders", {"number": number}) == number
    page = await log.read("orders", 1)
    assert (page.first_offset, page.end_offset) == (0, 3)
    assert [(r.offset, r.data["number"]) for r in page.records] == [
        (1, 1),
        (2, 2),
    ]


async def test_what_has_expired_is_passed_over(kept):
    standin, log = kept
    await log.append("orders", {"number": 0})
    standin.retention_ms = 0
    await asyncio.sleep(0.002)
    page = await log.read("orders", 0)
    assert (page.first_offset, page.end_offset, page.records) == (1, 1, [])
    assert await log.read_one("orders", 0) is None


async def test_one_record_is_read_whatever_its_size(kept):
    _, log = kept
    text = "x" * 2 * 1024 * log_module.SINGLE_RECORD_MAX_KB
    offset = await log.append("orders", {"text": text})
    found = await log.read_one("orders", offset)
    assert found is not None
    assert found.data == {"text": text}


async def test_only_a_refused_append_has_no_effect(kept):
    """Whoever is told "not run" sends it again; it must not be there."""
    standin, log = kept
    standin.refuse = 503
    with pytest.raises(records.SourceError) as refused:
        await log.append("orders", {})
    assert not refused.value.may_have_taken_effect
    assert log.failing_since_ms is not None
    standin.refuse = None
    standin.lose_answers = 1
    with pytest.raises(records.SourceError) as lost:
        await log.append("orders", {})
    assert lost.value.may_have_taken_effect
    page = await log.read("orders", 0)
    assert page.end_offset == 1
    assert log.failing_since_ms is None


@pytest.mark.parametrize("body", [b"not JSON", b"[]", b"{}"])
@pytest.mark.parametrize("status", [200, 410])
async def test_answer_that_makes_no_sense_is_no_answer(body, status):
    async def answer(_):
        return web.Response(status=status, body=body)

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", answer)
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
    """A store whose newest records come piece by piece, with pauses."""
    body = (
        b'{"items":[{"offset":3,"key":"config","value":"dg=="}],'
        b'"has_more":false,"end":4}'
    )

    async def answer(request):
        response = web.StreamResponse()
        await response.prepare(request)
        size = -(-len(body) // len(pauses_s))
        for place, pause_s in enumerate(pauses_s):
            await asyncio.sleep(pause_s)
            await response.write(body[place * size : (place + 1) * size])
        await response.write_eof()
        return response

    app = web.Application()
    app.router.add_get("/bulrushdale/log-newest", answer)
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


async def test_large_answer_may_take_long_while_it_goes_on():
    """A configuration of 600 KB takes a second over a link of 5 Mbit/s."""
    async with slow_store([0.1] * 5) as store:
        page = await store.read_newest("keyed.op")
    assert page.records == [records.KeyedRecord(3, "config", b"v")]


async def test_answer_that_stops_is_given_up():
    async with slow_store([0, 0, 5]) as store:
        with pytest.raises(records.SourceError):
            await store.read_newest("keyed.op")


async def test_record_of_another_writer_is_passed_over(kept):
    standin, log = kept
    await standin.put("orders", "", b"not a record")
    await log.append("orders", {"number": 1})
    page = await log.read("orders", 0)
    assert [record.data for record in page.records] == [{}, {"number": 1}]
