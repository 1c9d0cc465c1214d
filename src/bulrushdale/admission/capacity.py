"""The free capacity of a shard's targets, and the placement of a request."""

import dataclasses

from bulrushdale.admission import choice


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Where a request may start.

    :param target: the target.
    :param reason: why it was chosen.
    :param bound: its bound.
    :param preferred: whether the target served the last turn of the chat, or
        is a preferred target of the prefix of a new chat.
    """

    target: str
    reason: choice.Reason
    bound: int
    preferred: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """The load and free capacity of a shard's targets.

    :param loads: the load of each target.
    :param bounds: the bound of each target that may get work.
    :param free: the targets below their bound.
    """

    loads: dict[str, int]
    bounds: dict[str, int]
    free: list[str]
