"""The ports that a router takes at its start.

Loaded before everything else, so it needs nothing but the standard library.
"""

from collections import abc
import socket

# Connections that wait to be accepted, for bursts after a start.
BACKLOG = 1_024


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
        try:
            sock.bind((host, port))
        except OSError as error:
            for taken in sockets.values():
                taken.close()
            raise PortError(
                f"{name} {port} on {host} can't be opened: {error.strerror}"
            ) from error
    return sockets
