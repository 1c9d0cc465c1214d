"""Bodies of requests and responses, which are kept in pieces."""

import asyncio
from collections import abc
import typing

import aiohttp
from aiohttp import abc as aiohttp_abc
from aiohttp import payload
from aiohttp import web

from bulrushdale.forwarding import expectations
from bulrushdale.forwarding import memory_account
from bulrushdale import results
from bulrushdale.routing import refusals

# Larger bodies are written one piece after the other, so that the transport
# doesn't hold a copy of the whole body.
PIECE_BYTES = 32 << 10
# What arrives is kept in blocks of this size. A byte that is kept alone would
# take 34 bytes. The C library gives blocks above 128 KiB back as soon as they
# are freed, smaller ones stay in its heap beside the body that is put together
# from them.
_BLOCK_BYTES = 256 << 10


class Pieces:
    """Collects a body as it arrives.

    :ivar size_bytes: its size so far.
    :ivar held_bytes: how much of it is held in the account.
    """

    __slots__ = ("size_bytes", "held_bytes", "_blocks", "_tail")

    def __init__(self) -> None:
        self.size_bytes = 0
        self.held_bytes = 0
        self._blocks: list[bytes] = []
        # The last block.
        self._tail = bytearray()

    def append(self, data: bytes) -> None:
        """Add the next bytes."""
        self.size_bytes += len(data)
        self._tail += data
        if len(self._tail) >= _BLOCK_BYTES:
            self._flush()

    def _flush(self) -> None:
        if self._tail:
            self._blocks.append(bytes(self._tail))
            self._tail = bytearray()

    def take(self) -> abc.Iterator[bytes]:
        """Return the blocks in turn, and keep none of them."""
        self._flush()
        self._blocks.reverse()
        while self._blocks:
            yield self._blocks.pop()

    def join(self) -> bytes:
        """Return the whole body, and keep none of it."""
        self._flush()
        if len(self._blocks) == 1:
            return self._blocks.pop()
        body = b"".join(self._blocks)
        self._blocks.clear()
        return body


class _PiecewisePayload(payload.BytesPayload):
    """A body that is written as fast as its receiver reads."""

    async def write_with_length(
        self,
        writer: aiohttp_abc.AbstractStreamWriter,
        content_length: int | None,
    ) -> None:
        for piece in split(self._value[:content_length]):
            await writer.write(piece)


def split(body: bytes) -> abc.Iterator[memoryview]:
    """Return the pieces of a body, without copying it."""
    view = memoryview(body)
    for start in range(0, len(body), PIECE_BYTES):
        yield view[start : start + PIECE_BYTES]


async def write(
    response: web.StreamResponse,
    body: Pieces,
    holder: memory_account.Holder,
) -> None:
    """Write a body as fast as its receiver reads.

    :param response: the response, which has been started.
    :param body: the body, of which nothing is kept.
    :param holder: holds the body, and less of it after each block.
    """
    for block in body.take():
        for piece in split(block):
            await response.write(piece)
        released_bytes = min(len(block), body.held_bytes)
        body.held_bytes -= released_bytes
        holder.release(released_bytes)


def to_payload(body: bytes) -> bytes | aiohttp.Payload | None:
    """Return a body as aiohttp takes it for a request."""
    if len(body) <= PIECE_BYTES:
        return body or None
    return _PiecewisePayload(body)


def _too_large(limit_bytes: int) -> results.RefusedError:
    return refusals.refuse(
        results.Code.BODY_TOO_LARGE,
        f"the body is larger than {limit_bytes} bytes",
    )


async def read(
    request: web.BaseRequest,
    limit_bytes: int,
    holder: memory_account.Holder,
) -> bytes:
    """Return the body of a request.

    :param request: the request.
    :param limit_bytes: maximum size of the body.
    :param holder: holds the body until the request has ended.
    :raises RefusedError: if the body is larger than the limit, has no room or
        has stopped while others needed its room.
    """
    content = request.content
    if content.is_eof():
        # It arrived together with the head, as most bodies do.
        body = typing.cast(bytes, content.read_nowait())
        if len(body) <= min(limit_bytes, memory_account.SMALL_BYTES):
            holder.add_small(len(body))
            return body
        if len(body) > limit_bytes:
            raise _too_large(limit_bytes)
        await holder.add(len(body))
        return body
    if holder.limit_bytes:
        limit_bytes = min(limit_bytes, holder.limit_bytes)
    try:
        async with asyncio.timeout(None) as limit:
            holder.begin(limit)
            return await _read_arriving(request, limit_bytes, holder)
    except TimeoutError:
        raise holder.refusal or memory_account.too_full() from None
    finally:
        holder.reading = None


async def _read_arriving(
    request: web.BaseRequest,
    limit_bytes: int,
    holder: memory_account.Holder,
) -> bytes:
    """Read a body of which a part is still to come.

    Room for a body that tells its length is reserved before it is read, so
    that bodies don't wait for each other. One without a length doubles what
    it has reserved.
    """
    declared_bytes = request.content_length or 0
    if declared_bytes > limit_bytes:
        raise _too_large(limit_bytes)
    reserved_bytes = 0
    if declared_bytes > memory_account.SMALL_BYTES:
        await _make_room(request, holder, declared_bytes)
        reserved_bytes = declared_bytes
    await expectations.fulfil(request)
    pieces = Pieces()
    async for data in request.content.iter_any():
        size_bytes = pieces.size_bytes + len(data)
        if size_bytes > limit_bytes:
            raise _too_large(limit_bytes)
        if size_bytes > reserved_bytes:
            if size_bytes <= memory_account.SMALL_BYTES:
                holder.add_small(size_bytes - reserved_bytes)
                reserved_bytes = size_bytes
            else:
                wanted = min(limit_bytes, max(size_bytes, 2 * reserved_bytes))
                await _make_room(request, holder, wanted - reserved_bytes)
                reserved_bytes = wanted
        pieces.append(data)
        holder.record_progress(pieces.size_bytes)
    holder.release(reserved_bytes - pieces.size_bytes)
    return pieces.join()


async def _make_room(
    request: web.BaseRequest, holder: memory_account.Holder, size_bytes: int
) -> None:
    """Hold more of a body, and read nothing of it until there is room.

    :param request: the request.
    :param holder: holds the body.
    :param size_bytes: how much more.
    :raises RefusedError: if there is no room for long.
    """
    if holder.try_add(size_bytes):
        return
    protocol = request.protocol
    protocol.pause_reading()
    try:
        await holder.add(size_bytes)
    finally:
        # Without a transport the connection has ended.
        if protocol.transport is not None:
            protocol.resume_reading()
