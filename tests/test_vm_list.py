"""Odd entries in the platform's list of VMs."""

import aiohttp
from aiohttp import test_utils
from aiohttp import web
import orjson
import pytest

from bulrushdale.platform import vms

ROUTER = {
    "name": "r1",
    "role": "router",
    "data_centre": "dc1",
    "address": "10.0.0.1:7000",
    "state": "ready",
}
TARGET = {
    "name": "e1",
    "role": "target",
    "data_centre": "dc1",
    "address": "http://10.0.0.2:8000",
    "state": "leaving",
}
ODD = [
    None,
    7,
    [],
    {},
    "r2",
    {**ROUTER, "name": None},
    {**ROUTER, "name": "x" * 100_000},
    {**ROUTER, "data_centre": 5},
    {**ROUTER, "address": "10.0.0.1"},
    {**ROUTER, "address": "10.0.0.1:99999"},
    {**ROUTER, "address": ["10.0.0.1", 7000]},
    {**ROUTER, "state": None},
    {**ROUTER, "operator_address": 9},
    {key: ROUTER[key] for key in ("name", "role")},
    {**TARGET, "address": {"deep": [[[[[]]]]]}},
]


async def read(body):
    async def serve(_):
        return web.Response(body=body)

    application = web.Application()
    application.router.add_get("/vms", serve)
    server = test_utils.TestServer(application)
    await server.start_server()
    async with aiohttp.ClientSession() as session:
        client = vms.VmListClient(session, str(server.make_url("/vms")), 1_000)
        try:
            return await client.read()
        finally:
            await server.close()


@pytest.mark.parametrize("odd", ODD, ids=range(len(ODD)))
async def test_odd_entry_is_skipped_and_the_others_are_followed(odd):
    body = orjson.dumps({"version": 3, "vms": [ROUTER, odd, TARGET]})
    version, listed = await read(body)
    assert version == 3
    assert [vm.name for vm in listed] == ["r1", "e1"]
    assert [vm.leaving for vm in listed] == [False, True]


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{}",
        b'{"version": 1}',
        b'{"version": "x", "vms": []}',
        b'{"version": 1e300, "vms": []}',
        b'{"version": 1, "vms": 7}',
        b"[" * 100_000 + b"]" * 100_000,
    ],
)
async def test_list_that_cannot_be_read_is_an_error(body):
    with pytest.raises(ValueError):
        await read(body)
