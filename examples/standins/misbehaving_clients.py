"""Clients that stop short, send too much or too slowly, or don't read."""

import asyncio
from collections import abc
import contextlib
import os
import pathlib
import socket
import typing

# Small receive buffers of the clients leave more to the router.
RECEIVE_BUFFER_BYTES = 4_096
BODY_BYTES = 4 << 20
# A client that the router keeps waiting doesn't hold up the others.
SEND_TIMEOUT_S = 5
# A body far over the limit, of which a client sends what is accepted.
LARGE_BODY_BYTES = 64 << 20
SENT_AHEAD = 1_000
TINY_CHUNKS = 100_000
# A head of 16 KB, the maximum, with the shortest fields.
SHORT_FIELDS = 2_600
SLOW_INTERVAL_S = 0.2
# Almost as many fields as a head may have, of 14 KB.
LARGE_FIELDS = b"".join(
    b"X-Note-%d: %b\r\n" % (number, b"v" * 110) for number in range(118)
)
SHORT_BODY_BYTES = 120_000
LARGE_SENT_AHEAD = 4

LENGTH = b"Content-Length: %d\r\n" % BODY_BYTES
CHUNKED = b"Transfer-Encoding: chunked\r\n"

# Returns the head of a request without its last line, for the number of the
# request and its path.
Head = abc.Callable[[str, str], bytes]
Address = tuple[str, int]


class Client:
    """One client of a crowd.

    :param number: its number in the crowd.
    :param path: the path of its requests.
    :param head: returns the head of a request without its last line.
    """

    def __init__(
        self,
        number: int,
        path: str,
        head: Head,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._number = number
        self._path = path
        self._head = head
        self._writer = writer

    async def send(self, data: bytes, piece_bytes: int = 1 << 16) -> None:
        """Send data in pieces."""
        for at in range(0, len(data), piece_bytes):
            self._writer.write(data[at : at + piece_bytes])
            await self._writer.drain()

    async def send_head(self, fields: bytes) -> None:
        """Send the head of a request."""
        await self.send(self.head() + fields + b"\r\n")

    def head(self, request: int = 0) -> bytes:
        """Return the head of a request without its last line."""
        return self._head(f"{self._number}-{request}", self._path)


BODY = b"x" * BODY_BYTES
SHORT = BODY[:-10]


def chunked(body: bytes, chunk_bytes: int) -> bytes:
    """Return a body in chunks, without the last one."""
    return b"".join(
        b"%x\r\n%b\r\n" % (len(piece), piece)
        for piece in (
            body[at : at + chunk_bytes]
            for at in range(0, len(body), chunk_bytes)
        )
    )


SMALL_CHUNKS = chunked(SHORT, 1_000)
TINY = chunked(b"x" * TINY_CHUNKS, 1)


async def whole_body(client: Client) -> None:
    await client.send_head(LENGTH)
    await client.send(BODY)


async def short_body(client: Client) -> None:
    await client.send_head(LENGTH)
    await client.send(SHORT)


async def short_body_in_pieces(client: Client) -> None:
    await client.send_head(LENGTH)
    await client.send(SHORT, 1_000)


async def short_body_in_chunks(client: Client) -> None:
    await client.send_head(CHUNKED)
    await client.send(SMALL_CHUNKS)


async def short_body_in_tiny_chunks(client: Client) -> None:
    await client.send_head(CHUNKED)
    await client.send(TINY)


async def body_over_the_limit(client: Client) -> None:
    await client.send_head(b"Content-Length: %d\r\n" % LARGE_BODY_BYTES)
    for _ in range(LARGE_BODY_BYTES // BODY_BYTES):
        await client.send(BODY)


async def chunks_over_the_limit(client: Client) -> None:
    await client.send_head(CHUNKED)
    for _ in range(LARGE_BODY_BYTES // BODY_BYTES):
        await client.send(SMALL_CHUNKS)


async def short_fields(client: Client) -> None:
    """Send a legal head of very many fields, and a body that stops short."""
    fields = b"".join(b"%x:\r\n" % n for n in range(SHORT_FIELDS))
    await client.send_head(fields + LENGTH)
    await client.send(SHORT[: 16 << 10])


async def requests_sent_ahead(client: Client) -> None:
    """Send many requests without reading a response."""
    ahead = b"".join(
        client.head(request) + b"Content-Length: 5\r\n\r\nahead"
        for request in range(SENT_AHEAD)
    )
    await client.send(ahead)


async def slow_sender(client: Client) -> None:
    """Send a body byte by byte."""
    await client.send_head(LENGTH)
    while True:
        await client.send(b"x")
        await asyncio.sleep(SLOW_INTERVAL_S)


async def half_head(client: Client) -> None:
    """Send a part of a legal head."""
    await client.send(client.head() + b"X-Field: %b" % (b"x" * 14_000))


async def unread_answer(client: Client) -> None:
    """Ask for an answer of 4 MB, and read nothing of it."""
    await client.send_head(b"Content-Length: 5\r\n")
    await client.send(b"large")


async def large_head_and_short_body(client: Client) -> None:
    """Send a head of 14 KB and, at once, a part of a body."""
    await client.send_head(CHUNKED + LARGE_FIELDS)
    await client.send(chunked(b"x" * SHORT_BODY_BYTES, SHORT_BODY_BYTES))


async def large_heads_sent_ahead(client: Client) -> None:
    """Send requests with heads of 14 KB without waiting for a response."""
    for request in range(LARGE_SENT_AHEAD):
        await client.send(client.head(request) + LARGE_FIELDS + b"\r\n")


Kind = abc.Callable[[Client], abc.Awaitable[None]]
KINDS: tuple[Kind, ...] = (
    whole_body,
    short_body,
    short_body_in_pieces,
    short_body_in_chunks,
    short_body_in_tiny_chunks,
    body_over_the_limit,
    chunks_over_the_limit,
    short_fields,
    requests_sent_ahead,
    slow_sender,
    half_head,
    unread_answer,
)
# What takes memory only in large crowds.
LARGE_HEADS: tuple[Kind, ...] = (
    large_head_and_short_body,
    large_heads_sent_ahead,
)


class Crowd:
    """Clients that stay connected until they are told to leave.

    :param head: returns the head of a request without its last line, for
        the request's number and its path.
    """

    def __init__(self, head: Head) -> None:
        self._head = head
        self._connections: list[typing.Any] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def _act(
        self, kind: Kind, number: int, address: Address, path: str
    ) -> None:
        sock = socket.socket()
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, address)
            reader, writer = await asyncio.open_connection(
                sock=sock, limit=1_024
            )
            # A writer that nobody refers to closes its connection.
            self._connections.append((reader, writer))
            await kind(Client(number, path, self._head, writer))

    async def join(
        self,
        kind: Kind,
        doors: abc.Sequence[tuple[Address, str]],
        count: int,
    ) -> None:
        """Let clients come, and wait until they have sent what they can.

        :param kind: what each client does.
        :param doors: addresses and paths, which they use in turn.
        :param count: how many clients come.
        """
        tasks = [
            asyncio.create_task(
                self._act(kind, number, *doors[number % len(doors)])
            )
            for number in range(count)
        ]
        self._tasks += tasks
        await asyncio.wait(tasks, timeout=SEND_TIMEOUT_S)

    def leave(self) -> None:
        """Close the connections of all clients."""
        for task in self._tasks:
            task.cancel()
        for _, writer in self._connections:
            writer.transport.abort()
        self._connections.clear()
        self._tasks.clear()


def memory_mb(pid: int, field: str) -> float:
    """Return a figure of a process's memory, in MB.

    :param pid: id of the process.
    :param field: ``VmRSS``, or ``VmHWM`` for the peak.
    """
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name == field:
            return int(value.split()[0]) / 1024
    raise AssertionError(f"process {pid} has ended")


def open_descriptors(pid: int) -> int:
    """Return how many descriptors a process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))
