"""Stand-in of the platform's lagging list of VMs.

``POST /vms`` replaces the list; readers see it ``lag_ms`` later.
``POST /views`` gives one viewer (``?viewer=NAME``) a list of its own.
``POST /faults`` sets ``lag_ms`` and ``outage``.
"""

import time

from aiohttp import web
import click
import orjson
import uvloop


class VmList:
    """Versions of the list with the times from which they are seen."""

    def __init__(self, lag_ms: int) -> None:
        self.versions: list[tuple[float, int, list]] = []
        self.views: dict[str, list] = {}
        self.faults = {"lag_ms": lag_ms, "outage": False}

    def replace(self, vms: list) -> None:
        """Put a new list in place, to be seen after the lag."""
        lag_ms = self.faults["lag_ms"] if self.versions else 0
        seen_at = time.monotonic() + lag_ms / 1000
        self.versions.append((seen_at, len(self.versions) + 1, vms))

    def visible(self, viewer: str) -> tuple[int, list]:
        """Return the version and the list that a viewer sees now."""
        now = time.monotonic()
        version, vms = 0, []
        for seen_at, number, listed in self.versions:
            if seen_at <= now:
                version, vms = number, listed
        return version, self.views.get(viewer, vms)


def build(vm_list: VmList) -> web.Application:
    """Return the list's HTTP application."""

    async def get(request: web.Request) -> web.Response:
        if vm_list.faults["outage"]:
            return web.Response(status=503)
        version, vms = vm_list.visible(request.query.get("viewer", ""))
        return web.json_response({"version": version, "vms": vms})

    async def put(request: web.Request) -> web.Response:
        vm_list.replace(orjson.loads(await request.read()))
        return web.json_response({"version": len(vm_list.versions)})

    async def views(request: web.Request) -> web.Response:
        vm_list.views = orjson.loads(await request.read())
        return web.json_response({})

    async def faults(request: web.Request) -> web.Response:
        vm_list.faults.update(orjson.loads(await request.read()))
        return web.json_response(vm_list.faults)

    app = web.Application()
    app.router.add_get("/vms", get)
    app.router.add_post("/vms", put)
    app.router.add_post("/views", views)
    app.router.add_post("/faults", faults)
    return app


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--lag-ms", type=int, default=500)
def main(port: int, lag_ms: int) -> None:
    """Run the list's stand-in on loopback."""
    uvloop.install()
    web.run_app(build(VmList(lag_ms)), host="127.0.0.1", port=port, print=None)


if __name__ == "__main__":
    main()
