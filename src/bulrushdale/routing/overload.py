"""Which requests a service of short requests is too full for.

Answers to a load above what the targets can do together, after a burst or
the loss of targets. Without it every target's own queue is always full: what
gets in waits so long that its answer is late, and which kinds get in is left
to the targets. Here a growing part is turned away at once, the same part of
each kind, so that the queue stays short.

News of load is older than the queue is long, so an exact limit would flood
and starve the targets by turns; a chance that grows with the wait doesn't.
"""

import dataclasses

from bulrushdale import hashing
from bulrushdale import results
from bulrushdale.routing import refusals

# From a wait of this part of the target time on some are turned away...
REFUSE_FROM_SHARE = 0.8
# ...and from this one on all. In the emulator answers in time grow from 0.71
# to 0.83 of all at 1.1 times what targets can do, and at 0.8 times less than
# 0.01 is turned away; a lower start turns away more there.
REFUSE_ALL_SHARE = 1.2
# How much a new measurement weighs against those before: the last ten count
# most, which are some seconds at the few requests a second of one router.
RUN_TIME_SMOOTHING = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """How busy a service's targets are together.

    :param load: requests that all routers have there.
    :param slots: requests that they run at once.
    :param work_ms: how long a request runs, in ms; 0 if not known.
    """

    load: int
    slots: int
    run_ms: float

    def wait_ms(self) -> float:
        """Return the time until a new request is answered, in ms.

        0 while a slot is free or nothing is known.
        """
        if self.load < self.slots or not self.slots:
            return 0.0
        return (self.load + 1) / self.slots * self.run_ms


class RunTimes:
    """How long requests run, by service, measured where a slot was free.

    Throughput would not do instead: it lags when traffic jumps, and then
    takes a queue that is about to be worked off for a long one.
    """

    __slots__ = ("_means_ms", "_counts")

    def __init__(self) -> None:
        self._means_ms: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def record(self, service: str, took_ms: float) -> None:
        """Take over how long a request took that found a slot free."""
        count = self._counts[service] = self._counts.get(service, 0) + 1
        mean_ms = self._means_ms.get(service, 0.0)
        weight = max(1 / count, RUN_TIME_SMOOTHING)
        self._means_ms[service] = mean_ms + weight * (took_ms - mean_ms)

    def mean_ms(self, service: str) -> float:
        """Return how long a request runs, in ms; 0 if not known."""
        return self._means_ms.get(service, 0.0)


def should_refuse(
    demand: Demand, target_time_ms: float, chance: float
) -> bool:
    """Return whether to turn a request away.

    :param demand: how busy the service is.
    :param target_time_ms: within which the answer should be there, in ms;
        0 if that is not said.
    :param chance: the request's draw, from 0 to below 1.
    """
    wait_ms = demand.wait_ms()
    if not wait_ms or target_time_ms <= 0:
        return False
    part = wait_ms / target_time_ms
    return chance < (part - REFUSE_FROM_SHARE) / (
        REFUSE_ALL_SHARE - REFUSE_FROM_SHARE
    )


def check(demand: Demand, target_time_ms: float, request_id: str) -> None:
    """Turn a request away at once if its answer would be late.

    :param demand: how busy the service is.
    :param target_time_ms: within which the answer should be there, in ms.
    :param request_id: draws the request's chance.
    :raises RefusedError: if it is turned away, with when to come back.
    """
    if should_refuse(demand, target_time_ms, hashing.fraction(request_id)):
        wait_ms = int(demand.wait_ms())
        raise refusals.refuse(
            results.Code.QUEUE_FULL,
            f"{demand.load} requests for {demand.slots} slots, "
            f"answered after {wait_ms} ms",
            wait_ms,
        )
