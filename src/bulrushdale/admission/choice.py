"""Which target a request goes to, among those below their bound."""

import enum

from bulrushdale import hashing


class Reason(enum.IntEnum):
    """Why a target was chosen."""

    NONE = 0
    CHAT = 1
    PREFIX = 2
    SPILL = 3
    RESUME = 4


def by_affinity(
    affinity: int,
    chat_target: str | None,
    free: list[str],
    everyone: list[str],
) -> tuple[str, Reason]:
    """Choose the target whose cache is likely to hold the prompt.

    :param affinity: hash of the shared prefix.
    :param chat_target: where the chat ran last, if known.
    :param free: targets below their bound, at least one.
    :param everyone: all usable targets.
    """
    if chat_target is not None and chat_target in free:
        return chat_target, Reason.CHAT
    chosen = hashing.winner(affinity, free)
    if len(free) == len(everyone):
        return chosen, Reason.PREFIX
    preferred = hashing.winner(affinity, everyone)
    return chosen, Reason.PREFIX if chosen == preferred else Reason.SPILL
