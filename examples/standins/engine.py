"""Stand-in of a model engine.

It batches up to its slots, queues the rest by priority, streams one word a
token, keeps prompt prefixes in a cache of limited size, and resumes and
cancels streams. ``POST /faults`` sets: ``cut_after`` (close the connection
after that many frames), ``cross`` (send a frame of another stream before
every frame), ``repeat`` (send every frame twice), ``skip`` (leave out the
frame with that number once), ``refuse`` (answer 503), ``hang``, ``leaving``,
``forget`` (drop finished and cut streams) and ``token_ms``.
"""

import asyncio
import collections
import hashlib
import heapq
import itertools
import time

from aiohttp import web
import click
import orjson
import uvloop

BLOCK_BYTES = 64
ORPHAN_MS = 5_000
KEEP_MS = 30_000


def response_words(messages: list, count: int) -> list[str]:
    """Return the words that every engine answers to some messages."""
    seed = hashlib.sha256(orjson.dumps(messages)).hexdigest()
    return [f"{seed[i % 60 : i % 60 + 4]}-{i} " for i in range(count)]


class Stream:
    """One answer being generated."""

    def __init__(self, name: str, words: list[str], model: str) -> None:
        self.name = name
        self.words = words
        self.model = model
        self.frames: list[bytes] = []
        self.grown = asyncio.Event()
        self.done = False
        self.readers = 0
        self.read_at = time.monotonic()
        self.task: asyncio.Task | None = None

    def add(self, data: bytes) -> None:
        """Append a frame and wake the readers."""
        number = len(self.frames)
        head = f"id: {self.name}/{number}\ndata: ".encode()
        self.frames.append(head + data + b"\n\n")
        self.grown.set()
        self.grown = asyncio.Event()


class Engine:
    """State, statistics and faults of one engine."""

    def __init__(self, options: dict) -> None:
        self.options = options
        self.faults: dict = {
            "cut_after": 0,
            "cross": False,
            "repeat": False,
            "skip": -1,
            "refuse": False,
            "hang": False,
            "leaving": False,
            "token_ms": options["token_ms"],
        }
        self.streams: dict[str, Stream] = {}
        self.running = 0
        self.waiting: list = []
        self.order = itertools.count()
        self.cache: collections.OrderedDict = collections.OrderedDict()
        self.reports: collections.deque = collections.deque(maxlen=2_000)
        self.stats = collections.Counter()
        self.events: list[tuple[int, int]] = []
        self.started: list[tuple[int, str]] = []

    def cached_blocks(self, prompt: bytes) -> tuple[int, int]:
        """Return the prompt's blocks and how many the cache held.

        The prompt's blocks are in the cache afterwards.
        """
        blocks = len(prompt) // BLOCK_BYTES
        found = 0
        digest = hashlib.blake2b(digest_size=8)
        for number in range(blocks):
            start = number * BLOCK_BYTES
            digest.update(prompt[start : start + BLOCK_BYTES])
            key = digest.digest()
            if key in self.cache and found == number:
                found += 1
            self.cache[key] = True
            self.cache.move_to_end(key)
        while len(self.cache) > self.options["cache_blocks"]:
            self.cache.popitem(last=False)
        return blocks, found

    def change(self, delta: int) -> None:
        """Note that a request began or ended."""
        self.running += delta
        self.events.append((time.monotonic_ns(), delta))
        self.reports.append((time.monotonic(), self.running))
        self.stats["peak"] = max(self.stats["peak"], self.running)

    async def slot(self, priority: int) -> None:
        """Wait for a free slot, the highest priority first."""
        if self.stats["busy"] < self.options["slots"]:
            self.stats["busy"] += 1
            return
        turn = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiting, (-priority, next(self.order), turn))
        self.stats["queued"] += 1
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.free()
            raise

    def free(self) -> None:
        """Give a slot to the next one that waits."""
        while self.waiting:
            turn = heapq.heappop(self.waiting)[2]
            if not turn.done():
                turn.set_result(None)
                return
        self.stats["busy"] -= 1

    async def generate(self, stream: Stream, missing: int, body: dict) -> None:
        """Produce the frames of one answer."""
        got_slot = False
        try:
            await self.slot(body.get("priority", 0))
            got_slot = True
            prefill_ms = missing * self.options["prefill_block_ms"]
            await asyncio.sleep(prefill_ms / 1000)
            for number, word in enumerate(stream.words):
                if number:
                    await asyncio.sleep(self.faults["token_ms"] / 1000)
                last = number == len(stream.words) - 1
                chunk = {
                    "id": f"chatcmpl-{stream.name}",
                    "object": "chat.completion.chunk",
                    "created": 0,
                    "model": stream.model,
                    "choices": [
                        {
                            "index": 0,
                            "delta": {"role": "assistant", "content": word},
                            "finish_reason": "stop" if last else None,
                        }
                    ],
                }
                stream.add(orjson.dumps(chunk))
                self.stats["tokens"] += 1
                if self.orphaned(stream):
                    self.stats["orphans"] += 1
                    return
            stream.add(b"[DONE]")
            self.stats["completed"] += 1
        finally:
            if got_slot:
                self.free()
            stream.done = True
            stream.grown.set()
            self.change(-1)
            loop = asyncio.get_running_loop()
            loop.call_later(
                KEEP_MS / 1000, self.streams.pop, stream.name, None
            )

    def orphaned(self, stream: Stream) -> bool:
        """Return whether nobody has read a stream for too long."""
        idle = time.monotonic() - stream.read_at
        return not stream.readers and idle * 1000 > ORPHAN_MS


def prompt_bytes(messages: list) -> bytes:
    """Return the prompt whose prefixes the cache holds."""
    return b"".join(orjson.dumps(message) for message in messages)


async def send(
    engine: Engine,
    request: web.Request,
    stream: Stream,
    position: int,
    headers: dict,
) -> web.StreamResponse:
    """Send a stream's frames from a position on."""
    response = web.StreamResponse(
        headers={"Content-Type": "text/event-stream", **headers}
    )
    sent = 0
    stream.readers += 1
    try:
        await response.prepare(request)
        while True:
            grown = stream.grown
            for number in range(position, len(stream.frames)):
                frame = stream.frames[number]
                if engine.faults["skip"] == number:
                    engine.faults["skip"] = -1
                    continue
                if engine.faults["cross"]:
                    await response.write(
                        b"id: another-stream/0\ndata: stray\n\n"
                    )
                if engine.faults["repeat"]:
                    await response.write(frame)
                await response.write(frame)
                sent += 1
                if sent == engine.faults["cut_after"]:
                    request.transport.close()
                    return response
            position = len(stream.frames)
            if stream.done:
                break
            await grown.wait()
        await response.write_eof()
    except ConnectionResetError:
        pass
    finally:
        stream.readers -= 1
        stream.read_at = time.monotonic()
    return response


def build(engine: Engine) -> web.Application:
    """Return the engine's HTTP application."""

    async def complete(request: web.Request) -> web.StreamResponse:
        if engine.faults["refuse"]:
            return web.Response(status=503)
        if engine.faults["hang"]:
            await asyncio.sleep(3600)
        body = orjson.loads(await request.read())
        request_id = request.headers.get("X-Request-Id", "")
        name = f"{engine.options['name']}-{next(engine.order)}"
        count = min(body.get("max_tokens", 16), 100_000)
        words = response_words(body["messages"], count)
        blocks, found = engine.cached_blocks(prompt_bytes(body["messages"]))
        engine.stats["prompt_blocks"] += blocks
        engine.stats["cached_blocks"] += found
        engine.stats["starts"] += 1
        engine.started.append((time.monotonic_ns(), request_id))
        stream = Stream(name, words, body.get("model", ""))
        engine.streams[name] = stream
        engine.change(1)
        stream.task = asyncio.create_task(
            engine.generate(stream, blocks - found, body)
        )
        headers = {
            "X-Request-Id": request_id,
            "X-Stream-Id": name,
            "X-Cached-Tokens": str(found * BLOCK_BYTES // 4),
        }
        return await send(engine, request, stream, 0, headers)

    async def resume(request: web.Request) -> web.StreamResponse:
        stream = engine.streams.get(request.match_info["name"])
        if stream is None:
            return web.Response(status=404)
        engine.stats["resumes"] += 1
        last = int(request.headers.get("Last-Event-ID", "-1"))
        return await send(engine, request, stream, last + 1, {})

    async def cancel(request: web.Request) -> web.Response:
        stream = engine.streams.pop(request.match_info["name"], None)
        if stream is not None and not stream.done:
            engine.stats["cancelled"] += 1
            stream.task.cancel()
        return web.Response()

    async def load(_: web.Request) -> web.Response:
        now = time.monotonic()
        lag = engine.options["report_lag_ms"] / 1000
        seen = 0
        for at, running in engine.reports:
            if at <= now - lag:
                seen = running
        return web.json_response(
            {"running": seen, "leaving": engine.faults["leaving"]}
        )

    async def faults(request: web.Request) -> web.Response:
        change = orjson.loads(await request.read())
        if change.pop("forget", False):
            engine.streams.clear()
        engine.faults.update(change)
        return web.json_response(engine.faults)

    async def stats(_: web.Request) -> web.Response:
        return web.json_response({**engine.stats, "running": engine.running})

    async def events(_: web.Request) -> web.Response:
        return web.json_response(
            {"events": engine.events, "started": engine.started}
        )

    async def flush(_: web.Request) -> web.Response:
        engine.cache.clear()
        return web.Response()

    app = web.Application(client_max_size=64 * 1024 * 1024)
    app.router.add_post("/v1/chat/completions", complete)
    app.router.add_get("/streams/{name}", resume)
    app.router.add_delete("/streams/{name}", cancel)
    app.router.add_get("/load", load)
    app.router.add_post("/faults", faults)
    app.router.add_get("/stats", stats)
    app.router.add_get("/events", events)
    app.router.add_post("/flush", flush)
    return app


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--name", default="engine")
@click.option("--slots", type=int, default=8)
@click.option("--token-ms", type=float, default=10)
@click.option("--prefill-block-ms", type=float, default=1)
@click.option("--cache-blocks", type=int, default=4_000)
@click.option("--report-lag-ms", type=int, default=500)
def main(port: int, **options: object) -> None:
    """Run an engine's stand-in on loopback."""
    uvloop.install()
    web.run_app(
        build(Engine(options)), host="127.0.0.1", port=port, print=None
    )


if __name__ == "__main__":
    main()
