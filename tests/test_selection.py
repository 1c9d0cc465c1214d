"""Where requests that share a part of their prompt go, and what is copied."""

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
CALL = messages.InboundRequest(
    request_id="q1",
    method="POST",
    host="chat.example",
    path="/",
    raw_target="/",
    headers=(),
    body=b"",
    key="",
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


class Fleet:
    """One router's view of some targets."""

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

    def place(self, prefix="p", tokens=2_000):
        parts = (
            messages.PromptPart(prefix, tokens),
            messages.PromptPart("own", 9),
        )
        call = dataclasses.replace(CALL, prompt=parts)
        return self.selection.choose(call, ROUTE, SERVICE, ())

    def home(self, prefix="p"):
        return self.place(prefix).target


@pytest.fixture
def fleet(clock):
    """Four targets that are there from the start."""
    return Fleet(clock)


def test_nothing_is_copied_where_a_prefix_lives(fleet):
    choice = fleet.place()
    assert choice.copy_from is None
    assert fleet.place().target is choice.target


def test_prefix_that_spills_over_is_copied(fleet):
    """A hot prefix: its target is above the bound, and reads no more."""
    home = fleet.home()
    home.in_flight = 60
    choice = fleet.place()
    assert choice.target is not home
    assert choice.copy_from is home


def test_prefix_that_moved_is_copied_from_where_it_moved_to(fleet):
    home = fleet.home()
    home.in_flight = 60
    second = fleet.place().target
    second.in_flight = 60
    choice = fleet.place()
    assert choice.target not in (home, second)
    assert choice.copy_from is second


def test_prefix_returns_to_a_target_that_held_it_before(fleet):
    """It is in several caches by then; a third target would read it again."""
    home = fleet.home()
    home.in_flight = 60
    second = fleet.home()
    home.in_flight = 0
    second.health.unreachable = True
    choice = fleet.place()
    assert choice.target is home
    assert choice.copy_from is None


def test_target_that_may_be_cut_off_gets_nothing_while_it_is_checked(fleet):
    home = fleet.home()
    home.health.suspected = True
    assert fleet.home() is not home
    home.health.suspected = False
    for target in fleet.targets.all():
        target.health.suspected = True
    assert fleet.place() is not None


def test_prefix_is_copied_from_any_target_that_held_it(fleet):
    """The last one crashed; the one before has it still."""
    home = fleet.home()
    home.in_flight = 60
    second = fleet.home()
    second.health.unreachable = True
    choice = fleet.place()
    assert choice.target not in (home, second)
    assert choice.copy_from is home


def test_forgotten_prefix_is_copied_from_where_it_was(fleet):
    """A chat that comes back after some time finds its cache.

    By then targets have joined, and hashing may put it at one of them.
    """
    prefixes = [f"p{n}" for n in range(60)]
    homes = {name: fleet.home(name) for name in prefixes}
    for number in range(5, 9):
        fleet.targets.put(listing(str(number), started_ms=90_000))
    fleet.clock.advance(targets_module.ESTABLISHED_AFTER_MS + 1)
    moved = 0
    for name in prefixes:
        choice = fleet.place(name)
        if choice.target is not homes[name]:
            moved += 1
            assert choice.copy_from is homes[name]
    assert 15 < moved < 45


def test_router_that_starts_copies_from_where_prefixes_were(fleet, clock):
    """It remembers nothing; prefixes in use didn't go to newer targets."""
    prefixes = [f"p{n}" for n in range(60)]
    homes = {name: fleet.home(name).target_id for name in prefixes}
    started = Fleet(clock)
    for number in range(5, 9):
        started.targets.put(listing(str(number), started_ms=90_000))
    moved = 0
    for name in prefixes:
        choice = started.place(name)
        if choice.target.target_id != homes[name]:
            moved += 1
            assert choice.copy_from.target_id == homes[name]
    assert 15 < moved < 45


def test_nothing_is_copied_between_targets_that_started_together(clock):
    """A deployment that starts takes some seconds for it."""
    fleet = Fleet(clock)
    for number in range(5, 9):
        fleet.targets.put(listing(str(number), started_ms=100 + number * 400))
    choices = [fleet.place(f"p{n}") for n in range(60)]
    assert all(choice.copy_from is None for choice in choices)


def test_short_prefix_is_read_again(fleet):
    fleet.home().in_flight = 60
    tokens = selection_module.MIN_COPIED_TOKENS - 1
    assert fleet.place(tokens=tokens).copy_from is None


def test_nothing_is_copied_from_what_cannot_be_reached(fleet):
    """Else the target waits for its connection, and the caller with it."""
    home = fleet.home()
    home.health.unreachable = True
    choice = fleet.place()
    assert choice.target is not home
    assert choice.copy_from is None


def test_prefixes_of_a_leaving_target_are_copied_until_it_ends(fleet):
    home = fleet.home()
    fleet.targets.put(listing(home.target_id, leaving=True))
    choice = fleet.place()
    assert choice.target is not home
    assert choice.copy_from is home
    fleet.targets.remove(home.target_id)
    other = [f"p{n}" for n in range(40)]
    assert home not in [fleet.place(prefix).copy_from for prefix in other]


def test_prefixes_of_a_target_removed_without_a_word(fleet):
    """It serves on for the drain time; after that it may be gone."""
    prefixes = [f"p{n}" for n in range(40)]
    home = fleet.home(prefixes[0])
    at_home = [name for name in prefixes if fleet.home(name) is home]
    fleet.targets.remove(home.target_id)
    assert fleet.place(at_home[0]).copy_from is home
    fleet.clock.advance(DRAIN_MS)
    assert fleet.place(at_home[1]).copy_from is None


def test_nothing_is_copied_from_an_address_that_another_target_has(fleet):
    home = fleet.home()
    home.in_flight = 60
    moved = fleet.place().target
    home.in_flight = 0
    fleet.targets.mark_moved(moved)
    assert fleet.place().copy_from is None


def test_others_learn_where_prefixes_of_a_target_that_left_went(fleet):
    """Else each router would place them anew when the next target joins.

    A release replaces targets one by one: without the news a prefix moved
    again with each of them, though it was in use all the time.
    """
    home = fleet.home()
    fleet.targets.put(listing(home.target_id, leaving=True))
    fleet.targets.remove(home.target_id)
    moved_to = fleet.place().target
    key = hashing.hash64(b"p")
    assert fleet.locations.take_updates() == {key: moved_to.target_id}
    for number in range(5, 25):
        fleet.targets.put(listing(str(number)))
    assert fleet.place().target is moved_to
