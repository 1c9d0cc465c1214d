"""Routers find each other through the platform's store."""

from collections import abc
import logging

import orjson

from bulrushdale import clock as clock_module
from bulrushdale.platform import store as store_module
from bulrushdale import records as records_module
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import reports

LOG = logging.getLogger(__name__)

# Reports between routers name the others too; the store is for those that
# hear none, because they start or were cut off. Each call to it is paid for;
# a router that lost all others finds them within this time.
READ_INTERVAL_MS = 15_000
# A start that the store did not answer is tried again after this.
RETRY_DELAY_MS = 1_000


def encode_member(member: reports.Member) -> bytes:
    """Return an entry as the store keeps it."""
    return orjson.dumps([member.data_centre, member.link_mbps])


def decode_member(value: bytes) -> reports.Member:
    """Return what an entry says of a router.

    :raises ValueError: if it is no entry.
    """
    fields = orjson.loads(value)
    if not isinstance(fields, list) or len(fields) != 2:
        raise ValueError("not two fields")
    data_centre, link_mbps = fields
    if not isinstance(data_centre, str) or not isinstance(link_mbps, int):
        raise ValueError("fields of other types")
    return reports.Member(data_centre, link_mbps)


async def follow(
    store: store_module.Store,
    address: str,
    member: reports.Member,
    peers: peers_module.Peers,
    clock: clock_module.Clock,
    note_tried: abc.Callable[[], None] = lambda: None,
) -> None:
    """Tell the others where this router is, and find them; until cancelled.

    A router reads after it has registered: of two that start at once the
    later one finds the other, and its reports tell the earlier one of it.

    :param store: the platform's store.
    :param address: IP and port of this router's links.
    :param member: where it runs.
    :param peers: is told of the others.
    :param clock: the clock.
    :param note_tried: called once the others are found, or can't be.
    """
    registered = found = False
    while not (registered and found):
        registered = registered or await _register(store, address, member)
        found = await _find(store, peers)
        note_tried()
        if not (registered and found):
            await clock.sleep_ms(RETRY_DELAY_MS)
    while True:
        await clock.sleep_ms(READ_INTERVAL_MS)
        if not peers.live():
            await _find(store, peers)


async def _register(
    store: store_module.Store, address: str, member: reports.Member
) -> bool:
    """Tell the others where this router is; return whether it was stored."""
    try:
        await store.put(
            store_module.ROUTERS_TOPIC, address, encode_member(member)
        )
    except records_module.SourceError as error:
        LOG.warning(
            "router not registered yet",
            extra={"event": "router.unregistered", "reason": str(error)},
        )
        return False
    return True


async def _find(store: store_module.Store, peers: peers_module.Peers) -> bool:
    """Read where the others are; return whether the store answered."""
    try:
        page = await store.newest(store_module.ROUTERS_TOPIC)
    except records_module.SourceError as error:
        LOG.warning(
            "routers can't be read",
            extra={"event": "router.list", "reason": str(error)},
        )
        return False
    for record in page.records:
        _introduce(peers, record)
    return True


def _introduce(
    peers: peers_module.Peers, record: records_module.KeyedRecord
) -> None:
    try:
        member = decode_member(record.value or b"")
    except ValueError as error:
        LOG.warning(
            "entry of a router skipped",
            extra={
                "event": "router.bad_entry",
                "peer": record.key,
                "reason": str(error),
            },
        )
        return
    peers.add(record.key, member)
