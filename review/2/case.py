"""A router that relays another router's request is killed midway."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import fleet as fleet_module  # noqa: E402

REQUESTS = 4
PARTS = 10
PART = b"one part of the answer.\n" * 10
PAUSE_S = 0.2


async def work(server, request, writer):
    """Answer without a length: the body ends with the connection."""
    server.begin(request)
    writer.write(
        fleet_module.response_head(
            server, request, extra="Connection: close\r\n"
        )
    )
    for _ in range(PARTS):
        await asyncio.sleep(PAUSE_S)
        writer.write(PART)
        await writer.drain()
    return False


async def main(fleet):
    server = fleet_module.Server(fleet, "i-1", "registro", work, 16)
    fleet.servers.append(server)
    route = fleet_module.route(
        "awards", "/awards/", "non_idempotent", "registro", timeout_ms=6000
    )
    await fleet.start(fleet_module.configuration(7, [route]))
    first, second = fleet.routers
    answers = {}

    async def send(request_id):
        reader, writer = await asyncio.open_connection(
            first.ip, fleet.ports["front"]
        )
        fleet.record.write(f"client: sends {request_id} to {first.name}")
        writer.write(
            fleet_module.request_bytes(
                "POST", "/awards/1", request_id, b"{}", 6000
            )
        )
        answers[request_id] = answer = await fleet_module.read_answer(reader)
        fleet.record.write(f"client: {request_id}: {answer}")
        writer.close()

    # The first router finds that the server accepts no new connections while
    # it waits for an answer; the second one sends nothing then.
    early = asyncio.create_task(send("early"))
    await asyncio.sleep(0.05)
    await server.refuse()
    fleet.record.write("server i-1 refuses new connections")
    await asyncio.sleep(0.4)
    await server.listen()
    fleet.record.write("server i-1 accepts connections")
    tasks = [asyncio.create_task(send(f"r{n}")) for n in range(REQUESTS)]
    await asyncio.sleep(1)
    if fleet_module.trouble():
        second.signal(signal.SIGKILL)
    await asyncio.wait([early, *tasks])
    whole = PART * PARTS
    cut = [
        request_id
        for request_id, answer in answers.items()
        if answer.complete and answer.status == 200 and answer.body != whole
    ]
    fleet.record.write(
        f"{len(cut)} successes look complete and lack a part of the body of"
        f" {len(whole)} bytes"
    )
    return not cut


if __name__ == "__main__":
    fleet_module.run(FOLDER, main, routers=2)
