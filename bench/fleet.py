"""Measure what running routers spend on peers, requests and tokens."""

import asyncio
import os
import statistics
import time
import typing

import click
import psutil

from bench import report
from examples import deployment

PEERS = (1, 3, 5, 8, 11)
IDLE_S = 8
RATES = (5, 10, 20, 28)
LOAD_S = 8
SLOT_RATES = (0, 20, 40, 60, 80)
SHORT_TOKENS = 10
LONG_TOKENS = 228
STREAMS = (100, 250, 500, 1_000)


class Meter:
    """Measure CPU, memory and control bytes of one router in an interval."""

    def __init__(self, fleet: deployment.Deployment, name: str) -> None:
        self._fleet = fleet
        self._name = name
        pid = fleet.processes[name].popen.pid
        self._process = psutil.Process(pid)

    async def start(self) -> None:
        """Start the interval."""
        self._started_bytes = await self._control_bytes()
        self._started_cpu_s = sum(self._process.cpu_times()[:2])
        self._started_s = time.monotonic()

    async def stop(self) -> dict[str, float]:
        """End the interval and return rates per second, and the memory now."""
        seconds = time.monotonic() - self._started_s
        cpu_s = sum(self._process.cpu_times()[:2]) - self._started_cpu_s
        spent = await self._control_bytes() - self._started_bytes
        return {
            "cpu_percent": 100 * cpu_s / seconds,
            "control_bytes_per_s": spent / seconds,
            "rss_mb": self._process.memory_info().rss / 1e6,
        }

    async def _control_bytes(self) -> int:
        _, view = await self._fleet.operator(self._name, "GET", "/fleet")
        return view["control_bytes"]


async def _idle(routers: int) -> dict[str, float]:
    """Return what an idle router spends, as the median over all."""
    shape = deployment.Shape(routers=routers, engines=2, services=1)
    async with deployment.Deployment(shape) as fleet:
        meters = [Meter(fleet, name) for name in fleet.router_names()]
        await asyncio.sleep(2)
        for meter in meters:
            await meter.start()
        await asyncio.sleep(IDLE_S)
        spent = [await meter.stop() for meter in meters]
    return {
        key: statistics.median(one[key] for one in spent) for key in spent[0]
    }


def run_peers() -> None:
    """Measure idle routers with a growing number of peers."""
    rows = []
    for peers in PEERS:
        rows.append({"peers": peers, **asyncio.run(_idle(peers + 1))})
        click.echo(f"{peers} peers done", err=True)
    fits = {
        key: report.fit_line([(row["peers"], row[key]) for row in rows])
        for key in ("cpu_percent", "control_bytes_per_s", "rss_mb")
    }
    report.print_and_save("peers", rows, fits)
    report.plot(
        "peers",
        {
            "bytes/s": [
                (row["peers"], row["control_bytes_per_s"]) for row in rows
            ]
        },
        "peers",
        "control bytes a second, both ways",
    )


def _body(tokens: int, number: int) -> dict[str, typing.Any]:
    return {
        "model": "loaf-1",
        "messages": [{"role": "user", "content": f"chat {number}"}],
        "max_tokens": tokens,
        "stream": True,
    }


async def _time_to_first_frame(
    fleet: deployment.Deployment, url: str, tokens: int, number: int
) -> float:
    """Read a response to its end and return the time to its first frame.

    :return: time in ms.
    """
    started = time.monotonic()
    first = 0.0
    async with fleet.session.post(
        f"{url}/v1/chat/completions",
        json=_body(tokens, number),
        headers={"Authorization": "Bearer bakery-key"},
    ) as response:
        assert response.status == 200, await response.text()
        async for _ in response.content.iter_any():
            first = first or time.monotonic() - started
    return first * 1000


async def _send_at_rate(
    fleet: deployment.Deployment,
    urls: list[str],
    rate: float,
    tokens: int,
    seconds: float,
) -> list[float]:
    """Send requests at a steady rate and return times to the first frame.

    :return: times in ms.
    """
    waiting = []
    started = time.monotonic()
    for number in range(int(rate * seconds)):
        due = started + number / rate - time.monotonic()
        await asyncio.sleep(max(0, due))
        url = urls[number % len(urls)]
        waiting.append(
            asyncio.create_task(
                _time_to_first_frame(fleet, url, tokens, number)
            )
        )
    return await asyncio.gather(*waiting)


def _quantile(values: list[float], share: float) -> float:
    return sorted(values)[int(share * (len(values) - 1))]


ENGINE = {"token_ms": 20, "slots": 400, "cache_blocks": 400}


def _shape(routers: int) -> deployment.Shape:
    """Return a deployment whose engines never limit the load."""
    return deployment.Shape(
        routers=routers,
        engines=3,
        services=1,
        engine_slots=380,
        engine_options=ENGINE,
        promise={"team_share": 1.0},
    )


async def _entry_and_coordinator(
    fleet: deployment.Deployment,
) -> tuple[str, str]:
    """Return another router than the pool's coordinator, and that one."""
    names = fleet.router_names()
    _, view = await fleet.operator(names[0], "GET", "/fleet")
    coordinator = next(s["home"] for s in view["seats"] if s["pool"] == "chat")
    return next(name for name in names if name != coordinator), coordinator


async def _slots() -> list[dict]:
    """Send a coordinator slot requests from other routers as it relays."""
    shape = _shape(routers=3)
    rows = []
    async with deployment.Deployment(shape) as fleet:
        _, coordinator = await _entry_and_coordinator(fleet)
        others = [
            fleet.urls[n] for n in fleet.router_names() if n != coordinator
        ]
        own = [fleet.urls[coordinator]]
        # Relays until the last rate is done: 6 s before the first rate and
        # LOAD_S for each rate, with a margin of 1 s per rate and 2 s in all.
        relaying = asyncio.create_task(
            _send_at_rate(fleet, own, 14, LONG_TOKENS, 8 + 9 * len(SLOT_RATES))
        )
        await asyncio.sleep(6)
        for rate in SLOT_RATES:
            meter = Meter(fleet, coordinator)
            await meter.start()
            started = time.monotonic()
            await _send_at_rate(fleet, others, rate, SHORT_TOKENS, LOAD_S)
            await asyncio.sleep(LOAD_S - time.monotonic() + started)
            spent = await meter.stop()
            rows.append(
                {
                    "slot requests/s": rate,
                    "home CPU %": spent["cpu_percent"],
                    "control bytes/s": spent["control_bytes_per_s"],
                }
            )
            click.echo(f"{rate} slot requests/s done", err=True)
        await relaying
    return rows


def run_slots() -> None:
    """Measure the cost of slot requests at a coordinator that also relays."""
    rows = asyncio.run(_slots())
    slopes = {
        name: report.fit_line([(r["slot requests/s"], r[name]) for r in rows])
        for name in ("home CPU %", "control bytes/s")
    }
    report.print_and_save("slots", rows, slopes)


async def _relay() -> list[dict]:
    """Load a router that isn't the coordinator, and the engines directly."""
    shape = _shape(routers=2)
    rows = []
    async with deployment.Deployment(shape) as fleet:
        engines = [fleet.urls[name] for name in fleet.engine_names()]
        entry, _ = await _entry_and_coordinator(fleet)
        await _send_at_rate(fleet, [fleet.urls[entry]], 10, 20, 2)
        for rate in RATES:
            for tokens in (SHORT_TOKENS, LONG_TOKENS):
                meter = Meter(fleet, entry)
                await meter.start()
                through, direct = await asyncio.gather(
                    _send_at_rate(
                        fleet, [fleet.urls[entry]], rate, tokens, LOAD_S
                    ),
                    _send_at_rate(fleet, engines, 5, tokens, LOAD_S),
                )
                spent = await meter.stop()
                rows.append(
                    {
                        "requests/s": rate,
                        "tokens": tokens,
                        "CPU %": spent["cpu_percent"],
                        "control bytes/s": spent["control_bytes_per_s"],
                        "first token p50 ms": _quantile(through, 0.5),
                        "p95 ms": _quantile(through, 0.95),
                        "direct p50 ms": _quantile(direct, 0.5),
                        "direct p95 ms": _quantile(direct, 0.95),
                    }
                )
                click.echo(f"{rate}/s of {tokens} tokens done", err=True)
    return rows


def run_relay() -> None:
    """Measure CPU per request and per token, and the added delay."""
    rows = asyncio.run(_relay())
    short = [r for r in rows if r["tokens"] == SHORT_TOKENS]
    long = [r for r in rows if r["tokens"] == LONG_TOKENS]
    extra_tokens = LONG_TOKENS - SHORT_TOKENS

    def fit(name: str) -> tuple[float, float]:
        return report.fit_line([(r["requests/s"], r[name]) for r in short])

    slopes = {
        "CPU % per request/s at 10 tokens": fit("CPU %"),
        "CPU % per token/s": report.fit_line(
            [
                (b["requests/s"] * extra_tokens, b["CPU %"] - a["CPU %"])
                for a, b in zip(short, long, strict=True)
            ]
        ),
    }
    report.print_and_save("relay", rows, slopes)


async def _streams() -> list[dict]:
    """Measure a router's memory at growing numbers of open streams."""
    rows = []
    shape = deployment.Shape(
        routers=1,
        engines=3,
        services=1,
        engine_slots=400,
        engine_options={**ENGINE, "slots": 420, "token_ms": 400},
        promise={"team_share": 1.0, "load_multiple": 2.0},
        teams={"bakery": {"max_in_flight": 5_000, "max_queued": 5_000}},
    )
    async with deployment.Deployment(shape) as fleet:
        router = fleet.router_names()[0]
        router_process = psutil.Process(fleet.processes[router].popen.pid)
        idle_bytes = router_process.memory_info().rss
        waiting: list[asyncio.Task] = []
        for count in STREAMS:
            while len(waiting) < count:
                number = len(waiting)
                waiting.append(
                    asyncio.create_task(
                        _time_to_first_frame(
                            fleet, fleet.urls[router], 120, number
                        )
                    )
                )
                await asyncio.sleep(0.008)
            await asyncio.sleep(1.5)
            rows.append(
                {
                    "open streams": count,
                    "rss MB above idle": (
                        router_process.memory_info().rss - idle_bytes
                    )
                    / 1e6,
                }
            )
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)
    return rows


def run_streams() -> None:
    """Measure the memory of open streams."""
    rows = asyncio.run(_streams())
    points = [(r["open streams"], r["rss MB above idle"]) for r in rows]
    report.print_and_save(
        "streams", rows, {"MB per stream": report.fit_line(points)}
    )


def run_machine() -> None:
    """Record the machine of the figures and the memory of the libraries."""
    import subprocess
    import sys

    code = (
        "import psutil, os\n"
        "import aiohttp.web, aiomisc, grpclib.server, uvloop, pydantic\n"
        "import opentelemetry.sdk.metrics, opentelemetry.sdk.trace\n"
        "import opentelemetry.exporter.prometheus, google.protobuf.message\n"
        "import yaml, click, xxhash, orjson, pythonjsonlogger.json\n"
        "print(psutil.Process(os.getpid()).memory_info().rss)\n"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True
    )
    rows = [
        {
            "cores": os.cpu_count(),
            "memory GB": psutil.virtual_memory().total / 1e9,
            "python": sys.version.split()[0],
            "libraries MB": int(completed.stdout) / 1e6,
        }
    ]
    report.print_and_save("machine", rows)
