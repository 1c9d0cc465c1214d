"""Estimate whether a request fits into the memory of an engine.

An engine whose requests need more memory than it has crashes. The tokens of
this router's own requests are known; those of other routers are estimated
from the number of their requests, which they report.
"""

from collections import abc

# Weight of a request in the mean. Lengths differ by a factor of 300, so some
# tens of requests have to count.
TOKENS_SMOOTHING = 0.03


class EngineMemory:
    """Memory of the engines of each service, and the mean need of a request.

    Both are bounded by the services of the configuration.
    """

    __slots__ = ("_capacities", "_means", "_counts")

    def __init__(self) -> None:
        # By service, in tokens.
        self._capacities: dict[str, int] = {}
        self._means: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def update(self, capacities: abc.Mapping[str, int]) -> None:
        """Replace the capacities.

        :param capacities: tokens that an engine of a service holds; services
            that aren't listed have no limit.
        """
        self._capacities = dict(capacities)
        for service in list(self._means):
            if service not in self._capacities:
                del self._means[service]
                del self._counts[service]

    def record(self, service: str, tokens: int) -> None:
        """Record the need of a request.

        :param service: the service that is to run it.
        :param tokens: length of its prompt and its longest response.
        """
        if service not in self._capacities:
            return
        count = self._counts[service] = self._counts.get(service, 0) + 1
        mean = self._means.get(service, 0.0)
        weight = max(1 / count, TOKENS_SMOOTHING)
        self._means[service] = mean + weight * (tokens - mean)

    def has_room(
        self,
        service: str,
        tokens: int,
        own_tokens: int,
        other_requests: int,
    ) -> bool:
        """Return whether a request fits into the memory of a target.

        :param service: the target's service.
        :param tokens: need of the request, in tokens.
        :param own_tokens: need of this router's requests there, in tokens.
        :param other_requests: number of other routers' requests there.
        """
        capacity = self._capacities.get(service)
        if capacity is None:
            return True
        mean = self._means.get(service, float(tokens))
        return own_tokens + other_requests * mean + tokens <= capacity

    def limited(self, service: str) -> bool:
        """Return whether the memory of a service's engines is limited."""
        return service in self._capacities
