"""Rolling restart of the routers while two software versions serve."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import fleet as fleet_module  # noqa: E402
import streams as streams_module  # noqa: E402

STREAMS = 16


async def main(fleet):
    for number, version in enumerate(("v1", "v1", "v2", "v2")):
        fleet.servers.append(
            fleet_module.Server(
                fleet, f"i-{number}", "llm", streams_module.work, 64, version
            )
        )
    await fleet.start(
        fleet_module.configuration(7, [streams_module.make_route()])
    )
    first, second = fleet.routers
    await asyncio.sleep(streams_module.SETTLE_S)

    # Rolling restart, one router after the other.
    restart = None
    if fleet_module.trouble():
        restart = asyncio.create_task(streams_module.restart(second))
    await asyncio.sleep(0.3)
    fleet.record.write("servers: those of v1 are full for half a second")
    streams_module.full.add("v1")
    streams = [
        streams_module.Stream(fleet, number) for number in range(STREAMS)
    ]
    tasks = [
        asyncio.create_task(stream.run([first, second, second]))
        for stream in streams
    ]
    await asyncio.sleep(0.5)
    streams_module.full.clear()
    if restart is not None:
        await restart
        await asyncio.sleep(1)
        first.signal(signal.SIGTERM)
    await asyncio.wait(tasks)
    mixed = [s for s in streams if len(s.versions) > 1]
    out_of_order = [s for s in streams if not s.in_order]
    fleet.record.write(
        f"{len(mixed)} of {len(streams)} streams hold events of two versions;"
        f" {len(out_of_order)} are out of order; the rule allows 2"
    )
    return len(mixed) <= 2 and not out_of_order


if __name__ == "__main__":
    fleet_module.run(FOLDER, main, routers=2)
