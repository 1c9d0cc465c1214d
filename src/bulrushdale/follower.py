"""Reads of the platform's log and list of VMs in the background."""

import logging
import typing

from bulrushdale import clock as clock_module
from bulrushdale import peering as peering_module
from bulrushdale.platform import vms
from bulrushdale import records
from bulrushdale.web import context as context_module

LOG = logging.getLogger(__name__)

# A router reads the platform itself if no router of its data centre has read
# it for this long.
MAX_READ_AGE_MS = 4_000


class Follower:
    """Reads the platform if that is its role or no peer has read it lately.

    :param context: the router's context.
    :param frame_handler: sends the VM list to peers.
    :param clock: the clock.
    """

    __slots__ = ("_context", "_frame_handler", "_clock")

    def __init__(
        self,
        context: context_module.Context,
        frame_handler: peering_module.FrameHandler,
        clock: clock_module.Clock,
    ) -> None:
        self._context = context
        self._frame_handler = frame_handler
        self._clock = clock

    def _stale(self, read_times_ms: typing.Iterable[int | None]) -> bool:
        """Return whether none of the reads of the platform is recent.

        :param read_times_ms: the times of the reads, in ms of the clock.
        """
        times_ms = [
            time_ms for time_ms in read_times_ms if time_ms is not None
        ]
        if not times_ms:
            return True
        return self._clock.now_ms() - max(times_ms) > MAX_READ_AGE_MS

    async def follow_log(self) -> None:
        """Read the log, and append a snapshot to it if one is due."""
        context = self._context
        members = context.members
        peers = members.linked(members.own.data_centre)
        read_times_ms = [
            context.tail.read_ms,
            *(peer.log_read_ms for peer in peers),
        ]
        if not members.reads_log() and not self._stale(read_times_ms):
            return
        try:
            await context.tail.poll()
            if members.writes_snapshots() and context.tail.snapshot_due(
                self._snapshot_delay_ms()
            ):
                await context.tail.append_snapshot()
        except records.SourceError as error:
            LOG.warning("failed to read the log: %s", error)

    def _snapshot_delay_ms(self) -> int:
        """Return the delay of this router's snapshots, in ms.

        It differs between data centres, so that one of them writes first.
        """
        settings = self._context.settings
        centres = sorted({m.data_centre for m in self._context.members.all()})
        rank = centres.index(settings.data_centre)
        return rank * settings.platform.retention_ms // 64

    async def follow_vm_list(self) -> None:
        """Read the list of VMs, and send its changes to peers."""
        context = self._context
        members = context.members
        peers = members.linked(members.own.data_centre)
        read_times_ms = [
            self._frame_handler.vm_list_read_ms,
            *(peer.vm_list_read_ms for peer in peers),
        ]
        if not members.reads_log() and not self._stale(read_times_ms):
            return
        try:
            version, listed = await context.vm_list.read()
        except (*vms.READ_ERRORS, ValueError) as error:
            LOG.warning("failed to read the list of VMs: %r", error)
            return
        self._frame_handler.update_vm_list(version, listed)
