"""Retry budget of a service.

The budget limits the retries that all routers together add to the requests of
a service. Without it a failing service would receive the most load when it
can handle the least.

A router knows only what its own process has sent. So that no number of
processes that end and start again can exceed the budget of a window, no part
of it is given out twice:

- Each request earns a part of a retry at the router that received it. A retry
  that isn't sent soon is lost, so a process can't have saved up much when it
  ends.
- The slack is divided between the routers. A process gets its part only after
  a whole window, because the one before it may have spent the same part,
  unless no router has run before.
"""

import collections
import logging

from bulrushdale import clock as clock_module

LOG = logging.getLogger(__name__)

# Share of the allowance that routers use. The rest covers retries that were
# earned just before a window, and what the service counts in another window.
USABLE_SHARE = 0.8
# An earned retry is lost after this share of the window. In any window at
# most ``USABLE_SHARE * (1 + EARNED_TTL_SHARE)`` of the allowance is sent.
EARNED_TTL_SHARE = 0.2
# Integer units of a retry that requests earn, as sums of fractions drift.
UNITS_PER_RETRY = 1_000_000
# A service's retries are logged at most this often.
LOG_INTERVAL_MS = 1_000


class _Account:
    """The retries of one service that this process may send or has sent.

    :ivar units: what requests have earned towards the next retry.
    :ivar earned_ms: when each retry that is left was earned.
    :ivar slack_spent_ms: when each retry from the slack was sent.
    """

    __slots__ = ("units", "earned_ms", "slack_spent_ms")

    def __init__(self) -> None:
        self.units = 0
        self.earned_ms: collections.deque[int] = collections.deque()
        self.slack_spent_ms: collections.deque[int] = collections.deque()


class _Tally:
    """What a service's log line is about to tell."""

    __slots__ = ("since_ms", "requests", "sent", "denied")

    def __init__(self, since_ms: int) -> None:
        self.since_ms = since_ms
        self.requests = 0
        self.sent = 0
        self.denied = 0


class RetryBudget:
    """This process's part of the retries that services may receive.

    :param clock: the clock.
    :param ratio: retries allowed per request; from the settings.
    :param slack: additional retries per window, shared by the whole fleet.
    :param window_ms: length of the window, in ms.
    :param rounding: added to this router's part of the slack before it is
        rounded down, from 0 to 1. Spread evenly over the routers, it lets the
        parts of a large fleet, which are below 1, add up to the whole.
    """

    __slots__ = (
        "_clock",
        "_units_per_request",
        "_slack",
        "_window_ms",
        "_slack_from_ms",
        "_rounding",
        "_accounts",
        "_tallies",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        ratio: float,
        slack: float,
        window_ms: int,
        rounding: float = 0.0,
    ) -> None:
        self._clock = clock
        self._slack_from_ms = clock.now_ms() + window_ms
        self._rounding = rounding
        self.set_limits(ratio, slack, window_ms)
        self._accounts: dict[str, _Account] = {}
        self._tallies: dict[str, _Tally] = {}
        LOG.info(
            "retry budget of a new process",
            extra={
                "event": "budget.started",
                "ratio": ratio,
                "slack": slack,
                "window_ms": window_ms,
                "slack_after_ms": window_ms,
            },
        )

    def grant_slack(self) -> None:
        """Give this process its part of the slack at once.

        For a system that starts for the first time.
        """
        self._slack_from_ms = self._clock.now_ms()

    def set_limits(self, ratio: float, slack: float, window_ms: int) -> None:
        """Change the limits; retries already sent still count."""
        self._units_per_request = round(ratio * USABLE_SHARE * UNITS_PER_RETRY)
        self._slack = slack
        self._window_ms = window_ms

    def record_request(self, service: str) -> None:
        """Count a caller's request to a service."""
        account = self._account(service)
        account.units += self._units_per_request
        while account.units >= UNITS_PER_RETRY:
            account.units -= UNITS_PER_RETRY
            account.earned_ms.append(self._clock.now_ms())
        self._current_tally(service).requests += 1

    def _account(self, service: str) -> _Account:
        """Return the account of a service without what has expired."""
        account = self._accounts.setdefault(service, _Account())
        now_ms = self._clock.now_ms()
        earned_ttl_ms = int(self._window_ms * EARNED_TTL_SHARE)
        _expire(account.earned_ms, now_ms - earned_ttl_ms)
        _expire(account.slack_spent_ms, now_ms - self._window_ms)
        return account

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

    def _slack_part(self, routers: int) -> int:
        """Return the retries of a window that the slack pays for here."""
        if self._clock.now_ms() < self._slack_from_ms:
            return 0
        part = self._slack * USABLE_SHARE / max(1, routers)
        return int(part + self._rounding)

    def remaining(self, service: str, routers: int) -> int:
        """Return how many more retries may be sent now.

        :param service: name of the service.
        :param routers: routers that share the slack, this one included.
        """
        account = self._account(service)
        # Negative after more routers share the slack, or it was lowered.
        slack = self._slack_part(routers) - len(account.slack_spent_ms)
        return len(account.earned_ms) + max(0, slack)

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
        account = self._accounts[service]
        # The earned ones expire sooner.
        if account.earned_ms:
            account.earned_ms.popleft()
        else:
            account.slack_spent_ms.append(self._clock.now_ms())
        tally.sent += 1
        return True


def _expire(times_ms: collections.deque[int], oldest_ms: int) -> None:
    """Remove the times up to a time, in ms."""
    while times_ms and times_ms[0] <= oldest_ms:
        times_ms.popleft()
