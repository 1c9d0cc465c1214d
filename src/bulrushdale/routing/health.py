"""Whether a target can be given work, from what its answers showed.

Health checks are not asked: they wait for a slot like requests, and a target
that fails requests may still call itself healthy.
"""

import collections
import dataclasses

from bulrushdale import clock as clock_module

# Results older than this say nothing of a target's present state; about
# three heartbeats, so that it covers a list that is late.
WINDOW_MS = 4_000
# A target is set aside when this part of its results failed...
MIN_FAILED_SHARE = 0.3
# ...and this many did, so that one bad result is no reason...
MIN_FAILED = 3
# ...and the part is this much above its service's, whose requests may fail
# by themselves.
MIN_EXCESS_SHARE = 0.2
# How long it is set aside before it gets requests again.
EJECTION_MS = 2_000
# The part of a service's targets that failing ones may be taken out of.
MAX_EJECTED_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Results:
    """Results of a target's requests within the window.

    :param done: all of them.
    :param failed: those that the target failed.
    """

    done: int
    failed: int

    def __add__(self, other: "Results") -> "Results":
        return Results(self.done + other.done, self.failed + other.failed)

    @property
    def failed_share(self) -> float:
        return self.failed / self.done if self.done else 0.0


class Health:
    """What one router knows of a target's health.

    :param clock: the clock.

    :ivar unreachable: whether the last connection could not be opened.
    :ivar suspected: whether it is being checked and hasn't answered at once.
    """

    __slots__ = (
        "_clock",
        "_results",
        "_ejected_until_ms",
        "unreachable",
        "suspected",
    )

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._results: collections.deque[tuple[int, bool]] = collections.deque(
            maxlen=256
        )
        self._ejected_until_ms = 0
        self.unreachable = False
        self.suspected = False

    def record(self, failed: bool) -> None:
        """Count one result."""
        self._results.append((self._clock.now_ms(), failed))

    def results(self) -> Results:
        """Return the results within the window."""
        oldest_ms = self._clock.now_ms() - WINDOW_MS
        while self._results and self._results[0][0] < oldest_ms:
            self._results.popleft()
        failed = sum(1 for _, bad in self._results if bad)
        return Results(len(self._results), failed)

    @property
    def ejected(self) -> bool:
        """Whether the target is set aside for failed requests."""
        return self._clock.now_ms() < self._ejected_until_ms

    def eject(self) -> None:
        """Set the target aside, and judge it anew afterwards."""
        self._ejected_until_ms = self._clock.now_ms() + EJECTION_MS
        self._results.clear()


def is_failing(target: Results) -> bool:
    """Return whether a target fails so much that it has to be compared.

    :param target: its results, as all routers saw them.
    """
    failed_share = target.failed_share
    return target.failed >= MIN_FAILED and failed_share >= MIN_FAILED_SHARE


def is_outlier(target: Results, service: Results) -> bool:
    """Return whether a target fails far more than its service.

    :param target: its results, as all routers saw them.
    :param service: the results of all the service's targets.
    """
    if not is_failing(target):
        return False
    others = Results(
        service.done - target.done, service.failed - target.failed
    )
    limit = max(MIN_FAILED_SHARE, others.failed_share + MIN_EXCESS_SHARE)
    return target.failed_share >= limit
