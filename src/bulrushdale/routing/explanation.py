"""Explain where a request would go now, without sending it.

The functions that decide on requests are called in their order, in a form
that records nothing. What a router asks others for before it sends a request
(permits, slots, the version of a stream that it wasn't told of) is not asked
for, so the answer says where the request would be tried first.
"""

import collections
from collections import abc
import dataclasses
import typing

from bulrushdale import clock as clock_module
from bulrushdale import hashing
from bulrushdale import results
from bulrushdale.routing import access
from bulrushdale.routing import admission
from bulrushdale.routing import eligibility
from bulrushdale.routing import fingerprint
from bulrushdale.routing import messages
from bulrushdale.routing import no_target
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import prefix_locations
from bulrushdale.routing import quarantine as quarantine_module
from bulrushdale.routing import refusals
from bulrushdale.routing import relays as relays_module
from bulrushdale.routing import revisions as revisions_module
from bulrushdale.routing import routes
from bulrushdale.routing import selection as selection_module
from bulrushdale.routing import targets as targets_module
from bulrushdale.routing import versions

# Candidates in an answer; others are counted by what excludes them.
MAX_CANDIDATES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Sources:
    """What the router decides by.

    :param data_centre: where the router runs.
    :param clock: the clock.
    :param revisions: the configuration in force.
    :param targets: all targets.
    :param peers: the other routers.
    :param selection: chooses targets.
    :param locations: where prefixes were placed before.
    :param relays: which routers to ask for a tunnel.
    :param quarantine: decides which requests are withheld.
    :param stream_versions: versions of some streams.
    :param key_age_limit_ms: as for :func:`.access.admit`; a function, as it
        may change.
    :param is_closed: whether the router takes no more requests.
    :param targets_age_ms: age of the list of targets, in ms; none if there is
        no list.
    """

    data_centre: str
    clock: clock_module.Clock
    revisions: revisions_module.Revisions
    targets: targets_module.Targets
    peers: peers_module.Peers
    selection: selection_module.Selection
    locations: prefix_locations.PrefixLocations
    relays: relays_module.Relays
    quarantine: quarantine_module.Quarantine
    stream_versions: versions.StreamVersions
    key_age_limit_ms: abc.Callable[[], int | None]
    is_closed: abc.Callable[[], bool]
    targets_age_ms: abc.Callable[[], int | None]


@dataclasses.dataclass(slots=True)
class _Placement:
    """A decision, as far as it came.

    :ivar admitted: route and team; none if the request isn't admitted.
    :ivar service: the service; empty if there is none.
    :ivar version: the version of software that is chosen first; none for any.
    :ivar relayed: whether only other routers reach the targets.
    :ivar choice: the chosen target; none if the request is refused.
    :ivar refusal: why it is refused; none if a target is chosen.
    """

    admitted: access.AdmittedRequest | None = None
    service: str = ""
    rank: int = 0
    version: str | None = None
    relayed: bool = False
    choice: selection_module.Choice | None = None
    refusal: results.Refusal | None = None


def explain(
    request: messages.InboundRequest, sources: Sources
) -> dict[str, typing.Any]:
    """Return where a request would go now and why, as data for JSON.

    The API key of the request is not part of it.

    :param request: the request.
    :param sources: what the router decides by.
    """
    placement = _Placement()
    try:
        _decide(placement, request, sources)
    except results.RefusedError as error:
        placement.refusal = error.refusal
    admitted = placement.admitted
    team = admitted.team if admitted is not None else None
    return {
        "request_id": request.request_id,
        "route": admitted.route.name if admitted is not None else None,
        "service": placement.service or None,
        "team": team.name if team is not None else None,
        "rank": placement.rank if admitted is not None else None,
        "urgency": admitted.urgency if admitted is not None else None,
        "version": placement.version,
        "relayed": placement.relayed,
        "decision": _describe_decision(placement),
        **_describe_candidates(placement, request, sources),
        "input_ages_ms": {
            "configuration": sources.revisions.age_ms(),
            "targets": sources.targets_age_ms(),
            "peer_load": sources.peers.peer_load_age_ms(),
        },
    }


def _decide(
    placement: _Placement, request: messages.InboundRequest, sources: Sources
) -> None:
    """Take the steps of a decision, and keep their results.

    :raises RefusedError: if the request is refused.
    """
    if sources.is_closed():
        raise refusals.stopping()
    admitted = access.admit(
        request, sources.revisions, sources.key_age_limit_ms()
    )
    route = admitted.route
    selection = sources.selection
    placement.admitted = admitted
    placement.service = service = route.service_for(request.stream_id) or ""
    placement.rank = admitted.rank(request.resume_after is not None)
    possible = _possible_versions(request, route, service, sources)
    placement.version = possible[0]
    remaining_ms = min(
        request.deadline_ms or route.timeout_ms, route.timeout_ms
    )
    selection.admission.check(
        service,
        admission.applicant(request, admitted, remaining_ms),
        lambda: selection.service_load(service),
        record=False,
    )
    team = admitted.team
    withheld = sources.quarantine.check(
        service,
        request.shared_part_ids,
        fingerprint.request_fingerprint(
            request, team.name if team is not None else None
        ),
        record=False,
    )
    if withheld is not None:
        raise refusals.refuse(
            results.Code.PROMPT_QUARANTINED,
            "a part of the prompt crashed targets",
            withheld.remaining_ms,
        )
    placement.relayed = selection.all_unreachable(
        service
    ) and sources.relays.has_candidates(service)
    for version in possible:
        placement.choice = selection.choose(
            request,
            route,
            service,
            _tried(placement, sources),
            include_unreachable=placement.relayed,
            rank=placement.rank,
            version=version,
            record=False,
        )
        if placement.choice is not None:
            return
    raise no_target.refusal(
        selection,
        service,
        placement.rank,
        request.tokens,
        selection.explain_no_target(service),
    )


def _possible_versions(
    request: messages.InboundRequest,
    route: routes.Route,
    service: str,
    sources: Sources,
) -> list[str | None]:
    """Return the versions to choose a target of, the preferred first.

    :raises RefusedError: if the version that began a stream isn't known here,
        or has no target.
    """
    is_take_up = (
        route.kind is routes.Kind.STREAM and request.resume_after is not None
    )
    if not is_take_up and not route.resumable:
        return [None]
    composition = sources.targets.composition(service)
    if not is_take_up:
        return composition.preferences(request.stream_id)
    known = sources.stream_versions.get(request.stream_id)
    names = [version for version, _ in composition.counts]
    if known is None and len(names) == 1:
        known = names[0]
    if known is None:
        raise refusals.refuse(
            results.Code.STREAM_NOT_RESUMABLE,
            "this router doesn't know the software version that began the "
            "stream, and would ask others first",
        )
    if known not in names:
        raise refusals.refuse(
            results.Code.STREAM_NOT_RESUMABLE,
            f"version {known!r} has no target any more",
        )
    return [known]


def _tried(placement: _Placement, sources: Sources) -> set[str]:
    """Return the targets that count as tried before the first attempt."""
    return sources.relays.down_targets() if placement.relayed else set()


def _describe_decision(placement: _Placement) -> dict[str, typing.Any]:
    choice = placement.choice
    if choice is not None:
        copy_from = choice.copy_from
        return {
            "target": choice.target.target_id,
            "copy_from": copy_from.target_id if copy_from else None,
        }
    refusal = placement.refusal
    if refusal is None:
        return {}
    return {
        "code": int(refusal.code),
        "status": refusal.status,
        "detail": refusal.detail,
        "retry_after_ms": refusal.retry_after_ms,
    }


def _describe_candidates(
    placement: _Placement, request: messages.InboundRequest, sources: Sources
) -> dict[str, typing.Any]:
    """Return the candidates, and how many others there are by exclusion.

    The chosen target comes first, then those that nothing excludes, by load.
    """
    selection = sources.selection
    tried = _tried(placement, sources)
    chosen = placement.choice.target if placement.choice is not None else None
    locations: tuple[str, ...] = ()
    if request.prompt:
        prefix_hash = hashing.hash64(request.shared_prefix_id.encode())
        locations = sources.locations.get(prefix_hash)
    found: list[
        tuple[targets_module.Target, eligibility.Exclusion | None]
    ] = []
    if placement.service:
        found = [
            (
                target,
                selection.exclusion(
                    target,
                    placement.rank,
                    tried,
                    placement.version,
                    request.tokens,
                    record=False,
                ),
            )
            for target in sources.targets.all()
            if target.listing.service == placement.service
        ]
    found.sort(
        key=lambda item: (
            item[0] is not chosen,
            item[1] is not None,
            selection.load(item[0]),
            item[0].target_id,
        )
    )
    now_ms = sources.clock.now_ms()
    others = collections.Counter(
        str(reason) if reason is not None else "none"
        for _, reason in found[MAX_CANDIDATES:]
    )
    return {
        "candidates": [
            {
                "target": target.target_id,
                "exclusion": str(reason) if reason is not None else None,
                "load": selection.load(target),
                "slots": target.listing.slots,
                "data_centre": target.listing.data_centre,
                "own": target.listing.data_centre == sources.data_centre,
                "prefix_location": target.target_id in locations,
                "cold": target.cold_rate_per_s is not None,
                "slow": now_ms < target.slow_until_ms,
                "needs_permit": target.needs_permits,
            }
            for target, reason in found[:MAX_CANDIDATES]
        ],
        "other_candidates": dict(others),
    }
