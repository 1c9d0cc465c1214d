"""Choose free ports for processes on loopback."""

import contextlib
import fcntl
import functools
import itertools
import pathlib
import socket
import tempfile
import typing

HOST = "127.0.0.1"
# Below the ephemeral ports of outgoing connections, so that a port isn't taken
# before its process listens on it.
MIN_PORT = 10_000
# Processes that take ports or addresses at the same time, and ports of each.
MAX_PROCESSES = 40
PORTS_PER_PROCESS = 500
_sequence = itertools.count()
# Locked as long as this process runs.
_locks: list[typing.TextIO] = []


@functools.cache
def process_number() -> int:
    """Return a number that no other process on this machine has.

    :return: a number from 0 on, below :data:`MAX_PROCESSES`.
    :raises OSError: if too many processes have one.
    """
    folder = pathlib.Path(tempfile.gettempdir()) / "bulrushdale-ports"
    folder.mkdir(exist_ok=True)
    for number in range(MAX_PROCESSES):
        lock = (folder / str(number)).open("w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            lock.close()
            continue
        _locks.append(lock)
        return number
    raise OSError(f"{MAX_PROCESSES} processes take ports already")


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on, at any address.

    Ports are returned round-robin over those of this process, so that a port
    that was just closed isn't soon used again.
    """
    first = MIN_PORT + process_number() * PORTS_PER_PROCESS
    free: list[int] = []
    while len(free) < count:
        port = first + next(_sequence) % PORTS_PER_PROCESS
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("", port))
            free.append(port)
    return free
