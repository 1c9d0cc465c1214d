"""Requests that wait for a slot, ordered by paid priority."""

import collections
from collections import abc
import dataclasses
import itertools
import typing

# How many requests are considered for a free slot, and how often one may
# be passed by another that is nearer to its cache.
WINDOW = 16
MOST_PASSED = 8

PlaceT = typing.TypeVar("PlaceT")


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A request for a slot.

    :param router: the router that asks.
    :param seq: the router's number for it.
    :param team: the team that pays.
    :param service_class: the class of service.
    :param weight: the class's share.
    :param affinity: hash of the prefix that the target's cache may hold.
    :param chat: hash of the chat; zero for none.
    :param tokens: estimated prompt and answer tokens.
    :param asked_ms: when it arrived, in ms of the clock.
    :param deadline_ms: when it stops waiting, in ms of the clock.
    :param excluded: targets that failed it already.
    """

    router: str
    seq: int
    team: str
    service_class: str
    weight: int
    affinity: int
    chat: int
    tokens: int
    asked_ms: int
    deadline_ms: int
    excluded: tuple[str, ...] = ()


class WeightedQueue:
    """Start-time fair queueing between teams, first in first out within.

    Each grant moves its team's virtual time forward by one over the weight
    of its class, and the team with the smallest virtual time is next. A
    team of any weight is therefore served in the end.

    .. versionadded:: 0.1
    """

    __slots__ = ("_waiting", "_virtual", "_now", "_count", "_passed")

    def __init__(self) -> None:
        self._waiting: dict[str, collections.deque[Ask]] = {}
        self._virtual: dict[str, float] = {}
        self._now = 0.0
        self._count = 0
        self._passed: dict[Ask, int] = {}

    def __len__(self) -> int:
        return self._count

    def queued(self, team: str) -> int:
        """Return how many requests of a team wait."""
        return len(self._waiting.get(team, ()))

    def ahead(self, team: str, weight: int) -> float:
        """Return how many requests will go before a new one of a team."""
        own_turns = (self.queued(team) + 1) / weight
        total = float(self.queued(team))
        for other, waiting in self._waiting.items():
            if other != team:
                turns = own_turns * waiting[0].weight
                total += min(len(waiting), turns)
        return total

    def contains(self, router: str, seq: int) -> bool:
        """Return whether a request waits."""
        return any(
            ask.router == router and ask.seq == seq
            for waiting in self._waiting.values()
            for ask in waiting
        )

    def push(self, ask: Ask) -> None:
        """Add a request behind the others of its team."""
        waiting = self._waiting.setdefault(ask.team, collections.deque())
        waiting.append(ask)
        self._count += 1

    def take(
        self,
        place: typing.Callable[[Ask], PlaceT | None],
        is_near: typing.Callable[[PlaceT], bool],
    ) -> tuple[Ask, PlaceT] | None:
        """Remove and return the next request that may start.

        Among the first few whose turn it is, one that can start where its
        cache is goes first; it passes each of the others a few times at
        most.

        :param place: tells where a request may start, if anywhere.
        :param is_near: tells whether that is where its cache is.
        """
        first: tuple[Ask, PlaceT] | None = None
        for ask, found in itertools.islice(self._startable(place), WINDOW):
            if first is None:
                first = (ask, found)
                if self._passed.get(ask, 0) >= MOST_PASSED:
                    break
            if is_near(found):
                if ask is not first[0]:
                    passed = self._passed.get(first[0], 0)
                    self._passed[first[0]] = passed + 1
                self._remove_one(ask)
                return ask, found
        if first is not None:
            self._remove_one(first[0])
        return first

    def _startable(
        self, place: typing.Callable[[Ask], PlaceT | None]
    ) -> abc.Iterator[tuple[Ask, PlaceT]]:
        """Yield requests that may start, in the order of their turns."""
        order = sorted(
            self._waiting, key=lambda team: (self._start(team), team)
        )
        for team in order:
            for ask in self._waiting[team]:
                found = place(ask)
                if found is None:
                    break
                yield ask, found

    def charge(self, team: str, weight: int) -> None:
        """Move a team's virtual time forward by one grant."""
        start = self._start(team)
        self._now = max(self._now, start)
        self._virtual[team] = start + 1 / weight
        if len(self._virtual) > 4 * len(self._waiting) + 256:
            self._virtual = {
                name: value
                for name, value in self._virtual.items()
                if value > self._now
            }

    def _start(self, team: str) -> float:
        return max(self._now, self._virtual.get(team, 0.0))

    def _remove_one(self, ask: Ask) -> None:
        waiting = self._waiting[ask.team]
        waiting.remove(ask)
        self._passed.pop(ask, None)
        self._count -= 1
        if not waiting:
            del self._waiting[ask.team]

    def remove(self, matches: typing.Callable[[Ask], bool]) -> list[Ask]:
        """Remove and return the requests that match."""
        removed: list[Ask] = []
        for team in list(self._waiting):
            kept: collections.deque[Ask] = collections.deque()
            for ask in self._waiting[team]:
                (removed if matches(ask) else kept).append(ask)
                if matches(ask):
                    self._passed.pop(ask, None)
            if kept:
                self._waiting[team] = kept
            else:
                del self._waiting[team]
        self._count -= len(removed)
        return removed
