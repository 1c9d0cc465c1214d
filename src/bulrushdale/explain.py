"""Timelines of recent requests, which operators can look up."""

import collections
import typing

from bulrushdale import clock as clock_module


class Timeline:
    """The steps of one request.

    :param request_id: the request's id.
    :param clock: the clock.
    """

    __slots__ = ("request_id", "team", "_clock", "_start_ms", "steps", "code")

    def __init__(self, request_id: str, clock: clock_module.Clock) -> None:
        self.request_id = request_id
        self.team = ""
        self.code: int | None = None
        self._clock = clock
        self._start_ms = clock.now_ms()
        self.steps: list[tuple[int, str, str]] = []

    def step(self, name: str, detail: str = "") -> None:
        """Add a step that happens now.

        :param name: the name of the step.
        :param detail: what an operator may want to know about the step.
        """
        elapsed_ms = self._clock.now_ms() - self._start_ms
        self.steps.append((elapsed_ms, name, detail))

    def as_dict(self) -> dict[str, typing.Any]:
        """Return the timeline as a JSON object for operators."""
        return {
            "request_id": self.request_id,
            "team": self.team,
            "code": self.code,
            "steps": [
                {"elapsed_ms": elapsed_ms, "step": name, "detail": detail}
                for elapsed_ms, name, detail in self.steps
            ],
        }


class Timelines:
    """The timelines of the most recent requests of one router.

    :param limit: the number of timelines kept; zero keeps none.
    :param clock: the clock.

    .. versionadded:: 0.1
    """

    __slots__ = ("_limit", "_clock", "_timelines")

    def __init__(self, limit: int, clock: clock_module.Clock) -> None:
        self._limit = limit
        self._clock = clock
        self._timelines: collections.OrderedDict[str, Timeline] = (
            collections.OrderedDict()
        )

    def start(self, request_id: str) -> Timeline:
        """Start the timeline of a request."""
        timeline = Timeline(request_id, self._clock)
        if self._limit:
            self._timelines[request_id] = timeline
            while len(self._timelines) > self._limit:
                self._timelines.popitem(last=False)
        return timeline

    def find(self, request_id: str) -> Timeline | None:
        """Return the timeline of a request; none if it isn't kept."""
        return self._timelines.get(request_id)
