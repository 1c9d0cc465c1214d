"""A persistent link to another router and the interface of its handlers."""

import asyncio
import typing

from bulrushdale.control import control_pb2 as pb
from bulrushdale.fleet import members as members_module


class Link:
    """One end of the stream to a peer.

    :param peer: the router at the other end.
    :param now_ms: when the link opened, in ms.

    :ivar last_received_ms: when the last frame arrived, in ms.
    :ivar echo_ms: the latest reading of this router's own clock that the
        peer has echoed, in ms; the peer's leases run from it.
    :ivar peer_clock_ms: the peer's clock in its last heartbeat, in ms; it
        is echoed to the peer.
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
        """Return the next outgoing frame, to add messages to it."""
        self._wake.set()
        return self._pending

    async def next_frame(self) -> pb.Frame:
        """Wait until a message is queued and take the outgoing frame."""
        await self._wake.wait()
        self._wake.clear()
        frame = self._pending
        self._pending = pb.Frame()
        return frame

    def close(self) -> None:
        """End the tasks that read and write the link."""
        self.closed.set()
        self._wake.set()


class Handlers(typing.Protocol):
    """The callbacks of the router for its links."""

    def heartbeat(self) -> pb.Heartbeat:
        """Return this router's state for its peers."""

    def link_opened(self, link: Link) -> None:
        """Handle a new link."""

    def frame_received(self, link: Link, frame: pb.Frame) -> None:
        """Handle the messages of one frame."""

    def link_lost(self, link: Link) -> None:
        """Handle the loss of a link."""
