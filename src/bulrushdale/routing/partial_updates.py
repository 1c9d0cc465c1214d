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
MS_PER_CHANGE = 1_000
# A target without load is told of for so long, in case it was missed.
IDLE_MEMORY_MS = 60_000


class UpdateSelector:
    """Chooses of which targets to tell next.

    :param clock: the clock.
    """

    __slots__ = ("_clock", "_sent", "_last_busy_ms")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._sent: dict[str, tuple[reports.TargetReport, int]] = {}
        self._last_busy_ms: dict[str, int] = {}

    def select(
        self, targets: abc.Mapping[str, reports.TargetReport], max_targets: int
    ) -> dict[str, reports.TargetReport]:
        """Return the targets to tell of now.

        :param targets: all that have any load or results.
        :param max_targets: how many targets a message may hold.
        """
        now_ms = self._clock.now_ms()
        self._last_busy_ms.update(dict.fromkeys(targets, now_ms))
        self._forget_idle(now_ms)
        known = {
            name: targets.get(name, reports.IDLE)
            for name in self._last_busy_ms
        }
        order = sorted(
            known, key=lambda name: -self._priority(name, known[name], now_ms)
        )
        chosen = {name: known[name] for name in order[:max_targets]}
        for name, report in chosen.items():
            self._sent[name] = (report, now_ms)
        return chosen

    def _priority(
        self, name: str, report: reports.TargetReport, now_ms: int
    ) -> float:
        """Return how much has changed, in requests, with age for change."""
        sent, sent_ms = self._sent.get(name, (reports.IDLE, 0))
        changed = abs(report.in_flight - sent.in_flight)
        changed += abs(report.results.failed - sent.results.failed)
        return changed + (now_ms - sent_ms) / MS_PER_CHANGE

    def _forget_idle(self, now_ms: int) -> None:
        for name, last_busy_ms in list(self._last_busy_ms.items()):
            if now_ms - last_busy_ms > IDLE_MEMORY_MS:
                del self._last_busy_ms[name]
                self._sent.pop(name, None)
