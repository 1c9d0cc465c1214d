"""The session of a router with the coordinator of one shard."""

import asyncio
import dataclasses

from bulrushdale.admission import reply as reply_module
from bulrushdale.control import control_pb2 as pb

# A pool's name and the number of one of its shards.
ShardKey = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequirements:
    """What a request requires of its slot.

    :param pool: the pool or service.
    :param team: the team that pays.
    :param service_class: its class of service.
    :param weight: the weight of the class in the queue.
    :param wait_ms: how long it may wait, in ms.
    :param class_overridden: whether the class is not the team's own.
    :param affinity_key: hash of the prefix that a target's cache may hold.
    :param chat: hash of the chat; zero for none.
    :param tokens: estimated prompt and answer tokens.
    """

    pool: str
    team: str
    service_class: str
    weight: int
    wait_ms: int
    affinity_key: int
    chat: int = 0
    tokens: int = 0
    class_overridden: bool = False


class Grant:
    """A slot that this router holds.

    :ivar session: the session that it was granted in.
    :ivar seq: the sequence number of its request.
    :ivar target: the target on which the request may start.
    :ivar reason: why that target was chosen.
    :ivar bound: the target's bound at the time.
    :ivar waited_ms: how long the request waited for it, in ms.
    :ivar granted_ms: when the grant arrived, in ms of the clock.
    :ivar coordinator: the router that granted it.
    """

    __slots__ = (
        "session",
        "seq",
        "target",
        "reason",
        "bound",
        "waited_ms",
        "granted_ms",
        "coordinator",
    )

    def __init__(
        self,
        session: "ShardSession",
        seq: int,
        reply: reply_module.Reply,
        waited_ms: int,
        granted_ms: int,
    ) -> None:
        self.session = session
        self.seq = seq
        self.target = reply.target
        self.reason = reply.reason
        self.bound = reply.bound
        self.waited_ms = waited_ms
        self.granted_ms = granted_ms
        self.coordinator = session.coordinator or ""


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A slot request without a reply.

    :param request: the message to send.
    :param future: completes with the reply.
    :param sent_ms: when it was last sent, in ms of the clock.
    """

    request: pb.SlotRequest
    future: "asyncio.Future[reply_module.Reply]"
    sent_ms: int


class ShardSession:
    """This router's session with the coordinator of one shard.

    :ivar coordinator: the router that grants the slots; none while it
        changes.
    :ivar previous: the former coordinator, until it can't count on this
        router any more.
    :ivar lease_end_ms: when the former coordinator's lease on this router
        ends, in ms of the clock; zero once it acknowledged the detach.
    :ivar pending: requests without a reply, by sequence number.
    :ivar held: slots by sequence number.
    """

    __slots__ = (
        "key",
        "coordinator",
        "previous",
        "lease_end_ms",
        "pending",
        "held",
    )

    def __init__(self, key: ShardKey) -> None:
        self.key = key
        self.coordinator: str | None = None
        self.previous: str | None = None
        self.lease_end_ms = 0
        self.pending: dict[int, PendingRequest] = {}
        self.held: dict[int, pb.HeldSlot] = {}
