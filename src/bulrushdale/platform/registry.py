"""Routers find each other through the platform's store."""

import logging

import orjson

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import records as records_module
from bulrushdale.platform import store as store_module
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import reports

LOG = logging.getLogger(__name__)

# Reports between routers name the others too; the store is for those that
# hear none, because they start or were cut off. Each call to it is paid for;
# a router that missed the others at its start finds them within this time.
READ_INTERVAL_MS = 15_000
# Registering is tried again after this; the store is away or has just come.
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
    peers: peers_module.Peers,
    clock: clock_module.Clock,
) -> None:
    """Read where other routers are, until cancelled.

    :param store: the platform's store.
    :param peers: is told of them.
    :param clock: the clock.
    """
    while True:
        try:
            page = await store.newest(store_module.ROUTERS_TOPIC)
        except records_module.SourceError as error:
            LOG.warning(
                "routers can't be read",
                extra={"event": "router.list", "reason": str(error)},
            )
        else:
            for record in page.records:
                _introduce(peers, record)
        await clock.sleep_ms(READ_INTERVAL_MS)


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
    peers.introduce(record.key, member)


async def register(
    store: store_module.Store,
    address: str,
    member: reports.Member,
    clock: clock_module.Clock,
) -> None:
    """Tell the other routers where this one is; tries until it is done.

    :param store: the platform's store.
    :param address: IP and port of this router's links.
    :param member: where it runs.
    :param clock: the clock.
    """
    while True:
        try:
            await store.append(
                store_module.ROUTERS_TOPIC, address, encode_member(member)
            )
            return
        except records_module.SourceError as error:
            LOG.warning(
                "router not registered yet",
                extra={"event": "router.unregistered", "reason": str(error)},
            )
            await clock.sleep_ms(RETRY_DELAY_MS)
