"""Router processes, and how long they have been free of faults."""

import asyncio
from collections import abc
import contextlib
import os
import pathlib
import signal
import sys

from examples import ports
from examples.standins import misbehaving_clients
from examples.standins import settings_file
from soak import clock
from soak import proxy as proxy_module

RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S = 0.2, 10, 10
MEMORY_MB = 160
BOUNDS = (
    f"retry_budget_ratio = {RETRY_RATIO}\nbudget_slack = {RETRY_SLACK}\n"
    f"budget_window_s = {RETRY_WINDOW_S}\n"
    f"[limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = 2000"
)


def router_ip(number: int) -> str:
    """Return a router's loopback address, distinct for each soak process."""
    return f"127.20.{ports.process_number()}.{number}"


class FaultTracker:
    """Measure how long a part of the fleet has been free of faults."""

    def __init__(self) -> None:
        self._faults = 0
        self._since_ms = clock.now_ms()

    @contextlib.contextmanager
    def record(self) -> abc.Iterator[None]:
        """Record a fault that lasts until the context ends."""
        self._faults += 1
        try:
            yield
        finally:
            self._faults -= 1
            self._since_ms = clock.now_ms()

    def fault_free_ms(self, now_ms: int) -> int:
        """Return the time since the last fault, in ms; 0 during a fault.

        :param now_ms: the time, in ms on the soak's clock.
        """
        return 0 if self._faults else now_ms - self._since_ms


class Router:
    """A router process with its own proxy to the store.

    :param number: number from 1 on, which determines its loopback address.
    :param folder: the folder of its settings and log.

    :ivar starts: how often its process was started.
    :ivar restarting: whether it got a signal to end and will be started again.
    :ivar process_faults: faults of its process.
    :ivar store_faults: faults of its path to the store.
    """

    def __init__(self, number: int, folder: pathlib.Path) -> None:
        self.name = f"r{number}"
        self.ip = router_ip(number)
        self.caller_address = f"{self.ip}:{settings_file.CALLER_PORT}"
        self._number = number
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None
        self.store_proxy: proxy_module.Proxy | None = None
        self.starts = 0
        self.restarting = False
        self.process_faults = FaultTracker()
        self.store_faults = FaultTracker()

    async def start(self) -> None:
        """Start the process."""
        self.starts += 1
        settings = self._folder / f"r{self._number}.toml"
        settings.write_text(
            settings_file.text(
                self.name,
                self.ip,
                f"dc{self._number % 2}",
                router_ip(1),
                self.store_proxy.address if self.store_proxy else "",
                BOUNDS,
                first_start=self._process is None,
            )
        )
        log = self._folder / f"r{self._number}.log"
        with log.open("ab") as out:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "bulrushdale.start",
                env={**os.environ, "BULRUSHDALE_CONFIG": str(settings)},
                stdout=out,
                stderr=out,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send the process a signal if it is running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    def peak_mb(self) -> float:
        """Return the peak of the process's memory; 0 if it has ended."""
        if self._process is None or self._process.returncode is not None:
            return 0.0
        try:
            return misbehaving_clients.memory_mb(self._process.pid, "VmHWM")
        except (OSError, AssertionError):
            return 0.0

    def has_ended_by_itself(self) -> bool:
        """Return whether the process ended without a signal."""
        return (
            self._process is not None
            and self._process.returncode is not None
            and not self.restarting
        )

    async def wait(self) -> None:
        """Wait until the process ends."""
        if self._process is not None:
            await self._process.wait()
