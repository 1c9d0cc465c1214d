"""Entries of other writers among those of the targets."""

import asyncio

import aiohttp
import hypothesis
from hypothesis import strategies
import orjson
import pytest

from bulrushdale.forwarding import peer_transport
from bulrushdale.platform import listings
from bulrushdale.routing import reports
from bulrushdale.routing import targets as targets_module
from tests import gateway_fixtures

VALID = orjson.loads(gateway_fixtures.make_entry("127.0.0.1:4000"))
NESTED = b"[" * 200_000 + b"]" * 200_000
ODD_VALUES = {
    "nested": NESTED,
    "nested_field": b'{"state": "ready", "slots": ' + NESTED + b"}",
    "bytes": b"\xff\x00\xfe",
    "empty": b"",
    "infinite": orjson.dumps(VALID).replace(b'"born":1', b'"born":1e999'),
    "many_digits": orjson.dumps(VALID).replace(
        b'"born":1', b'"born":' + b"9" * 5_000
    ),
}
ODD_FIELDS = [
    {"address": "127.0.0.1:99999"},
    {"address": "127.0.0.1:0"},
    {"address": "127.0.0.1:" + "9" * 5_000},
    {"address": "127.0.0.1:8²"},
    {"address": "127.0.0.1:-1"},
    {"address": "nowhere.example:4000"},
    {"address": "1:2:3:4000"},
    {"address": " 127.0.0.1:4000"},
    {"address": "127.0.0.1\r\n:4000"},
    {"born": 1e300},
    {"born": -1},
    {"born": 2**63},
    {"slots": 1e308},
    {"slots": -3},
    {"slots": 0},
    {"slots": 2**62},
    {"cold_remaining_ms": 1e300},
    {"cold_remaining_ms": -5},
    {"service": "x" * 100_000},
    {"zone": "x" * 100_000},
    {"version": {"a": 1}},
]


def entry(**fields):
    return orjson.dumps({**VALID, **fields})


@pytest.mark.parametrize("fields", ODD_FIELDS, ids=lambda f: str(f)[:40])
def test_entry_out_of_range_names_no_target(fields):
    with pytest.raises(listings.ListingError):
        listings.decode("t1", entry(**fields))


@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
def test_entry_that_cannot_be_read_names_no_target(value):
    with pytest.raises(listings.ListingError):
        listings.decode("t1", value)


def test_entry_with_an_id_that_is_too_long_names_no_target():
    with pytest.raises(listings.ListingError):
        listings.decode("t" * 1_000, entry())


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=5), inner, max_size=3
        )
    ),
    max_leaves=5,
)


@hypothesis.given(
    strategies.dictionaries(strategies.sampled_from(sorted(VALID)), JSON)
)
def test_any_entry_is_rejected_or_within_bounds(fields):
    value = entry(**fields)
    listings.comparison_key("t1", value)
    try:
        listing = listings.decode("t1", value)
    except listings.ListingError:
        return
    host, _, port = listing.address.rpartition(":")
    assert host and 1 <= int(port) <= 65_535
    assert listing.slots >= 1
    orjson.dumps([listing.started_ms, listing.slots, listing.slow_start_ms])


@pytest.fixture
async def deployment():
    async with gateway_fixtures.running_deployment("t0") as deployment:
        yield deployment


async def test_odd_entries_stop_neither_the_list_nor_the_reports(deployment):
    store = deployment.store
    for number, value in enumerate(
        [*ODD_VALUES.values(), *(entry(**fields) for fields in ODD_FIELDS)]
    ):
        await store.put("keyed.servers", f"odd{number}", value)
    # The entry of a target that is followed turns odd, too.
    await store.put("keyed.servers", "t0", entry(address="127.0.0.1:99999"))
    await deployment.add_target("t1")
    router = deployment.routers[0]
    async with asyncio.timeout(3):
        while router._targets.get("t1") is None:  # noqa: ASYNC110
            await asyncio.sleep(0.05)
    other = await deployment.add_router(router="r2")
    await deployment.wait_ready(other)
    assert router._targets.get("t0") is not None
    assert other._targets.get("t1") is not None
    # Both name all targets as leaving, and as limited, in their reports.
    for target in router._targets.all():
        target.leaving = True
        target.set_limit(3.0, router._clock.now_ms())
    async with asyncio.timeout(3):
        while not other._peers.live():  # noqa: ASYNC110
            await asyncio.sleep(0.05)
    before = other._peers._peers[router._address].report.sequence
    await asyncio.sleep(0.8)
    assert other._peers._peers[router._address].report.sequence > before
    assert all(not task.done() for task in router._background_tasks)
    async with (
        aiohttp.ClientSession() as caller,
        caller.post(
            deployment.url("/lookup/1", other),
            headers={
                "Host": "example.test",
                "X-Request-Id": "q1",
                "Authorization": "Bearer key-1",
            },
        ) as response,
    ):
        assert response.status in (200, 503)


def test_reports_hold_any_valid_start_of_a_target(clock):
    targets = targets_module.Targets(clock)
    listing = listings.decode("t1", entry(born=listings.MAX_STARTED_MS))
    targets.put(listing)
    targets.mark_leaving(targets.require("t1"), "test")
    report = reports.Report(
        "10.0.0.1:1",
        "dc1",
        1,
        1,
        1,
        False,
        0,
        {},
        {},
        {},
        leaving=targets.leaving_to_report(),
    )
    decoded = peer_transport.decode_report(
        peer_transport.encode_report(report)
    )
    assert decoded.leaving == (("t1", listings.MAX_STARTED_MS),)
