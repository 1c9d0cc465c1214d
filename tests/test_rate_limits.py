"""Limits on requests that targets name in responses."""

import asyncio
import dataclasses
import random
import time
import types

import aiohttp
import multidict
import pytest

from bulrushdale.platform import headers as platform_headers
from bulrushdale.routing import rate_limits
from bulrushdale.routing import targets as targets_module
from examples.standins import scripted_target
from tests import gateway_fixtures
from tests import test_selection

LIMIT_PER_S = 5.0
# Allowed in any span of this length: one and a half times the limit, and five.
SPAN_S = 4.0
ALLOWED = int(1.5 * SPAN_S * LIMIT_PER_S) + 5


class LimitedTarget:
    """Script of a target that names a limit and records arrivals.

    :ivar value: value of the header; none to send no header.
    """

    def __init__(self, value=str(LIMIT_PER_S)):
        self.value = value
        self.arrivals_s = []

    async def __call__(self, request, writer):
        self.arrivals_s.append(time.monotonic())
        header = f"\r\nServer-Limit: {self.value}\r\n\r\n".encode()
        if self.value is None:
            header = b"\r\n\r\n"
        if "/plan/" in request.line:
            head = scripted_target.stream_head(request)
            writer.write(head.replace(b"\r\n\r\n", header))
            for number in range(3):
                event = scripted_target.event(number)
                writer.write(scripted_target.chunk(event))
            writer.write(scripted_target.chunk(b""))
        else:
            response = scripted_target.response(request)
            writer.write(response.replace(b"\r\n\r\n", header))

    def most_in_a_span(self, from_s):
        times_s = [t for t in self.arrivals_s if t >= from_s]
        return max(
            (
                sum(start <= t < start + SPAN_S for t in times_s)
                for start in times_s
            ),
            default=0,
        )


async def send(deployment, router, number, path, caller):
    async with caller.get(
        deployment.url(path, router),
        headers={
            "Host": "example.test",
            "X-Request-Id": f"q{number}",
            "X-Deadline-Ms": "3000",
            "X-Prompt-Prefix": f"a{number % 4}:900,b{number}:10",
            "Authorization": "Bearer key-1",
        },
    ) as response:
        await response.read()
        return response


async def send_steadily(deployment, path, seconds, per_s=50):
    """Send requests to all routers in turn; return their responses."""
    tasks = []
    async with aiohttp.ClientSession() as caller:
        for number in range(int(seconds * per_s)):
            router = deployment.routers[number % len(deployment.routers)]
            tasks.append(
                asyncio.create_task(
                    send(deployment, router, number, path, caller)
                )
            )
            await asyncio.sleep(1 / per_s)
        return await asyncio.gather(*tasks)


@pytest.fixture
async def deployment():
    """Start a store, two targets and three routers that know each other."""
    async with gateway_fixtures.running_deployment("t1", "t2") as deployment:
        seeds = (deployment.routers[0]._address,)
        for name in ("r2", "r3"):
            router = await deployment.add_router(router=name, seeds=seeds)
            await deployment.wait_ready(router)
        # Routers act as members of the fleet once the others know them.
        await asyncio.sleep(1.5)
        yield deployment


@pytest.mark.parametrize("path", ["/lookup/x", "/plan/x"])
async def test_routers_together_send_no_more_than_a_target_named(
    deployment, path
):
    limited = LimitedTarget()
    deployment.targets[0].script = limited
    responses = await send_steadily(deployment, path, 6)
    learned_s = limited.arrivals_s[0] + 0.5
    assert limited.most_in_a_span(learned_s) <= ALLOWED
    assert all(response.status == 200 for response in responses)


async def test_callers_are_refused_at_once_if_all_targets_are_limited(
    deployment,
):
    scripts = [LimitedTarget(), LimitedTarget()]
    for target, script in zip(deployment.targets, scripts, strict=True):
        target.script = script
    started_s = time.monotonic()
    responses = await send_steadily(deployment, "/lookup/x", 6)
    for script in scripts:
        learned_s = script.arrivals_s[0] + 0.5
        assert script.most_in_a_span(learned_s) <= ALLOWED
    refused = [r for r in responses if r.status == 503]
    assert all(0 < float(r.headers["Retry-After"]) < 2 for r in refused)
    assert {r.status for r in responses} == {200, 503}
    # The whole rate of both targets is used.
    served = sum(
        sum(t >= started_s + 1 for t in script.arrivals_s)
        for script in scripts
    )
    assert served >= 0.8 * 2 * LIMIT_PER_S * 5


async def test_limit_that_ends_is_forgotten(deployment):
    limited = LimitedTarget()
    deployment.targets[0].script = limited
    await send_steadily(deployment, "/lookup/x", 2)
    limited.value = None
    await send_steadily(deployment, "/lookup/x", 1)
    ended_s = time.monotonic()
    await send_steadily(deployment, "/lookup/x", 2)
    assert sum(t >= ended_s for t in limited.arrivals_s) > 2 * 3 * LIMIT_PER_S


async def test_router_knows_a_limit_that_a_target_told_another(deployment):
    limited = LimitedTarget()
    deployment.targets[0].script = limited
    await send_steadily(deployment, "/lookup/x", 0.5)
    late = await deployment.add_router(
        router="r4", seeds=(deployment.routers[0]._address,)
    )
    await deployment.wait_ready(late)
    await asyncio.sleep(1)
    assert late._targets.require("t1").limit_per_s == LIMIT_PER_S


async def test_limit_holds_while_a_router_that_grants_permits_is_gone(
    deployment,
):
    """The target's grantor stops without notice after two seconds."""
    limited = LimitedTarget()
    deployment.targets[0].script = limited
    await send_steadily(deployment, "/lookup/x", 2)
    grantors = {
        router._address: router._peers.grantor("t1").address or router._address
        for router in deployment.routers
    }
    (address,) = set(grantors.values())
    (gone,) = [r for r in deployment.routers if r._address == address]
    deployment.routers.remove(gone)
    for task in gone._background_tasks:
        task.cancel()
    await gone._peer_transport.stop()
    responses = await send_steadily(deployment, "/lookup/x", 5)
    assert limited.most_in_a_span(limited.arrivals_s[0] + 0.5) <= ALLOWED
    assert all(response.status == 200 for response in responses)
    await gone.stop()


@pytest.mark.parametrize("limit_per_s", [0.0, 0.3, 1.0, 3.7, 50.0])
def test_bucket_keeps_the_rate_whatever_is_asked(clock, limit_per_s):
    limiter = rate_limits.RateLimiter(clock)
    taken_ms = []
    for _ in range(20_000):
        clock.advance(1)
        if not limiter.take("t1", limit_per_s, 0):
            taken_ms.append(clock.now_ms())
    rate_per_s = max(limit_per_s, rate_limits.MIN_RATE_PER_S)
    assert len(taken_ms) >= int(0.9 * rate_per_s * 20)
    for start_ms in taken_ms:
        count = sum(start_ms <= t < start_ms + 4_000 for t in taken_ms)
        assert count <= 1.5 * 4 * limit_per_s + 5


def test_bucket_that_was_idle_gives_no_more_than_a_burst(clock):
    limiter = rate_limits.RateLimiter(clock)
    limiter.take("t1", 10.0, 0)
    clock.advance(20_000)
    taken = sum(not limiter.take("t1", 10.0, 0) for _ in range(100))
    assert taken == 1 + 10 * rate_limits.BURST_MS / 1000


def test_wait_ends_when_there_is_a_permit(clock):
    limiter = rate_limits.RateLimiter(clock)
    for rank in (0, 2, rate_limits.MAX_RANK, 99):
        wait_ms = limiter.take("t1", 3.7, rank)
        assert wait_ms
        clock.advance(wait_ms)
        assert not limiter.take("t1", 3.7, rank)


def test_urgent_requests_get_most_permits_and_others_some(clock):
    """Four times as many requests as permits, half of them urgent."""
    limiter = rate_limits.RateLimiter(clock)
    rng = random.Random(1)
    taken = {0: 0, rate_limits.MAX_RANK: 0}
    for _ in range(8_000):
        clock.advance(10)
        rank = rng.choice((0, rate_limits.MAX_RANK))
        taken[rank] += not limiter.take("t1", 25.0, rank)
    assert taken[0] > 2 * taken[rate_limits.MAX_RANK]
    assert taken[rate_limits.MAX_RANK] > 0.1 * sum(taken.values())


@pytest.mark.parametrize(
    ("value", "limit_per_s", "states_limit"),
    [
        (None, None, True),
        ("3.5", 3.5, True),
        ("0", 0.0, True),
        ("1e6", 1e6, True),
        ("-1", None, False),
        ("nan", None, False),
        ("inf", None, False),
        ("", None, False),
        ("many", None, False),
    ],
)
def test_limit_that_makes_no_sense_states_nothing(
    value, limit_per_s, states_limit
):
    fields = {"X-Server-Seal": "seal"}
    if value is not None:
        fields["Server-Limit"] = value
    head = platform_headers.decode_response_head(
        200, multidict.CIMultiDictProxy(multidict.CIMultiDict(fields))
    )
    assert head.limit_per_s == limit_per_s
    assert head.states_limit is states_limit


def test_response_that_was_overtaken_does_not_end_a_limit(clock):
    target = targets_module.Target(test_selection.LISTING, clock)
    sent_ms = clock.now_ms()
    clock.advance(100)
    target.set_limit(5.0, clock.now_ms())
    target.set_limit(None, sent_ms)
    assert target.limit_per_s == 5.0
    target.set_limit(None, clock.now_ms())
    assert target.limit_per_s is None


def test_next_start_of_a_target_has_no_limit(clock):
    targets = targets_module.Targets(clock)
    listing = dataclasses.replace(test_selection.LISTING, target_id="t1")
    targets.put(listing)
    report = rate_limits.LimitReport("t1", listing.started_ms, 5.0, 0)
    targets.merge_limit(report)
    assert targets.require("t1").limit_per_s == 5.0
    clock.advance(1_000)
    targets.put(dataclasses.replace(listing, started_ms=clock.wall_ms()))
    targets.merge_limit(report)
    assert targets.require("t1").limit_per_s is None


def test_reports_name_limits_in_turn_and_changes_first(clock):
    targets = targets_module.Targets(clock)
    names = [f"t{n}" for n in range(40)]
    for name in names:
        listing = dataclasses.replace(test_selection.LISTING, target_id=name)
        targets.put(listing)
        targets.require(name).set_limit(2.0, clock.now_ms())
    reported = set()
    for _ in range(3):
        clock.advance(250)
        limits = targets.take_limits_to_report()
        assert len(limits) <= targets_module.MAX_REPORTED_LIMITS
        reported.update(limit.target_id for limit in limits)
    assert reported == set(names)
    targets.require("t7").set_limit(None, clock.now_ms())
    assert targets.take_limits_to_report()[0].target_id == "t7"
    clock.advance(targets_module.ENDED_LIMIT_REPORT_MS)
    ended = [
        limit
        for _ in range(3)
        for limit in targets.take_limits_to_report()
        if limit.target_id == "t7"
    ]
    assert not ended


async def test_target_that_leaves_during_the_wait_for_a_permit_gets_no_work(
    deployment,
):
    router = deployment.routers[0]
    target = router._targets.require("t1")
    router._targets.mark_leaving(router._targets.require("t2"), "test")
    target.set_limit(50.0, target._clock.now_ms())

    async def acquire(asked, _):
        router._targets.mark_leaving(asked, "test")
        return 0

    router._context.permits = types.SimpleNamespace(
        acquire=acquire, asks_for_slots=lambda target: False
    )
    async with aiohttp.ClientSession() as caller:
        response = await send(deployment, router, 1, "/lookup/x", caller)
    assert response.status == 503
    assert not deployment.targets[0].received


@pytest.mark.parametrize("rank", [-5, 0, rate_limits.MAX_RANK, 1_000])
def test_rank_of_another_router_cannot_empty_a_bucket(clock, rank):
    limiter = rate_limits.RateLimiter(clock)
    limiter.take("t1", 4.0, rank)
    taken = 0
    for _ in range(4_000):
        clock.advance(1)
        taken += not limiter.take("t1", 4.0, rank)
    assert taken <= 4 * 4 + 1
