"""How deep into the prompt's shared parts placement looks.

Requests that share their first part but not the longer second one would be
read in parts on every target. Where the first part is small traffic it is
enough to keep all requests with it together; where it is much of the load,
placement has to look at the second, or one target would get it all.
"""

import collections

# A group may bring this part of one target's mean share of the load.
GROUP_LIMIT = 0.5
# Fewer requests say too little of a route's groups.
LEAST_SEEN = 4
# Counts halve when they reach this many requests, so that they follow the
# traffic of the last minutes.
HALVE_AT = 4_000


class _RouteCounts:
    """Requests of one route by the first part of their prompt."""

    __slots__ = ("seen", "tokens", "by_part")

    def __init__(self) -> None:
        self.seen = 0
        self.tokens = 0
        self.by_part: collections.Counter[str] = collections.Counter()


class Grouping:
    """Counts by which a router decides for each route."""

    __slots__ = ("_routes", "_tokens")

    def __init__(self) -> None:
        self._routes: dict[str, _RouteCounts] = {}
        self._tokens = 0

    def note(self, route: str, first_part: str, tokens: int) -> None:
        """Count a request.

        :param route: its route's name.
        :param first_part: id of the first part of its prompt.
        :param tokens: length of its prompt.
        """
        counts = self._routes.setdefault(route, _RouteCounts())
        counts.seen += 1
        counts.tokens += tokens
        counts.by_part[first_part] += 1
        self._tokens += tokens
        if counts.seen >= HALVE_AT:
            self._halve()

    def _halve(self) -> None:
        for counts in self._routes.values():
            counts.seen //= 2
            counts.tokens //= 2
            counts.by_part = collections.Counter(
                {part: n // 2 for part, n in counts.by_part.items() if n > 1}
            )
        self._tokens = sum(c.tokens for c in self._routes.values())

    def by_first_part(self, route: str, targets: int) -> bool:
        """Return whether requests with one first part stay together.

        :param route: the route's name.
        :param targets: number of targets that serve it.
        """
        counts = self._routes.get(route)
        if counts is None or counts.seen < LEAST_SEEN:
            return False
        # The chance that two requests share their first part; unlike the
        # largest count it is right from the first few requests on.
        pairs = counts.seen * (counts.seen - 1)
        same = sum(n * (n - 1) for n in counts.by_part.values()) / pairs
        route_share = counts.tokens / max(1, self._tokens)
        return same * route_share * targets <= GROUP_LIMIT
