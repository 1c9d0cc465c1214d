"""Streams go on only at the software version that began them."""

import asyncio
import contextlib
import dataclasses

import aiohttp
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import orjson
import pytest

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import peer_transport
from bulrushdale.platform import listings
from bulrushdale.platform import version_store
from bulrushdale.routing import reports
from bulrushdale.routing import targets as targets_module
from bulrushdale.routing import versions
from examples.standins import scripted_target
from tests import gateway_fixtures
from tests import test_peers
from tests import test_selection

LISTING = dataclasses.replace(test_selection.LISTING, target_id="t1")

EVENTS = 6
TIMEOUT_MS = 1_000
# The history of versions then reaches back as far as a stream may last.
SETTLED_AFTER_S = (TIMEOUT_MS + versions.MARGIN_MS) / 1000 + 0.5


def versioned_event(version, number):
    return b"id: %d\ndata: %b-%d\n\n" % (number, version.encode(), number)


class VersionedTarget:
    """Script of a target whose events name its software version.

    :ivar events: events until it breaks off; none to send all.
    :ivar full: whether it rejects requests without running them.
    """

    def __init__(self, version):
        self.version = version
        self.events = None
        self.full = False
        self.served = 0

    async def __call__(self, request, writer):
        if self.full:
            writer.write(
                scripted_target.response(
                    request, "503 Service Unavailable", X_Not_Executed="1"
                )
            )
            return None
        self.served += 1
        first = int(request.headers.get("last-event-id", -1)) + 1
        end = EVENTS if self.events is None else first + self.events
        writer.write(scripted_target.stream_head(request))
        for number in range(first, min(end, EVENTS)):
            event = versioned_event(self.version, number)
            writer.write(scripted_target.chunk(event))
        await writer.drain()
        if end < EVENTS:
            await asyncio.sleep(0.05)
            return False
        writer.write(scripted_target.chunk(b""))
        return None


async def list_target(deployment, name, version, state="ready"):
    """Write the entry of a target with a version of its software."""
    address = deployment.targets[int(name[1:]) - 1].address
    entry = orjson.loads(gateway_fixtures.make_entry(address, state=state))
    entry["version"] = version
    await deployment.store.put("keyed.servers", name, orjson.dumps(entry))


class Fleet:
    """A deployment of targets of several versions and two routers."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.scripts = {}

    async def add_targets(self, *versions):
        for version in versions:
            number = len(self.deployment.targets) + 1
            script = VersionedTarget(version)
            await self.deployment.add_target(f"t{number}", script)
            await list_target(self.deployment, f"t{number}", version)
            self.scripts[f"t{number}"] = script

    async def remove_target(self, name):
        """Take a target out of service, as after its planned stop."""
        await list_target(
            self.deployment, name, self.scripts.pop(name).version, "draining"
        )
        await self.deployment.store.put("keyed.servers", name, b"")

    async def add_router(self, name):
        seeds = tuple(r._address for r in self.deployment.routers[:1])
        router = await self.deployment.add_router(router=name, seeds=seeds)
        await self.deployment.wait_ready(router)

    async def stop_routers(self):
        """Stop all routers; nothing that they kept in memory remains."""
        for router in self.deployment.routers:
            await router.stop()
        self.deployment.routers.clear()

    def break_off(self, after_events):
        for script in self.scripts.values():
            script.events = after_events

    def set_healthy(self):
        for script in self.scripts.values():
            script.events = None

    async def ask(self, request_id, router=0, path="/plan/x", **headers):
        """Send a request; return the status, the data and completeness."""
        received = b""
        whole = True
        async with (
            aiohttp.ClientSession() as caller,
            caller.post(
                self.deployment.url(path, self.deployment.routers[router]),
                headers={
                    "Host": "example.test",
                    "X-Request-Id": request_id,
                    "X-Deadline-Ms": "3000",
                    "X-Prompt-Prefix": "a:900,b:10",
                    "Authorization": "Bearer key-1",
                    **headers,
                },
            ) as response,
        ):
            try:
                async for data in response.content.iter_any():
                    received += data
            except aiohttp.ClientError:
                whole = False
        data = [
            line.removeprefix("data: ")
            for line in received.decode().splitlines()
            if line.startswith("data: ")
        ]
        return response.status, data, whole

    async def take_up(self, request_id, resumes, data, router=0):
        headers = {"Resumes": resumes, "Last-Event-Id": str(len(data) - 1)}
        return await self.ask(request_id, router, **headers)


def versions_in(data):
    return {text.partition("-")[0] for text in data}


@pytest.fixture
async def fleet():
    """Two routers, one target of version v1 and one of v2."""
    deployment = gateway_fixtures.Deployment()
    async with deployment.stack:
        await deployment.start_store()
        await deployment.publish(timeout_ms=TIMEOUT_MS)
        fleet = Fleet(deployment)
        await fleet.add_targets("v1", "v2")
        await fleet.add_router("r1")
        await fleet.add_router("r2")
        await asyncio.sleep(0.7)
        yield fleet
        with contextlib.suppress(IndexError):
            await fleet.stop_routers()


async def test_router_does_not_join_streams_of_two_versions(fleet):
    fleet.break_off(2)
    for number in range(6):
        status, data, whole = await fleet.ask(f"q{number}")
        assert status == 200
        assert len(versions_in(data)) == 1
        assert not whole


async def test_take_up_is_not_joined_to_another_version(fleet):
    """The caller takes up its stream at the other router."""
    await asyncio.sleep(SETTLED_AFTER_S)
    went_on = 0
    for number in range(12):
        fleet.break_off(2)
        _, data, _ = await fleet.ask(f"q{number}", router=number % 2)
        fleet.set_healthy()
        status, rest, whole = await fleet.take_up(
            f"q{number}b", f"q{number}", data, router=1 - number % 2
        )
        if status == 200:
            assert len(versions_in(data + rest)) == 1
            went_on += whole
    assert went_on >= 10


async def test_take_up_after_loss_of_all_routers_is_not_joined(fleet):
    await asyncio.sleep(SETTLED_AFTER_S)
    streams = {}
    fleet.break_off(2)
    for number in range(12):
        _, streams[f"q{number}"], _ = await fleet.ask(f"q{number}")
    await asyncio.sleep(0.7)
    await fleet.stop_routers()
    fleet.set_healthy()
    await fleet.add_router("r1")
    went_on = 0
    for request_id, data in streams.items():
        status, rest, whole = await fleet.take_up(
            f"{request_id}b", request_id, data
        )
        if status == 200:
            assert len(versions_in(data + rest)) == 1
            went_on += whole
    assert went_on >= 6


async def test_take_up_is_not_joined_once_the_old_version_is_gone(fleet):
    """All routers are lost, and the old version left just before."""
    streams = {}
    fleet.break_off(2)
    for number in range(12):
        _, streams[f"q{number}"], _ = await fleet.ask(f"q{number}")
    await fleet.remove_target("t1")
    await asyncio.sleep(0.7)
    await fleet.stop_routers()
    fleet.set_healthy()
    await fleet.add_router("r1")
    for request_id, data in streams.items():
        status, rest, _ = await fleet.take_up(
            f"{request_id}b", request_id, data
        )
        if status == 200:
            assert len(versions_in(data + rest)) == 1


async def test_take_up_of_a_recent_change_is_known_at_other_routers(fleet):
    """Nothing is settled yet: the versions of streams are told by reports."""
    streams = {}
    fleet.break_off(2)
    for number in range(12):
        _, streams[f"q{number}"], _ = await fleet.ask(f"q{number}")
    await asyncio.sleep(0.4)
    fleet.set_healthy()
    for request_id, data in streams.items():
        status, rest, whole = await fleet.take_up(
            f"{request_id}b", request_id, data, router=1
        )
        assert (status, whole) == (200, True)
        assert len(versions_in(data + rest)) == 1


async def test_stream_that_begins_before_its_router_is_lost_is_known(
    fleet, monkeypatch
):
    # Reports are sent each 250 ms, and a lost router sends no other one.
    first = fleet.deployment.routers[0]
    send_reports = peer_transport.PeerTransport.send_reports
    reported = asyncio.Event()

    def send(transport, own):
        send_reports(transport, own)
        if transport is first._peer_transport and not own.partial:
            reported.set()

    monkeypatch.setattr(peer_transport.PeerTransport, "send_reports", send)
    fleet.break_off(2)
    await reported.wait()
    begun = await asyncio.gather(*(fleet.ask(f"q{n}") for n in range(12)))
    await asyncio.sleep(0.05)
    first._peer_transport._transport.abort()
    fleet.set_healthy()
    for number, (_, data, _) in enumerate(begun):
        status, rest, whole = await fleet.take_up(
            f"q{number}b", f"q{number}", data, router=1
        )
        assert (status, whole) == (200, True)
        assert len(versions_in(data + rest)) == 1


async def test_stream_of_a_version_without_targets_is_refused_at_once(fleet):
    await asyncio.sleep(SETTLED_AFTER_S)
    fleet.break_off(2)
    data = []
    number = 0
    while versions_in(data) != {"v1"}:
        number += 1
        _, data, _ = await fleet.ask(f"q{number}")
    await fleet.remove_target("t1")
    await asyncio.sleep(0.8)
    fleet.set_healthy()
    status, rest, _ = await fleet.take_up("again", f"q{number}", data)
    assert (status, rest) == (503, [])
    status, anew, whole = await fleet.ask("anew")
    assert (status, whole) == (200, True)
    assert versions_in(anew) == {"v2"}


async def test_take_up_that_names_no_stream_goes_on_at_a_single_version(fleet):
    await fleet.remove_target("t1")
    await asyncio.sleep(0.7)
    status, _, _ = await fleet.take_up("early", "", ["v2-0"])
    assert status == 503
    await asyncio.sleep(SETTLED_AFTER_S)
    status, rest, whole = await fleet.take_up("late", "", ["v2-0"])
    assert (status, whole) == (200, True)
    assert versions_in(rest) == {"v2"}


COMPOSITIONS = st.lists(
    st.dictionaries(
        st.sampled_from(["v1", "v2", "v3"]), st.integers(1, 9), min_size=1
    ),
    min_size=1,
    max_size=8,
)


@settings(derandomize=True, deadline=None)
@given(compositions=COMPOSITIONS, gaps_ms=st.lists(st.integers(0, 40_000)))
def test_version_of_a_stream_is_among_the_possible_ones(compositions, gaps_ms):
    """Whenever it began, at a router that restores what another one saved."""
    clock = clock_module.ManualClock()
    history = versions.VersionHistory(clock)
    history.update("s", versions.Composition((("v1", 1),)))
    clock.advance(60_000)
    began = []
    for number, counts in enumerate(compositions):
        composition = versions.Composition(tuple(sorted(counts.items())))
        history.update("s", composition)
        clock.advance(gaps_ms[number] if number < len(gaps_ms) else 1_000)
        stream_id = f"q{number}"
        version = composition.version_of(stream_id)
        began.append((clock.now_ms(), stream_id, version))
    restored = versions.VersionHistory(clock)
    restored.update("s", history.current("s"))
    saved = version_store._encode(history.dated("s"), 500)
    restored.restore("s", version_store._decode(saved, 500, clock.now_ms()))
    for known in (history, restored):
        for began_ms, stream_id, version in began:
            age_ms = clock.now_ms() - began_ms
            if age_ms > 15_000:
                continue
            possible = known.possible_versions("s", stream_id, 15_000)
            assert version in possible


def test_stream_is_not_placed_by_a_history_that_is_too_short(clock):
    history = versions.VersionHistory(clock)
    history.update("s", versions.Composition((("v1", 1),)))
    assert not history.possible_versions("s", "q1", 15_000)
    clock.advance(15_000 + versions.MARGIN_MS)
    assert history.possible_versions("s", "q1", 15_000) == {"v1"}


def test_streams_spread_over_versions_by_their_targets():
    composition = versions.Composition((("v1", 4), ("v2", 1)))
    found = [composition.version_of(f"q{n}") for n in range(5_000)]
    assert 0.17 < found.count("v2") / 5_000 < 0.23


def test_target_that_joins_changes_the_version_of_few_streams():
    before = versions.Composition((("v1", 4), ("v2", 1)))
    after = versions.Composition((("v1", 4), ("v2", 2)))
    moved = [
        (before.version_of(f"q{n}"), after.version_of(f"q{n}"))
        for n in range(5_000)
    ]
    changed = [pair for pair in moved if pair[0] != pair[1]]
    assert set(changed) == {("v1", "v2")}
    assert len(changed) / 5_000 < 0.17


def test_known_streams_are_bounded_and_expire(clock):
    streams = versions.StreamVersions(clock)
    for number in range(versions.MAX_STREAMS + 100):
        streams.record(f"q{number}", "v1")
    assert streams.get("q0") is None
    assert streams.get(f"q{versions.MAX_STREAMS}") == "v1"
    assert len(streams.to_report()) == versions.MAX_REPORTED_STREAMS
    clock.advance(versions.REPORTED_FOR_MS + 1)
    assert streams.to_report() == {}
    clock.advance(versions.HISTORY_MS)
    streams.merge({})
    assert streams.get(f"q{versions.MAX_STREAMS}") is None


@pytest.mark.parametrize(
    ("fields", "version"),
    [({}, "v1"), ({"version": None}, ""), ({"version": "x" * 64}, "x" * 64)],
)
def test_version_of_an_entry(fields, version):
    entry = orjson.loads(gateway_fixtures.make_entry("10.0.0.1:80"))
    entry.update(fields)
    listing = listings.decode("t1", orjson.dumps(entry))
    assert listing.version == version


@pytest.mark.parametrize("version", [3, ["v1"], {"v": 1}, "x" * 65])
def test_entry_whose_version_is_no_text_names_no_target(version):
    entry = orjson.loads(gateway_fixtures.make_entry("10.0.0.1:80"))
    entry["version"] = version
    with pytest.raises(listings.ListingError):
        listings.decode("t1", orjson.dumps(entry))


def test_version_that_changes_under_the_same_id_counts_at_once(clock):
    targets = targets_module.Targets(clock)
    targets.put(dataclasses.replace(LISTING, version="v1"))
    assert targets.composition(LISTING.service).counts == (("v1", 1),)
    targets.put(dataclasses.replace(LISTING, version="v2"))
    assert targets.composition(LISTING.service).counts == (("v2", 1),)


def test_streams_reach_other_data_centres(clock):
    own = test_peers.make_report("10.0.0.1:7", streams={1: "v1"})
    other = test_peers.make_report("10.0.0.2:7", streams={2: "v2"})
    total = reports.sum_reports(own, [other], is_fleet_total=True)
    total = dataclasses.replace(total, grants_permits=True)
    decoded = peer_transport.decode_report(peer_transport.encode_report(total))
    assert decoded.streams == {1: "v1", 2: "v2"}


async def test_take_up_goes_to_the_service_that_began_the_stream(fleet):
    """The route splits its requests between two services by their ids."""
    configuration = orjson.loads(
        gateway_fixtures.make_configuration(2, timeout_ms=TIMEOUT_MS)
    )
    for route in configuration["routes"]:
        route["traffic_split"] = [
            {"service": "oven", "weight": 1},
            {"service": "grill", "weight": 1},
        ]
    configuration["services"].append({"name": "grill"})
    store = fleet.deployment.store
    await store.put("keyed.op", "config", orjson.dumps(configuration))
    address = fleet.deployment.targets[1].address
    entry = orjson.loads(gateway_fixtures.make_entry(address, started_ms=2))
    entry["service"] = "grill"
    await store.put("keyed.servers", "t2", orjson.dumps(entry))
    await asyncio.sleep(SETTLED_AFTER_S)
    for number in range(12):
        fleet.break_off(2)
        _, data, _ = await fleet.ask(f"q{number}")
        fleet.set_healthy()
        status, rest, whole = await fleet.take_up(
            f"q{number}b", f"q{number}", data
        )
        assert (status, whole) == (200, True)
        assert len(versions_in(data + rest)) == 1


async def test_stream_that_begins_anew_is_not_bound_to_an_earlier_one(fleet):
    """It names an earlier stream but has received no event of it."""
    await asyncio.sleep(SETTLED_AFTER_S)
    for number in range(8):
        fleet.break_off(2)
        _, data, _ = await fleet.ask(f"q{number}", Resumes=f"old{number}")
        fleet.set_healthy()
        status, rest, whole = await fleet.take_up(
            f"q{number}b", f"q{number}", data
        )
        assert (status, whole) == (200, True)
        assert len(versions_in(data + rest)) == 1
