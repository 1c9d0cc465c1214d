"""Targets that crash on some requests and start again, for tests."""

import asyncio
import contextlib
import itertools

from examples.standins import scripted_target
from tests import gateway_fixtures

TARGETS = 5
# Targets of the users are back after some seconds; shorter here.
RESTART_MS = 300
# Time in which routers have to react; shorter than the users' 3,000 ms.
REACTION_MS = 1_500


class Pool:
    """Targets that crash on some requests and start again with a new id.

    :param deployment: the deployment that they belong to.
    :param is_deadly: returns whether a request crashes its target.

    :ivar crashes_s: when they crashed, by the event loop's clock.
    :ivar deadly_s: when deadly requests arrived.
    """

    def __init__(self, deployment, is_deadly):
        self.deployment = deployment
        self._is_deadly = is_deadly
        self.crashes_s = []
        self.deadly_s = []
        self._numbers = itertools.count()
        self._restarts = set()

    async def start_target(self):
        name = f"t{next(self._numbers)}"
        self.arm(name, await self.deployment.add_target(name))

    def arm(self, name, target):
        """Make a target crash when it begins a deadly request."""

        async def script(request, writer):
            if not self._is_deadly(request):
                await asyncio.sleep(0.02)
                return await gateway_fixtures.respond(request, writer)
            self.deadly_s.append(asyncio.get_running_loop().time())
            if "/plan/" in request.line or "/chat/" in request.line:
                writer.write(scripted_target.stream_head(request))
                await writer.drain()
            await asyncio.sleep(0.03)
            await self.crash(name, target)
            return False

        target.script = script

    async def crash(self, name, target):
        """Crash a target once, however many requests reached it."""
        if target not in self.deployment.targets:
            return
        self.crashes_s.append(asyncio.get_running_loop().time())
        await target.crash()
        self.deployment.targets.remove(target)
        restart = asyncio.create_task(self._restart(name))
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def _restart(self, name):
        await self.deployment.store.put("keyed.servers", name, b"")
        await asyncio.sleep(RESTART_MS / 1000)
        await self.start_target()

    def late_requests(self, crashes):
        """Return how many deadly requests came after the reaction time.

        :param crashes: the number of crashes from which on it counts.
        """
        if len(self.crashes_s) < crashes:
            return 0
        from_s = self.crashes_s[crashes - 1] + REACTION_MS / 1000
        return sum(1 for sent_s in self.deadly_s if sent_s > from_s)


@contextlib.asynccontextmanager
async def running_pool(is_deadly):
    """Start two routers in front of targets that crash."""
    async with gateway_fixtures.running_deployment("first") as deployment:
        pool = Pool(deployment, is_deadly)
        pool.arm("first", deployment.targets[0])
        for _ in range(TARGETS - 1):
            await pool.start_target()
        await deployment.add_router(router="r2", data_centre="dc2")
        for router in deployment.routers:
            await deployment.wait_ready(router)
        await asyncio.sleep(1)
        yield pool
