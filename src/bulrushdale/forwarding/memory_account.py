"""Account of the memory that is held for callers.

It counts request bodies and buffered responses, and beside them what their
connections take. A body or response beyond :data:`SMALL_BYTES` is held only
once there is room for it; small ones are counted, and refused only far above
the bound. While the sum of both is at its limit, connections don't read.
"""

import asyncio
import collections
from collections import abc

from bulrushdale import clock as clock_module
from bulrushdale import results
from bulrushdale.routing import refusals

# Bodies up to this size, and the beginning of others, don't wait for room.
SMALL_BYTES = 32 << 10
# What a process without requests takes: 50 MB, and 10 MB for the exporter of
# metrics, connections and the records of a large fleet.
IDLE_BYTES = 60 << 20
# The rest is for the buffers of connections, here and in the kernel, and for
# the second copy of a body while it is put together.
_HELD_SHARE = 0.5
# Bodies and what connections take together. The rest is for copies, for
# memory that the heap can't give back, and for what isn't counted.
_TOTAL_SHARE = 0.6
# Connections that wait read on below this share of the limit. Bodies leave
# the rest of it to them.
_READ_SHARE = 0.9
# Above this share of the limit connections keep no large heads.
_KEEP_SHARE = 0.5
# A body of 4 MiB, the usual maximum, fits on every machine.
_MIN_BOUND_BYTES = 8 << 20
# Small bodies are refused above this multiple of the bound.
_SMALL_EXCESS = 1.25
# Responses that have to be buffered whole may go beyond the bound as far, so
# that they don't wait for the requests that wait for them.
_RESPONSE_EXCESS = _SMALL_EXCESS
# Responses that may also be relayed unbuffered leave the rest of the bound to
# requests.
_BUFFER_SHARE = 0.4
# How long a body waits for room. Most callers have deadlines of some seconds,
# and may still ask another router in that time.
MAX_WAIT_MS = 2_000
# Fewer bytes in a whole STALLED_BODY_MS are no progress of a body.
MIN_PROGRESS_BYTES = 4 << 10


def bound_bytes(memory_mb: int, idle_bytes: int = IDLE_BYTES) -> int:
    """Return how many bytes may be held for callers.

    :param memory_mb: the machine's memory, in MB; 0 if it isn't known.
    :param idle_bytes: what the process takes without requests, in bytes.
    :return: the bound; 0 for none.
    """
    if not memory_mb:
        return 0
    spare_bytes = (memory_mb << 20) - idle_bytes
    return max(_MIN_BOUND_BYTES, int(spare_bytes * _HELD_SHARE))


def limit_bytes(memory_mb: int, idle_bytes: int = IDLE_BYTES) -> int:
    """Return how many bytes callers and their connections may take.

    :param memory_mb: the machine's memory, in MB; 0 if it isn't known.
    :param idle_bytes: what the process takes without requests, in bytes.
    :return: the limit; 0 for none.
    """
    if not memory_mb:
        return 0
    spare_bytes = (memory_mb << 20) - idle_bytes
    return max(2 * _MIN_BOUND_BYTES, int(spare_bytes * _TOTAL_SHARE))


def too_full() -> results.RefusedError:
    """Return the error of a request that there is no room for."""
    return refusals.refuse(
        results.Code.TOO_MANY_REQUESTS,
        "this router has no memory left for the request",
    )


# A future, and the bytes that it waits for.
_Waiter = tuple[asyncio.Future[None], int]


class MemoryAccount:
    """The bytes held for callers, and who waits until some are released.

    :param bound: how many may be held, in bytes; 0 for no bound.
    :param clock: the clock.
    :param on_first: called when a large body is held for the first time.
    :param limit: how many bytes bodies and connections may take together; 0
        for any number.

    :ivar bound_bytes: the same bound.
    :ivar limit_bytes: the same limit.
    :ivar held_bytes: bytes that are held or reserved.
    :ivar connection_bytes: bytes that connections take.
    :ivar clock: the clock.
    """

    __slots__ = (
        "bound_bytes",
        "limit_bytes",
        "held_bytes",
        "connection_bytes",
        "clock",
        "_on_first",
        "_waiters",
        "_waiting_responses",
        "_readers",
    )

    def __init__(
        self,
        bound: int,
        clock: clock_module.Clock,
        on_first: abc.Callable[[], None] | None = None,
        limit: int = 0,
    ) -> None:
        self._on_first = on_first
        self.bound_bytes = bound
        self.limit_bytes = limit
        self.held_bytes = 0
        self.connection_bytes = 0
        self.clock = clock
        # In the order in which they came, with the bytes that they wait for.
        self._waiters: collections.deque[_Waiter] = collections.deque()
        self._waiting_responses: collections.deque[_Waiter] = (
            collections.deque()
        )
        # What resumes the connections that wait until they may read.
        self._readers: dict[object, abc.Callable[[], None]] = {}

    @property
    def awaited_bytes(self) -> int:
        """Bytes that are waited for."""
        awaited_bytes = sum(
            size_bytes
            for waiters in (self._waiting_responses, self._waiters)
            for future, size_bytes in waiters
            if not future.done()
        )
        if self._readers:
            awaited_bytes += max(
                0, self._total_bytes - int(self.limit_bytes * _READ_SHARE)
            )
        return awaited_bytes

    @property
    def waiting_readers(self) -> int:
        """How many connections wait until they may read."""
        return len(self._readers)

    @property
    def _total_bytes(self) -> int:
        return self.held_bytes + self.connection_bytes

    @property
    def is_full(self) -> bool:
        """Whether connections wait until something is released."""
        return 0 < self.limit_bytes <= self._total_bytes

    @property
    def is_half_full(self) -> bool:
        """Whether idle connections have to take little."""
        return 0 < self.limit_bytes * _KEEP_SHARE <= self._total_bytes

    @property
    def overfull(self) -> bool:
        """Whether not even small bodies have room."""
        bound, limit = self.bound_bytes, self.limit_bytes
        return (
            bool(bound) and self.held_bytes > bound * _SMALL_EXCESS
        ) or 0 < limit * _SMALL_EXCESS < self._total_bytes

    def _room_bytes(self) -> int:
        """Return how many bytes bodies may take beside the connections."""
        if not self.limit_bytes:
            return self.bound_bytes
        spare_bytes = (
            int(self.limit_bytes * _READ_SHARE) - self.connection_bytes
        )
        return min(self.bound_bytes, max(_MIN_BOUND_BYTES, spare_bytes))

    def add_connection_bytes(self, size_bytes: int) -> None:
        """Count what connections take, whatever room there is.

        :param size_bytes: how much more; negative for less.
        """
        self.connection_bytes += size_bytes
        if size_bytes < 0:
            self._wake()

    def wait_to_read(
        self, reader: object, resume: abc.Callable[[], None]
    ) -> None:
        """Let a connection wait until there is room for what it reads.

        :param reader: the connection.
        :param resume: called once there is.
        """
        self._readers[reader] = resume

    def leave(self, reader: object) -> None:
        """Forget a connection that has ended."""
        self._readers.pop(reader, None)

    def try_add(self, size_bytes: int) -> bool:
        """Hold more bytes if there is room and nobody waits for it.

        :param size_bytes: how many.
        :return: whether they are held now.
        """
        if self.bound_bytes and (
            self._waiting_responses
            or self._waiters
            or self.held_bytes + size_bytes > self._room_bytes()
        ):
            return False
        if self._on_first is not None:
            self._on_first()
            self._on_first = None
        self.held_bytes += size_bytes
        return True

    def try_buffer(self, size_bytes: int) -> bool:
        """Hold more bytes of a response that may also be relayed unbuffered.

        :param size_bytes: how many.
        :return: whether they are held now.
        """
        return (
            not self.bound_bytes
            or self.held_bytes + size_bytes
            <= self._room_bytes() * _BUFFER_SHARE
        ) and self.try_add(size_bytes)

    async def add(self, size_bytes: int) -> None:
        """Hold more bytes once there is room.

        :param size_bytes: how many.
        :raises RefusedError: if there is none for long.
        """
        if not self.try_add(size_bytes):
            await self._wait(self._waiters, size_bytes, MAX_WAIT_MS)

    async def add_response(self, size_bytes: int, wait_ms: int) -> None:
        """Hold more bytes of a response once there is room.

        :param size_bytes: how many.
        :param wait_ms: how long to wait for room, in ms.
        :raises RefusedError: if there is none for so long.
        """
        if not self.try_add(size_bytes):
            await self._wait(self._waiting_responses, size_bytes, wait_ms)

    async def _wait(
        self,
        waiters: collections.deque[_Waiter],
        size_bytes: int,
        wait_ms: int,
    ) -> None:
        """Wait for room.

        :param waiters: the queue to wait in.
        :param size_bytes: how many bytes to hold.
        :param wait_ms: how long to wait, in ms.
        :raises RefusedError: if there is no room for so long.
        """
        future = asyncio.get_running_loop().create_future()
        waiter = (future, size_bytes)
        waiters.append(waiter)
        self._wake()
        try:
            async with asyncio.timeout(wait_ms / 1000):
                await future
        except BaseException as error:
            if waiter in waiters:
                waiters.remove(waiter)
                self._wake()
            elif not future.cancelled():
                # It was given room in the same turn in which it gave up.
                self.release(size_bytes)
            if isinstance(error, TimeoutError):
                raise too_full() from None
            raise

    def add_small(self, size_bytes: int) -> None:
        """Hold the bytes of a small body.

        :param size_bytes: how many.
        :raises RefusedError: if the memory is overfull.
        """
        if self.overfull:
            raise too_full()
        self.held_bytes += size_bytes

    def release(self, size_bytes: int) -> None:
        """Hold bytes no more.

        :param size_bytes: how many.
        """
        self.held_bytes -= size_bytes
        self._wake()

    def _wake(self) -> None:
        """Give room to those that wait, in turn, responses first."""
        if self._waiting_responses:
            self._serve(
                self._waiting_responses,
                int(self._room_bytes() * _RESPONSE_EXCESS),
            )
        if self._waiters and not self._waiting_responses:
            self._serve(self._waiters, self._room_bytes())
        if self._readers and (
            self._total_bytes < self.limit_bytes * _READ_SHARE
        ):
            readers, self._readers = self._readers, {}
            for resume in readers.values():
                resume()

    def _serve(
        self, waiters: collections.deque[_Waiter], limit_bytes: int
    ) -> None:
        """Give room to those in a queue, as far as a limit allows."""
        while waiters:
            future, size_bytes = waiters[0]
            if self.held_bytes and (
                self.held_bytes + size_bytes > limit_bytes
            ):
                return
            waiters.popleft()
            if not future.done():
                self.held_bytes += size_bytes
                future.set_result(None)


class Holder:
    """What the request on one connection of a caller holds.

    :param account: counts it.

    :ivar held_bytes: bytes that are held or reserved for it.
    :ivar connection_bytes: bytes that the connection takes beside them.
    :ivar sent: whether the request has been sent to a target.
    :ivar repeatable: whether it may run more than once.
    :ivar reading: time limit of the body that is arriving; none otherwise.
    :ivar refusal: why the body isn't read to its end; none if it is.
    :ivar waits_for_room: whether this router holds the body up.
    """

    __slots__ = (
        "held_bytes",
        "connection_bytes",
        "sent",
        "repeatable",
        "reading",
        "refusal",
        "waits_for_room",
        "_account",
        "_progress_bytes",
        "_progress_ms",
    )

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self.held_bytes = 0
        self.connection_bytes = 0
        self.sent = False
        self.repeatable = True
        self.reading: asyncio.Timeout | None = None
        self.refusal: results.RefusedError | None = None
        self.waits_for_room = False
        self._progress_bytes = 0
        self._progress_ms = 0

    @property
    def limit_bytes(self) -> int:
        """Maximum size of a body that has room at all; 0 for none."""
        return self._account.bound_bytes

    def begin(self, limit: asyncio.Timeout | None) -> None:
        """Record that a body or a response begins.

        :param limit: time limit of the body; none for a response.
        """
        self.reading = limit
        self._progress_bytes = 0
        self._progress_ms = self._account.clock.now_ms()

    def record_progress(self, size_bytes: int) -> None:
        """Record how much has arrived, or was accepted by the caller.

        :param size_bytes: all bytes so far.
        """
        if size_bytes >= self._progress_bytes + MIN_PROGRESS_BYTES:
            self._progress_bytes = size_bytes
            self._progress_ms = self._account.clock.now_ms()

    def idle_ms(self) -> int:
        """Return the time since the last progress, in ms."""
        if self.waits_for_room:
            return 0
        return self._account.clock.now_ms() - self._progress_ms

    def try_add(self, size_bytes: int) -> bool:
        """Hold more bytes if there is room, as the account does."""
        if not self._account.try_add(size_bytes):
            return False
        self.held_bytes += size_bytes
        return True

    def try_buffer(self, size_bytes: int) -> bool:
        """Hold more bytes of a response, as the account does."""
        if not self._account.try_buffer(size_bytes):
            return False
        self.held_bytes += size_bytes
        return True

    def add_small(self, size_bytes: int) -> None:
        """Hold the bytes of a small body, as the account does."""
        self._account.add_small(size_bytes)
        self.held_bytes += size_bytes

    async def add(self, size_bytes: int) -> None:
        """Hold more bytes once there is room, as the account does."""
        self.waits_for_room = True
        try:
            await self._account.add(size_bytes)
        finally:
            self.waits_for_room = False
            self._progress_ms = self._account.clock.now_ms()
        self.held_bytes += size_bytes

    def add_complete(self, size_bytes: int) -> None:
        """Hold a response that is complete already, whatever room there is.

        :param size_bytes: its size, in bytes.
        """
        self._account.held_bytes += size_bytes
        self.held_bytes += size_bytes

    async def add_response(self, size_bytes: int, wait_ms: int) -> None:
        """Hold more bytes of a response, as the account does."""
        await self._account.add_response(size_bytes, wait_ms)
        self.held_bytes += size_bytes

    def move_to(self, other: "Holder") -> None:
        """Let another holder hold what this one holds, for its request."""
        other.held_bytes += self.held_bytes
        other.sent = self.sent
        other.repeatable = self.repeatable
        self.held_bytes = 0

    def new(self) -> "Holder":
        """Return another holder, which counts in the same account."""
        return Holder(self._account)

    def count_connection(self, size_bytes: int) -> None:
        """Count what the connection takes now beside what is held.

        :param size_bytes: all of it.
        """
        change_bytes = size_bytes - self.connection_bytes
        if change_bytes:
            self.connection_bytes = size_bytes
            self._account.add_connection_bytes(change_bytes)

    def release(self, size_bytes: int) -> None:
        """Hold some bytes no more.

        :param size_bytes: how many.
        """
        self.held_bytes -= size_bytes
        self._account.release(size_bytes)

    def end(self) -> None:
        """Release everything, as the request has ended."""
        if self.held_bytes:
            self.release(self.held_bytes)
        self.sent = False
        self.repeatable = True
        self.refusal = None


def uncounted(clock: clock_module.Clock) -> Holder:
    """Return a holder that has room for everything."""
    return Holder(MemoryAccount(0, clock))
