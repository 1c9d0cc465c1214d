"""Where shared prompt parts live, when that isn't where hashing puts them.

A target that joins would take over its part of all prefixes at once, and each
would be read again there. Instead a prefix that is in use stays where it is
for as long as it is used: routers tell each other such exceptions, and forget
one after a pause in which the old copy is worth less than a level load.
Prefixes that live where hashing puts them need no memory, so its size and
traffic follow what has changed lately, not the number of chats.
"""

import collections
from collections import abc

from bulrushdale import clock as clock_module

# A prefix that was not used for so long may move to where hashing puts it.
# The users price a part that is read again within ten seconds of its last
# use; a little more covers reports on their way.
MEMORY_MS = 11_000
# Exceptions in one report; at 24 bytes each they keep a report below one
# datagram. Others follow with later uses.
MAX_TOLD = 40
MAX_KEPT = 20_000


class Overrides:
    """Remembers prefixes that live elsewhere than hashing puts them.

    :param clock: the clock.
    """

    __slots__ = ("_clock", "_places", "_updates")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._places: collections.OrderedDict[int, tuple[int, str]] = (
            collections.OrderedDict()
        )
        self._updates: dict[int, str] = {}

    def find(self, key: int) -> str | None:
        """Return the target where a prefix lives, if it is an exception.

        :param key: hash of the prefix.
        """
        found = self._places.get(key)
        if found is None:
            return None
        used_ms, target_id = found
        if self._clock.now_ms() - used_ms > MEMORY_MS:
            del self._places[key]
            return None
        return target_id

    def note(self, key: int, target_id: str, hashed_to: abc.Set[str]) -> None:
        """Note a placement by this router.

        While targets come and go, hashing puts a prefix at one target now
        and at another one soon; only where both are the one that it went to
        do other routers find it without being told.

        :param key: hash of the prefix.
        :param target_id: where the request went.
        :param hashed_to: where hashing puts it, now and soon.
        """
        if {target_id} == hashed_to and key not in self._places:
            return
        self._keep(key, target_id)
        self._updates[key] = target_id

    def _keep(self, key: int, target_id: str) -> None:
        self._places[key] = (self._clock.now_ms(), target_id)
        self._places.move_to_end(key)
        while len(self._places) > MAX_KEPT:
            self._places.popitem(last=False)

    def take_updates(self) -> dict[int, str]:
        """Return exceptions to tell other routers, each once."""
        told = dict(list(self._updates.items())[:MAX_TOLD])
        for key in told:
            del self._updates[key]
        return told

    def learn(self, places: abc.Mapping[int, str]) -> None:
        """Take over exceptions that another router told."""
        for key, target_id in places.items():
            self._keep(key, target_id)
