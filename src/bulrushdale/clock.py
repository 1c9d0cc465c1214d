"""Clocks that count in milliseconds."""

import asyncio
import time


class Clock:
    """The system's clocks, read in milliseconds.

    Tests replace this class with :class:`ManualClock`.

    .. versionadded:: 0.1
    """

    __slots__ = ()

    def now_ms(self) -> int:
        """Return the monotonic time, in ms since an arbitrary origin."""
        return time.monotonic_ns() // 1_000_000

    def wall_ms(self) -> int:
        """Return the time since the Unix epoch, in ms."""
        return time.time_ns() // 1_000_000

    def boot_ms(self) -> int:
        """Return the time since boot, in ms, with times of suspension.

        Use it for the age of data, which also grows while the VM is
        suspended, and :meth:`now_ms` for everything else.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    async def sleep_ms(self, delay_ms: float) -> None:
        """Suspend the calling task.

        :param delay_ms: the delay, in ms.
        """
        await asyncio.sleep(delay_ms / 1000)


class ManualClock(Clock):
    """A clock that only advances on request.

    :param start_ms: the initial time of all clocks, in ms.

    .. versionadded:: 0.1
    """

    __slots__ = ("_now_ms",)

    def __init__(self, start_ms: int = 1_000_000) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> int:
        return self._now_ms

    def wall_ms(self) -> int:
        return self._now_ms

    def boot_ms(self) -> int:
        return self._now_ms

    def advance(self, delta_ms: int) -> None:
        """Move all clocks forward.

        :param delta_ms: the time to add, in ms.
        """
        self._now_ms += delta_ms

    async def sleep_ms(self, delay_ms: float) -> None:
        self.advance(int(delay_ms))
        await asyncio.sleep(0)
