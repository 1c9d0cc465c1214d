"""Crowds of clients that don't behave, which come in series."""

import asyncio
import contextlib
import random
import time

from examples.standins import misbehaving_clients
from examples.standins import settings_file
from soak import routers
from soak import runs

CROWD = 40
# How long a crowd stays, and the time until the next one.
STAY_S = (1.0, 4.0)
GAP_S = (0.2, 1.5)
DOORS = (
    (settings_file.CALLER_PORT, "/order/x"),
    (settings_file.CALLER_PORT, "/lookup/x"),
    (settings_file.CALLER_PORT, "/chat/x"),
    (settings_file.CALLER_PORT, "/plan/x"),
    (settings_file.CALLER_PORT, "/none"),
    (settings_file.READY_PORT, "/readyz"),
)


async def send_crowds(run: runs.Run, end_s: float) -> None:
    """Send crowds to random routers, and check what these hold.

    They have no valid key: targets would take them for requests that nobody
    sent.
    """
    if not run.story.crowds:
        return
    rng = random.Random(f"clients {run.seed}")
    while time.monotonic() < end_s:
        router = rng.choice(run.routers)
        kind = rng.choice(misbehaving_clients.KINDS)
        run.record_event(f"{kind.__name__}: a crowd comes to {router.name}")
        crowd = misbehaving_clients.Crowd(_head)
        doors = [((router.ip, port), path) for port, path in DOORS]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(rng.uniform(*STAY_S)):
                await crowd.join(kind, doors, CROWD)
                await asyncio.sleep(STAY_S[1])
        crowd.leave()
        check_routers(run)
        await asyncio.sleep(rng.uniform(*GAP_S))


def check_routers(run: runs.Run) -> None:
    """Check that all routers live, and within their memory."""
    for router in run.routers:
        if router.has_ended_by_itself():
            run.checker.violations.append(f"{router.name} ended by itself")
        peak_mb = router.peak_mb()
        if peak_mb > routers.MEMORY_MB:
            run.checker.violations.append(
                f"{router.name} took {peak_mb:.0f} MB"
            )


def _head(number: str, path: str) -> bytes:
    return (
        f"POST {path} HTTP/1.1\r\nHost: example.test\r\n"
        f"X-Request-Id: m-{number}\r\nX-Deadline-Ms: 4000\r\n"
        "Authorization: Bearer key-of-nobody\r\n"
    ).encode()
