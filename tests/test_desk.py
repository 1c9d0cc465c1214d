"""One home's grants: the bound, limits, queueing and refusals."""

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


class SchedulerFixture:
    """A desk with its targets, limits and the replies it gave."""

    def __init__(self, clock: clock_module.ManualClock) -> None:
        self.clock = clock
        self.promise = entries.Promise(least_bound=2, team_share=1.0)
        self.quorum = bound.Quorum(True, True, 0)
        self.limits: dict[str, tuple[int, int]] = {}
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
            ramp=lambda _: 1.0,
            quorum=lambda: self.quorum,
            send_reply=self.send_reply,
            clock=clock,
            rng=random.Random(1),
        )

    def send_reply(
        self, ask: queue.QueuedRequest, reply: reply_module.Reply
    ) -> None:
        self.replies[ask.seq] = reply

    def ask(
        self, team: str = "bakery", weight: int = 1, affinity: int = 7
    ) -> int:
        self.seq += 1
        now_ms = self.clock.now_ms()
        self.scheduler.submit(
            queue.QueuedRequest(
                "router-0",
                self.seq,
                team,
                "gold",
                weight,
                affinity,
                0,
                0,
                now_ms,
                now_ms + 5_000,
            )
        )
        self.mark_started()
        self.later(50)
        return self.seq

    def mark_started(self) -> None:
        """Let the targets begin whatever was granted."""
        for seq in list(self.replies):
            self.scheduler.mark_started("router-0", seq)

    def later(self, delta_ms: int) -> None:
        self.clock.advance(delta_ms)
        self.scheduler.tick()

    def granted(self) -> list[int]:
        return [s for s, r in self.replies.items() if r.code == 0]

    def finish(self, seq: int) -> None:
        self.scheduler.release("router-0", seq)
        self.mark_started()
        self.later(50)


def attach(
    office: SchedulerFixture, router: str, held: dict[int, str]
) -> None:
    """Attach a router that holds slots of work that has begun."""
    slots = {
        seq: slot_table.Slot(target, "bakery", 1, office.clock.now_ms())
        for seq, target in held.items()
    }
    office.scheduler.attach(router, slots, set(slots))


@pytest.fixture
def office(clock: clock_module.ManualClock) -> SchedulerFixture:
    return SchedulerFixture(clock)


def test_one_prefix_spills_at_the_bound(office: SchedulerFixture) -> None:
    for _ in range(16):
        office.ask()
    loads = office.scheduler.loads()
    assert sum(loads.values()) == 16
    assert max(loads.values()) <= 5


def test_starts_that_may_be_under_way_do_not_raise_the_bound(
    office: SchedulerFixture,
) -> None:
    """A busy machine may need any time for the way to the target."""
    mark_started = office.mark_started
    office.mark_started = lambda: None
    for _ in range(20):
        office.ask()
    office.later(2_000)
    assert len(office.granted()) == 8
    mark_started()
    assert len(office.granted()) > 8


def test_starts_that_have_just_begun_do_not_raise_the_bound(
    office: SchedulerFixture,
) -> None:
    """Others have ended meanwhile, and the news of it is on its way."""
    later = office.later
    office.later = lambda _: None
    for _ in range(20):
        office.ask()
    assert len(office.granted()) == 8
    later(50)
    assert len(office.granted()) > 8


def test_grants_that_end_at_once_leave_nothing_behind(
    office: SchedulerFixture,
) -> None:
    for _ in range(50):
        office.clock.advance(100)
        office.finish(office.ask())
    assert office.scheduler.in_flight == 0
    for _ in range(40):
        office.ask()
    assert len(office.granted()) == 50 + 40


def test_no_target_gets_more_than_its_slots(office: SchedulerFixture) -> None:
    for _ in range(60):
        office.ask()
    assert max(office.scheduler.loads().values()) == SLOTS
    assert office.scheduler.in_flight == 4 * SLOTS


def test_idle_targets_are_used_before_anyone_waits(
    office: SchedulerFixture,
) -> None:
    for _ in range(4 * SLOTS):
        office.ask()
    assert office.scheduler.queued == 0
    assert office.scheduler.in_flight == 4 * SLOTS


def test_a_surging_team_is_held_to_its_limit(office: SchedulerFixture) -> None:
    office.limits["agencia"] = (6, 3)
    for _ in range(20):
        office.ask("agencia")
    refused = [
        r for r in office.replies.values() if r.code == results.Code.TEAM_LIMIT
    ]
    assert len(office.granted()) == 6
    assert office.scheduler.queued == 3
    assert len(refused) == 11
    assert all(r.retry_after_ms > 0 for r in refused)
    assert office.replies[office.ask("bakery")].code == 0


def test_a_team_above_its_share_leaves_slots_for_others(
    office: SchedulerFixture,
) -> None:
    office.promise = entries.Promise(least_bound=2, team_share=0.5)
    for _ in range(60):
        office.ask("agencia")
    assert office.scheduler.in_flight == 4 * SLOTS - 4
    assert office.replies[office.ask("bakery")].code == 0


def test_under_overload_paid_shares_hold(office: SchedulerFixture) -> None:
    office.limits = {"gold": (1_000, 500), "bronze": (1_000, 500)}
    waiting = collections.deque()
    for _ in range(4 * SLOTS):
        waiting.append(office.ask("other"))
    owners = {}
    for _ in range(200):
        owners[office.ask("gold", 8)] = "gold"
        owners[office.ask("bronze", 1)] = "bronze"
        office.clock.advance(-100)
    served: collections.Counter = collections.Counter()
    for _ in range(90):
        before = set(office.granted())
        office.finish(waiting.popleft())
        for seq in set(office.granted()) - before:
            served[owners[seq]] += 1
            waiting.append(seq)
    assert served["gold"] >= 75
    assert served["bronze"] >= 8


def test_a_wait_without_hope_is_refused_at_once(
    office: SchedulerFixture,
) -> None:
    for _ in range(4 * SLOTS):
        office.ask()
    office.clock.advance(60_000)
    for seq in office.granted():
        office.scheduler.release("router-0", seq)
    for _ in range(4 * SLOTS):
        office.ask()
    for _ in range(5):
        office.ask()
    asked_ms = office.clock.now_ms()
    last = office.ask()
    assert office.replies[last].code == results.Code.QUEUE_FULL
    assert office.clock.now_ms() - asked_ms == 50
    assert office.replies[last].retry_after_ms >= 200


def test_the_deadline_ends_a_wait(office: SchedulerFixture) -> None:
    for _ in range(4 * SLOTS + 1):
        office.ask()
    last = office.seq
    assert last not in office.replies
    office.later(5_000)
    assert office.replies[last].code == results.Code.QUEUE_DEADLINE


def test_returns_are_spread(office: SchedulerFixture) -> None:
    office.targets = []
    waits = {office.replies[office.ask()].retry_after_ms for _ in range(20)}
    assert len(waits) > 15


def test_without_a_majority_nothing_is_granted(
    office: SchedulerFixture,
) -> None:
    office.quorum = bound.Quorum(False, False, 0)
    office.ask()
    assert office.granted() == []
    office.quorum = bound.Quorum(True, True, 0)
    office.later(50)
    assert len(office.granted()) == 1


def test_a_new_home_waits_for_reports_and_counts_them(
    office: SchedulerFixture,
) -> None:
    since_ms = office.clock.now_ms()
    office.quorum = bound.Quorum(True, False, since_ms)
    first = office.ask()
    assert office.granted() == []
    office.later(slot_table.REPORT_LAG_MS)
    for number, target in enumerate(office.targets):
        office.scheduler.record_report(target.name, 0 if number else 9)
    office.later(50)
    assert office.replies[first].target != "engine-0"
    for _ in range(6):
        office.ask()
    assert all(r.target != "engine-0" for r in office.replies.values())


def test_an_orphan_counts_for_its_target_not_for_the_mean(
    office: SchedulerFixture,
) -> None:
    for _ in range(8):
        office.ask()
    held = dict(office.scheduler.loads())
    office.scheduler.orphan("router-0", 5_000)
    office.seq += 100
    now_ms = office.clock.now_ms()
    for seq in range(3):
        office.scheduler.submit(
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
    # The mean of the three alone is below one, so the bound is the least.
    names = [target.name for target in office.targets]
    room = sum(max(0, 2 - held.get(name, 0)) for name in names)
    loads = office.scheduler.loads()
    assert all(loads[n] <= max(2, held.get(n, 0)) for n in loads)
    assert max(held.values()) > 2
    assert sum(loads.values()) - sum(held.values()) == min(3, room)
    assert office.scheduler.queued == max(0, 3 - room)
    office.later(6_000)
    assert sum(office.scheduler.loads().values()) == 3


def test_a_returning_chat_goes_where_it_was(office: SchedulerFixture) -> None:
    def chat(seq: int) -> reply_module.Reply:
        now_ms = office.clock.now_ms()
        office.scheduler.submit(
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
        return office.replies[seq]

    first = chat(1).target
    office.finish(1)
    away = [t for t in office.targets if t.name == first]
    office.targets = [t for t in office.targets if t.name != first]
    second = chat(2).target
    office.finish(2)
    office.targets += away
    assert second != first
    assert chat(3).target == second


def test_load_from_elsewhere_counts_for_the_mean_too(
    office: SchedulerFixture,
) -> None:
    for target in office.targets:
        office.scheduler.record_report(target.name, 6)
    for _ in range(12):
        office.ask()
    assert len(office.granted()) == 12


def test_work_of_a_router_that_went_to_another_home_still_counts(
    office: SchedulerFixture,
) -> None:
    for target in office.targets:
        office.scheduler.record_report(target.name, 0)
    attach(office, "router-1", {n: f"engine-{n % 4}" for n in range(20)})
    office.later(slot_table.REPORT_LAG_MS + 1)
    for target in office.targets:
        office.scheduler.record_report(target.name, 5)
    office.quorum = bound.Quorum(True, False, 0)
    office.scheduler.detach("router-1")
    for _ in range(8):
        office.ask()
    # Five run on each target, which is above any bound for so few.
    assert office.granted() == []


def test_work_of_a_router_that_is_new_here_counts_once(
    office: SchedulerFixture,
) -> None:
    office.quorum = bound.Quorum(True, False, 0)
    for number, target in enumerate(office.targets):
        office.scheduler.record_report(target.name, 8 if number < 3 else 0)
    # Most of it has ended before its router is attached.
    attach(office, "router-1", {n: f"engine-{n % 3}" for n in range(10)})
    office.quorum = bound.Quorum(True, True, 0)
    for _ in range(6):
        office.ask()
    # 1.25 times a mean of 16 / 4 at most, not of 30 / 4.
    granted = office.granted()
    assert granted
    assert all(office.replies[seq].bound <= 5 for seq in granted)


def test_work_that_comes_with_its_router_counts_once_it_has_begun(
    office: SchedulerFixture,
) -> None:
    now_ms = office.clock.now_ms()
    held = {
        seq: slot_table.Slot(f"engine-{seq % 4}", "bakery", 1, now_ms)
        for seq in range(16)
    }
    office.scheduler.attach("router-1", held, set())
    office.ask()
    assert office.granted() == []
    office.scheduler.attach("router-1", held, set(held))
    office.ask()
    assert office.granted()


def test_the_end_of_work_that_never_began_leaves_nothing(
    office: SchedulerFixture,
) -> None:
    mark_started = office.mark_started
    office.mark_started = lambda: None
    seq = office.ask()
    office.finish(seq)
    office.scheduler.mark_started("router-0", seq)
    office.mark_started = mark_started
    for _ in range(40):
        office.ask()
    assert len(office.granted()) == 1 + 40
