"""The client that gets a router's slots from the coordinators."""

import asyncio
import itertools
import typing

from bulrushdale.admission import coordinators
from bulrushdale.admission import messages
from bulrushdale.admission import queue
from bulrushdale.admission import reply as reply_module
from bulrushdale.admission import scheduler as scheduler_module
from bulrushdale.admission import schedulers as schedulers_module
from bulrushdale.admission import scope as scope_module
from bulrushdale.admission import session as session_module
from bulrushdale.control import control_pb2 as pb
from bulrushdale.fleet import targets as targets_module
from bulrushdale import hashing
from bulrushdale import results

# A grant that was longer in transit is released instead of used.
MAX_TRANSIT_MS = 1_500
# A grant that is unused for longer is released.
MAX_UNUSED_MS = 2_000
# How long a router waits for a coordinator's reply beyond the queue timeout.
COORDINATOR_GRACE_MS = 5_000
# Delay of the next slot request after a grant that could not be used.
RETRY_DELAY_MS = 50
SEQ_MASK = 0xFFFFFFFF


class SlotClient:
    """Acquires and releases slots for the requests of one router.

    :param scope: the objects that it shares with the schedulers.
    :param traceparent: returns the trace context to pass on, or ``""``.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        scope: scope_module.Scope,
        traceparent: typing.Callable[[], str] = str,
    ) -> None:
        self._scope = scope
        self._traceparent = traceparent
        self._updated_for: tuple[list[str], int] = ([], -1)
        self._assigned_for: tuple[list[str], set[session_module.ShardKey]] = (
            [],
            set(),
        )
        self._coordinators: dict[session_module.ShardKey, str] = {}
        self._sessions: dict[
            session_module.ShardKey, session_module.ShardSession
        ] = {}
        self._sessions_by_seq: dict[int, session_module.ShardSession] = {}
        self._seq = itertools.count(1)
        self._schedulers: schedulers_module.Schedulers | None = None

    def bind(self, schedulers: schedulers_module.Schedulers) -> None:
        """Set the schedulers that run in this router."""
        self._schedulers = schedulers

    @property
    def _own_schedulers(self) -> schedulers_module.Schedulers:
        if self._schedulers is None:
            raise RuntimeError("bind() was not called")
        return self._schedulers

    async def acquire(
        self,
        requirements: session_module.SlotRequirements,
        excluded: tuple[str, ...] = (),
    ) -> session_module.Grant:
        """Acquire a slot.

        :param requirements: what the slot is for.
        :param excluded: targets that failed the request already.
        :raises bulrushdale.results.RefusedError: if the request is refused,
            or no slot is granted in time.
        """
        session = self._session(requirements.pool, self._shard(requirements))
        started_ms = self._scope.clock.now_ms()
        while True:
            left_ms = requirements.wait_ms - (
                self._scope.clock.now_ms() - started_ms
            )
            reply, fresh, seq = await self._request_slot(
                session, requirements, excluded, left_ms
            )
            if reply.code != results.Code.OK:
                raise results.refuse(
                    reply.code,
                    f"no slot in pool {requirements.pool}",
                    reply.retry_after_ms,
                )
            now_ms = self._scope.clock.now_ms()
            grant = session_module.Grant(
                session, seq, reply, now_ms - started_ms, now_ms
            )
            if fresh and grant.target:
                return grant
            self.release(grant)
            await self._scope.clock.sleep_ms(RETRY_DELAY_MS)

    async def resume(
        self, requirements: session_module.SlotRequirements, target: str
    ) -> session_module.Grant:
        """Acquire a slot for an answer that runs already.

        :param requirements: the team and pool of the answer.
        :param target: the target that runs it.
        """
        shards = self._scope.targets.shard_count(requirements.pool)
        shard = targets_module.shard_of(target, shards)
        session = self._session(requirements.pool, shard)
        started_ms = self._scope.clock.now_ms()
        reply, _, seq = await self._request_slot(
            session, requirements, (), requirements.wait_ms, resumed=target
        )
        now_ms = self._scope.clock.now_ms()
        return session_module.Grant(
            session, seq, reply, now_ms - started_ms, now_ms
        )

    def usable(self, grant: session_module.Grant) -> bool:
        """Return whether a grant is recent enough to start work on it."""
        age_ms = self._scope.clock.now_ms() - grant.granted_ms
        return age_ms <= MAX_UNUSED_MS

    def _shard(self, requirements: session_module.SlotRequirements) -> int:
        """Return the shard of the target that the request prefers most."""
        shards = self._scope.targets.shard_count(requirements.pool)
        names = [
            target.name
            for target in self._scope.targets.in_service(requirements.pool)
        ]
        if not names:
            raise results.refuse(
                results.Code.NO_TARGET,
                f"pool {requirements.pool} has no target in this data centre",
                scheduler_module.MIN_RETRY_MS,
            )
        if shards == 1:
            return 0
        return targets_module.shard_of(
            hashing.winner(requirements.affinity_key, names), shards
        )

    def _session(self, pool: str, shard: int) -> session_module.ShardSession:
        key = (pool, shard)
        session = self._sessions.get(key)
        if session is None:
            session = self._sessions[key] = session_module.ShardSession(key)
            self._update_session(session)
        return session

    async def _request_slot(
        self,
        session: session_module.ShardSession,
        requirements: session_module.SlotRequirements,
        excluded: tuple[str, ...],
        wait_ms: int,
        resumed: str = "",
    ) -> tuple[reply_module.Reply, bool, int]:
        """Send one slot request and wait for its reply.

        :return: the reply, whether it is recent enough to be used, and the
            sequence number of the request.
        """
        seq = next(self._seq) & SEQ_MASK
        request = messages.encode_request(
            session.key, seq, requirements, wait_ms, self._traceparent()
        )
        request.excluded.extend(excluded)
        request.resumed = resumed
        future = asyncio.get_running_loop().create_future()
        pending = session_module.PendingRequest(
            request, future, self._scope.clock.now_ms()
        )
        reply = await self._await_reply(session, pending, wait_ms)
        if reply.code == results.Code.OK:
            session.held[seq] = pb.HeldSlot(
                seq=seq,
                target=reply.target,
                team=requirements.team,
                tokens=requirements.tokens,
                begun=bool(resumed),
            )
        else:
            del self._sessions_by_seq[seq]
        spent_ms = self._scope.clock.now_ms() - pending.sent_ms
        fresh = spent_ms - reply.waited_ms <= MAX_TRANSIT_MS
        return reply, fresh, seq

    async def _await_reply(
        self,
        session: session_module.ShardSession,
        pending: session_module.PendingRequest,
        wait_ms: int,
    ) -> reply_module.Reply:
        """Send a request, again to each new coordinator, until one replies."""
        seq = pending.request.seq
        session.pending[seq] = pending
        self._sessions_by_seq[seq] = session
        limit_ms = max(0, wait_ms) + COORDINATOR_GRACE_MS
        try:
            if session.coordinator is not None:
                self._send(session, pending)
            async with asyncio.timeout(limit_ms / 1000):
                return await pending.future
        except TimeoutError:
            self._abandon(session, seq)
            raise results.refuse(
                results.Code.QUEUE_DEADLINE,
                f"the coordinator of pool {session.key[0]} did not reply",
                1_000,
            ) from None
        except asyncio.CancelledError:
            self._abandon(session, seq)
            raise
        finally:
            session.pending.pop(seq, None)

    def _send(
        self,
        session: session_module.ShardSession,
        pending: session_module.PendingRequest,
    ) -> None:
        pending.sent_ms = self._scope.clock.now_ms()
        if session.coordinator == self._scope.own:
            self._own_schedulers.handle_request(
                pending.request, self._scope.own
            )
            return
        link = self._scope.links.get(session.coordinator or "")
        if link is not None:
            link.queue().slot_requests.append(pending.request)

    def report_started(self, grant: session_module.Grant) -> None:
        """Report to the coordinator that the work of a slot has started.

        Only then does the slot count for the mean load, and so raise the
        bound.
        """
        held = grant.session.held.get(grant.seq)
        if held is None or held.begun:
            return
        held.begun = True
        coordinator = grant.session.coordinator
        if coordinator == self._scope.own:
            self._own_schedulers.mark_started(coordinator, grant.seq)
            return
        link = self._scope.links.get(coordinator or "")
        if link is not None:
            link.queue().begun.append(grant.seq)

    def release(self, grant: session_module.Grant) -> None:
        """Release a slot; a second call does nothing."""
        if grant.session.held.pop(grant.seq, None) is not None:
            self._abandon(grant.session, grant.seq)

    def _abandon(self, session: session_module.ShardSession, seq: int) -> None:
        """Release the slot of a request, or cancel the queued request."""
        self._sessions_by_seq.pop(seq, None)
        if session.coordinator is not None:
            self._return_slot(session.coordinator, seq)

    def _return_slot(self, coordinator: str, seq: int) -> None:
        if coordinator == self._scope.own:
            self._own_schedulers.release(self._scope.own, [seq])
            return
        link = self._scope.links.get(coordinator)
        if link is not None:
            link.queue().releases.append(seq)

    def receive_own_reply(
        self,
        key: session_module.ShardKey,
        queued_request: queue.QueuedRequest,
        reply: reply_module.Reply,
    ) -> None:
        """Handle a reply of one of this router's own schedulers."""
        pending = self._sessions[key].pending.get(queued_request.seq)
        if pending is not None:
            self._resolve(pending, reply)

    def receive_reply(self, coordinator: str, message: pb.SlotReply) -> None:
        """Handle a reply of a coordinator on another router.

        A grant that no request waits for, or that comes from a router that
        is no longer the coordinator, is released.
        """
        session = self._sessions_by_seq.get(message.seq)
        if session is None or session.coordinator != coordinator:
            if message.code == results.Code.OK:
                self._return_slot(coordinator, message.seq)
            return
        pending = session.pending.get(message.seq)
        if pending is None:
            return
        targets = self._scope.targets.of_pool(session.key[0])
        self._resolve(pending, messages.decode_reply(message, targets))

    def _resolve(
        self, pending: session_module.PendingRequest, reply: reply_module.Reply
    ) -> None:
        if not pending.future.done():
            pending.future.set_result(reply)

    def maintain(self) -> None:
        """Open missing sessions and follow changes of coordinators."""
        for pool in self._scope.view.pool_names():
            for shard in range(self._scope.targets.shard_count(pool)):
                self._session(pool, shard)
        eligible = self._scope.members.eligible()
        state = (eligible, self._scope.view.generation)
        changed = state != self._updated_for
        self._updated_for = state
        for session in self._sessions.values():
            if changed or session.coordinator is None:
                self._update_session(session)

    def _update_session(self, session: session_module.ShardSession) -> None:
        if session.previous is not None:
            self._attach_if_detached(session)
            return
        assigned = self._assigned_coordinator(session)
        if session.coordinator is None:
            self._attach(session, assigned)
        elif session.coordinator != assigned:
            self._detach(session)

    def _assigned_coordinator(
        self, session: session_module.ShardSession
    ) -> str:
        names = self._scope.members.eligible() or [self._scope.own]
        keys = {
            (pool, shard)
            for pool in self._scope.view.pool_names()
            for shard in range(self._scope.targets.shard_count(pool))
        }
        keys.add(session.key)
        known = (names, keys)
        if known != self._assigned_for:
            self._coordinators = coordinators.assign(keys, names)
            self._assigned_for = known
        return self._coordinators[session.key]

    def _detach(self, session: session_module.ShardSession) -> None:
        """Start to detach from the coordinator.

        The session attaches to the next one once this one acknowledges the
        detach, or when its lease ends.
        """
        previous = typing.cast(str, session.coordinator)
        session.coordinator = None
        now_ms = self._scope.clock.now_ms()
        if previous == self._scope.own:
            self._own_schedulers.detach(session.key, self._scope.own)
            self._attach(session, self._assigned_coordinator(session))
            return
        session.previous = previous
        session.lease_end_ms = now_ms + self._scope.lease_ms
        link = self._scope.links.get(previous)
        if link is not None:
            link.queue().detaches.add(
                pool=session.key[0], shard=session.key[1]
            )
        else:
            # The lease runs from a heartbeat that the coordinator sent, which
            # is no later than the last message received from it.
            member = self._scope.members.get(previous)
            if member is not None and member.last_received_ms is not None:
                session.lease_end_ms = (
                    member.last_received_ms + self._scope.lease_ms
                )
        self._attach_if_detached(session)

    def _attach_if_detached(
        self, session: session_module.ShardSession
    ) -> None:
        """Attach to the next coordinator once the previous one has let go.

        The previous one must no longer count on this router for its majority:
        its lease has ended, it acknowledged the detach, or it is gone.
        """
        previous = typing.cast(str, session.previous)
        member = self._scope.members.get(previous)
        gone = member is None or (
            member.connection_refused and not member.linked
        )
        if gone or self._scope.clock.now_ms() >= session.lease_end_ms:
            session.previous = None
            self._attach(session, self._assigned_coordinator(session))

    def confirm_detach(
        self, coordinator: str, key: session_module.ShardKey
    ) -> None:
        """Handle the acknowledgement of a detach."""
        session = self._sessions.get(key)
        if session is not None and session.previous == coordinator:
            session.lease_end_ms = 0
            self._attach_if_detached(session)

    def _attach(
        self, session: session_module.ShardSession, coordinator: str
    ) -> None:
        """Attach with the held slots, and send the pending requests.

        Without a link this only records the coordinator; :meth:`reattach`
        sends them once a link is open.
        """
        session.coordinator = coordinator
        held = list(session.held.values())
        if coordinator == self._scope.own:
            self._own_schedulers.attach(session.key, self._scope.own, held)
        else:
            link = self._scope.links.get(coordinator)
            if link is None:
                return
            link.queue().attaches.add(
                pool=session.key[0], shard=session.key[1], held=held
            )
        for pending in list(session.pending.values()):
            self._send(session, pending)

    def reattach(self, coordinator: str) -> None:
        """Attach again after a link to a coordinator was opened."""
        for session in self._sessions.values():
            if session.coordinator == coordinator:
                self._attach(session, coordinator)

    def summary(self) -> list[dict[str, object]]:
        """Return the state of each session for operators."""
        return [
            {
                "pool": session.key[0],
                "shard": session.key[1],
                "home": session.coordinator or f"(leaving {session.previous})",
                "held": len(session.held),
                "waiting": len(session.pending),
            }
            for session in self._sessions.values()
        ]

    def coordinators_ready(self) -> bool:
        """Return whether the coordinators may grant.

        Only those that run in this router are checked.
        """
        for session in self._sessions.values():
            if (
                session.coordinator == self._scope.own
                and not self._own_schedulers.may_grant(session.key)
            ):
                return False
        return True

    def held_count(self) -> int:
        """Return the number of slots that this router holds."""
        return sum(len(session.held) for session in self._sessions.values())
