"""Ends requests before a router that stops would cut them off.

A request that is cut off has no answer. One that is ended just before gets
one, which tells its caller whether it may have run.
"""

import asyncio
from collections import abc
import contextlib


class StoppedError(Exception):
    """The router stops before the request has ended."""


class StopLimit:
    """The time by which all requests have to end; none until a stop."""

    __slots__ = ("_until_s", "_limits")

    def __init__(self) -> None:
        self._until_s: float | None = None
        self._limits: set[asyncio.Timeout] = set()

    def start(self, remaining_ms: int) -> None:
        """Limit all requests, also those that are under way.

        :param remaining_ms: time until they have to end, in ms.
        """
        loop = asyncio.get_running_loop()
        self._until_s = loop.time() + remaining_ms / 1000
        for limit in self._limits:
            limit.reschedule(self._until_s)

    def remaining_ms(self) -> float:
        """Return the time that is left, in ms; infinite until a stop."""
        if self._until_s is None:
            return float("inf")
        loop = asyncio.get_running_loop()
        return (self._until_s - loop.time()) * 1000

    @contextlib.asynccontextmanager
    async def apply(self) -> abc.AsyncIterator[None]:
        """Limit a request within the context.

        :raises StoppedError: if the time is up.
        """
        limit = asyncio.timeout_at(self._until_s)
        self._limits.add(limit)
        try:
            async with limit:
                yield
        except TimeoutError:
            if limit.expired():
                raise StoppedError from None
            raise
        finally:
            self._limits.discard(limit)
