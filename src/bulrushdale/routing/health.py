"""Track a target's health passively, by the results of its requests.

There are no active health checks: they would wait for a slot like requests,
and a target that fails requests may still report itself as healthy.
"""

import collections
import dataclasses

from bulrushdale import clock as clock_module

# Older results say nothing about a target's current state. The window is about
# three heartbeats, so it covers a late list.
WINDOW_MS = 4_000
# Minimum share of failed results at which a target is ejected as an outlier.
MIN_FAILED_SHARE = 0.3
# Minimum number of failed results, so that a single failure isn't enough.
MIN_FAILED = 3
# Minimum excess over the failed share of the service's other targets, as some
# requests fail at any target.
MIN_EXCESS_SHARE = 0.2
# How long an ejected target gets no requests.
EJECTION_MS = 2_000
# The share of a service's targets that may be ejected at the same time.
MAX_EJECTED_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Results:
    """Numbers of a target's results within the window.

    :param done: number of all results.
    :param failed: number of failures.
    """

    done: int
    failed: int

    def __add__(self, other: "Results") -> "Results":
        return Results(self.done + other.done, self.failed + other.failed)

    @property
    def failed_share(self) -> float:
        return self.failed / self.done if self.done else 0.0


class Health:
    """A target's health as seen by one router.

    :param clock: the clock.

    :ivar unreachable: whether the last connection could not be opened.
    :ivar refusing: whether it was refused. Where there is no response at all,
        the fault may be this router's, and the target may run on.
    :ivar unreachable_since_ms: when that was found, in ms of the clock.
    :ivar suspected: whether it is being probed and hasn't answered at once.
    :ivar refused_ms: when it last refused a connection, in ms of the clock.
    :ivar checked_ms: when its last check began, in ms of the clock.
    """

    __slots__ = (
        "_clock",
        "_results",
        "_ejected_until_ms",
        "unreachable",
        "refusing",
        "unreachable_since_ms",
        "suspected",
        "refused_ms",
        "checked_ms",
    )

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._results: collections.deque[tuple[int, bool]] = collections.deque(
            maxlen=256
        )
        self._ejected_until_ms = 0
        self.unreachable = False
        self.refusing = False
        self.unreachable_since_ms = 0
        self.suspected = False
        self.refused_ms = 0
        self.checked_ms = 0

    def record_refused(self) -> None:
        """Record that it refused a connection, as nothing listens there."""
        self.refused_ms = self._clock.now_ms()

    def record(self, failed: bool) -> None:
        """Record the result of a request."""
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
        """Whether the target is ejected because of failed requests."""
        return self._clock.now_ms() < self._ejected_until_ms

    def eject(self) -> None:
        """Eject the target for some time, and forget its results."""
        self._ejected_until_ms = self._clock.now_ms() + EJECTION_MS
        self._results.clear()


def is_failing(target: Results) -> bool:
    """Return whether a target fails so often that it may be an outlier.

    :param target: its results, added up over all routers.
    """
    failed_share = target.failed_share
    return target.failed >= MIN_FAILED and failed_share >= MIN_FAILED_SHARE


def is_outlier(target: Results, service: Results) -> bool:
    """Return whether a target fails far more often than its service.

    :param target: its results, added up over all routers.
    :param service: the results of all the service's targets, this one
        included.
    """
    if not is_failing(target):
        return False
    others = Results(
        service.done - target.done, service.failed - target.failed
    )
    limit = max(MIN_FAILED_SHARE, others.failed_share + MIN_EXCESS_SHARE)
    return target.failed_share >= limit
