"""Routes, services and teams of one version of the configuration."""

from collections import abc
import dataclasses
import enum

from bulrushdale import hashing


class Kind(enum.Enum):
    """Whether and how requests of a route may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Share of a route's requests that a service receives.

    :param service: name of the service.
    :param weight: weight relative to the other shares of the route.
    """

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Rules for requests with one host and path prefix.

    :param name: unique name, for logs.
    :param host: value of the Host header, without a port.
    :param path_prefix: path prefix; starts and ends with a slash.
    :param kind: whether and how requests may be repeated.
    :param timeout_ms: maximum duration of a request, in ms.
    :param target_latency_ms: time within which a response, or the first
        event of a stream, should arrive, in ms.
    :param max_gap_ms: longest allowed gap between events of a stream, in ms.
    :param priority: rank of its requests, 0 first.
    :param shares: services that handle the requests, with weights.
    :param max_attempts: maximum number of targets that may run one request.
    :param public: whether requests need no key.
    :param prefix_affinity: whether requests name the parts of their prompt
        and are placed by their shared prefix.
    :param resumable: whether a stream may continue at another target.
    """

    name: str
    host: str
    path_prefix: str
    kind: Kind
    timeout_ms: int
    target_latency_ms: int
    max_gap_ms: int
    priority: int
    shares: tuple[Share, ...]
    max_attempts: int
    public: bool
    prefix_affinity: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is Kind.IDEMPOTENT or (
            self.kind is Kind.STREAM and self.resumable
        )

    def service_for(self, request_id: str) -> str | None:
        """Return the service of a request; none if all weights are zero.

        :param request_id: id of the request. Its hash selects the service
            in proportion to the weights, so that every attempt goes to the
            same service.
        """
        total = sum(share.weight for share in self.shares)
        if total <= 0:
            return None
        point = hashing.hash64(request_id.encode()) % total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Settings of one service.

    :param name: unique name.
    :param max_connections: connections that a target accepts from all
        callers together; zero if not limited.
    :param slots: requests that one engine runs at the same time; zero for
        services that are not engines.
    :param cold_start_ms: how long a target is cold after its start, in ms.
    :param cold_rate_per_s: requests per second that a cold target bears from
        all routers together; zero if that isn't limited.
    :param kv_capacity: tokens of prompts and responses that one engine holds
        in memory; zero if that isn't limited.
    """

    name: str
    max_connections: int
    slots: int
    cold_start_ms: int = 0
    cold_rate_per_s: float = 0.0
    kv_capacity: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A team, which pays for its requests.

    :param name: unique name.
    :param priority: overrides the priority of the route; none to use the
        route's.
    """

    name: str
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on requests and connections of callers.

    :param header_bytes: maximum size of all headers, in bytes.
    :param body_bytes: maximum size of a body, in bytes.
    :param idle_ms: how long a connection may be idle, in ms.
    :param head_ms: how long the head of a request may take to arrive, in ms;
        0 for no limit.
    """

    header_bytes: int
    body_bytes: int
    idle_ms: int
    head_ms: int = 0


class Configuration:
    """One version of the published configuration.

    :param version: version number, which grows with each change.
    :param routes: all routes.
    :param services: all services.
    :param teams_by_key: team of each key; none if requests carry no keys.
    :param limits: limits on requests and connections of callers.
    """

    __slots__ = (
        "version",
        "services",
        "teams_by_key",
        "limits",
        "route_count",
        "_routes_by_host",
    )

    def __init__(
        self,
        version: int,
        routes: abc.Iterable[Route],
        services: abc.Iterable[Service],
        teams_by_key: abc.Mapping[str, Team] | None,
        limits: CallerLimits,
    ) -> None:
        self.version = version
        self.services = {service.name: service for service in services}
        self.teams_by_key = teams_by_key
        self.limits = limits
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        self.route_count = 0
        for route in routes:
            by_path_prefix = self._routes_by_host.setdefault(route.host, {})
            by_path_prefix[route.path_prefix] = route
            self.route_count += 1

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix.

        :param host: value of the Host header; a port is ignored.
        :param path: path without the query.
        :return: the route; none if no route matches.
        """
        by_path_prefix = self._routes_by_host.get(
            host.partition(":")[0].lower()
        )
        if by_path_prefix is None:
            return None
        end = path.rfind("/") + 1
        while end > 0:
            route = by_path_prefix.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None
