"""The home of one shard of targets: it grants their slots."""

import collections
import math
import random
import typing

from bulrushdale.admission import bound
from bulrushdale.admission import choice
from bulrushdale.admission import ledger
from bulrushdale.admission import queue
from bulrushdale.admission import reply as reply_module
from bulrushdale.admission import room as room_module
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


Answer = typing.Callable[[queue.Ask, reply_module.Reply], None]
Choose = typing.Callable[
    [int, str | None, list[str], list[str], dict[str, int]],
    tuple[str, choice.Reason],
]
Targets = list[targets_module.Target]


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
        "_ledger",
        "_queue",
        "_chats",
        "_hold_ms",
    )

    def __init__(
        self,
        usable: typing.Callable[[], Targets],
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
        self._ledger = ledger.Ledger(clock)
        self._queue = queue.WeightedQueue()
        self._chats: collections.OrderedDict[int, str] = (
            collections.OrderedDict()
        )
        self._hold_ms = FIRST_HOLD_MS

    @property
    def slots(self) -> ledger.Ledger:
        """The slots granted and not released."""
        return self._ledger

    @property
    def in_flight(self) -> int:
        """How many slots are granted and not released."""
        return len(self._ledger)

    @property
    def queued(self) -> int:
        """How many requests wait."""
        return len(self._queue)

    def loads(self) -> dict[str, int]:
        """Return the load of each target that has any."""
        return self._ledger.loads()

    def bounds(self) -> dict[str, int]:
        """Return the bound of each target that may get work now."""
        return self._room(self._usable()).bounds

    def ask(self, ask: queue.Ask) -> None:
        """Grant a slot, queue the request, or refuse it at once.

        Nobody who waits could start when a request arrives, or it would
        have started; so a request that can start takes no one's turn but
        its own team's.
        """
        self._ledger.drop((ask.router, ask.seq))
        targets = self._usable()
        if not targets:
            self._refuse(ask, results.Code.NO_TARGET, FIRST_HOLD_MS)
            return
        if not self._queue.queued(ask.team):
            place = self._place(ask, targets)
            if place is not None:
                self._grant(ask, place)
                return
        self._enqueue(ask, targets)

    def _enqueue(self, ask: queue.Ask, targets: Targets) -> None:
        _, most_queued = self._team_limits(ask.team)
        wait_ms = self._wait_ms(ask, targets)
        if self._queue.queued(ask.team) >= most_queued:
            self._refuse(ask, results.Code.TEAM_LIMIT, wait_ms)
        elif self._clock.now_ms() + wait_ms > ask.deadline_ms:
            self._refuse(ask, results.Code.QUEUE_FULL, wait_ms)
        else:
            self._queue.push(ask)

    def _wait_ms(self, ask: queue.Ask, targets: Targets) -> float:
        """Estimate how long a new request would wait (Little's law)."""
        ahead = self._queue.ahead(ask.team, ask.weight)
        running = _capacity(targets)
        limit, _ = self._team_limits(ask.team)
        if self._ledger.of_team(ask.team) >= limit:
            running = min(running, limit)
            ahead = float(self._queue.queued(ask.team))
        return (ahead + 1) * self._hold_ms / running

    def _refuse(
        self, ask: queue.Ask, code: results.Code, wait_ms: float
    ) -> None:
        """Refuse, spreading the callers' return over a time."""
        spread_ms = wait_ms * (0.5 + self._rng.random())
        retry_ms = min(MOST_RETRY_MS, max(LEAST_RETRY_MS, spread_ms))
        self._answer(
            ask, reply_module.Reply(code, retry_after_ms=int(retry_ms))
        )

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
        self, ask: queue.Ask, targets: Targets
    ) -> room_module.Place | None:
        """Return where a request may start now, if anywhere."""
        return self._place_in(ask, targets, self._room(targets))

    def _room(self, targets: Targets) -> room_module.Room:
        """Return the load and the bound of each target now."""
        self._ledger.age()
        standing = self._standing()
        if not targets or not standing.majority:
            return room_module.Room({}, {}, [])
        self._ledger.follow(standing)
        loads = {
            target.name: self._ledger.most_load(target.name, standing)
            for target in targets
        }
        # The mean counts only what is certain, a target's load whatever
        # may be there: neither error lets the bound be passed.
        total = 1 + sum(
            self._ledger.certain_load(target.name, standing)
            for target in targets
        )
        bounds = {
            target.name: self._bound(target, total, len(targets))
            for target in targets
            if self._ledger.reported(target.name, standing)
        }
        free = [name for name, limit in bounds.items() if loads[name] < limit]
        return room_module.Room(loads, bounds, free)

    def _place_in(
        self, ask: queue.Ask, targets: Targets, room: room_module.Room
    ) -> room_module.Place | None:
        free = room.free
        if ask.excluded:
            free = [name for name in free if name not in ask.excluded]
        if not free or not self._team_may_start(ask.team, targets):
            return None
        chat_target = self._chats.get(ask.chat) if ask.chat else None
        name, reason = self._choose(
            ask.affinity, chat_target, free, list(room.bounds), room.loads
        )
        new_and_near = chat_target is None and reason == choice.Reason.PREFIX
        near = reason == choice.Reason.CHAT or new_and_near
        return room_module.Place(name, reason, room.bounds[name], near)

    def unsettled(self) -> bool:
        """Return whether reports may still show more room on targets."""
        standing = self._standing()
        if standing.complete or not standing.majority:
            return False
        self._ledger.follow(standing)
        return not all(
            self._ledger.settled(target.name) for target in self._usable()
        )

    def _team_may_start(self, team: str, targets: Targets) -> bool:
        running = self._ledger.of_team(team)
        limit, _ = self._team_limits(team)
        if running >= limit:
            return False
        capacity = _capacity(targets)
        if running < self._promise().team_share * capacity:
            return True
        reserve = math.ceil(RESERVE_SHARE * capacity)
        return capacity - self.in_flight > reserve

    def _grant(self, ask: queue.Ask, place: room_module.Place) -> None:
        now_ms = self._clock.now_ms()
        self._ledger.grant(
            (ask.router, ask.seq),
            ledger.Slot(place.target, ask.team, ask.tokens, now_ms),
        )
        self._queue.charge(ask.team, ask.weight)
        if ask.chat:
            self._remember(ask.chat, place.target)
        reply = reply_module.Reply(
            results.Code.OK,
            place.target,
            0,
            place.reason,
            place.bound,
            now_ms - ask.asked_ms,
        )
        self._answer(ask, reply)

    def _remember(self, chat: int, name: str) -> None:
        self._chats[chat] = name
        self._chats.move_to_end(chat)
        if len(self._chats) > CHAT_MEMORY:
            self._chats.popitem(last=False)

    def knows(self, router: str, seq: int) -> bool:
        """Return whether a slot is held or waited for here."""
        return (router, seq) in self._ledger or self._queue.contains(
            router, seq
        )

    def release(self, router: str, seq: int) -> None:
        """Take back a slot, or a request that still waits."""
        slot = self._ledger.drop((router, seq))
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
        slot = ledger.Slot(target, ask.team, ask.tokens, now_ms)
        self._ledger.add((ask.router, ask.seq), slot)
        self._answer(
            ask,
            reply_module.Reply(
                results.Code.OK, target, reason=choice.Reason.RESUME
            ),
        )

    def begin(self, router: str, seq: int) -> None:
        """Note that a target has begun the work of a slot."""
        self._ledger.begin((router, seq))
        self._drain()

    def attach(
        self, router: str, held: dict[int, ledger.Slot], begun: set[int]
    ) -> None:
        """Take over what a router holds.

        :param router: the router that is now attached here.
        :param held: its slots by number.
        :param begun: those whose work the targets have begun.
        """
        self._remove_queued(router)
        self._ledger.replace(router, held, begun)
        self._drain()

    def detach(self, router: str) -> None:
        """Forget a router that has gone to another home."""
        self._remove_queued(router)
        self._ledger.forget(router)
        self._drain()

    def orphan(self, router: str, hold_ms: int) -> None:
        """Keep the slots of a lost router for as long as they may run.

        :param router: the router that can't be reached any more.
        :param hold_ms: how long, in ms.
        """
        self._remove_queued(router)
        self._ledger.orphan(router, self._clock.now_ms() + hold_ms)

    def _remove_queued(self, router: str) -> None:
        self._queue.remove(lambda ask: ask.router == router)

    def note_report(self, target: str, running: int) -> None:
        """Take over what a target reports of its load.

        :param target: the target that was probed.
        :param running: what it says is running.
        """
        self._ledger.note_report(target, running, self._standing())

    def tick(self) -> None:
        """Refuse what has waited too long and start what may start."""
        if self._ledger.expire_orphans():
            self._drain()
        now_ms = self._clock.now_ms()
        for ask in self._queue.remove(lambda a: a.deadline_ms <= now_ms):
            self._refuse(ask, results.Code.QUEUE_DEADLINE, self._hold_ms)
        self._drain()

    def _drain(self) -> None:
        """Grant to those who wait, for as long as one may start."""
        targets = self._usable() if len(self._queue) else []
        while targets and len(self._queue):
            room = self._room(targets)
            if not room.free:
                return

            def place(
                ask: queue.Ask, room: room_module.Room = room
            ) -> room_module.Place | None:
                return self._place_in(ask, targets, room)

            taken = self._queue.take(place, lambda found: found.near)
            if taken is None:
                return
            self._grant(*taken)


def _capacity(targets: Targets) -> int:
    return sum(target.slots for target in targets)
