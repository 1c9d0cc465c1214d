"""Settings of a router that forwards by routes."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """What a router is told about itself and its surroundings.

    :param router: unique name.
    :param host: IP that it listens on.
    :param data_centre: where it runs.
    :param link_mbps: what its network link carries, in Mbit/s; 0 if that
        isn't known.
    :param caller_port: port for callers.
    :param ready_port: port that tells whether it wants callers.
    :param link_port: port for other routers, over TCP and UDP.
    :param metrics_port: port for metrics.
    :param seeds: addresses of some routers' links; may be out of date.
    :param store_address: IP and port of the platform's store.
    :param target_drain_ms: how long a target goes on serving that leaves.
    :param drain_notice_ms: how long a stopping router takes requests that
        were on their way when it said so.
    :param drain_timeout_ms: how long a stopping router may finish requests.
    :param key_age_limit_ms: age of the configuration at which keys are not
        trusted any more; none to trust them always.
    :param retry_ratio: repeats allowed for each request of a service.
    :param retry_slack: repeats allowed to the fleet in a window besides.
    :param retry_window_ms: length of that window.
    """

    router: str
    host: str
    data_centre: str
    link_mbps: int
    caller_port: int
    ready_port: int
    link_port: int
    metrics_port: int
    seeds: tuple[str, ...]
    store_address: str
    target_drain_ms: int
    drain_notice_ms: int
    drain_timeout_ms: int
    key_age_limit_ms: int | None
    retry_ratio: float
    retry_slack: float
    retry_window_ms: int

    @property
    def ports(self) -> dict[str, int]:
        """Ports over TCP that others than routers use, by their setting."""
        names = ("caller_port", "ready_port", "metrics_port")
        return {name: getattr(self, name) for name in names}
