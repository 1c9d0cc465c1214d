"""What a router holds and waits for at the home of one shard."""

import asyncio
import dataclasses

from bulrushdale.admission import reply as reply_module
from bulrushdale.control import control_pb2 as pb

# A pool's name and the number of one of its shards.
ShardKey = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequirements:
    """What a request needs a slot for.

    :param pool: the pool or service.
    :param team: the team that pays.
    :param service_class: its class of service.
    :param weight: the class's share.
    :param wait_ms: how long it may wait, in ms.
    :param lowered: whether the class is not the team's own.
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
    class_overridden: bool = False


class Grant:
    """A slot that this router holds.

    :ivar target: where the request may start.
    :ivar reason: why that target was chosen.
    :ivar bound: the target's bound at the time.
    :ivar waited_ms: how long the request waited for it, in ms.
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
    """A request for a slot that has no answer yet."""

    request: pb.SlotRequest
    future: "asyncio.Future[reply_module.Reply]"
    sent_ms: int


class ShardSession:
    """This router's place at the home of one shard.

    :ivar home: the router that grants the slots; none while it changes.
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
