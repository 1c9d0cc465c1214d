"""Retries of a fleet whose routers end and start again within a window."""

import bisect
import random

import hypothesis
from hypothesis import strategies
import pytest

from bulrushdale import clock as clock_module
from bulrushdale import hashing
from bulrushdale.routing import budget as budget_module

ROUTERS = 7
RATIO = 0.2
SLACK = 54
WINDOW_MS = 10_000
STEP_MS = 100
LENGTH_MS = 30_000
REQUESTS_PER_STEP = 10


class Fleet:
    """Routers that retry as much as their budgets allow.

    :param restarts: when routers end, in ms, which ones, and for how long.
    :param failing_from_ms: when the service begins to fail every request.
    """

    def __init__(self, restarts, failing_from_ms):
        self.clock = clock_module.ManualClock(0)
        self.restarts = restarts
        self.failing_from_ms = failing_from_ms
        self.budgets = [self.make_budget() for _ in range(ROUTERS)]
        self.starts_ms = [0] * ROUTERS
        self.requests_ms = []
        self.retries_ms = []

    def make_budget(self):
        return budget_module.RetryBudget(self.clock, RATIO, SLACK, WINDOW_MS)

    def play(self):
        while self.clock.now_ms() < LENGTH_MS:
            now_ms = self.clock.now_ms()
            for at_ms, routers, down_ms in self.restarts:
                if at_ms == now_ms:
                    for router in routers:
                        self.budgets[router] = None
                        self.starts_ms[router] = now_ms + down_ms
            for router in range(ROUTERS):
                if self.starts_ms[router] == now_ms and now_ms:
                    self.budgets[router] = self.make_budget()
            self.step()
            self.clock.advance(STEP_MS)

    def step(self):
        now_ms = self.clock.now_ms()
        live = [budget for budget in self.budgets if budget is not None]
        for number in range(REQUESTS_PER_STEP):
            # Callers of routers that are down go to the others.
            self.requests_ms.append(now_ms)
            if live:
                live[(now_ms + number) % len(live)].record_request("chat")
        if now_ms >= self.failing_from_ms:
            for budget in live:
                while budget.spend("chat", ROUTERS):
                    self.retries_ms.append(now_ms)

    def excess(self):
        """Return the most retries of a window beyond what is allowed."""
        return max(
            count(self.retries_ms, start_ms)
            - RATIO
            * max(
                count(self.requests_ms, start_ms - earlier_ms)
                for earlier_ms in (0, WINDOW_MS // 2, WINDOW_MS)
            )
            - SLACK
            for start_ms in range(0, LENGTH_MS - WINDOW_MS + 1, STEP_MS)
        )


def count(times_ms, start_ms):
    """Return how many times are in the window that starts then."""
    first = bisect.bisect_left(times_ms, start_ms)
    return bisect.bisect_left(times_ms, start_ms + WINDOW_MS) - first


ALL = frozenset(range(ROUTERS))


@pytest.mark.parametrize(
    "restarts",
    [
        [(13_000, ALL, 500)],
        [(13_000, ALL, 500), (15_000, ALL, 500), (17_000, ALL, 500)],
        [(12_500 + 500 * n, frozenset({n % ROUTERS}), 300) for n in range(14)],
        [(13_000, frozenset(range(4)), LENGTH_MS)],
    ],
    ids=["once", "series", "in turn", "half lost"],
)
def test_routers_that_start_again_add_no_retries_to_the_window(restarts):
    fleet = Fleet(restarts, failing_from_ms=12_000)
    fleet.play()
    assert fleet.retries_ms
    assert fleet.excess() <= 0


steps_ms = strategies.integers(1, LENGTH_MS // STEP_MS).map(
    lambda step: step * STEP_MS
)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            steps_ms,
            strategies.frozensets(strategies.integers(0, ROUTERS - 1)),
            strategies.integers(1, 50).map(lambda step: step * STEP_MS),
        ),
        max_size=12,
    ),
    steps_ms,
)
def test_retries_stay_within_the_budget_whenever_routers_start_again(
    restarts, failing_from_ms
):
    fleet = Fleet(restarts, failing_from_ms)
    fleet.play()
    assert fleet.excess() <= 0


def test_parts_of_a_large_fleet_below_one_retry_add_up_to_the_whole():
    routers = 360
    clock = clock_module.ManualClock(0)
    budgets = [
        budget_module.RetryBudget(
            clock, RATIO, SLACK, WINDOW_MS, rounding=hashing.fraction(f"r{n}")
        )
        for n in range(routers)
    ]
    assert not any(b.remaining("chat", routers) for b in budgets)
    clock.advance(WINDOW_MS)
    slack = sum(budget.remaining("chat", routers) for budget in budgets)
    assert SLACK / 2 <= slack <= SLACK
    # Each router gets a request for this service every five seconds.
    gap_ms = 5_000 // routers
    requests = 10 * WINDOW_MS // gap_ms
    generator = random.Random(1)
    sent = 0
    for _ in range(requests):
        budget = generator.choice(budgets)
        budget.record_request("lookup")
        sent += budget.spend("lookup", routers)
        clock.advance(gap_ms)
    assert RATIO * requests / 2 <= sent <= RATIO * requests + 10 * SLACK


def test_retry_that_is_not_sent_soon_is_lost(clock):
    budget = budget_module.RetryBudget(clock, RATIO, SLACK, WINDOW_MS)
    for _ in range(100):
        budget.record_request("chat")
    earned = budget.remaining("chat", ROUTERS)
    assert earned == 100 * RATIO * budget_module.USABLE_SHARE
    clock.advance(int(WINDOW_MS * budget_module.EARNED_TTL_SHARE))
    assert budget.remaining("chat", ROUTERS) == 0


def test_first_start_of_the_system_has_its_slack_at_once(clock):
    """No process ran before that could have spent it."""
    first, later = (
        budget_module.RetryBudget(clock, RATIO, SLACK, WINDOW_MS)
        for _ in range(2)
    )
    first.grant_slack()
    assert first.spend("chat", ROUTERS)
    assert not later.spend("chat", ROUTERS)
