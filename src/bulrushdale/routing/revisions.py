"""Configuration in force at a router, and when it was last confirmed."""

from collections import abc
import logging

from bulrushdale import clock as clock_module
from bulrushdale.routing import routes

LOG = logging.getLogger(__name__)


class Revisions:
    """Holds the newest configuration and never replaces it by an older one.

    :param clock: the clock.

    :ivar current: the configuration in force; none until one was received.
    """

    __slots__ = ("_clock", "current", "_confirmed_ms", "_listeners")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self.current: routes.Configuration | None = None
        self._confirmed_ms: int | None = None
        self._listeners: list[abc.Callable[[routes.Configuration], None]] = []

    def add_listener(
        self, listener: abc.Callable[[routes.Configuration], None]
    ) -> None:
        """Call a function with each configuration that is put in force."""
        self._listeners.append(listener)

    def apply(self, configuration: routes.Configuration) -> bool:
        """Put a configuration in force if it is newer than the current one.

        :return: whether the configuration was put in force.
        """
        previous = self.current
        if previous is not None and configuration.version <= previous.version:
            return False
        self.current = configuration
        for listener in self._listeners:
            listener(configuration)
        LOG.info(
            "new configuration in force",
            extra={
                "event": "configuration.applied",
                "version": configuration.version,
                "previous": previous.version if previous else None,
                "routes": configuration.route_count,
            },
        )
        return True

    def confirm(self, as_of_ms: int) -> None:
        """Record that no newer configuration was published.

        :param as_of_ms: time for which this is known, in ms of the boot
            clock.
        """
        if self._confirmed_ms is None or as_of_ms > self._confirmed_ms:
            self._confirmed_ms = as_of_ms

    def age_ms(self) -> int | None:
        """Return the time since the last confirmation, in ms.

        None if there was no confirmation, or no configuration yet.
        """
        if self._confirmed_ms is None or self.current is None:
            return None
        return max(0, self._clock.boot_ms() - self._confirmed_ms)
