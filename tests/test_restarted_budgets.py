"""Retries at a failing service whose routers are killed in series."""

import asyncio
import collections
import contextlib
import itertools
import time

import aiohttp
import pytest

from examples.standins import scripted_target
from tests import gateway_fixtures
from tests import router_processes

RATIO = 0.2
SLACK = 10
WINDOW_S = 4.0
REQUEST_INTERVAL_S = 0.01
HEALTHY_S = 1.5 * WINDOW_S
# From the first failure until each kill, and until the end.
KILLS_S = (1.0, 2.2)
END_S = 4.5


class FailingService:
    """Targets that answer, and then fail every request.

    :ivar failing: whether they fail.
    :ivar arrivals_s: when each request arrived, by its id.
    """

    def __init__(self):
        self.failing = False
        self.arrivals_s = collections.defaultdict(list)

    async def respond(self, request, writer):
        self.arrivals_s[request.request_id].append(time.monotonic())
        if self.failing:
            writer.write(
                scripted_target.response(
                    request, status="500 Internal Server Error"
                )
            )
        else:
            await gateway_fixtures.respond(request, writer)

    @property
    def repeats_s(self):
        """When requests arrived again."""
        return sorted(
            itertools.chain.from_iterable(
                times_s[1:] for times_s in self.arrivals_s.values()
            )
        )


@pytest.fixture
async def service():
    return FailingService()


@pytest.fixture
async def fleet(tmp_path, service):
    """Start two router processes and three targets of a service."""
    found = router_processes.Deployment(tmp_path)
    bounds = (
        f"retry_budget_ratio = {RATIO}\nbudget_slack = {SLACK}\n"
        f"budget_window_s = {WINDOW_S}"
    )
    async with found.stack:
        await found.start_store()
        await found.publish()
        for number in range(3):
            await found.add_target(f"t{number}", service.respond)
        await found.add_process(bounds)
        await found.add_process(bounds)
        yield found


async def send_steadily(fleet, sent_s):
    """Send lookups to the routers in turn until cancelled.

    :param sent_s: gets the time of each request.
    """
    async with (
        aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as caller,
        asyncio.TaskGroup() as group,
    ):

        async def send(number):
            router = fleet.processes[number % len(fleet.processes)]
            with contextlib.suppress(aiohttp.ClientError):
                async with caller.post(
                    router.url("/lookup/x"),
                    headers={
                        "Host": "example.test",
                        "X-Request-Id": f"q{number}",
                        "X-Deadline-Ms": "1000",
                        "Authorization": "Bearer key-1",
                    },
                ) as response:
                    await response.read()

        for number in itertools.count():
            sent_s.append(time.monotonic())
            group.create_task(send(number))
            await asyncio.sleep(REQUEST_INTERVAL_S)


def count(times_s, start_s):
    """Return how many times are in the window that starts then."""
    return sum(1 for time_s in times_s if 0 <= time_s - start_s < WINDOW_S)


@pytest.mark.parametrize(
    "keeps_settings", [False, True], ids=["", "settings-of-first-start"]
)
async def test_routers_killed_in_series_repeat_no_more_than_the_budget(
    fleet, service, keeps_settings
):
    for router in fleet.processes:
        router.keeps_settings = keeps_settings
    sent_s = []
    sender = asyncio.create_task(send_steadily(fleet, sent_s))
    await asyncio.sleep(HEALTHY_S)
    service.failing = True
    failing_s = time.monotonic()
    for after_s in KILLS_S:
        await asyncio.sleep(failing_s + after_s - time.monotonic())
        await asyncio.gather(*(r.kill() for r in fleet.processes))
        await asyncio.gather(*(r.start() for r in fleet.processes))
    await asyncio.sleep(failing_s + END_S - time.monotonic())
    sender.cancel()
    await asyncio.wait([sender])
    repeats_s = service.repeats_s
    assert repeats_s
    excess = {}
    for start_s in repeats_s:
        requests = max(
            count(sent_s, start_s - earlier_s)
            for earlier_s in (0, WINDOW_S / 2, WINDOW_S)
        )
        allowed = RATIO * requests + SLACK
        excess[start_s - failing_s] = count(repeats_s, start_s) - allowed
    assert max(excess.values()) <= 0, max(excess.items(), key=lambda e: e[1])
