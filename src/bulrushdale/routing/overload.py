"""Shed load from services of short requests.

After a burst or the loss of targets, the load may exceed the capacity of all
targets together. Without load shedding every target's queue would be always
full: accepted requests would wait so long that their responses are late, and
the targets would decide which kinds of requests are accepted. Instead a
growing share of the requests is refused at once, so that the queues stay
short. Which requests these are is decided in :mod:`admission`.

Reports of load are older than the time that requests queue, so an exact limit
would alternately flood and starve the targets. A probability of refusal that
grows with the expected response time avoids this.
"""

import dataclasses

# Some requests are refused if the expected response time is above this share
# of the target latency.
REFUSE_FROM_SHARE = 0.8
# All requests are refused from this share on. In the emulator both together
# raise the share of responses in time from 0.71 to 0.83 at 1.1 times the
# targets' capacity, and refuse less than 0.01 of the requests at 0.8 times the
# capacity; a lower REFUSE_FROM_SHARE refuses more there.
REFUSE_ALL_SHARE = 1.2
# Weight of a new run time in the moving average. The last ten count most,
# which are some seconds at one router's few requests per second.
RUN_TIME_SMOOTHING = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Load, capacity and run time of a service at its usable targets.

    :param load: number of all routers' requests at these targets.
    :param slots: number of requests that they run concurrently.
    :param run_ms: mean run time of a request, in ms; 0 if not known.
    :param done_per_s: requests of all routers that ended there per second.
    """

    load: int
    slots: int
    run_ms: float
    done_per_s: float = 0.0

    def with_bounded_run_time(self) -> "ServiceLoad":
        """Return the same load with a run time that fits the throughput.

        While a service is short, few requests find a free slot, and as loads
        are reported late some of those were queued. Their times are too long.
        The slots per finished request can't be less than the run time.
        """
        if not self.done_per_s:
            return self
        bound_ms = self.slots * 1_000 / self.done_per_s
        return dataclasses.replace(self, run_ms=min(self.run_ms, bound_ms))

    def expected_response_ms(self) -> float:
        """Return the expected response time of a new request, in ms.

        It includes the time in the queue and the run time.

        0 while a slot is free, or if the run time isn't known.
        """
        if self.load < self.slots or not self.slots:
            return 0.0
        return (self.load + 1) / self.slots * self.run_ms

    def expected_start_ms(self) -> float:
        """Return the expected time until a new request starts, in ms.

        0 while a slot is free, or if the run time isn't known.
        """
        if self.load < self.slots or not self.slots:
            return 0.0
        return (self.load + 1 - self.slots) / self.slots * self.run_ms


class RunTimes:
    """Mean run times of requests that found a free slot, by service.

    The throughput isn't used instead: it lags behind a jump in traffic, so a
    queue that will soon be empty would look long.
    """

    __slots__ = ("_means_ms", "_counts")

    def __init__(self) -> None:
        self._means_ms: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def record(self, service: str, took_ms: float) -> None:
        """Record the run time of a request that found a free slot.

        :param service: the service that ran it.
        :param took_ms: how long it ran, in ms.
        """
        count = self._counts[service] = self._counts.get(service, 0) + 1
        mean_ms = self._means_ms.get(service, 0.0)
        weight = max(1 / count, RUN_TIME_SMOOTHING)
        self._means_ms[service] = mean_ms + weight * (took_ms - mean_ms)

    def mean_ms(self, service: str) -> float:
        """Return the mean run time of a request, in ms; 0 if not known."""
        return self._means_ms.get(service, 0.0)


def refused_share(wait_ms: float, allowed_ms: float) -> float:
    """Return the share of requests to refuse, from 0 to 1.

    :param wait_ms: expected wait of a request, in ms.
    :param allowed_ms: time within which its response is useful, in ms.
    """
    share = (wait_ms / allowed_ms - REFUSE_FROM_SHARE) / (
        REFUSE_ALL_SHARE - REFUSE_FROM_SHARE
    )
    return min(1.0, max(0.0, share))


def should_refuse(
    service_load: ServiceLoad, target_latency_ms: float, chance: float
) -> bool:
    """Return whether to refuse a request, whatever its rank and team.

    It is what :mod:`admission` does if all requests are of one kind.

    :param service_load: load, capacity and run time of the service.
    :param target_latency_ms: time within which the response should arrive,
        in ms; 0 if there is none.
    :param chance: a random number of the request, from 0 to below 1.
    """
    response_ms = service_load.expected_response_ms()
    if not response_ms or target_latency_ms <= 0:
        return False
    return chance < refused_share(response_ms, target_latency_ms)
