"""One run of the soak: processes, faults and callers from one seed."""

import asyncio
import collections
from collections import abc
import contextlib
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

HOST = "127.0.0.1"
CALLERS = 12
STREAM_EVENTS = 12
TARGETS = 4
FAULT_GAP_S = 0.7
REST_MS = 1_500
OLD_KEY, KEY = "key-old", "key-new"


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000


def _router_ip(number: int) -> str:
    """Return a loopback address that no other soak on this machine uses."""
    pid = os.getpid()
    return f"127.{20 + pid // 250 % 200}.{1 + pid % 250}.{number}"


class Calm:
    """Tells for how long something has been left alone by faults."""

    def __init__(self) -> None:
        self._faults = 0
        self._since_ms = _now_ms()

    @contextlib.contextmanager
    def broken(self) -> abc.Iterator[None]:
        """Note a fault for as long as the context lasts."""
        self._faults += 1
        try:
            yield
        finally:
            self._faults -= 1
            self._since_ms = _now_ms()

    def lasted_ms(self) -> int:
        """Return for how long there has been no fault, in ms."""
        return 0 if self._faults else _now_ms() - self._since_ms


class Router:
    """A router process with its own way to the store.

    :param number: from 1 on; gives its loopback address.
    :param folder: for its settings and log.

    :ivar ending: whether it was told to end and is to be started again.
    :ivar process_calm: since when its process runs undisturbed.
    :ivar store_calm: since when its way to the store is whole.
    """

    def __init__(self, number: int, folder: pathlib.Path) -> None:
        self.name = f"r{number}"
        self.ip = _router_ip(number)
        self.front = f"{self.ip}:{settings_file.CALLER_PORT}"
        self._number = number
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None
        self.store: proxy_module.Proxy | None = None
        self.ending = False
        self.process_calm = Calm()
        self.store_calm = Calm()

    async def start(self) -> None:
        """Start the process."""
        settings = self._folder / f"r{self._number}.toml"
        settings.write_text(
            settings_file.text(
                self.name,
                self.ip,
                f"dc{self._number % 2}",
                _router_ip(1),
                self.store.address if self.store else "",
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

    def send(self, number: signal.Signals) -> None:
        """Send the process a signal, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def ended(self) -> None:
        """Wait for the end of the process."""
        if self._process is not None:
            await self._process.wait()


class Run:
    """What one run works with.

    :param seed: decides faults and requests.
    :param routers: how many processes.
    :param folder: for settings and logs.
    """

    def __init__(self, seed: int, routers: int, folder: pathlib.Path) -> None:
        self.random = random.Random(seed)
        self.checker = checker_module.Checker()
        self.store = store_standin.Store()
        self.routers = [Router(n, folder) for n in range(1, routers + 1)]
        self.targets: dict[str, proxy_module.Proxy] = {}
        self.asked: dict[str, Router] = {}
        self.faults: dict[str, str] = {}
        self.paths_calm: dict[str, Calm] = collections.defaultdict(Calm)
        self.key = OLD_KEY
        self.version = 1
        self.leaving = ""
        self.stack = contextlib.AsyncExitStack()
        self.started_ms = _now_ms()
        self.history: list[str] = []

    def informed(self, request_id: str) -> bool:
        """Return whether the router of a request must know what is old news.

        That is so if it ran undisturbed for the time that news may take, and
        so did a router with a whole way to the store: they tell each other.
        """
        window_ms = checker_module.LEAVE_MS
        router = self.asked[request_id]
        return router.process_calm.lasted_ms() >= window_ms and any(
            other.process_calm.lasted_ms() >= window_ms
            and other.store_calm.lasted_ms() >= window_ms
            for other in self.routers
        )

    def note(self, what: str) -> None:
        """Note a fault, for whoever traces a broken promise."""
        self.history.append(f"{_now_ms() - self.started_ms} ms: {what}")

    async def publish(self, keys: tuple[str, ...]) -> None:
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
        ]
        value = {
            "version": self.version,
            "routes": [
                {**base, **route, "path_prefix": f"/{route['name']}/"}
                for route in routes
            ],
            "services": [{"name": "oven"}],
            "limits": {"max_body_bytes": 4_096},
            "tenants": [{"name": "bakery", "api_keys": list(keys)}],
        }
        self.version += 1
        await self.store.put("keyed.op", "config", orjson.dumps(value))

    async def add_target(self, name: str) -> None:
        """Start a target and list it."""

        async def answer(
            request: scripted_target.ReceivedRequest,
            writer: asyncio.StreamWriter,
        ) -> bool | None:
            return await self._answer(name, request, writer)

        target = scripted_target.ScriptedTarget(answer)
        await target.start()
        self.stack.push_async_callback(target.stop)
        front = proxy_module.Proxy(target.address)
        await front.start()
        self.stack.callback(front.stop)
        self.targets[name] = front
        await self.list_target(name, "ready")

    async def list_target(self, name: str, state: str) -> None:
        """Write a target's entry."""
        entry = {
            "service": "oven",
            "address": self.targets[name].address,
            "zone": "dc1",
            "slots": 8,
            "state": state,
            "born": 1,
        }
        await self.store.put("keyed.servers", name, orjson.dumps(entry))

    async def _answer(
        self,
        name: str,
        request: scripted_target.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool | None:
        if request.headers.get("x-expect-instance") != name:
            writer.write(scripted_target.response(request, "421 Misdirected"))
            return None
        router = self.asked[request.request_id]
        calm_ms = self.calm_ms(router, name)
        self.checker.arrived(name, router.name, _now_ms(), calm_ms)
        if self.faults.get(name) == "rest":
            self.checker.told_rest(name, router.name, _now_ms(), REST_MS)
            writer.write(
                scripted_target.response(
                    request,
                    "503 Full",
                    X_Not_Executed="1",
                    Retry_After=f"{REST_MS / 1000}",
                )
            )
            return None
        old_key = request.headers.get("x-own-key") == OLD_KEY
        self.checker.ran(
            request.request_id,
            name,
            old_key,
            _now_ms(),
            self.informed(request.request_id),
        )
        fault = self.faults.get(name, "")
        if fault and self.random.random() < 0.4:
            return await self._spoil(fault, request, writer)
        if "/chat/" in request.line or "/plan/" in request.line:
            await self._stream(request, writer, STREAM_EVENTS)
            writer.write(scripted_target.chunk(b""))
            return None
        extra = {}
        if name == self.leaving:
            self.checker.told_leaving(name, router.name, _now_ms())
            extra["Server_Leaving"] = "1"
        body = f"{request.request_id} done".encode()
        writer.write(scripted_target.response(request, body=body, **extra))
        return None

    def calm_ms(self, router: Router, target: str) -> int:
        """Return for how long a router and its way to a target are whole."""
        return min(
            router.process_calm.lasted_ms(),
            self.paths_calm[target].lasted_ms(),
        )

    async def _stream(
        self,
        request: scripted_target.ReceivedRequest,
        writer: asyncio.StreamWriter,
        end: int,
    ) -> None:
        first = int(request.headers.get("last-event-id", -1)) + 1
        writer.write(scripted_target.stream_head(request))
        for number in range(first, end):
            writer.write(scripted_target.chunk(scripted_target.event(number)))
            await writer.drain()
            await asyncio.sleep(0.02)

    async def _spoil(
        self,
        fault: str,
        request: scripted_target.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool | None:
        if fault == "hang":
            await asyncio.sleep(3)
        if fault == "cut":
            await self._stream(request, writer, STREAM_EVENTS // 2)
            writer.write(b"5\r\nid: ")
            await writer.drain()
        if fault == "extra":
            body = f"{request.request_id} done".encode()
            writer.write(scripted_target.response(request, body=body) * 2)
            return None
        if fault == "late":
            body = f"{request.request_id} done".encode()
            answer = scripted_target.response(request, body=body)
            writer.write(answer)
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.write(answer)
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


async def play(
    seed: int, seconds: float, routers: int
) -> checker_module.Checker:
    """Play one seed; keep the routers' logs if a promise was broken.

    :param seed: decides faults and requests.
    :param seconds: how long faults and requests go on.
    :param routers: how many router processes.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    run = Run(seed, routers, folder)
    async with run.stack:
        try:
            await _start(run)
            end_s = time.monotonic() + seconds
            callers = [
                asyncio.create_task(_call(run, number, end_s))
                for number in range(CALLERS)
            ]
            await _break(run, end_s)
            await asyncio.gather(*callers)
        finally:
            for router in run.routers:
                router.send(signal.SIGKILL)
                await router.ended()
    if run.checker.broken:
        run.checker.trace = [*run.history, f"logs: {folder}"]
    else:
        shutil.rmtree(folder)
    return run.checker


async def _start(run: Run) -> None:
    runner = web.AppRunner(run.store.app(), shutdown_timeout=0.1)
    await runner.setup()
    run.stack.push_async_callback(runner.cleanup)
    site = web.TCPSite(runner, HOST, 0)
    await site.start()
    port = runner.addresses[0][1]
    await run.publish((OLD_KEY, KEY))
    for number in range(TARGETS):
        await run.add_target(f"t{number}")
    for router in run.routers:
        router.store = proxy_module.Proxy(f"{HOST}:{port}")
        await router.store.start()
        run.stack.callback(router.store.stop)
        await router.start()
    await asyncio.sleep(2.5)


async def _call(run: Run, number: int, end_s: float) -> None:
    """Send requests one after the other, mostly on kept connections."""
    count = 0
    async with aiohttp.ClientSession() as session:
        session._retry_connection = False
        while time.monotonic() < end_s:
            count += 1
            request_id = f"c{number}-{count}"
            kind = run.random.choice(["order", "lookup", "chat", "plan"])
            router = run.random.choice(run.routers)
            run.checker.sent(request_id, kind in ("order", "chat"))
            run.asked[request_id] = router
            try:
                async with asyncio.timeout(6):
                    await _ask(run, session, router, kind, request_id)
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                run.checker.lost(type(error).__name__)
                await asyncio.sleep(0.1)


async def _ask(
    run: Run,
    session: aiohttp.ClientSession,
    router: Router,
    kind: str,
    request_id: str,
) -> None:
    key = run.key
    headers = {
        "Host": "example.test",
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "4000",
        "Authorization": f"Bearer {key}",
        "X-Own-Key": key,
        "X-Prompt-Prefix": f"{request_id[:2]}:700,{request_id}:20",
    }
    async with session.post(
        f"http://{router.front}/{kind}/x", headers=headers, data=b"x"
    ) as response:
        body = await response.read()
        expected = f"{request_id} done".encode()
        if kind in ("chat", "plan"):
            expected = b"".join(
                scripted_target.event(n) for n in range(STREAM_EVENTS)
            )
        run.checker.answered(
            request_id,
            response.status,
            response.headers.get("X-Request-Id", ""),
            body == expected,
            key == OLD_KEY,
        )


async def _break(run: Run, end_s: float) -> None:
    """Inject faults, overlapping and in series, until the end."""
    faults = [
        _kill,
        _freeze,
        _stop,
        _cut_store,
        _cut_target,
        _spoil_target,
        _overload_target,
    ]
    work = []
    revoke_s = time.monotonic() + 2
    leave_s = time.monotonic() + 4
    tell_s = time.monotonic() + 3
    while time.monotonic() < end_s:
        fault = run.random.choice(faults)
        work.append(asyncio.create_task(fault(run)))
        if revoke_s is not None and time.monotonic() > revoke_s:
            revoke_s = None
            run.note("the old key is taken away")
            await run.publish((KEY,))
            run.checker.revoked(_now_ms())
            run.key = KEY
        if tell_s is not None and time.monotonic() > tell_s:
            tell_s = None
            run.note("t1 leaves, and says so in its answers only")
            run.leaving = "t1"
        if leave_s is not None and time.monotonic() > leave_s:
            leave_s = None
            run.note("t0 leaves")
            await run.list_target("t0", "draining")
            run.checker.left("t0", _now_ms())
        await asyncio.sleep(run.random.uniform(0.2, 2 * FAULT_GAP_S))
    await asyncio.gather(*work)


async def _kill(run: Run) -> None:
    await _end(run, signal.SIGKILL)


async def _stop(run: Run) -> None:
    await _end(run, signal.SIGTERM)


async def _end(run: Run, number: signal.Signals) -> None:
    """End a router with a signal, and start it again.

    A second signal may come while the first is still at work; only the one
    that came first starts the router again.
    """
    router = run.random.choice(run.routers)
    router.send(number)
    router.send(signal.SIGCONT)
    if router.ending:
        return
    router.ending = True
    run.note(f"{router.name} gets {number.name}")
    with router.process_calm.broken():
        await router.ended()
        await asyncio.sleep(run.random.uniform(0, 0.5))
        await router.start()
    run.note(f"{router.name} starts")
    router.ending = False


async def _freeze(run: Run) -> None:
    router = run.random.choice(run.routers)
    run.note(f"{router.name} freezes")
    router.send(signal.SIGSTOP)
    with router.process_calm.broken():
        await asyncio.sleep(run.random.uniform(0.5, 6))
    run.note(f"{router.name} goes on")
    router.send(signal.SIGCONT)


async def _cut_store(run: Run) -> None:
    router = run.random.choice(run.routers)
    with router.store_calm.broken():
        await _cut(run, f"the store from {router.name}", router.store)


async def _cut_target(run: Run) -> None:
    name = run.random.choice(list(run.targets))
    with run.paths_calm[name].broken():
        await _cut(run, name, run.targets[name])


async def _cut(run: Run, what: str, path: proxy_module.Proxy | None) -> None:
    if path is None:
        return
    path.mode = run.random.choice(list(proxy_module.Mode))
    run.note(f"{what}: {path.mode.value}")
    if run.random.random() < 0.5:
        path.reset()
    await asyncio.sleep(run.random.uniform(0.5, 5))
    path.mode = proxy_module.Mode.PASS
    run.note(f"{what}: pass")


async def _spoil_target(run: Run) -> None:
    name = run.random.choice(list(run.targets))
    run.faults[name] = run.random.choice(
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
    run.faults.pop(name, None)


async def _overload_target(run: Run) -> None:
    """Have a target turn requests away, and ask for a pause each time."""
    name = run.random.choice(list(run.targets))
    run.note(f"{name} asks for pauses")
    run.faults[name] = "rest"
    await asyncio.sleep(run.random.uniform(1, 4))
    run.faults.pop(name, None)
    run.note(f"{name} asks for no more pauses")
