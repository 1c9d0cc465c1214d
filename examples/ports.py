"""Ports for processes on loopback."""

import contextlib
import itertools
import os
import socket

HOST = "127.0.0.1"
# Below the numbers that the system gives to outgoing connections, so that
# none is taken before its process listens.
LOWEST_PORT = 10_000
PORT_COUNT = 20_000
_numbers = itertools.count(os.getpid() * 61)


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on.

    Each is given out once in a round of all numbers, so that what was
    closed a moment ago is not met again soon.
    """
    free: list[int] = []
    while len(free) < count:
        port = LOWEST_PORT + next(_numbers) % PORT_COUNT
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            free.append(port)
    return free
