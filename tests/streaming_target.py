"""A target process that streams: ``python -m tests.streaming_target``.

Takes the port to listen on and the framing of the responses, ``chunked`` or
``none``, which ends a response with its connection.
"""

import asyncio
import sys

from examples.standins import scripted_target

EVENTS = 20
INTERVAL_S = 0.05
# Connections that wait to be accepted.
BACKLOG = 8


def _head(request: scripted_target.ReceivedRequest, framing: str) -> bytes:
    head = scripted_target.stream_head(request)
    if framing == "chunked":
        return head
    return head.replace(b"Transfer-Encoding: chunked\r\n", b"")


async def main(port: int, framing: str) -> None:
    """Serve until the process is killed."""

    async def respond(
        request: scripted_target.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        writer.write(_head(request, framing))
        first = int(request.headers.get("last-event-id", -1)) + 1
        for number in range(first, EVENTS):
            data = scripted_target.event(number)
            if framing == "chunked":
                data = scripted_target.chunk(data)
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(INTERVAL_S)
        if framing == "chunked":
            writer.write(scripted_target.chunk(b""))
        return framing == "chunked"

    target = scripted_target.ScriptedTarget(respond)
    await target.start(port=port, backlog=BACKLOG)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), sys.argv[2]))
