"""Rates of requests that all routers keep together.

A target may name a limit on the requests that it takes from all routers. An
even share of it would be less than one request per minute for each router of
a large fleet, so one router, the target's *grantor*, hands out permits for
single requests, and the routers with requests use the whole limit.

A brittle target falls over if it has to reject many requests in a second, a
sum over all routers too. Requests that it may reject need a permit as well.

Permits come from a token bucket. Less urgent requests leave part of it to
more urgent ones.
"""

from collections import abc
import dataclasses

from bulrushdale import clock as clock_module

# Rate at a target that takes no requests, or nearly none. Only a response
# tells that the limit has ended.
MIN_RATE_PER_S = 0.2
# A bucket fills up within this time beyond its first token. Users tolerate
# bursts of twice the limit and five requests.
BURST_MS = 500
# Requests rank from 0, for streams that have begun, to this.
MAX_RANK = 4
# Each second token is for any rank, so that none waits for ever.
OPEN_INTERVAL = 2
# Share of the rejections that a brittle target bears which routers risk. Some
# requests that need no permit are rejected as well.
RISKED_SHARE = 0.5
# Ids of the limits on rejections begin so; those of other limits are the ids
# of targets.
_REJECTIONS_PREFIX = "rejections:"
# The same for the rates of cold targets, which follow from the configuration.
_COLD_PREFIX = "cold:"
# A bucket that was not used for this long is full again at any limit, and is
# forgotten.
BUCKET_TTL_MS = 30_000


@dataclasses.dataclass(frozen=True, slots=True)
class LimitReport:
    """A target's statement about its limit, as routers report it.

    :param target_id: id of the target, or that of its limit on rejections.
    :param started_ms: when the target started, in ms since the epoch.
    :param limit_per_s: requests per second; none for no limit any more.
    :param age_ms: time since the statement, in ms.
    """

    target_id: str
    started_ms: int
    limit_per_s: float | None
    age_ms: int


def rejections_id(target_id: str) -> str:
    """Return the id of a target's limit on rejections."""
    return _REJECTIONS_PREFIX + target_id


def cold_id(target_id: str) -> str:
    """Return the id of the limit on a target's requests while it is cold."""
    return _COLD_PREFIX + target_id


def rejections_target(limit_id: str) -> str | None:
    """Return the target of a limit on rejections; none for other limits."""
    if not limit_id.startswith(_REJECTIONS_PREFIX):
        return None
    return limit_id.removeprefix(_REJECTIONS_PREFIX)


class TokenBucket:
    """The permits for one target that were not used yet.

    A new bucket is empty: other routers may have used the rate until now.

    :param now_ms: the time, in ms of the clock.
    :param tokens: its first tokens.
    """

    __slots__ = ("_tokens", "_updated_ms", "_taken")

    def __init__(self, now_ms: int, tokens: float = 0.0) -> None:
        self._tokens = tokens
        self._updated_ms = now_ms
        self._taken = 0

    @property
    def updated_ms(self) -> int:
        """When the bucket was last used, in ms of the clock."""
        return self._updated_ms

    def take(self, rate_per_s: float, rank: int, now_ms: int) -> int:
        """Take a token.

        :param rate_per_s: tokens per second.
        :param rank: rank of the request.
        :param now_ms: the time, in ms of the clock.
        :return: 0 if a token was taken; otherwise the time until there is one
            for this rank, in ms.
        """
        rate_per_ms = rate_per_s / 1000
        burst = rate_per_ms * BURST_MS
        self._refill(rate_per_ms, now_ms)
        needed = 1.0
        if self._taken % OPEN_INTERVAL:
            needed += burst * min(max(rank, 0), MAX_RANK) / MAX_RANK
        # Rounding must not keep a full bucket below its size.
        missing = needed - self._tokens - 1e-9
        if missing > 0:
            return int(missing / rate_per_ms) + 1
        self._tokens -= 1
        self._taken += 1
        return 0

    def _refill(self, rate_per_ms: float, now_ms: int) -> None:
        """Add the tokens since the bucket was last used."""
        elapsed_ms = max(0, now_ms - self._updated_ms)
        self._tokens = min(
            1 + rate_per_ms * BURST_MS,
            self._tokens + elapsed_ms * rate_per_ms,
        )
        self._updated_ms = now_ms

    def wait_ms(self, rate_per_s: float, now_ms: int) -> int:
        """Return the time until there is a token, in ms; 0 for now."""
        self._refill(rate_per_s / 1000, now_ms)
        missing = 1.0 - self._tokens - 1e-9
        return int(missing / rate_per_s * 1000) + 1 if missing > 0 else 0

    def spend(self, rate_per_s: float, now_ms: int) -> None:
        """Take a token for what has happened already.

        Debts are bounded by what is earned in the time of a burst.
        """
        self._refill(rate_per_s / 1000, now_ms)
        self._tokens = max(self._tokens - 1, -rate_per_s / 1000 * BURST_MS)


class RateLimiter:
    """Hands out the permits of the targets whose grantor this router is.

    :param clock: the clock.
    """

    __slots__ = ("_clock", "_buckets")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._buckets: dict[abc.Hashable, TokenBucket] = {}

    def take(self, key: abc.Hashable, rate_per_s: float, rank: int) -> int:
        """Take a permit.

        :param key: what the rate belongs to, such as the start of a target.
        :param rate_per_s: permits per second.
        :param rank: rank of the request.
        :return: 0 if the permit was taken; otherwise the time until there may
            be one, in ms.
        """
        now_ms = self._clock.now_ms()
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = TokenBucket(now_ms)
        return bucket.take(max(rate_per_s, MIN_RATE_PER_S), rank, now_ms)

    def wait_ms(self, key: abc.Hashable, rate_per_s: float) -> int:
        """Return the time until there is a permit, in ms; 0 for now.

        There is one at first.
        """
        bucket = self._first_filled(key)
        return bucket.wait_ms(
            max(rate_per_s, MIN_RATE_PER_S), self._clock.now_ms()
        )

    def spend(self, key: abc.Hashable, rate_per_s: float) -> None:
        """Take a permit for what has happened already."""
        self._first_filled(key).spend(
            max(rate_per_s, MIN_RATE_PER_S), self._clock.now_ms()
        )

    def _first_filled(self, key: abc.Hashable) -> TokenBucket:
        """Return a bucket, which has a token at first."""
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = TokenBucket(self._clock.now_ms(), tokens=1.0)
            self._buckets[key] = bucket
        return bucket

    def expire(self) -> None:
        """Forget the buckets that were not used for long."""
        oldest_ms = self._clock.now_ms() - BUCKET_TTL_MS
        for key, bucket in list(self._buckets.items()):
            if bucket.updated_ms < oldest_ms:
                del self._buckets[key]
