"""The client of the platform's store."""

import asyncio
import contextlib
import socket

import aiohttp
import pytest

from bulrushdale.forwarding import connections
from bulrushdale.forwarding import records
from bulrushdale.platform import store as store_module
from examples import ports


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
        store = store_module.Store(session, silent_address)
        begun = loop.time()
        with pytest.raises(records.SourceError):
            await store.read("keyed.op", 0, wait_ms)
    limit_ms = connections.CONNECT_TIMEOUT_MS
    assert (loop.time() - begun) * 1_000 < 3 * limit_ms
