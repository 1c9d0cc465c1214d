"""Test prefix affinity: the choice of targets and of copy sources."""

import dataclasses

import pytest

from bulrushdale import hashing
from bulrushdale.routing import messages
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import prefix_locations as locations_module
from bulrushdale.routing import routes
from bulrushdale.routing import selection as selection_module
from bulrushdale.routing import targets as targets_module

SERVICE = "chat"
DRAIN_MS = 2_000
LISTING = targets_module.Listing(
    target_id="",
    started_ms=100,
    service=SERVICE,
    address="",
    data_centre="dc1",
    slots=64,
    leaving=False,
    slow_start_ms=0,
)
ROUTE = routes.Route(
    name="chat",
    host="chat.example",
    path_prefix="/",
    kind=routes.Kind.STREAM,
    timeout_ms=5_000,
    target_latency_ms=500,
    max_gap_ms=200,
    priority=0,
    shares=(routes.Share(SERVICE, 1),),
    max_attempts=1,
    public=True,
    prefix_affinity=True,
    resumable=False,
)
REQUEST = messages.InboundRequest(
    request_id="q1",
    method="POST",
    host="chat.example",
    path="/",
    raw_target="/",
    headers=(),
    body=b"",
    api_key="",
    deadline_ms=None,
    resume_after=None,
    prompt=(),
    prompt_tokens=2_009,
    output_tokens=100,
)


def listing(name, **changes):
    return dataclasses.replace(
        LISTING, target_id=name, address=f"10.0.0.{name}:80", **changes
    )


class Router:
    """A router with four targets, which chooses among them."""

    def __init__(self, clock):
        self.clock = clock
        self.targets = targets_module.Targets(clock, DRAIN_MS)
        self.locations = locations_module.PrefixLocations(clock)
        self.selection = selection_module.Selection(
            "dc1",
            self.targets,
            peers_module.Peers("10.0.1.1:1", "dc1", 0, clock),
            self.locations,
            clock,
        )
        for name in ("1", "2", "3", "4"):
            self.targets.put(listing(name))

    def choose(self, prefix="p", tokens=2_000):
        parts = (
            messages.PromptPart(prefix, tokens),
            messages.PromptPart("own", 9),
        )
        request = dataclasses.replace(REQUEST, prompt=parts)
        return self.selection.choose(request, ROUTE, SERVICE, ())

    def target_for(self, prefix="p"):
        return self.choose(prefix).target


@pytest.fixture
def router(clock):
    """Return a router with four targets listed from the start."""
    return Router(clock)


def test_nothing_is_copied_if_the_target_has_the_prefix(router):
    choice = router.choose()
    assert choice.copy_from is None
    assert router.choose().target is choice.target


def test_prefix_is_copied_if_its_target_is_above_the_bound(router):
    """A hot prefix moves its excess load to another target."""
    preferred = router.target_for()
    preferred.in_flight = 60
    choice = router.choose()
    assert choice.target is not preferred
    assert choice.copy_from is preferred


def test_remapped_prefix_is_copied_from_its_latest_location(router):
    preferred = router.target_for()
    preferred.in_flight = 60
    second = router.choose().target
    second.in_flight = 60
    choice = router.choose()
    assert choice.target not in (preferred, second)
    assert choice.copy_from is second


def test_prefix_returns_to_a_previous_location(router):
    """It is in two caches by then; a third target would recompute it."""
    preferred = router.target_for()
    preferred.in_flight = 60
    second = router.target_for()
    preferred.in_flight = 0
    second.health.unreachable = True
    choice = router.choose()
    assert choice.target is preferred
    assert choice.copy_from is None


def test_suspected_target_gets_requests_only_if_all_are_suspected(router):
    preferred = router.target_for()
    preferred.health.suspected = True
    assert router.target_for() is not preferred
    preferred.health.suspected = False
    for target in router.targets.all():
        target.health.suspected = True
    assert router.choose() is not None


def test_prefix_is_copied_from_a_previous_location(router):
    """The latest location crashed; the previous one still has the prefix."""
    preferred = router.target_for()
    preferred.in_flight = 60
    second = router.target_for()
    second.health.unreachable = True
    choice = router.choose()
    assert choice.target not in (preferred, second)
    assert choice.copy_from is preferred


def test_prefix_no_longer_in_use_is_copied_after_targets_joined(router):
    """A chat that continues after a pause still uses its cache.

    Targets that joined in the meantime may be the preferred ones by then.
    """
    prefixes = [f"p{n}" for n in range(60)]
    initial = {name: router.target_for(name) for name in prefixes}
    for number in range(5, 9):
        router.targets.put(listing(str(number), started_ms=90_000))
    router.clock.advance(targets_module.ESTABLISHED_AFTER_MS + 1)
    moved = 0
    for name in prefixes:
        choice = router.choose(name)
        if choice.target is not initial[name]:
            moved += 1
            assert choice.copy_from is initial[name]
    assert 15 < moved < 45


def test_new_router_copies_from_previous_preferred_targets(router, clock):
    """It knows no locations; prefixes in use stay at older targets."""
    prefixes = [f"p{n}" for n in range(60)]
    initial = {name: router.target_for(name).target_id for name in prefixes}
    new_router = Router(clock)
    for number in range(5, 9):
        new_router.targets.put(listing(str(number), started_ms=90_000))
    moved = 0
    for name in prefixes:
        choice = new_router.choose(name)
        if choice.target.target_id != initial[name]:
            moved += 1
            assert choice.copy_from.target_id == initial[name]
    assert 15 < moved < 45


def test_nothing_is_copied_between_targets_that_started_together(clock):
    """The targets of a new deployment start over some seconds."""
    router = Router(clock)
    for number in range(5, 9):
        router.targets.put(listing(str(number), started_ms=100 + number * 400))
    choices = [router.choose(f"p{n}") for n in range(60)]
    assert all(choice.copy_from is None for choice in choices)


def test_short_prefix_is_not_copied(router):
    router.target_for().in_flight = 60
    tokens = selection_module.MIN_COPIED_TOKENS - 1
    assert router.choose(tokens=tokens).copy_from is None


def test_nothing_is_copied_from_an_unreachable_target(router):
    """Otherwise the target, and so the caller, waits for a connection."""
    preferred = router.target_for()
    preferred.health.unreachable = True
    choice = router.choose()
    assert choice.target is not preferred
    assert choice.copy_from is None


def test_prefixes_of_a_leaving_target_are_copied_until_it_ends(router):
    preferred = router.target_for()
    router.targets.put(listing(preferred.target_id, leaving=True))
    choice = router.choose()
    assert choice.target is not preferred
    assert choice.copy_from is preferred
    router.targets.remove(preferred.target_id)
    prefixes = [f"p{n}" for n in range(40)]
    assert preferred not in [
        router.choose(prefix).copy_from for prefix in prefixes
    ]


def test_prefixes_of_a_removed_target_are_copied_for_the_drain_time(router):
    """Its removal was unannounced, so it may have ended after that time."""
    prefixes = [f"p{n}" for n in range(40)]
    preferred = router.target_for(prefixes[0])
    at_preferred = [
        name for name in prefixes if router.target_for(name) is preferred
    ]
    router.targets.remove(preferred.target_id)
    assert router.choose(at_preferred[0]).copy_from is preferred
    router.clock.advance(DRAIN_MS)
    assert router.choose(at_preferred[1]).copy_from is None


def test_nothing_is_copied_from_a_target_whose_address_was_reused(router):
    preferred = router.target_for()
    preferred.in_flight = 60
    moved = router.choose().target
    preferred.in_flight = 0
    router.targets.mark_moved(moved)
    assert router.choose().copy_from is None


def test_remapped_prefixes_of_a_target_that_left_are_reported(router):
    """Otherwise other routers would place them anew at each join.

    A release replaces targets one by one: without the reports a prefix moved
    again with each of them, although it was in use all the time.
    """
    preferred = router.target_for()
    router.targets.put(listing(preferred.target_id, leaving=True))
    router.targets.remove(preferred.target_id)
    successor = router.choose().target
    key = hashing.hash64(b"p")
    assert router.locations.take_updates() == {key: successor.target_id}
    for number in range(5, 25):
        router.targets.put(listing(str(number)))
    assert router.choose().target is successor
