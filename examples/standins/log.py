"""Stand-in of the platform's append-only log.

Faults, set by ``POST /faults``: ``outage`` (every call answers 503 and has
no effect), ``lose_answers`` (the next N appends take effect and answer
503), ``delay_ms``, ``old_replica`` (reads miss the newest N records) and
``retention_ms``.
"""

import asyncio
import collections
import time

from aiohttp import web
import click
import orjson
import uvloop

APPENDS_PER_S = 500


class Log:
    """Streams of records, and the faults in force."""

    def __init__(self, retention_ms: int) -> None:
        self.streams: dict[str, list] = collections.defaultdict(list)
        self.first: dict[str, int] = collections.defaultdict(int)
        self.faults = {
            "outage": False,
            "lose_answers": 0,
            "delay_ms": 0,
            "old_replica": 0,
            "retention_ms": retention_ms,
        }
        self.counts = collections.Counter()
        self.allowance = float(APPENDS_PER_S)
        self.allowed_at = time.monotonic()

    def admit(self) -> bool:
        """Return whether the append rate allows one more."""
        now = time.monotonic()
        earned = (now - self.allowed_at) * APPENDS_PER_S
        self.allowance = min(APPENDS_PER_S, self.allowance + earned)
        self.allowed_at = now
        if self.allowance < 1:
            return False
        self.allowance -= 1
        return True

    def expire(self, stream: str) -> None:
        """Drop the records that are older than the retention."""
        records = self.streams[stream]
        oldest = time.time() * 1000 - self.faults["retention_ms"]
        expired = 0
        while expired < len(records) and records[expired][0] < oldest:
            expired += 1
        if expired:
            del records[:expired]
            self.first[stream] += expired


def build(log: Log) -> web.Application:
    """Return the log's HTTP application."""

    async def append(request: web.Request) -> web.Response:
        data = orjson.loads(await request.read())
        await asyncio.sleep(log.faults["delay_ms"] / 1000)
        if log.faults["outage"]:
            return web.Response(status=503)
        if not log.admit():
            return web.Response(status=429)
        stream = request.match_info["stream"]
        log.expire(stream)
        log.streams[stream].append((time.time_ns() // 1_000_000, data))
        log.counts["appends"] += 1
        offset = log.first[stream] + len(log.streams[stream]) - 1
        if log.faults["lose_answers"] > 0:
            log.faults["lose_answers"] -= 1
            return web.Response(status=503)
        return web.json_response({"offset": offset})

    async def read(request: web.Request) -> web.Response:
        await asyncio.sleep(log.faults["delay_ms"] / 1000)
        if log.faults["outage"]:
            return web.Response(status=503)
        log.counts["reads"] += 1
        stream = request.match_info["stream"]
        log.expire(stream)
        records = log.streams[stream]
        first = log.first[stream]
        known = len(records) - log.faults["old_replica"]
        begin = max(0, int(request.query["from"]) - first)
        end = min(known, begin + int(request.query["limit"]))
        found = [
            {
                "offset": first + i,
                "time_ms": records[i][0],
                "data": records[i][1],
            }
            for i in range(begin, max(begin, end))
        ]
        page = {"first": first, "end": first + known, "records": found}
        return web.Response(body=orjson.dumps(page))

    async def faults(request: web.Request) -> web.Response:
        log.faults.update(orjson.loads(await request.read()))
        return web.json_response(log.faults)

    async def stats(_: web.Request) -> web.Response:
        return web.json_response(log.counts)

    app = web.Application(client_max_size=64 * 1024 * 1024)
    app.router.add_post("/streams/{stream}/append", append)
    app.router.add_get("/streams/{stream}/read", read)
    app.router.add_post("/faults", faults)
    app.router.add_get("/stats", stats)
    return app


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--retention-ms", type=int, default=172_800_000)
def main(port: int, retention_ms: int) -> None:
    """Run the log's stand-in on loopback."""
    uvloop.install()
    web.run_app(
        build(Log(retention_ms)), host="127.0.0.1", port=port, print=None
    )


if __name__ == "__main__":
    main()
