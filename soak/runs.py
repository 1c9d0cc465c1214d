"""State of one run, and its configuration."""

import collections
import contextlib
import itertools
import pathlib
import random
import time

import orjson

from examples.standins import misbehaving_clients
from examples.standins import scripted_target
from examples.standins import store as store_standin
from soak import checker as checker_module
from soak import clock
from soak import copies
from soak import proxy as proxy_module
from soak import repeats
from soak import routers
from soak import stories

OLD_KEY, KEY = "key-old", "key-new"


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
        self.seed = seed
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
        self.copies = copies.Copies(
            random.Random(f"copies {seed}"),
            self.story.copied_soon,
            self.checker.copies_met,
        )
        self.targets: dict[str, scripted_target.ScriptedTarget] = {}
        self.target_ids: dict[str, str] = {}
        self.start_numbers = itertools.count(1)
        self.target_proxies: dict[str, proxy_module.Proxy] = {}
        self.router_by_request: dict[str, routers.Router] = {}
        self._start_by_request: dict[str, int] = {}
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

    def record_sent(
        self, request_id: str, router: routers.Router, at_most_once: bool
    ) -> None:
        """Record that a caller sends a request to a router."""
        self.checker.record_sent(request_id, at_most_once)
        self.checker.repeats.record_request(clock.now_ms())
        self.router_by_request[request_id] = router
        self._start_by_request[request_id] = router.starts

    def reads_response(self, request_id: str) -> bool:
        """Return whether the process that sent a request may still run."""
        router = self.router_by_request[request_id]
        return self._start_by_request[request_id] == router.starts

    def must_know_changes(self, request_id: str) -> bool:
        """Return whether a request's router must know a change by now.

        It must if it has run without faults for as long as a change may
        take, and so has some router whose path to the store had no faults
        either, as routers pass changes on to each other.
        """
        window_ms = checker_module.MAX_LEAVING_DELAY_MS
        now_ms = clock.now_ms()
        router = self.router_by_request[request_id]
        return router.process_faults.fault_free_ms(
            now_ms
        ) >= window_ms and any(
            other.process_faults.fault_free_ms(now_ms) >= window_ms
            and other.store_faults.fault_free_ms(now_ms) >= window_ms
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
            "limits": {
                "max_body_bytes": misbehaving_clients.BODY_BYTES,
                "header_timeout_ms": 3_000,
                "idle_timeout_ms": 15_000,
            },
            "tenants": [{"name": "bakery", "api_keys": list(keys)}],
        }
        self.configuration_version += 1
        await self.store.put("keyed.op", "config", orjson.dumps(value))

    def fault_free_ms(
        self, router: routers.Router, target: str, now_ms: int
    ) -> int:
        """Return the time since a fault of a router or its path to a target.

        :param now_ms: the time, in ms on the soak's clock; the same reading
            as of the event that is compared with it.
        :return: time in ms.
        """
        return min(
            router.process_faults.fault_free_ms(now_ms),
            self.path_faults[target].fault_free_ms(now_ms),
        )
