"""Catalogue, VM list and control messages exchanged with peers."""

import asyncio
import logging
import sys
import typing

from bulrushdale.catalogue import entries
from bulrushdale import clock as clock_module
from bulrushdale.control import control_pb2 as pb
from bulrushdale.fleet import link as link_module
from bulrushdale.platform import vms
from bulrushdale.web import context as context_module

LOG = logging.getLogger(__name__)

MAX_REPORTED_AGE_MS = 10_000
CATALOGUE_REQUEST_INTERVAL_MS = 1_000
# No list has this version, so a change that is based on it is never applied.
IMPOSSIBLE_VERSION = 0xFFFFFFFFFFFFFFFF


class FrameHandler:
    """Handles the frames of links, and queues updates for peers.

    :param clock: the clock.

    :ivar vm_list_read_ms: when this router last read the VM list, in ms of the
        clock; none if it never did.

    .. versionadded:: 0.1
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._bound_context: context_module.Context | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._catalogue_requested_ms = 0
        self._vm_list: tuple[int, list[vms.Vm]] = (0, [])
        self.vm_list_read_ms: int | None = None

    def bind(self, context: context_module.Context) -> None:
        """Set the router's context.

        :param context: the objects that handle the messages.
        """
        self._bound_context = context

    @property
    def _context(self) -> context_module.Context:
        if self._bound_context is None:
            raise RuntimeError("bind() was not called")
        return self._bound_context

    def heartbeat(self) -> pb.Heartbeat:
        """Return a heartbeat with this router's state."""
        context = self._context
        own = context.members.own
        own.catalogue_offset = context.catalogue.offset
        return pb.Heartbeat(
            draining=own.draining,
            catalogue_offset=context.catalogue.offset,
            log_age_ms=self._encode_age(context.tail.read_ms),
            list_age_ms=self._encode_age(self.vm_list_read_ms),
        )

    def _encode_age(self, time_ms: int | None) -> int:
        """Return the age of a read plus one, in ms.

        Zero means that there was no read in the last ``MAX_REPORTED_AGE_MS``.
        """
        if time_ms is None:
            return 0
        age_ms = self._clock.now_ms() - time_ms
        return 0 if age_ms > MAX_REPORTED_AGE_MS else age_ms + 1

    def link_opened(self, link: link_module.Link) -> None:
        """Bring a peer whose link has opened up to date.

        The slot client attaches again to the shards that the peer coordinates.
        """
        LOG.info("link to %s opened", link.peer.name)
        if not self._context.catalogue.loaded:
            self._request_catalogue(link)
        version, listed = self._vm_list
        if version:
            _queue_vm_list(link, _encode_vm_list(version, listed))
        self._context.slot_client.reattach(link.peer.name)

    def link_lost(self, link: link_module.Link) -> None:
        """Record a lost link; the peer's slots are kept for a while."""
        LOG.info("link to %s lost", link.peer.name)
        self._context.members.record_lost_link(link.peer)
        self._context.schedulers.orphan(link.peer.name)

    def frame_received(self, link: link_module.Link, frame: pb.Frame) -> None:
        """Handle the messages of one frame.

        Attachments come before slot requests, so that the router of a request
        in the same frame is attached, and releases before starts, which let
        queued requests start.
        """
        context = self._context
        peer = link.peer.name
        for detach in frame.detaches:
            context.schedulers.detach((detach.pool, detach.shard), peer)
            link.queue().detach_acks.add(pool=detach.pool, shard=detach.shard)
        for attach in frame.attaches:
            key = (attach.pool, attach.shard)
            context.schedulers.attach(key, peer, list(attach.held))
        context.schedulers.release(peer, frame.releases)
        for seq in frame.begun:
            context.schedulers.mark_started(peer, seq)
        for request in frame.slot_requests:
            with self._placement_span(request):
                context.schedulers.handle_request(request, peer)
        for ack in frame.detach_acks:
            context.slot_client.confirm_detach(peer, (ack.pool, ack.shard))
        for reply in frame.slot_replies:
            context.slot_client.receive_reply(peer, reply)
        for claim_request in frame.claim_requests:
            self._spawn(context.claim_client.serve(link, claim_request))
        for claim_reply in frame.claim_replies:
            context.claim_client.receive_reply(claim_reply)
        self._receive_state(link, frame)

    def _placement_span(
        self, request: pb.SlotRequest
    ) -> typing.ContextManager[typing.Any]:
        return self._context.telemetry.placement_span(request.traceparent)

    def _spawn(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _receive_state(self, link: link_module.Link, frame: pb.Frame) -> None:
        """Handle the catalogue, VM list and heartbeat of a frame."""
        if frame.HasField("catalogue"):
            self._receive_catalogue(link, frame.catalogue)
        if frame.HasField("vm_list"):
            self._receive_vm_list(link, frame.vm_list)
        if frame.HasField("heartbeat"):
            self._record_vm_list_age(frame.heartbeat.list_age_ms)
            peer_offset = frame.heartbeat.catalogue_offset
            if peer_offset > self._context.catalogue.offset:
                self._request_catalogue(link)

    def _record_vm_list_age(self, age_ms: int) -> None:
        """Record when a peer last read the list.

        :param age_ms: the age of the read plus one, in ms; zero if unknown.
        """
        if not age_ms:
            return
        members = self._context.members
        read_ms = self._clock.now_ms() - age_ms + 1
        if (
            members.vm_list_seen_ms is None
            or members.vm_list_seen_ms < read_ms
        ):
            members.vm_list_seen_ms = read_ms

    def _request_catalogue(self, link: link_module.Link) -> None:
        """Request the whole catalogue of a peer that is ahead.

        Send at most one request per ``CATALOGUE_REQUEST_INTERVAL_MS``.
        """
        now_ms = self._clock.now_ms()
        if (
            now_ms - self._catalogue_requested_ms
            >= CATALOGUE_REQUEST_INTERVAL_MS
        ):
            self._catalogue_requested_ms = now_ms
            link.queue().catalogue.wanted = True

    def _receive_catalogue(
        self, link: link_module.Link, update: pb.CatalogueUpdate
    ) -> None:
        """Merge a peer's catalogue update, and forward what is new.

        The update's offset is adopted only if no change before it is missing
        here; otherwise the peer's whole catalogue is requested. A router
        without a catalogue needs a whole one, with a base offset of zero.
        """
        catalogue = self._context.catalogue
        if update.wanted:
            self._send_catalogue(link)
        changed = [_decode_entry(message) for message in update.entries]
        before = catalogue.offset
        newer = catalogue.merge(changed)
        continuous = update.base_offset <= catalogue.offset
        if update.offset and (catalogue.loaded or not update.base_offset):
            if continuous:
                catalogue.advance(update.offset)
            else:
                self._request_catalogue(link)
        if newer or catalogue.offset > before:
            self._forward_changes(link, changed)

    def _send_catalogue(self, link: link_module.Link) -> None:
        """Send the whole catalogue to a peer, once it is loaded."""
        catalogue = self._context.catalogue
        if not catalogue.loaded:
            return
        update = pb.CatalogueUpdate(offset=catalogue.offset, base_offset=0)
        update.entries.extend(map(_encode_entry, catalogue.all_entries()))
        link.queue().catalogue.MergeFrom(update)

    def _forward_changes(
        self, source: link_module.Link, changed: list[entries.Entry]
    ) -> None:
        """Send changes between this data centre and the others.

        Changes from a peer of this data centre go to the routers of the
        others, and changes from another data centre to those of this one.
        """
        own_centre = self._context.members.own.data_centre
        from_own_centre = source.peer.data_centre == own_centre
        for link in self._context.links.all():
            to_own_centre = link.peer.data_centre == own_centre
            if link is not source and to_own_centre != from_own_centre:
                _queue_entries(link, changed)

    def send_log_changes(self, base: int) -> None:
        """Send all peers the changes that were read from the log.

        This includes entries that were known here before they were read: a
        peer may have been unreachable when they were sent.

        :param base: the offset before the read.
        """
        catalogue = self._context.catalogue
        offset = catalogue.offset
        changed = [e for e in catalogue.all_entries() if e.revision > base]
        for link in self._context.links.all():
            if link.peer.catalogue_offset >= offset:
                continue
            update = link.queue().catalogue
            if not update.offset:
                update.base_offset = base
            update.offset = offset
            update.entries.extend(map(_encode_entry, changed))

    def send_edit(self, changed: list[entries.Entry]) -> None:
        """Send all peers an edit that this router accepted."""
        for link in self._context.links.all():
            _queue_entries(link, changed)

    def update_vm_list(self, version: int, listed: list[vms.Vm]) -> None:
        """Apply a list that this router has read, and send the changes."""
        self.vm_list_read_ms = self._clock.now_ms()
        self._context.members.vm_list_seen_ms = self.vm_list_read_ms
        base, before = self._vm_list
        if not self._apply_vm_list(version, listed) or version == base:
            return
        message = _encode_vm_list_change(base, before, version, listed)
        for link in self._context.links.all():
            _queue_vm_list(link, message)

    def _apply_vm_list(self, version: int, listed: list[vms.Vm]) -> bool:
        """Apply a list; return false if it is older than the known one."""
        context = self._context
        if not context.members.apply_vm_list(version, listed):
            return False
        self._vm_list = (version, listed)
        context.targets.apply_vm_list(listed)
        return True

    def _receive_vm_list(
        self, link: link_module.Link, message: pb.VmList
    ) -> None:
        """Apply a peer's VM list, and send it this router's if it wants it.

        A change of a version that this router doesn't have can't be applied:
        the whole list is requested instead.
        """
        if message.wanted and self._vm_list[0]:
            _queue_vm_list(link, _encode_vm_list(*self._vm_list))
        version, listed = self._vm_list
        if message.version <= version:
            return
        received = {vm.name: _decode_vm(vm) for vm in message.vms}
        # A base version means that the message holds only changes.
        if message.base_version:
            if message.base_version != version:
                link.queue().vm_list.wanted = True
                return
            known = {vm.name: vm for vm in listed}
            received = {**known, **received}
            for name in message.removed:
                received.pop(name, None)
        self._apply_vm_list(message.version, list(received.values()))


def _queue_vm_list(link: link_module.Link, message: pb.VmList) -> None:
    """Queue a list or changes to it; a whole list replaces what is queued."""
    queued = link.queue().vm_list
    wanted = queued.wanted
    if queued.version and message.base_version:
        # A frame has room for one change only. The peer can't apply a change
        # with this base version, so it requests the whole list.
        queued.base_version = IMPOSSIBLE_VERSION
        queued.version = message.version
        return
    queued.CopyFrom(message)
    queued.wanted = wanted


def _decode_vm(message: pb.Vm) -> vms.Vm:
    return vms.Vm(
        message.name,
        message.router,
        message.data_centre,
        message.address,
        message.operator_address,
        message.leaving,
    )


def _encode_vm(vm: vms.Vm) -> pb.Vm:
    return pb.Vm(
        name=vm.name,
        router=vm.router,
        data_centre=vm.data_centre,
        address=vm.address,
        operator_address=vm.operator_address,
        leaving=vm.leaving,
    )


def _encode_vm_list(version: int, listed: list[vms.Vm]) -> pb.VmList:
    return pb.VmList(version=version, vms=map(_encode_vm, listed))


def _encode_vm_list_change(
    base: int, before: list[vms.Vm], version: int, listed: list[vms.Vm]
) -> pb.VmList:
    """Return the changes between two versions of the list.

    :param base: the version of the old list; zero if there is none.
    """
    if not base:
        return _encode_vm_list(version, listed)
    old = {vm.name: vm for vm in before}
    names = {vm.name for vm in listed}
    changed = [vm for vm in listed if old.get(vm.name) != vm]
    return pb.VmList(
        version=version,
        base_version=base,
        vms=map(_encode_vm, changed),
        removed=[name for name in old if name not in names],
    )


def _queue_entries(
    link: link_module.Link, changed: list[entries.Entry]
) -> None:
    if changed:
        link.queue().catalogue.entries.extend(map(_encode_entry, changed))


def _encode_entry(entry: entries.Entry) -> pb.CatalogueEntry:
    return pb.CatalogueEntry(
        kind=entry.kind,
        name=entry.name,
        revision=entry.revision,
        spec=entry.spec or b"",
        deleted=entry.deleted,
        changed_ms=entry.changed_ms,
        operator=entry.operator,
    )


def _decode_entry(message: pb.CatalogueEntry) -> entries.Entry:
    return entries.Entry(
        sys.intern(message.kind),
        message.name,
        message.revision,
        None if message.deleted else message.spec,
        message.changed_ms,
        sys.intern(message.operator),
    )
