"""Selection of the targets that a collector's next update contains.

In a large fleet a total over all targets exceeds the bytes that a router may
spend on control traffic. Complete totals would be sent so rarely that routers
would place requests by outdated load. Each update therefore contains the
targets whose load has changed most since it was last sent, and every target
is sent again after some time.
"""

from collections import abc

from bulrushdale import clock as clock_module
from bulrushdale.routing import reports

# A target that was not sent for this long has the same priority as one whose
# load has changed by one request. When a datagram is lost, routers depend on
# the next update.
MS_PER_CHANGE = 1_000
# An idle target is still sent for this long, in case an update was lost.
IDLE_MEMORY_MS = 60_000


class TargetSelector:
    """Selects the targets to send next, and remembers what was sent.

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
        """Return the targets to send now.

        :param targets: all targets with any load or results.
        :param max_targets: maximum number of targets in the update.
        :return: the targets whose load has changed most since they were last
            sent; among them may be targets that have become idle.
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
        """Return the change since a target was sent, in requests.

        The time since then counts as change too.
        """
        sent, sent_ms = self._sent.get(name, (reports.IDLE, 0))
        changed = abs(report.in_flight - sent.in_flight)
        changed += abs(report.results.failed - sent.results.failed)
        return changed + (now_ms - sent_ms) / MS_PER_CHANGE

    def _forget_idle(self, now_ms: int) -> None:
        """Forget the targets that have been idle for long."""
        for name, last_busy_ms in list(self._last_busy_ms.items()):
            if now_ms - last_busy_ms > IDLE_MEMORY_MS:
                del self._last_busy_ms[name]
                self._sent.pop(name, None)
