"""A persistent link to another router and the interface of its handlers."""

import asyncio
import typing

from bulrushdale.control import control_pb2 as pb
from bulrushdale.fleet import members as members_module

# A peer is silent after this multiple of its mean time between frames, and
# not before a minimum time. With frames that arrive at random, a peer that is
# well is silent 0.3% of the time.
SILENCE_MULTIPLE = 8
MIN_SILENCE_MS = 150
INITIAL_FRAME_GAP_MS = 100.0
FRAME_GAP_SMOOTHING = 0.1
# How long a peer stays silent after its first frame: it may have yet to tell
# of what happened meanwhile.
RECOVERY_MS = 100


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
        "_mean_gap_ms",
        "_recovered_ms",
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
        self._mean_gap_ms = INITIAL_FRAME_GAP_MS
        self._recovered_ms = now_ms
        self.echo_ms: int | None = None
        self.peer_clock_ms = 0
        self.bytes_in = 0
        self.bytes_out = 0
        self.frames_in = 0
        self.closed = asyncio.Event()
        self._pending = pb.Frame()
        self._wake = asyncio.Event()

    def record_frame(self, now_ms: int) -> None:
        """Record the arrival of a frame.

        :param now_ms: the current time, in ms of the clock.
        """
        limit_ms = self._max_gap_ms()
        gap_ms = now_ms - self.last_received_ms
        if gap_ms > limit_ms:
            self._recovered_ms = now_ms + RECOVERY_MS
        self._mean_gap_ms += FRAME_GAP_SMOOTHING * (
            min(gap_ms, limit_ms) - self._mean_gap_ms
        )
        self.last_received_ms = now_ms
        self.peer.last_received_ms = now_ms

    def is_silent(self, now_ms: int) -> bool:
        """Return whether the peer may have stood still until now.

        :param now_ms: the current time, in ms of the clock.
        """
        return (
            now_ms < self._recovered_ms
            or now_ms - self.last_received_ms > self._max_gap_ms()
        )

    def _max_gap_ms(self) -> float:
        return max(MIN_SILENCE_MS, SILENCE_MULTIPLE * self._mean_gap_ms)

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
