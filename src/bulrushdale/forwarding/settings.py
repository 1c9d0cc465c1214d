"""Settings of a router that forwards requests by routes."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a router.

    :param router: the router's unique name.
    :param host: the IP that it listens on.
    :param data_centre: the data centre that it runs in.
    :param link_mbps: the bandwidth of its network link, in Mbit/s; 0 if it
        isn't known.
    :param caller_port: port for callers.
    :param ready_port: port of the readiness check.
    :param link_port: port for other routers, over TCP and UDP.
    :param relay_port: TCP port for tunnels of other routers; the same on all
        VMs.
    :param metrics_port: port for metrics.
    :param seeds: addresses of some routers' link ports; may be out of date.
    :param store_address: IP and port of the platform's store.
    :param target_drain_ms: how long a leaving target goes on serving, in ms.
    :param drain_notice_ms: how long a draining router accepts requests that
        were already on their way when it announced the drain, in ms.
    :param drain_timeout_ms: how long a draining router may finish requests,
        in ms.
    :param key_age_limit_ms: age of the configuration, in ms, from which API
        keys are no longer trusted; none to trust them always.
    :param retry_ratio: retries allowed for each request of a service.
    :param retry_slack: additional retries that the fleet may make in each
        window.
    :param retry_window_ms: length of that window, in ms.
    :param first_start: whether the whole system starts for the first time, so
        that no router has run before.
    :param remote_cost: price of a request to another data centre; 1 is a
        usual price, 0 is free; none for a constant penalty instead.
    """

    router: str
    host: str
    data_centre: str
    link_mbps: int
    caller_port: int
    ready_port: int
    link_port: int
    relay_port: int
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
    first_start: bool = False
    memory_mb: int = 0
    max_fds: int = 0
    remote_cost: float | None = None

    @property
    def ports(self) -> dict[str, int]:
        """Return the TCP ports besides the link port, by setting."""
        names = ("caller_port", "ready_port", "relay_port", "metrics_port")
        return {name: getattr(self, name) for name in names}
