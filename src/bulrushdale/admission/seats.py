"""Where one router gets its slots: its seat at each shard's home."""

import asyncio
import itertools
import typing

from bulrushdale.admission import desk as desk_module
from bulrushdale.admission import desks as desks_module
from bulrushdale.admission import homes
from bulrushdale.admission import messages
from bulrushdale.admission import queue
from bulrushdale.admission import reply as reply_module
from bulrushdale.admission import scope as scope_module
from bulrushdale.admission import seat as seat_module
from bulrushdale.control import control_pb2 as pb
from bulrushdale.fleet import targets as targets_module
from bulrushdale import hashing
from bulrushdale import results

# A grant that was longer under way is given back, not used.
TRANSIT_LIMIT_MS = 1_500
# A grant that was not used for so long is given back.
USE_LIMIT_MS = 2_000
# How much longer than the queue deadline a router waits for its home.
HOME_GRACE_MS = 5_000
# How soon a request asks again after a grant that it could not use.
AGAIN_MS = 50
SEQ_MASK = 0xFFFFFFFF


class Seats:
    """Gets and returns slots for the requests of one router.

    :param scope: what they work with.
    :param traceparent: returns the trace context to pass on, if any.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        scope: scope_module.Scope,
        traceparent: typing.Callable[[], str] = str,
    ) -> None:
        self._scope = scope
        self._traceparent = traceparent
        self._kept_for: tuple[list[str], int] = ([], -1)
        self._assigned_for: tuple[list[str], set[seat_module.ShardKey]] = (
            [],
            set(),
        )
        self._homes: dict[seat_module.ShardKey, str] = {}
        self._seats: dict[seat_module.ShardKey, seat_module.Seat] = {}
        self._asked: dict[int, seat_module.Seat] = {}
        self._seq = itertools.count(1)
        self._desks: desks_module.Desks | None = None

    def bind(self, desks: desks_module.Desks) -> None:
        """Connect this router's own desks."""
        self._desks = desks

    @property
    def _own_desks(self) -> desks_module.Desks:
        if self._desks is None:
            raise RuntimeError("bind() was not called")
        return self._desks

    async def acquire(
        self, need: seat_module.Need, excluded: tuple[str, ...] = ()
    ) -> seat_module.Grant:
        """Get a slot.

        :param need: what it is for.
        :param excluded: targets that failed the request already.
        :raises bulrushdale.results.RefusedError: if there is none in time.
        """
        seat = self._seat(need.pool, self._shard(need))
        started_ms = self._scope.clock.now_ms()
        while True:
            left_ms = need.wait_ms - (self._scope.clock.now_ms() - started_ms)
            reply, fresh, seq = await self._ask(seat, need, excluded, left_ms)
            if reply.code != results.Code.OK:
                raise results.refuse(
                    reply.code,
                    f"no slot in pool {need.pool}",
                    reply.retry_after_ms,
                )
            now_ms = self._scope.clock.now_ms()
            grant = seat_module.Grant(
                seat, seq, reply, now_ms - started_ms, now_ms
            )
            if fresh and grant.target:
                return grant
            self.release(grant)
            await self._scope.clock.sleep_ms(AGAIN_MS)

    async def resume(
        self, need: seat_module.Need, target: str
    ) -> seat_module.Grant:
        """Count an answer that runs already under this router's name.

        :param need: the team and pool of the answer.
        :param target: where it runs.
        """
        shards = self._scope.targets.shard_count(need.pool)
        shard = targets_module.shard_of(target, shards)
        seat = self._seat(need.pool, shard)
        started_ms = self._scope.clock.now_ms()
        reply, _, seq = await self._ask(
            seat, need, (), need.wait_ms, resumed=target
        )
        now_ms = self._scope.clock.now_ms()
        return seat_module.Grant(seat, seq, reply, now_ms - started_ms, now_ms)

    def usable(self, grant: seat_module.Grant) -> bool:
        """Return whether a grant is recent enough to start work on it."""
        age_ms = self._scope.clock.now_ms() - grant.granted_ms
        return age_ms <= USE_LIMIT_MS

    def _shard(self, need: seat_module.Need) -> int:
        shards = self._scope.targets.shard_count(need.pool)
        names = [
            target.name for target in self._scope.targets.stable(need.pool)
        ]
        if not names:
            raise results.refuse(
                results.Code.NO_TARGET,
                f"pool {need.pool} has no target in this data centre",
                desk_module.LEAST_RETRY_MS,
            )
        if shards == 1:
            return 0
        return targets_module.shard_of(
            hashing.winner(need.affinity, names), shards
        )

    def _seat(self, pool: str, shard: int) -> seat_module.Seat:
        key = (pool, shard)
        seat = self._seats.get(key)
        if seat is None:
            seat = self._seats[key] = seat_module.Seat(key)
            self._keep(seat)
        return seat

    async def _ask(
        self,
        seat: seat_module.Seat,
        need: seat_module.Need,
        excluded: tuple[str, ...],
        wait_ms: int,
        resumed: str = "",
    ) -> tuple[reply_module.Reply, bool, int]:
        """Ask the home once.

        :return: its reply, whether it is recent, and the number asked by.
        """
        seq = next(self._seq) & SEQ_MASK
        request = messages.request(
            seat.key, seq, need, wait_ms, self._traceparent()
        )
        request.excluded.extend(excluded)
        request.resumed = resumed
        future = asyncio.get_running_loop().create_future()
        waiting = seat_module.Waiting(
            request, future, self._scope.clock.now_ms()
        )
        reply = await self._reply(seat, waiting, wait_ms)
        if reply.code == results.Code.OK:
            seat.held[seq] = pb.HeldSlot(
                seq=seq,
                target=reply.target,
                team=need.team,
                tokens=need.tokens,
                begun=bool(resumed),
            )
        else:
            del self._asked[seq]
        spent_ms = self._scope.clock.now_ms() - waiting.sent_ms
        fresh = spent_ms - reply.waited_ms <= TRANSIT_LIMIT_MS
        return reply, fresh, seq

    async def _reply(
        self,
        seat: seat_module.Seat,
        waiting: seat_module.Waiting,
        wait_ms: int,
    ) -> reply_module.Reply:
        """Send a request, again at each new home, until one replies."""
        seq = waiting.request.seq
        seat.waiting[seq] = waiting
        self._asked[seq] = seat
        limit_ms = max(0, wait_ms) + HOME_GRACE_MS
        try:
            if seat.home is not None:
                self._send(seat, waiting)
            async with asyncio.timeout(limit_ms / 1000):
                return await waiting.future
        except TimeoutError:
            self._forget(seat, seq)
            raise results.refuse(
                results.Code.QUEUE_DEADLINE,
                f"the home of pool {seat.key[0]} did not answer",
                1_000,
            ) from None
        except asyncio.CancelledError:
            self._forget(seat, seq)
            raise
        finally:
            seat.waiting.pop(seq, None)

    def _send(
        self, seat: seat_module.Seat, waiting: seat_module.Waiting
    ) -> None:
        waiting.sent_ms = self._scope.clock.now_ms()
        if seat.home == self._scope.own:
            self._own_desks.ask(waiting.request, self._scope.own)
            return
        link = self._scope.links.get(seat.home or "")
        if link is not None:
            link.queue().slot_requests.append(waiting.request)

    def begin(self, grant: seat_module.Grant) -> None:
        """Tell the home that the target has begun the work of a slot.

        Only then does it count for the mean, and so for the bound.
        """
        held = grant.seat.held.get(grant.seq)
        if held is None or held.begun:
            return
        held.begun = True
        home = grant.seat.home
        if home == self._scope.own:
            self._own_desks.begin(home, grant.seq)
            return
        link = self._scope.links.get(home or "")
        if link is not None:
            link.queue().begun.append(grant.seq)

    def release(self, grant: seat_module.Grant) -> None:
        """Return a slot; a second call does nothing."""
        if grant.seat.held.pop(grant.seq, None) is not None:
            self._forget(grant.seat, grant.seq)

    def _forget(self, seat: seat_module.Seat, seq: int) -> None:
        """Return whatever a request got or waits for."""
        self._asked.pop(seq, None)
        if seat.home is not None:
            self._give_back(seat.home, seq)

    def _give_back(self, home: str, seq: int) -> None:
        if home == self._scope.own:
            self._own_desks.release(self._scope.own, seq)
            return
        link = self._scope.links.get(home)
        if link is not None:
            link.queue().releases.append(seq)

    def answered_own(
        self,
        key: seat_module.ShardKey,
        ask: queue.Ask,
        reply: reply_module.Reply,
    ) -> None:
        """Take the reply of one of this router's own desks."""
        waiting = self._seats[key].waiting.get(ask.seq)
        if waiting is not None:
            self._settle(waiting, reply)

    def answered(self, home: str, message: pb.SlotReply) -> None:
        """Take the reply of another router.

        A grant that nobody waits for, or that comes from a router that is
        no longer the home, is given back.
        """
        seat = self._asked.get(message.seq)
        if seat is None or seat.home != home:
            if message.code == results.Code.OK:
                self._give_back(home, message.seq)
            return
        waiting = seat.waiting.get(message.seq)
        if waiting is None:
            return
        targets = self._scope.targets.of_pool(seat.key[0])
        self._settle(waiting, messages.reply(message, targets))

    def _settle(
        self, waiting: seat_module.Waiting, reply: reply_module.Reply
    ) -> None:
        if not waiting.future.done():
            waiting.future.set_result(reply)

    def maintain(self) -> None:
        """Open missing seats and follow changes of the homes."""
        for pool in self._scope.view.pool_names():
            for shard in range(self._scope.targets.shard_count(pool)):
                self._seat(pool, shard)
        eligible = self._scope.members.eligible()
        state = (eligible, self._scope.view.generation)
        changed = state != self._kept_for
        self._kept_for = state
        for seat in self._seats.values():
            if changed or seat.home is None:
                self._keep(seat)

    def _keep(self, seat: seat_module.Seat) -> None:
        if seat.leaving is not None:
            self._finish_leaving(seat)
            return
        wanted = self._wanted_home(seat)
        if seat.home is None:
            self._attach(seat, wanted)
        elif seat.home != wanted:
            self._leave(seat)

    def _wanted_home(self, seat: seat_module.Seat) -> str:
        names = self._scope.members.eligible() or [self._scope.own]
        keys = {
            (pool, shard)
            for pool in self._scope.view.pool_names()
            for shard in range(self._scope.targets.shard_count(pool))
        }
        keys.add(seat.key)
        known = (names, keys)
        if known != self._assigned_for:
            self._homes = homes.assign(keys, names)
            self._assigned_for = known
        return self._homes[seat.key]

    def _leave(self, seat: seat_module.Seat) -> None:
        """Stop asking the old home, and wait until it knows."""
        old = typing.cast(str, seat.home)
        seat.home = None
        now_ms = self._scope.clock.now_ms()
        if old == self._scope.own:
            self._own_desks.detach(seat.key, self._scope.own)
            self._attach(seat, self._wanted_home(seat))
            return
        seat.leaving = old
        seat.free_ms = now_ms + self._scope.lease_ms
        link = self._scope.links.get(old)
        if link is not None:
            link.queue().detaches.add(pool=seat.key[0], shard=seat.key[1])
        else:
            member = self._scope.members.get(old)
            if member is not None and member.heard_ms is not None:
                seat.free_ms = member.heard_ms + self._scope.lease_ms
        self._finish_leaving(seat)

    def _finish_leaving(self, seat: seat_module.Seat) -> None:
        """Attach to the next home once the old one can't count on us."""
        old = typing.cast(str, seat.leaving)
        member = self._scope.members.get(old)
        gone = member is None or (member.refused and not member.linked)
        if gone or self._scope.clock.now_ms() >= seat.free_ms:
            seat.leaving = None
            self._attach(seat, self._wanted_home(seat))

    def released_by(self, home: str, key: seat_module.ShardKey) -> None:
        """Note that a former home knows that this router has left."""
        seat = self._seats.get(key)
        if seat is not None and seat.leaving == home:
            seat.free_ms = 0
            self._finish_leaving(seat)

    def _attach(self, seat: seat_module.Seat, home: str) -> None:
        seat.home = home
        held = list(seat.held.values())
        if home == self._scope.own:
            self._own_desks.attach(seat.key, self._scope.own, held)
        else:
            link = self._scope.links.get(home)
            if link is None:
                return
            link.queue().attaches.add(
                pool=seat.key[0], shard=seat.key[1], held=held
            )
        for waiting in list(seat.waiting.values()):
            self._send(seat, waiting)

    def opened(self, home: str) -> None:
        """Attach again after a link to a home was opened anew."""
        for seat in self._seats.values():
            if seat.home == home:
                self._attach(seat, home)

    def summary(self) -> list[dict[str, object]]:
        """Return the state of each seat for operators."""
        return [
            {
                "pool": seat.key[0],
                "shard": seat.key[1],
                "home": seat.home or f"(leaving {seat.leaving})",
                "held": len(seat.held),
                "waiting": len(seat.waiting),
            }
            for seat in self._seats.values()
        ]

    def served(self) -> bool:
        """Return whether every home may grant, as far as is known here."""
        for seat in self._seats.values():
            if seat.home == self._scope.own and not self._own_desks.grants(
                seat.key
            ):
                return False
        return True

    def held_count(self) -> int:
        """Return how many slots this router holds."""
        return sum(len(seat.held) for seat in self._seats.values())
