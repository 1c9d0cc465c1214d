"""Refusals written once more where their own request is under way again."""

import asyncio
import collections

import aiohttp
import orjson
import pytest

from examples.standins import scripted_target
from tests import gateway_fixtures
from tests import router_processes

ORDERS = 6
# Ids that a target had before, with entries that are still listed.
EARLIER_IDS = 6
NEW_ID = "t-new"
COPY_DELAY_S = 0.02
NOT_RUN_STATUSES = (408, 421, 429, 503)


class CopyingTarget:
    """Script that writes the last refusal of a connection once more.

    It does so before the answer to the next request, if that is the request
    that was refused.

    :param target_id: its id; it refuses requests for another one.
    :param refuses: number of requests that it refuses as it is full.
    :param copies_when_idle: whether it writes the copy soon after the refusal
        instead, on an idle connection.

    :ivar ran: how often each request ran, by its id.
    :ivar copies: number of refusals written once more.
    """

    def __init__(self, target_id, refuses=0, copies_when_idle=False):
        self.ran = collections.Counter()
        self.copies = 0
        self._target_id = target_id
        self._refuses = refuses
        self._copies_when_idle = copies_when_idle
        self._refusals = {}

    async def __call__(self, request, writer):
        refused_id, refusal = self._refusals.pop(writer, ("", b""))
        if refused_id == request.request_id:
            self.copies += 1
            writer.write(refusal)
        status = ""
        if request.headers.get("x-expect-instance") != self._target_id:
            status = "421 Misdirected"
        elif self._refuses:
            self._refuses -= 1
            status = "503 Full"
        if status:
            refusal = scripted_target.response(
                request, status, X_Not_Executed="1"
            )
            writer.write(refusal)
            if self._copies_when_idle:
                loop = asyncio.get_running_loop()
                loop.call_later(COPY_DELAY_S, writer.write, refusal)
            else:
                self._refusals[writer] = (request.request_id, refusal)
            return
        self.ran[request.request_id] += 1
        await gateway_fixtures.respond(request, writer)


@pytest.fixture
async def fleet(tmp_path):
    """Start a store with a configuration."""
    found = router_processes.Deployment(tmp_path)
    async with found.stack:
        await found.start_store()
        await found.publish()
        yield found


async def add_target(fleet, target_ids, script):
    """Start a target, listed under several ids."""
    target = scripted_target.ScriptedTarget(script)
    await target.start()
    fleet.stack.push_async_callback(target.stop)
    for target_id in target_ids:
        await fleet.store.put(
            "keyed.servers",
            target_id,
            gateway_fixtures.make_entry(target.address),
        )


async def send(caller, router, request_id, path="/order/x"):
    """Send a request; return the status of its answer."""
    async with caller.post(
        router.url(path),
        headers={
            "Host": "example.test",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "2000",
            "Authorization": "Bearer key-1",
        },
    ) as response:
        await response.read()
        return response.status


async def wait_for_targets(router, count):
    """Wait until a router has read the entries of the targets."""
    async with asyncio.timeout(5):
        while router.log.count('"target.listed"') < count:  # noqa: ASYNC110
            await asyncio.sleep(0.02)


def refusals_by_connection(router):
    """Count a router's refused attempts by request and connection."""
    lines = map(orjson.loads, router.log.splitlines())
    return collections.Counter(
        (line["request_id"], line["connection"])
        for line in lines
        if line.get("event") == "request.not_run" and line["connection"]
    )


@pytest.mark.parametrize("path", ["/order/x", "/chat/x"])
@pytest.mark.parametrize("others", [0, 1])
async def test_copied_refusal_of_an_earlier_id_is_not_believed(
    fleet, others, path
):
    """Orders ran after 503, or twice, at a target with a new id."""
    script = CopyingTarget(NEW_ID)
    earlier_ids = [f"t{number}" for number in range(EARLIER_IDS)]
    await add_target(fleet, [NEW_ID, *earlier_ids], script)
    scripts = [script]
    for number in range(others):
        scripts.append(CopyingTarget(f"other{number}"))
        await add_target(fleet, [f"other{number}"], scripts[-1])
    router = await fleet.add_process()
    await wait_for_targets(router, 1 + EARLIER_IDS + others)
    statuses = {}
    async with aiohttp.ClientSession() as caller:
        for number in range(ORDERS):
            request_id = f"q{number}"
            statuses[request_id] = await send(caller, router, request_id, path)
    ran = sum((script.ran for script in scripts), collections.Counter())
    refused_and_ran = [
        request_id
        for request_id, status in statuses.items()
        if status in NOT_RUN_STATUSES and ran[request_id]
    ]
    assert not refused_and_ran
    assert max(ran.values()) == 1
    refusals = refusals_by_connection(router)
    assert max(refusals.values()) == 1
    came_again = collections.Counter(request_id for request_id, _ in refusals)
    assert max(came_again.values()) > 1


@pytest.mark.parametrize("copies_when_idle", [False, True])
async def test_copied_refusal_is_not_believed_when_a_caller_reuses_its_id(
    fleet, copies_when_idle
):
    """An order ran that was refused as not run, as its id came again."""
    script = CopyingTarget("t1", refuses=1, copies_when_idle=copies_when_idle)
    await add_target(fleet, ["t1"], script)
    router = await fleet.add_process()
    await wait_for_targets(router, 1)
    async with aiohttp.ClientSession() as caller:
        assert await send(caller, router, "q1") == 503
        await asyncio.sleep(2 * COPY_DELAY_S)
        assert await send(caller, router, "q1") == 200
    assert script.ran["q1"] == 1


class CuttingTarget(CopyingTarget):
    """Script that writes the beginning of a copy before the next answer.

    :param target_id: its id; it refuses requests for another one.
    :param cut_after: the copy ends with this text.
    """

    def __init__(self, target_id, cut_after):
        super().__init__(target_id)
        self._cut_after = cut_after

    async def __call__(self, request, writer):
        writer.write(self._refusals.pop(writer, b""))
        if request.headers.get("x-expect-instance") == self._target_id:
            self.ran[request.request_id] += 1
            await gateway_fixtures.respond(request, writer)
            return
        refusal = (
            "HTTP/1.1 421 Misdirected\r\nDate: Sun, 06 Dec 2026 10:00:00 GMT"
            f"\r\nX-Request-Id: {request.request_id}"
            "\r\nContent-Length: 0\r\n\r\n"
        )
        writer.write(refusal.encode())
        beginning, _, _ = refusal.partition(self._cut_after)
        self._refusals[writer] = (beginning + self._cut_after).encode()


@pytest.mark.parametrize(
    "cut_after", ["421", "421 ", "421 Mis", "Date: Sun", "GMT\r\n", "Id: q"]
)
@pytest.mark.parametrize("others", [0, 1])
async def test_beginning_of_a_copy_refuses_no_other_order(
    fleet, others, cut_after
):
    """Orders ran after 503, or twice, as the status was an earlier one's."""
    script = CuttingTarget(NEW_ID, cut_after)
    earlier_ids = [f"t{number}" for number in range(EARLIER_IDS)]
    await add_target(fleet, [NEW_ID, *earlier_ids], script)
    scripts = [script]
    for number in range(others):
        scripts.append(CopyingTarget(f"other{number}"))
        await add_target(fleet, [f"other{number}"], scripts[-1])
    router = await fleet.add_process()
    await wait_for_targets(router, 1 + EARLIER_IDS + others)
    statuses = {}
    async with aiohttp.ClientSession() as caller:
        for number in range(2 * ORDERS):
            request_id = f"q{number}"
            statuses[request_id] = await send(caller, router, request_id)
    ran = sum((script.ran for script in scripts), collections.Counter())
    refused_and_ran = [
        request_id
        for request_id, status in statuses.items()
        if status in NOT_RUN_STATUSES and ran[request_id]
    ]
    assert not refused_and_ran
    assert max(ran.values()) == 1


@pytest.mark.parametrize("path", ["/order/x", "/lookup/x", "/plan/x"])
async def test_honestly_refused_request_still_reaches_another_target(
    fleet, path
):
    scripts = [CopyingTarget(name, refuses=2) for name in ("t1", "t2", "t3")]
    for number, script in enumerate(scripts, 1):
        await add_target(fleet, [f"t{number}"], script)
    router = await fleet.add_process()
    await wait_for_targets(router, 3)
    async with aiohttp.ClientSession() as caller:
        for number in range(ORDERS):
            await send(caller, router, f"q{number}", path)
        assert await send(caller, router, "last", path) == 200
    ran = sum((script.ran for script in scripts), collections.Counter())
    assert max(ran.values()) == 1
