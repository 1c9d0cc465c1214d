"""Inject single faults, some of them overlapping."""

import asyncio
import signal
import time

from soak import clock
from soak import proxy as proxy_module
from soak import routers
from soak import runs
from soak import targets

FAULT_GAP_S = 0.7


async def inject_faults(run: runs.Run, end_s: float) -> None:
    """Inject faults, some of them overlapping, until the end of the run.

    Besides, the old key is revoked once, and two targets leave: one whose
    entry says so, and one that announces it in its responses only.
    """
    faults = [
        _kill,
        _freeze,
        _terminate,
        _disrupt_store_path,
        _disrupt_target_path,
        _break_target,
        _overload_target,
    ]
    tasks = []
    revoke_s = time.monotonic() + 2
    leave_s = time.monotonic() + 4
    announce_s = time.monotonic() + 3
    while time.monotonic() < end_s:
        if not run.story.alone:
            fault = run.random.choice(faults)
            tasks.append(asyncio.create_task(fault(run)))
        if revoke_s is not None and time.monotonic() > revoke_s:
            revoke_s = None
            run.record_event("the old key is revoked")
            await run.publish_configuration((runs.KEY,))
            run.checker.record_revocation(clock.now_ms())
            run.key = runs.KEY
        if announce_s is not None and time.monotonic() > announce_s:
            announce_s = None
            run.record_event(
                "t1 is leaving, and says so in its responses only"
            )
            run.leaving_target = "t1"
        if leave_s is not None and time.monotonic() > leave_s:
            leave_s = None
            run.record_event("t0 is leaving")
            await targets.write_entry(run, "t0", "draining")
            run.checker.record_entry_leaving("t0", clock.now_ms())
        await asyncio.sleep(run.random.uniform(0.2, 2 * FAULT_GAP_S))
    await asyncio.gather(*tasks)


async def _kill(run: runs.Run) -> None:
    await _restart(run, signal.SIGKILL)


async def _terminate(run: runs.Run) -> None:
    await _restart(run, signal.SIGTERM)


async def _restart(run: runs.Run, number: signal.Signals) -> None:
    """Restart a random router after ending it with a signal.

    A router may get a second signal while it is still ending; only the
    call that sent the first signal starts it again.
    """
    await restart_router(
        run,
        run.random.choice(run.routers),
        number,
        run.random.uniform(0, 0.5),
    )


async def restart_router(
    run: runs.Run,
    router: routers.Router,
    number: signal.Signals,
    delay_s: float = 0.0,
) -> None:
    """Restart a router after ending it with a signal.

    :param delay_s: time until it starts again, in s.
    """
    router.send_signal(number)
    # A suspended process handles SIGTERM only once it continues.
    router.send_signal(signal.SIGCONT)
    if router.restarting:
        return
    router.restarting = True
    run.record_event(f"{router.name} gets {number.name}")
    with router.process_faults.record():
        await router.wait()
        await asyncio.sleep(delay_s)
        await router.start()
    run.record_event(f"{router.name} starts")
    router.restarting = False


async def _freeze(run: runs.Run) -> None:
    """Suspend a router for 0.5 to 6 s."""
    router = run.random.choice(run.routers)
    await freeze_router(run, router, run.random.uniform(0.5, 6))


async def freeze_router(
    run: runs.Run, router: routers.Router, seconds: float
) -> None:
    """Suspend a router for a time, in s."""
    run.record_event(f"{router.name} is frozen")
    router.send_signal(signal.SIGSTOP)
    with router.process_faults.record():
        await asyncio.sleep(seconds)
    run.record_event(f"{router.name} is resumed")
    router.send_signal(signal.SIGCONT)


async def _disrupt_store_path(run: runs.Run) -> None:
    router = run.random.choice(run.routers)
    with router.store_faults.record():
        await _disrupt(run, f"store path of {router.name}", router.store_proxy)


async def _disrupt_target_path(run: runs.Run) -> None:
    name = run.random.choice(list(run.target_proxies))
    with run.path_faults[name].record():
        await _disrupt(run, name, run.target_proxies[name])


async def _disrupt(
    run: runs.Run, name: str, proxy: proxy_module.Proxy | None
) -> None:
    """Apply a random proxy mode for 0.5 to 5 s."""
    if proxy is None:
        return
    proxy.mode = run.random.choice(list(proxy_module.Mode))
    run.record_event(f"{name}: {proxy.mode.value}")
    if run.random.random() < 0.5:
        proxy.reset()
    await asyncio.sleep(run.random.uniform(0.5, 5))
    proxy.mode = proxy_module.Mode.PASS
    run.record_event(f"{name}: pass")


async def _break_target(run: runs.Run) -> None:
    """Let a target respond to some requests with a fault for a while."""
    name = run.random.choice(list(run.target_proxies))
    run.target_faults[name] = run.random.choice(
        [
            "hang",
            "cut",
            "close",
            "extra",
            "error",
            "late",
            "endless",
            "trickle",
        ]
    )
    await asyncio.sleep(run.random.uniform(0.5, 4))
    run.target_faults.pop(name, None)


async def _overload_target(run: runs.Run) -> None:
    """Let a target refuse requests and ask for back-off each time."""
    name = run.random.choice(list(run.target_proxies))
    run.record_event(f"{name} asks for back-off")
    run.target_faults[name] = "backoff"
    await asyncio.sleep(run.random.uniform(1, 4))
    run.target_faults.pop(name, None)
    run.record_event(f"{name} stops asking for back-off")
