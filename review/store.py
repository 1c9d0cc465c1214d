"""Stand-in for the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import urllib.parse

APPEND_S = 0.004


class Topic:
    """One partition of a topic."""

    def __init__(self):
        self.first = 0
        self.records = []
        self.newest = {}

    @property
    def end(self):
        return self.first + len(self.records)


class Store:
    """Keep topics in memory and serve them over HTTP/1.1."""

    def __init__(self, host, port):
        self.host = host
        self.port = port
        self.topics = {}
        self.changed = asyncio.Condition()
        self.server = None

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port
        )

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    async def append(self, name, contents):
        """Append records; return the offset of the first one."""
        async with self.changed:
            topic = self.topic(name)
            offset = topic.end
            for content in contents:
                if name.startswith("keyed."):
                    key = content[1 : 1 + content[0]].decode()
                    value = content[1 + content[0] :]
                    if value:
                        topic.newest[key] = (topic.end, value)
                    else:
                        topic.newest.pop(key, None)
                topic.records.append(content)
            self.changed.notify_all()
        return offset

    async def put(self, name, key, value):
        """Write a record of a keyed topic, as operators and servers do."""
        name_bytes = key.encode()
        data = b"" if value is None else json.dumps(value).encode()
        await self.append(name, [bytes([len(name_bytes)]) + name_bytes + data])

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                line, *fields = head.strip().split("\r\n")
                length = 0
                for field in fields:
                    name, _, value = field.partition(":")
                    if name.strip().lower() == "content-length":
                        length = int(value)
                body = await reader.readexactly(length) if length else b""
                method, target, _ = line.split(" ")
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query))
                status, data = await self._answer(
                    method, path.rsplit("/", 1)[-1], query, body
                )
                writer.write(
                    f"HTTP/1.1 {status} X\r\nStore-Era: 1\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, name, query, body):
        await asyncio.sleep(APPEND_S)
        topic = self.topic(query.get("topic", ""))
        if name == "log-append":
            contents = []
            position = 0
            while position < len(body):
                size = int.from_bytes(body[position : position + 4], "big")
                contents.append(body[position + 4 : position + 4 + size])
                position += 4 + size
            offset = await self.append(query["topic"], contents)
            answer = {"offset": offset, "end": topic.end}
            return 200, json.dumps(answer).encode()
        if name == "log-newest":
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, (offset, value) in sorted(topic.newest.items())
            ]
            answer = {"items": items, "has_more": False, "end": topic.end}
            return 200, json.dumps(answer).encode()
        if name == "log-read":
            start = int(query["from"])
            wait_s = int(query.get("wait_ms", 0)) / 1000
            try:
                async with asyncio.timeout(wait_s), self.changed:
                    await self.changed.wait_for(lambda: topic.end > start)
            except TimeoutError:
                pass
            if not topic.first <= start <= topic.end:
                return 410, json.dumps({"first": topic.first}).encode()
            data = topic.end.to_bytes(8, "big")
            data += topic.first.to_bytes(8, "big")
            for content in topic.records[start - topic.first :]:
                data += len(content).to_bytes(4, "big") + content
            return 200, data
        return 404, b""
