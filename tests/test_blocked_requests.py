"""Which single requests are withheld because they crash targets."""

import dataclasses

import pytest

from bulrushdale.routing import blocked_requests
from bulrushdale.routing import crash_evidence
from bulrushdale.routing import fingerprint as fingerprint_module
from bulrushdale.routing import messages
from bulrushdale.routing import quarantine as quarantine_module
from tests import crash_fixtures

HOUR_MS = 3_600_000


@pytest.fixture
def router(clock):
    return crash_fixtures.Router("r1", clock)


@pytest.fixture
def other(clock):
    return crash_fixtures.Router("r2", clock)


def crash_on_request(router, name, *part_ids, count=3, interval_ms=500):
    for number in range(count):
        router.crash_on(f"{name}{number}", name, *part_ids)
        router.clock.advance(interval_ms)


def test_only_the_request_at_all_crashes_is_withheld(router):
    crash_on_request(router, "deadly", "first", "book")
    assert router.withholds("first", "book", fingerprint="deadly")
    assert not router.withholds("first", "book", fingerprint="sound")


def test_sound_requests_with_the_same_parts_do_not_clear_it(router):
    for number in range(3):
        router.crash_on(number, "deadly", "first", "book")
        router.clock.advance(500)
        router.answer("first", "book", fingerprint=f"sound{number}")
    assert router.withholds("first", "book", fingerprint="deadly")
    assert not router.withholds("first", "book", fingerprint="sound")


def test_request_without_a_prompt_is_withheld(router):
    crash_on_request(router, "deadly")
    assert router.withholds(fingerprint="deadly")
    assert not router.withholds(fingerprint="sound")
    assert not router.withholds(fingerprint="deadly", service="other")


def test_blocked_request_gets_no_trial_for_hours(router):
    crash_on_request(router, "deadly", "first")
    for _ in range(20):
        assert router.withholds("first", fingerprint="deadly")
        router.clock.advance(HOUR_MS)
    router.clock.advance(5 * HOUR_MS)
    assert not router.withholds("first", fingerprint="deadly")


def test_crashes_of_one_client_attempt_within_milliseconds_count(router):
    crash_on_request(router, "deadly", interval_ms=30)
    assert router.withholds(fingerprint="deadly")


def test_popular_request_at_a_rack_that_goes_down_is_not_blocked(router):
    """It is withheld for a while, and cleared by its next success."""
    crash_on_request(router, "popular", interval_ms=30)
    assert router.withholds(fingerprint="popular")
    assert not router.quarantine.blocks()
    router.answer(fingerprint="popular")
    assert not router.withholds(fingerprint="popular")


def test_requests_at_the_same_crashes_are_tried_again_one_by_one(router):
    for number in range(3):
        router.crash_on(number, None, waiting=("deadly", "sound"))
        router.clock.advance(500)
    for name in ("deadly", "sound"):
        assert router.withholds(fingerprint=name)
    assert not router.quarantine.blocks()
    router.clock.advance(quarantine_module.MAX_QUARANTINE_MS)
    assert not router.withholds(fingerprint="sound")
    router.answer(fingerprint="sound")
    # Nothing else explains the crashes now.
    assert router.withholds(fingerprint="deadly")
    assert router.quarantine.blocks()
    assert not router.withholds(fingerprint="sound")


def test_waiting_requests_are_no_suspects_beside_one_that_had_begun(router):
    for number in range(3):
        router.crash_on(number, "deadly", "book", waiting=("sound", "late"))
        router.clock.advance(500)
    assert router.withholds("book", fingerprint="deadly")
    assert not router.withholds("book", fingerprint="sound")


def test_request_at_every_crash_is_found_among_many(router):
    """A crash has room for some of the requests that were there."""
    for number in range(3):
        router.evidence.record(
            crash_evidence.CrashReport(
                f"t{number}",
                1,
                0,
                tuple(
                    tuple(
                        quarantine_module.hash_request(
                            crash_fixtures.SERVICE, (), name
                        )
                    )
                    for name in (
                        *(
                            (f"o{number}-{n}" for n in range(60))
                            if number
                            else ()
                        ),
                        "deadly",
                    )
                ),
            )
        )
        router.clock.advance(500)
    assert router.withholds(fingerprint="deadly")
    assert not router.withholds(fingerprint="o1-1")


def test_routers_tell_each_other_of_blocked_requests(router, other, clock):
    crash_on_request(router, "deadly", "book")
    assert router.withholds("book", fingerprint="deadly")
    # The crashes are forgotten by now.
    clock.advance(2 * HOUR_MS)
    router.send_to(other)
    assert other.withholds("book", fingerprint="deadly")
    assert not other.withholds("book", fingerprint="sound")


def test_success_at_any_router_lifts_a_block(router, other, clock):
    crash_on_request(router, "deadly")
    assert router.withholds(fingerprint="deadly")
    router.send_to(other)
    other.answer(fingerprint="deadly")
    other.send_to(router)
    router.send_to(other)
    assert not router.withholds(fingerprint="deadly")
    assert not other.withholds(fingerprint="deadly")


def test_waiting_request_is_withdrawn_when_another_router_blocks_it(
    router, other
):
    withdrawn = []
    crash_on_request(router, "deadly")
    assert router.withholds(fingerprint="deadly")
    router.clock.advance(2 * HOUR_MS)
    with other.quarantine.watch(
        crash_fixtures.SERVICE, (), "deadly", lambda: withdrawn.append(1)
    ):
        router.send_to(other)
        router.send_to(other)
    assert withdrawn == [1]


def test_blocked_requests_are_bounded(clock):
    blocked = blocked_requests.BlockedRequests(clock)
    for number in range(10 * blocked_requests.MAX_BLOCKED):
        blocked.add(blocked_requests.BlockReport(number, 1_000 + number, 3))
    assert len(blocked) == blocked_requests.MAX_BLOCKED
    reported = {
        block.fingerprint
        for _ in range(blocked_requests.MAX_BLOCKED)
        for block in blocked.take_to_report()
    }
    assert len(reported) == blocked_requests.MAX_BLOCKED


def test_block_of_more_than_a_day_is_not_accepted(clock):
    blocked = blocked_requests.BlockedRequests(clock)
    for remaining_ms in (-1, 0, blocked_requests.BLOCK_TTL_MS + 1, 1 << 80):
        assert not blocked.add(
            blocked_requests.BlockReport(1, remaining_ms, 3)
        )
    assert not blocked.all()


REQUEST = messages.InboundRequest(
    request_id="q1",
    method="POST",
    host="example.test",
    path="/plan/1",
    raw_target="/plan/1?x=1",
    headers=(),
    body=b"body",
    api_key="key-1",
    deadline_ms=1_000,
    resume_after=None,
    prompt=(),
    prompt_tokens=0,
    output_tokens=0,
)


@pytest.mark.parametrize(
    "changes",
    [
        {"request_id": "q2"},
        {"deadline_ms": 5},
        {"api_key": "key-2"},
        {"resume_after": 3, "resumes": "q1"},
    ],
)
def test_request_that_comes_again_has_the_same_fingerprint(changes):
    again = dataclasses.replace(REQUEST, **changes)
    assert fingerprint_module.request_fingerprint(
        again, "bakery"
    ) == fingerprint_module.request_fingerprint(REQUEST, "bakery")


@pytest.mark.parametrize(
    ("changes", "team"),
    [
        ({"body": b"other"}, "bakery"),
        ({"raw_target": "/plan/1?x=2"}, "bakery"),
        ({"method": "PUT"}, "bakery"),
        ({}, "other"),
        ({}, None),
    ],
)
def test_other_requests_have_other_fingerprints(changes, team):
    other = dataclasses.replace(REQUEST, **changes)
    assert fingerprint_module.request_fingerprint(
        other, team
    ) != fingerprint_module.request_fingerprint(REQUEST, "bakery")
