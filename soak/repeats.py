"""Counts repeats in the way that limits them: over all windows."""

import bisect
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """The repeats of a service in one window.

    :param start_ms: its start, in ms on the soak's clock.
    :param repeats: arrivals beyond the first of their request.
    :param requests: requests that callers sent, see :class:`Repeats`.
    :param allowed: repeats that the budget allows for them.
    """

    start_ms: int
    repeats: int
    requests: int
    allowed: float

    @property
    def excess(self) -> float:
        return self.repeats - self.allowed


class Repeats:
    """Requests and arrivals at one service, whether they run or not.

    Requests are counted where they are sent, in the window of the repeats,
    the one before it or the one half a window before it, whichever has most.

    :param ratio: repeats allowed per request.
    :param slack: repeats allowed besides.
    :param window_ms: length of the window, in ms.
    """

    def __init__(self, ratio: float, slack: float, window_ms: int) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._sent_ms: list[int] = []
        self._repeats_ms: list[int] = []
        self._arrived: set[str] = set()

    def record_request(self, now_ms: int) -> None:
        """Record that a caller sent a request."""
        self._sent_ms.append(now_ms)

    def record_arrival(self, request_id: str, now_ms: int) -> None:
        """Record that a request arrived at a target."""
        if request_id in self._arrived:
            self._repeats_ms.append(now_ms)
        self._arrived.add(request_id)

    def worst(self) -> Window | None:
        """Return the window with the most repeats beyond what is allowed."""
        windows = [self._window(start_ms) for start_ms in self._repeats_ms]
        return max(windows, key=lambda window: window.excess, default=None)

    def _window(self, start_ms: int) -> Window:
        requests = max(
            self._count(self._sent_ms, start_ms - earlier_ms)
            for earlier_ms in (0, self._window_ms // 2, self._window_ms)
        )
        return Window(
            start_ms,
            self._count(self._repeats_ms, start_ms),
            requests,
            self._ratio * requests + self._slack,
        )

    def _count(self, times_ms: list[int], start_ms: int) -> int:
        """Return how many of the sorted times are in a window."""
        return bisect.bisect_left(
            times_ms, start_ms + self._window_ms
        ) - bisect.bisect_left(times_ms, start_ms)
