"""Routes, services and teams of one version of the configuration."""

from collections import abc
import dataclasses
import enum

from bulrushdale import hashing


class Kind(enum.Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service's part of a route's requests.

    :param service: the service's name.
    :param weight: its part, relative to the route's other shares.
    """

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go.

    :param name: unique name, for logs.
    :param host: value of the Host header, without a port.
    :param path_prefix: begins and ends with a slash.
    :param kind: what may be repeated.
    :param timeout_ms: the longest time that a request may take.
    :param target_latency_ms: when an answer is in time; for streams, the first
        event.
    :param max_gap_ms: the longest pause between events of a stream.
    :param priority: rank of its requests, 0 first.
    :param shares: the services that serve it.
    :param max_attempts: targets that may run one request.
    :param public: whether it is served without a key.
    :param prefix_affinity: whether requests name the parts of their prompt.
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
        """Return the service of a request; the same for each attempt.

        :param request_id: spreads requests by the weights of the shares.
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
    """What the configuration says of one service.

    :param name: unique name.
    :param max_connections: connections that a target accepts from all
        callers together; zero where it isn't limited.
    :param slots: requests that one engine runs at once; zero for services
        that are not engines.
    """

    name: str
    max_connections: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """Who pays for a request.

    :param name: unique name.
    :param priority: goes before the route's priority; none to use that.
    """

    name: str
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send.

    :param header_bytes: size of all headers.
    :param body_bytes: size of a body.
    :param idle_ms: how long a connection may stay idle.
    """

    header_bytes: int
    body_bytes: int
    idle_ms: int


class Configuration:
    """One version of what operators published.

    :param version: grows with each change.
    :param routes: all routes.
    :param services: all services.
    :param teams_by_key: the team that holds each key; none where requests
        carry no keys.
    :param limits: what callers may send.
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
        """Return the route with the longest prefix of a path.

        :param host: the Host header; a port is ignored.
        :param path: the path, without the query.
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
