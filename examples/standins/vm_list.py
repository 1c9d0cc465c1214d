"""Stand-in for the platform's list of VMs, which lags behind changes.

``POST /vms`` replaces the list; readers see the new one ``lag_ms`` later.
``POST /views`` sets separate lists for single viewers (``?viewer=NAME``).
``POST /faults`` sets ``lag_ms`` and ``outage`` (respond with status 503).
"""

import time

from aiohttp import web
import click
import orjson
import uvloop


class VmList:
    """Versions of the list, each with the time at which it gets visible."""

    def __init__(self, lag_ms: int) -> None:
        self.versions: list[tuple[float, int, list]] = []
        self.views: dict[str, list] = {}
        self.faults = {"lag_ms": lag_ms, "outage": False}

    def replace(self, vms: list) -> None:
        """Replace the list; the new one gets visible after the lag."""
        lag_ms = self.faults["lag_ms"] if self.versions else 0
        visible_at = time.monotonic() + lag_ms / 1000
        self.versions.append((visible_at, len(self.versions) + 1, vms))

    def visible(self, viewer: str) -> tuple[int, list]:
        """Return the version and the list that are visible to a viewer."""
        now = time.monotonic()
        version, vms = 0, []
        for visible_at, number, listed in self.versions:
            if visible_at <= now:
                version, vms = number, listed
        return version, self.views.get(viewer, vms)


def build(vm_list: VmList) -> web.Application:
    """Return the HTTP application of the list."""

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
    """Run the stand-in for the list on loopback."""
    uvloop.install()
    web.run_app(build(VmList(lag_ms)), host="127.0.0.1", port=port, print=None)


if __name__ == "__main__":
    main()
