"""Choose free ports for processes on loopback."""

import contextlib
import itertools
import os
import socket

HOST = "127.0.0.1"
# Below the ephemeral ports of outgoing connections, so that a port isn't taken
# before its process listens on it.
MIN_PORT = 10_000
PORT_COUNT = 20_000
_sequence = itertools.count(os.getpid() * 61)


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on.

    Ports are returned round-robin over the whole range, so that a port that
    was just closed isn't soon used again.
    """
    free: list[int] = []
    while len(free) < count:
        port = MIN_PORT + next(_sequence) % PORT_COUNT
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            free.append(port)
    return free
