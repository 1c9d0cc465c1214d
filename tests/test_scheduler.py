"""The scheduler of one shard: bounds, limits, queueing and refusals."""

import collections
import random

import pytest

from bulrushdale.admission import bound
from bulrushdale.admission import queue
from bulrushdale.admission import reply as reply_module
from bulrushdale.admission import scheduler as scheduler_module
from bulrushdale.admission import slot_table
from bulrushdale.catalogue import entries
from bulrushdale import clock as clock_module
from bulrushdale.fleet import targets
from bulrushdale import results

SLOTS = 10


class Harness:
    """A scheduler with its targets, limits and replies."""

    def __init__(self, clock: clock_module.ManualClock) -> None:
        self.clock = clock
        self.promise = entries.Promise(least_bound=2, team_share=1.0)
        self.quorum = bound.QuorumState(True, True, 0)
        self.limits: dict[str, tuple[int, int]] = {}
        self.silent: set[str] = set()
        self.targets = [
            targets.Target(
                f"engine-{number}",
                entries.Target(
                    pool="chat",
                    data_centre="mid-a",
                    url="http://127.0.0.1:1",
                    slots=SLOTS,
                ),
            )
            for number in range(4)
        ]
        self.replies: dict[int, reply_module.Reply] = {}
        self.seq = 0
        self.scheduler = scheduler_module.Scheduler(
            usable=lambda: self.targets,
            promise=lambda: self.promise,
            team_limits=lambda team: self.limits.get(team, (1_000, 100)),
            slow_start_factor=lambda _: 1.0,
            quorum=lambda: self.quorum,
            send_reply=self.send_reply,
            clock=clock,
            rng=random.Random(1),
            silent=lambda: self.silent,
        )

    def send_reply(
        self, request: queue.QueuedRequest, reply: reply_module.Reply
    ) -> None:
        self.replies[request.seq] = reply

    def submit(
        self, team: str = "bakery", weight: int = 1, affinity_key: int = 7
    ) -> int:
        """Submit a slot request and return its sequence number.

        If it is granted, its start is reported. 50 ms pass afterwards.
        """
        self.seq += 1
        now_ms = self.clock.now_ms()
        self.scheduler.submit(
            queue.QueuedRequest(
                "router-0",
                self.seq,
                team,
                "gold",
                weight,
                affinity_key,
                0,
                0,
                now_ms,
                now_ms + 5_000,
            )
        )
        self.mark_started()
        self.advance(50)
        return self.seq

    def mark_started(self) -> None:
        """Report the start of every granted slot."""
        for seq in list(self.replies):
            self.scheduler.mark_started("router-0", seq)

    def advance(self, delta_ms: int) -> None:
        self.clock.advance(delta_ms)
        self.scheduler.tick()

    def granted(self) -> list[int]:
        return [s for s, r in self.replies.items() if r.code == 0]

    def release(self, seq: int) -> None:
        self.scheduler.release("router-0", [seq])
        self.mark_started()
        self.advance(50)


def attach(harness: Harness, router: str, held: dict[int, str]) -> None:
    """Attach a router whose slots have started work."""
    slots = {
        seq: slot_table.Slot(target, "bakery", 1, harness.clock.now_ms())
        for seq, target in held.items()
    }
    harness.scheduler.attach(router, slots, set(slots))


@pytest.fixture
def harness(clock: clock_module.ManualClock) -> Harness:
    return Harness(clock)


def test_prefix_spills_to_other_targets_at_bound(harness: Harness) -> None:
    for _ in range(16):
        harness.submit()
    loads = harness.scheduler.loads()
    assert sum(loads.values()) == 16
    assert max(loads.values()) <= 5


def test_unstarted_grants_do_not_raise_bound(harness: Harness) -> None:
    """On a busy machine a request may take any time to reach its target."""
    mark_started = harness.mark_started
    harness.mark_started = lambda: None
    for _ in range(20):
        harness.submit()
    harness.advance(2_000)
    assert len(harness.granted()) == 8
    mark_started()
    assert len(harness.granted()) > 8


def test_recently_started_grants_do_not_raise_bound(harness: Harness) -> None:
    """Other requests may have ended, with their releases on the way."""
    advance = harness.advance
    harness.advance = lambda _: None
    for _ in range(20):
        harness.submit()
    assert len(harness.granted()) == 8
    advance(50)
    assert len(harness.granted()) > 8


@pytest.mark.parametrize(("silent", "most"), [(False, 8), (True, 3)])
def test_slots_of_silent_router_do_not_raise_bound(
    harness: Harness, silent: bool, most: int
) -> None:
    """Its answers may have ended, and nobody tells before it goes on."""
    held = {seq: f"engine-{1 + seq % 3}" for seq in range(18)}
    attach(harness, "router-1", held)
    harness.advance(50)
    if silent:
        harness.silent = {"router-1"}
    for _ in range(9):
        harness.submit()
    # The bound of the mean of all 27, and that of the nine alone.
    assert harness.scheduler.loads()["engine-0"] == most


def test_silent_router_does_not_starve_others(harness: Harness) -> None:
    """Their load grows as from idle, beside slots above the least bound."""
    attach(harness, "router-1", {n: f"engine-{n % 4}" for n in range(16)})
    harness.silent = {"router-1"}
    for _ in range(24):
        harness.submit()
    assert len(harness.granted()) == 24


def test_silent_router_does_not_starve_last_target(harness: Harness) -> None:
    del harness.targets[1:]
    attach(harness, "router-1", dict.fromkeys(range(5), "engine-0"))
    harness.silent = {"router-1"}
    for _ in range(5):
        harness.submit()
    assert len(harness.granted()) == 5


def test_silent_and_lost_routers_do_not_starve_others(
    harness: Harness,
) -> None:
    attach(harness, "router-1", {n: f"engine-{n % 4}" for n in range(16)})
    attach(harness, "router-2", {n: f"engine-{n}" for n in range(4)})
    harness.advance(50)
    harness.scheduler.orphan("router-2", harness.clock.now_ms() + 20_000)
    harness.silent = {"router-1"}
    for _ in range(12):
        harness.submit()
    assert len(harness.granted()) == 12


def test_unstarted_grants_of_silent_router_starve_nobody(
    harness: Harness,
) -> None:
    harness.mark_started = lambda: None
    for _ in range(4):
        harness.submit()
    harness.silent = {"router-0"}
    attach(harness, "router-1", {n: f"engine-{n % 4}" for n in range(8)})
    harness.advance(50)
    harness.submit()
    assert len(harness.granted()) == 5


def test_recovering_coordinator_queues_requests(harness: Harness) -> None:
    harness.quorum = bound.QuorumState(True, True, 0, recovering=True)
    seq = harness.submit()
    assert seq not in harness.replies
    harness.quorum = bound.QuorumState(True, True, 0)
    harness.advance(20)
    assert harness.replies[seq].code == 0


def test_short_requests_leave_no_load(harness: Harness) -> None:
    for _ in range(50):
        harness.clock.advance(100)
        harness.release(harness.submit())
    assert harness.scheduler.in_flight == 0
    for _ in range(40):
        harness.submit()
    assert len(harness.granted()) == 50 + 40


def test_target_load_is_limited_by_its_slots(harness: Harness) -> None:
    for _ in range(60):
        harness.submit()
    assert max(harness.scheduler.loads().values()) == SLOTS
    assert harness.scheduler.in_flight == 4 * SLOTS


def test_idle_targets_are_used_before_queueing(harness: Harness) -> None:
    for _ in range(4 * SLOTS):
        harness.submit()
    assert harness.scheduler.queued == 0
    assert harness.scheduler.in_flight == 4 * SLOTS


def test_surging_team_is_limited(harness: Harness) -> None:
    harness.limits["agencia"] = (6, 3)
    for _ in range(20):
        harness.submit("agencia")
    refused = [
        r
        for r in harness.replies.values()
        if r.code == results.Code.TEAM_LIMIT
    ]
    assert len(harness.granted()) == 6
    assert harness.scheduler.queued == 3
    assert len(refused) == 11
    assert all(r.retry_after_ms > 0 for r in refused)
    assert harness.replies[harness.submit("bakery")].code == 0


def test_team_above_share_leaves_reserved_slots(harness: Harness) -> None:
    harness.promise = entries.Promise(least_bound=2, team_share=0.5)
    for _ in range(60):
        harness.submit("agencia")
    assert harness.scheduler.in_flight == 4 * SLOTS - 4
    assert harness.replies[harness.submit("bakery")].code == 0


def test_overload_keeps_shares_by_weight(harness: Harness) -> None:
    """Weights of 8 and 1 share 90 freed slots as about 80 and 10."""
    harness.limits = {"gold": (1_000, 500), "bronze": (1_000, 500)}
    waiting = collections.deque()
    for _ in range(4 * SLOTS):
        waiting.append(harness.submit("other"))
    teams = {}
    for _ in range(200):
        teams[harness.submit("gold", 8)] = "gold"
        teams[harness.submit("bronze", 1)] = "bronze"
        # Take back the time of both submissions, so that no deadline passes.
        harness.clock.advance(-100)
    served: collections.Counter = collections.Counter()
    for _ in range(90):
        before = set(harness.granted())
        harness.release(waiting.popleft())
        for seq in set(harness.granted()) - before:
            served[teams[seq]] += 1
            waiting.append(seq)
    assert served["gold"] >= 75
    assert served["bronze"] >= 8


def test_request_that_would_miss_its_deadline_is_refused_at_once(
    harness: Harness,
) -> None:
    """Requests that ran for 60 s raise the expected wait above the 5 s."""
    for _ in range(4 * SLOTS):
        harness.submit()
    harness.clock.advance(60_000)
    for seq in harness.granted():
        harness.scheduler.release("router-0", [seq])
    for _ in range(4 * SLOTS):
        harness.submit()
    for _ in range(5):
        harness.submit()
    submitted_ms = harness.clock.now_ms()
    last = harness.submit()
    assert harness.replies[last].code == results.Code.QUEUE_FULL
    assert harness.clock.now_ms() - submitted_ms == 50
    assert harness.replies[last].retry_after_ms >= 200


def test_queued_request_is_refused_at_deadline(harness: Harness) -> None:
    for _ in range(4 * SLOTS + 1):
        harness.submit()
    last = harness.seq
    assert last not in harness.replies
    harness.advance(5_000)
    assert harness.replies[last].code == results.Code.QUEUE_DEADLINE


def test_retry_times_are_jittered(harness: Harness) -> None:
    harness.targets = []
    waits = {
        harness.replies[harness.submit()].retry_after_ms for _ in range(20)
    }
    assert len(waits) > 15


def test_no_grants_without_majority(harness: Harness) -> None:
    harness.quorum = bound.QuorumState(False, False, 0)
    harness.submit()
    assert harness.granted() == []
    harness.quorum = bound.QuorumState(True, True, 0)
    harness.advance(50)
    assert len(harness.granted()) == 1


def test_new_coordinator_waits_for_reports_and_counts_them(
    harness: Harness,
) -> None:
    tenure_start_ms = harness.clock.now_ms()
    harness.quorum = bound.QuorumState(True, False, tenure_start_ms)
    first = harness.submit()
    assert harness.granted() == []
    harness.advance(slot_table.REPORT_LAG_MS)
    for number, target in enumerate(harness.targets):
        harness.scheduler.record_report(target.name, 0 if number else 9)
    harness.advance(50)
    assert harness.replies[first].target != "engine-0"
    for _ in range(6):
        harness.submit()
    assert all(r.target != "engine-0" for r in harness.replies.values())


def test_orphan_counts_for_its_target_but_not_for_mean(
    harness: Harness,
) -> None:
    """A router that was lost leaves its slots behind for 5 s."""
    for _ in range(8):
        harness.submit()
    held = dict(harness.scheduler.loads())
    harness.scheduler.orphan("router-0", harness.clock.now_ms() + 5_000)
    harness.seq += 100
    now_ms = harness.clock.now_ms()
    for seq in range(3):
        harness.scheduler.submit(
            queue.QueuedRequest(
                "router-1",
                seq,
                "bakery",
                "gold",
                1,
                7,
                0,
                0,
                now_ms,
                now_ms + 5_000,
            )
        )
    # The mean of these three is below one, so the minimum bound applies.
    names = [target.name for target in harness.targets]
    free = sum(max(0, 2 - held.get(name, 0)) for name in names)
    loads = harness.scheduler.loads()
    assert all(loads[n] <= max(2, held.get(n, 0)) for n in loads)
    assert max(held.values()) > 2
    assert sum(loads.values()) - sum(held.values()) == min(3, free)
    assert harness.scheduler.queued == max(0, 3 - free)
    harness.advance(6_000)
    assert sum(harness.scheduler.loads().values()) == 3


def test_reports_free_slots_of_stopped_router(harness: Harness) -> None:
    """Short answers of a killed router have ended long before 5 s."""
    attach(harness, "router-1", dict.fromkeys(range(2), "engine-0"))
    lost_ms = harness.clock.now_ms()
    harness.quorum = bound.QuorumState(True, False, 0)
    harness.scheduler.orphan("router-1", lost_ms + 20_000)
    for target in harness.targets:
        harness.scheduler.record_report(target.name, 0)
    assert harness.scheduler.loads()["engine-0"] == 2
    harness.scheduler.shorten_orphan("router-1", lost_ms, lost_ms + 5_000)
    assert harness.scheduler.needs_probes()
    harness.advance(slot_table.REPORT_LAG_MS - 1)
    # It may tell of the time before the router stopped.
    harness.scheduler.record_report("engine-0", 0)
    assert harness.scheduler.loads()["engine-0"] == 2
    harness.advance(1)
    harness.scheduler.record_report("engine-0", 1)
    assert harness.scheduler.loads()["engine-0"] == 1
    harness.scheduler.record_report("engine-0", 0)
    assert "engine-0" not in harness.scheduler.loads()


def test_reports_free_no_slots_of_unreachable_router(
    harness: Harness,
) -> None:
    """It may still use a grant that it got before it was cut off."""
    attach(harness, "router-1", dict.fromkeys(range(2), "engine-0"))
    harness.scheduler.orphan("router-1", harness.clock.now_ms() + 20_000)
    harness.advance(2 * slot_table.REPORT_LAG_MS)
    harness.scheduler.record_report("engine-0", 0)
    assert harness.scheduler.loads()["engine-0"] == 2


def test_chat_returns_to_its_last_target(harness: Harness) -> None:
    """It stays there even when the target of its first turn is back."""

    def next_turn(seq: int) -> reply_module.Reply:
        now_ms = harness.clock.now_ms()
        harness.scheduler.submit(
            queue.QueuedRequest(
                "router-0",
                seq,
                "bakery",
                "gold",
                1,
                7,
                99,
                0,
                now_ms,
                now_ms + 5_000,
            )
        )
        return harness.replies[seq]

    first = next_turn(1).target
    harness.release(1)
    removed = [t for t in harness.targets if t.name == first]
    harness.targets = [t for t in harness.targets if t.name != first]
    second = next_turn(2).target
    harness.release(2)
    harness.targets += removed
    assert second != first
    assert next_turn(3).target == second


def test_external_load_counts_for_mean(harness: Harness) -> None:
    for target in harness.targets:
        harness.scheduler.record_report(target.name, 6)
    for _ in range(12):
        harness.submit()
    assert len(harness.granted()) == 12


def test_load_of_detached_router_still_counts(harness: Harness) -> None:
    for target in harness.targets:
        harness.scheduler.record_report(target.name, 0)
    attach(harness, "router-1", {n: f"engine-{n % 4}" for n in range(20)})
    harness.advance(slot_table.REPORT_LAG_MS + 1)
    for target in harness.targets:
        harness.scheduler.record_report(target.name, 5)
    harness.quorum = bound.QuorumState(True, False, 0)
    harness.scheduler.detach("router-1")
    for _ in range(8):
        harness.submit()
    # Five run on each target, which is above any bound for 8 requests.
    assert harness.granted() == []


def test_load_of_newly_attached_router_counts_once(harness: Harness) -> None:
    harness.quorum = bound.QuorumState(True, False, 0)
    for number, target in enumerate(harness.targets):
        harness.scheduler.record_report(target.name, 8 if number < 3 else 0)
    # Most of this load has ended before its router is attached.
    attach(harness, "router-1", {n: f"engine-{n % 3}" for n in range(10)})
    harness.quorum = bound.QuorumState(True, True, 0)
    for _ in range(6):
        harness.submit()
    # The bound is at most 1.25 times a mean of 16 / 4, not of 30 / 4.
    granted = harness.granted()
    assert granted
    assert all(harness.replies[seq].bound <= 5 for seq in granted)


def test_attached_slots_count_for_mean_once_started(harness: Harness) -> None:
    """Until then, a router that attaches does not raise the bound."""
    now_ms = harness.clock.now_ms()
    held = {
        seq: slot_table.Slot(f"engine-{seq % 4}", "bakery", 1, now_ms)
        for seq in range(16)
    }
    harness.scheduler.attach("router-1", held, set())
    harness.submit()
    assert harness.granted() == []
    harness.scheduler.attach("router-1", held, set(held))
    harness.submit()
    assert harness.granted()


def test_release_of_unstarted_slot_leaves_no_load(harness: Harness) -> None:
    mark_started = harness.mark_started
    harness.mark_started = lambda: None
    seq = harness.submit()
    harness.release(seq)
    harness.scheduler.mark_started("router-0", seq)
    harness.mark_started = mark_started
    for _ in range(40):
        harness.submit()
    assert len(harness.granted()) == 1 + 40
