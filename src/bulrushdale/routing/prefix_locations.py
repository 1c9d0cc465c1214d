"""Which targets hold a shared prompt part in their cache.

A target that joins would take over its part of all prefixes at once, and each
would be read again there. Instead a prefix that is in use stays where it is
for as long as it is used. One that has to move, as its target is overloaded,
leaves or can't be reached, goes to a target that held it before, if there is
one, or is copied from there: a prefix that moved some times is in several
caches. Routers tell each other of prefixes that live elsewhere than hashing
puts them, so traffic follows what has changed lately, not the number of
chats.
"""

import collections
from collections import abc

from bulrushdale import clock as clock_module

# A prefix that was not used for so long may move to where hashing puts it.
# The users price a part that is read again within ten seconds of its last
# use; a little more covers reports on their way.
IN_USE_MS = 11_000
# Targets remembered for a prefix. Few prefixes move more often than that
# before the oldest cache has dropped them.
MAX_LOCATIONS = 3
# Moves in one report; at 24 bytes each they keep a report below one
# datagram. Others follow with later uses.
MAX_REPORTED = 40
MAX_PREFIXES = 20_000

_NOWHERE: tuple[int, tuple[str, ...]] = (0, ())


class PrefixLocations:
    """Remembers where prefixes were placed, by this router and by others.

    :param clock: the clock.
    """

    __slots__ = ("_clock", "_places", "_updates")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        # When a prefix was last used, and its targets, the last one first.
        self._places: collections.OrderedDict[
            int, tuple[int, tuple[str, ...]]
        ] = collections.OrderedDict()
        self._updates: dict[int, str] = {}

    def get(self, key: int) -> tuple[str, ...]:
        """Return the targets where a prefix was placed, the last one first.

        :param key: hash of the prefix.
        """
        return self._places.get(key, _NOWHERE)[1]

    def in_use(self, key: int) -> bool:
        """Return whether a prefix was placed so lately that it stays.

        :param key: hash of the prefix.
        """
        used_ms, places = self._places.get(key, _NOWHERE)
        return bool(places) and self._clock.now_ms() - used_ms <= IN_USE_MS

    def record(
        self, key: int, target_id: str, hashed_to: abc.Set[str]
    ) -> None:
        """Note a placement by this router.

        While targets come and go, hashing puts a prefix at one target now
        and at another one soon; only where both are the one that it went to,
        and it was nowhere else, do other routers find it without being told.

        :param key: hash of the prefix.
        :param target_id: where the request went.
        :param hashed_to: where hashing puts it, now and soon.
        """
        moved = self.get(key) not in ((), (target_id,))
        self._keep(key, target_id)
        if moved or hashed_to != {target_id}:
            self._updates[key] = target_id

    def _keep(self, key: int, target_id: str) -> None:
        others = [name for name in self.get(key) if name != target_id]
        places = (target_id, *others[: MAX_LOCATIONS - 1])
        self._places[key] = (self._clock.now_ms(), places)
        self._places.move_to_end(key)
        while len(self._places) > MAX_PREFIXES:
            self._places.popitem(last=False)

    def take_updates(self) -> dict[int, str]:
        """Return moves to tell other routers, each once."""
        told = dict(list(self._updates.items())[:MAX_REPORTED])
        for key in told:
            del self._updates[key]
        return told

    def merge(self, places: abc.Mapping[int, str]) -> None:
        """Take over moves that another router told."""
        for key, target_id in places.items():
            self._keep(key, target_id)
