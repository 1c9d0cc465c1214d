"""Frame handler: catalogue changes and VM lists sent between peers."""

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


def make_router(name: str, clock: clock_module.Clock) -> types.SimpleNamespace:
    own = members.Member(name, "mid-a")
    context = types.SimpleNamespace(
        catalogue=state.Catalogue(),
        members=members.Members(own, clock, 15_000),
        links=slot_network.Links(),
        targets=types.SimpleNamespace(apply_vm_list=lambda _: None),
    )
    context.frame_handler = peering.FrameHandler(clock)
    context.frame_handler.bind(context)
    return context


@pytest.fixture
def pair(clock) -> abc.Iterator[tuple]:
    one, two = make_router("router-0", clock), make_router("router-1", clock)
    for here, there in ((one, two), (two, one)):
        peer = here.members.get_or_add(there.members.own.name, "mid-a")
        here.links.open[peer.name] = link_module.Link(peer, clock.now_ms())
    return one, two


def make_class(name: str, revision: int) -> entries.Entry:
    spec = {"weight": 1, "queue_ms": 10}
    return slot_network.entry("class", name, spec, revision)


def deliver_catalogue(sender, receiver) -> None:
    """Deliver the catalogue message that a router has queued."""
    link = sender.links.open[receiver.members.own.name]
    update = link._pending.catalogue
    link._pending = pb.Frame()
    return_link = receiver.links.open[sender.members.own.name]
    receiver.frame_handler._receive_catalogue(return_link, update)


def test_an_offset_is_sent_with_all_entries_below_it(pair):
    one, two = pair
    two.catalogue.advance(3)
    one.catalogue.advance(3)
    # The first router accepted the entry before its link to the peer opened.
    one.catalogue.merge([make_class("gold", 4)])
    one.catalogue.advance(4)
    one.frame_handler.send_log_changes(3)
    deliver_catalogue(one, two)
    assert two.catalogue.offset == 4
    assert two.catalogue.revision("class", "gold") == 4


def test_a_peer_that_missed_changes_requests_the_catalogue(pair):
    one, two = pair
    two.catalogue.advance(3)
    one.catalogue.merge([make_class("gold", 5), make_class("bronze", 8)])
    one.catalogue.advance(8)
    one.frame_handler.send_log_changes(7)
    deliver_catalogue(one, two)
    assert two.catalogue.offset == 3
    deliver_catalogue(two, one)
    deliver_catalogue(one, two)
    assert two.catalogue.offset == 8
    assert two.catalogue.revision("class", "gold") == 5


def test_a_stale_peer_does_not_restore_a_deleted_entry(pair):
    one, two = pair
    one.catalogue.merge([make_class("gold", 2)])
    one.catalogue.advance(2)
    deleted = entries.Entry("class", "gold", 6, None, 0, "tester")
    two.catalogue.merge([deleted])
    two.catalogue.advance(6)
    one.frame_handler._send_catalogue(one.links.open["router-1"])
    deliver_catalogue(one, two)
    assert two.catalogue.offset == 6
    assert two.catalogue.revision("class", "gold") == 0


def make_vm(name: str, leaving: bool = False) -> vms.Vm:
    return vms.Vm(name, False, "mid-a", f"http://{name}", "", leaving)


def deliver_vm_list(sender, receiver) -> pb.VmList:
    """Deliver the VM list that a router has queued, and return it."""
    link = sender.links.open[receiver.members.own.name]
    message = link._pending.vm_list
    link._pending = pb.Frame()
    return_link = receiver.links.open[sender.members.own.name]
    receiver.frame_handler._receive_vm_list(return_link, message)
    return message


def test_only_changes_of_the_list_are_sent(pair) -> None:
    one, two = pair
    one.frame_handler.update_vm_list(
        1, [make_vm("a"), make_vm("b"), make_vm("c")]
    )
    deliver_vm_list(one, two)
    one.frame_handler.update_vm_list(
        2, [make_vm("a"), make_vm("b", leaving=True)]
    )
    message = deliver_vm_list(one, two)
    assert [v.name for v in message.vms] == ["b"]
    assert list(message.removed) == ["c"]
    assert two.frame_handler._vm_list == (
        2,
        [make_vm("a"), make_vm("b", leaving=True)],
    )


def test_a_peer_that_missed_a_list_requests_it(pair) -> None:
    one, two = pair
    one.frame_handler.update_vm_list(1, [make_vm("a")])
    one.links.open["router-1"]._pending = pb.Frame()
    one.frame_handler.update_vm_list(2, [make_vm("a"), make_vm("b")])
    deliver_vm_list(one, two)
    assert two.frame_handler._vm_list[0] == 0
    deliver_vm_list(two, one)
    deliver_vm_list(one, two)
    assert two.frame_handler._vm_list == (2, [make_vm("a"), make_vm("b")])


def test_two_list_changes_in_one_frame_are_not_merged(pair) -> None:
    one, two = pair
    one.frame_handler.update_vm_list(1, [make_vm("a")])
    deliver_vm_list(one, two)
    one.frame_handler.update_vm_list(2, [make_vm("a"), make_vm("b")])
    one.frame_handler.update_vm_list(3, [make_vm("b")])
    deliver_vm_list(one, two)
    deliver_vm_list(two, one)
    deliver_vm_list(one, two)
    assert two.frame_handler._vm_list == (3, [make_vm("b")])


def test_an_older_list_is_ignored(pair) -> None:
    one, two = pair
    two.frame_handler.update_vm_list(5, [make_vm("a")])
    one.frame_handler.update_vm_list(4, [make_vm("b")])
    deliver_vm_list(one, two)
    assert two.frame_handler._vm_list == (5, [make_vm("a")])
