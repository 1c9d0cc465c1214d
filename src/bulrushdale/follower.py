"""Keeps a router up to date with the platform's log and list of VMs."""

import logging
import typing

from bulrushdale import clock as clock_module
from bulrushdale import peering as peering_module
from bulrushdale.platform import vms
from bulrushdale import records
from bulrushdale.web import context as context_module

LOG = logging.getLogger(__name__)

# After this long without news of the platform a router reads for itself.
NEWS_LIMIT_MS = 4_000


class Follower:
    """Reads the platform for its data centre, or if nobody else seems to.

    :param context: the router's context.
    :param peering: passes on what was read.
    :param clock: the clock.
    """

    __slots__ = ("_context", "_peering", "_clock")

    def __init__(
        self,
        context: context_module.Context,
        peering: peering_module.Peering,
        clock: clock_module.Clock,
    ) -> None:
        self._context = context
        self._peering = peering
        self._clock = clock

    def _stale(self, newest: typing.Iterable[int | None]) -> bool:
        """Whether none of some readings of the platform is recent."""
        times_ms = [time_ms for time_ms in newest if time_ms is not None]
        if not times_ms:
            return True
        return self._clock.now_ms() - max(times_ms) > NEWS_LIMIT_MS

    async def follow_log(self) -> None:
        """Read the log, and write a snapshot to it if one is due."""
        context = self._context
        members = context.members
        peers = members.linked(members.own.data_centre)
        news = [context.tail.read_ms, *(peer.log_read_ms for peer in peers)]
        if not members.reads_log() and not self._stale(news):
            return
        try:
            await context.tail.poll()
            if members.writes_snapshots() and context.tail.snapshot_due(
                self._snapshot_delay_ms()
            ):
                await context.tail.append_snapshot()
        except records.SourceError as error:
            LOG.warning("the log can't be read: %s", error)

    def _snapshot_delay_ms(self) -> int:
        """Return a wait that lets one data centre go first."""
        settings = self._context.settings
        centres = sorted({m.data_centre for m in self._context.members.all()})
        place = centres.index(settings.data_centre)
        return place * settings.platform.retention_ms // 64

    async def follow_list(self) -> None:
        """Read the list of VMs."""
        context = self._context
        members = context.members
        peers = members.linked(members.own.data_centre)
        news = [
            self._peering.list_read_ms,
            *(peer.list_read_ms for peer in peers),
        ]
        if not members.reads_log() and not self._stale(news):
            return
        try:
            version, listed = await context.vm_list.read()
        except (*vms.READ_ERRORS, ValueError) as error:
            LOG.warning("the list of VMs can't be read: %r", error)
            return
        self._peering.update_list(version, listed)
