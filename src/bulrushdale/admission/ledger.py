"""The slots of one shard, and the load that they put on each target."""

import collections
from collections import abc
import dataclasses

from bulrushdale.admission import bound
from bulrushdale import clock as clock_module

# A report may be as old as this when it arrives.
REPORT_LAG_MS = 1_000
# A request counts for the mean so long after its grant, even if it has begun
# before: others have ended meanwhile whose releases are still on their way.
SETTLE_MS = 40

SlotKey = tuple[str, int]


@dataclasses.dataclass(slots=True)
class Slot:
    """A granted slot.

    :param target: where.
    :param team: whose.
    :param tokens: estimated prompt and answer tokens.
    :param since_ms: when it was granted, in ms.
    """

    target: str
    team: str
    tokens: int
    since_ms: int


@dataclasses.dataclass(slots=True)
class Coming:
    """A granted slot that doesn't count for the mean yet.

    :param target: where.
    :param begun: whether the target has begun its work.
    :param settled: whether its grant is old enough.
    """

    target: str
    begun: bool = False
    settled: bool = False


class History:
    """The values that a number had within the lag of a report."""

    __slots__ = ("_values",)

    def __init__(self) -> None:
        self._values: collections.deque[tuple[int, int]] = collections.deque()

    def note(self, now_ms: int, value: int) -> None:
        """Add the present value."""
        self._values.append((now_ms, value))
        # The newest value from before the span is still one of its values.
        while (
            len(self._values) > 1
            and self._values[1][0] <= now_ms - REPORT_LAG_MS
        ):
            self._values.popleft()

    def least(self) -> int:
        """Return the least value within the lag."""
        return min(value for _, value in self._values)

    def most(self) -> int:
        """Return the greatest value within the lag."""
        return max(value for _, value in self._values)


class Ledger:
    """Slots by holder, and what is known to run beside them.

    :param clock: the clock.

    .. versionadded:: 0.1
    """

    __slots__ = (
        "_clock",
        "_slots",
        "_load",
        "_tokens",
        "_teams",
        "_coming",
        "_coming_slots",
        "_recent",
        "_lost",
        "_orphaned",
        "_history",
        "_foreign",
        "_sure",
        "_unknown",
        "_since_ms",
    )

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._slots: dict[SlotKey, Slot] = {}
        self._load: collections.Counter[str] = collections.Counter()
        self._tokens: collections.Counter[str] = collections.Counter()
        self._teams: collections.Counter[str] = collections.Counter()
        self._coming: collections.Counter[str] = collections.Counter()
        self._coming_slots: dict[SlotKey, Coming] = {}
        self._recent: collections.deque[tuple[SlotKey, int]] = (
            collections.deque()
        )
        self._lost: dict[str, int] = {}
        self._orphaned: collections.Counter[str] = collections.Counter()
        self._history: dict[str, History] = {}
        self._foreign: dict[str, int] = {}
        self._sure: dict[str, int] = {}
        self._unknown: dict[str, int] = {}
        self._since_ms = -1

    def __len__(self) -> int:
        return len(self._slots)

    def __contains__(self, key: SlotKey) -> bool:
        return key in self._slots

    def slots(self) -> abc.ItemsView[SlotKey, Slot]:
        """Return every slot with its holder and number."""
        return self._slots.items()

    def of_team(self, team: str) -> int:
        """Return how many slots a team holds."""
        return self._teams[team]

    def load(self, target: str) -> int:
        """Return a target's load, with what certainly runs beside."""
        return self._load[target] + self._foreign.get(target, 0)

    def loads(self) -> dict[str, int]:
        """Return the load of each target that has any."""
        names = {n for n, count in self._foreign.items() if count}
        names.update(self._load)
        return {name: self.load(name) for name in sorted(names)}

    def most_load(self, target: str, standing: bound.Standing) -> int:
        """Return the most that may run on a target."""
        if standing.complete:
            return self.load(target)
        return self._load[target] + self._unknown.get(target, 0)

    def certain_load(self, target: str, standing: bound.Standing) -> int:
        """Return how much surely runs on a target.

        A request counts once its router has told that the target began it:
        on a busy machine it may be under way for long. The answers of a lost
        router may have ended. While routers are missing, what a target
        reported beside its grants is theirs and may have ended too.
        """
        own = self._load[target]
        sure = own - self._orphaned[target] - self._coming[target]
        beside = self._sure.get(target, 0) if standing.complete else 0
        return max(0, sure) + beside

    def reported(self, target: str, standing: bound.Standing) -> bool:
        """Return whether it is known what may run on a target."""
        return standing.complete or target in self._unknown

    def settled(self, target: str) -> bool:
        """Return whether nothing unknown may run on a target."""
        return self._unknown.get(target) == 0

    def follow(self, standing: bound.Standing) -> None:
        """Forget what was known beside the slots in an earlier tenure."""
        if standing.since_ms != self._since_ms:
            self._since_ms = standing.since_ms
            self._unknown.clear()

    def grant(self, key: SlotKey, slot: Slot) -> None:
        """Add a slot whose work the target has yet to begin."""
        self.add(key, slot)
        if key not in self._coming_slots:
            self._coming[slot.target] += 1
            self._coming_slots[key] = Coming(slot.target)
            self._recent.append((key, slot.since_ms))

    def add(self, key: SlotKey, slot: Slot) -> None:
        """Add a slot whose request runs already; a known one stays."""
        if key in self._slots:
            return
        self._slots[key] = slot
        self._load[slot.target] += 1
        self._tokens[slot.target] += slot.tokens
        self._teams[slot.team] += 1
        self._note_load(slot.target)

    def drop(self, key: SlotKey) -> Slot | None:
        """Remove a slot and return it, if it was there."""
        slot = self._slots.pop(key, None)
        if slot is None:
            return None
        _decrease(self._load, slot.target, 1)
        _decrease(self._tokens, slot.target, slot.tokens)
        _decrease(self._teams, slot.team, 1)
        self._note_load(slot.target)
        coming = self._coming_slots.pop(key, None)
        if coming is not None:
            _decrease(self._coming, coming.target, 1)
        return slot

    def begin(self, key: SlotKey) -> None:
        """Note that a target has begun the work of a slot."""
        coming = self._coming_slots.get(key)
        if coming is not None:
            coming.begun = True
            self._count(key, coming)

    def age(self) -> None:
        """Note which grants are old enough by now."""
        before_ms = self._clock.now_ms() - SETTLE_MS
        while self._recent and self._recent[0][1] <= before_ms:
            key, since_ms = self._recent.popleft()
            coming = self._coming_slots.get(key)
            if coming is not None and self._slots[key].since_ms == since_ms:
                coming.settled = True
                self._count(key, coming)

    def _count(self, key: SlotKey, coming: Coming) -> None:
        """Count a slot for the mean from now on, if it may."""
        if coming.begun and coming.settled:
            del self._coming_slots[key]
            _decrease(self._coming, coming.target, 1)

    def replace(
        self, router: str, held: dict[int, Slot], begun: set[int]
    ) -> None:
        """Take a router's own word for what it holds.

        :param router: the router.
        :param held: its slots by number.
        :param begun: those whose work the targets have begun.
        """
        self._lost.pop(router, None)
        self._count_orphans()
        known = {key for key in self._slots if key[0] == router}
        for seq, slot in held.items():
            key = (router, seq)
            known.discard(key)
            if key not in self._slots:
                self.grant(key, slot)
            if seq in begun:
                self.begin(key)
        for key in known:
            self.drop(key)

    def forget(self, router: str) -> None:
        """Drop all slots of a router.

        Its requests may run on, counted by another home or by nobody, until
        a report shows that they don't.
        """
        for key in [key for key in self._slots if key[0] == router]:
            target = self._slots[key].target
            if target in self._unknown:
                self._unknown[target] += 1
            self.drop(key)
        self._lost.pop(router, None)
        self._count_orphans()

    def orphan(self, router: str, until_ms: int) -> None:
        """Keep a lost router's slots until a time, in ms."""
        self._lost[router] = until_ms
        self._count_orphans()

    def expire_orphans(self) -> bool:
        """Drop the slots of lost routers whose time is over.

        :return: whether any were dropped.
        """
        now_ms = self._clock.now_ms()
        dropped = False
        for router, until_ms in list(self._lost.items()):
            if now_ms < until_ms:
                continue
            self.forget(router)
            dropped = True
        return dropped

    def _count_orphans(self) -> None:
        self._orphaned = collections.Counter(
            slot.target
            for (router, _), slot in self._slots.items()
            if router in self._lost
        )

    def _note_load(self, target: str) -> None:
        """Keep what was granted on a target lately."""
        history = self._history.get(target)
        if history is None:
            history = self._history[target] = History()
        history.note(self._clock.now_ms(), self._load[target])

    def note_report(
        self, target: str, running: int, standing: bound.Standing
    ) -> None:
        """Compare what a target reports with what was granted here.

        A report lags, so it is compared with the most and the least that
        was granted within the lag: the first tells what certainly runs
        beside, the second what may run beside. Nobody else grants while
        this home has the majority, so the second only falls.

        :param target: the target that was probed.
        :param running: what it says is running.
        :param standing: what this home may rely on.
        """
        self._note_load(target)
        history = self._history[target]
        foreign = self._foreign[target] = max(0, running - history.most())
        # Without all routers it is theirs: they bring it along when they
        # are attached, or it has ended by then.
        self._sure[target] = foreign if standing.complete else 0
        self.follow(standing)
        age_ms = self._clock.now_ms() - standing.since_ms
        if standing.majority and age_ms >= REPORT_LAG_MS:
            most = self._unknown.get(target, running)
            beside = max(0, running - history.least())
            self._unknown[target] = min(most, beside)


def _decrease(
    counter: "collections.Counter[str]", key: str, amount: int
) -> None:
    counter[key] -= amount
    if counter[key] <= 0:
        del counter[key]
