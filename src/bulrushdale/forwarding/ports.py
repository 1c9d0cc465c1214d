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


class PortError(Exception):
    """A port of the settings that can't be opened."""


def bind(host: str, ports: abc.Mapping[str, int]) -> dict[str, socket.socket]:
    """Take ports, without yet accepting connections.

    A router takes its ports before it opens any connection of its own,
    which the system might give one of these numbers, and before others
    learn of it.

    :param host: IP to listen on.
    :param ports: by the name of their setting.
    :return: their sockets, by the same names.
    :raises PortError: if one can't be had; none is kept then.
    """
    sockets: dict[str, socket.socket] = {}
    for name, port in ports.items():
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sockets[name] = sock
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        connections.tune(sock)
        try:
            sock.bind((host, port))
        except OSError as error:
            for taken in sockets.values():
                taken.close()
            raise PortError(
                f"{name} {port} on {host} can't be opened: {error.strerror}"
            ) from error
    return sockets


async def serve(server: web.Server, sock: socket.socket) -> web.ServerRunner:
    """Accept connections at a port.

    :param server: serves its connections.
    :param sock: from :func:`bind`.
    :return: closes the port and its connections.
    """
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    await web.SockSite(runner, sock, backlog=BACKLOG).start()
    return runner
