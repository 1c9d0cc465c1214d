"""The granted slots of one shard, and the load of each target."""

import collections
from collections import abc
import dataclasses
import typing

from bulrushdale.admission import bound
from bulrushdale import clock as clock_module

# Maximum age of a load report on arrival.
REPORT_LAG_MS = 1_000
# A request counts for the mean load only this long after its grant, even if it
# has started earlier: other requests may have ended meanwhile, and their
# releases are still on the way.
MIN_GRANT_AGE_MS = 40

SlotKey = tuple[str, int]
CounterKey = typing.TypeVar("CounterKey")


@dataclasses.dataclass(slots=True)
class Slot:
    """A granted slot.

    :param target: the target of the slot.
    :param team: the team that pays.
    :param tokens: estimated prompt and answer tokens.
    :param granted_ms: when it was granted, in ms of the clock.
    """

    target: str
    team: str
    tokens: int
    granted_ms: int


@dataclasses.dataclass(slots=True)
class PendingStart:
    """A granted slot that doesn't count for the mean load yet.

    :param target: the target of the slot.
    :param started: whether the target has started its work.
    :param settled: whether the grant is at least ``MIN_GRANT_AGE_MS`` old.
    """

    target: str
    started: bool = False
    settled: bool = False


class LoadHistory:
    """The granted loads of a target within the lag of a report."""

    __slots__ = ("_values",)

    def __init__(self) -> None:
        self._values: collections.deque[tuple[int, int]] = collections.deque()

    def record(self, now_ms: int, value: int) -> None:
        """Add the current value."""
        self._values.append((now_ms, value))
        # Keep the newest value from before the period: it was in force when
        # the period began.
        while (
            len(self._values) > 1
            and self._values[1][0] <= now_ms - REPORT_LAG_MS
        ):
            self._values.popleft()

    def minimum(self) -> int:
        """Return the minimum within the lag of a report."""
        return min(value for _, value in self._values)

    def maximum(self) -> int:
        """Return the maximum within the lag of a report."""
        return max(value for _, value in self._values)


class SlotTable:
    """Granted slots, and the external load of each target.

    External load is what runs on a target without a slot in this table.

    :param clock: the clock.

    .. versionadded:: 0.1
    """

    __slots__ = (
        "_clock",
        "_slots",
        "_granted_load",
        "_tokens",
        "_team_counts",
        "_router_loads",
        "_router_pending",
        "_pending_counts",
        "_pending_starts",
        "_recent_grants",
        "_orphan_deadlines",
        "_orphan_counts",
        "_stopped_ms",
        "_histories",
        "_external",
        "_min_external",
        "_max_external",
        "_tenure_start_ms",
    )

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._slots: dict[SlotKey, Slot] = {}
        self._granted_load: collections.Counter[str] = collections.Counter()
        self._tokens: collections.Counter[str] = collections.Counter()
        self._team_counts: collections.Counter[str] = collections.Counter()
        # Both by router and target.
        self._router_loads: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._router_pending: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._pending_counts: collections.Counter[str] = collections.Counter()
        self._pending_starts: dict[SlotKey, PendingStart] = {}
        self._recent_grants: collections.deque[tuple[SlotKey, int]] = (
            collections.deque()
        )
        self._orphan_deadlines: dict[str, int] = {}
        self._orphan_counts: collections.Counter[str] = collections.Counter()
        self._stopped_ms: dict[str, int] = {}
        self._histories: dict[str, LoadHistory] = {}
        self._external: dict[str, int] = {}
        self._min_external: dict[str, int] = {}
        self._max_external: dict[str, int] = {}
        self._tenure_start_ms = -1

    def __len__(self) -> int:
        return len(self._slots)

    def __contains__(self, key: SlotKey) -> bool:
        return key in self._slots

    def slots(self) -> abc.ItemsView[SlotKey, Slot]:
        """Return every slot with its router and sequence number."""
        return self._slots.items()

    def team_count(self, team: str) -> int:
        """Return the number of slots of a team."""
        return self._team_counts[team]

    def load(self, target: str) -> int:
        """Return a target's granted load plus its certain external load."""
        return self._granted_load[target] + self._external.get(target, 0)

    def loads(self) -> dict[str, int]:
        """Return the load of each target with a nonzero load."""
        names = {n for n, count in self._external.items() if count}
        names.update(self._granted_load)
        return {name: self.load(name) for name in sorted(names)}

    def max_load(self, target: str, quorum: bound.QuorumState) -> int:
        """Return the upper limit of what runs on a target."""
        if quorum.complete:
            return self.load(target)
        return self._granted_load[target] + self._max_external.get(target, 0)

    def min_load(self, target: str, quorum: bound.QuorumState) -> int:
        """Return the lower limit of what runs on a target.

        A granted slot counts once its router has reported the start of its
        work and the grant is at least ``MIN_GRANT_AGE_MS`` old. On a busy
        machine a request may take long to reach its target. Slots of a lost
        router don't count, as its answers may have ended. While routers are
        missing, the external load is theirs and may have ended too, so it
        doesn't count either.
        """
        granted = self._granted_load[target]
        started = (
            granted
            - self._orphan_counts[target]
            - self._pending_counts[target]
        )
        external = self._min_external.get(target, 0) if quorum.complete else 0
        return max(0, started) + external

    def heard_load(self, target: str, silent: abc.Set[str]) -> int:
        """Return the granted load of a target without unheard routers.

        :param target: the target.
        :param silent: the attached routers that may stand still; those that
            are lost don't count anyway.
        """
        return (
            self._granted_load[target]
            - self._orphan_counts[target]
            - sum(self._router_loads[router, target] for router in silent)
        )

    def heard_min_load(self, target: str, silent: abc.Set[str]) -> int:
        """Return the lower limit of :meth:`heard_load`."""
        pending = self._pending_counts[target] - sum(
            self._router_pending[router, target] for router in silent
        )
        return max(0, self.heard_load(target, silent) - pending)

    def max_load_known(self, target: str, quorum: bound.QuorumState) -> bool:
        """Return whether the upper limit of a target's load is known."""
        return quorum.complete or target in self._max_external

    def external_load_ruled_out(self, target: str) -> bool:
        """Return whether reports have ruled out external load on a target."""
        return self._max_external.get(target) == 0

    def apply_tenure(self, quorum: bound.QuorumState) -> None:
        """Clear the upper limits of the external loads in a new tenure."""
        if quorum.tenure_start_ms != self._tenure_start_ms:
            self._tenure_start_ms = quorum.tenure_start_ms
            self._max_external.clear()

    def grant(self, key: SlotKey, slot: Slot) -> None:
        """Add a slot whose work the target has not started yet."""
        self.add(key, slot)
        if key not in self._pending_starts:
            self._pending_counts[slot.target] += 1
            self._router_pending[key[0], slot.target] += 1
            self._pending_starts[key] = PendingStart(slot.target)
            self._recent_grants.append((key, slot.granted_ms))

    def add(self, key: SlotKey, slot: Slot) -> None:
        """Add a slot, which counts as started, unless it is known."""
        if key in self._slots:
            return
        self._slots[key] = slot
        self._granted_load[slot.target] += 1
        self._router_loads[key[0], slot.target] += 1
        self._tokens[slot.target] += slot.tokens
        self._team_counts[slot.team] += 1
        self._record_granted_load(slot.target)

    def drop(self, key: SlotKey) -> Slot | None:
        """Remove and return a slot, or return None if it is unknown."""
        slot = self._slots.pop(key, None)
        if slot is None:
            return None
        _decrease(self._granted_load, slot.target, 1)
        _decrease(self._router_loads, (key[0], slot.target), 1)
        _decrease(self._tokens, slot.target, slot.tokens)
        _decrease(self._team_counts, slot.team, 1)
        self._record_granted_load(slot.target)
        self._end_pending(key)
        return slot

    def mark_started(self, key: SlotKey) -> None:
        """Record that the target has started the work of a slot."""
        pending = self._pending_starts.get(key)
        if pending is not None:
            pending.started = True
            self._count_started(key, pending)

    def settle_grants(self) -> None:
        """Mark the grants that have reached the minimum age."""
        until_ms = self._clock.now_ms() - MIN_GRANT_AGE_MS
        while self._recent_grants and self._recent_grants[0][1] <= until_ms:
            key, granted_ms = self._recent_grants.popleft()
            pending = self._pending_starts.get(key)
            if (
                pending is not None
                and self._slots[key].granted_ms == granted_ms
            ):
                pending.settled = True
                self._count_started(key, pending)

    def _count_started(self, key: SlotKey, pending: PendingStart) -> None:
        """Count a slot for the mean load if it is started and settled."""
        if pending.started and pending.settled:
            self._end_pending(key)

    def _end_pending(self, key: SlotKey) -> None:
        """Remove a slot from those that don't count for the mean load yet."""
        pending = self._pending_starts.pop(key, None)
        if pending is not None:
            _decrease(self._pending_counts, pending.target, 1)
            _decrease(self._router_pending, (key[0], pending.target), 1)

    def replace(
        self, router: str, held: dict[int, Slot], started: set[int]
    ) -> None:
        """Replace the slots of a router by the ones that it reports.

        :param router: the router.
        :param held: its slots by sequence number.
        :param started: the numbers of slots whose work has started.
        """
        self._orphan_deadlines.pop(router, None)
        self._stopped_ms.pop(router, None)
        self._count_orphans()
        known = {key for key in self._slots if key[0] == router}
        for seq, slot in held.items():
            key = (router, seq)
            known.discard(key)
            if key not in self._slots:
                self.grant(key, slot)
            if seq in started:
                self.mark_started(key)
        for key in known:
            self.drop(key)

    def drop_router(self, router: str) -> None:
        """Drop all slots of a router.

        Its requests may run on, counted by another coordinator or by none,
        so they raise the upper limit of the external load until a report
        shows that they ended.
        """
        for key in [key for key in self._slots if key[0] == router]:
            target = self._slots[key].target
            if target in self._max_external:
                self._max_external[target] += 1
            self.drop(key)
        self._orphan_deadlines.pop(router, None)
        self._stopped_ms.pop(router, None)
        self._count_orphans()

    def orphan(self, router: str, until_ms: int) -> None:
        """Keep the slots of a lost router until a time, in ms of the clock."""
        self._orphan_deadlines[router] = until_ms
        self._count_orphans()

    def shorten_orphan(
        self, router: str, stopped_ms: int, until_ms: int
    ) -> None:
        """Keep the slots of a stopped router no longer than until a time.

        :param router: the router.
        :param stopped_ms: since when it starts no work, in ms of the clock.
        :param until_ms: until when to keep them, in ms of the clock.
        """
        known_ms = self._orphan_deadlines.get(router)
        if known_ms is not None:
            self._orphan_deadlines[router] = min(known_ms, until_ms)
            self._stopped_ms[router] = stopped_ms

    def has_stopped_orphans(self) -> bool:
        """Return whether reports may show that orphans have ended."""
        return bool(self._stopped_ms)

    def _drop_ended_orphans(self, target: str, running: int) -> None:
        """Drop slots of stopped routers beyond what a target reports.

        Such a router starts nothing any more, so no more of its requests can
        run than ran at the time of the report.
        """
        if not self._stopped_ms or self._orphan_counts[target] <= running:
            return
        until_ms = self._clock.now_ms() - REPORT_LAG_MS
        ended = [
            key
            for key, slot in self._slots.items()
            if slot.target == target
            and self._stopped_ms.get(key[0], until_ms + 1) <= until_ms
        ]
        for key in ended[running:]:
            self.drop(key)
        self._count_orphans()

    def expire_orphans(self) -> bool:
        """Drop the slots of lost routers whose deadline has passed.

        :return: whether any were dropped.
        """
        now_ms = self._clock.now_ms()
        dropped = False
        for router, until_ms in list(self._orphan_deadlines.items()):
            if now_ms < until_ms:
                continue
            self.drop_router(router)
            dropped = True
        return dropped

    def _count_orphans(self) -> None:
        self._orphan_counts = collections.Counter(
            slot.target
            for (router, _), slot in self._slots.items()
            if router in self._orphan_deadlines
        )

    def _record_granted_load(self, target: str) -> None:
        """Add a target's granted load to its history."""
        history = self._histories.get(target)
        if history is None:
            history = self._histories[target] = LoadHistory()
        history.record(self._clock.now_ms(), self._granted_load[target])

    def record_report(
        self, target: str, running: int, quorum: bound.QuorumState
    ) -> None:
        """Update the external load of a target from its own report.

        A report lags, so it is compared with the maximum and the minimum of
        the granted load within the lag. The difference to the maximum is
        external load for certain; the difference to the minimum is the most
        that it may be. No other coordinator grants while this one has the
        majority, so the second limit only falls.

        :param target: the target that was probed.
        :param running: the number of requests that it reports as running.
        :param quorum: the quorum of this coordinator.
        """
        self._record_granted_load(target)
        history = self._histories[target]
        external = self._external[target] = max(0, running - history.maximum())
        # While routers are missing, the external load is theirs: they
        # report its slots when they attach, or it has ended by then.
        self._min_external[target] = external if quorum.complete else 0
        self.apply_tenure(quorum)
        age_ms = self._clock.now_ms() - quorum.tenure_start_ms
        if quorum.majority and age_ms >= REPORT_LAG_MS:
            known_max = self._max_external.get(target, running)
            possible = max(0, running - history.minimum())
            self._max_external[target] = min(known_max, possible)
        self._drop_ended_orphans(target, running)


def _decrease(
    counter: "collections.Counter[CounterKey]", key: CounterKey, amount: int
) -> None:
    counter[key] -= amount
    if counter[key] <= 0:
        del counter[key]
