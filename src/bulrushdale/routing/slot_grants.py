"""Slots of brittle targets, granted one by one.

A brittle target falls over if it has to reject many requests in a second, a
sum over all routers. Loads that routers report are too old to tell which slot
is free, and what all of them take for free is filled many times over. So each
request to a brittle target is granted by one router, the target's *grantor*,
which adds to the reported load what it has granted lately, less what has
ended since.
"""

import collections
from collections import abc
import dataclasses

from bulrushdale import clock as clock_module
from bulrushdale.routing import rate_limits

# A target may have less room than slots, and reject what was granted. Rate of
# such rejections for each that the target bears beyond the first one: with
# what a full bucket holds, fewer in any second than it bears.
REJECTED_RATE = 0.5
# A target that rejected a granted request has less room than slots; one more
# request is granted after each of these intervals.
ROOM_INTERVAL_MS = 2_000
# When a router that was refused may ask again; loads are reported four times
# a second.
REFUSED_MS = 250
# Changes remembered for a target: several times the requests that it runs in
# the time that a report takes.
MAX_CHANGES = 1_024
# A target without a grant for this long is forgotten.
GRANTS_TTL_MS = 30_000


@dataclasses.dataclass(frozen=True, slots=True)
class Occupancy:
    """What the grantor knows of a target's slots.

    :param load: requests of all routers there, as reported.
    :param age_ms: age of the reports at most, in ms.
    :param slots: slots that this grantor hands out.
    :param max_rejections_per_s: rejections that the target bears.
    """

    load: int
    age_ms: int
    slots: float
    max_rejections_per_s: float


def _rejected_rate_per_s(occupancy: Occupancy) -> float:
    """Return how often a granted request may be rejected, in 1/s."""
    return max(0.0, occupancy.max_rejections_per_s - 1) * REJECTED_RATE


class _Grants:
    """Grants of one start of a target.

    :ivar changes: changes of the load that may not be reported yet: when, in
        ms of the clock, and by how much.
    :ivar room: requests that the target ran when it rejected one; none if it
        has rejected none lately.
    :ivar room_ms: when that was, in ms of the clock.
    :ivar used_ms: when the last request was granted or refused, in ms of the
        clock.
    """

    __slots__ = ("changes", "room", "room_ms", "used_ms")

    def __init__(self) -> None:
        self.changes: collections.deque[tuple[int, int]] = collections.deque(
            maxlen=MAX_CHANGES
        )
        self.room: float | None = None
        self.room_ms = 0
        self.used_ms = 0


class SlotGrants:
    """Grants requests to the brittle targets whose grantor this router is.

    :param limiter: bounds the rejections.
    :param clock: the clock.
    """

    __slots__ = ("_limiter", "_clock", "_grants")

    def __init__(
        self, limiter: rate_limits.RateLimiter, clock: clock_module.Clock
    ) -> None:
        self._limiter = limiter
        self._clock = clock
        self._grants: dict[abc.Hashable, _Grants] = {}

    def grant(self, key: abc.Hashable, occupancy: Occupancy) -> int:
        """Grant a request, if there is room.

        :param key: the start of the target.
        :param occupancy: what is known of its slots.
        :return: 0 if it is granted; otherwise when to ask again, in ms.
        """
        now_ms = self._clock.now_ms()
        grants = self._grants.setdefault(key, _Grants())
        grants.used_ms = now_ms
        load = self._load(grants, occupancy)
        if load >= self._room(grants, occupancy):
            return REFUSED_MS
        if self._limiter.wait_ms(key, _rejected_rate_per_s(occupancy)):
            return REFUSED_MS
        grants.changes.append((now_ms, 1))
        return 0

    def record_end(self, key: abc.Hashable) -> None:
        """Record that a request ended that was granted."""
        grants = self._grants.get(key)
        if grants is not None:
            grants.changes.append((self._clock.now_ms(), -1))

    def record_rejection(
        self, key: abc.Hashable, occupancy: Occupancy
    ) -> None:
        """Record that a target rejected a request for want of room."""
        grants = self._grants.setdefault(key, _Grants())
        now_ms = self._clock.now_ms()
        grants.used_ms = now_ms
        # Several may have been sent before the first was rejected.
        if grants.room is None or now_ms - grants.room_ms >= ROOM_INTERVAL_MS:
            load = self._load(grants, occupancy)
            grants.room = max(1, min(self._room(grants, occupancy), load) - 1)
            grants.room_ms = now_ms
        self._limiter.spend(key, _rejected_rate_per_s(occupancy))

    def _load(self, grants: _Grants, occupancy: Occupancy) -> int:
        """Return the reported load with the changes since the reports.

        Some of them are in the reports already. As long as as many requests
        end as begin, these add up to nothing.
        """
        oldest_ms = self._clock.now_ms() - occupancy.age_ms
        while grants.changes and grants.changes[0][0] < oldest_ms:
            grants.changes.popleft()
        return max(0, occupancy.load + sum(n for _, n in grants.changes))

    def _room(self, grants: _Grants, occupancy: Occupancy) -> float:
        """Return how many requests the target probably runs at once."""
        if grants.room is None:
            return occupancy.slots
        elapsed_ms = self._clock.now_ms() - grants.room_ms
        return min(
            occupancy.slots, grants.room + elapsed_ms / ROOM_INTERVAL_MS
        )

    def expire(self) -> None:
        """Forget the targets without a grant for long."""
        oldest_ms = self._clock.now_ms() - GRANTS_TTL_MS
        for key, grants in list(self._grants.items()):
            if grants.used_ms < oldest_ms:
                del self._grants[key]
