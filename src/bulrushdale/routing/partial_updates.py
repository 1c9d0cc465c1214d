"""What a collector tells of many targets, a part at a time.

Answers to fleets with more targets than fit into the bytes that a router may
spend on control: the whole sum would come so rarely that routers placed by
old news. Instead each message tells of the loads that have changed most since
they were told, and of each target again after some time.
"""

from collections import abc

from bulrushdale import clock as clock_module
from bulrushdale.routing import reports

# A target that wasn't told of for so long is as urgent as one whose load has
# changed by a request; datagrams get lost, and then the next telling counts.
AGE_OF_ONE_MS = 1_000
# A target without load is told of for so long, in case it was missed.
IDLE_MEMORY_MS = 60_000


class UpdateSelector:
    """Chooses of which targets to tell next.

    :param clock: the clock.
    """

    __slots__ = ("_clock", "_told", "_busy_ms")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._told: dict[str, tuple[reports.TargetReport, int]] = {}
        self._busy_ms: dict[str, int] = {}

    def select(
        self, targets: abc.Mapping[str, reports.TargetReport], most: int
    ) -> dict[str, reports.TargetReport]:
        """Return the targets to tell of now.

        :param targets: all that have any load or results.
        :param most: how many targets a message may hold.
        """
        now_ms = self._clock.now_ms()
        self._busy_ms.update(dict.fromkeys(targets, now_ms))
        self._forget_idle(now_ms)
        known = {
            name: targets.get(name, reports.IDLE) for name in self._busy_ms
        }
        order = sorted(
            known, key=lambda name: -self._urgency(name, known[name], now_ms)
        )
        chosen = {name: known[name] for name in order[:most]}
        for name, report in chosen.items():
            self._told[name] = (report, now_ms)
        return chosen

    def _urgency(
        self, name: str, report: reports.TargetReport, now_ms: int
    ) -> float:
        """Return how much has changed, in requests, with age for change."""
        told, told_ms = self._told.get(name, (reports.IDLE, 0))
        changed = abs(report.in_flight - told.in_flight)
        changed += abs(report.results.failed - told.results.failed)
        return changed + (now_ms - told_ms) / AGE_OF_ONE_MS

    def _forget_idle(self, now_ms: int) -> None:
        for name, busy_ms in list(self._busy_ms.items()):
            if now_ms - busy_ms > IDLE_MEMORY_MS:
                del self._busy_ms[name]
                self._told.pop(name, None)
