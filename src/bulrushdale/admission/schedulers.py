"""The schedulers that one router runs, and the routers attached to them."""

import collections
from collections import abc
import random
import typing

from bulrushdale.admission import bound
from bulrushdale.admission import queue
from bulrushdale.admission import reply as reply_module
from bulrushdale.admission import scheduler as scheduler_module
from bulrushdale.admission import scope as scope_module
from bulrushdale.admission import session as session_module
from bulrushdale.admission import slot_table
from bulrushdale.control import control_pb2 as pb
from bulrushdale.fleet import link as link_module
from bulrushdale.fleet import targets as targets_module
from bulrushdale import hashing

# How long the slots of a lost router stay counted, because an engine lets an
# answer run on for a while after its reader is gone. A router that refuses
# connections has stopped; one that can't be reached may still be reading.
STOPPED_ROUTER_KEEP_MS = 5_000
UNREACHABLE_ROUTER_KEEP_MS = 20_000
QUORUM_REFRESH_MS = 5
# A coordinator that hasn't checked its quorum for this long stood still, as
# each tick does; a tick is due every 100 ms.
STANDSTILL_MS = 250
# How long answers of a lost router may run on without anyone holding a slot
# for them.
ORPHAN_MEMORY_MS = 20_000

ReplyToOwn = typing.Callable[
    [session_module.ShardKey, queue.QueuedRequest, reply_module.Reply], None
]


class Schedulers:
    """All schedulers of one router, by shard.

    :param scope: the objects that the schedulers share.
    :param reply_to_own: called with replies to this router's own requests.
    :param rng: adds jitter to retry times.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        scope: scope_module.Scope,
        reply_to_own: ReplyToOwn,
        rng: random.Random,
    ) -> None:
        self._scope = scope
        self._reply_to_own = reply_to_own
        self._rng = rng
        self._schedulers: dict[
            session_module.ShardKey, scheduler_module.Scheduler
        ] = {}
        self._attached: dict[session_module.ShardKey, set[str]] = (
            collections.defaultdict(set)
        )
        self._quorums: dict[
            session_module.ShardKey, tuple[int, bound.QuorumState]
        ] = {}
        # Until when this coordinator recovers, in ms of the clock.
        self._recovered_ms: dict[session_module.ShardKey, int] = {}
        # When the links to routers were lost that are not known to have
        # stopped, in ms of the clock.
        self._lost_ms: dict[str, int] = {}

    def scheduler(
        self, key: session_module.ShardKey
    ) -> scheduler_module.Scheduler:
        """Return the scheduler of a shard, creating it if needed."""
        found = self._schedulers.get(key)
        if found is None:
            found = self._create(key)
            self._schedulers[key] = found
        return found

    def _create(
        self, key: session_module.ShardKey
    ) -> scheduler_module.Scheduler:
        pool, shard = key
        return scheduler_module.Scheduler(
            usable=lambda: self._scope.targets.usable_in_shard(pool, shard),
            promise=self._scope.view.promise,
            team_limits=lambda team: self._team_limits(team, pool),
            slow_start_factor=self._scope.targets.slow_start_factor,
            quorum=lambda: self.quorum(key),
            send_reply=lambda queued_request, reply: self._send_reply(
                key, queued_request, reply
            ),
            clock=self._scope.clock,
            rng=self._rng,
            silent=lambda: self._silent_routers(key),
        )

    def _team_limits(self, name: str, pool: str) -> tuple[int, int]:
        """Return a team's limits of running and queued requests on a shard."""
        team = self._scope.view.team(name)
        if team is None:
            return 0, 0
        shards = self._scope.targets.shard_count(pool)
        in_flight = max(1, team.max_in_flight // shards)
        return in_flight, max(1, team.max_queued // shards)

    def quorum(self, key: session_module.ShardKey) -> bound.QuorumState:
        """Return the quorum of this router as coordinator of a shard.

        The result is cached for ``QUORUM_REFRESH_MS``, which is far shorter
        than the time that remains on any lease.
        """
        now_ms = self._scope.clock.now_ms()
        known = self._quorums.get(key)
        if known is not None and known[0] // QUORUM_REFRESH_MS == (
            now_ms // QUORUM_REFRESH_MS
        ):
            return known[1]
        quorum = self._compute_quorum(key, known, now_ms)
        self._quorums[key] = (now_ms, quorum)
        return quorum

    def _compute_quorum(
        self,
        key: session_module.ShardKey,
        known: tuple[int, bound.QuorumState] | None,
        now_ms: int,
    ) -> bound.QuorumState:
        """Return the quorum of the routers that are attached now.

        :param key: pool and shard.
        :param known: the time of the previous result, in ms, and the result.
        :param now_ms: the current time, in ms of the clock.
        """
        attached = {r for r in self._attached[key] if self._lease_valid(r)}
        all_routers = attached.union(self._scope.members.quorum_names())
        no_recent_loss = not self._scope.members.lost_within(ORPHAN_MEMORY_MS)
        majority = bound.has_majority(attached, all_routers)
        # The tenure restarts if this coordinator had no majority, or did
        # not check for as long as a lease and may have lost it meanwhile:
        # another coordinator may have granted slots.
        continues = (
            known is not None
            and known[1].majority
            and now_ms - known[0] < self._scope.lease_ms
        )
        tenure_start_ms = (
            known[1].tenure_start_ms if known and continues else now_ms
        )
        if known is not None and now_ms - known[0] >= STANDSTILL_MS:
            self._recovered_ms[key] = now_ms + link_module.RECOVERY_MS
        return bound.QuorumState(
            majority,
            no_recent_loss and attached == all_routers,
            tenure_start_ms,
            now_ms < self._recovered_ms.get(key, 0),
        )

    def _expire_quorum(self, key: session_module.ShardKey) -> None:
        """Make the next call of :meth:`quorum` compute it again."""
        known = self._quorums.get(key)
        if known is not None:
            self._quorums[key] = (known[0] - QUORUM_REFRESH_MS, known[1])

    def may_grant(self, key: session_module.ShardKey) -> bool:
        """Return whether this router may grant slots of a shard."""
        return self.quorum(key).majority

    def _lease_valid(self, router: str) -> bool:
        """Return whether a router's lease on its attachment is still valid."""
        if router == self._scope.own:
            return True
        link = self._scope.links.get(router)
        if link is None or link.echo_ms is None:
            return False
        return self._scope.clock.now_ms() - link.echo_ms < self._scope.lease_ms

    def _silent_routers(self, key: session_module.ShardKey) -> set[str]:
        """Return the routers attached to a shard that may stand still."""
        now_ms = self._scope.clock.now_ms()
        return {
            link.peer.name
            for link in self._scope.links.all()
            if link.peer.name in self._attached[key] and link.is_silent(now_ms)
        }

    def _send_reply(
        self,
        key: session_module.ShardKey,
        queued_request: queue.QueuedRequest,
        reply: reply_module.Reply,
    ) -> None:
        """Send a reply to the router of a request, if it has a link."""
        if queued_request.router == self._scope.own:
            self._reply_to_own(key, queued_request, reply)
            return
        link = self._scope.links.get(queued_request.router)
        if link is None:
            return
        link.queue().slot_replies.add(
            seq=queued_request.seq,
            code=int(reply.code),
            target=hashing.name_hash(reply.target) if reply.target else 0,
            retry_after_ms=reply.retry_after_ms,
            reason=int(reply.reason),
            bound=reply.bound,
            waited_ms=self._scope.clock.now_ms() - queued_request.arrived_ms,
        )

    def attach(
        self,
        key: session_module.ShardKey,
        router: str,
        held: list[pb.HeldSlot],
    ) -> None:
        """Attach a router, with the slots that it holds."""
        self._attached[key].add(router)
        self._expire_quorum(key)
        now_ms = self._scope.clock.now_ms()
        slots = {
            h.seq: slot_table.Slot(h.target, h.team, h.tokens, now_ms)
            for h in held
        }
        started = {h.seq for h in held if h.begun}
        self.scheduler(key).attach(router, slots, started)

    def detach(self, key: session_module.ShardKey, router: str) -> None:
        """Detach a router that moves to another coordinator."""
        self._attached[key].discard(router)
        self._expire_quorum(key)
        self.scheduler(key).detach(router)

    def handle_request(self, request: pb.SlotRequest, router: str) -> None:
        """Handle a slot request of an attached router.

        Requests of other routers are ignored. The targets that a request
        excludes count as failed.
        """
        key = (request.pool, request.shard)
        if router not in self._attached[key]:
            return
        queued_request = self._decode(request, router)
        for name in queued_request.excluded:
            self._scope.targets.record_failure(name)
        if request.resumed:
            self.scheduler(key).add_resumed(queued_request, request.resumed)
        else:
            self.scheduler(key).submit(queued_request)

    def _decode(
        self, request: pb.SlotRequest, router: str
    ) -> queue.QueuedRequest:
        """Decode a slot request, with defaults from the catalogue."""
        name = request.service_class
        if not name:
            team = self._scope.view.team(request.team)
            name = team.class_of_service if team is not None else ""
        service_class = self._scope.view.service_class(name)
        now_ms = self._scope.clock.now_ms()
        chat = request.chat
        if request.chat_is_affinity:
            chat = request.affinity
        return queue.QueuedRequest(
            router,
            request.seq,
            request.team,
            name,
            service_class.weight,
            request.affinity,
            chat,
            request.tokens,
            now_ms,
            now_ms + (request.wait_ms or service_class.queue_ms),
            tuple(request.excluded),
        )

    def mark_started(self, router: str, seq: int) -> None:
        """Record that the target has started the work of a slot."""
        for scheduler in self._schedulers.values():
            if scheduler.tracks(router, seq):
                scheduler.mark_started(router, seq)
                return

    def release(self, router: str, seqs: abc.Collection[int]) -> None:
        """Release slots, or remove requests that are still queued."""
        for scheduler in self._schedulers.values():
            found = [seq for seq in seqs if scheduler.tracks(router, seq)]
            if found:
                scheduler.release(router, found)

    def orphan(self, router: str) -> None:
        """Keep the slots of a lost router while their work may still run."""
        for key, attached in self._attached.items():
            if router not in attached:
                continue
            attached.discard(router)
            self._expire_quorum(key)
            now_ms = self._scope.clock.now_ms()
            self._lost_ms[router] = now_ms
            self.scheduler(key).orphan(
                router, now_ms + UNREACHABLE_ROUTER_KEEP_MS
            )

    def _shorten_orphans(self) -> None:
        """Keep the slots of routers that have stopped for a shorter time.

        Only a refused connection tells that a router has stopped, and it is
        dialled after its link was lost.
        """
        for router, lost_ms in list(self._lost_ms.items()):
            member = self._scope.members.get(router)
            if member is not None and not member.connection_refused:
                continue
            del self._lost_ms[router]
            for scheduler in self._schedulers.values():
                scheduler.shorten_orphan(
                    router, lost_ms, lost_ms + STOPPED_ROUTER_KEEP_MS
                )

    def queued(self) -> int:
        """Return the number of queued requests of all schedulers."""
        return sum(scheduler.queued for scheduler in self._schedulers.values())

    def tick(self) -> None:
        """Refresh each quorum, then run each scheduler's periodic work."""
        self._shorten_orphans()
        for key in self._schedulers:
            self.quorum(key)
        for scheduler in self._schedulers.values():
            scheduler.tick()

    def attached_routers(self, key: session_module.ShardKey) -> set[str]:
        """Return the routers attached to the scheduler of a shard."""
        return set(self._attached[key])

    def active_shards(self) -> list[session_module.ShardKey]:
        """Return the shards with at least one attached router."""
        return [key for key, routers in self._attached.items() if routers]

    def needs_probes(self) -> bool:
        """Return whether a scheduler needs load reports before the next probe.

        See :meth:`.scheduler.Scheduler.needs_probes`.
        """
        return any(
            self.scheduler(key).needs_probes() for key in self.active_shards()
        )

    def targets_to_probe(self) -> list[targets_module.Target]:
        """Return the targets that this router probes as coordinator."""
        found = []
        for pool, shard in self.active_shards():
            count = self._scope.targets.shard_count(pool)
            found += [
                target
                for target in self._scope.targets.of_pool(pool)
                if targets_module.shard_of(target.name, count) == shard
            ]
        return found

    def record_report(self, target: targets_module.Target) -> None:
        """Pass the load that a target reported to its scheduler.

        A target that didn't respond to its last probe is skipped.
        """
        count = self._scope.targets.shard_count(target.pool)
        key = (target.pool, targets_module.shard_of(target.name, count))
        if not target.failed:
            self.scheduler(key).record_report(
                target.name, target.reported_running
            )

    def summary(self) -> list[dict[str, object]]:
        """Return the state of each active scheduler for operators."""
        return [
            {
                "pool": key[0],
                "shard": key[1],
                "attached": sorted(self._attached[key]),
                "grants": self.may_grant(key),
                "complete": self.quorum(key).complete,
                "in_flight": self._schedulers[key].in_flight,
                "queued": self._schedulers[key].queued,
                "loads": self._schedulers[key].loads(),
                "bounds": self._schedulers[key].bounds(),
            }
            for key in self.active_shards()
        ]
