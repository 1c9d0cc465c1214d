"""What routers tell each other of the catalogue."""

from collections import abc
import types

import pytest

from bulrushdale.catalogue import entries
from bulrushdale.catalogue import state
from bulrushdale import clock as clock_module
from bulrushdale.control import control_pb2 as pb
from bulrushdale.fleet import link as link_module
from bulrushdale.fleet import members
from bulrushdale import peering
from bulrushdale.platform import vms
from tests import slot_network


def router(name: str, clock: clock_module.Clock) -> types.SimpleNamespace:
    own = members.Member(name, "mid-a")
    context = types.SimpleNamespace(
        catalogue=state.Catalogue(),
        members=members.Members(own, clock, 15_000),
        links=slot_network.Links(),
        targets=types.SimpleNamespace(apply_list=lambda _: None),
    )
    context.peering = peering.Peering(clock)
    context.peering.bind(context)
    return context


@pytest.fixture
def pair(clock) -> abc.Iterator[tuple]:
    one, two = router("router-0", clock), router("router-1", clock)
    for here, there in ((one, two), (two, one)):
        peer = here.members.get_or_add(there.members.own.name, "mid-a")
        here.links.open[peer.name] = link_module.Link(peer, clock.now_ms())
    return one, two


def entry(name: str, revision: int) -> entries.Entry:
    spec = {"weight": 1, "queue_ms": 10}
    return slot_network.entry("class", name, spec, revision)


def send(source, sink) -> None:
    """Carry the catalogue message that one router has queued."""
    out = source.links.open[sink.members.own.name]
    update = out._pending.catalogue
    out._pending = pb.Frame()
    back = sink.links.open[source.members.own.name]
    sink.peering._receive_catalogue(back, update)


def test_an_offset_is_not_passed_on_without_the_entries_below_it(pair):
    one, two = pair
    two.catalogue.advance(3)
    one.catalogue.advance(3)
    # The entry was accepted here before the link to the peer was open.
    one.catalogue.merge([entry("gold", 4)])
    one.catalogue.advance(4)
    one.peering.send_log_changes(3)
    send(one, two)
    assert two.catalogue.offset == 4
    assert two.catalogue.revision("class", "gold") == 4


def test_a_peer_that_missed_changes_asks_for_everything(pair):
    one, two = pair
    two.catalogue.advance(3)
    one.catalogue.merge([entry("gold", 5), entry("bronze", 8)])
    one.catalogue.advance(8)
    one.peering.send_log_changes(7)
    send(one, two)
    assert two.catalogue.offset == 3
    send(two, one)
    send(one, two)
    assert two.catalogue.offset == 8
    assert two.catalogue.revision("class", "gold") == 5


def test_a_stale_peer_can_not_bring_an_entry_back(pair):
    one, two = pair
    one.catalogue.merge([entry("gold", 2)])
    one.catalogue.advance(2)
    deleted = entries.Entry("class", "gold", 6, None, 0, "tester")
    two.catalogue.merge([deleted])
    two.catalogue.advance(6)
    one.peering._send_catalogue(one.links.open["router-1"])
    send(one, two)
    assert two.catalogue.offset == 6
    assert two.catalogue.revision("class", "gold") == 0


def vm(name: str, leaving: bool = False) -> vms.Vm:
    return vms.Vm(name, False, "mid-a", f"http://{name}", "", leaving)


def send_list(source, sink) -> pb.VmList:
    """Carry the VM list that one router has queued."""
    out = source.links.open[sink.members.own.name]
    message = out._pending.vm_list
    out._pending = pb.Frame()
    back = sink.links.open[source.members.own.name]
    sink.peering._receive_list(back, message)
    return message


def test_only_changes_of_the_list_are_passed_on(pair) -> None:
    one, two = pair
    one.peering.update_list(1, [vm("a"), vm("b"), vm("c")])
    send_list(one, two)
    one.peering.update_list(2, [vm("a"), vm("b", leaving=True)])
    message = send_list(one, two)
    assert [v.name for v in message.vms] == ["b"]
    assert list(message.removed) == ["c"]
    assert two.peering._list == (2, [vm("a"), vm("b", leaving=True)])


def test_a_peer_that_missed_a_list_asks_for_all_of_it(pair) -> None:
    one, two = pair
    one.peering.update_list(1, [vm("a")])
    one.links.open["router-1"]._pending = pb.Frame()
    one.peering.update_list(2, [vm("a"), vm("b")])
    send_list(one, two)
    assert two.peering._list[0] == 0
    send_list(two, one)
    send_list(one, two)
    assert two.peering._list == (2, [vm("a"), vm("b")])


def test_two_changes_in_one_frame_are_not_mistaken_for_one(pair) -> None:
    one, two = pair
    one.peering.update_list(1, [vm("a")])
    send_list(one, two)
    one.peering.update_list(2, [vm("a"), vm("b")])
    one.peering.update_list(3, [vm("b")])
    send_list(one, two)
    send_list(two, one)
    send_list(one, two)
    assert two.peering._list == (3, [vm("b")])


def test_an_older_list_is_ignored(pair) -> None:
    one, two = pair
    two.peering.update_list(5, [vm("a")])
    one.peering.update_list(4, [vm("b")])
    send_list(one, two)
    assert two.peering._list == (5, [vm("a")])
