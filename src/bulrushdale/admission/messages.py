"""Encoding of the slot messages between routers and coordinators."""

from collections import abc

from bulrushdale.admission import choice
from bulrushdale.admission import reply as reply_module
from bulrushdale.admission import session as session_module
from bulrushdale.control import control_pb2 as pb
from bulrushdale.fleet import targets as targets_module
from bulrushdale import hashing
from bulrushdale import results


def encode_request(
    key: session_module.ShardKey,
    seq: int,
    requirements: session_module.SlotRequirements,
    wait_ms: int,
    traceparent: str,
) -> pb.SlotRequest:
    """Encode a slot request, without what the coordinator knows itself.

    :param key: pool and shard.
    :param seq: the sequence number that the reply refers to.
    :param requirements: what the slot is for.
    :param wait_ms: how long the coordinator may queue it, in ms.
    :param traceparent: the trace context; empty if there is none.
    """
    message = pb.SlotRequest(
        seq=seq,
        pool=key[0],
        shard=key[1],
        affinity=requirements.affinity_key,
        chat_is_affinity=requirements.chat == requirements.affinity_key,
        team=requirements.team,
        service_class=requirements.service_class
        if requirements.class_overridden
        else "",
        tokens=requirements.tokens,
        traceparent=traceparent,
    )
    if not message.chat_is_affinity:
        message.chat = requirements.chat
    if wait_ms < requirements.wait_ms:
        message.wait_ms = max(1, wait_ms)
    return message


def decode_reply(
    message: pb.SlotReply, targets: abc.Iterable[targets_module.Target]
) -> reply_module.Reply:
    """Decode the reply of a coordinator.

    :param message: the reply, which names its target by a hash.
    :param targets: the known targets of the pool; the returned target is
        empty if the named one isn't among them yet.
    """
    name = ""
    for target in targets:
        if hashing.name_hash(target.name) == message.target:
            name = target.name
            break
    return reply_module.Reply(
        results.Code(message.code),
        name,
        message.retry_after_ms,
        choice.Reason(message.reason),
        message.bound,
        message.waited_ms,
    )
