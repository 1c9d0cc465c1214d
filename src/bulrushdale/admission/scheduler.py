"""The scheduler that a coordinator runs for one shard of targets."""

import collections
from collections import abc
import math
import random
import typing

from bulrushdale.admission import bound
from bulrushdale.admission import capacity as capacity_module
from bulrushdale.admission import choice
from bulrushdale.admission import queue
from bulrushdale.admission import reply as reply_module
from bulrushdale.admission import slot_table as slot_table_module
from bulrushdale.catalogue import entries
from bulrushdale import clock as clock_module
from bulrushdale.fleet import targets as targets_module
from bulrushdale import results

MAX_CHATS = 20_000
HOLD_SMOOTHING = 0.05
INITIAL_HOLD_MS = 1_000.0
MIN_RETRY_MS = 200
MAX_RETRY_MS = 60_000
# Fraction of the slots kept free for teams that are below their share.
RESERVE_SHARE = 0.1


SendReply = typing.Callable[[queue.QueuedRequest, reply_module.Reply], None]
Choose = typing.Callable[
    [int, str | None, list[str], list[str], dict[str, int]],
    tuple[str, choice.Reason],
]
Targets = list[targets_module.Target]


class Scheduler:
    """Grants, queues or refuses the slot requests of one shard.

    :param usable: returns the targets that may get new work.
    :param promise: returns the catalogue's load and share limits.
    :param team_limits: returns the maximum numbers of in-flight and queued
        requests of a team on this shard.
    :param slow_start_factor: returns the fraction of its bound that a
        target may use during its slow start.
    :param quorum: returns the quorum of this coordinator.
    :param send_reply: called with each reply.
    :param clock: the clock.
    :param rng: adds jitter to retry times.
    :param choose: picks a target among those below their bound.
    :param silent: returns the attached routers that may stand still.

    .. versionadded:: 0.1
    """

    __slots__ = (
        "_usable",
        "_promise",
        "_team_limits",
        "_slow_start_factor",
        "_quorum",
        "_send_reply",
        "_clock",
        "_rng",
        "_choose",
        "_silent",
        "_slot_table",
        "_queue",
        "_chat_targets",
        "_mean_hold_ms",
    )

    def __init__(
        self,
        usable: typing.Callable[[], Targets],
        promise: typing.Callable[[], entries.Promise],
        team_limits: typing.Callable[[str], tuple[int, int]],
        slow_start_factor: typing.Callable[[targets_module.Target], float],
        quorum: typing.Callable[[], bound.QuorumState],
        send_reply: SendReply,
        clock: clock_module.Clock,
        rng: random.Random,
        choose: Choose = choice.choose_by_affinity,
        silent: typing.Callable[[], abc.Set[str]] = frozenset,
    ) -> None:
        self._usable = usable
        self._promise = promise
        self._team_limits = team_limits
        self._slow_start_factor = slow_start_factor
        self._quorum = quorum
        self._send_reply = send_reply
        self._clock = clock
        self._rng = rng
        self._choose = choose
        self._silent = silent
        self._slot_table = slot_table_module.SlotTable(clock)
        self._queue = queue.WeightedQueue()
        self._chat_targets: collections.OrderedDict[int, str] = (
            collections.OrderedDict()
        )
        self._mean_hold_ms = INITIAL_HOLD_MS

    @property
    def slot_table(self) -> slot_table_module.SlotTable:
        """The granted slots that are not released yet."""
        return self._slot_table

    @property
    def in_flight(self) -> int:
        """The number of granted slots that are not released yet."""
        return len(self._slot_table)

    @property
    def queued(self) -> int:
        """The number of queued requests."""
        return len(self._queue)

    def loads(self) -> dict[str, int]:
        """Return the load of each target with a nonzero load."""
        return self._slot_table.loads()

    def bounds(self) -> dict[str, int]:
        """Return the bound of each target whose maximum load is known."""
        return self._measure_capacity(self._usable()).bounds

    def submit(self, request: queue.QueuedRequest) -> None:
        """Grant a slot, queue the request, or refuse it at once.

        Queued requests start as soon as they can, so none of them can start
        when a new request arrives. A request that can start at once
        therefore takes nobody's turn, unless its own team has queued
        requests: then it is queued behind them. A slot that the request was
        granted before is dropped.
        """
        self._slot_table.drop((request.router, request.seq))
        targets = self._usable()
        if not targets:
            self._refuse(request, results.Code.NO_TARGET, INITIAL_HOLD_MS)
            return
        if not self._queue.queued(request.team):
            placement = self._find_placement(request, targets)
            if placement is not None:
                self._grant(request, placement)
                return
        self._enqueue(request, targets)

    def _enqueue(self, request: queue.QueuedRequest, targets: Targets) -> None:
        """Queue a request, or refuse it for a full queue or a long wait."""
        _, max_queued = self._team_limits(request.team)
        wait_ms = self._estimate_wait_ms(request, targets)
        if self._queue.queued(request.team) >= max_queued:
            self._refuse(request, results.Code.TEAM_LIMIT, wait_ms)
        elif self._clock.now_ms() + wait_ms > request.deadline_ms:
            self._refuse(request, results.Code.QUEUE_FULL, wait_ms)
        else:
            self._queue.push(request)

    def _estimate_wait_ms(
        self, request: queue.QueuedRequest, targets: Targets
    ) -> float:
        """Estimate the wait of a new request by Little's law, in ms."""
        ahead = self._queue.ahead(request.team, request.weight)
        running = _total_slots(targets)
        limit, _ = self._team_limits(request.team)
        if self._slot_table.team_count(request.team) >= limit:
            running = min(running, limit)
            ahead = float(self._queue.queued(request.team))
        return (ahead + 1) * self._mean_hold_ms / running

    def _refuse(
        self, request: queue.QueuedRequest, code: results.Code, wait_ms: float
    ) -> None:
        """Refuse a request with a jittered retry time.

        The jitter keeps refused callers from retrying all at once.
        """
        spread_ms = wait_ms * (0.5 + self._rng.random())
        retry_ms = min(MAX_RETRY_MS, max(MIN_RETRY_MS, spread_ms))
        self._send_reply(
            request, reply_module.Reply(code, retry_after_ms=int(retry_ms))
        )

    def _bound(
        self, target: targets_module.Target, total: int, count: int
    ) -> int:
        """Return the bound of a target; *count* targets share *total*."""
        promise = self._promise()
        limit = bound.target_bound(
            total, count, promise.load_multiple, promise.least_bound
        )
        slow_start_factor = self._slow_start_factor(target)
        if slow_start_factor < 1.0:
            limit = max(1, math.floor(limit * slow_start_factor))
        return min(limit, target.slots)

    def _find_placement(
        self, request: queue.QueuedRequest, targets: Targets
    ) -> capacity_module.Placement | None:
        """Return where a request may start now, or None."""
        return self._choose_placement(
            request, targets, self._measure_capacity(targets)
        )

    def _measure_capacity(self, targets: Targets) -> capacity_module.Capacity:
        """Return the maximum loads, the bounds and the free targets.

        All of them are empty without a majority, and while the coordinator
        recovers. A new tenure clears the upper limits of the external loads.
        """
        self._slot_table.settle_grants()
        quorum = self._quorum()
        if not targets or not quorum.majority or quorum.recovering:
            return capacity_module.Capacity({}, {}, [])
        self._slot_table.apply_tenure(quorum)
        loads = {
            target.name: self._slot_table.max_load(target.name, quorum)
            for target in targets
        }
        # The mean uses the lower limit of each load, and the comparison
        # with the bound the upper limit: an error of either kind can't let
        # a target exceed its bound.
        total = 1 + sum(
            self._slot_table.min_load(target.name, quorum)
            for target in targets
        )
        bounds = {
            target.name: self._bound(target, total, len(targets))
            for target in targets
            if self._slot_table.max_load_known(target.name, quorum)
        }
        silent = self._silent()
        if silent:
            heard_bounds = self._heard_bounds(targets, silent)
            for name, limit in bounds.items():
                unheard = loads[name] - self._slot_table.heard_load(
                    name, silent
                )
                bounds[name] = min(limit, heard_bounds[name] + unheard)
        free = [name for name, limit in bounds.items() if loads[name] < limit]
        return capacity_module.Capacity(loads, bounds, free)

    def _heard_bounds(
        self, targets: Targets, silent: abc.Set[str]
    ) -> dict[str, int]:
        """Return the bounds of the load of the routers that are heard.

        The answers of the others may have ended. Their load counts neither
        for its target nor for the mean: if it counted for the target alone,
        the routers that are heard would have to give way to answers that
        ended.

        :param targets: the targets that share the load.
        :param silent: the attached routers that may stand still.
        """
        total = 1 + sum(
            self._slot_table.heard_min_load(target.name, silent)
            for target in targets
        )
        return {
            target.name: self._bound(target, total, len(targets))
            for target in targets
        }

    def _choose_placement(
        self,
        request: queue.QueuedRequest,
        targets: Targets,
        capacity: capacity_module.Capacity,
    ) -> capacity_module.Placement | None:
        """Return where a request may start with this capacity, or None."""
        free = capacity.free
        if request.excluded:
            free = [name for name in free if name not in request.excluded]
        if not free or not self._team_may_start(request.team, targets):
            return None
        chat_target = (
            self._chat_targets.get(request.chat) if request.chat else None
        )
        name, reason = self._choose(
            request.affinity_key,
            chat_target,
            free,
            list(capacity.bounds),
            capacity.max_loads,
        )
        new_chat_on_preferred = (
            chat_target is None and reason == choice.Reason.PREFIX
        )
        preferred = reason == choice.Reason.CHAT or new_chat_on_preferred
        return capacity_module.Placement(
            name, reason, capacity.bounds[name], preferred
        )

    def needs_probes(self) -> bool:
        """Return whether more load reports may show free capacity.

        This is so with a majority that isn't complete, until reports have
        ruled out external load on every usable target, and as long as slots
        of a stopped router are kept. A new tenure clears what earlier
        reports showed.
        """
        quorum = self._quorum()
        if quorum.complete or not quorum.majority:
            return False
        self._slot_table.apply_tenure(quorum)
        return self._slot_table.has_stopped_orphans() or not all(
            self._slot_table.external_load_ruled_out(target.name)
            for target in self._usable()
        )

    def _team_may_start(self, team: str, targets: Targets) -> bool:
        """Return whether a team may start another request.

        A team that has its share of the slots may use more, up to its limit,
        as long as a reserve of slots stays free for the others.
        """
        granted = self._slot_table.team_count(team)
        limit, _ = self._team_limits(team)
        if granted >= limit:
            return False
        total_slots = _total_slots(targets)
        if granted < self._promise().team_share * total_slots:
            return True
        reserve = math.ceil(RESERVE_SHARE * total_slots)
        return total_slots - self.in_flight > reserve

    def _grant(
        self,
        request: queue.QueuedRequest,
        placement: capacity_module.Placement,
    ) -> None:
        """Grant a slot, charge the team for it and send the reply."""
        now_ms = self._clock.now_ms()
        self._slot_table.grant(
            (request.router, request.seq),
            slot_table_module.Slot(
                placement.target, request.team, request.tokens, now_ms
            ),
        )
        self._queue.charge(request.team, request.weight)
        if request.chat:
            self._remember_chat(request.chat, placement.target)
        reply = reply_module.Reply(
            results.Code.OK,
            placement.target,
            0,
            placement.reason,
            placement.bound,
            now_ms - request.arrived_ms,
        )
        self._send_reply(request, reply)

    def _remember_chat(self, chat: int, name: str) -> None:
        self._chat_targets[chat] = name
        self._chat_targets.move_to_end(chat)
        if len(self._chat_targets) > MAX_CHATS:
            self._chat_targets.popitem(last=False)

    def tracks(self, router: str, seq: int) -> bool:
        """Return whether a slot request of a router is granted or queued."""
        return (router, seq) in self._slot_table or self._queue.contains(
            router, seq
        )

    def release(self, router: str, seqs: abc.Iterable[int]) -> None:
        """Release slots, or remove requests that are still queued.

        Nothing is granted before all of them are released, because a slot
        that has yet to be released raises the bound.

        :param router: the router of the requests.
        :param seqs: their sequence numbers.
        """
        for seq in seqs:
            self._drop(router, seq)
        self._grant_queued()

    def _drop(self, router: str, seq: int) -> None:
        """Drop a slot, or a request that is still queued."""
        slot = self._slot_table.drop((router, seq))
        if slot is None:
            self._queue.remove(
                lambda request: request.router == router and request.seq == seq
            )
            return
        held_ms = self._clock.now_ms() - slot.granted_ms
        self._mean_hold_ms += HOLD_SMOOTHING * (held_ms - self._mean_hold_ms)

    def add_resumed(self, request: queue.QueuedRequest, target: str) -> None:
        """Add a slot for an answer that runs already.

        The request's router has taken the answer over from another one.

        :param request: the request of the router that reads it from now on.
        :param target: the target that runs it.
        """
        now_ms = self._clock.now_ms()
        slot = slot_table_module.Slot(
            target, request.team, request.tokens, now_ms
        )
        self._slot_table.add((request.router, request.seq), slot)
        self._send_reply(
            request,
            reply_module.Reply(
                results.Code.OK, target, reason=choice.Reason.RESUME
            ),
        )

    def mark_started(self, router: str, seq: int) -> None:
        """Record that the target has started the work of a slot."""
        self._slot_table.mark_started((router, seq))
        self._grant_queued()

    def attach(
        self,
        router: str,
        held: dict[int, slot_table_module.Slot],
        started: set[int],
    ) -> None:
        """Replace the slots of a router by the ones that it reports.

        Its queued requests are removed, as it sends them again.

        :param router: the router that is now attached here.
        :param held: its slots by sequence number.
        :param started: the numbers of slots whose work has started.
        """
        self._remove_queued(router)
        self._slot_table.replace(router, held, started)
        self._grant_queued()

    def detach(self, router: str) -> None:
        """Drop the slots and queued requests of a router that has moved on."""
        self._remove_queued(router)
        self._slot_table.drop_router(router)
        self._grant_queued()

    def orphan(self, router: str, until_ms: int) -> None:
        """Keep the slots of a lost router while their work may still run.

        Its queued requests are removed.

        :param router: the router that can't be reached any more.
        :param until_ms: until when to keep them, in ms of the clock.
        """
        self._remove_queued(router)
        self._slot_table.orphan(router, until_ms)

    def shorten_orphan(
        self, router: str, stopped_ms: int, until_ms: int
    ) -> None:
        """Keep the slots of a stopped router no longer than until a time.

        :param router: the router; one that is attached keeps its slots.
        :param stopped_ms: since when it starts no work, in ms of the clock.
        :param until_ms: until when to keep them, in ms of the clock.
        """
        self._slot_table.shorten_orphan(router, stopped_ms, until_ms)

    def _remove_queued(self, router: str) -> None:
        self._queue.remove(lambda request: request.router == router)

    def record_report(self, target: str, running: int) -> None:
        """Update the external load of a target from its own report.

        :param target: the target that was probed.
        :param running: the number of requests that it reports as running.
        """
        self._slot_table.record_report(target, running, self._quorum())

    def tick(self) -> None:
        """Expire orphans and deadlines, then grant what can start."""
        if self._slot_table.expire_orphans():
            self._grant_queued()
        now_ms = self._clock.now_ms()
        for request in self._queue.remove(
            lambda queued: queued.deadline_ms <= now_ms
        ):
            self._refuse(
                request, results.Code.QUEUE_DEADLINE, self._mean_hold_ms
            )
        self._grant_queued()

    def _grant_queued(self) -> None:
        """Grant slots to queued requests until none can start."""
        targets = self._usable() if len(self._queue) else []
        while targets and len(self._queue):
            capacity = self._measure_capacity(targets)
            if not capacity.free:
                return

            def find_placement(
                request: queue.QueuedRequest,
                capacity: capacity_module.Capacity = capacity,
            ) -> capacity_module.Placement | None:
                return self._choose_placement(request, targets, capacity)

            taken = self._queue.take(
                find_placement, lambda placement: placement.preferred
            )
            if taken is None:
                return
            self._grant(*taken)


def _total_slots(targets: Targets) -> int:
    return sum(target.slots for target in targets)
