"""The routers that one router knows.

The views of two routers may differ for seconds. No invariant depends on
their agreement.
"""

from collections import abc

from bulrushdale import clock as clock_module
from bulrushdale import hashing
from bulrushdale.platform import vms

GATEWAYS = 2
LOG_READERS = 2


class Member:
    """A router as this router sees it.

    :ivar listed: whether the platform's VM list contains it.
    :ivar leaving: whether the VM list marks it as about to stop.
    :ivar connection_refused: whether its port refused the last connection,
        which shows that its process has stopped.
    :ivar last_received_ms: when a message from it last arrived, in ms, if
        ever.
    :ivar linked: whether a link to it is open.
    :ivar log_read_ms: when it last read the log, in ms, if known.
    :ivar vm_list_read_ms: when it last read the VM list, in ms, if known.
    :ivar started_ms: when it started, in ms since the epoch.
    """

    __slots__ = (
        "name",
        "data_centre",
        "link_address",
        "operator_address",
        "listed",
        "leaving",
        "connection_refused",
        "last_received_ms",
        "linked",
        "draining",
        "catalogue_offset",
        "log_read_ms",
        "vm_list_read_ms",
        "started_ms",
    )

    def __init__(self, name: str, data_centre: str) -> None:
        self.name = name
        self.data_centre = data_centre
        self.link_address = ""
        self.operator_address = ""
        self.listed = False
        self.leaving = False
        self.connection_refused = False
        self.last_received_ms: int | None = None
        self.linked = False
        self.draining = False
        self.catalogue_offset = 0
        self.log_read_ms: int | None = None
        self.vm_list_read_ms: int | None = None
        self.started_ms = 0


class Members:
    """The routers that this router knows of, itself included.

    :param own: this router.
    :param clock: the clock.
    :param forget_ms: the time without a message after which an unlisted
        router no longer counts, in ms.

    :ivar vm_list_version: the version of the VM list that was applied last.
    :ivar vm_list_seen_ms: when this router or a peer last read the VM list,
        in ms.

    .. versionadded:: 0.1
    """

    __slots__ = (
        "own",
        "_clock",
        "_forget_ms",
        "_members",
        "_lost_ms",
        "vm_list_version",
        "vm_list_seen_ms",
    )

    def __init__(
        self, own: Member, clock: clock_module.Clock, forget_ms: int
    ) -> None:
        self.own = own
        self._clock = clock
        self._forget_ms = forget_ms
        self._members = {own.name: own}
        self._lost_ms: int | None = None
        self.vm_list_version = 0
        self.vm_list_seen_ms: int | None = None

    def record_lost_link(self, member: Member) -> None:
        """Record that the link to a router was lost.

        Only routers of this data centre that aren't draining count.
        """
        here = member.data_centre == self.own.data_centre
        if here and not member.draining:
            self._lost_ms = self._clock.now_ms()

    def lost_within(self, span_ms: int) -> bool:
        """Return whether the link to a router here was lost recently.

        :param span_ms: how far to look back, in ms.
        """
        if self._lost_ms is None:
            return False
        return self._clock.now_ms() - self._lost_ms < span_ms

    def get(self, name: str) -> Member | None:
        """Return a router, or None if it is unknown."""
        return self._members.get(name)

    def all(self) -> list[Member]:
        """Return all known routers, sorted by name."""
        return [self._members[name] for name in sorted(self._members)]

    def get_or_add(self, name: str, data_centre: str) -> Member:
        """Return a router, adding it if it is unknown."""
        member = self._members.get(name)
        if member is None:
            member = Member(name, data_centre)
            self._members[name] = member
        return member

    def apply_vm_list(
        self, version: int, listed: abc.Iterable[vms.Vm]
    ) -> bool:
        """Apply the platform's VM list.

        :param version: the version of the list; an older one is ignored.
        :param listed: all VMs; targets are ignored.
        :return: whether the list was applied.
        """
        if version < self.vm_list_version:
            return False
        self.vm_list_version = version
        routers = {vm.name: vm for vm in listed if vm.router}
        for name, vm in routers.items():
            member = self.get_or_add(name, vm.data_centre)
            if member is not self.own:
                if member.link_address != vm.address:
                    member.connection_refused = False
                member.link_address = vm.address
            member.operator_address = vm.operator_address
            member.listed = True
            member.leaving = vm.leaving
        for name, member in list(self._members.items()):
            if name not in routers:
                member.listed = False
                self._remove_if_gone(member)
        return True

    def _remove_if_gone(self, member: Member) -> None:
        """Forget an unlisted router that is stopped or long unreachable."""
        if member is self.own or member.linked or member.listed:
            return
        if not member.connection_refused and self._received_recently(member):
            return
        del self._members[member.name]

    def _received_recently(self, member: Member) -> bool:
        if member.last_received_ms is None:
            return False
        return self._clock.now_ms() - member.last_received_ms < self._forget_ms

    def linked(self, data_centre: str | None = None) -> list[Member]:
        """Return the routers with an open link.

        :param data_centre: only those of this data centre, if given.
        """
        return [
            member
            for member in self._members.values()
            if member.linked
            and (data_centre is None or member.data_centre == data_centre)
        ]

    def quorum_names(self) -> list[str]:
        """Return routers that may be granting slots in this data centre.

        An unreachable router counts as long as the platform lists it: it
        may be serving on the other side of a network partition. If the
        list can't be read, it counts until ``forget_ms`` after its last
        message.
        """
        return [
            member.name
            for member in self._members.values()
            if member.data_centre == self.own.data_centre
            and (member is self.own or self._may_be_alive(member))
        ]

    def _may_be_alive(self, member: Member) -> bool:
        if member.linked:
            return True
        if member.connection_refused:
            return False
        if member.listed and self._vm_list_is_fresh():
            return True
        return self._received_recently(member)

    def _vm_list_is_fresh(self) -> bool:
        if self.vm_list_seen_ms is None:
            return False
        return self._clock.now_ms() - self.vm_list_seen_ms < self._forget_ms

    def eligible(self) -> list[str]:
        """Return the names of routers here that may take a role, sorted."""
        return sorted(
            member.name
            for member in self._members.values()
            if member.data_centre == self.own.data_centre
            and (member is self.own or member.linked)
            and not member.draining
        )

    def _choose(self, label: str, names: list[str], count: int) -> list[str]:
        """Return the first *count* names in a label's rendezvous order."""
        key = hashing.hash64(label.encode())
        return hashing.rendezvous(key, names)[:count]

    def reads_log(self) -> bool:
        """Return whether this router reads log and VM list for its peers."""
        readers = self._choose("log-reader", self.eligible(), LOG_READERS)
        return self.own.name in readers

    def writes_snapshots(self) -> bool:
        """Return whether this router appends snapshots to the log."""
        writers = self._choose("snapshot", self.eligible(), 1)
        return self.own.name in writers

    def gateways(self, data_centre: str) -> list[str]:
        """Return the routers that link a data centre to the others."""
        names = [
            member.name
            for member in self._members.values()
            if member.data_centre == data_centre
            and (member is self.own or self._may_be_alive(member))
        ]
        return self._choose("gateway", names, GATEWAYS)

    def wants_link(self, member: Member) -> bool:
        """Return whether this router needs a link to *member*."""
        if member is self.own or not member.link_address:
            return False
        if member.data_centre == self.own.data_centre:
            return True
        if self.own.name not in self.gateways(self.own.data_centre):
            return False
        return member.name in self.gateways(member.data_centre)
