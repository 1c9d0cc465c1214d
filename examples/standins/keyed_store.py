"""A stand-in of the platform's store: keyed topics over HTTP."""

import asyncio
import base64
import contextlib

from aiohttp import web
import orjson

HEAD_BYTES = 4


class KeyedStore:
    """Keeps topics in memory.

    :ivar refuse: answer every call with this status; none to serve.
    :ivar calls: how many calls were answered.
    :ivar delays_s: by topic, how long its newest records take, in s.
    """

    def __init__(self) -> None:
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = asyncio.Condition()
        self.refuse: int | None = None
        self.calls = 0
        self.delays_s: dict[str, float] = {}

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record, as an operator or a target does."""
        async with self._changed:
            self._topics.setdefault(topic, []).append((key, value))
            self._changed.notify_all()

    def _records(self, topic: str) -> list[tuple[str, bytes]]:
        return self._topics.setdefault(topic, [])

    async def _read(self, request: web.Request) -> web.Response:
        topic = request.query["topic"]
        offset = int(request.query["from"])
        wait_ms = int(request.query.get("wait_ms", 0))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000), self._changed:
                await self._changed.wait_for(
                    lambda: len(self._records(topic)) > offset
                )
        records = self._records(topic)
        data = len(records).to_bytes(8, "big") + bytes(8)
        for key, value in records[offset:]:
            content = bytes([len(key)]) + key.encode() + value
            data += len(content).to_bytes(HEAD_BYTES, "big") + content
        return web.Response(body=data)

    async def _newest(self, request: web.Request) -> web.Response:
        topic = request.query["topic"]
        await asyncio.sleep(self.delays_s.get(topic, 0))
        records = self._records(topic)
        newest = {key: offset for offset, (key, _) in enumerate(records)}
        items = [
            {
                "key": key,
                "value": base64.b64encode(records[offset][1]).decode(),
                "offset": offset,
            }
            for key, offset in newest.items()
            if records[offset][1]
        ]
        body = {"items": items, "has_more": False, "end": len(records)}
        return web.Response(body=orjson.dumps(body))

    async def _append(self, request: web.Request) -> web.Response:
        data = await request.read()
        content = data[HEAD_BYTES:]
        key = content[1 : 1 + content[0]].decode()
        topic = request.query["topic"]
        await self.put(topic, key, content[1 + content[0] :])
        end = len(self._records(topic))
        return web.Response(body=orjson.dumps({"offset": end - 1, "end": end}))

    @web.middleware
    async def _guard(
        self, request: web.Request, handler: web.RequestHandler
    ) -> web.StreamResponse:
        self.calls += 1
        if self.refuse is not None:
            return web.Response(status=self.refuse)
        return await handler(request)

    def app(self) -> web.Application:
        """Return the application that serves the store."""
        app = web.Application(middlewares=[self._guard])
        app.router.add_get("/bulrushdale/log-read", self._read)
        app.router.add_get("/bulrushdale/log-newest", self._newest)
        app.router.add_post("/bulrushdale/log-append", self._append)
        return app
