"""The desks that one router runs, and who is attached to them."""

import collections
import random
import typing

from bulrushdale.admission import bound
from bulrushdale.admission import desk as desk_module
from bulrushdale.admission import ledger
from bulrushdale.admission import queue
from bulrushdale.admission import reply as reply_module
from bulrushdale.admission import scope as scope_module
from bulrushdale.admission import seat as seat_module
from bulrushdale.control import control_pb2 as pb
from bulrushdale.fleet import targets as targets_module
from bulrushdale import hashing

# How long an engine lets an answer run on whose reader is gone.
DEAD_HOLD_MS = 5_000
CUT_HOLD_MS = 20_000
STANDING_MS = 5
# For so long a lost router may have left answers that nobody holds.
ORPHAN_MEMORY_MS = 20_000

AnswerOwn = typing.Callable[
    [seat_module.ShardKey, queue.Ask, reply_module.Reply], None
]


class Desks:
    """All desks of one router.

    :param scope: what they work with.
    :param answer_own: called with replies to this router's own requests.
    :param rng: spreads the times to come back.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        scope: scope_module.Scope,
        answer_own: AnswerOwn,
        rng: random.Random,
    ) -> None:
        self._scope = scope
        self._answer_own = answer_own
        self._rng = rng
        self._desks: dict[seat_module.ShardKey, desk_module.Desk] = {}
        self._attached: dict[seat_module.ShardKey, set[str]] = (
            collections.defaultdict(set)
        )
        self._standings: dict[
            seat_module.ShardKey, tuple[int, bound.Standing]
        ] = {}

    def desk(self, key: seat_module.ShardKey) -> desk_module.Desk:
        """Return the desk of a shard, opening it if need be."""
        found = self._desks.get(key)
        if found is None:
            found = self._open(key)
            self._desks[key] = found
        return found

    def _open(self, key: seat_module.ShardKey) -> desk_module.Desk:
        pool, shard = key
        return desk_module.Desk(
            usable=lambda: self._scope.targets.of_shard(pool, shard),
            promise=self._scope.view.promise,
            team_limits=lambda team: self._team_limits(team, pool),
            ramp=self._scope.targets.ramp,
            standing=lambda: self.standing(key),
            answer=lambda ask, reply: self._answer(key, ask, reply),
            clock=self._scope.clock,
            rng=self._rng,
        )

    def _team_limits(self, name: str, pool: str) -> tuple[int, int]:
        team = self._scope.view.team(name)
        if team is None:
            return 0, 0
        shards = self._scope.targets.shard_count(pool)
        in_flight = max(1, team.max_in_flight // shards)
        return in_flight, max(1, team.max_queued // shards)

    def standing(self, key: seat_module.ShardKey) -> bound.Standing:
        """Return what this router may rely on as the home of a shard.

        It is worked out anew every few ms, which is far less than any
        lease leaves.
        """
        now_ms = self._scope.clock.now_ms()
        known = self._standings.get(key)
        if known is not None and known[0] // STANDING_MS == (
            now_ms // STANDING_MS
        ):
            return known[1]
        standing = self._work_out(key, known, now_ms)
        self._standings[key] = (now_ms, standing)
        return standing

    def _work_out(
        self,
        key: seat_module.ShardKey,
        known: tuple[int, bound.Standing] | None,
        now_ms: int,
    ) -> bound.Standing:
        attached = {r for r in self._attached[key] if self._lease_holds(r)}
        everyone = attached.union(self._scope.members.share_names())
        settled = not self._scope.members.lost_since(ORPHAN_MEMORY_MS)
        majority = bound.has_majority(attached, everyone)
        # A home that had no majority, or did not look for so long that it
        # may have had none, starts anew: another may have granted.
        goes_on = (
            known is not None
            and known[1].majority
            and now_ms - known[0] < self._scope.lease_ms
        )
        since_ms = known[1].since_ms if known and goes_on else now_ms
        return bound.Standing(
            majority, settled and attached == everyone, since_ms
        )

    def _expire_standing(self, key: seat_module.ShardKey) -> None:
        """Work the standing out anew when it is asked for next."""
        known = self._standings.get(key)
        if known is not None:
            self._standings[key] = (known[0] - STANDING_MS, known[1])

    def grants(self, key: seat_module.ShardKey) -> bool:
        """Return whether this router may grant slots of a shard."""
        return self.standing(key).majority

    def _lease_holds(self, router: str) -> bool:
        if router == self._scope.own:
            return True
        link = self._scope.links.get(router)
        if link is None or link.echo_ms is None:
            return False
        return self._scope.clock.now_ms() - link.echo_ms < self._scope.lease_ms

    def _answer(
        self,
        key: seat_module.ShardKey,
        ask: queue.Ask,
        reply: reply_module.Reply,
    ) -> None:
        if ask.router == self._scope.own:
            self._answer_own(key, ask, reply)
            return
        link = self._scope.links.get(ask.router)
        if link is None:
            return
        link.queue().slot_replies.add(
            seq=ask.seq,
            code=int(reply.code),
            target=hashing.name_hash(reply.target) if reply.target else 0,
            retry_after_ms=reply.retry_after_ms,
            reason=int(reply.reason),
            bound=reply.bound,
            waited_ms=self._scope.clock.now_ms() - ask.asked_ms,
        )

    def attach(
        self, key: seat_module.ShardKey, router: str, held: list[pb.HeldSlot]
    ) -> None:
        """Take a router on, with the slots that it holds."""
        self._attached[key].add(router)
        self._expire_standing(key)
        now_ms = self._scope.clock.now_ms()
        slots = {
            h.seq: ledger.Slot(h.target, h.team, h.tokens, now_ms)
            for h in held
        }
        begun = {h.seq for h in held if h.begun}
        self.desk(key).attach(router, slots, begun)

    def detach(self, key: seat_module.ShardKey, router: str) -> None:
        """Let a router go to another home."""
        self._attached[key].discard(router)
        self._expire_standing(key)
        self.desk(key).detach(router)

    def ask(self, request: pb.SlotRequest, router: str) -> None:
        """Handle a request for a slot."""
        key = (request.pool, request.shard)
        if router not in self._attached[key]:
            return
        ask = self._read(request, router)
        for name in ask.excluded:
            self._scope.targets.note_failure(name)
        if request.resumed:
            self.desk(key).resume(ask, request.resumed)
        else:
            self.desk(key).ask(ask)

    def _read(self, request: pb.SlotRequest, router: str) -> queue.Ask:
        """Return a request with what its router left to the catalogue."""
        name = request.service_class
        if not name:
            team = self._scope.view.team(request.team)
            name = team.class_of_service if team is not None else ""
        paid = self._scope.view.service_class(name)
        now_ms = self._scope.clock.now_ms()
        chat = request.chat
        if request.chat_is_affinity:
            chat = request.affinity
        return queue.Ask(
            router,
            request.seq,
            request.team,
            name,
            paid.weight,
            request.affinity,
            chat,
            request.tokens,
            now_ms,
            now_ms + (request.wait_ms or paid.queue_ms),
            tuple(request.excluded),
        )

    def begin(self, router: str, seq: int) -> None:
        """Note that a target has begun the work of a slot."""
        for desk in self._desks.values():
            if desk.knows(router, seq):
                desk.begin(router, seq)
                return

    def release(self, router: str, seq: int) -> None:
        """Take back a slot, or a request that still waits."""
        for desk in self._desks.values():
            if desk.knows(router, seq):
                desk.release(router, seq)
                return

    def lost(self, router: str) -> None:
        """Keep a lost router's slots for as long as they may run."""
        for key, attached in self._attached.items():
            if router not in attached:
                continue
            attached.discard(router)
            self._expire_standing(key)
            member = self._scope.members.get(router)
            dead = member is None or member.refused
            hold_ms = DEAD_HOLD_MS if dead else CUT_HOLD_MS
            self.desk(key).orphan(router, hold_ms)

    def queued(self) -> int:
        """Return how many requests wait on all desks."""
        return sum(desk.queued for desk in self._desks.values())

    def tick(self) -> None:
        """Let time pass on every desk."""
        for key in self._desks:
            self.standing(key)
        for desk in self._desks.values():
            desk.tick()

    def attached(self, key: seat_module.ShardKey) -> set[str]:
        """Return the routers that are attached to a desk."""
        return set(self._attached[key])

    def active(self) -> list[seat_module.ShardKey]:
        """Return the shards for which some router is attached here."""
        return [key for key, routers in self._attached.items() if routers]

    def unsettled(self) -> bool:
        """Return whether some desk needs more of its targets' reports."""
        return any(self.desk(key).unsettled() for key in self.active())

    def probed(self) -> list[targets_module.Target]:
        """Return the targets that this router has to probe."""
        found = []
        for pool, shard in self.active():
            count = self._scope.targets.shard_count(pool)
            found += [
                target
                for target in self._scope.targets.of_pool(pool)
                if targets_module.shard_of(target.name, count) == shard
            ]
        return found

    def note_report(self, target: targets_module.Target) -> None:
        """Compare what a target reports with what was granted."""
        count = self._scope.targets.shard_count(target.pool)
        key = (target.pool, targets_module.shard_of(target.name, count))
        if not target.failed:
            self.desk(key).note_report(target.name, target.reported)

    def summary(self) -> list[dict[str, object]]:
        """Return the state of each desk for operators."""
        return [
            {
                "pool": key[0],
                "shard": key[1],
                "attached": sorted(self._attached[key]),
                "grants": self.grants(key),
                "complete": self.standing(key).complete,
                "in_flight": self._desks[key].in_flight,
                "queued": self._desks[key].queued,
                "loads": self._desks[key].loads(),
                "bounds": self._desks[key].bounds(),
            }
            for key in self.active()
        ]
