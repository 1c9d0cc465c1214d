"""Matching of routes, keys and the age of what a router knows."""

import dataclasses

import pytest

from bulrushdale import results
from bulrushdale.routing import access
from bulrushdale.routing import messages
from bulrushdale.routing import refusals
from bulrushdale.routing import revisions as revisions_module
from bulrushdale.routing import routes

KEY_AGE_LIMIT_MS = 4_400


def make_route(prefix="/a/", **changes):
    route = routes.Route(
        name="r" + prefix,
        host="example.test",
        path_prefix=prefix,
        kind=routes.Kind.IDEMPOTENT,
        timeout_ms=2_000,
        target_latency_ms=400,
        max_gap_ms=0,
        priority=1,
        shares=(routes.Share("lookup", 1),),
        max_attempts=2,
        public=False,
        prefix_affinity=False,
        resumable=False,
    )
    return dataclasses.replace(route, **changes)


def make_configuration(version=1, route_list=None, keys=("key-1",)):
    return routes.Configuration(
        version,
        route_list or [make_route()],
        [routes.Service("lookup", 100, 0)],
        {key: routes.Team("bakery", 2) for key in keys},
        routes.CallerLimits(16_384, 4_194_304, 15_000),
    )


def make_call(path="/a/x", key="key-1", host="example.test"):
    return messages.InboundRequest(
        request_id="q1",
        method="GET",
        host=host,
        path=path,
        raw_target=path,
        headers=(),
        body=b"",
        key=key,
        deadline_ms=4_000,
        resume_after=None,
        prompt=(),
        prompt_tokens=0,
        output_tokens=0,
    )


@pytest.fixture
def revisions(clock):
    revisions = revisions_module.Revisions(clock)
    revisions.apply(make_configuration())
    revisions.confirm(clock.boot_ms())
    return revisions


def test_longest_prefix_wins():
    long, short = make_route("/a/b/"), make_route("/a/")
    configuration = make_configuration(route_list=[short, long])
    assert configuration.match("example.test", "/a/b/c") is long
    assert configuration.match("example.test", "/a/bc") is short
    assert configuration.match("EXAMPLE.test:80", "/a/") is short
    assert configuration.match("example.test", "/a") is None
    assert configuration.match("other.test", "/a/b/c") is None


def test_shares_follow_weights():
    route = make_route(
        shares=(routes.Share("one", 90), routes.Share("two", 10))
    )
    chosen = [route.service_for(f"q{i}") for i in range(2_000)]
    assert 120 < chosen.count("two") < 280
    assert route.service_for("q7") == route.service_for("q7")


def test_share_without_weight_gets_nothing():
    route = make_route(shares=(routes.Share("one", 0), routes.Share("two", 1)))
    assert {route.service_for(f"q{i}") for i in range(200)} == {"two"}


def test_older_configuration_never_replaces_newer(revisions):
    assert revisions.apply(make_configuration(5))
    assert not revisions.apply(make_configuration(4))
    assert not revisions.apply(make_configuration(5))
    assert revisions.current.version == 5


def admit(call, revisions):
    return access.admit(call, revisions, KEY_AGE_LIMIT_MS)


def test_known_key_is_admitted_for_its_team(revisions):
    admitted = admit(make_call(), revisions)
    assert admitted.team.name == "bakery"
    assert admitted.version == 1


def refused(call, revisions):
    with pytest.raises(results.RefusedError) as caught:
        admit(call, revisions)
    return caught.value.refusal


@pytest.mark.parametrize(
    ("call", "code"),
    [
        (make_call(key="other"), results.Code.UNAUTHENTICATED),
        (make_call(key=""), results.Code.UNAUTHENTICATED),
        (make_call(path="/z/"), results.Code.NOT_FOUND),
    ],
)
def test_unknown_key_and_route_are_refused_while_news_is_fresh(
    revisions, call, code
):
    refusal = refused(call, revisions)
    assert refusal.code is code
    assert not refusal.retry_after_ms


@pytest.mark.parametrize(
    "call", [make_call(key="other"), make_call(path="/z/")]
)
def test_outdated_router_does_not_deny(revisions, clock, call):
    clock.advance(access.MAX_CURRENT_AGE_MS + 1)
    refusal = refused(call, revisions)
    assert refusal.code is results.Code.CONFIGURATION_OUTDATED
    assert refusal.retry_after_ms


def test_keys_are_not_trusted_beyond_their_age(revisions, clock):
    clock.advance(KEY_AGE_LIMIT_MS)
    assert admit(make_call(), revisions).version == 1
    clock.advance(1)
    refusal = refused(make_call(), revisions)
    assert refusal.code is results.Code.CONFIGURATION_OUTDATED


def test_public_route_needs_neither_key_nor_fresh_news(clock):
    revisions = revisions_module.Revisions(clock)
    revisions.apply(make_configuration(route_list=[make_route(public=True)]))
    revisions.confirm(clock.boot_ms())
    clock.advance(60_000)
    assert admit(make_call(key=""), revisions).team is None


def test_router_without_configuration_is_not_ready(clock):
    revisions = revisions_module.Revisions(clock)
    assert refused(make_call(), revisions).code is results.Code.NOT_READY


def test_refusals_spread_returns():
    waits = {
        refusals.refuse(results.Code.NO_TARGET, "none").refusal.retry_after_ms
        for _ in range(50)
    }
    assert len(waits) > 10
    assert min(waits) >= refusals.RETRY_AFTER_MS
