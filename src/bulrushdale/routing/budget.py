"""Retry budget of a service.

The budget limits the retries that all routers together add to the requests of
a service. Without it a failing service would receive the most load when it
can handle the least.
"""

import collections
import logging

from bulrushdale import clock as clock_module

LOG = logging.getLogger(__name__)

# Share of the allowance that a router uses. The rest covers requests that the
# service counts in another window than the router.
USABLE_SHARE = 0.8
# Share of the slack that a router uses in its first window. What it sent
# before a restart still counts at the services, and all may restart at once.
STARTING_SLACK_SHARE = 0.25
# A service's retries are logged at most this often.
LOG_INTERVAL_MS = 1_000


class _Tally:
    """What a service's log line is about to tell."""

    __slots__ = ("since_ms", "requests", "sent", "denied")

    def __init__(self, since_ms: int) -> None:
        self.since_ms = since_ms
        self.requests = 0
        self.sent = 0
        self.denied = 0


class RetryBudget:
    """This router's share of the retries that services may receive.

    :param clock: the clock.
    :param ratio: retries allowed per request; from the settings.
    :param slack: additional retries per window, shared by the whole fleet.
    :param window_ms: length of the window, in ms.
    """

    __slots__ = (
        "_clock",
        "_ratio",
        "_slack",
        "_window_ms",
        "_retry_times_ms",
        "_request_times_ms",
        "_started_ms",
        "_tallies",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        ratio: float,
        slack: float,
        window_ms: int,
    ) -> None:
        self._clock = clock
        self._started_ms = clock.now_ms()
        self.set_limits(ratio, slack, window_ms)
        self._retry_times_ms: dict[str, collections.deque[int]] = {}
        self._request_times_ms: dict[str, collections.deque[int]] = {}
        self._tallies: dict[str, _Tally] = {}
        LOG.info(
            "retry budget of a new process",
            extra={
                "event": "budget.started",
                "ratio": ratio,
                "slack": slack,
                "window_ms": window_ms,
            },
        )

    def set_limits(self, ratio: float, slack: float, window_ms: int) -> None:
        """Change the limits; retries already sent still count."""
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms

    def record_request(self, service: str) -> None:
        """Count a caller's request to a service."""
        times_ms = self._request_times_ms.setdefault(
            service, collections.deque()
        )
        times_ms.append(self._clock.now_ms())
        self._expire(times_ms)
        self._current_tally(service).requests += 1

    def _current_tally(self, service: str) -> _Tally:
        """Return the counts to add to; log the previous ones when due."""
        now_ms = self._clock.now_ms()
        tally = self._tallies.get(service)
        if tally is None or now_ms - tally.since_ms >= LOG_INTERVAL_MS:
            if tally is not None and (tally.sent or tally.denied):
                LOG.info(
                    "retries of a service",
                    extra={
                        "event": "budget.retries",
                        "service": service,
                        "requests": tally.requests,
                        "sent": tally.sent,
                        "denied": tally.denied,
                        "period_ms": now_ms - tally.since_ms,
                    },
                )
            tally = self._tallies[service] = _Tally(now_ms)
        return tally

    def _expire(self, times_ms: collections.deque[int]) -> None:
        """Remove the times before the window."""
        oldest_ms = self._clock.now_ms() - self._window_ms
        while times_ms and times_ms[0] <= oldest_ms:
            times_ms.popleft()

    def remaining(self, service: str, routers: int) -> int:
        """Return how many more retries may be sent now.

        The number is negative if more retries were sent than the budget now
        allows, as after requests have left the window, more routers share
        the slack or the limits were lowered.

        :param service: name of the service.
        :param routers: routers that share the slack, this one included.
        """
        retry_times_ms = self._retry_times_ms.setdefault(
            service, collections.deque()
        )
        request_times_ms = self._request_times_ms.setdefault(
            service, collections.deque()
        )
        self._expire(retry_times_ms)
        self._expire(request_times_ms)
        slack = self._slack / max(1, routers)
        if self._clock.now_ms() - self._started_ms < self._window_ms:
            slack *= STARTING_SLACK_SHARE
        allowed = self._ratio * len(request_times_ms) + slack
        return int(allowed * USABLE_SHARE) - len(retry_times_ms)

    def spend(self, service: str, routers: int) -> bool:
        """Count a retry if the budget allows one.

        :param service: name of the service.
        :param routers: routers that share the slack, this one included.
        :return: whether the retry may be sent.
        """
        tally = self._current_tally(service)
        if self.remaining(service, routers) <= 0:
            tally.denied += 1
            return False
        tally.sent += 1
        self._retry_times_ms[service].append(self._clock.now_ms())
        return True
