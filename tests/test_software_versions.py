"""Streams go on only at the software version that began them."""

import asyncio
import contextlib

import aiohttp
import orjson
import pytest

from examples.standins import scripted_target
from tests import gateway_fixtures

EVENTS = 6


def versioned_event(version, number):
    return b"id: %d\ndata: %b-%d\n\n" % (number, version.encode(), number)


class VersionedTarget:
    """Script of a target whose events name its software version.

    :ivar events: events until it breaks off; none to send all.
    """

    def __init__(self, version):
        self.version = version
        self.events = None
        self.served = 0

    async def __call__(self, request, writer):
        self.served += 1
        first = int(request.headers.get("last-event-id", -1)) + 1
        end = EVENTS if self.events is None else first + self.events
        writer.write(scripted_target.stream_head(request))
        for number in range(first, min(end, EVENTS)):
            event = versioned_event(self.version, number)
            writer.write(scripted_target.chunk(event))
        await writer.drain()
        if end < EVENTS:
            await asyncio.sleep(0.05)
            return False
        writer.write(scripted_target.chunk(b""))
        return None


async def list_target(deployment, name, version, state="ready"):
    """Write the entry of a target with a version of its software."""
    address = deployment.targets[int(name[1:]) - 1].address
    entry = orjson.loads(gateway_fixtures.make_entry(address, state=state))
    entry["version"] = version
    await deployment.store.put("keyed.servers", name, orjson.dumps(entry))


class Fleet:
    """A deployment of targets of several versions and two routers."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.scripts = {}

    async def add_targets(self, *versions):
        for version in versions:
            number = len(self.deployment.targets) + 1
            script = VersionedTarget(version)
            await self.deployment.add_target(f"t{number}", script)
            await list_target(self.deployment, f"t{number}", version)
            self.scripts[f"t{number}"] = script

    async def remove_target(self, name):
        """Take a target out of service, as after its planned stop."""
        await list_target(
            self.deployment, name, self.scripts.pop(name).version, "draining"
        )
        await self.deployment.store.put("keyed.servers", name, b"")

    async def add_router(self, name):
        seeds = tuple(r._address for r in self.deployment.routers[:1])
        router = await self.deployment.add_router(router=name, seeds=seeds)
        await self.deployment.wait_ready(router)

    async def stop_routers(self):
        """Stop all routers; nothing that they kept in memory remains."""
        for router in self.deployment.routers:
            await router.stop()
        self.deployment.routers.clear()

    def break_off(self, after_events):
        for script in self.scripts.values():
            script.events = after_events

    def set_healthy(self):
        for script in self.scripts.values():
            script.events = None

    async def ask(self, request_id, router=0, path="/plan/x", **headers):
        """Send a request; return the status, the data and completeness."""
        received = b""
        whole = True
        async with (
            aiohttp.ClientSession() as caller,
            caller.post(
                self.deployment.url(path, self.deployment.routers[router]),
                headers={
                    "Host": "example.test",
                    "X-Request-Id": request_id,
                    "X-Deadline-Ms": "3000",
                    "X-Prompt-Prefix": "a:900,b:10",
                    "Authorization": "Bearer key-1",
                    **headers,
                },
            ) as response,
        ):
            try:
                async for data in response.content.iter_any():
                    received += data
            except aiohttp.ClientError:
                whole = False
        data = [
            line.removeprefix("data: ")
            for line in received.decode().splitlines()
            if line.startswith("data: ")
        ]
        return response.status, data, whole

    async def take_up(self, request_id, resumes, data, router=0):
        headers = {"Resumes": resumes, "Last-Event-Id": str(len(data) - 1)}
        return await self.ask(request_id, router, **headers)


def versions_in(data):
    return {text.partition("-")[0] for text in data}


@pytest.fixture
async def fleet():
    """Two routers, one target of version v1 and one of v2."""
    deployment = gateway_fixtures.Deployment()
    async with deployment.stack:
        await deployment.start_store()
        await deployment.publish()
        fleet = Fleet(deployment)
        await fleet.add_targets("v1", "v2")
        await fleet.add_router("r1")
        await fleet.add_router("r2")
        await asyncio.sleep(0.7)
        yield fleet
        with contextlib.suppress(IndexError):
            await fleet.stop_routers()


async def test_router_does_not_join_streams_of_two_versions(fleet):
    fleet.break_off(2)
    for number in range(6):
        status, data, whole = await fleet.ask(f"q{number}")
        assert status == 200
        assert len(versions_in(data)) == 1
        assert not whole


async def test_take_up_is_not_joined_to_another_version(fleet):
    """The caller takes up its stream at the other router."""
    went_on = 0
    for number in range(12):
        fleet.break_off(2)
        _, data, _ = await fleet.ask(f"q{number}", router=number % 2)
        fleet.set_healthy()
        status, rest, whole = await fleet.take_up(
            f"q{number}b", f"q{number}", data, router=1 - number % 2
        )
        if status == 200:
            assert len(versions_in(data + rest)) == 1
            went_on += whole
    assert went_on >= 10


async def test_take_up_after_loss_of_all_routers_is_not_joined(fleet):
    streams = {}
    fleet.break_off(2)
    for number in range(12):
        _, streams[f"q{number}"], _ = await fleet.ask(f"q{number}")
    await asyncio.sleep(0.7)
    await fleet.stop_routers()
    fleet.set_healthy()
    await fleet.add_router("r1")
    went_on = 0
    for request_id, data in streams.items():
        status, rest, whole = await fleet.take_up(
            f"{request_id}b", request_id, data
        )
        if status == 200:
            assert len(versions_in(data + rest)) == 1
            went_on += whole
    assert went_on >= 6


async def test_take_up_is_not_joined_once_the_old_version_is_gone(fleet):
    """All routers are lost, and the old version left just before."""
    streams = {}
    fleet.break_off(2)
    for number in range(12):
        _, streams[f"q{number}"], _ = await fleet.ask(f"q{number}")
    await fleet.remove_target("t1")
    await asyncio.sleep(0.7)
    await fleet.stop_routers()
    fleet.set_healthy()
    await fleet.add_router("r1")
    for request_id, data in streams.items():
        status, rest, _ = await fleet.take_up(
            f"{request_id}b", request_id, data
        )
        if status == 200:
            assert len(versions_in(data + rest)) == 1
