"""Persistent links between routers.

Two routers share one stream. The router whose name sorts first dials; the
other one dials only if no link was opened within a timeout. After a link is
lost, both dial at once. One task reads a link and one writes it. All messages
that are queued between two writes are sent in one frame.
"""

import asyncio
import hashlib
import hmac
import logging
import typing

from grpclib import client
from grpclib import exceptions
from grpclib import server

from bulrushdale import clock as clock_module
from bulrushdale.control import control_grpc
from bulrushdale.control import control_pb2 as pb
from bulrushdale.fleet import link as link_module
from bulrushdale.fleet import members as members_module

LOG = logging.getLogger(__name__)

# The gRPC message prefix (5 bytes) and HTTP/2 frame header (9 bytes) of
# each message.
FRAME_OVERHEAD_BYTES = 14
DIAL_INTERVAL_MS = 500
DIAL_TIMEOUT_MS = 1_500
INCOMING_LINK_TIMEOUT_MS = 3_000
AUTH_WINDOW_MS = 120_000
CLOCK_MASK = 0xFFFFFFFF
LINK_ERRORS = (
    OSError,
    TimeoutError,
    exceptions.GRPCError,
    exceptions.StreamTerminatedError,
    exceptions.ProtocolError,
)


class Links(control_grpc.ControlBase):
    """All persistent links of one router.

    :param members: the known routers.
    :param handlers: the callbacks for links and frames.
    :param clock: the clock.
    :param secret: the secret that authenticates all routers.
    :param heartbeat_interval_ms: the time between heartbeats, in ms.
    :param switch_ms: the time without a frame after which a link is
        closed, in ms.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        members: members_module.Members,
        handlers: link_module.Handlers,
        clock: clock_module.Clock,
        secret: str,
        heartbeat_interval_ms: int,
        switch_ms: int,
    ) -> None:
        self._members = members
        self._handlers = handlers
        self._clock = clock
        self._secret = secret.encode()
        self._heartbeat_interval_ms = heartbeat_interval_ms
        self._switch_ms = switch_ms
        self._links: dict[str, link_module.Link] = {}
        self._dialling: dict[str, asyncio.Task[None]] = {}
        self._missing_since_ms: dict[str, int] = {}
        self._server: server.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._closed_link_bytes = 0
        self._stopping = False

    def get(self, name: str) -> link_module.Link | None:
        """Return the link to a router, if there is one."""
        return self._links.get(name)

    def all(self) -> list[link_module.Link]:
        """Return all links."""
        return list(self._links.values())

    def total_bytes(self) -> int:
        """Return the bytes of all frames sent and received so far."""
        open_bytes = sum(
            link.bytes_in + link.bytes_out for link in self._links.values()
        )
        return self._closed_link_bytes + open_bytes

    async def start(self, host: str, port: int) -> None:
        """Listen, and start the tasks that dial and send heartbeats."""
        self._server = server.Server([self])
        await self._server.start(host, port)
        self._tasks = [
            asyncio.create_task(self._dial_forever()),
            asyncio.create_task(self._heartbeat_forever()),
        ]

    async def stop(self) -> None:
        """Stop dialling and listening, and close all links."""
        self._stopping = True
        for task in [*self._tasks, *self._dialling.values()]:
            task.cancel()
        for link in self.all():
            link.close()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def _dial_forever(self) -> None:
        while True:
            self._dial_missing()
            await self._clock.sleep_ms(DIAL_INTERVAL_MS)

    def _dial_missing(self) -> None:
        """Dial the wanted routers that have no link.

        A router whose name sorts first is given ``INCOMING_LINK_TIMEOUT_MS``
        to dial this one.
        """
        now_ms = self._clock.now_ms()
        for member in self._members.all():
            name = member.name
            if not self._members.wants_link(member) or name in self._links:
                self._missing_since_ms.pop(name, None)
                continue
            since_ms = self._missing_since_ms.setdefault(name, now_ms)
            awaits_peer = now_ms - since_ms < INCOMING_LINK_TIMEOUT_MS
            if name < self._members.own.name and awaits_peer:
                continue
            self._start_dial(member)

    def _start_dial(self, member: members_module.Member) -> None:
        """Dial a router in the background, unless that is in progress."""
        name = member.name
        if name in self._dialling:
            return
        task = asyncio.create_task(self._dial(member))
        self._dialling[name] = task

        def forget(_: "asyncio.Task[None]") -> None:
            self._dialling.pop(name, None)

        task.add_done_callback(forget)

    async def _dial(self, member: members_module.Member) -> None:
        """Dial a router once and run the link until it ends."""
        host, _, port = member.link_address.rpartition(":")
        channel = client.Channel(host, int(port))
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_MS / 1000):
                await channel.__connect__()
        except ConnectionRefusedError:
            member.connection_refused = True
            channel.close()
            return
        except (OSError, TimeoutError):
            channel.close()
            return
        stub = control_grpc.ControlStub(channel)
        try:
            async with stub.Exchange.open(
                metadata=self._credentials()
            ) as stream:
                await stream.send_message(self._hello_frame())
                await self._run(stream)
        except LINK_ERRORS as error:
            LOG.debug("dialled link to %s failed: %r", member.name, error)
        finally:
            channel.close()

    async def Exchange(  # noqa: N802
        self, stream: "server.Stream[pb.Frame, pb.Frame]"
    ) -> None:
        """Serve a link that a peer dialled."""
        if not self._is_authentic(stream.metadata):
            LOG.warning("refused a link with invalid credentials")
            return
        try:
            await stream.send_message(self._hello_frame())
            await self._run(stream)
        except LINK_ERRORS as error:
            LOG.debug("accepted link failed: %r", error)

    def _hello_frame(self) -> pb.Frame:
        """Return the first frame of a link, with this router's state."""
        own = self._members.own
        hello = pb.Hello(
            router=own.name,
            data_centre=own.data_centre,
            link_address=own.link_address,
            operator_address=own.operator_address,
            started_ms=own.started_ms,
            catalogue_offset=own.catalogue_offset,
        )
        heartbeat = self._handlers.heartbeat()
        heartbeat.sent_ms = self._clock.now_ms() & CLOCK_MASK
        return pb.Frame(hello=hello, heartbeat=heartbeat)

    def _credentials(self) -> dict[str, str]:
        stamp = f"{self._members.own.name} {self._clock.wall_ms()}"
        return {"x-router": stamp, "x-proof": self._proof(stamp)}

    def _proof(self, stamp: str) -> str:
        return hmac.new(
            self._secret, stamp.encode(), hashlib.sha256
        ).hexdigest()

    def _is_authentic(self, metadata: typing.Any) -> bool:
        """Return whether a peer's credentials are recent and signed."""
        stamp = str(metadata.get("x-router", ""))
        proof = str(metadata.get("x-proof", ""))
        if not hmac.compare_digest(proof, self._proof(stamp)):
            return False
        try:
            sent_ms = int(stamp.rpartition(" ")[2])
        except ValueError:
            return False
        return abs(self._clock.wall_ms() - sent_ms) < AUTH_WINDOW_MS

    async def _run(self, stream: typing.Any) -> None:
        """Run a link until either side ends it."""
        first = await stream.recv_message()
        if first is None or not first.HasField("hello"):
            return
        link = self._open(first)
        self._apply_heartbeat(link, first.heartbeat)
        self._send_heartbeat(link, self._handlers.heartbeat())
        writer = asyncio.create_task(self._write(link, stream))
        reader = asyncio.create_task(self._read(link, stream, first))
        closer = asyncio.create_task(link.closed.wait())
        tasks: list[asyncio.Task[typing.Any]] = [writer, reader, closer]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            # This runs before any await, as the server may cancel this call
            # twice and the second cancellation would skip it.
            self._remove(link)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _open(self, first: pb.Frame) -> link_module.Link:
        """Add the link of a peer that has sent its first frame.

        A previous link to the same peer is closed and counts as lost.
        """
        hello = first.hello
        member = self._members.get_or_add(hello.router, hello.data_centre)
        if not member.link_address:
            member.link_address = hello.link_address
        member.operator_address = hello.operator_address
        member.started_ms = hello.started_ms
        member.connection_refused = False
        member.linked = True
        now_ms = self._clock.now_ms()
        member.last_received_ms = now_ms
        previous = self._links.pop(member.name, None)
        if previous is not None:
            # The peer may have moved the slots that it held here to another
            # router, so the previous link counts as lost.
            previous.close()
            self._handlers.link_lost(previous)
        link = link_module.Link(member, now_ms)
        self._links[member.name] = link
        self._handlers.link_opened(link)
        return link

    def _remove(self, link: link_module.Link) -> None:
        """Close a link and add its bytes to the total.

        Unless a newer link has replaced it, report it as lost and dial the
        peer.
        """
        link.closed.set()
        self._closed_link_bytes += link.bytes_in + link.bytes_out
        link.bytes_in = link.bytes_out = 0
        if self._links.get(link.peer.name) is not link:
            return
        del self._links[link.peer.name]
        link.peer.linked = False
        self._handlers.link_lost(link)
        self._dial_after_loss(link.peer)

    def _dial_after_loss(self, member: members_module.Member) -> None:
        """Dial at once, to tell a stopped process from a network failure.

        A refused connection shows that the process has stopped. A router
        that is stopping doesn't dial: its peer would keep the new link
        until it detects that no frames arrive.
        """
        if not self._stopping and self._members.wants_link(member):
            self._start_dial(member)

    async def _write(self, link: link_module.Link, stream: typing.Any) -> None:
        while not link.closed.is_set():
            frame = await link.next_frame()
            link.bytes_out += frame.ByteSize() + FRAME_OVERHEAD_BYTES
            await stream.send_message(frame)

    async def _read(
        self, link: link_module.Link, stream: typing.Any, first: pb.Frame
    ) -> None:
        """Handle the frames of a link, the first one included."""
        frame: pb.Frame | None = first
        while frame is not None:
            link.bytes_in += frame.ByteSize() + FRAME_OVERHEAD_BYTES
            link.frames_in += 1
            link.record_frame(self._clock.now_ms())
            if frame.HasField("heartbeat") and frame is not first:
                self._apply_heartbeat(link, frame.heartbeat)
            self._handlers.frame_received(link, frame)
            frame = await stream.recv_message()

    def _apply_heartbeat(
        self, link: link_module.Link, heartbeat: pb.Heartbeat
    ) -> None:
        """Record the state of a peer, and its echo of this router's clock."""
        now_ms = self._clock.now_ms()
        link.peer_clock_ms = heartbeat.sent_ms
        if heartbeat.echo_ms:
            age_ms = (now_ms - heartbeat.echo_ms) & CLOCK_MASK
            link.echo_ms = now_ms - age_ms
        peer = link.peer
        peer.draining = heartbeat.draining
        peer.catalogue_offset = heartbeat.catalogue_offset
        if heartbeat.log_age_ms:
            peer.log_read_ms = now_ms - heartbeat.log_age_ms + 1
        if heartbeat.list_age_ms:
            peer.vm_list_read_ms = now_ms - heartbeat.list_age_ms + 1

    async def _heartbeat_forever(self) -> None:
        while True:
            self.send_heartbeats()
            await self._clock.sleep_ms(self._heartbeat_interval_ms)

    def send_heartbeats(self) -> None:
        """Queue a heartbeat on every link and close unresponsive links."""
        now_ms = self._clock.now_ms()
        heartbeat = self._handlers.heartbeat()
        for link in self.all():
            if now_ms - link.last_received_ms > self._switch_ms:
                LOG.warning("closing unresponsive link to %s", link.peer.name)
                link.close()
                continue
            self._send_heartbeat(link, heartbeat)

    def _send_heartbeat(
        self, link: link_module.Link, heartbeat: pb.Heartbeat
    ) -> None:
        heartbeat.sent_ms = self._clock.now_ms() & CLOCK_MASK
        heartbeat.echo_ms = link.peer_clock_ms
        link.queue().heartbeat.CopyFrom(heartbeat)
