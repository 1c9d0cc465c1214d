"""Which prompts are withheld because their parts crash targets."""

import collections
import logging
import random

import pytest

from bulrushdale.routing import crash_evidence
from bulrushdale.routing import quarantine as quarantine_module
from tests import crash_fixtures


@pytest.fixture
def router(clock):
    return crash_fixtures.Router("r1", clock)


@pytest.fixture
def other(clock):
    return crash_fixtures.Router("r2", clock)


def test_part_of_several_crashes_is_withheld(router):
    crash_fixtures.crash_repeatedly(router, crash_fixtures.DEADLY, count=2)
    assert not router.withholds(*crash_fixtures.DEADLY)
    crash_fixtures.crash_repeatedly(
        router, crash_fixtures.DEADLY, count=1, from_number=2
    )
    assert router.withholds(*crash_fixtures.DEADLY)
    assert router.withholds("first", "book", "dead", "session")


def test_prompts_that_share_only_some_parts_are_not_withheld(router):
    crash_fixtures.crash_repeatedly(router, crash_fixtures.DEADLY)
    assert not router.withholds("first", "book")
    assert not router.withholds("first", "other", "dead2")
    assert not router.withholds("book")


def test_quarantine_narrows_to_the_part_that_never_gets_an_event(router):
    crash_fixtures.crash_repeatedly(router, crash_fixtures.DEADLY)
    assert not router.withholds("other", "dead")
    router.answer("first", "book")
    assert router.withholds("other", "dead")
    assert not router.withholds("first", "book")


def test_changing_parts_around_a_part_are_not_blamed(router):
    router.crash(0, ("f1", "dead", "b1"))
    router.clock.advance(500)
    router.crash(1, ("f2", "dead", "b1"))
    router.clock.advance(500)
    router.crash(2, ("f1", "dead", "b2"))
    router.clock.advance(500)
    assert router.withholds("f3", "dead", "b3")
    assert not router.withholds("f1", "b1")


def test_first_part_can_be_the_one(router):
    for number in range(3):
        router.crash(number, ("dead", f"b{number}"))
        router.clock.advance(500)
    assert router.withholds("dead", "b9")
    assert not router.withholds("sound", "b0")


def test_prompts_that_happened_to_be_there_are_not_withheld(router):
    """A popular part is at each crash, beside the one that explains them."""
    for number in range(4):
        router.crash(number, crash_fixtures.DEADLY, ("first", f"b{number}"))
        router.clock.advance(500)
    assert router.withholds(*crash_fixtures.DEADLY)
    for number in range(4):
        assert not router.withholds("first", f"b{number}")


def test_event_after_a_crash_clears_a_part(router):
    crash_fixtures.crash_repeatedly(router, ("first", "book"), count=2)
    router.answer("first", "book")
    crash_fixtures.crash_repeatedly(
        router, ("first", "book"), count=2, from_number=2
    )
    assert not router.withholds("first", "book")


def test_event_ends_a_quarantine(router):
    crash_fixtures.crash_repeatedly(router, ("first", "book"))
    assert router.withholds("first", "book")
    router.answer("first", "book")
    assert not router.withholds("first", "book")


def test_targets_that_crash_together_are_one_crash(router):
    """A rack fails while every target there answers a popular prompt."""
    for number in range(10):
        router.crash(number, ("first", "book"))
        router.clock.advance(5)
    router.clock.advance(1_000)
    assert not router.withholds("first", "book")


def test_two_parts_crash_targets_at_the_same_time(router):
    crash_fixtures.crash_repeatedly(router, crash_fixtures.DEADLY)
    crash_fixtures.crash_repeatedly(
        router, ("f2", "dead2"), count=4, from_number=3
    )
    assert router.withholds(*crash_fixtures.DEADLY)
    assert router.withholds("f2", "dead2")
    assert not router.withholds("first", "dead3")


def test_parts_of_another_service_are_not_withheld(router):
    crash_fixtures.crash_repeatedly(router, crash_fixtures.DEADLY)
    assert not router.withholds(*crash_fixtures.DEADLY, service="other")


def test_request_is_not_repeated_after_two_crashes(router):
    router.crash(0, crash_fixtures.DEADLY)
    assert router.quarantine.may_repeat(
        crash_fixtures.SERVICE, crash_fixtures.DEADLY, "own"
    )
    router.clock.advance(200)
    router.crash(1, crash_fixtures.DEADLY)
    assert not router.quarantine.may_repeat(
        crash_fixtures.SERVICE, crash_fixtures.DEADLY, "own"
    )
    assert router.quarantine.may_repeat(
        crash_fixtures.SERVICE, ("first", "book"), "own"
    )


def test_waiting_request_is_withdrawn_once(router):
    """Another crash makes the quarantine longer before it is gone."""
    withdrawn = []
    with router.quarantine.watch(
        crash_fixtures.SERVICE,
        crash_fixtures.DEADLY,
        "own",
        lambda: withdrawn.append(1),
    ):
        for _ in range(3):
            crash_fixtures.crash_repeatedly(router, crash_fixtures.DEADLY)
            router.quarantine.active()
            crash_fixtures.crash_repeatedly(
                router, crash_fixtures.DEADLY, count=1, from_number=3
            )
            router.quarantine.active()
    assert withdrawn == [1]


def test_quarantine_whose_evidence_is_gone_ends(router, caplog):
    caplog.set_level(logging.INFO)
    crash_fixtures.crash_repeatedly(router, crash_fixtures.DEADLY)
    assert router.quarantine.active()
    router.answer(*crash_fixtures.DEADLY)
    assert not router.quarantine.active()
    assert caplog.messages[-1] == "prompt parts released"


def quarantine_ms(router, prompt):
    """Return for how long a prompt is withheld, up to its trial."""
    start_ms = router.clock.now_ms()
    while router.withholds(*prompt):
        router.clock.advance(1_000)
    return router.clock.now_ms() - start_ms


def test_one_request_at_a_time_passes_after_a_quarantine(router):
    crash_fixtures.crash_repeatedly(router, crash_fixtures.DEADLY)
    passed_ms = quarantine_ms(router, crash_fixtures.DEADLY)
    first_ms = quarantine_module.QUARANTINE_MS
    assert first_ms * 0.9 <= passed_ms <= first_ms * 1.6
    assert router.withholds(*crash_fixtures.DEADLY)
    router.crash(10, crash_fixtures.DEADLY)
    router.clock.advance(1_000)
    assert quarantine_ms(router, crash_fixtures.DEADLY) >= first_ms * 1.9
    router.answer(*crash_fixtures.DEADLY)
    assert not router.withholds(*crash_fixtures.DEADLY)
    assert not router.withholds(*crash_fixtures.DEADLY)


def test_trial_without_a_result_is_followed_by_another(router):
    crash_fixtures.crash_repeatedly(router, crash_fixtures.DEADLY)
    quarantine_ms(router, crash_fixtures.DEADLY)
    assert (
        quarantine_ms(router, crash_fixtures.DEADLY)
        >= quarantine_module.TRIAL_MS - 1_000
    )


def test_routers_end_a_quarantine_at_different_times(clock):
    ends_ms = []
    for number in range(20):
        router = crash_fixtures.Router(f"r{number}", clock)
        for crash in range(3):
            router.crash(
                crash, crash_fixtures.DEADLY, age_ms=10_000 + 1_000 * crash
            )
        (culprit,) = router.quarantine.active()
        ends_ms.append(
            quarantine_module.quarantine_end_ms(culprit, f"r{number}")
        )
    assert len(set(ends_ms)) > 15


def test_crashes_of_all_routers_count(router, other, clock):
    router.crash(0, crash_fixtures.DEADLY)
    router.send_to(other)
    clock.advance(500)
    other.crash(1, crash_fixtures.DEADLY)
    other.send_to(router)
    clock.advance(500)
    router.crash(2, crash_fixtures.DEADLY)
    router.send_to(other)
    clock.advance(500)
    assert router.withholds(*crash_fixtures.DEADLY)
    assert other.withholds(*crash_fixtures.DEADLY)


def test_router_that_started_later_learns_of_a_quarantine(
    router, other, clock
):
    crash_fixtures.crash_repeatedly(router, crash_fixtures.DEADLY)
    clock.advance(10_000)
    for _ in range(16):
        router.send_to(other)
        clock.advance(250)
    assert other.withholds(*crash_fixtures.DEADLY)


def test_part_that_another_router_cleared_is_not_blamed(router, other, clock):
    for number in range(3):
        router.crash(number, ("first", "book"))
        router.send_to(other)
        other.answer("first", "book")
        other.send_to(router)
        clock.advance(500)
    assert not router.withholds("first", "book")
    assert not other.withholds("first", "book")


def test_late_report_of_an_old_crash_brings_no_cleared_part_back(
    router, clock
):
    late = crash_fixtures.crash_report(0, ("first", "book"))
    router.evidence.record(late)
    clock.advance(500)
    router.answer("first", "book")
    clock.advance(1_500)
    router.evidence.record(
        crash_fixtures.crash_report(0, ("first", "book"), age_ms=2_000)
    )
    assert not router.evidence


def test_routers_do_not_keep_old_crashes_alive(router, other, clock):
    """Reports are under way for six seconds: each hop makes a crash younger.

    They are repeated every four seconds. The other router learns of a crash
    six seconds late, and may keep it for as long after its end.
    """
    crash_fixtures.crash_repeatedly(router, crash_fixtures.DEADLY)
    under_way = collections.deque([[]] * 6)
    last_s = crash_evidence.CRASH_TTL_MS // 1_000 + 8
    for second in range(last_s + 20):
        under_way.append(
            [
                (receiver, crash)
                for sender, receiver in ((router, other), (other, router))
                for crash in sender.quarantine.crashes_to_report()
            ]
        )
        for receiver, crash in under_way.popleft():
            receiver.evidence.record(crash)
        clock.advance(1_000)
        if second >= last_s:
            assert not router.quarantine.active()
            assert not other.quarantine.active()


def test_evidence_is_bounded(router):
    for number in range(1_000):
        prompts = [
            tuple(f"p{number}-{n}-{part}" for part in range(100))
            for n in range(20)
        ]
        router.crash(number, *prompts)
        router.clock.advance(200)
    crashes = router.evidence.crashes()
    assert len(crashes) <= crash_evidence.MAX_CRASHES
    size = sum(crash.size for crash in crashes)
    assert 0 < size <= crash_evidence.MAX_EVIDENCE_PARTS
    for crash in crashes:
        assert len(crash.prompts) <= crash_evidence.MAX_PROMPTS
        for prompt in crash.prompts:
            assert len(prompt) <= crash_evidence.MAX_PARTS
    reported = router.quarantine.crashes_to_report()
    parts = sum(len(p) for crash in reported for p in crash.prompts)
    most = crash_evidence.MAX_PROMPTS * crash_evidence.MAX_PARTS
    assert parts <= max(most, crash_evidence.MAX_REPORTED_PARTS)


@pytest.mark.parametrize("seed", range(20))
def test_plain_crashes_withhold_no_prompt(clock, seed):
    """Targets crash at random while popular and rare prompts begin there.

    An event takes 20 to 400 ms, so that some prompts are begun at each crash;
    callers repeat those at another target.
    """
    draw = random.Random(seed)
    router = crash_fixtures.Router("r1", clock)
    targets = 6
    prompts = [("first", f"b{n // 4}", f"c{n}") for n in range(40)]
    running = []
    withheld = 0
    for step in range(6_000):
        clock.advance(10)
        now_ms = clock.now_ms()
        for _ in range(draw.random() < 0.3):
            prompt = prompts[int(40 * draw.random() ** 3)]
            withheld += router.withholds(*prompt)
            ends_ms = now_ms + draw.randrange(20, 400)
            running.append((ends_ms, draw.randrange(targets), prompt))
        for ends_ms, _, prompt in running:
            if ends_ms <= now_ms:
                router.answer(*prompt)
        running = [entry for entry in running if entry[0] > now_ms]
        if draw.random() < 0.02:
            crashed = draw.randrange(targets)
            lost = [prompt for _, at, prompt in running if at == crashed]
            router.crash(step, *lost)
            running = [
                (now_ms + 200, draw.randrange(targets), prompt)
                if at == crashed
                else (ends_ms, at, prompt)
                for ends_ms, at, prompt in running
            ]
    assert withheld == 0
