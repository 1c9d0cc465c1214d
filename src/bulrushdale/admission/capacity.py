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

    :param max_loads: the upper limit of the load of each target.
    :param bounds: the bound of each target whose upper limit is known; only
        these may get work.
    :param free: the targets in ``bounds`` whose upper limit is below their
        bound.
    """

    max_loads: dict[str, int]
    bounds: dict[str, int]
    free: list[str]
