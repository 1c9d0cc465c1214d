"""State of one run: its targets, what they see, and the configuration."""

import asyncio
import collections
import contextlib
import pathlib
import random
import time

import orjson

from examples.standins import scripted_target
from examples.standins import store as store_standin
from soak import checker as checker_module
from soak import clock
from soak import proxy as proxy_module
from soak import repeats
from soak import responses
from soak import routers
from soak import stories

BACKOFF_MS = 1_500
OLD_KEY, KEY = "key-old", "key-new"
SILENT_RUN_S = 9.0
# Share of the runs that fail while the whole service does.
FAILING_SHARE = 0.95


class Run:
    """State of one run of the soak.

    :param seed: seed of the random faults and requests.
    :param router_count: number of router processes.
    :param folder: the folder of settings and logs.
    :param story: the lasting faults; none to draw them.
    """

    def __init__(
        self,
        seed: int,
        router_count: int,
        folder: pathlib.Path,
        story: stories.Story | None = None,
    ) -> None:
        self.random = random.Random(seed)
        self.story = story or stories.draw_story(
            random.Random(f"story {seed}")
        )
        self.checker = checker_module.Checker(
            repeats.Repeats(
                routers.RETRY_RATIO,
                routers.RETRY_SLACK,
                int(routers.RETRY_WINDOW_S * 1000),
            )
        )
        self.store = store_standin.Store()
        self.routers = [
            routers.Router(n, folder) for n in range(1, router_count + 1)
        ]
        self.targets: dict[str, scripted_target.ScriptedTarget] = {}
        self.target_proxies: dict[str, proxy_module.Proxy] = {}
        self.router_by_request: dict[str, routers.Router] = {}
        self.target_faults: dict[str, str] = {}
        self.failure = ""
        self.born_ms = time.time_ns() // 1_000_000
        self.path_faults: dict[str, routers.FaultTracker] = (
            collections.defaultdict(routers.FaultTracker)
        )
        self.key = OLD_KEY
        self.configuration_version = 1
        self.leaving_target = ""
        self.stack = contextlib.AsyncExitStack()
        self.started_ms = clock.now_ms()
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
        self.history.append(f"{clock.now_ms() - self.started_ms} ms: {what}")

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
        self.checker.repeats.record_arrival(request.request_id, clock.now_ms())
        if request.headers.get("x-expect-instance") != name:
            writer.write(scripted_target.response(request, "421 Misdirected"))
            return None
        router = self.router_by_request[request.request_id]
        fault_free_ms = self.fault_free_ms(router, name)
        self.checker.record_arrival(
            name, router.name, clock.now_ms(), fault_free_ms
        )
        fault = self.target_faults.get(name, "")
        share = 1.0 if fault == "backoff" else 0.4
        if not fault and self.failure:
            fault, share = self.failure, FAILING_SHARE
        if self.random.random() >= share:
            fault = ""
        if fault == "backoff":
            self.checker.record_backoff_notice(
                name, router.name, clock.now_ms(), BACKOFF_MS
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
            clock.now_ms(),
            self.must_know_changes(request.request_id),
        )
        try:
            return await self._run(name, router, fault, request, writer)
        finally:
            self.checker.record_end(
                request.request_id,
                name,
                clock.now_ms(),
                self.fault_free_ms(router, name),
            )

    async def _run(
        self,
        name: str,
        router: routers.Router,
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
            return await responses.send_faulty_response(fault, request, writer)
        if "/review/" in request.line:
            await asyncio.sleep(SILENT_RUN_S)
        if any(
            f"/{kind}/" in request.line for kind in ("chat", "plan", "review")
        ):
            await responses.send_stream(
                request, writer, responses.STREAM_EVENTS
            )
            writer.write(scripted_target.chunk(b""))
            return None
        extra = {}
        if name == self.leaving_target:
            self.checker.record_leaving_notice(
                name, router.name, clock.now_ms()
            )
            extra["Server_Leaving"] = "1"
        body = f"{request.request_id} done".encode()
        writer.write(scripted_target.response(request, body=body, **extra))
        return None

    def fault_free_ms(self, router: routers.Router, target: str) -> int:
        """Return the time since a fault of a router or its path to a target.

        :return: time in ms.
        """
        return min(
            router.process_faults.fault_free_ms(),
            self.path_faults[target].fault_free_ms(),
        )
