"""Links between routers: replacement, leases, timeouts, authentication."""

import asyncio

import pytest

from bulrushdale import clock as clock_module
from bulrushdale.control import control_pb2 as pb
from bulrushdale.fleet import link as link_module
from bulrushdale.fleet import links
from bulrushdale.fleet import members


class Handlers:
    """Records the callbacks for links."""

    def __init__(self) -> None:
        self.events: list[tuple[str, link_module.Link]] = []

    def heartbeat(self) -> pb.Heartbeat:
        return pb.Heartbeat()

    def link_opened(self, link: link_module.Link) -> None:
        self.events.append(("opened", link))

    def frame_received(self, link: link_module.Link, frame: pb.Frame) -> None:
        self.events.append(("received", link))

    def link_lost(self, link: link_module.Link) -> None:
        self.events.append(("lost", link))


@pytest.fixture
def handlers() -> Handlers:
    return Handlers()


@pytest.fixture
def own_links(
    clock: clock_module.ManualClock, handlers: Handlers
) -> links.Links:
    member = members.Member("router-0", "mid-a")
    known = members.Members(member, clock, 15_000)
    return links.Links(
        known, handlers, clock, "a-secret-of-the-fleet", 1_000, 3_500
    )


def hello(echo_ms: int = 0) -> pb.Frame:
    return pb.Frame(
        hello=pb.Hello(router="router-1", data_centre="mid-a"),
        heartbeat=pb.Heartbeat(sent_ms=7, echo_ms=echo_ms),
    )


async def test_new_link_replaces_the_previous_link(
    own_links, handlers
) -> None:
    first = own_links._open(hello())
    second = own_links._open(hello())
    assert [(name, link) for name, link in handlers.events] == [
        ("opened", first),
        ("lost", first),
        ("opened", second),
    ]
    own_links._remove(first)
    assert own_links.get("router-1") is second
    assert second.peer.linked


async def test_lease_runs_from_the_own_clock(own_links, clock) -> None:
    link = own_links._open(hello())
    sent_ms = clock.now_ms()
    clock.advance(6_000)
    own_links._apply_heartbeat(link, pb.Heartbeat(echo_ms=sent_ms))
    assert clock.now_ms() - link.echo_ms == 6_000


async def test_unresponsive_link_is_closed(own_links, clock) -> None:
    link = own_links._open(hello())
    clock.advance(3_400)
    own_links.send_heartbeats()
    assert not link.closed.is_set()
    clock.advance(200)
    own_links.send_heartbeats()
    assert link.closed.is_set()


def exchange(link, clock, count: int, gap_ms: int) -> None:
    for _ in range(count):
        clock.advance(gap_ms)
        link.record_frame(clock.now_ms())


@pytest.mark.parametrize(
    ("gap_ms", "heard_ms", "silent_ms"),
    [(10, 150, 151), (50, 350, 450), (1_200, 5_000, 9_700)],
)
async def test_peer_is_silent_after_several_mean_gaps(
    own_links, clock, gap_ms: int, heard_ms: int, silent_ms: int
) -> None:
    """A peer that sends heartbeats only isn't silent between two of them."""
    link = own_links._open(hello())
    exchange(link, clock, 60, gap_ms)
    clock.advance(heard_ms)
    assert not link.is_silent(clock.now_ms())
    clock.advance(silent_ms - heard_ms)
    assert link.is_silent(clock.now_ms())


async def test_peer_stays_silent_while_it_recovers(own_links, clock) -> None:
    """Its first frame may be older than what it has yet to tell."""
    link = own_links._open(hello())
    exchange(link, clock, 60, 10)
    exchange(link, clock, 1, 900)
    exchange(link, clock, 9, 11)
    assert link.is_silent(clock.now_ms())
    exchange(link, clock, 1, 1)
    assert not link.is_silent(clock.now_ms())


async def test_one_silence_hides_no_other(own_links, clock) -> None:
    link = own_links._open(hello())
    exchange(link, clock, 60, 10)
    exchange(link, clock, 1, 3_000)
    exchange(link, clock, 11, 10)
    assert not link.is_silent(clock.now_ms())
    clock.advance(300)
    assert link.is_silent(clock.now_ms())


async def test_messages_between_two_writes_share_one_frame(own_links) -> None:
    link = own_links._open(hello())
    link.queue().releases.append(1)
    link.queue().releases.append(2)
    frame = await asyncio.wait_for(link.next_frame(), 1)
    assert list(frame.releases) == [1, 2]


@pytest.mark.parametrize(
    "change_credentials",
    [
        lambda found: {},
        lambda found: {**found, "x-proof": "0" * 64},
        lambda found: {**found, "x-router": "router-2 1"},
    ],
)
def test_invalid_credentials_are_refused(
    own_links, change_credentials
) -> None:
    valid = own_links._credentials()
    assert own_links._is_authentic(valid)
    assert not own_links._is_authentic(change_credentials(valid))


def test_outdated_credentials_are_refused(own_links, clock) -> None:
    valid = own_links._credentials()
    clock.advance(links.AUTH_WINDOW_MS + 1)
    assert not own_links._is_authentic(valid)


class OpenStream:
    """A stream whose peer sends a hello frame and nothing more."""

    def __init__(self) -> None:
        self._frames = [hello()]

    async def recv_message(self) -> pb.Frame:
        if self._frames:
            return self._frames.pop()
        await asyncio.Event().wait()
        raise AssertionError

    async def send_message(self, frame: pb.Frame) -> None:
        """Accept and drop a frame."""


async def test_link_cancelled_twice_is_removed(own_links) -> None:
    """Remove the link although its call is cancelled twice.

    The server cancels a call for its stream and for its connection. The
    second cancellation must not skip the removal of the link.
    """
    call = asyncio.create_task(own_links._run(OpenStream()))
    await asyncio.sleep(0.01)
    assert own_links.get("router-1") is not None
    call.cancel()
    await asyncio.sleep(0)
    call.cancel()
    await asyncio.wait([call])
    assert own_links.get("router-1") is None


async def test_stopping_router_does_not_redial(own_links) -> None:
    own_links._members.get_or_add(
        "router-1", "mid-a"
    ).link_address = "127.0.0.1:1"
    call = asyncio.create_task(own_links._run(OpenStream()))
    await asyncio.sleep(0.01)
    await own_links.stop()
    await asyncio.wait([call])
    assert not own_links._dialling
