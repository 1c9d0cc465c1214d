"""Remember which targets have a shared prompt prefix in their cache.

With hashing alone a target that joins would get its share of all prefixes at
once and would have to recompute each of them. Instead a prefix stays where it
is for as long as it is used. A prefix that has to move, because its target is
overloaded, leaving or unreachable, goes to a target that had it before, if
there is one, or is copied from there: a prefix that moved several times is in
several caches. Routers report only remapped prefixes to each other, those that
are not at their preferred target, so this traffic grows with recent changes
and not with the number of chats.
"""

import collections
from collections import abc

from bulrushdale import clock as clock_module

# A prefix that wasn't used for this long may move to its preferred target.
# The users set a price on recomputing a prefix within ten seconds of its last
# use; the extra second covers reports under way.
IN_USE_MS = 11_000
# Locations remembered per prefix. Few prefixes move more often than that
# before the oldest cache has evicted them.
MAX_LOCATIONS = 3
# Remapped prefixes per report. At 24 bytes each a report still fits into one
# datagram; the remaining ones follow later.
MAX_REPORTED = 40
MAX_PREFIXES = 20_000

_UNKNOWN: tuple[int, tuple[str, ...]] = (0, ())


class PrefixLocations:
    """Remembers where prefixes were placed, by this router and by others.

    :param clock: the clock.
    """

    __slots__ = ("_clock", "_entries", "_unreported")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        # By hash of the prefix: time of the last use, and its locations,
        # latest first. The least recently used prefix comes first.
        self._entries: collections.OrderedDict[
            int, tuple[int, tuple[str, ...]]
        ] = collections.OrderedDict()
        # Remapped prefixes not reported yet: target ids by hash of the prefix.
        self._unreported: dict[int, str] = {}

    def get(self, prefix_hash: int) -> tuple[str, ...]:
        """Return the targets where a prefix was placed, the latest first.

        :param prefix_hash: hash of the prefix.
        """
        return self._entries.get(prefix_hash, _UNKNOWN)[1]

    def in_use(self, prefix_hash: int) -> bool:
        """Return whether a prefix was used so recently that it should stay.

        :param prefix_hash: hash of the prefix.
        """
        used_ms, locations = self._entries.get(prefix_hash, _UNKNOWN)
        return bool(locations) and self._clock.now_ms() - used_ms <= IN_USE_MS

    def record(
        self, prefix_hash: int, target_id: str, preferred_targets: abc.Set[str]
    ) -> None:
        """Record a placement by this router.

        While targets join and leave, the preferred target of a prefix is
        about to change. The placement goes unreported only if *target_id* is
        both the current and the next preferred target, and no other location
        of the prefix is known: then other routers choose it anyway.

        :param prefix_hash: hash of the prefix.
        :param target_id: the target that got the request.
        :param preferred_targets: the current and the next preferred target.
        """
        had_other_location = self.get(prefix_hash) not in ((), (target_id,))
        self._store(prefix_hash, target_id)
        if had_other_location or preferred_targets != {target_id}:
            self._unreported[prefix_hash] = target_id

    def _store(self, prefix_hash: int, target_id: str) -> None:
        """Make a target the latest location of a prefix, in use from now."""
        others = [name for name in self.get(prefix_hash) if name != target_id]
        locations = (target_id, *others[: MAX_LOCATIONS - 1])
        self._entries[prefix_hash] = (self._clock.now_ms(), locations)
        self._entries.move_to_end(prefix_hash)
        while len(self._entries) > MAX_PREFIXES:
            self._entries.popitem(last=False)

    def take_updates(self) -> dict[int, str]:
        """Return remapped prefixes to report to other routers, each once.

        :return: target ids by the hash of the prefix, at most
            :data:`MAX_REPORTED`; the remaining ones follow at later calls.
        """
        updates = dict(list(self._unreported.items())[:MAX_REPORTED])
        for prefix_hash in updates:
            del self._unreported[prefix_hash]
        return updates

    def merge(self, locations: abc.Mapping[int, str]) -> None:
        """Merge remapped prefixes that another router reported.

        :param locations: target ids by the hash of the prefix.
        """
        for prefix_hash, target_id in locations.items():
            self._store(prefix_hash, target_id)
