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
    [int, str | None, list[str], list[str]], tuple[str, choice.Reason]
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
        "_range",
        "_tokens",
        "_teams",
        "_queue",
        "_chats",
        "_hold_ms",
        "_orphans",
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
        self._range: dict[str, _Range] = {}
        self._tokens: collections.Counter[str] = collections.Counter()
        self._teams: collections.Counter[str] = collections.Counter()
        self._queue = queue.WeightedQueue()
        self._chats: collections.OrderedDict[int, str] = (
            collections.OrderedDict()
        )
        self._hold_ms = FIRST_HOLD_MS
        self._orphans: dict[str, int] = {}
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
        running = max(1, min(self.in_flight, self._capacity(targets)))
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
        standing = self._standing()
        if not standing.majority:
            return None
        loads = {
            target.name: self._load_with(target.name, standing)
            for target in targets
        }
        # The mean counts only what is certain, a target's load whatever
        # may be there: neither error lets the bound be passed.
        total = sum(self.load(target.name) for target in targets) + 1
        bounds = {
            target.name: self._bound(target, total, len(targets))
            for target in targets
            if standing.complete or self._reported(target, standing)
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
            ask.affinity, chat_target, free, list(bounds)
        )
        return name, reason, bounds[name]

    def _load_with(self, name: str, standing: bound.Standing) -> int:
        """Return a target's load, with what others may have granted."""
        if standing.complete:
            return self.load(name)
        return self._load[name] + self._unknown.get(name, 0)

    def _reported(
        self, target: targets_module.Target, standing: bound.Standing
    ) -> bool:
        """Whether a target's report tells what its last home granted."""
        if target.probed_ms is None:
            return False
        return target.probed_ms >= standing.since_ms + REPORT_LAG_MS

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
        self._ranged(slot.target)

    def _drop(self, key: tuple[str, int]) -> Slot | None:
        slot = self._slots.pop(key, None)
        if slot is None:
            return None
        _decrease(self._load, slot.target, 1)
        self._ranged(slot.target)
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
        self._drain()

    def orphan(self, router: str, hold_ms: int) -> None:
        """Keep the slots of a lost router for as long as they may run.

        :param router: the router that can't be reached any more.
        :param hold_ms: how long, in ms.
        """
        self._queue.remove(lambda ask: ask.router == router)
        self._orphans[router] = self._clock.now_ms() + hold_ms

    def _ranged(self, target: str) -> None:
        """Keep the least and the most granted on a target lately."""
        load = self._load[target]
        held = self._range.get(target)
        if held is None:
            held = self._range[target] = _Range(load)
        held.note(load)

    def note_report(self, target: str, running: int) -> None:
        """Compare what a target reports with what was granted here.

        A report lags, so it is compared with the most and the least that
        was granted since the last report but one: the first tells what
        certainly runs beside, the second what may run beside.

        :param target: the target that was probed.
        :param running: what it says is running.
        """
        self._ranged(target)
        held = self._range[target]
        self._foreign[target] = max(0, running - held.most())
        self._unknown[target] = max(0, running - held.least())
        held.turn(self._load[target])

    def tick(self) -> None:
        """Refuse what has waited too long and start what may start."""
        now_ms = self._clock.now_ms()
        for router, until_ms in list(self._orphans.items()):
            if now_ms >= until_ms:
                self.detach(router)
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


class _Range:
    """The least and the most of a value in two spans of time."""

    __slots__ = ("_older", "_newer")

    def __init__(self, value: int) -> None:
        self._older = (0, value)
        self._newer = (value, value)

    def note(self, value: int) -> None:
        least, most = self._newer
        self._newer = (min(least, value), max(most, value))

    def turn(self, value: int) -> None:
        """Begin a new span at a value."""
        self._older = self._newer
        self._newer = (value, value)

    def least(self) -> int:
        return min(self._older[0], self._newer[0])

    def most(self) -> int:
        return max(self._older[1], self._newer[1])


def _decrease(
    counter: "collections.Counter[str]", key: str, amount: int
) -> None:
    counter[key] -= amount
    if counter[key] <= 0:
        del counter[key]
