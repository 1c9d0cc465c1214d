"""Where one router gets its slots: its seat at each shard's home."""

import asyncio
import dataclasses
import itertools
import typing

from bulrushdale.admission import choice
from bulrushdale.admission import desk as desk_module
from bulrushdale.admission import desks as desks_module
from bulrushdale.admission import queue
from bulrushdale.catalogue import view as view_module
from bulrushdale import clock as clock_module
from bulrushdale.control import control_pb2 as pb
from bulrushdale.fleet import links as links_module
from bulrushdale.fleet import members as members_module
from bulrushdale.fleet import targets as targets_module
from bulrushdale import hashing
from bulrushdale import results
from bulrushdale import telemetry

# A grant that was longer under way is given back, not used.
TRANSIT_LIMIT_MS = 1_500
# A grant that was not used for so long is given back.
USE_LIMIT_MS = 2_000
# How much longer than the queue deadline a router waits for its home.
HOME_GRACE_MS = 5_000
SEQ_MASK = 0xFFFFFFFF


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """What a request needs a slot for.

    :param pool: the pool or service.
    :param team: the team that pays.
    :param service_class: its class of service.
    :param weight: the class's share.
    :param wait_ms: how long it may wait, in ms.
    :param affinity: hash of the prefix that a target's cache may hold.
    :param chat: hash of the chat; zero for none.
    :param tokens: estimated prompt and answer tokens.
    """

    pool: str
    team: str
    service_class: str
    weight: int
    wait_ms: int
    affinity: int
    chat: int = 0
    tokens: int = 0


class Grant:
    """A slot that this router holds.

    :ivar target: where the request may start.
    :ivar reason: why that target was chosen.
    :ivar bound: the target's bound at the time.
    :ivar waited_ms: how long the request waited for it, in ms.
    """

    __slots__ = (
        "seat",
        "seq",
        "target",
        "reason",
        "bound",
        "waited_ms",
        "granted_ms",
        "home",
    )

    def __init__(
        self,
        seat: "Seat",
        seq: int,
        reply: desk_module.Reply,
        waited_ms: int,
        granted_ms: int,
    ) -> None:
        self.seat = seat
        self.seq = seq
        self.target = reply.target
        self.reason = reply.reason
        self.bound = reply.bound
        self.waited_ms = waited_ms
        self.granted_ms = granted_ms
        self.home = seat.home or ""


@dataclasses.dataclass(slots=True)
class Waiting:
    """A request for a slot that has no answer yet."""

    request: pb.SlotRequest
    future: "asyncio.Future[desk_module.Reply]"
    sent_ms: int


class Seat:
    """This router's place at the home of one shard.

    :ivar home: the router that grants the slots; none while it changes.
    """

    __slots__ = ("key", "home", "leaving", "free_ms", "waiting", "held")

    def __init__(self, key: desks_module.ShardKey) -> None:
        self.key = key
        self.home: str | None = None
        self.leaving: str | None = None
        self.free_ms = 0
        self.waiting: dict[int, Waiting] = {}
        self.held: dict[int, pb.HeldSlot] = {}


class Seats:
    """Gets and returns slots for the requests of one router.

    :param own: this router's name.
    :param view: the catalogue.
    :param targets: the targets here.
    :param members: the routers known.
    :param links: the links to them.
    :param clock: the clock.
    :param lease_ms: how long a home counts this router as attached.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        own: str,
        view: view_module.View,
        targets: targets_module.Targets,
        members: members_module.Members,
        links: links_module.Links,
        clock: clock_module.Clock,
        lease_ms: int,
    ) -> None:
        self._own = own
        self._view = view
        self._targets = targets
        self._members = members
        self._links = links
        self._clock = clock
        self._lease_ms = lease_ms
        self._seats: dict[desks_module.ShardKey, Seat] = {}
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
        self, need: Need, excluded: tuple[str, ...] = ()
    ) -> Grant:
        """Get a slot.

        :param need: what it is for.
        :param excluded: targets that failed the request already.
        :raises bulrushdale.results.RefusedError: if there is none in time.
        """
        seat = self._seat(need.pool, self._shard(need))
        started_ms = self._clock.now_ms()
        while True:
            left_ms = need.wait_ms - (self._clock.now_ms() - started_ms)
            reply, fresh, seq = await self._ask(seat, need, excluded, left_ms)
            if reply.code != results.Code.OK:
                raise results.refuse(
                    reply.code,
                    f"no slot in pool {need.pool}",
                    reply.retry_after_ms,
                )
            now_ms = self._clock.now_ms()
            grant = Grant(seat, seq, reply, now_ms - started_ms, now_ms)
            if fresh:
                return grant
            self.release(grant)

    async def resume(self, need: Need, target: str) -> Grant:
        """Count an answer that runs already under this router's name.

        :param need: the team and pool of the answer.
        :param target: where it runs.
        """
        shards = self._targets.shard_count(need.pool)
        shard = targets_module.shard_of(target, shards)
        seat = self._seat(need.pool, shard)
        started_ms = self._clock.now_ms()
        reply, _, seq = await self._ask(
            seat, need, (), need.wait_ms, resumed=target
        )
        now_ms = self._clock.now_ms()
        return Grant(seat, seq, reply, now_ms - started_ms, now_ms)

    def usable(self, grant: Grant) -> bool:
        """Return whether a grant is recent enough to start work on it."""
        age_ms = self._clock.now_ms() - grant.granted_ms
        return age_ms <= USE_LIMIT_MS

    def _shard(self, need: Need) -> int:
        shards = self._targets.shard_count(need.pool)
        names = [target.name for target in self._targets.stable(need.pool)]
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

    def _seat(self, pool: str, shard: int) -> Seat:
        key = (pool, shard)
        seat = self._seats.get(key)
        if seat is None:
            seat = self._seats[key] = Seat(key)
            self._keep(seat)
        return seat

    async def _ask(
        self,
        seat: Seat,
        need: Need,
        excluded: tuple[str, ...],
        wait_ms: int,
        resumed: str = "",
    ) -> tuple[desk_module.Reply, bool, int]:
        """Ask the home once.

        :return: its reply, whether it is recent, and the number asked by.
        """
        seq = next(self._seq) & SEQ_MASK
        request = pb.SlotRequest(
            seq=seq,
            pool=seat.key[0],
            shard=seat.key[1],
            affinity=need.affinity,
            chat=need.chat,
            team=need.team,
            service_class=need.service_class,
            tokens=need.tokens,
            excluded=excluded,
            wait_ms=max(0, wait_ms),
            weight=need.weight,
            resumed=resumed,
            traceparent=telemetry.inject().get("traceparent", ""),
        )
        future = asyncio.get_running_loop().create_future()
        waiting = Waiting(request, future, self._clock.now_ms())
        seat.waiting[seq] = waiting
        try:
            if seat.home is not None:
                self._send(seat, waiting)
            limit_ms = max(0, wait_ms) + HOME_GRACE_MS
            async with asyncio.timeout(limit_ms / 1000):
                reply = await future
        except TimeoutError:
            self._give_back(seat, seat.home, seq)
            raise results.refuse(
                results.Code.QUEUE_DEADLINE,
                f"the home of pool {seat.key[0]} did not answer",
                1_000,
            ) from None
        except asyncio.CancelledError:
            self._give_back(seat, seat.home, seq)
            raise
        finally:
            seat.waiting.pop(seq, None)
        if reply.code == results.Code.OK:
            seat.held[seq] = pb.HeldSlot(
                seq=seq,
                target=reply.target,
                team=need.team,
                tokens=need.tokens,
            )
        spent_ms = self._clock.now_ms() - waiting.sent_ms
        fresh = spent_ms - reply.waited_ms <= TRANSIT_LIMIT_MS
        return reply, fresh, seq

    def _send(self, seat: Seat, waiting: Waiting) -> None:
        waiting.sent_ms = self._clock.now_ms()
        if seat.home == self._own:
            self._own_desks.ask(waiting.request, self._own)
            return
        link = self._links.get(seat.home or "")
        if link is not None:
            link.queue().slot_requests.append(waiting.request)

    def release(self, grant: Grant) -> None:
        """Return a slot; a second call does nothing."""
        if grant.seat.held.pop(grant.seq, None) is not None:
            self._give_back(grant.seat, grant.seat.home, grant.seq)

    def _give_back(self, seat: Seat, home: str | None, seq: int) -> None:
        if home is None:
            return
        if home == self._own:
            self._own_desks.release(seat.key, self._own, seq)
            return
        link = self._links.get(home)
        if link is not None:
            link.queue().releases.add(
                seq=seq, pool=seat.key[0], shard=seat.key[1]
            )

    def answered_own(
        self,
        key: desks_module.ShardKey,
        ask: queue.Ask,
        reply: desk_module.Reply,
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
        seat = self._seats.get((message.pool, message.shard))
        if seat is None:
            return
        waiting = seat.waiting.get(message.seq)
        if waiting is None or seat.home != home or waiting.future.done():
            if message.code == 0 and message.seq not in seat.held:
                self._give_back(seat, home, message.seq)
            return
        reply = desk_module.Reply(
            results.Code(message.code),
            message.target,
            message.retry_after_ms,
            choice.Reason(message.reason),
            message.bound,
            message.waited_ms,
        )
        self._settle(waiting, reply)

    def _settle(self, waiting: Waiting, reply: desk_module.Reply) -> None:
        if not waiting.future.done():
            waiting.future.set_result(reply)

    def maintain(self) -> None:
        """Open missing seats and follow changes of the homes."""
        for pool in self._view.pool_names():
            for shard in range(self._targets.shard_count(pool)):
                self._seat(pool, shard)
        for seat in self._seats.values():
            self._keep(seat)

    def _keep(self, seat: Seat) -> None:
        if seat.leaving is not None:
            self._finish_leaving(seat)
            return
        wanted = self._wanted_home(seat)
        if seat.home is None:
            self._attach(seat, wanted)
        elif seat.home != wanted:
            self._leave(seat)

    def _wanted_home(self, seat: Seat) -> str:
        names = self._members.eligible()
        if not names:
            return self._own
        label = f"{seat.key[0]}/{seat.key[1]}"
        return hashing.winner(hashing.hash64(label.encode()), names)

    def _leave(self, seat: Seat) -> None:
        """Stop asking the old home, and wait until it knows."""
        old = typing.cast(str, seat.home)
        seat.home = None
        now_ms = self._clock.now_ms()
        if old == self._own:
            self._own_desks.detach(seat.key, self._own)
            self._attach(seat, self._wanted_home(seat))
            return
        seat.leaving = old
        seat.free_ms = now_ms + self._lease_ms
        link = self._links.get(old)
        if link is not None:
            link.queue().detaches.add(pool=seat.key[0], shard=seat.key[1])
        else:
            member = self._members.get(old)
            if member is not None and member.heard_ms is not None:
                seat.free_ms = member.heard_ms + self._lease_ms
        self._finish_leaving(seat)

    def _finish_leaving(self, seat: Seat) -> None:
        """Attach to the next home once the old one can't count on us."""
        old = typing.cast(str, seat.leaving)
        member = self._members.get(old)
        gone = member is None or (member.refused and not member.linked)
        if gone or self._clock.now_ms() >= seat.free_ms:
            seat.leaving = None
            self._attach(seat, self._wanted_home(seat))

    def released_by(self, home: str, key: desks_module.ShardKey) -> None:
        """Note that a former home knows that this router has left."""
        seat = self._seats.get(key)
        if seat is not None and seat.leaving == home:
            seat.free_ms = 0
            self._finish_leaving(seat)

    def _attach(self, seat: Seat, home: str) -> None:
        seat.home = home
        held = list(seat.held.values())
        if home == self._own:
            self._own_desks.attach(seat.key, self._own, held)
        else:
            link = self._links.get(home)
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
            if seat.home == self._own and not self._own_desks.grants(seat.key):
                return False
        return True

    def held_count(self) -> int:
        """Return how many slots this router holds."""
        return sum(len(seat.held) for seat in self._seats.values())
