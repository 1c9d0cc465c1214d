"""Routers that start while streams run of which they were told nothing."""

import asyncio
import zlib

import aiohttp
from aiohttp import test_utils
import orjson
import pytest

from bulrushdale.forwarding import stream_sync
from bulrushdale import hashing
from bulrushdale.platform import store as store_module
from bulrushdale.platform import stream_store
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import versions
from examples.standins import store as store_standin
from tests import gateway_fixtures
from tests import test_software_versions

STREAMS = 12


@pytest.fixture
async def fleet():
    """One router, one target of version v1 and one of v2."""
    deployment = gateway_fixtures.Deployment()
    async with deployment.stack:
        await deployment.start_store()
        await deployment.publish(timeout_ms=test_software_versions.TIMEOUT_MS)
        found = test_software_versions.Fleet(deployment)
        await found.add_targets("v1", "v2")
        await found.add_router("r1")
        await asyncio.sleep(test_software_versions.SETTLED_AFTER_S)
        yield found
        await found.stop_routers()


async def begin_streams(fleet, versions=frozenset({"v2"})):
    """Begin streams that break off; return their data by id.

    :param versions: versions that take requests; v1 rejects them.
    """
    fleet.scripts["t1"].full = True
    fleet.break_off(2)
    begun = {}
    for number in range(STREAMS):
        _, data, _ = await fleet.ask(f"q{number}")
        assert test_software_versions.versions_in(data) <= versions
        begun[f"q{number}"] = data
    fleet.scripts["t1"].full = False
    fleet.set_healthy()
    return begun


async def take_up_all(fleet, begun, router):
    """Take streams up; return how many went on, none of them joined."""
    went_on = 0
    for stream_id, data in begun.items():
        status, rest, whole = await fleet.take_up(
            f"{stream_id}b", stream_id, data, router
        )
        assert status in (200, 503)
        assert len(test_software_versions.versions_in(data + rest)) == 1
        went_on += status == 200 and whole
    return went_on


async def test_router_that_starts_joins_no_stream_that_it_was_not_told_of(
    fleet,
):
    # It took a stream's computed version for certain.
    begun = await begin_streams(fleet)
    await asyncio.sleep(versions.REPORTED_FOR_MS / 1000 + 0.3)
    await fleet.add_router("r2")
    assert await take_up_all(fleet, begun, router=1) == STREAMS


async def test_router_that_starts_goes_on_with_streams_of_a_recent_change(
    fleet,
):
    # Those that were told around a change of versions were unknown to it.
    await fleet.add_targets("v3")
    await asyncio.sleep(0.7)
    begun = await begin_streams(fleet, versions={"v2", "v3"})
    await asyncio.sleep(versions.REPORTED_FOR_MS / 1000 + 0.3)
    await fleet.add_router("r2")
    assert await take_up_all(fleet, begun, router=1) == STREAMS


async def test_router_that_stood_still_joins_no_stream_that_it_missed(
    fleet, monkeypatch
):
    # What was told while it stood still is not told again.
    await fleet.add_router("r2")
    await asyncio.sleep(test_software_versions.SETTLED_AFTER_S)
    second = fleet.deployment.routers[1]
    receive = peers_module.Peers.receive
    still = True
    monkeypatch.setattr(
        peers_module.Peers,
        "receive",
        lambda peers, report: (
            not (still and peers is second._peers) and receive(peers, report)
        ),
    )
    begun = await begin_streams(fleet)
    await asyncio.sleep(versions.REPORTED_FOR_MS / 1000 + 0.5)
    # It may go on before the first report arrives.
    assert await take_up_all(fleet, begun, router=1) == STREAMS
    still = False
    assert await take_up_all(fleet, begun, router=1) == STREAMS


async def test_router_that_starts_beside_an_earlier_version_goes_on(fleet):
    # Routers of earlier versions have no page to ask.
    fleet.deployment.routers[0]._peer_transport.pages.clear()
    fleet.break_off(2)
    begun = {}
    for number in range(STREAMS):
        _, begun[f"q{number}"], _ = await fleet.ask(f"q{number}")
    fleet.set_healthy()
    await asyncio.sleep(0.7)
    await fleet.add_router("r2")
    assert await take_up_all(fleet, begun, router=1) == STREAMS


@pytest.mark.parametrize("started", [1, 2])
async def test_no_stream_is_joined_after_the_loss_of_all_routers(
    fleet, started
):
    # Only the routers knew of the streams that began at another version.
    begun = await begin_streams(fleet)
    await asyncio.sleep(stream_store.MIN_WRITE_INTERVAL_MS / 1000 + 0.5)
    await fleet.stop_routers()
    await asyncio.gather(
        *(fleet.add_router(f"new{number}") for number in range(started))
    )
    assert await take_up_all(fleet, begun, router=started - 1) == STREAMS


async def test_streams_of_half_a_second_ago_are_known_after_a_loss(fleet):
    # The streams were saved once a second.
    saved = fleet.deployment.routers[0]._stream_store
    fleet.scripts["t1"].full = True
    fleet.break_off(2)
    begun = {}
    for name in ("a", "b"):
        ids = [f"{name}{number}" for number in range(STREAMS)]
        answers = await asyncio.gather(*map(fleet.ask, ids))
        begun |= {i: a[1] for i, a in zip(ids, answers, strict=True)}
        async with asyncio.timeout(5):
            while name == "a" and saved._saved is None:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
    await asyncio.sleep(0.4)
    fleet.scripts["t1"].full = False
    fleet.set_healthy()
    await fleet.stop_routers()
    await fleet.add_router("new")
    assert await take_up_all(fleet, begun, router=0) == 2 * STREAMS


async def test_take_ups_are_refused_until_the_saved_streams_are_read(fleet):
    # A router trusted the computed version though the store gave it nothing.
    begun = await begin_streams(fleet)
    await asyncio.sleep(stream_store.MIN_WRITE_INTERVAL_MS / 1000 + 0.5)
    await fleet.stop_routers()
    await fleet.add_router("new")
    (router,) = fleet.deployment.routers
    async with asyncio.timeout(5):
        await router._stream_sync.done.wait()
    router._context.check_streams = lambda: None
    router._stream_sync.done.clear()
    router._stream_versions._streams.clear()
    assert await take_up_all(fleet, begun, router=0) == 0


@pytest.mark.parametrize(
    "value", [b"{", b"[1]", b'[[1,"v1","x"]]', b"[[1,2,3]]", b'[["a","b",1]]']
)
async def test_invalid_saved_streams_are_skipped(clock, value):
    store = store_standin.Store()
    await store.put("keyed.streams", "latest", value)
    async with (
        test_utils.TestServer(store.app()) as server,
        aiohttp.ClientSession() as session,
    ):
        saved = stream_store.StreamStore(
            store_module.Store(session, str(server.make_url(""))),
            versions.StreamVersions(clock),
            clock,
        )
        assert await saved.read() == []


def test_streams_of_another_router_keep_their_age_and_expire(clock):
    known = versions.StreamVersions(clock)
    known.record("own", "v1")
    own_hash = hashing.name_hash("own")
    known.restore(
        [
            versions.KnownStream(1, "v2", versions.HISTORY_MS - 1_000),
            versions.KnownStream(2, "v2", 1_000),
            versions.KnownStream(own_hash, "v2", 0),
        ]
    )
    assert known.get("own") == "v1"
    clock.advance(1_001)
    assert [stream.stream_hash for stream in known.known()] == [2, own_hash]


def test_streams_read_from_other_routers_are_bounded(clock):
    known = versions.StreamVersions(clock)
    known.restore(
        versions.KnownStream(number, "v1", versions.MAX_STREAMS - number)
        for number in range(versions.MAX_STREAMS + 100)
    )
    assert len(known.known()) == versions.MAX_STREAMS
    assert known.known()[0].stream_hash == 100


def test_page_of_streams_is_read_as_it_was_written():
    streams = [versions.KnownStream(2**64 - 1, "v1", 5)]
    page = stream_sync.Page(streams, True)
    assert stream_sync.decode_page(stream_sync.encode_page(page)) == page


@pytest.mark.parametrize(
    "data",
    [
        [],
        {},
        {"streams": 1},
        {"streams": [[1, "v1"]]},
        {"streams": [[-1, "v1", 0]]},
        {"streams": [[1, "v" * 65, 0]]},
        {"streams": [[1, None, 0]]},
        {"streams": [["1", "v1", 0]]},
        {"streams": [[1, "v1", 0.5]]},
    ],
)
def test_invalid_page_of_streams_is_an_error(data):
    with pytest.raises(ValueError, match="."):
        stream_sync.decode_page(zlib.compress(orjson.dumps(data)))


@pytest.mark.parametrize("body", [b"", b"streams", b"\x78\x01\x00"])
def test_page_of_streams_that_is_cut_short_is_an_error(body):
    with pytest.raises(ValueError, match="."):
        stream_sync.decode_page(body)
