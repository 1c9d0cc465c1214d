"""HTTP ports of a router."""

from collections import abc
import socket

from aiohttp import web

from bulrushdale.forwarding import connections

# Callers use connections that were idle for up to 12 s again; a connection
# costs little, and closing one early costs its caller a try.
CALLER_IDLE_S = 75
# Connections that wait to be accepted, for bursts after a start.
BACKLOG = 1_024


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
        max_line_size=connections.FIELD_BYTES,
        max_field_size=connections.FIELD_BYTES,
    )


async def listen(server: web.Server, host: str, port: int) -> web.ServerRunner:
    """Open a port.

    :param server: serves its connections.
    :param host: IP to listen on.
    :param port: the port.
    :return: closes the port and its connections.
    """
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    connections.tune(sock)
    sock.bind((host, port))
    await web.SockSite(runner, sock, backlog=BACKLOG).start()
    return runner
