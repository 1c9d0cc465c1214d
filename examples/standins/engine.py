"""Stand-in for a model engine.

Runs as many requests at once as it has slots, queues the others by priority,
streams one word for each token, caches a limited number of prompt blocks, and
resumes and cancels streams. ``POST /faults`` sets these faults:

- ``cut_after``: close the connection after that many frames.
- ``cross``: send a frame of another stream before every frame.
- ``repeat``: send every frame twice.
- ``skip``: leave out the frame with that number once.
- ``refuse``: respond with status 503.
- ``hang``: never respond to a request.
- ``leaving``: report that the engine is leaving.
- ``forget``: drop all streams, so that none can be resumed.
- ``token_ms``: time between two tokens, in ms.
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
ORPHAN_TIMEOUT_MS = 5_000
STREAM_RETENTION_MS = 30_000


def response_words(messages: list, count: int) -> list[str]:
    """Return the words of the response that every engine gives.

    :param messages: the messages of the request.
    :param count: number of words.
    """
    seed = hashlib.sha256(orjson.dumps(messages)).hexdigest()
    return [f"{seed[i % 60 : i % 60 + 4]}-{i} " for i in range(count)]


class Stream:
    """A response that is being generated, and its frames so far."""

    def __init__(self, name: str, words: list[str], model: str) -> None:
        self.name = name
        self.words = words
        self.model = model
        self.frames: list[bytes] = []
        self.frame_added = asyncio.Event()
        self.done = False
        self.readers = 0
        self.last_read_at = time.monotonic()
        self.task: asyncio.Task | None = None

    def add(self, data: bytes) -> None:
        """Append a frame and wake up the readers."""
        number = len(self.frames)
        prefix = f"id: {self.name}/{number}\ndata: ".encode()
        self.frames.append(prefix + data + b"\n\n")
        self.frame_added.set()
        self.frame_added = asyncio.Event()


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
        self.sequence = itertools.count()
        self.cache: collections.OrderedDict = collections.OrderedDict()
        self.load_history: collections.deque = collections.deque(maxlen=2_000)
        self.stats = collections.Counter()
        self.load_changes: list[tuple[int, int]] = []
        self.start_log: list[tuple[int, str]] = []

    def cache_prompt(self, prompt: bytes) -> tuple[int, int]:
        """Cache all blocks of a prompt.

        :return: number of the prompt's blocks, and how many of them, from its
            start on, were cached before.
        """
        blocks = len(prompt) // BLOCK_BYTES
        cached = 0
        digest = hashlib.blake2b(digest_size=8)
        for number in range(blocks):
            start = number * BLOCK_BYTES
            digest.update(prompt[start : start + BLOCK_BYTES])
            key = digest.digest()
            if key in self.cache and cached == number:
                cached += 1
            self.cache[key] = True
            self.cache.move_to_end(key)
        while len(self.cache) > self.options["cache_blocks"]:
            self.cache.popitem(last=False)
        return blocks, cached

    def record_change(self, delta: int) -> None:
        """Record that a request started (1) or ended (-1)."""
        self.running += delta
        self.load_changes.append((time.monotonic_ns(), delta))
        self.load_history.append((time.monotonic(), self.running))
        self.stats["peak"] = max(self.stats["peak"], self.running)

    async def acquire_slot(self, priority: int) -> None:
        """Wait for a free slot, the highest priority first."""
        if self.stats["busy"] < self.options["slots"]:
            self.stats["busy"] += 1
            return
        acquired = asyncio.get_running_loop().create_future()
        heapq.heappush(
            self.waiting, (-priority, next(self.sequence), acquired)
        )
        self.stats["queued"] += 1
        try:
            await acquired
        except asyncio.CancelledError:
            if acquired.done() and not acquired.cancelled():
                self.release_slot()
            raise

    def release_slot(self) -> None:
        """Free a slot, or pass it on to the next waiting request."""
        while self.waiting:
            acquired = heapq.heappop(self.waiting)[2]
            if not acquired.done():
                acquired.set_result(None)
                return
        self.stats["busy"] -= 1

    async def generate(
        self, stream: Stream, uncached_blocks: int, body: dict
    ) -> None:
        """Generate the frames of one response.

        :param stream: the stream to which they are added.
        :param uncached_blocks: blocks of the prompt that were not cached.
        :param body: the request's body.
        """
        has_slot = False
        try:
            await self.acquire_slot(body.get("priority", 0))
            has_slot = True
            prefill_ms = uncached_blocks * self.options["prefill_block_ms"]
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
                if self.is_orphaned(stream):
                    self.stats["orphans"] += 1
                    return
            stream.add(b"[DONE]")
            self.stats["completed"] += 1
        finally:
            if has_slot:
                self.release_slot()
            stream.done = True
            stream.frame_added.set()
            self.record_change(-1)
            loop = asyncio.get_running_loop()
            loop.call_later(
                STREAM_RETENTION_MS / 1000, self.streams.pop, stream.name, None
            )

    def is_orphaned(self, stream: Stream) -> bool:
        """Return whether a stream has had no reader for too long."""
        idle = time.monotonic() - stream.last_read_at
        return not stream.readers and idle * 1000 > ORPHAN_TIMEOUT_MS


def prompt_bytes(messages: list) -> bytes:
    """Return the prompt as bytes, whose blocks the engine caches."""
    return b"".join(orjson.dumps(message) for message in messages)


async def send_frames(
    engine: Engine,
    request: web.Request,
    stream: Stream,
    position: int,
    headers: dict,
) -> web.StreamResponse:
    """Send the frames of a stream from a position on, with any faults."""
    response = web.StreamResponse(
        headers={"Content-Type": "text/event-stream", **headers}
    )
    sent = 0
    stream.readers += 1
    try:
        await response.prepare(request)
        while True:
            frame_added = stream.frame_added
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
            await frame_added.wait()
        await response.write_eof()
    except ConnectionResetError:
        pass
    finally:
        stream.readers -= 1
        stream.last_read_at = time.monotonic()
    return response


def build(engine: Engine) -> web.Application:
    """Return the engine's HTTP application."""

    async def complete(request: web.Request) -> web.StreamResponse:
        """Start to generate a response, and stream it."""
        if engine.faults["refuse"]:
            return web.Response(status=503)
        if engine.faults["hang"]:
            await asyncio.sleep(3600)
        body = orjson.loads(await request.read())
        request_id = request.headers.get("X-Request-Id", "")
        name = f"{engine.options['name']}-{next(engine.sequence)}"
        count = min(body.get("max_tokens", 16), 100_000)
        words = response_words(body["messages"], count)
        blocks, cached = engine.cache_prompt(prompt_bytes(body["messages"]))
        engine.stats["prompt_blocks"] += blocks
        engine.stats["cached_blocks"] += cached
        engine.stats["starts"] += 1
        engine.start_log.append((time.monotonic_ns(), request_id))
        stream = Stream(name, words, body.get("model", ""))
        engine.streams[name] = stream
        engine.record_change(1)
        stream.task = asyncio.create_task(
            engine.generate(stream, blocks - cached, body)
        )
        headers = {
            "X-Request-Id": request_id,
            "X-Stream-Id": name,
            "X-Cached-Tokens": str(cached * BLOCK_BYTES // 4),
        }
        return await send_frames(engine, request, stream, 0, headers)

    async def resume(request: web.Request) -> web.StreamResponse:
        stream = engine.streams.get(request.match_info["name"])
        if stream is None:
            return web.Response(status=404)
        engine.stats["resumes"] += 1
        last = int(request.headers.get("Last-Event-ID", "-1"))
        return await send_frames(engine, request, stream, last + 1, {})

    async def cancel(request: web.Request) -> web.Response:
        stream = engine.streams.pop(request.match_info["name"], None)
        if stream is not None and not stream.done:
            engine.stats["cancelled"] += 1
            stream.task.cancel()
        return web.Response()

    async def load(_: web.Request) -> web.Response:
        now = time.monotonic()
        lag = engine.options["report_lag_ms"] / 1000
        reported = 0
        for at, running in engine.load_history:
            if at <= now - lag:
                reported = running
        return web.json_response(
            {"running": reported, "leaving": engine.faults["leaving"]}
        )

    async def faults(request: web.Request) -> web.Response:
        changes = orjson.loads(await request.read())
        if changes.pop("forget", False):
            engine.streams.clear()
        engine.faults.update(changes)
        return web.json_response(engine.faults)

    async def stats(_: web.Request) -> web.Response:
        return web.json_response({**engine.stats, "running": engine.running})

    async def events(_: web.Request) -> web.Response:
        return web.json_response(
            {"events": engine.load_changes, "started": engine.start_log}
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
    """Run the stand-in for an engine on loopback."""
    uvloop.install()
    web.run_app(
        build(Engine(options)), host="127.0.0.1", port=port, print=None
    )


if __name__ == "__main__":
    main()
