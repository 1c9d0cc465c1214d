"""Loopback deployment for the cases of the second review.

The routers are the project's own program, started with the command of the
deploy file. The store, the servers and the clients are small stand-ins that
follow the users' pages. Only the standard library is used.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST_NAME = "shop.example"
KEY = "key-one"
READY_TIMEOUT_S = 30
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case can't run."""


class Record:
    """Writes what was sent, answered and run, with the time in seconds."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w")
        self._start_s = time.monotonic()

    def write(self, text):
        elapsed_s = time.monotonic() - self._start_s
        line = f"{elapsed_s:8.3f} {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


def free_port(ip):
    with socket.socket() as sock:
        for _ in range(200):
            port = random.randrange(12_000, 30_000)
            with contextlib.suppress(OSError):
                sock.bind((ip, port))
                return port
    raise CaseError(f"no free port on {ip}")


def loopback_ips(count):
    """Return addresses on which the fixed metrics port is free."""
    network = f"127.{random.randrange(20, 220)}.{random.randrange(1, 250)}"
    return [f"{network}.{number + 2}" for number in range(count)]


# HTTP.


async def read_head(reader):
    """Return the start line and the headers, by lower-case name."""
    data = await reader.readuntil(b"\r\n\r\n")
    line, *fields = data.decode("latin-1").strip().split("\r\n")
    headers = {}
    for field in fields:
        name, _, value = field.partition(":")
        headers[name.strip().lower()] = value.strip()
    return line, headers


async def read_chunked(reader, on_data=None):
    data = bytearray()
    while True:
        size = int((await reader.readline()).split(b";")[0] or b"", 16)
        piece = await reader.readexactly(size)
        if on_data is not None:
            on_data(piece)
        data += piece
        await reader.readexactly(2)
        if not size:
            return bytes(data)


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        return await read_chunked(reader)
    length = int(headers.get("content-length", 0))
    return await reader.readexactly(length) if length else b""


def encode_head(line, headers):
    fields = "".join(
        f"{name.replace('_', '-')}: {value}\r\n"
        for name, value in headers.items()
    )
    return f"{line}\r\n{fields}\r\n".encode("latin-1")


# The platform's store.


class Store:
    """Keeps topics in memory and answers as the page on the store says."""

    def __init__(self, record):
        self._record = record
        self._topics = {}
        self._changed = asyncio.Condition()
        self._server = None
        self._writers = set()
        self.address = ""

    async def start(self, ip="127.0.0.1"):
        port = free_port(ip)
        self._server = await asyncio.start_server(self._serve, ip, port)
        self.address = f"{ip}:{port}"

    async def stop(self):
        if self._server is not None:
            self._server.close()
            for writer in list(self._writers):
                writer.close()

    async def put(self, topic, key, value):
        """Append a record; the return is the acknowledgement."""
        name = key.encode()
        await self._append(topic, bytes([len(name)]) + name + value)

    async def _append(self, topic, *contents):
        async with self._changed:
            records = self._topics.setdefault(topic, [])
            offset = len(records)
            records.extend(contents)
            self._changed.notify_all()
        return offset

    def newest(self, topic):
        found = {}
        for offset, content in enumerate(self._topics.get(topic, [])):
            size = content[0]
            key = content[1 : 1 + size].decode()
            value = content[1 + size :]
            found.pop(key, None)
            if value:
                found[key] = (offset, value)
        return found

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                path, _, query = target.partition("?")
                fields = dict(
                    item.split("=", 1) for item in query.split("&") if item
                )
                status, data = await self._respond(
                    path.rpartition("/")[2], fields, body
                )
                writer.write(
                    encode_head(
                        f"HTTP/1.1 {status}",
                        {"Content-Length": len(data)},
                    )
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(self, call, fields, body):
        topic = fields["topic"]
        records = self._topics.setdefault(topic, [])
        if call == "log-append":
            end = len(records)
            if "at" in fields and int(fields["at"]) != end:
                return "412 Failed", json.dumps({"end": end}).encode()
            contents = []
            while body:
                size = int.from_bytes(body[:4], "big")
                contents.append(body[4 : 4 + size])
                body = body[4 + size :]
            offset = await self._append(topic, *contents)
            answer = {"offset": offset, "end": offset + len(contents)}
            return "200 OK", json.dumps(answer).encode()
        if call == "log-newest":
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, (offset, value) in self.newest(topic).items()
            ]
            answer = {"items": items, "has_more": False, "end": len(records)}
            return "200 OK", json.dumps(answer).encode()
        if call == "log-read":
            start = int(fields["from"])
            wait_s = int(fields.get("wait_ms", 0)) / 1000
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s), self._changed:
                    await self._changed.wait_for(lambda: len(records) > start)
            data = len(records).to_bytes(8, "big") + (0).to_bytes(8, "big")
            for content in records[start:]:
                data += len(content).to_bytes(4, "big") + content
                if len(data) > 1 << 20:
                    break
            return "200 OK", data
        return "404 Not Found", b"{}"


# Servers.


class Request:
    """A request that reached a server."""

    def __init__(self, line, headers, body):
        self.method, self.target, _ = line.split(" ")
        self.headers = headers
        self.body = body
        self.id = headers.get("x-request-id", "")


class Server:
    """A server of a service, which registers itself in the store.

    :param respond: writes the answer to a request; false closes the
        connection.
    """

    BEAT_S = 1.2

    def __init__(self, record, store, service, name, respond, slots=64):
        self._record = record
        self._store = store
        self._service = service
        self.name = name
        self._respond = respond
        self._slots = slots
        self._server = None
        self._beat = None
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self.state = "ready"
        self.runs = []
        self.address = ""

    async def start(self, ip="127.0.0.1"):
        port = free_port(ip)
        self._server = await asyncio.start_server(
            self._serve, ip, port, backlog=512
        )
        self.address = f"{ip}:{port}"
        await self.write_entry()
        self._beat = asyncio.create_task(self._write_entries())

    async def stop(self):
        if self._beat is not None:
            self._beat.cancel()
        if self._server is not None:
            self._server.close()

    async def write_entry(self):
        self._sequence += 1
        entry = {
            "service": self._service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": self._slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        await self._store.put(
            "keyed.servers", self.name, json.dumps(entry).encode()
        )

    async def _write_entries(self):
        while True:
            await asyncio.sleep(self.BEAT_S)
            await self.write_entry()

    async def _serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                request = Request(line, headers, body)
                if headers.get("x-expect-instance") not in (None, self.name):
                    head = {"X-Instance-Id": self.name, "Content-Length": 0}
                    writer.write(encode_head("HTTP/1.1 421 Other", head))
                    continue
                self.runs.append(request.id)
                self._record.write(f"{self.name} runs {request.id}")
                if await self._respond(request, writer) is False:
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def sealed_head(request, length=None, **more):
    """Return the head of a server's success."""
    headers = {"X-Request-Id": request.id, "X-Server-Seal": "3e1b.07.5a2"}
    if length is not None:
        headers["Content-Length"] = length
    return encode_head("HTTP/1.1 200 OK", {**headers, **more})


# Routers.


class Router:
    """A router process, started with the command of the deploy file."""

    def __init__(self, record, name, ip, store_address, seeds, folder, **more):
        self._record = record
        self.name = name
        self.ip = ip
        self._folder = pathlib.Path(folder)
        self._store_address = store_address
        self._seeds = seeds
        self._more = more
        self._link_port = more["link_port"]
        self.front_port = free_port(ip)
        self.ready_port = free_port(ip)
        self.process = None
        self._starts = 0

    def _settings(self):
        bounds = {
            "stability_window_ms": 3000,
            "drain_ms": 2000,
            "grace_s": 8,
            "config_apply_ms": 2000,
            "strict_revocation": True,
            "revoke_ms": 5000,
            "retry_budget_ratio": 0.2,
            "budget_window_s": 10,
            "budget_slack": 54,
            **self._more.get("bounds", {}),
        }
        limits = {
            "cores": 2,
            "memory_mb": 300,
            "max_fds": 4100,
            "link_mbps": 1000.0,
            **self._more.get("limits", {}),
        }
        top = {
            "node_name": self.name,
            "role": "router",
            "machine_class": "front",
            "ip": self.ip,
            "zone": self._more.get("zone", "zone-a"),
            "region": "region",
            "internal_ports": [self._link_port, self._link_port + 15],
            "seeds": [f"{ip}:1" for ip in self._seeds],
            "bootstrap": self._starts == 0,
            "heartbeat_ms": 1200,
        }
        tables = {
            "listen": {
                "front": f"{self.ip}:{self.front_port}",
                "ready": f"{self.ip}:{self.ready_port}",
            },
            "limits": limits,
            "bounds": bounds,
            "platform": {"address": self._store_address, "form": "log"},
        }
        lines = [
            f"{name} = {json.dumps(value)}" for name, value in top.items()
        ]
        for table, fields in tables.items():
            lines.append(f"[{table}]")
            lines += [f"{n} = {json.dumps(v)}" for n, v in fields.items()]
        return "\n".join(lines) + "\n"

    def write_settings(self, **bounds):
        """Write the settings file, with changed bounds."""
        self._more["bounds"] = {**self._more.get("bounds", {}), **bounds}
        settings = self._folder / f"{self.name}.toml"
        settings.write_text(self._settings())
        self._record.write(f"settings of {self.name} written: {bounds}")
        return settings

    async def start(self, wait=True):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["router"]
        settings = self.write_settings()
        self._starts += 1
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= role.get("env", {})
        environment["BULRUSHDALE_CONFIG"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(role["run"]),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record.write(f"{self.name} started, process {self.process.pid}")
        if wait:
            await self.wait_ready()

    async def is_ready(self):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(
                self.ip, self.ready_port
            )
            with contextlib.closing(writer):
                writer.write(
                    b"GET /bulrushdale/readyz HTTP/1.1\r\nHost: x\r\n\r\n"
                )
                line, _ = await asyncio.wait_for(read_head(reader), 2)
                return " 200" in line
        return False

    async def wait_ready(self):
        until_s = time.monotonic() + READY_TIMEOUT_S
        while not await self.is_ready():
            if self.process.returncode is not None:
                raise CaseError(f"{self.name} ended at its start")
            if time.monotonic() > until_s:
                raise CaseError(f"{self.name} isn't ready")
            await asyncio.sleep(0.1)
        self._record.write(f"{self.name} is ready")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self._record.write(f"{signal.Signals(number).name} to {self.name}")
            self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class Deployment:
    """The store, servers and routers of a case."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.stack = contextlib.AsyncExitStack()
        self.store = Store(self.record)
        self.routers = []
        self._link_port = 0
        self._temporary = None

    async def __aenter__(self):
        if not (ROOT / "target/deps/bulrushdale").is_dir():
            raise CaseError("target/deps is missing; run the build first")
        await self.stack.__aenter__()
        self._temporary = self.stack.enter_context(
            tempfile.TemporaryDirectory()
        )
        await self.store.start()
        self.stack.push_async_callback(self.store.stop)
        return self

    async def __aexit__(self, *details):
        return await self.stack.__aexit__(*details)

    async def publish(self, version, routes, services, **more):
        """Write a configuration, as the operator does."""
        configuration = {
            "version": version,
            "routes": [
                {
                    "host": HOST_NAME,
                    "timeout_ms": 15_000,
                    "target_latency_ms": 800,
                    "priority": 1,
                    "max_attempts": 2,
                    "public": False,
                    "sticky_sessions": False,
                    "resumable": False,
                    **route,
                }
                for route in routes
            ],
            "services": [
                {"health_path": "/healthz", "max_connections": 360, **service}
                for service in services
            ],
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 4_194_304,
                "header_timeout_ms": 3_000,
                "idle_timeout_ms": 15_000,
            },
            "tenants": [{"name": "bakery", "api_keys": [KEY], "priority": 1}],
            **more,
        }
        await self.store.put(
            "keyed.op", "config", json.dumps(configuration).encode()
        )
        self.record.write(f"configuration {version} acknowledged")

    async def add_server(self, service, name, respond, **more):
        server = Server(
            self.record, self.store, service, name, respond, **more
        )
        await server.start()
        self.stack.push_async_callback(server.stop)
        return server

    async def add_routers(self, count, **more):
        ips = loopback_ips(count)
        self._link_port = free_port(ips[0])
        for number, ip in enumerate(ips):
            router = Router(
                self.record,
                f"front-{number + 1}",
                ip,
                self.store.address,
                ips[:3],
                self._temporary,
                link_port=self._link_port,
                **more,
            )
            self.routers.append(router)
            self.stack.push_async_callback(router.end)
            await router.start(wait=False)
        for router in self.routers:
            await router.wait_ready()
        return self.routers


def request_head(method, path, request_id, deadline_ms, **more):
    """Return the head of a client's request."""
    headers = {
        "Host": HOST_NAME,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": deadline_ms,
        "Authorization": f"Bearer {KEY}",
        **more,
    }
    return encode_head(f"{method} {path} HTTP/1.1", headers)


def run(folder, case, limit_s=110):
    """Run a case and exit with its result."""

    async def limited():
        async with asyncio.timeout(limit_s):
            async with Deployment(folder) as deployment:
                return await case(deployment)

    try:
        broken = asyncio.run(limited())
    except (CaseError, TimeoutError, OSError) as error:
        print(f"the case couldn't run: {error!r}")
        sys.exit(NOT_RUN)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)
