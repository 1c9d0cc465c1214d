"""One standing link to another router, and who handles what it brings."""

import asyncio
import typing

from bulrushdale.control import control_pb2 as pb
from bulrushdale.fleet import members as members_module


class Link:
    """One end of the stream to one peer.

    :param peer: the router at the other end.
    :param now_ms: when it opened, in ms.

    :ivar last_received_ms: when the newest frame arrived, in ms.
    :ivar echo_ms: the newest of this router's own clock readings that the
        peer has sent back; the peer's leases run from it.
    """

    __slots__ = (
        "peer",
        "last_received_ms",
        "echo_ms",
        "peer_clock_ms",
        "bytes_in",
        "bytes_out",
        "frames_in",
        "closed",
        "_pending",
        "_wake",
    )

    def __init__(self, peer: members_module.Member, now_ms: int) -> None:
        self.peer = peer
        self.last_received_ms = now_ms
        self.echo_ms: int | None = None
        self.peer_clock_ms = 0
        self.bytes_in = 0
        self.bytes_out = 0
        self.frames_in = 0
        self.closed = asyncio.Event()
        self._pending = pb.Frame()
        self._wake = asyncio.Event()

    def queue(self) -> pb.Frame:
        """Return the frame that goes out next, to add messages to it."""
        self._wake.set()
        return self._pending

    async def next_frame(self) -> pb.Frame:
        """Wait until something is queued and take it."""
        await self._wake.wait()
        self._wake.clear()
        frame = self._pending
        self._pending = pb.Frame()
        return frame

    def close(self) -> None:
        """End both tasks of the link."""
        self.closed.set()
        self._wake.set()


class Handlers(typing.Protocol):
    """What the rest of the router does with links."""

    def heartbeat(self) -> pb.Heartbeat:
        """Return this router's state for its peers."""

    def opened(self, link: Link) -> None:
        """Note a new link."""

    def received(self, link: Link, frame: pb.Frame) -> None:
        """Handle the messages of one frame."""

    def lost(self, link: Link) -> None:
        """Note that a link is gone."""
