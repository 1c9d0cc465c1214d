"""Tell a peer that doesn't answer from a router too busy to notice.

An event loop that is blocked until the time of a wait is up finds the answer
and the end of the time at once, and the end wins.
"""

import asyncio
import typing

# Timers that fire later than this show that the event loop was blocked.
MAX_LAG_MS = 20


class LagWatch:
    """Watches whether the event loop is on time during a wait.

    A context manager that is entered when the wait begins. A loop that is on
    time in the middle of the wait has seen what had arrived by then.

    :param timeout_ms: time limit of the wait, in ms.
    """

    __slots__ = ("_loop", "_middle_s", "_end_s", "_lagged", "_timer")

    def __init__(self, timeout_ms: float) -> None:
        self._loop = asyncio.get_running_loop()
        started_s = self._loop.time()
        self._middle_s = started_s + timeout_ms / 2000
        self._end_s = started_s + timeout_ms / 1000
        self._lagged = False
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> typing.Self:
        self._timer = self._loop.call_at(self._middle_s, self._record_middle)
        return self

    def __exit__(self, *exc_info: object) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _record_middle(self) -> None:
        self._lagged = self._is_late(self._middle_s)

    def lagged(self) -> bool:
        """Return whether a wait that times out now is inconclusive."""
        return self._lagged or self._is_late(self._end_s)

    def _is_late(self, due_s: float) -> bool:
        return (self._loop.time() - due_s) * 1000 > MAX_LAG_MS
