"""Registers routers in the platform's store, where they find each other."""

import collections
from collections import abc
import logging

import orjson

from bulrushdale import clock as clock_module
from bulrushdale.platform import addresses
from bulrushdale.platform import store as store_module
from bulrushdale import records as records_module
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import reports

LOG = logging.getLogger(__name__)

# A router that receives reports of others learns of all routers from them.
# Only a router that receives none, because it has just started or was cut off,
# reads the store, because each call to the store costs money. A router that
# lost all others finds them again within this time.
READ_INTERVAL_MS = 15_000
# Delay before registration and discovery are retried if the store fails at the
# start.
RETRY_DELAY_MS = 1_000
# The router that reads the store for the fleet compares the entries with the
# live routers this often, and when it has forgotten a router.
ENTRIES_INTERVAL_MS = 600_000
# Entries changed in one go. The others follow the next time.
MAX_CHANGED_ENTRIES = 64
# Forgotten routers that are remembered until their entries are dropped. A
# router whose entry is found later is forgotten once more.
MAX_FORGOTTEN = 1_024
# Bandwidths beyond this come from another writer.
MAX_LINK_MBPS = 10_000_000


def encode_member(member: reports.Member) -> bytes:
    """Encode a member for the store."""
    return orjson.dumps([member.data_centre, member.link_mbps])


def decode_member(value: bytes) -> reports.Member:
    """Decode a member from the store.

    :raises ValueError: if it isn't a valid member.
    """
    fields = orjson.loads(value)
    if not isinstance(fields, list) or len(fields) != 2:
        raise ValueError("expected two fields")
    data_centre, link_mbps = fields
    if not isinstance(data_centre, str) or type(link_mbps) is not int:
        raise ValueError("expected a string and an integer")
    if not 0 <= link_mbps <= MAX_LINK_MBPS:
        raise ValueError("the bandwidth is out of range")
    return reports.Member(data_centre, link_mbps)


async def register_and_discover(
    store: store_module.Store,
    address: str,
    member: reports.Member,
    peers: peers_module.Peers,
    clock: clock_module.Clock,
    on_attempt: abc.Callable[[], None] = lambda: None,
    on_first_start: abc.Callable[[], None] = lambda: None,
    reads_store: abc.Callable[[], bool] = lambda: False,
) -> None:
    """Register this router and discover the others until cancelled.

    A router registers before it reads the entries of the others: of two
    routers that start at the same time, the one that registers last finds the
    other, which then learns of it from its reports.

    :param store: the platform's store.
    :param address: IP and port of this router's peer transport.
    :param member: data centre and link speed of this router.
    :param peers: receives the other routers.
    :param clock: the clock.
    :param on_attempt: called after each attempt at the start to find the
        others, whether it succeeded or failed.
    :param on_first_start: called once this router is registered, if no router
        has started twice.
    :param reads_store: returns whether this router reads the store for the
        fleet.
    """
    registered = False
    page = None
    while not registered or page is None:
        registered = registered or await _register(store, address, member)
        page = await _discover(store, peers)
        on_attempt()
        if not registered or page is None:
            await clock.sleep_ms(RETRY_DELAY_MS)
    # Each start writes one record of its router. An entry that is dropped adds
    # a record and takes a router away, one that is written again adds both, so
    # a later start is never taken for the first one.
    starts, routers = page.next_offset, len(page.records)
    LOG.info(
        "registered this router",
        extra={
            "event": "router.registered",
            "starts": starts,
            "routers": routers,
        },
    )
    if starts <= routers:
        on_first_start()
    forgotten: collections.deque[str] = collections.deque(maxlen=MAX_FORGOTTEN)
    next_entries_ms = clock.now_ms() + ENTRIES_INTERVAL_MS
    while True:
        await clock.sleep_ms(READ_INTERVAL_MS)
        forgotten.extend(peers.forget())
        if not peers.live():
            await _discover(store, peers)
        elif reads_store() and (
            forgotten or clock.now_ms() >= next_entries_ms
        ):
            next_entries_ms = clock.now_ms() + ENTRIES_INTERVAL_MS
            if await _update_entries(
                store, peers, set(forgotten), {address: member}
            ):
                forgotten.clear()


async def _register(
    store: store_module.Store, address: str, member: reports.Member
) -> bool:
    """Register this router as a member; return whether that succeeded."""
    try:
        await store.put(
            store_module.ROUTERS_TOPIC, address, encode_member(member)
        )
    except records_module.SourceError as error:
        LOG.warning(
            "failed to register this router",
            extra={"event": "router.unregistered", "reason": str(error)},
        )
        return False
    return True


async def _discover(
    store: store_module.Store, peers: peers_module.Peers
) -> records_module.Page | None:
    """Add all registered routers.

    :return: their entries; none if the store doesn't answer.
    """
    try:
        page = await store.read_newest(store_module.ROUTERS_TOPIC)
    except records_module.SourceError as error:
        LOG.warning(
            "failed to read the entries of other routers",
            extra={"event": "router.list", "reason": str(error)},
        )
        return None
    for record in page.records:
        _add_peer(peers, record)
    return page


async def _update_entries(
    store: store_module.Store,
    peers: peers_module.Peers,
    forgotten: set[str],
    own: abc.Mapping[str, reports.Member],
) -> bool:
    """Drop the entries of forgotten routers, and write those that lack.

    A router that was cut off for long comes back without an entry, and so
    does one that registered after the copy from which the store came back.
    An entry of a router that isn't known is added: either it reports, or it
    is forgotten in turn. Nothing is written if another router has registered
    since the read.

    :param store: the platform's store.
    :param peers: the other routers.
    :param forgotten: addresses of the routers that were forgotten.
    :param own: this router, by its address.
    :return: whether all is done.
    """
    known = {*peers.addresses(), *own}
    dropped = restored = 0
    done = False
    try:
        page = await store.read_newest(store_module.ROUTERS_TOPIC)
        listed = {record.key for record in page.records}
        for record in page.records:
            if record.key not in known and record.key not in forgotten:
                _add_peer(peers, record)
        changes = [(key, b"") for key in listed & forgotten - known]
        changes += [
            (address, encode_member(member))
            for address, member in {**peers.alive_members(), **own}.items()
            if address not in listed and member.data_centre
        ]
        for at, (key, value) in enumerate(
            changes[:MAX_CHANGED_ENTRIES], page.next_offset
        ):
            await store.put(store_module.ROUTERS_TOPIC, key, value, at)
            dropped += not value
            restored += bool(value)
        done = len(changes) <= MAX_CHANGED_ENTRIES
    except records_module.SourceError as error:
        LOG.warning(
            "failed to update the entries of routers",
            extra={"event": "router.entries_kept", "reason": str(error)},
        )
    if dropped or restored:
        LOG.info(
            "entries of routers updated",
            extra={
                "event": "router.entries",
                "dropped": dropped,
                "restored": restored,
            },
        )
    return done


def _add_peer(
    peers: peers_module.Peers, record: records_module.KeyedRecord
) -> None:
    """Add the router that an entry describes; skip an invalid entry."""
    try:
        if not addresses.is_valid(record.key):
            raise ValueError("the address is invalid")
        member = decode_member(record.value or b"")
    except ValueError as error:
        LOG.warning(
            "invalid entry of a router skipped",
            extra={
                "event": "router.bad_entry",
                "peer": record.key,
                "reason": str(error),
            },
        )
        return
    peers.add(record.key, member)
