"""Streams of events, and clients that take them up after a break."""

import asyncio
import signal
import time

import fleet as fleet_module

EVENTS = 56
GAP_S = 0.25
DEADLINE_MS = 15000
# The version history of a router decides only once it is older than the
# longest stream, and some seconds more.
SETTLE_S = 21

# Versions whose servers are full and reject requests.
full = set()


async def work(server, request, writer):
    """Stream numbered events; the data names the server's version."""
    headers = request[2]
    if server.version in full:
        server.reject(request, writer)
        return True
    server.begin(request)
    writer.write(
        fleet_module.response_head(
            server,
            request,
            extra="Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n",
        )
    )
    first = int(headers.get("last-event-id", 0)) + 1
    for number in range(first, EVENTS + 1):
        event = f"id: {number}\ndata: {server.version} {number}\n\n".encode()
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(GAP_S)
    writer.write(b"0\r\n\r\n")
    return True


class Stream:
    """One client's stream, with its tries."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.first_id = f"{number:02d}c41d07be2a35f6"
        self.events = []
        self.tries = 0
        self.started = time.monotonic()

    def _take(self, data):
        for block in data.split(b"\n\n")[:-1]:
            lines = dict(
                line.split(": ", 1) for line in block.decode().split("\n")
            )
            self.events.append((int(lines["id"]), lines["data"].split()[0]))

    @property
    def versions(self):
        return {version for _, version in self.events}

    @property
    def in_order(self):
        numbers = [number for number, _ in self.events]
        return numbers == list(range(1, len(numbers) + 1))

    @property
    def complete(self):
        return self.in_order and len(self.events) == EVENTS

    async def one_try(self, router):
        self.tries += 1
        request_id = self.first_id
        left_ms = DEADLINE_MS - (time.monotonic() - self.started) * 1000
        extra = [
            "X-Model: m",
            "X-Token-Counts: 300,60",
            f"X-Prompt-Prefix: aa01:200,{request_id[:8]}:100",
        ]
        before = list(self.events)
        if before:
            request_id = f"{self.first_id}-{self.tries}"
            extra += [
                f"Last-Event-Id: {before[-1][0]}",
                f"Resumes: {self.first_id}",
            ]
        answer = None

        def update(partial):
            self.events = list(before)
            self._take(partial.body)

        try:
            reader, writer = await asyncio.open_connection(
                router.ip, self.fleet.ports["front"]
            )
            writer.write(
                fleet_module.request_bytes(
                    "POST", "/plans/1", request_id, b"{}", int(left_ms), extra
                )
            )
            answer = await fleet_module.read_answer(reader, on_data=update)
            writer.close()
        except OSError as error:
            answer = fleet_module.Answer(error=repr(error))
        self.fleet.record.write(
            f"client: {request_id} at {router.name}: {answer};"
            f" events so far {self.summary()}"
        )
        return answer

    def summary(self):
        runs = []
        for number, version in self.events:
            if runs and runs[-1][0] == version:
                runs[-1][2] = number
            else:
                runs.append([version, number, number])
        return ", ".join(f"{v}: {a} to {b}" for v, a, b in runs) or "none"

    async def run(self, routers):
        """Try at the routers in turn, as the ingress forwards the tries."""
        for router in routers:
            answer = await self.one_try(router)
            if answer.complete and answer.status == 200:
                return


async def restart(router):
    """Stop and start a router, as the platform does in planned work."""
    router.signal(signal.SIGTERM)
    await router.process.wait()
    await router.start()
    await router.wait_ready()
    router.fleet.record.write(f"router {router.name} is ready")


def make_route():
    return fleet_module.route(
        "plans",
        "/plans/",
        "streaming",
        "llm",
        timeout_ms=DEADLINE_MS,
        target_latency_ms=800,
        gap_aim_ms=300,
        max_attempts=2,
        sticky_sessions=True,
        resumable=True,
    )
