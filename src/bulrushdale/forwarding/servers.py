"""HTTP servers of a router."""

from collections import abc
import socket

from aiohttp import web

from bulrushdale.forwarding import connections
from bulrushdale.forwarding import ports

# Callers use connections that were idle for up to 12 s again; a connection
# costs little, and closing one early costs its caller a try.
CALLER_IDLE_S = 75


def make_server(
    handler: abc.Callable[
        [web.BaseRequest], abc.Awaitable[web.StreamResponse]
    ],
) -> web.Server:
    """Return a server whose handlers are cancelled when callers leave."""
    return web.Server(
        handler,
        handler_cancellation=True,
        access_log=None,
        keepalive_timeout=CALLER_IDLE_S,
        max_line_size=connections.MAX_FIELD_BYTES,
        max_field_size=connections.MAX_FIELD_BYTES,
    )


async def serve(server: web.Server, sock: socket.socket) -> web.ServerRunner:
    """Accept connections at a port.

    :param server: serves its connections.
    :param sock: a port that was taken.
    :return: closes the port and its connections.
    """
    connections.set_socket_options(sock)
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    await web.SockSite(runner, sock, backlog=ports.BACKLOG).start()
    return runner
