"""Run the soak for one seed: start processes, inject faults, call."""

import asyncio
import collections
from collections import abc
import contextlib
import dataclasses
import itertools
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time

import aiohttp
from aiohttp import web
import orjson

from examples.standins import scripted_target
from examples.standins import settings_file
from examples.standins import store as store_standin
from soak import checker as checker_module
from soak import proxy as proxy_module
from soak import repeats

HOST = "127.0.0.1"
CALLERS = 12
# After a request that failed.
CALLER_PAUSE_S = 0.12
HTTP_OK = 200
STREAM_EVENTS = 12
TARGETS = 6
FAULT_GAP_S = 0.7
BACKOFF_MS = 1_500
OLD_KEY, KEY = "key-old", "key-new"
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S = 0.2, 10, 10
BOUNDS = (
    f"retry_budget_ratio = {RETRY_RATIO}\nbudget_slack = {RETRY_SLACK}\n"
    f"budget_window_s = {RETRY_WINDOW_S}"
)
# Requests that come at a steady rate, whatever becomes of those before.
STEADY_GAP_S = 0.006
# Share of them whose first event comes late, and after what time.
SILENT_SHARE = 0.04
SILENT_RUN_S = 9.0
# Share of the runs that fail while the whole service does.
FAILING_SHARE = 0.95
STORY_STARTS_S = RETRY_WINDOW_S


@dataclasses.dataclass(frozen=True, slots=True)
class Story:
    """Faults that last and come in series, beside the single ones.

    :param failure: the fault of nearly all runs; empty for none.
    :param signal_sent: the signal that all routers get, one series after the
        other; none for no restarts.
    :param in_turn: whether they get it one after the other.
    :param cuts: whether paths to targets are cut in series.
    :param crashes: whether targets crash and come back in series.
    :param alone: whether there are no single faults besides.
    """

    failure: str = ""
    signal_sent: signal.Signals | None = None
    in_turn: bool = False
    cuts: bool = False
    crashes: bool = False
    alone: bool = False


def draw_story(rng: random.Random) -> Story:
    """Return a random story."""
    return Story(
        rng.choice(["", "error", "close", "cut", "hang", "backoff"]),
        rng.choice([None, signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP]),
        rng.random() < 0.3,
        rng.random() < 0.5,
        rng.random() < 0.3,
        rng.random() < 0.5,
    )


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000


def _router_ip(number: int) -> str:
    """Return a router's loopback address, distinct for each soak process."""
    pid = os.getpid()
    return f"127.{20 + pid // 250 % 200}.{1 + pid % 250}.{number}"


class FaultTracker:
    """Measure how long a part of the fleet has been free of faults."""

    def __init__(self) -> None:
        self._faults = 0
        self._since_ms = _now_ms()

    @contextlib.contextmanager
    def record(self) -> abc.Iterator[None]:
        """Record a fault that lasts until the context ends."""
        self._faults += 1
        try:
            yield
        finally:
            self._faults -= 1
            self._since_ms = _now_ms()

    def fault_free_ms(self) -> int:
        """Return the time since the last fault, in ms; 0 during a fault."""
        return 0 if self._faults else _now_ms() - self._since_ms


class Router:
    """A router process with its own proxy to the store.

    :param number: number from 1 on, which determines its loopback address.
    :param folder: the folder of its settings and log.

    :ivar restarting: whether it got a signal to end and will be started again.
    :ivar process_faults: faults of its process.
    :ivar store_faults: faults of its path to the store.
    """

    def __init__(self, number: int, folder: pathlib.Path) -> None:
        self.name = f"r{number}"
        self.ip = _router_ip(number)
        self.caller_address = f"{self.ip}:{settings_file.CALLER_PORT}"
        self._number = number
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None
        self.store_proxy: proxy_module.Proxy | None = None
        self.restarting = False
        self.process_faults = FaultTracker()
        self.store_faults = FaultTracker()

    async def start(self) -> None:
        """Start the process."""
        settings = self._folder / f"r{self._number}.toml"
        settings.write_text(
            settings_file.text(
                self.name,
                self.ip,
                f"dc{self._number % 2}",
                _router_ip(1),
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

    async def wait(self) -> None:
        """Wait until the process ends."""
        if self._process is not None:
            await self._process.wait()


class Run:
    """State of one run of the soak.

    :param seed: seed of the random faults and requests.
    :param routers: number of router processes.
    :param folder: the folder of settings and logs.
    :param story: the lasting faults; none to draw them.
    """

    def __init__(
        self,
        seed: int,
        routers: int,
        folder: pathlib.Path,
        story: Story | None = None,
    ) -> None:
        self.random = random.Random(seed)
        self.story = story or draw_story(random.Random(f"story {seed}"))
        self.checker = checker_module.Checker(
            repeats.Repeats(
                RETRY_RATIO, RETRY_SLACK, int(RETRY_WINDOW_S * 1000)
            )
        )
        self.store = store_standin.Store()
        self.routers = [Router(n, folder) for n in range(1, routers + 1)]
        self.targets: dict[str, scripted_target.ScriptedTarget] = {}
        self.target_proxies: dict[str, proxy_module.Proxy] = {}
        self.router_by_request: dict[str, Router] = {}
        self.target_faults: dict[str, str] = {}
        self.failure = ""
        self.born_ms = time.time_ns() // 1_000_000
        self.path_faults: dict[str, FaultTracker] = collections.defaultdict(
            FaultTracker
        )
        self.key = OLD_KEY
        self.configuration_version = 1
        self.leaving_target = ""
        self.stack = contextlib.AsyncExitStack()
        self.started_ms = _now_ms()
        self.history: list[str] = []

    def must_know_changes(self, request_id: str) -> bool:
        """Return whether a request's router must know a change by now.

        It must if it has run without faults for as long as a change may
        take, and so has some router whose path to the store had no faults
        either, as routers pass changes on to each other.
        """
        window_ms = checker_module.MAX_LEAVING_DELAY_MS
        router = self.router_by_request[request_id]
        return router.process_faults.fault_free_ms() >= window_ms and any(
            other.process_faults.fault_free_ms() >= window_ms
            and other.store_faults.fault_free_ms() >= window_ms
            for other in self.routers
        )

    def record_event(self, what: str) -> None:
        """Record a fault or change for the trace of a violation."""
        self.history.append(f"{_now_ms() - self.started_ms} ms: {what}")

    async def publish_configuration(self, keys: tuple[str, ...]) -> None:
        """Publish the next version of the configuration."""
        base = {
            "host": "example.test",
            "service": "oven",
            "timeout_ms": 4_000,
            "target_latency_ms": 300,
            "priority": 1,
            "public": False,
            "max_attempts": 2,
        }
        routes = [
            {"name": "order", "kind": "non_idempotent"},
            {"name": "lookup", "kind": "idempotent"},
            {"name": "chat", "kind": "streaming", "sticky_sessions": True},
            {
                "name": "plan",
                "kind": "streaming",
                "resumable": True,
                "sticky_sessions": True,
            },
            {
                "name": "review",
                "kind": "streaming",
                "resumable": True,
                "timeout_ms": 14_000,
            },
        ]
        value = {
            "version": self.configuration_version,
            "routes": [
                {**base, **route, "path_prefix": f"/{route['name']}/"}
                for route in routes
            ],
            "services": [{"name": "oven"}],
            "limits": {"max_body_bytes": 4_096},
            "tenants": [{"name": "bakery", "api_keys": list(keys)}],
        }
        self.configuration_version += 1
        await self.store.put("keyed.op", "config", orjson.dumps(value))

    async def add_target(self, name: str) -> None:
        """Start a target behind a proxy and write its entry."""

        async def respond(
            request: scripted_target.ReceivedRequest,
            writer: asyncio.StreamWriter,
        ) -> bool | None:
            return await self._respond(name, request, writer)

        target = scripted_target.ScriptedTarget(respond)
        await target.start()
        self.stack.push_async_callback(target.stop)
        self.targets[name] = target
        proxy = proxy_module.Proxy(target.address)
        await proxy.start()
        self.stack.callback(proxy.stop)
        self.target_proxies[name] = proxy
        await self.write_target_entry(name, "ready")

    async def write_target_entry(
        self, name: str, state: str, started_ms: int | None = None
    ) -> None:
        """Write a target's entry to the store.

        :param started_ms: when the target started, in ms since the epoch;
            none if before the run.
        """
        entry = {
            "service": "oven",
            "address": self.target_proxies[name].address,
            "zone": "dc1",
            "slots": 8,
            "state": state,
            "born": self.born_ms if started_ms is None else started_ms,
        }
        await self.store.put("keyed.servers", name, orjson.dumps(entry))

    async def _respond(
        self,
        name: str,
        request: scripted_target.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool | None:
        """Respond as one of the targets, and record what it sees.

        :param name: the target's name.
        :param request: the request that arrived.
        :param writer: stream to the router.
        :return: ``False`` if the connection is to be closed.
        """
        self.checker.repeats.record_arrival(request.request_id, _now_ms())
        if request.headers.get("x-expect-instance") != name:
            writer.write(scripted_target.response(request, "421 Misdirected"))
            return None
        router = self.router_by_request[request.request_id]
        fault_free_ms = self.fault_free_ms(router, name)
        self.checker.record_arrival(
            name, router.name, _now_ms(), fault_free_ms
        )
        fault = self.target_faults.get(name, "")
        share = 1.0 if fault == "backoff" else 0.4
        if not fault and self.failure:
            fault, share = self.failure, FAILING_SHARE
        if self.random.random() >= share:
            fault = ""
        if fault == "backoff":
            self.checker.record_backoff_notice(
                name, router.name, _now_ms(), BACKOFF_MS
            )
            writer.write(
                scripted_target.response(
                    request,
                    "503 Full",
                    X_Not_Executed="1",
                    Retry_After=f"{BACKOFF_MS / 1000}",
                )
            )
            return None
        old_key = request.headers.get("x-own-key") == OLD_KEY
        self.checker.record_execution(
            request.request_id,
            name,
            old_key,
            _now_ms(),
            self.must_know_changes(request.request_id),
        )
        try:
            return await self._run(name, router, fault, request, writer)
        finally:
            self.checker.record_end(
                request.request_id,
                name,
                _now_ms(),
                self.fault_free_ms(router, name),
            )

    async def _run(
        self,
        name: str,
        router: Router,
        fault: str,
        request: scripted_target.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool | None:
        """Run a request at a target.

        :param name: the target's name.
        :param router: the router that sent it.
        :param fault: how the run fails; empty if it doesn't.
        :param writer: stream to the router.
        :return: ``False`` if the connection is to be closed.
        """
        if fault:
            return await self._send_faulty_response(fault, request, writer)
        if "/review/" in request.line:
            await asyncio.sleep(SILENT_RUN_S)
        if any(
            f"/{kind}/" in request.line for kind in ("chat", "plan", "review")
        ):
            await self._send_stream(request, writer, STREAM_EVENTS)
            writer.write(scripted_target.chunk(b""))
            return None
        extra = {}
        if name == self.leaving_target:
            self.checker.record_leaving_notice(name, router.name, _now_ms())
            extra["Server_Leaving"] = "1"
        body = f"{request.request_id} done".encode()
        writer.write(scripted_target.response(request, body=body, **extra))
        return None

    def fault_free_ms(self, router: Router, target: str) -> int:
        """Return the time since a fault of a router or its path to a target.

        :return: time in ms.
        """
        return min(
            router.process_faults.fault_free_ms(),
            self.path_faults[target].fault_free_ms(),
        )

    async def _send_stream(
        self,
        request: scripted_target.ReceivedRequest,
        writer: asyncio.StreamWriter,
        event_count: int,
    ) -> None:
        """Send the events after the request's last event id, without the end.

        :param event_count: number of events of the complete stream.
        """
        first = int(request.headers.get("last-event-id", -1)) + 1
        writer.write(scripted_target.stream_head(request))
        for number in range(first, event_count):
            writer.write(scripted_target.chunk(scripted_target.event(number)))
            await writer.drain()
            await asyncio.sleep(0.02)

    async def _send_faulty_response(
        self,
        fault: str,
        request: scripted_target.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool | None:
        """Respond with a fault.

        The connection is closed after the faults ``hang``, ``cut`` and
        ``close``.

        :return: ``False`` if the connection is to be closed.
        """
        if fault == "hang":
            await asyncio.sleep(3)
        if fault == "cut":
            await self._send_stream(request, writer, STREAM_EVENTS // 2)
            writer.write(b"5\r\nid: ")
            await writer.drain()
        if fault == "extra":
            body = f"{request.request_id} done".encode()
            writer.write(scripted_target.response(request, body=body) * 2)
            return None
        if fault == "late":
            body = f"{request.request_id} done".encode()
            response = scripted_target.response(request, body=body)
            writer.write(response)
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.write(response)
            return None
        if fault == "endless":
            writer.write(scripted_target.stream_head(request))
            while True:
                writer.write(scripted_target.chunk(b"x" * 65_536))
                await writer.drain()
        if fault == "trickle":
            writer.write(scripted_target.stream_head(request))
            while True:
                writer.write(scripted_target.chunk(b"."))
                await asyncio.sleep(0.1)
        if fault == "error":
            writer.write(scripted_target.response(request, "500 Broken"))
            return None
        return False


async def run_seed(
    seed: int, seconds: float, routers: int, story: Story | None = None
) -> checker_module.Checker:
    """Run one seed; keep the routers' logs if a guarantee was violated.

    :param seed: seed of the random faults and requests.
    :param seconds: duration of faults and requests, in s.
    :param routers: number of router processes.
    :param story: the lasting faults; none to draw them.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    run = Run(seed, routers, folder, story)
    run.record_event(str(run.story))
    async with run.stack:
        try:
            await _start_fleet(run)
            end_s = time.monotonic() + seconds
            callers = [
                asyncio.create_task(_send_requests(run, number, end_s))
                for number in range(CALLERS)
            ]
            callers.append(asyncio.create_task(_send_steadily(run, end_s)))
            await asyncio.gather(
                _inject_faults(run, end_s), _tell_story(run, end_s)
            )
            await asyncio.gather(*callers)
        finally:
            for router in run.routers:
                router.send_signal(signal.SIGKILL)
                await router.wait()
    run.checker.check_repeats()
    if run.checker.violations:
        run.checker.trace = [*run.history, f"logs: {folder}"]
    else:
        shutil.rmtree(folder)
    return run.checker


async def _start_fleet(run: Run) -> None:
    """Start the store, the targets and the routers."""
    runner = web.AppRunner(run.store.app(), shutdown_timeout=0.1)
    await runner.setup()
    run.stack.push_async_callback(runner.cleanup)
    site = web.TCPSite(runner, HOST, 0)
    await site.start()
    port = runner.addresses[0][1]
    await run.publish_configuration((OLD_KEY, KEY))
    for number in range(TARGETS):
        await run.add_target(f"t{number}")
    for router in run.routers:
        router.store_proxy = proxy_module.Proxy(f"{HOST}:{port}")
        await router.store_proxy.start()
        run.stack.callback(router.store_proxy.stop)
        await router.start()
    await asyncio.sleep(2.5)


async def _send_requests(run: Run, number: int, end_s: float) -> None:
    """Send requests in sequence, mostly on persistent connections."""
    count = 0
    async with aiohttp.ClientSession() as session:
        session._retry_connection = False
        while time.monotonic() < end_s:
            count += 1
            request_id = f"c{number}-{count}"
            kind = run.random.choice(["order", "lookup", "chat", "plan"])
            if not await _send_one(run, session, kind, request_id):
                await asyncio.sleep(CALLER_PAUSE_S)


async def _send_steadily(run: Run, end_s: float) -> None:
    """Send requests at a steady rate, whatever becomes of them."""
    async with (
        aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session,
        asyncio.TaskGroup() as group,
    ):
        session._retry_connection = False
        for count in itertools.count():
            if time.monotonic() >= end_s:
                break
            kind = "lookup"
            if run.story.cuts and run.random.random() < SILENT_SHARE:
                kind = "review"
            group.create_task(_send_one(run, session, kind, f"s-{count}"))
            await asyncio.sleep(STEADY_GAP_S)


async def _send_one(
    run: Run, session: aiohttp.ClientSession, kind: str, request_id: str
) -> bool:
    """Send one request to a random router; return whether it succeeded."""
    router = run.random.choice(run.routers)
    run.checker.record_sent(request_id, kind in ("order", "chat"))
    run.checker.repeats.record_request(_now_ms())
    run.router_by_request[request_id] = router
    try:
        async with asyncio.timeout(15 if kind == "review" else 6):
            return await _send_request(run, session, router, kind, request_id)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        run.checker.record_lost(type(error).__name__)
        return False


async def _send_request(
    run: Run,
    session: aiohttp.ClientSession,
    router: Router,
    kind: str,
    request_id: str,
) -> bool:
    """Send one request and record its response.

    :param kind: name of the route, which is also the first part of the path.
    :return: whether it succeeded.
    """
    key = run.key
    headers = {
        "Host": "example.test",
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "14000" if kind == "review" else "4000",
        "Authorization": f"Bearer {key}",
        "X-Own-Key": key,
        "X-Prompt-Prefix": f"{request_id[:2]}:700,{request_id}:20",
    }
    async with session.post(
        f"http://{router.caller_address}/{kind}/x", headers=headers, data=b"x"
    ) as response:
        body = await response.read()
        expected = f"{request_id} done".encode()
        if kind in ("chat", "plan", "review"):
            expected = b"".join(
                scripted_target.event(n) for n in range(STREAM_EVENTS)
            )
        run.checker.record_response(
            request_id,
            response.status,
            response.headers.get("X-Request-Id", ""),
            body == expected,
            key == OLD_KEY,
        )
        return response.status == HTTP_OK


async def _tell_story(run: Run, end_s: float) -> None:
    """Inject the faults of the story, in parallel, until the end of the run.

    They begin after a window of the retry budget, in which requests have
    earned retries.
    """
    await asyncio.sleep(STORY_STARTS_S)
    run.record_event(f"the service fails: {run.story.failure}")
    run.failure = run.story.failure
    async with asyncio.TaskGroup() as group:
        if run.story.signal_sent is not None:
            group.create_task(_restart_in_series(run, end_s))
        if run.story.cuts:
            group.create_task(_cut_in_series(run, end_s))
        if run.story.crashes:
            group.create_task(_crash_in_series(run, end_s))
        group.create_task(asyncio.sleep(end_s - time.monotonic()))
    run.failure = ""


async def _restart_in_series(run: Run, end_s: float) -> None:
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


async def _send_signal(run: Run, router: Router) -> None:
    """Send a router the signal of the story, and let it run again."""
    if run.story.signal_sent is signal.SIGSTOP:
        await _freeze_router(run, router, run.random.uniform(0.5, 2))
    elif run.story.signal_sent is not None:
        await _restart_router(run, router, run.story.signal_sent)


async def _cut_in_series(run: Run, end_s: float) -> None:
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


async def _crash_in_series(run: Run, end_s: float) -> None:
    """Crash one target after the other; each comes back as a new start."""
    while time.monotonic() < end_s - 3:
        await asyncio.sleep(run.random.uniform(0.5, 3))
        # The first ones leave, see _inject_faults.
        name = run.random.choice(list(run.targets)[2:])
        target = run.targets[name]
        with run.path_faults[name].record():
            run.record_event(f"{name} crashes")
            await target.crash()
            await asyncio.sleep(run.random.uniform(0.2, 2))
            _, _, port = target.address.rpartition(":")
            started_ms = time.time_ns() // 1_000_000
            await target.start(port=int(port))
            await run.write_target_entry(name, "ready", started_ms)
            run.record_event(f"{name} is back")


async def _inject_faults(run: Run, end_s: float) -> None:
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
            await run.publish_configuration((KEY,))
            run.checker.record_revocation(_now_ms())
            run.key = KEY
        if announce_s is not None and time.monotonic() > announce_s:
            announce_s = None
            run.record_event(
                "t1 is leaving, and says so in its responses only"
            )
            run.leaving_target = "t1"
        if leave_s is not None and time.monotonic() > leave_s:
            leave_s = None
            run.record_event("t0 is leaving")
            await run.write_target_entry("t0", "draining")
            run.checker.record_entry_leaving("t0", _now_ms())
        await asyncio.sleep(run.random.uniform(0.2, 2 * FAULT_GAP_S))
    await asyncio.gather(*tasks)


async def _kill(run: Run) -> None:
    await _restart(run, signal.SIGKILL)


async def _terminate(run: Run) -> None:
    await _restart(run, signal.SIGTERM)


async def _restart(run: Run, number: signal.Signals) -> None:
    """Restart a random router after ending it with a signal.

    A router may get a second signal while it is still ending; only the
    call that sent the first signal starts it again.
    """
    await _restart_router(
        run,
        run.random.choice(run.routers),
        number,
        run.random.uniform(0, 0.5),
    )


async def _restart_router(
    run: Run, router: Router, number: signal.Signals, delay_s: float = 0.0
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


async def _freeze(run: Run) -> None:
    """Suspend a router for 0.5 to 6 s."""
    router = run.random.choice(run.routers)
    await _freeze_router(run, router, run.random.uniform(0.5, 6))


async def _freeze_router(run: Run, router: Router, seconds: float) -> None:
    """Suspend a router for a time, in s."""
    run.record_event(f"{router.name} is frozen")
    router.send_signal(signal.SIGSTOP)
    with router.process_faults.record():
        await asyncio.sleep(seconds)
    run.record_event(f"{router.name} is resumed")
    router.send_signal(signal.SIGCONT)


async def _disrupt_store_path(run: Run) -> None:
    router = run.random.choice(run.routers)
    with router.store_faults.record():
        await _disrupt(run, f"store path of {router.name}", router.store_proxy)


async def _disrupt_target_path(run: Run) -> None:
    name = run.random.choice(list(run.target_proxies))
    with run.path_faults[name].record():
        await _disrupt(run, name, run.target_proxies[name])


async def _disrupt(
    run: Run, name: str, proxy: proxy_module.Proxy | None
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


async def _break_target(run: Run) -> None:
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


async def _overload_target(run: Run) -> None:
    """Let a target refuse requests and ask for back-off each time."""
    name = run.random.choice(list(run.target_proxies))
    run.record_event(f"{name} asks for back-off")
    run.target_faults[name] = "backoff"
    await asyncio.sleep(run.random.uniform(1, 4))
    run.target_faults.pop(name, None)
    run.record_event(f"{name} stops asking for back-off")
