"""Admission of requests by the configuration known to this router."""

import dataclasses

from bulrushdale import results
from bulrushdale.routing import messages
from bulrushdale.routing import rate_limits
from bulrushdale.routing import refusals
from bulrushdale.routing import revisions as revisions_module
from bulrushdale.routing import routes

# If the configuration was last confirmed longer ago, a router doesn't refuse
# unknown keys and routes as such, but asks the caller to retry later. Twice
# the interval at which the configuration is confirmed.
MAX_CURRENT_AGE_MS = 3_000
# Urgency sent to targets for priority 0. Each lower priority adds one, up to
# the lowest urgency.
BASE_URGENCY = 2
LOWEST_URGENCY = 9


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request that may be forwarded.

    :param route: route of the request.
    :param team: team that pays; none on public routes, and where requests
        carry no keys.
    :param version: version of the configuration that admits the request.
    """

    route: routes.Route
    team: routes.Team | None
    version: int

    @property
    def priority(self) -> int:
        """Priority of the request, 0 first; the team's goes before."""
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority

    def rank(self, started: bool) -> int:
        """Return the rank among requests that need a permit.

        :param started: whether it continues a stream, which ranks first.
        """
        return 0 if started else min(rate_limits.MAX_RANK, 1 + self.priority)

    @property
    def urgency(self) -> int | None:
        """Rank of the request at a target that runs batches, 0 first.

        None for routes without prefix affinity.
        """
        if not self.route.prefix_affinity:
            return None
        return min(LOWEST_URGENCY, BASE_URGENCY + self.priority)


def admit(
    request: messages.InboundRequest,
    revisions: revisions_module.Revisions,
    key_age_limit_ms: int | None,
) -> AdmittedRequest:
    """Match a request to its route and team.

    :param request: the request.
    :param revisions: the configuration in force.
    :param key_age_limit_ms: age of the configuration above which keys are no
        longer trusted, in ms; none to trust them always.
    :return: the route and the team.
    :raises RefusedError: if the request is not allowed, or if this router's
        configuration is missing or too old to decide.
    """
    configuration = revisions.current
    age_ms = revisions.age_ms()
    if configuration is None or age_ms is None:
        raise not_ready()
    current = age_ms <= MAX_CURRENT_AGE_MS
    route = configuration.match(request.host, request.path)
    if route is None:
        if not current:
            raise _outdated(age_ms)
        raise refusals.refuse(
            results.Code.NOT_FOUND, "no route matches this host and path"
        )
    if route.public or configuration.teams_by_key is None:
        return AdmittedRequest(route, None, configuration.version)
    if key_age_limit_ms is not None and age_ms > key_age_limit_ms:
        raise _outdated(age_ms)
    team = configuration.teams_by_key.get(request.api_key)
    if team is not None:
        return AdmittedRequest(route, team, configuration.version)
    if not current:
        raise _outdated(age_ms)
    raise refusals.refuse(results.Code.UNAUTHENTICATED, "no team has this key")


def not_ready() -> results.RefusedError:
    """Return the refusal of a router without any configuration."""
    return refusals.refuse(
        results.Code.NOT_READY, "no configuration received yet"
    )


def _outdated(age_ms: int) -> results.RefusedError:
    """Return the refusal of a router whose configuration is too old."""
    return refusals.refuse(
        results.Code.CONFIGURATION_OUTDATED,
        f"the configuration was last confirmed {age_ms} ms ago",
    )
