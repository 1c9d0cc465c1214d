"""Choice of the target of a request, among those below their bound."""

import enum

from bulrushdale import hashing


PREFERRED_TARGETS = 2


class Reason(enum.IntEnum):
    """Why a target was chosen."""

    NONE = 0
    CHAT = 1
    PREFIX = 2
    SPILL = 3
    RESUME = 4


def choose_by_affinity(
    affinity_key: int,
    chat_target: str | None,
    free: list[str],
    usable: list[str],
    loads: dict[str, int],
) -> tuple[str, Reason]:
    """Choose a target whose cache is likely to hold the prompt.

    A chat returns to the target of its last turn if that one is free. Any
    other request goes to the less loaded of the first two targets in the
    rendezvous order of its affinity key, so that a popular prefix leaves
    capacity for returning chats. If neither is free, it goes to the least
    loaded free target.

    :param affinity_key: hash of the shared prefix, or of the id of a service
        request.
    :param chat_target: the target of the chat's last turn, if known.
    :param free: targets below their bound, at least one.
    :param usable: the usable targets whose maximum load is known.
    :param loads: the maximum load of each target.
    :return: the target and the reason for its choice.
    """
    if chat_target is not None and chat_target in free:
        return chat_target, Reason.CHAT
    order = hashing.rendezvous(affinity_key, usable)
    preferred = [name for name in order[:PREFERRED_TARGETS] if name in free]
    if preferred:
        return min(preferred, key=loads.__getitem__), Reason.PREFIX
    others = [name for name in order if name in free]
    return min(others, key=loads.__getitem__), Reason.SPILL
