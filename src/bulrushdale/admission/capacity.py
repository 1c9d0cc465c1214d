"""What is free on a shard's targets, and where a request may start."""

import dataclasses

from bulrushdale.admission import choice


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Where a request may start.

    :param target: the target.
    :param reason: why it was chosen.
    :param bound: its bound.
    :param near: whether the request's cache is there, or it has none yet.
    """

    target: str
    reason: choice.Reason
    bound: int
    cached: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """What is free on a shard's targets.

    :param loads: the load of each.
    :param bounds: the bound of each that may get work.
    :param free: those below their bound.
    """

    loads: dict[str, int]
    bounds: dict[str, int]
    free: list[str]
