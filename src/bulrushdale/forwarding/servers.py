"""HTTP servers of a router."""

from collections import abc
import socket

from aiohttp import web

from bulrushdale.forwarding import connections
from bulrushdale.forwarding import ports
from bulrushdale.forwarding import sessions

# Callers reuse connections that were idle for up to 12 s. An open connection
# costs little; closing one early costs its caller an attempt.
CALLER_KEEPALIVE_S = 75


def make_server(
    handler: abc.Callable[
        [web.BaseRequest], abc.Awaitable[web.StreamResponse]
    ],
) -> web.Server:
    """Create a server that cancels a handler when its caller disconnects.

    :param handler: serves one request.
    """
    return web.Server(
        handler,
        handler_cancellation=True,
        access_log=None,
        keepalive_timeout=CALLER_KEEPALIVE_S,
        # Targets get the bytes that callers send.
        auto_decompress=False,
        max_line_size=sessions.MAX_FIELD_BYTES,
        max_field_size=sessions.MAX_FIELD_BYTES,
    )


async def serve(server: web.Server, sock: socket.socket) -> web.ServerRunner:
    """Start to accept connections on a bound socket.

    :param server: serves the connections.
    :param sock: the bound socket.
    :return: the runner, which closes the socket and its connections.
    """
    connections.set_socket_options(sock)
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    await web.SockSite(runner, sock, backlog=ports.BACKLOG).start()
    return runner
