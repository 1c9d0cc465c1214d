"""Data centres whose targets get no requests until operators say otherwise.

The state comes with the configuration: a router learns it from the store, or
from another router while the store is away, and a router that starts has it
before it serves anyone. A copy of the configuration never goes back to an
older state, so neither does this.
"""

from collections import abc
import logging

from bulrushdale import clock as clock_module

LOG = logging.getLogger(__name__)

# Data centres that are remembered, several times as many as users have. The
# records of further ones are ignored.
MAX_EVACUATIONS = 64


class Evacuations:
    """The evacuations in force.

    :param clock: the clock.
    """

    __slots__ = ("_clock", "_since_ms", "_listeners")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        # By data centre; when this router learned of it, in ms of the clock.
        self._since_ms: dict[str, int] = {}
        self._listeners: list[abc.Callable[[str], None]] = []

    def add_listener(self, listener: abc.Callable[[str], None]) -> None:
        """Call a function with each data centre whose state changes."""
        self._listeners.append(listener)

    def put(self, data_centre: str) -> None:
        """Send no further requests to a data centre."""
        if data_centre in self._since_ms:
            return
        if len(self._since_ms) >= MAX_EVACUATIONS:
            LOG.error(
                "evacuation ignored",
                extra={
                    "event": "evacuation.ignored",
                    "data_centre": data_centre,
                    "reason": f"{MAX_EVACUATIONS} are in force already",
                },
            )
            return
        self._since_ms[data_centre] = self._clock.now_ms()
        LOG.warning(
            "evacuation started",
            extra={"event": "evacuation.started", "data_centre": data_centre},
        )
        self._notify(data_centre)

    def remove(self, data_centre: str) -> None:
        """End the evacuation of a data centre, if there is one."""
        since_ms = self._since_ms.pop(data_centre, None)
        if since_ms is None:
            return
        LOG.warning(
            "evacuation ended",
            extra={
                "event": "evacuation.ended",
                "data_centre": data_centre,
                "took_ms": self._clock.now_ms() - since_ms,
            },
        )
        self._notify(data_centre)

    def is_active(self, data_centre: str) -> bool:
        """Return whether a data centre is being evacuated."""
        return data_centre in self._since_ms

    def since_ms(self, data_centre: str) -> int | None:
        """Return when this router learned of an evacuation.

        :return: the time, in ms of the clock; none if there is none.
        """
        return self._since_ms.get(data_centre)

    def data_centres(self) -> abc.Collection[str]:
        """Return the data centres that are being evacuated."""
        return self._since_ms.keys()

    def _notify(self, data_centre: str) -> None:
        for listener in self._listeners:
            listener(data_centre)
