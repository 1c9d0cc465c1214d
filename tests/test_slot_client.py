"""Slots across several routers: the bound holds if routers disagree."""

import collections
from collections import abc
import math

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from tests import slot_network

PROMISE = {"load_multiple": 1.25, "least_bound": 2, "team_share": 1.0}
NAMES = ["router-0", "router-1", "router-2"]


@pytest.fixture
def network() -> abc.Iterator[slot_network.Network]:
    fleet = slot_network.Network(3, PROMISE)
    fleet.connect_all()
    fleet.step(3_000)
    yield fleet
    fleet.stop()


def coordinator(network: slot_network.Network, name: str) -> str | None:
    return network.nodes[name].slot_client._sessions[("chat", 0)].coordinator


def held(network: slot_network.Network) -> int:
    """Return the number of slots that all routers hold."""
    return sum(len(node.grants) for node in network.nodes.values())


def surge(network: slot_network.Network, name: str, count: int) -> None:
    """Let a router request slots, 50 ms apart, for two prefixes in turn."""
    for number in range(count):
        network.request_slot(name, number % 2)
        network.settle(2)
        network.clock.advance(50)
        for other in NAMES:
            network.maintain(other)
        network.settle(2)


def test_all_routers_attach_to_one_coordinator(network) -> None:
    assert len({coordinator(network, name) for name in NAMES}) == 1


def test_surge_on_two_prefixes_stays_within_bound(network) -> None:
    for name in NAMES:
        surge(network, name, 10)
    assert held(network) == 30
    assert network.violations == []


def test_draining_coordinator_hands_over(network) -> None:
    previous = coordinator(network, "router-0")
    surge(network, "router-1", 6)
    network.nodes[previous].members.own.draining = True
    network.step(2_000)
    assert coordinator(network, "router-1") != previous
    surge(network, "router-1", 6)
    assert held(network) == 12
    assert network.violations == []
    scheduler = network.nodes[
        coordinator(network, "router-1")
    ].schedulers.scheduler(("chat", 0))
    assert scheduler.in_flight == 12


def test_frozen_coordinator_and_successor_stay_within_bound(network) -> None:
    """The coordinator thaws after its successor has granted more slots."""
    previous = coordinator(network, "router-0")
    others = [name for name in NAMES if name != previous]
    surge(network, others[0], 9)
    network.nodes[previous].frozen = True
    for name in others:
        surge(network, name, 4)
    network.step(8_000)
    network.connect_all()
    assert coordinator(network, others[0]) != previous
    for name in others:
        surge(network, name, 10)
    network.nodes[previous].frozen = False
    for name in NAMES:
        surge(network, name, 5)
    network.step(500)
    assert network.violations == []
    assert held(network) > 9


def test_both_sides_of_partition_stay_within_bound(network) -> None:
    """A coordinator that is cut off from the majority grants nothing."""
    previous = coordinator(network, "router-0")
    others = [name for name in NAMES if name != previous]
    network.cuts = {frozenset((previous, name)) for name in others}
    network.step(8_000)
    assert coordinator(network, previous) == previous
    assert (
        coordinator(network, others[0])
        == coordinator(network, others[1])
        != previous
    )
    for name in NAMES:
        surge(network, name, 12)
    assert network.violations == []
    assert len(network.nodes[previous].grants) == 0
    assert held(network) == 24
    network.cuts = set()
    network.connect_all()
    network.step(4_000)
    assert len({coordinator(network, name) for name in NAMES}) == 1
    assert network.violations == []


@pytest.mark.parametrize("starts_in_frame", [False, True])
def test_releases_of_a_frame_come_before_grants(
    network, starts_in_frame: bool
) -> None:
    """A slot that has yet to be released would raise the bound."""
    home = coordinator(network, "router-0")
    name = next(name for name in NAMES if name != home)
    for _ in range(30):
        network.request_slot(name, 0)
    network.settle()
    network.clock.advance(50)
    network.maintain(home)
    network.flush(home, name)
    network.handle_frames(name, home)
    if not starts_in_frame:
        network.settle()
    node = network.nodes[name]
    kept = node.grants[0].target
    for grant in node.grants:
        if grant.target != kept:
            node.slot_client.release(grant)
    network.clock.advance(50)
    network.settle()
    assert network.violations == []


def test_slots_of_killed_router_are_kept_for_5_s_at_most(network) -> None:
    """A refused connection shows the kill only after the link was lost."""
    home = coordinator(network, "router-0")
    killed = next(name for name in NAMES if name != home)
    surge(network, killed, 4)
    network.nodes[killed].frozen = True
    network.close(network.nodes[home], killed)
    network.step(100)
    network.nodes[home].members.get(killed).connection_refused = True
    scheduler = network.nodes[home].schedulers.scheduler(("chat", 0))
    network.step(4_500)
    assert scheduler.in_flight == 4
    network.step(500)
    assert scheduler.in_flight == 0


@pytest.mark.parametrize(("refused", "left"), [(True, 0), (False, 4)])
def test_slots_of_killed_router_end_with_their_answers(
    network, refused: bool, left: int
) -> None:
    """A router that can't be reached may still use a grant."""
    home = coordinator(network, "router-0")
    killed = next(name for name in NAMES if name != home)
    surge(network, killed, 4)
    network.nodes[killed].frozen = True
    network.close(network.nodes[home], killed)
    network.nodes[home].members.get(killed).connection_refused = refused
    network.nodes[killed].grants.clear()
    network.step(2_500)
    scheduler = network.nodes[home].schedulers.scheduler(("chat", 0))
    assert scheduler.in_flight == left


def test_ended_answers_of_frozen_router_do_not_raise_bound(network) -> None:
    home = coordinator(network, "router-0")
    frozen, other = (name for name in NAMES if name != home)
    surge(network, frozen, 15)
    network.nodes[frozen].frozen = True
    network.step(900)
    for _ in range(12):
        # All of one prefix.
        surge(network, other, 1)
    loads = collections.Counter(g.target for g in network.nodes[other].grants)
    assert loads.total() == 12
    assert max(loads.values()) <= math.ceil(1.25 * 12 / 3)
    assert network.violations == []


def test_coordinator_that_stood_still_learns_of_ends_before_it_grants(
    network,
) -> None:
    home = coordinator(network, "router-0")
    ended, other = (name for name in NAMES if name != home)
    surge(network, ended, 12)
    surge(network, other, 12)
    network.nodes[home].frozen = True
    network.step(900)
    for _ in range(12):
        network.release(ended)
    for _ in range(4):
        network.request_slot(other, 0)
    network.nodes[home].frozen = False
    granted = network.granted
    network.flush(other, home)
    network.handle_frames(home, other)
    assert network.granted == granted
    network.step(200)
    assert held(network) == 16
    assert network.violations == []


class Fleet(stateful.RuleBasedStateMachine):
    """Partitions, freezes, delays and surges in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.network = slot_network.Network(3, PROMISE)
        self.network.connect_all()
        self.network.step(500)

    @stateful.rule(name=st.sampled_from(NAMES), count=st.integers(1, 6))
    def request_slots(self, name: str, count: int) -> None:
        for number in range(count):
            self.network.request_slot(name, number % 2)

    @stateful.rule(name=st.sampled_from(NAMES), count=st.integers(1, 6))
    def release(self, name: str, count: int) -> None:
        for _ in range(count):
            self.network.release(name)

    @stateful.rule(
        one=st.sampled_from(NAMES),
        two=st.sampled_from(NAMES),
        both=st.booleans(),
    )
    def deliver(self, one: str, two: str, both: bool) -> None:
        if one == two:
            return
        self.network.flush(one, two)
        if both:
            self.network.handle_frames(two, one)

    @stateful.rule()
    def settle(self) -> None:
        self.network.settle()

    @stateful.rule(
        name=st.sampled_from(NAMES), delta_ms=st.sampled_from([200, 1_300])
    )
    def time_passes_for_one(self, name: str, delta_ms: int) -> None:
        self.network.sample_loads()
        self.network.clock.advance(delta_ms)
        self.network.send_heartbeats(name)
        self.network.probe(name)
        self.network.maintain(name)

    @stateful.rule(delta_ms=st.sampled_from([300, 1_000, 4_000]))
    def time_passes(self, delta_ms: int) -> None:
        self.network.step(delta_ms)

    @stateful.rule(name=st.sampled_from(NAMES))
    def freeze_or_thaw(self, name: str) -> None:
        node = self.network.nodes[name]
        node.frozen = not node.frozen

    @stateful.rule(one=st.sampled_from(NAMES), two=st.sampled_from(NAMES))
    def cut_or_restore(self, one: str, two: str) -> None:
        if one != two:
            self.network.cuts ^= {frozenset((one, two))}

    @stateful.rule()
    def connect_all_pairs(self) -> None:
        names = NAMES
        for one, two in (names[:2], names[1:], names[::2]):
            self.network.connect(one, two)

    @stateful.rule(name=st.sampled_from(NAMES))
    def drain(self, name: str) -> None:
        own = self.network.nodes[name].members.own
        own.draining = not own.draining

    @stateful.invariant()
    def load_stays_within_bound(self) -> None:
        assert self.network.violations == []

    def teardown(self) -> None:
        self.network.stop()


Fleet.TestCase.settings = settings(
    max_examples=12, stateful_step_count=25, derandomize=True, deadline=None
)
TestFleet = Fleet.TestCase


def test_thawed_coordinator_stays_within_bound(network) -> None:
    """Load limits from before a freeze must not raise the bound.

    The coordinator is frozen until its successor has granted slots. Then it
    thaws, cut off from one router and linked to the other one, which requests
    more slots.
    """
    previous = coordinator(network, "router-0")
    linked, cut_off = [name for name in NAMES if name != previous]
    surge(network, linked, 3)
    network.nodes[previous].frozen = True
    network.step(8_000)
    network.connect_all()
    for name in (linked, cut_off):
        surge(network, name, 8)
    network.nodes[previous].frozen = False
    network.cuts = {frozenset((previous, cut_off))}
    for other in (linked, cut_off):
        network.close(network.nodes[previous], other)
    network.connect(previous, linked)
    network.settle()
    for _ in range(4):
        network.step(200)
        surge(network, linked, 3)
    assert network.violations == []
