"""The home of one shard of targets: it grants their slots."""

import collections
import dataclasses
import math
import random
import typing

from bulrushdale.admission import bound
from bulrushdale.admission import choice
from bulrushdale.admission import queue
from bulrushdale.catalogue import entries
from bulrushdale import clock as clock_module
from bulrushdale.fleet import targets as targets_module
from bulrushdale import results

CHAT_MEMORY = 20_000
HOLD_SMOOTHING = 0.05
FIRST_HOLD_MS = 1_000.0
LEAST_RETRY_MS = 200
MOST_RETRY_MS = 60_000
# Slots kept free for teams that are below their share.
RESERVE_SHARE = 0.1
# A report may be as old as this when it arrives.
REPORT_LAG_MS = 1_000
# So long a request may be under way to its target after its grant.
ARRIVAL_MS = 40


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The answer to an :class:`~bulrushdale.admission.queue.Ask`.

    :param code: zero grants the slot; else why it is refused.
    :param target: where to start.
    :param retry_after_ms: when to come back after a refusal, in ms.
    :param reason: why the target was chosen.
    :param bound: the target's bound at the time.
    :param waited_ms: how long the request waited at the home, in ms.
    """

    code: results.Code
    target: str = ""
    retry_after_ms: int = 0
    reason: choice.Reason = choice.Reason.NONE
    bound: int = 0
    waited_ms: int = 0


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


Answer = typing.Callable[[queue.Ask, Reply], None]
Choose = typing.Callable[
    [int, str | None, list[str], list[str], dict[str, int]],
    tuple[str, choice.Reason],
]


class Desk:
    """Grants the slots of one shard.

    :param usable: returns the targets that may get new work.
    :param promise: returns the figures of the catalogue.
    :param team_limits: returns a team's limits on this shard: in flight
        and queued.
    :param ramp: returns the part of its bound that a target may have.
    :param standing: returns what this home may rely on.
    :param answer: called with each reply.
    :param clock: the clock.
    :param rng: spreads the times to come back.
    :param choose: picks a target among those below their bound.

    .. versionadded:: 0.1
    """

    __slots__ = (
        "_usable",
        "_promise",
        "_team_limits",
        "_ramp",
        "_standing",
        "_answer",
        "_clock",
        "_rng",
        "_choose",
        "_slots",
        "_load",
        "_foreign",
        "_unknown",
        "_since_ms",
        "_history",
        "_tokens",
        "_teams",
        "_queue",
        "_chats",
        "_hold_ms",
        "_orphans",
        "_young",
        "_young_slots",
        "_recent",
        "_orphaned",
        "granted",
    )

    def __init__(
        self,
        usable: typing.Callable[[], list[targets_module.Target]],
        promise: typing.Callable[[], entries.Promise],
        team_limits: typing.Callable[[str], tuple[int, int]],
        ramp: typing.Callable[[targets_module.Target], float],
        standing: typing.Callable[[], bound.Standing],
        answer: Answer,
        clock: clock_module.Clock,
        rng: random.Random,
        choose: Choose = choice.by_affinity,
    ) -> None:
        self._usable = usable
        self._promise = promise
        self._team_limits = team_limits
        self._ramp = ramp
        self._standing = standing
        self._answer = answer
        self._clock = clock
        self._rng = rng
        self._choose = choose
        self._slots: dict[tuple[str, int], Slot] = {}
        self._load: collections.Counter[str] = collections.Counter()
        self._foreign: dict[str, int] = {}
        self._unknown: dict[str, int] = {}
        self._since_ms = -1
        self._history: dict[str, _History] = {}
        self._tokens: collections.Counter[str] = collections.Counter()
        self._teams: collections.Counter[str] = collections.Counter()
        self._queue = queue.WeightedQueue()
        self._chats: collections.OrderedDict[int, str] = (
            collections.OrderedDict()
        )
        self._hold_ms = FIRST_HOLD_MS
        self._orphans: dict[str, int] = {}
        self._young: collections.Counter[str] = collections.Counter()
        self._young_slots: dict[tuple[str, int], str] = {}
        self._recent: collections.deque[tuple[tuple[str, int], int]] = (
            collections.deque()
        )
        self._orphaned: collections.Counter[str] = collections.Counter()
        self.granted = 0

    @property
    def in_flight(self) -> int:
        """The slots granted and not released."""
        return len(self._slots)

    @property
    def queued(self) -> int:
        """The requests that wait."""
        return len(self._queue)

    def load(self, target: str) -> int:
        """Return the load that counts against a target's bound."""
        return self._load[target] + self._foreign.get(target, 0)

    def ask(self, ask: queue.Ask) -> None:
        """Grant a slot, queue the request, or refuse it at once.

        Nobody who waits could start when a request arrives, or it would
        have started; so a request that can start takes no one's turn but
        its own team's.
        """
        if (ask.router, ask.seq) in self._slots:
            self._drop((ask.router, ask.seq))
        targets = self._usable()
        if not targets:
            self._refuse(ask, results.Code.NO_TARGET, FIRST_HOLD_MS)
            return
        if not self._queue.queued(ask.team):
            chosen = self._place(ask, targets)
            if chosen is not None:
                self._grant(ask, *chosen)
                return
        self._enqueue(ask, targets)

    def _enqueue(
        self, ask: queue.Ask, targets: list[targets_module.Target]
    ) -> None:
        _, most_queued = self._team_limits(ask.team)
        wait_ms = self._wait_ms(ask, targets)
        if self._queue.queued(ask.team) >= most_queued:
            self._refuse(ask, results.Code.TEAM_LIMIT, wait_ms)
            return
        if self._clock.now_ms() + wait_ms > ask.deadline_ms:
            self._refuse(ask, results.Code.QUEUE_FULL, wait_ms)
            return
        self._queue.push(ask)

    def _wait_ms(
        self, ask: queue.Ask, targets: list[targets_module.Target]
    ) -> float:
        """Estimate how long a new request would wait (Little's law)."""
        ahead = self._queue.ahead(ask.team, ask.weight)
        running = self._capacity(targets)
        limit, _ = self._team_limits(ask.team)
        if self._teams[ask.team] >= limit:
            running = min(running, limit)
            ahead = float(self._queue.queued(ask.team))
        return (ahead + 1) * self._hold_ms / running

    def _capacity(self, targets: list[targets_module.Target]) -> int:
        return sum(target.slots for target in targets)

    def _refuse(
        self, ask: queue.Ask, code: results.Code, wait_ms: float
    ) -> None:
        """Refuse, spreading the callers' return over a time."""
        spread_ms = wait_ms * (0.5 + self._rng.random())
        retry_ms = min(MOST_RETRY_MS, max(LEAST_RETRY_MS, spread_ms))
        self._answer(ask, Reply(code, retry_after_ms=int(retry_ms)))

    def _bound(
        self, target: targets_module.Target, total: int, count: int
    ) -> int:
        promise = self._promise()
        limit = bound.whole(
            total, count, promise.load_multiple, promise.least_bound
        )
        ramp = self._ramp(target)
        if ramp < 1.0:
            limit = max(1, math.floor(limit * ramp))
        return min(limit, target.slots)

    def _place(
        self, ask: queue.Ask, targets: list[targets_module.Target]
    ) -> tuple[str, choice.Reason, int] | None:
        """Return the target, the reason and the bound, or none."""
        if not self._team_may_start(ask.team, targets):
            return None
        self._age_grants()
        standing = self._standing()
        if not standing.majority:
            return None
        self._follow(standing)
        loads = {
            target.name: self._load_with(target.name, standing)
            for target in targets
        }
        # The mean counts only what is certain, a target's load whatever
        # may be there: neither error lets the bound be passed.
        certain = (self._certain(t.name, standing) for t in targets)
        total = sum(certain) + 1
        bounds = {
            target.name: self._bound(target, total, len(targets))
            for target in targets
            if standing.complete or target.name in self._unknown
        }
        free = [
            name
            for name, limit in bounds.items()
            if loads[name] < limit and name not in ask.excluded
        ]
        if not free:
            return None
        chat_target = self._chats.get(ask.chat) if ask.chat else None
        name, reason = self._choose(
            ask.affinity, chat_target, free, list(bounds), loads
        )
        return name, reason, bounds[name]

    def _certain(self, name: str, standing: bound.Standing) -> int:
        """Return how much surely runs on a target.

        A request that was granted a moment ago may not have arrived, and
        the answers of a lost router may have ended. While routers are
        missing, what a target reported beside its grants is theirs and
        may have ended too.
        """
        sure = self._load[name] - self._orphaned[name] - self._young[name]
        beside = self._foreign.get(name, 0) if standing.complete else 0
        return max(0, sure) + beside

    def _age_grants(self) -> None:
        """Count the requests as arrived that were granted long enough ago."""
        before_ms = self._clock.now_ms() - ARRIVAL_MS
        while self._recent and self._recent[0][1] <= before_ms:
            key, since_ms = self._recent.popleft()
            slot = self._slots.get(key)
            if slot is not None and slot.since_ms == since_ms:
                self._arrived(key)

    def _arrived(self, key: tuple[str, int]) -> None:
        """Count a request as arrived, or as gone."""
        target = self._young_slots.pop(key, None)
        if target is not None:
            _decrease(self._young, target, 1)

    def _load_with(self, name: str, standing: bound.Standing) -> int:
        """Return a target's load, with what others may have granted."""
        if standing.complete:
            return self.load(name)
        return self._load[name] + self._unknown.get(name, 0)

    def _follow(self, standing: bound.Standing) -> None:
        """Forget what was known beside the ledger in an earlier tenure."""
        if standing.since_ms != self._since_ms:
            self._since_ms = standing.since_ms
            self._unknown.clear()

    def unsettled(self) -> bool:
        """Return whether reports may still show more room on targets."""
        standing = self._standing()
        if standing.complete or not standing.majority:
            return False
        self._follow(standing)
        return any(
            self._unknown.get(target.name, 1) for target in self._usable()
        )

    def _team_may_start(
        self, team: str, targets: list[targets_module.Target]
    ) -> bool:
        running = self._teams[team]
        limit, _ = self._team_limits(team)
        if running >= limit:
            return False
        capacity = self._capacity(targets)
        if running < self._promise().team_share * capacity:
            return True
        reserve = math.ceil(RESERVE_SHARE * capacity)
        return capacity - self.in_flight > reserve

    def _grant(
        self, ask: queue.Ask, name: str, reason: choice.Reason, limit: int
    ) -> None:
        slot = Slot(name, ask.team, ask.tokens, self._clock.now_ms())
        self._add((ask.router, ask.seq), slot)
        self._young[name] += 1
        self._young_slots[(ask.router, ask.seq)] = name
        self._recent.append(((ask.router, ask.seq), slot.since_ms))
        self._queue.charge(ask.team, ask.weight)
        if ask.chat:
            self._remember(ask.chat, name)
        self.granted += 1
        waited_ms = self._clock.now_ms() - ask.asked_ms
        self._answer(
            ask,
            Reply(results.Code.OK, name, 0, reason, limit, waited_ms),
        )

    def _remember(self, chat: int, name: str) -> None:
        self._chats[chat] = name
        self._chats.move_to_end(chat)
        if len(self._chats) > CHAT_MEMORY:
            self._chats.popitem(last=False)

    def _add(self, key: tuple[str, int], slot: Slot) -> None:
        if key in self._slots:
            return
        self._slots[key] = slot
        self._load[slot.target] += 1
        self._tokens[slot.target] += slot.tokens
        self._teams[slot.team] += 1
        self._note_load(slot.target)

    def _drop(self, key: tuple[str, int]) -> Slot | None:
        slot = self._slots.pop(key, None)
        if slot is None:
            return None
        _decrease(self._load, slot.target, 1)
        self._arrived(key)
        self._note_load(slot.target)
        _decrease(self._tokens, slot.target, slot.tokens)
        _decrease(self._teams, slot.team, 1)
        return slot

    def release(self, router: str, seq: int) -> None:
        """Take back a slot, or a request that still waits."""
        slot = self._drop((router, seq))
        if slot is None:
            self._queue.remove(
                lambda ask: ask.router == router and ask.seq == seq
            )
        else:
            held_ms = self._clock.now_ms() - slot.since_ms
            self._hold_ms += HOLD_SMOOTHING * (held_ms - self._hold_ms)
        self._drain()

    def resume(self, ask: queue.Ask, target: str) -> None:
        """Count an answer that runs already and gets a new reader.

        :param ask: who reads it from now on.
        :param target: where it runs.
        """
        now_ms = self._clock.now_ms()
        slot = Slot(target, ask.team, ask.tokens, now_ms)
        self._add((ask.router, ask.seq), slot)
        self._answer(
            ask,
            Reply(results.Code.OK, target, reason=choice.Reason.RESUME),
        )

    def attach(
        self, router: str, held: list[tuple[int, str, str, int]]
    ) -> None:
        """Take over what a router holds.

        :param router: the router that is now attached here.
        :param held: number, target, team and tokens of each slot.
        """
        self._orphans.pop(router, None)
        self._count_orphans()
        self._queue.remove(lambda ask: ask.router == router)
        known = {key for key in self._slots if key[0] == router}
        now_ms = self._clock.now_ms()
        for seq, target, team, tokens in held:
            self._add((router, seq), Slot(target, team, tokens, now_ms))
            known.discard((router, seq))
        for key in known:
            self._drop(key)
        self._drain()

    def detach(self, router: str) -> None:
        """Forget a router that has gone to another home."""
        self._queue.remove(lambda ask: ask.router == router)
        for key in [key for key in self._slots if key[0] == router]:
            self._drop(key)
        self._orphans.pop(router, None)
        self._count_orphans()
        self._drain()

    def orphan(self, router: str, hold_ms: int) -> None:
        """Keep the slots of a lost router for as long as they may run.

        :param router: the router that can't be reached any more.
        :param hold_ms: how long, in ms.
        """
        self._queue.remove(lambda ask: ask.router == router)
        self._orphans[router] = self._clock.now_ms() + hold_ms
        self._count_orphans()

    def _expire_orphans(self, router: str) -> None:
        """Drop a lost router's slots; some may run until a report shows."""
        for (holder, _), slot in self._slots.items():
            if holder == router and slot.target in self._unknown:
                self._unknown[slot.target] += 1
        self.detach(router)

    def _count_orphans(self) -> None:
        self._orphaned = collections.Counter(
            slot.target
            for (router, _), slot in self._slots.items()
            if router in self._orphans
        )

    def _note_load(self, target: str) -> None:
        """Keep what was granted on a target lately."""
        history = self._history.get(target)
        if history is None:
            history = self._history[target] = _History()
        history.note(self._clock.now_ms(), self._load[target])

    def note_report(self, target: str, running: int) -> None:
        """Compare what a target reports with what was granted here.

        A report lags, so it is compared with the most and the least that
        was granted within the lag: the first tells what
        certainly runs beside, the second what may run beside. Nobody else
        grants while this home has the majority, so the second only falls.

        :param target: the target that was probed.
        :param running: what it says is running.
        """
        self._note_load(target)
        history = self._history[target]
        self._foreign[target] = max(0, running - history.most())
        standing = self._standing()
        self._follow(standing)
        age_ms = self._clock.now_ms() - standing.since_ms
        if standing.majority and age_ms >= REPORT_LAG_MS:
            most = self._unknown.get(target, running)
            beside = max(0, running - history.least())
            self._unknown[target] = min(most, beside)

    def tick(self) -> None:
        """Refuse what has waited too long and start what may start."""
        now_ms = self._clock.now_ms()
        for router, until_ms in list(self._orphans.items()):
            if now_ms >= until_ms:
                self._expire_orphans(router)
        for ask in self._queue.remove(lambda a: a.deadline_ms <= now_ms):
            self._refuse(ask, results.Code.QUEUE_DEADLINE, self._hold_ms)
        self._drain()

    def _drain(self) -> None:
        """Grant to those who wait, for as long as one may start."""
        while len(self._queue):
            targets = self._usable()
            found: list[tuple[str, choice.Reason, int]] = []

            def may_start(
                ask: queue.Ask,
                targets: list[targets_module.Target] = targets,
                found: list[tuple[str, choice.Reason, int]] = found,
            ) -> bool:
                chosen = self._place(ask, targets) if targets else None
                if chosen is not None:
                    found.append(chosen)
                return chosen is not None

            ask = self._queue.take(may_start)
            if ask is None:
                return
            self._grant(ask, *found[0])

    def loads(self) -> dict[str, int]:
        """Return the load of each target that has any."""
        names = set(self._load) | set(self._foreign)
        return {name: self.load(name) for name in sorted(names)}

    def holders(self) -> collections.Counter[str]:
        """Return how many slots each router holds."""
        return collections.Counter(router for router, _ in self._slots)


class _History:
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
        return min(value for _, value in self._values)

    def most(self) -> int:
        return max(value for _, value in self._values)


def _decrease(
    counter: "collections.Counter[str]", key: str, amount: int
) -> None:
    counter[key] -= amount
    if counter[key] <= 0:
        del counter[key]
