"""Routers that reach no target, for tests."""

import asyncio
import contextvars

# The router that runs the current task.
_router = contextvars.ContextVar("router", default="")


class Network:
    """Connections of the routers in this process to targets.

    :param loop: the event loop.

    :ivar ports: ports that routers which are cut off can't reach.
    :ivar cut_off: how new connections end, by the name of the router: an
        error, or none for those that hang.
    """

    def __init__(self, loop):
        self.ports = set()
        self.cut_off = {}
        self._connect = loop.sock_connect
        loop.sock_connect = self._sock_connect

    async def _sock_connect(self, sock, address):
        router = _router.get()
        if router in self.cut_off and address[1] in self.ports:
            error = self.cut_off[router]
            if error is not None:
                raise error
            await asyncio.sleep(3_600)
        return await self._connect(sock, address)

    async def start_router(self, deployment, name, **settings):
        """Start a router whose connections are told from those of others."""
        token = _router.set(name)
        try:
            return await deployment.add_router(router=name, **settings)
        finally:
            _router.reset(token)
