"""Decide whether a target may get a request now, and why not.

Everything that keeps a target from a request is decided here, in one order,
from state that other modules keep. :class:`~selection.Selection` uses the
result in stages: some reasons are passed over if no other target is left.
"""

from collections import abc
import enum

from bulrushdale.routing import targets as targets_module


class Exclusion(enum.StrEnum):
    """Why a target doesn't get a request, in the order of the checks."""

    EVACUATED = "evacuated"
    LEAVING = "leaving"
    TRIED = "tried"
    BACKING_OFF = "backing off"
    NO_PERMIT = "no permit"
    RISK_REFUSED = "risk refused"
    NO_MEMORY = "no memory"
    OTHER_VERSION = "other version"
    UNREACHABLE = "unreachable"
    EJECTED = "ejected"
    SUSPECTED = "suspected"
    FULL = "full"


# Reasons that don't count if all targets have one of them.
LAST_RESORT = frozenset(
    {Exclusion.EJECTED, Exclusion.SUSPECTED, Exclusion.FULL}
)
# The same for a request that may go through another router.
RELAYED = LAST_RESORT | {Exclusion.UNREACHABLE}

_NOTHING_TRIED: frozenset[str] = frozenset()


def withdrawn(target: targets_module.Target) -> Exclusion | None:
    """Return why a target gets no new work at all; none if it may.

    Also asked again once a request has waited for a permit, and by a router
    that relays a request of another one.
    """
    if not target.withdrawn:
        return None
    return Exclusion.EVACUATED if target.evacuated else Exclusion.LEAVING


def paused(target: targets_module.Target) -> Exclusion | None:
    """Return why a target gets no request at this moment; none if it may."""
    reason = withdrawn(target)
    if reason is None and target.backing_off:
        reason = Exclusion.BACKING_OFF
    return reason


def exclusion(
    target: targets_module.Target,
    is_refused: abc.Callable[[targets_module.Target], bool],
    may_reject: abc.Callable[[targets_module.Target], bool],
    eject_if_outlier: abc.Callable[[targets_module.Target], bool],
    has_memory: abc.Callable[[targets_module.Target], bool],
    rank: int = 0,
    tried: abc.Container[str] = _NOTHING_TRIED,
    version: str | None = None,
) -> Exclusion | None:
    """Return the first reason against sending a request to a target.

    :param target: the target.
    :param is_refused: whether the grantor of a brittle target refused it.
    :param may_reject: whether a brittle target may reject the request.
    :param eject_if_outlier: ejects a target that fails far more often than
        the others, and returns whether it did. It is called late, as few
        targets come that far.
    :param has_memory: whether the request fits into the target's memory.
    :param rank: rank of the request among those that need a permit.
    :param tried: ids of the targets that the request was already sent to.
    :param version: version of the target's software; none for any.
    :return: the reason; none if the target may get the request.
    """
    reason = withdrawn(target)
    if reason is not None:
        return reason
    if target.target_id in tried:
        return Exclusion.TRIED
    if target.backing_off:
        return Exclusion.BACKING_OFF
    if target.permit_wait_ms(rank):
        return Exclusion.NO_PERMIT
    if is_refused(target):
        return Exclusion.RISK_REFUSED
    if not has_memory(target):
        return Exclusion.NO_MEMORY
    if version is not None and version != target.listing.version:
        return Exclusion.OTHER_VERSION
    if target.health.unreachable:
        return Exclusion.UNREACHABLE
    if eject_if_outlier(target) or target.health.ejected:
        return Exclusion.EJECTED
    if target.health.suspected:
        return Exclusion.SUSPECTED
    if may_reject(target):
        return Exclusion.FULL
    return None
