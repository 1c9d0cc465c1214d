"""Queued slot requests, ordered by paid priority."""

import collections
from collections import abc
import dataclasses
import itertools
import typing

# How many requests are considered for a free slot, and how often one may
# be overtaken by another that can start on a target that it prefers.
MAX_CANDIDATES = 16
MAX_PASSES = 8

PlacementT = typing.TypeVar("PlacementT")


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request for a slot.

    :param router: the router that sent it.
    :param seq: its sequence number on that router.
    :param team: the team that pays.
    :param service_class: the class of service.
    :param weight: the weight of the class in the queue.
    :param affinity_key: hash of the prefix that the target's cache may hold.
    :param chat: hash of the chat; zero for none.
    :param tokens: estimated prompt and answer tokens.
    :param arrived_ms: when it arrived, in ms of the clock.
    :param deadline_ms: when it stops waiting, in ms of the clock.
    :param excluded: targets that failed it already.
    """

    router: str
    seq: int
    team: str
    service_class: str
    weight: int
    affinity_key: int
    chat: int
    tokens: int
    arrived_ms: int
    deadline_ms: int
    excluded: tuple[str, ...] = ()


class WeightedQueue:
    """Start-time fair queueing between teams, first in first out within.

    Each grant advances the virtual time of its team by the inverse of the
    weight of its class, and the team with the smallest virtual time is
    next. No team starves, whatever its weight.

    .. versionadded:: 0.1
    """

    __slots__ = (
        "_by_team",
        "_virtual_times",
        "_virtual_now",
        "_count",
        "_pass_counts",
    )

    def __init__(self) -> None:
        self._by_team: dict[str, collections.deque[QueuedRequest]] = {}
        self._virtual_times: dict[str, float] = {}
        self._virtual_now = 0.0
        self._count = 0
        self._pass_counts: dict[QueuedRequest, int] = {}

    def __len__(self) -> int:
        return self._count

    def queued(self, team: str) -> int:
        """Return the number of queued requests of a team."""
        return len(self._by_team.get(team, ()))

    def ahead(self, team: str, weight: int) -> float:
        """Estimate how many requests start before a new one of a team.

        :param team: the team of the new request.
        :param weight: the weight of its class.
        """
        own_turns = (self.queued(team) + 1) / weight
        total = float(self.queued(team))
        for other, requests in self._by_team.items():
            if other != team:
                turns = own_turns * requests[0].weight
                total += min(len(requests), turns)
        return total

    def contains(self, router: str, seq: int) -> bool:
        """Return whether a request is queued."""
        return any(
            request.router == router and request.seq == seq
            for requests in self._by_team.values()
            for request in requests
        )

    def push(self, request: QueuedRequest) -> None:
        """Append a request to those of its team."""
        requests = self._by_team.setdefault(request.team, collections.deque())
        requests.append(request)
        self._count += 1

    def take(
        self,
        find_placement: typing.Callable[[QueuedRequest], PlacementT | None],
        is_preferred: typing.Callable[[PlacementT], bool],
    ) -> tuple[QueuedRequest, PlacementT] | None:
        """Remove and return the next request that may start.

        Among the first ``MAX_CANDIDATES`` in turn, one that can start on a
        target that it prefers goes first. The first in turn is overtaken at
        most ``MAX_PASSES`` times.

        :param find_placement: returns where a request may start, or None.
        :param is_preferred: returns whether a placement is on a target that
            the request prefers.
        """
        first: tuple[QueuedRequest, PlacementT] | None = None
        for request, placement in itertools.islice(
            self._startable(find_placement), MAX_CANDIDATES
        ):
            if first is None:
                first = (request, placement)
                if self._pass_counts.get(request, 0) >= MAX_PASSES:
                    break
            if is_preferred(placement):
                if request is not first[0]:
                    passes = self._pass_counts.get(first[0], 0)
                    self._pass_counts[first[0]] = passes + 1
                self._remove_one(request)
                return request, placement
        if first is not None:
            self._remove_one(first[0])
        return first

    def _startable(
        self,
        find_placement: typing.Callable[[QueuedRequest], PlacementT | None],
    ) -> abc.Iterator[tuple[QueuedRequest, PlacementT]]:
        """Yield the requests that may start, in the order of their turns.

        A request that can't start holds up the later ones of its team.
        """
        order = sorted(
            self._by_team, key=lambda team: (self._start_tag(team), team)
        )
        for team in order:
            for request in self._by_team[team]:
                placement = find_placement(request)
                if placement is None:
                    break
                yield request, placement

    def charge(self, team: str, weight: int) -> None:
        """Advance the virtual time of a team by one grant.

        :param team: the team that got the slot.
        :param weight: the weight of the request's class.
        """
        start = self._start_tag(team)
        self._virtual_now = max(self._virtual_now, start)
        self._virtual_times[team] = start + 1 / weight
        # A virtual time in the past has no effect on the order any more.
        if len(self._virtual_times) > 4 * len(self._by_team) + 256:
            self._virtual_times = {
                name: value
                for name, value in self._virtual_times.items()
                if value > self._virtual_now
            }

    def _start_tag(self, team: str) -> float:
        return max(self._virtual_now, self._virtual_times.get(team, 0.0))

    def _remove_one(self, request: QueuedRequest) -> None:
        requests = self._by_team[request.team]
        requests.remove(request)
        self._pass_counts.pop(request, None)
        self._count -= 1
        if not requests:
            del self._by_team[request.team]

    def remove(
        self, matches: typing.Callable[[QueuedRequest], bool]
    ) -> list[QueuedRequest]:
        """Remove and return the requests that match."""
        removed: list[QueuedRequest] = []
        for team in list(self._by_team):
            kept: collections.deque[QueuedRequest] = collections.deque()
            for request in self._by_team[team]:
                (removed if matches(request) else kept).append(request)
                if matches(request):
                    self._pass_counts.pop(request, None)
            if kept:
                self._by_team[team] = kept
            else:
                del self._by_team[team]
        self._count -= len(removed)
        return removed
