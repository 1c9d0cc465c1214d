"""Choice of which callers to give up when memory or connections run out."""

from collections import abc
import dataclasses
import enum

# A body of which nothing arrived for this long has stopped. Packets that are
# lost are resent within some 100 ms.
STALLED_BODY_MS = 1_000
# A caller that accepted nothing of a waiting response for this long reads
# slowly. Targets abort a response that isn't read for some seconds.
SLOW_READER_MS = 3_000
# A caller that opens a connection for a request sends it within this time.
NEW_CONNECTION_MS = 1_000


class Phase(enum.Enum):
    """What a request is doing."""

    # Its body is arriving, or waits until there is room for it.
    READING = "reading"
    # It is complete, and a target or a permit is awaited.
    WAITING = "waiting"
    # Its caller hasn't accepted all of its response that has arrived.
    WRITING = "writing"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request that holds memory.

    :param number: identifies it.
    :param phase: what it is doing.
    :param held_bytes: bytes held for it.
    :param idle_ms: time since its body or its response made progress, in ms;
        0 if this router holds it up.
    :param sent: whether it has been sent to a target.
    :param repeatable: whether it may run more than once.
    """

    number: int
    phase: Phase
    held_bytes: int
    idle_ms: float
    sent: bool
    repeatable: bool


class _Order(enum.IntEnum):
    """Groups of requests in the order in which they are given up."""

    STALLED_BODY = 0
    SLOW_READER = 1
    NOT_SENT = 2
    SENT = 3
    SENT_ONCE = 4


def is_stalled(request: Request) -> bool:
    """Return whether a request waits for a caller that does nothing."""
    if request.phase is Phase.READING:
        return request.idle_ms >= STALLED_BODY_MS
    return request.phase is Phase.WRITING and request.idle_ms >= SLOW_READER_MS


def _order(request: Request) -> _Order:
    if is_stalled(request):
        if request.phase is Phase.READING:
            return _Order.STALLED_BODY
        # A non-idempotent request is the last one to be cut off, although its
        # caller reads slowly.
        return _Order.SLOW_READER if request.repeatable else _Order.SENT_ONCE
    if not request.sent:
        return _Order.NOT_SENT
    return _Order.SENT if request.repeatable else _Order.SENT_ONCE


def choose(
    requests: abc.Iterable[Request], needed_bytes: int, *, urgent: bool
) -> list[Request]:
    """Return the requests to give up, until enough memory is free.

    :param requests: all requests that hold memory.
    :param needed_bytes: how much has to become free, in bytes.
    :param urgent: whether requests that make progress may be given up too.
        Otherwise only those are whose callers do nothing.
    :return: the requests, in the order in which to give them up: stalled
        bodies, slow readers, then those that hold most, with requests that
        were sent after the others and non-idempotent ones last.
    """
    candidates = [
        request
        for request in requests
        if request.held_bytes and (urgent or is_stalled(request))
    ]
    candidates.sort(
        key=lambda r: (_order(r), not is_stalled(r), -r.held_bytes)
    )
    chosen = []
    for request in candidates:
        if needed_bytes <= 0:
            break
        chosen.append(request)
        needed_bytes -= request.held_bytes
    return chosen


class ConnectionState(enum.IntEnum):
    """States of connections, in the order in which they are closed."""

    # A request head has begun to arrive and isn't complete.
    HEAD = 0
    # No request has arrived on it yet.
    UNUSED = 1
    # Its request waits for a caller that does nothing.
    STALLED = 2
    # It is idle for longer than callers may expect to keep it.
    EXPIRED = 3
    IDLE = 4
    # It has a request in progress and isn't closed.
    BUSY = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Connection:
    """A connection of a caller.

    :param number: identifies it.
    :param state: its state.
    :param idle_ms: how long it has been in this state, in ms.
    """

    number: int
    state: ConnectionState
    idle_ms: float


def _closing_state(connection: Connection) -> ConnectionState:
    """Return the state with which a new connection ranks, if busy ones do."""
    is_new = (
        connection.state <= ConnectionState.UNUSED
        and connection.idle_ms < NEW_CONNECTION_MS
    )
    return ConnectionState.BUSY if is_new else connection.state


def choose_connection(
    connections: abc.Iterable[Connection], *, may_be_busy: bool = False
) -> Connection | None:
    """Return the connection to close in favour of a new one.

    :param connections: the connections.
    :param may_be_busy: whether busy ones may be closed, after the others but
        new ones, which would otherwise never get to send a request.
    :return: the longest idle one of the first state that occurs; none if all
        are busy.
    """
    if may_be_busy:
        return min(
            connections,
            key=lambda c: (_closing_state(c), -c.idle_ms),
            default=None,
        )
    return min(
        (c for c in connections if c.state is not ConnectionState.BUSY),
        key=lambda c: (c.state, -c.idle_ms),
        default=None,
    )
