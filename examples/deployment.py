"""Run a complete deployment as separate processes on loopback.

The quick start, the tests and the benches use it to start stand-ins of the
platform, engines and services, and routers, and to stop, kill, freeze and
thaw each process by its id.
"""

import asyncio
import dataclasses
import hashlib
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import typing

import aiohttp
import yaml

from examples import ports

OPERATOR_KEY = "operator-key"
READY_TIMEOUT_S = 40


def sha256(text: str) -> str:
    """Return the hash under which a key is stored."""
    return hashlib.sha256(text.encode()).hexdigest()


@dataclasses.dataclass
class Shape:
    """Composition of a deployment.

    :param data_centres: names of the data centres.
    :param routers: number of routers in each data centre.
    :param engines: number of engines in each data centre.
    :param services: number of service instances in each data centre.
    :param engine_slots: slots of each target's entry; an engine itself has
        two more.
    :param engine_options: further command line options of every engine.
    :param settings: sections that are merged into every router's settings.
    :param promise: spec of the entry ``promise/fleet``.
    :param teams: specs of teams by name, merged over the defaults.
    :param service_spec: spec of the entry ``service/orders``.
    :param list_lag_ms: lag of the platform's list of VMs, in ms.
    :param retention_ms: retention of the store's records, in ms.
    """

    data_centres: list[str] = dataclasses.field(
        default_factory=lambda: ["mid-a"]
    )
    routers: int = 3
    engines: int = 3
    services: int = 1
    engine_slots: int = 8
    engine_options: dict = dataclasses.field(default_factory=dict)
    settings: dict = dataclasses.field(default_factory=dict)
    promise: dict = dataclasses.field(default_factory=dict)
    teams: dict = dataclasses.field(default_factory=dict)
    service_spec: dict = dataclasses.field(default_factory=dict)
    list_lag_ms: int = 300
    retention_ms: int = 172_800_000


class Process:
    """One process of the deployment."""

    def __init__(self, name: str, args: list[str], log: pathlib.Path) -> None:
        self.name = name
        self.args = args
        self.log = log
        self.popen: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process and append its output to its log file."""
        with open(self.log, "ab") as out:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", *self.args], stdout=out, stderr=out
            )

    def signal(self, number: int) -> None:
        """Send the process a signal if it is running."""
        if self.popen is not None and self.popen.poll() is None:
            os.kill(self.popen.pid, number)

    def wait(self, timeout_s: float) -> int:
        """Wait until the process ends and return its exit status."""
        return self.popen.wait(timeout_s)


class Deployment:
    """Processes and addresses of one deployment."""

    def __init__(self, shape: Shape) -> None:
        self.shape = shape
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="bulrushdale-"))
        self.processes: dict[str, Process] = {}
        self.urls: dict[str, str] = {}
        self.vms: dict[str, dict] = {}
        self.router_ports: dict[str, tuple[int, int, int]] = {}
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Deployment":
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.processes.values():
            if process.popen is not None:
                process.popen.wait()
        await self.session.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def _start(self) -> None:
        """Start all processes, create the entries and wait for readiness."""
        shape = self.shape
        store_port, list_port = ports.free_ports(2)
        self._start_standin(
            "store",
            "store",
            store_port,
            "--retention-ms",
            str(shape.retention_ms),
        )
        self._start_standin(
            "vm-list", "vm_list", list_port, "--lag-ms", str(shape.list_lag_ms)
        )
        for data_centre in shape.data_centres:
            for number in range(shape.engines):
                self._start_target(
                    data_centre, "engine", f"{data_centre}-engine-{number}"
                )
            for number in range(shape.services):
                self._start_target(
                    data_centre, "service", f"{data_centre}-order-{number}"
                )
        for data_centre in shape.data_centres:
            for number in range(shape.routers):
                self._configure_router(
                    data_centre, f"{data_centre}-router-{number}"
                )
        await self.wait_listening()
        await self.publish_vms()
        for name in self.router_names():
            self.processes[name].start()
        await self.wait_listening()
        await self.create_entries(self.entries())
        await self.wait_ready()

    def _start_standin(
        self, name: str, module: str, port: int, *options: str
    ) -> None:
        """Start a stand-in and record its URL."""
        args = [f"examples.standins.{module}", "--port", str(port), *options]
        process = Process(name, args, self.folder / f"{name}.log")
        self.processes[name] = process
        self.urls[name] = f"http://{ports.HOST}:{port}"
        process.start()

    def _start_target(self, data_centre: str, module: str, name: str) -> None:
        """Start an engine or a service, and add it to the list of VMs."""
        (port,) = ports.free_ports(1)
        arguments: list[str] = []
        if module == "engine":
            options = {
                "slots": self.shape.engine_slots + 2,
                "name": name,
                **self.shape.engine_options,
            }
            for key, value in options.items():
                arguments += [f"--{key.replace('_', '-')}", str(value)]
        self._start_standin(name, module, port, *arguments)
        self.vms[name] = {
            "name": name,
            "role": "target",
            "data_centre": data_centre,
            "address": self.urls[name],
            "state": "live",
        }

    def _configure_router(self, data_centre: str, name: str) -> None:
        """Write a router's settings, and add it to the list of VMs."""
        caller, operator, link = ports.free_ports(3)
        settings = {
            "router": name,
            "data_centre": data_centre,
            "listen": {
                "host": ports.HOST,
                "caller_port": caller,
                "operator_port": operator,
                "link_port": link,
            },
            "platform": {
                "store_url": self.urls["store"],
                "vm_list_url": f"{self.urls['vm-list']}/vms?viewer={name}",
                "retention_ms": self.shape.retention_ms,
                "poll_interval_ms": 500,
            },
            "fleet_secret": "a-secret-of-the-fleet",
            "answer_secrets": ["a-secret-for-answers"],
            "operator_key_sha256": [sha256(OPERATOR_KEY)],
            "limits": {"drain_notice_ms": 1000},
        }
        for section, values in self.shape.settings.items():
            if isinstance(values, dict):
                settings[section] = {**settings.get(section, {}), **values}
            else:
                settings[section] = values
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        self.router_ports[name] = (caller, operator, link)
        self.urls[name] = f"http://{ports.HOST}:{caller}"
        self.urls[f"{name}/operator"] = f"http://{ports.HOST}:{operator}"
        self.processes[name] = Process(
            name,
            ["bulrushdale.cli", "router", "--config", str(path)],
            self.folder / f"{name}.log",
        )
        self.vms[name] = {
            "name": name,
            "role": "router",
            "data_centre": data_centre,
            "address": f"{ports.HOST}:{link}",
            "state": "live",
            "operator_address": f"http://{ports.HOST}:{operator}",
        }

    def router_names(self, data_centre: str | None = None) -> list[str]:
        """Return the names of the routers of one or all data centres."""
        return [
            name
            for name in self.router_ports
            if data_centre is None
            or self.vms[name]["data_centre"] == data_centre
        ]

    def engine_names(self) -> list[str]:
        """Return the names of all engines."""
        return [name for name in self.vms if "-engine-" in name]

    def service_names(self) -> list[str]:
        """Return the names of all service instances."""
        return [name for name in self.vms if "-order-" in name]

    def entries(self) -> list[tuple[str, str, dict]]:
        """Return kind, name and spec of the initial catalogue entries."""
        shape = self.shape
        entries = [
            ("promise", "fleet", shape.promise),
            (
                "class",
                "gold",
                {"weight": 8, "queue_ms": 10_000, "engine_priority": 9},
            ),
            (
                "class",
                "bronze",
                {"weight": 1, "queue_ms": 20_000, "engine_priority": 1},
            ),
            ("pool", "chat", {"model": "loaf-1"}),
            ("service", "orders", shape.service_spec),
        ]
        teams = {"bakery": {}, "agencia": {"class_of_service": "bronze"}}
        for name, spec in {**teams, **shape.teams}.items():
            defaults = {
                "owner": name,
                "class_of_service": "gold",
                "key_sha256": [sha256(f"{name}-key")],
            }
            entries.append(("team", name, {**defaults, **spec}))
        for name in self.engine_names() + self.service_names():
            pool = "chat" if "-engine-" in name else "orders"
            entries.append(
                (
                    "target",
                    name,
                    {
                        "pool": pool,
                        "data_centre": self.vms[name]["data_centre"],
                        "url": self.urls[name],
                        "slots": shape.engine_slots,
                    },
                )
            )
        return entries

    async def wait_listening(self) -> None:
        """Wait until all started processes accept connections."""
        for name, process in self.processes.items():
            if process.popen is None:
                continue
            urls = [self.urls[name]]
            if f"{name}/operator" in self.urls:
                urls.append(self.urls[f"{name}/operator"])
            for url in urls:
                await self._wait_for_port(process, int(url.rpartition(":")[2]))

    async def _wait_for_port(self, process: Process, port: int) -> None:
        """Wait until a process accepts connections on a port.

        :raises RuntimeError: if it ended, or doesn't listen in time.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if process.popen.poll() is not None:
                raise RuntimeError(process.log.read_text()[-3000:])
            try:
                _, writer = await asyncio.open_connection(ports.HOST, port)
                writer.close()
                return
            except OSError:
                await asyncio.sleep(0.05)
        raise RuntimeError(f"{process.name} does not listen on port {port}")

    async def wait_ready(self, names: list[str] | None = None) -> None:
        """Wait until routers are ready, linked and attached.

        :raises RuntimeError: if one is not within ``READY_TIMEOUT_S``.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        for name in names or self.router_names():
            while not await self._is_ready(name):
                if time.monotonic() > deadline:
                    state = await self._describe_state(name)
                    log = self.processes[name].log.read_text()[-3000:]
                    raise RuntimeError(f"{name} is not ready: {state} {log}")
                await asyncio.sleep(0.1)

    async def _describe_state(self, name: str) -> str:
        """Return how a router describes its state, for an error message."""
        try:
            ready = await self.operator(name, "GET", "/readyz")
            fleet = await self.operator(name, "GET", "/fleet")
        except aiohttp.ClientError as error:
            return repr(error)
        return f"{ready} {fleet}"

    async def _is_ready(self, name: str) -> bool:
        """Return whether a router is ready and takes part in its fleet.

        It must be linked to all running routers of its data centre and be
        attached to a running coordinator for both pools, and all shards that
        it coordinates must grant slots.
        """
        try:
            status, _ = await self.operator(name, "GET", "/readyz")
            if status != 200:
                return False
            _, fleet = await self.operator(name, "GET", "/fleet")
        except aiohttp.ClientError:
            return False
        data_centre = self.vms[name]["data_centre"]
        alive = [
            other
            for other in self.router_names(data_centre)
            if self.processes[other].popen is not None
            and self.processes[other].popen.poll() is None
        ]
        local_links = [
            x for x in fleet["links"] if x["data_centre"] == data_centre
        ]
        attached = (
            all(session["home"] in alive for session in fleet["seats"])
            and len(fleet["seats"]) >= 2
        )
        has_grants = all(scheduler["grants"] for scheduler in fleet["desks"])
        return len(local_links) >= len(alive) - 1 and attached and has_grants

    async def operator(
        self, name: str, method: str, path: str, **options: typing.Any
    ) -> tuple[int, typing.Any]:
        """Send a request to a router's operator port."""
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        headers.update(options.pop("headers", {}))
        url = self.urls[f"{name}/operator"] + path
        async with self.session.request(
            method, url, headers=headers, **options
        ) as response:
            return response.status, await response.json()

    async def create_entries(
        self, entries: list[tuple[str, str, dict]]
    ) -> None:
        """Create entries, none of which may exist yet.

        Waits while routers respond with status 503.

        :raises RuntimeError: if an entry can't be created.
        """
        name = self.router_names()[0]
        deadline = time.monotonic() + READY_TIMEOUT_S
        for kind, entry, spec in entries:
            while True:
                status, result = await self.operator(
                    name,
                    "PUT",
                    f"/catalogue/{kind}/{entry}",
                    json=spec,
                    headers={"If-None-Match": "*"},
                )
                if status == 200:
                    break
                if status != 503 or time.monotonic() > deadline:
                    raise RuntimeError(f"{kind}/{entry}: {result}")
                await asyncio.sleep(0.1)

    async def update_entry(
        self, kind: str, entry: str, **fields: object
    ) -> int:
        """Change fields of an entry; return its new revision."""
        name = self.router_names()[0]
        path = f"/catalogue/{kind}/{entry}"
        _, current = await self.operator(name, "GET", path)
        status, result = await self.operator(
            name,
            "PUT",
            path,
            json={**current["spec"], **fields},
            headers={"If-Match": f'"{current["revision"]}"'},
        )
        if status != 200:
            raise RuntimeError(str(result))
        return result["revision"]

    async def publish_vms(self) -> None:
        """Replace the platform's list by the current state of the VMs."""
        await self.post("vm-list", "/vms", list(self.vms.values()))

    async def post(self, name: str, path: str, data: object) -> typing.Any:
        """Send JSON to a stand-in and return its JSON response."""
        url = self.urls[name] + path
        async with self.session.post(url, json=data) as response:
            return await response.json()

    async def get(self, name: str, path: str) -> typing.Any:
        """Return JSON from a stand-in."""
        async with self.session.get(self.urls[name] + path) as response:
            return await response.json()

    async def set_faults(self, name: str, **faults: object) -> None:
        """Set the faults of a stand-in."""
        prefix = "/-" if name in self.service_names() else ""
        await self.post(name, f"{prefix}/faults", faults)

    def kill(self, name: str) -> None:
        """Kill a process and wait until it ends."""
        self.processes[name].signal(signal.SIGKILL)
        self.processes[name].wait(5)

    def freeze(self, name: str) -> None:
        """Suspend a process."""
        self.processes[name].signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a suspended process."""
        self.processes[name].signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Ask a process to stop gracefully."""
        self.processes[name].signal(signal.SIGTERM)

    async def restart(self, name: str) -> None:
        """Start a process again once it has ended."""
        process = self.processes[name]
        await asyncio.to_thread(process.popen.wait)
        process.start()
        await self.wait_listening()

    async def chat(
        self, router: str, team: str = "bakery", **body: typing.Any
    ) -> tuple[int, typing.Any, typing.Mapping[str, str]]:
        """Request a completion without streaming.

        :return: status, body and headers of the response.
        """
        data = {
            "model": "loaf-1",
            "messages": [{"role": "user", "content": "hello"}],
            "max_tokens": 8,
            **body,
        }
        async with self.session.post(
            f"{self.urls[router]}/v1/chat/completions",
            json=data,
            headers={"Authorization": f"Bearer {team}-key"},
        ) as response:
            return response.status, await response.json(), response.headers

    async def order(
        self,
        router: str,
        key: str | None,
        body: object = None,
        team: str = "bakery",
    ) -> tuple[int, typing.Any, typing.Mapping[str, str]]:
        """Send an order that must not run twice.

        :return: status, body and headers of the response.
        """
        headers = {"Authorization": f"Bearer {team}-key"}
        if key is not None:
            headers["Idempotency-Key"] = key
        async with self.session.post(
            f"{self.urls[router]}/services/orders/loaves",
            json=body or {"loaves": 2},
            headers=headers,
        ) as response:
            return response.status, await response.json(), response.headers

    async def effects(self) -> dict[str, int]:
        """Return the number of effects by key, over all services."""
        total: dict[str, int] = {}
        for name in self.service_names():
            stats = await self.get(name, "/-/stats")
            for key, count in stats["effects"].items():
                total[key] = total.get(key, 0) + count
        return total
