"""Inject the faults of a story, in series."""

import asyncio
import itertools
import signal
import time

from soak import faults
from soak import proxy as proxy_module
from soak import routers
from soak import runs
from soak import targets

STORY_STARTS_S = routers.RETRY_WINDOW_S


async def tell_story(run: runs.Run, end_s: float) -> None:
    """Inject the faults of the story, in parallel, until the end of the run.

    Changes of ids and addresses begin at once, the others after a window of
    the retry budget, in which requests have earned retries.
    """
    async with asyncio.TaskGroup() as group:
        if run.story.new_ids:
            group.create_task(_give_new_ids(run, group, end_s))
        if run.story.exchanges:
            group.create_task(_exchange_in_series(run, end_s))
        await asyncio.sleep(min(STORY_STARTS_S, end_s - time.monotonic()))
        run.record_event(f"the service fails: {run.story.failure}")
        run.failure = run.story.failure
        if run.story.signal_sent is not None:
            group.create_task(_restart_in_series(run, end_s))
        if run.story.cuts:
            group.create_task(_cut_in_series(run, end_s))
        if run.story.crashes:
            group.create_task(_crash_in_series(run, end_s))
        await asyncio.sleep(end_s - time.monotonic())
    run.failure = ""


def _staying_targets(run: runs.Run) -> list[str]:
    """Return the targets that don't leave, see :mod:`soak.faults`."""
    return list(run.targets)[2:]


async def _give_new_ids(
    run: runs.Run, group: asyncio.TaskGroup, end_s: float
) -> None:
    """Give one target after the other a new id at its address.

    :param group: runs what follows on each change.
    """
    while time.monotonic() < end_s:
        await asyncio.sleep(run.random.uniform(0.25, 0.7))
        name = run.random.choice(_staying_targets(run))
        group.create_task(targets.give_new_id(run, name))


async def _exchange_in_series(run: runs.Run, end_s: float) -> None:
    """Let pairs of targets exchange their addresses."""
    while time.monotonic() < end_s:
        await asyncio.sleep(run.random.uniform(0.25, 0.7))
        await targets.exchange_addresses(
            run, *run.random.sample(_staying_targets(run), 2)
        )


async def _restart_in_series(run: runs.Run, end_s: float) -> None:
    """Send all routers the signal of the story, again and again."""
    while time.monotonic() < end_s:
        await asyncio.sleep(run.random.uniform(2, 3))
        if run.story.in_turn:
            for router in run.routers:
                await _send_signal(run, router)
        else:
            await asyncio.gather(
                *(_send_signal(run, router) for router in run.routers)
            )


async def _send_signal(run: runs.Run, router: routers.Router) -> None:
    """Send a router the signal of the story, and let it run again."""
    if run.story.signal_sent is signal.SIGSTOP:
        await faults.freeze_router(run, router, run.random.uniform(0.5, 2))
    elif run.story.signal_sent is not None:
        await faults.restart_router(run, router, run.story.signal_sent)


async def _cut_in_series(run: runs.Run, end_s: float) -> None:
    """Cut the path to one target after the other."""
    names = itertools.cycle(run.target_proxies)
    while time.monotonic() < end_s - 2:
        name = next(names)
        with run.path_faults[name].record():
            proxy = run.target_proxies[name]
            proxy.mode = proxy_module.Mode.CUT
            run.record_event(f"{name}: cut")
            await asyncio.sleep(run.random.uniform(1, 2.7))
            proxy.mode = proxy_module.Mode.PASS
            run.record_event(f"{name}: pass")
        await asyncio.sleep(run.random.uniform(0.2, 1))


async def _crash_in_series(run: runs.Run, end_s: float) -> None:
    """Crash one target after the other; each comes back as a new start."""
    while time.monotonic() < end_s - 3:
        await asyncio.sleep(run.random.uniform(0.5, 3))
        # The first ones leave, see inject_faults.
        name = run.random.choice(list(run.targets)[2:])
        target = run.targets[name]
        with run.path_faults[name].record():
            run.record_event(f"{name} crashes")
            await target.crash()
            await asyncio.sleep(run.random.uniform(0.2, 2))
            _, _, port = target.address.rpartition(":")
            started_ms = time.time_ns() // 1_000_000
            await target.start(port=int(port))
            await targets.write_entry(run, name, "ready", started_ms)
            run.record_event(f"{name} is back")
