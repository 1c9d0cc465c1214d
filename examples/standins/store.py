"""Stand-in for the platform's store: topics of records over HTTP.

These faults are set by ``POST /faults`` or as attributes:

- ``refuse``: status of the response to every request, which has no effect.
- ``lose_answers``: the next N appends take effect and get no response.
- ``delay_ms``: delay of every request, in ms.
- ``old_replica``: reads miss the newest N records.
- ``retention_ms``: age in ms at which records are dropped.

``Store.copy`` and ``Store.restore`` play a store that comes back from an older
copy; so do ``POST /copy`` and ``POST /restore``.
"""

import asyncio
import base64
import collections
import contextlib
import copy
import time
import typing

from aiohttp import web
import click
import orjson
import uvloop

LENGTH_BYTES = 4
OFFSET_BYTES = 8
APPENDS_PER_S = 500
RETENTION_MS = 172_800_000
FAULTS = frozenset(
    {"refuse", "lose_answers", "delay_ms", "old_replica", "retention_ms"}
)


class Topic:
    """The records of a topic.

    :ivar first: offset of the oldest record that is still kept.
    :ivar records: Unix time in s at which each was stored, and its content.
    """

    def __init__(self) -> None:
        self.first = 0
        self.records: list[tuple[float, bytes]] = []

    @property
    def end(self) -> int:
        """The offset that the next record gets."""
        return self.first + len(self.records)

    def expire(self, retention_ms: int) -> None:
        """Drop records that are older than the retention time."""
        cutoff_s = time.time() - retention_ms / 1000
        expired = 0
        while (
            expired < len(self.records) and self.records[expired][0] < cutoff_s
        ):
            expired += 1
        del self.records[:expired]
        self.first += expired


class Store:
    """Keep topics in memory.

    :ivar request_count: number of requests so far.
    :ivar newest_reads: number of reads of the newest records, by topic.
    :ivar newest_read_delays_s: delay of a read of the newest records, in s,
        by topic.
    :ivar era: rises by one when the store comes back from a copy.
    """

    def __init__(self) -> None:
        self.era = 1
        self._copy: typing.Any = None
        self._topics: dict[str, Topic] = {}
        self._newest: dict[str, dict[str, tuple[int, bytes]]] = {}
        self._changed = asyncio.Condition()
        self._append_tokens = float(APPENDS_PER_S)
        self._refilled_at = time.monotonic()
        self.refuse: int | None = None
        self.lose_answers = 0
        self.delay_ms = 0
        self.old_replica = 0
        self.retention_ms = RETENTION_MS
        self.request_count = 0
        self.newest_reads: collections.Counter[str] = collections.Counter()
        self.newest_read_delays_s: dict[str, float] = {}

    def copy(self) -> None:
        """Keep a copy of all records."""
        self._copy = copy.deepcopy((self._topics, self._newest))

    async def restore(self) -> None:
        """Come back from the copy: what was stored since then is lost."""
        topics, newest = copy.deepcopy(self._copy)
        async with self._changed:
            self.era += 1
            for name, topic in self._topics.items():
                topic.records = topics[name].records if name in topics else []
                topic.first = topics[name].first if name in topics else 0
            self._newest = newest
            self._changed.notify_all()

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record to a keyed topic, as operators and targets do."""
        name = key.encode()
        await self._append_record(topic, bytes([len(name)]) + name + value)

    async def _append_record(self, topic: str, content: bytes) -> int:
        """Append a record and return its offset."""
        async with self._changed:
            found = self._topic(topic)
            offset = found.end
            found.records.append((time.time(), content))
            if topic.startswith("keyed."):
                key = content[1 : 1 + content[0]].decode()
                newest = self._newest.setdefault(topic, {})
                newest[key] = (offset, content[1 + content[0] :])
            self._changed.notify_all()
        return offset

    def _topic(self, name: str) -> Topic:
        found = self._topics.setdefault(name, Topic())
        found.expire(self.retention_ms)
        return found

    def _take_append_token(self) -> bool:
        """Return whether the rate limit of appends allows another one."""
        now = time.monotonic()
        earned = (now - self._refilled_at) * APPENDS_PER_S
        self._append_tokens = min(APPENDS_PER_S, self._append_tokens + earned)
        self._refilled_at = now
        if self._append_tokens < 1:
            return False
        self._append_tokens -= 1
        return True

    async def _read(self, request: web.Request) -> web.Response:
        """Return the records of a topic from an offset on.

        Waits for up to ``wait_ms`` if there are none yet. Responds with status
        410 if records from that offset on were dropped, or if the topic ends
        before it.
        """
        topic = self._topic(request.query["topic"])
        offset = int(request.query["from"])
        wait_ms = int(request.query.get("wait_ms", 0))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000), self._changed:
                await self._changed.wait_for(lambda: topic.end > offset)
        if not topic.first <= offset <= topic.end:
            body = orjson.dumps({"first": topic.first})
            return web.Response(status=410, body=body)
        end = topic.end - self.old_replica
        max_bytes = int(request.query.get("max_kb", 1024)) * 1024
        data = b"".join(
            number.to_bytes(OFFSET_BYTES, "big")
            for number in (max(end, topic.first), topic.first)
        )
        for _, content in topic.records[
            offset - topic.first : max(0, end - topic.first)
        ]:
            record = len(content).to_bytes(LENGTH_BYTES, "big") + content
            if len(data) + len(record) > max_bytes:
                break
            data += record
        return web.Response(body=data)

    async def _read_newest(self, request: web.Request) -> web.Response:
        """Return the newest record of each key of a topic."""
        name = request.query["topic"]
        self.newest_reads[name] += 1
        await asyncio.sleep(self.newest_read_delays_s.get(name, 0))
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in self._newest.get(name, {}).items()
            if value
        ]
        end = self._topic(name).end
        body = {"items": items, "has_more": False, "end": end}
        return web.Response(body=orjson.dumps(body))

    async def _append(self, request: web.Request) -> web.Response:
        """Append a record; respond with status 429 above the rate limit.

        The status is 412 if the record would get another offset than asked."""
        data = await request.read()
        name = request.query["topic"]
        if not self._take_append_token():
            return web.Response(status=429)
        at, end = request.query.get("at"), self._topic(name).end
        if at is not None and int(at) != end:
            return web.Response(status=412, body=orjson.dumps({"end": end}))
        offset = await self._append_record(name, data[LENGTH_BYTES:])
        if self.lose_answers > 0 and request.transport is not None:
            self.lose_answers -= 1
            request.transport.abort()
        body = {"offset": offset, "end": offset + 1}
        return web.Response(body=orjson.dumps(body))

    async def _set_faults(self, request: web.Request) -> web.Response:
        changes: dict[str, typing.Any] = orjson.loads(await request.read())
        if not changes.keys() <= FAULTS:
            return web.Response(status=400, text="no such fault")
        for name, value in changes.items():
            setattr(self, name, value)
        return web.json_response(changes)

    async def _make_copy(self, request: web.Request) -> web.Response:
        self.copy()
        return web.Response()

    async def _restore(self, request: web.Request) -> web.Response:
        await self.restore()
        return web.Response()

    @web.middleware
    async def _guard(
        self, request: web.Request, handler: web.RequestHandler
    ) -> web.StreamResponse:
        """Count, delay and perhaps refuse requests that don't set faults."""
        if not request.path.startswith("/bulrushdale/"):
            return await handler(request)
        self.request_count += 1
        await asyncio.sleep(self.delay_ms / 1000)
        if self.refuse is not None:
            return self._add_era(web.Response(status=self.refuse))
        return self._add_era(await handler(request))

    def _add_era(self, response: web.StreamResponse) -> web.StreamResponse:
        response.headers["Store-Era"] = str(self.era)
        return response

    def app(self) -> web.Application:
        """Return the application that serves the store."""
        app = web.Application(
            middlewares=[self._guard], client_max_size=64 * 1024 * 1024
        )
        app.router.add_get("/bulrushdale/log-read", self._read)
        app.router.add_get("/bulrushdale/log-newest", self._read_newest)
        app.router.add_post("/bulrushdale/log-append", self._append)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_post("/copy", self._make_copy)
        app.router.add_post("/restore", self._restore)
        return app


async def _serve(retention_ms: int) -> web.Application:
    store = Store()
    store.retention_ms = retention_ms
    return store.app()


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--retention-ms", type=int, default=RETENTION_MS)
def main(port: int, retention_ms: int) -> None:
    """Run the stand-in for the store on loopback."""
    uvloop.install()
    web.run_app(_serve(retention_ms), host="127.0.0.1", port=port, print=None)


if __name__ == "__main__":
    main()
