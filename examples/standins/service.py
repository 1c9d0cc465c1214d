"""Stand-in for a service whose requests must not run twice.

``POST`` on any path has an effect, counted by the ``Idempotency-Key``.
``POST /-/faults`` sets these faults:

- ``delay_ms``: delay between effect and response, in ms.
- ``fail_before``: close the connection before the effect, for the next N
  requests.
- ``fail_after``: close the connection after the effect, for the next N
  requests.
- ``honour_keys``: run a key only once on this instance.
- ``leaving``: report that the service is leaving.
"""

import asyncio
import collections
import time

from aiohttp import web
import click
import orjson
import uvloop


class Service:
    """Effects and faults of one service instance."""

    def __init__(self) -> None:
        self.effects = collections.Counter()
        self.running = 0
        self.requests: list[tuple[int, str]] = []
        self.faults = {
            "delay_ms": 0,
            "fail_before": 0,
            "fail_after": 0,
            "honour_keys": False,
            "leaving": False,
        }

    def consume_fault(self, fault: str) -> bool:
        """Return whether a counted fault applies, and count it down."""
        if self.faults[fault] <= 0:
            return False
        self.faults[fault] -= 1
        return True


def build(service: Service) -> web.Application:
    """Return the HTTP application of the service."""

    async def handle(request: web.Request) -> web.Response:
        body = await request.read()
        service.running += 1
        service.requests.append((time.monotonic_ns(), request.path))
        try:
            return await apply_effect(request, body)
        finally:
            service.running -= 1

    async def apply_effect(request: web.Request, body: bytes) -> web.Response:
        """Count the effect of a request and respond, as the faults allow."""
        key = request.headers.get("Idempotency-Key", "none")
        if service.consume_fault("fail_before"):
            request.transport.close()
            return web.Response()
        if request.method != "GET" and not (
            service.faults["honour_keys"] and service.effects[key]
        ):
            service.effects[key] += 1
        await asyncio.sleep(service.faults["delay_ms"] / 1000)
        if service.consume_fault("fail_after"):
            request.transport.close()
            return web.Response()
        return web.json_response(
            {
                "path": request.path,
                "bytes": len(body),
                "number": sum(service.effects.values()),
            }
        )

    async def load(_: web.Request) -> web.Response:
        return web.json_response(
            {"running": service.running, "leaving": service.faults["leaving"]}
        )

    async def faults(request: web.Request) -> web.Response:
        service.faults.update(orjson.loads(await request.read()))
        return web.json_response(service.faults)

    async def stats(_: web.Request) -> web.Response:
        return web.json_response(
            {"effects": service.effects, "calls": service.requests}
        )

    app = web.Application(client_max_size=64 * 1024 * 1024)
    app.router.add_get("/load", load)
    app.router.add_post("/-/faults", faults)
    app.router.add_get("/-/stats", stats)
    app.router.add_route("*", "/{path:.*}", handle)
    return app


@click.command()
@click.option("--port", type=int, required=True)
def main(port: int) -> None:
    """Run the stand-in for a service on loopback."""
    uvloop.install()
    web.run_app(build(Service()), host="127.0.0.1", port=port, print=None)


if __name__ == "__main__":
    main()
