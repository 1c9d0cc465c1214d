"""Matching of routes and keys, and handling of outdated configurations."""

import dataclasses

import pytest

from bulrushdale import results
from bulrushdale.routing import access
from bulrushdale.routing import messages
from bulrushdale.routing import refusals
from bulrushdale.routing import revisions as revisions_module
from bulrushdale.routing import routes

KEY_AGE_LIMIT_MS = 4_400


def make_route(path_prefix="/a/", **changes):
    route = routes.Route(
        name="r" + path_prefix,
        host="example.test",
        path_prefix=path_prefix,
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


def make_request(path="/a/x", api_key="key-1", host="example.test"):
    return messages.InboundRequest(
        request_id="q1",
        method="GET",
        host=host,
        path=path,
        raw_target=path,
        headers=(),
        body=b"",
        api_key=api_key,
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


def test_share_with_zero_weight_gets_no_requests():
    route = make_route(shares=(routes.Share("one", 0), routes.Share("two", 1)))
    assert {route.service_for(f"q{i}") for i in range(200)} == {"two"}


def test_older_configuration_never_replaces_newer(revisions):
    assert revisions.apply(make_configuration(5))
    assert not revisions.apply(make_configuration(4))
    assert not revisions.apply(make_configuration(5))
    assert revisions.current.version == 5


def admit(inbound, revisions):
    return access.admit(inbound, revisions, KEY_AGE_LIMIT_MS)


def test_known_key_is_admitted_for_its_team(revisions):
    admitted = admit(make_request(), revisions)
    assert admitted.team.name == "bakery"
    assert admitted.version == 1


def refusal_of(inbound, revisions):
    with pytest.raises(results.RefusedError) as caught:
        admit(inbound, revisions)
    return caught.value.refusal


@pytest.mark.parametrize(
    ("inbound", "code"),
    [
        (make_request(api_key="other"), results.Code.UNAUTHENTICATED),
        (make_request(api_key=""), results.Code.UNAUTHENTICATED),
        (make_request(path="/z/"), results.Code.NOT_FOUND),
    ],
)
def test_current_router_refuses_unknown_key_and_route(
    revisions, inbound, code
):
    refusal = refusal_of(inbound, revisions)
    assert refusal.code is code
    assert not refusal.retry_after_ms


@pytest.mark.parametrize(
    "inbound", [make_request(api_key="other"), make_request(path="/z/")]
)
def test_outdated_router_asks_to_retry(revisions, clock, inbound):
    clock.advance(access.MAX_CURRENT_AGE_MS + 1)
    refusal = refusal_of(inbound, revisions)
    assert refusal.code is results.Code.CONFIGURATION_OUTDATED
    assert refusal.retry_after_ms


def test_keys_are_not_trusted_beyond_the_age_limit(revisions, clock):
    clock.advance(KEY_AGE_LIMIT_MS)
    assert admit(make_request(), revisions).version == 1
    clock.advance(1)
    refusal = refusal_of(make_request(), revisions)
    assert refusal.code is results.Code.CONFIGURATION_OUTDATED


def test_public_route_needs_no_key_or_current_configuration(clock):
    revisions = revisions_module.Revisions(clock)
    revisions.apply(make_configuration(route_list=[make_route(public=True)]))
    revisions.confirm(clock.boot_ms())
    clock.advance(60_000)
    assert admit(make_request(api_key=""), revisions).team is None


def test_router_without_configuration_is_not_ready(clock):
    revisions = revisions_module.Revisions(clock)
    assert refusal_of(make_request(), revisions).code is results.Code.NOT_READY


def test_refusals_spread_retries():
    retry_times_ms = {
        refusals.refuse(results.Code.NO_TARGET, "none").refusal.retry_after_ms
        for _ in range(50)
    }
    assert len(retry_times_ms) > 10
    assert min(retry_times_ms) >= refusals.RETRY_AFTER_MS
