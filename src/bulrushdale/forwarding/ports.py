"""Binds a router's ports at its start.

Loaded before everything else, so it imports only the standard library.
"""

from collections import abc
import socket

# Pending connections per port; large enough for bursts after a start.
BACKLOG = 1_024


class PortError(Exception):
    """A port of the settings can't be bound."""


def bind(host: str, ports: abc.Mapping[str, int]) -> dict[str, socket.socket]:
    """Bind ports without accepting connections yet.

    A router binds its ports before it opens any connection of its own, which
    the operating system might give one of these port numbers, and before
    other processes learn of the router.

    :param host: IP to listen on.
    :param ports: the ports, by the name of their setting.
    :return: the bound sockets, by the same names.
    :raises PortError: if a port can't be bound; all sockets are closed then.
    """
    sockets: dict[str, socket.socket] = {}
    for name, port in ports.items():
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sockets[name] = sock
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError as error:
            for bound in sockets.values():
                bound.close()
            raise PortError(
                f"{name} {port} on {host} can't be opened: {error.strerror}"
            ) from error
    return sockets
