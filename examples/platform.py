"""Run a router of the platform on loopback: ``python -m examples.platform``.

Starts a stand-in for the store, two stand-in targets and one router, sends an
order and a stream through it, drains a target, and prints the responses.
"""

import asyncio
import contextlib
import dataclasses

import aiohttp
from aiohttp import web
import orjson

from bulrushdale.forwarding import ports as port_module
from bulrushdale.forwarding import settings as settings_module
from bulrushdale import gateway
from examples import ports
from examples.standins import scripted_target
from examples.standins import store as store_standin

KEY = "bakery-key"
LIST_INTERVAL_S = 1.5

CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "orders",
            "host": "shop.example",
            "path_prefix": "/orders/",
            "kind": "non_idempotent",
            "timeout_ms": 2_000,
            "service": "oven",
        },
        {
            "name": "plans",
            "host": "shop.example",
            "path_prefix": "/plans/",
            "kind": "streaming",
            "timeout_ms": 5_000,
            "service": "oven",
            "max_attempts": 2,
            "resumable": True,
            "sticky_sessions": True,
        },
    ],
    "services": [{"name": "oven"}],
    "limits": {"max_body_bytes": 65_536},
    "tenants": [{"name": "bakery", "api_keys": [KEY]}],
}


async def _respond(
    request: scripted_target.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    if "/plans/" not in request.line:
        writer.write(scripted_target.response(request, body=b"ordered\n"))
        return
    writer.write(scripted_target.stream_head(request))
    for number in range(3):
        writer.write(scripted_target.chunk(scripted_target.event(number)))
    writer.write(scripted_target.chunk(b""))


def _entry(address: str, state: str) -> bytes:
    return orjson.dumps(
        {
            "service": "oven",
            "address": address,
            "zone": "mid-a",
            "slots": 8,
            "state": state,
            "born": 1,
        }
    )


async def _send(session: aiohttp.ClientSession, port: int, path: str) -> None:
    """Send a request and print its response."""
    headers = {
        "Host": "shop.example",
        "X-Request-Id": f"example{path.replace('/', '-')}",
        "X-Deadline-Ms": "2000",
        "X-Prompt-Prefix": "recipes:900,question:20",
        "Authorization": f"Bearer {KEY}",
    }
    async with session.post(
        f"http://{ports.HOST}:{port}{path}", headers=headers, data=b"a loaf"
    ) as response:
        text = (await response.text()).strip().replace("\n", " ")
        print(f"POST {path}: {response.status} {text}")


async def _run_example(stack: contextlib.AsyncExitStack) -> None:
    """Start store, targets and router, and send the requests."""
    store = store_standin.Store()
    runner = web.AppRunner(store.app())
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    (
        store_port,
        caller_port,
        ready_port,
        link_port,
        relay_port,
        metrics_port,
    ) = ports.free_ports(6)
    await web.TCPSite(runner, ports.HOST, store_port).start()
    await store.put("keyed.op", "config", orjson.dumps(CONFIGURATION))
    targets = {}
    for name in ("oven-1", "oven-2"):
        target = scripted_target.ScriptedTarget(_respond)
        await target.start()
        stack.push_async_callback(target.stop)
        targets[name] = target
        await store.put("keyed.servers", name, _entry(target.address, "ready"))
    settings = settings_module.Settings(
        router="example",
        host=ports.HOST,
        data_centre="mid-a",
        link_mbps=1_000,
        caller_port=caller_port,
        ready_port=ready_port,
        link_port=link_port,
        relay_port=relay_port,
        metrics_port=metrics_port,
        seeds=(),
        store_address=f"{ports.HOST}:{store_port}",
        target_drain_ms=2_000,
        drain_notice_ms=100,
        drain_timeout_ms=1_000,
        key_age_limit_ms=4_400,
        retry_ratio=0.2,
        retry_slack=10,
        retry_window_ms=10_000,
        first_start=True,
    )
    router = gateway.Gateway(
        settings=settings,
        load_settings=lambda: dataclasses.replace(settings),
        sockets=port_module.bind(settings.host, settings.ports),
    )
    await router.start()
    stack.push_async_callback(router.stop)
    async with aiohttp.ClientSession() as session:
        await _send(session, settings.caller_port, "/orders/1")
        await _send(session, settings.caller_port, "/plans/1")
        await store.put(
            "keyed.servers",
            "oven-1",
            _entry(targets["oven-1"].address, "draining"),
        )
        await asyncio.sleep(LIST_INTERVAL_S)
        await _send(session, settings.caller_port, "/orders/2")
        await _send(session, settings.caller_port, "/nowhere/1")
    request_counts = {name: len(t.received) for name, t in targets.items()}
    print(f"requests at each target: {request_counts}")


async def main() -> None:
    """Run the example."""
    async with contextlib.AsyncExitStack() as stack:
        await _run_example(stack)


if __name__ == "__main__":
    asyncio.run(main())
