"""HTTP API for operators: catalogue, fleet state and timelines."""

from collections import abc
import hashlib
import hmac
import typing
import uuid

from aiohttp import web
import orjson

from bulrushdale.catalogue import entries
from bulrushdale.catalogue import publisher
from bulrushdale.catalogue import state
from bulrushdale.forwarding import expectations
from bulrushdale import records
from bulrushdale import results
from bulrushdale.web import context as context_module
from bulrushdale.web import respond

ENTRY_PATH = "/catalogue/{kind}/{name}"

Handler = typing.Callable[
    [context_module.Context, web.Request], abc.Awaitable[web.Response]
]


def build(context: context_module.Context) -> web.Application:
    """Return the application for the operators' port.

    :param context: what the handlers need.
    """
    app = web.Application(client_max_size=context.settings.limits.body_bytes)
    guarded: list[tuple[str, str, Handler]] = [
        ("GET", "/catalogue", _list),
        ("GET", ENTRY_PATH, _get),
        ("PUT", ENTRY_PATH, _put),
        ("DELETE", ENTRY_PATH, _delete),
        ("GET", f"{ENTRY_PATH}/history", _history),
        ("GET", "/status", _status),
        ("GET", "/fleet", _fleet),
        ("GET", "/explain/{request_id}", _explain),
    ]
    for method, path, handler in guarded:
        app.router.add_route(
            method,
            path,
            _require_operator(context, handler),
            expect_handler=expectations.defer,
        )
    app.router.add_get("/healthz", _liveness)
    app.router.add_get("/readyz", _readiness_handler(context))
    app.router.add_get("/metrics", _metrics_handler(context))
    return app


def _require_operator(
    context: context_module.Context, handler: Handler
) -> typing.Callable[[web.Request], abc.Awaitable[web.StreamResponse]]:
    """Return a handler that authenticates operators and reports refusals."""

    async def handle(request: web.Request) -> web.StreamResponse:
        try:
            return await respond.send(request, await respond_to(request))
        finally:
            respond.holder_of(request).end()

    async def respond_to(request: web.Request) -> web.Response:
        request_id = uuid.uuid4().hex
        try:
            _authenticate(context, request)
            return await handler(context, request)
        except results.RefusedError as error:
            return respond.refusal_response(error.refusal, request_id)
        except entries.InvalidEntryError as error:
            refusal = results.Refusal(
                results.Code.ENTRY_INVALID, "; ".join(error.problems)
            )
            return respond.refusal_response(refusal, request_id)

    return handle


def _authenticate(
    context: context_module.Context, request: web.Request
) -> None:
    """Check the operator's key.

    :raises bulrushdale.results.RefusedError: if the key is not known.
    """
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    known = any(
        hmac.compare_digest(digest, item)
        for item in context.settings.operator_key_sha256
    )
    if scheme.lower() != "bearer" or not known:
        raise results.refuse(
            results.Code.UNAUTHENTICATED, "the operator's key is not known"
        )


async def _liveness(_: web.Request) -> web.Response:
    return respond.json_response({"live": True})


def _readiness_handler(
    context: context_module.Context,
) -> typing.Callable[[web.Request], abc.Awaitable[web.Response]]:
    """Return the handler of ``GET /readyz``."""

    async def handle(_: web.Request) -> web.Response:
        loaded = context.catalogue.loaded
        draining = context.serving.draining
        coordinators_ready = context.slot_client.coordinators_ready()
        ready = loaded and not draining and coordinators_ready
        return respond.json_response(
            {
                "ready": ready,
                "loaded": loaded,
                "draining": draining,
                "homes": coordinators_ready,
            },
            200 if ready else 503,
        )

    return handle


def _metrics_handler(
    context: context_module.Context,
) -> typing.Callable[[web.Request], abc.Awaitable[web.Response]]:
    """Return the handler of ``GET /metrics``."""

    async def handle(_: web.Request) -> web.Response:
        return web.Response(
            body=context.telemetry.scrape(), content_type="text/plain"
        )

    return handle


async def _list(
    context: context_module.Context, request: web.Request
) -> web.Response:
    """Serve ``GET /catalogue``: the entries of one kind, or of all."""
    wanted = request.query.get("kind")
    kinds = [entries.parse_kind(wanted)] if wanted else list(entries.Kind)
    found = [
        entry.as_dict()
        for kind in kinds
        for entry in context.catalogue.live_entries(kind)
    ]
    return respond.json_response({"entries": found})


def _kind_and_name(request: web.Request) -> tuple[entries.Kind, str]:
    kind = entries.parse_kind(request.match_info["kind"])
    return kind, entries.check_name(request.match_info["name"])


def _entry_response(entry: entries.Entry) -> web.Response:
    return respond.json_response(
        entry.as_dict(), headers={"ETag": f'"{entry.revision}"'}
    )


async def _get(
    context: context_module.Context, request: web.Request
) -> web.Response:
    kind, name = _kind_and_name(request)
    entry = context.catalogue.find(kind, name)
    if entry is None or entry.deleted:
        raise _not_found(kind, name)
    return _entry_response(entry)


def _not_found(kind: entries.Kind, name: str) -> results.RefusedError:
    return results.refuse(
        results.Code.ENTRY_NOT_FOUND, f"there is no {kind.value}/{name}"
    )


def _expected_revision(request: web.Request) -> int:
    """Return the revision that an edit replaces; zero for a new entry.

    :raises bulrushdale.results.RefusedError: if the request states none.
    """
    if request.headers.get("If-None-Match") == "*":
        return 0
    tag = request.headers.get("If-Match", "").strip().strip('"')
    if not tag.isdigit():
        raise results.refuse(
            results.Code.PRECONDITION_REQUIRED,
            "send If-Match with the revision, or If-None-Match: *",
        )
    return int(tag)


async def _put(
    context: context_module.Context, request: web.Request
) -> web.Response:
    """Serve ``PUT`` of an entry."""
    kind, name = _kind_and_name(request)
    limits = context.settings.limits
    body = await respond.read_body(
        request, limits.body_bytes, limits.body_timeout_ms
    )
    try:
        data = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise entries.InvalidEntryError([f"not JSON: {error}"]) from None
    spec = entries.parse(kind, data)
    _check_idempotency_key_life(context, spec)
    return await _publish(context, request, kind, name, spec)


def _check_idempotency_key_life(
    context: context_module.Context, spec: entries.Spec
) -> None:
    """Check the lifetime of idempotency keys against the log's retention.

    A partition server rebuilds the claims of a key from the log, so their
    records must not expire before the key.

    :raises bulrushdale.catalogue.entries.InvalidEntryError: if the lifetime
        exceeds half of the retention.
    """
    retention_ms = context.settings.platform.retention_ms
    if (
        isinstance(spec, entries.Promise)
        and spec.key_life_ms > retention_ms // 2
    ):
        raise entries.InvalidEntryError(
            [
                f"key_life_ms: {spec.key_life_ms} exceeds half of the"
                f" log's retention of {retention_ms} ms"
            ]
        )


async def _delete(
    context: context_module.Context, request: web.Request
) -> web.Response:
    """Serve ``DELETE`` of an entry."""
    kind, name = _kind_and_name(request)
    if not context.catalogue.revision(kind, name):
        raise _not_found(kind, name)
    return await _publish(context, request, kind, name, None)


async def _publish(
    context: context_module.Context,
    request: web.Request,
    kind: entries.Kind,
    name: str,
    spec: entries.Spec | None,
) -> web.Response:
    """Publish an operator's edit, and send the new entry to all peers."""
    if not context.catalogue.loaded:
        raise results.refuse(
            results.Code.NOT_READY, "the catalogue is not loaded yet", 2_000
        )
    operator = request.headers.get("X-Operator", "unnamed")[:100]
    edit = publisher.Edit(
        kind, name, spec, _expected_revision(request), operator
    )
    entry = await context.publisher.publish(edit)
    context.send_edit([entry])
    return _entry_response(entry)


async def _history(
    context: context_module.Context, request: web.Request
) -> web.Response:
    """Serve the edits of an entry that are still in the log.

    An edit was accepted if it replaced the current revision. The first one
    counts as accepted, because the edits before it may have expired.
    """
    kind, name = _kind_and_name(request)
    changes: list[dict[str, typing.Any]] = []
    revision = 0
    offset = 0
    while True:
        try:
            page = await context.log.read(state.LOG_NAME, offset)
        except records.SourceError as error:
            raise results.refuse(
                results.Code.LOG_UNAVAILABLE, str(error), 2_000
            ) from error
        if not page.records:
            break
        for record in page.records:
            offset = record.offset + 1
            data = record.data
            if data.get("type") != "edit":
                continue
            if (data["kind"], data["name"]) != (kind.value, name):
                continue
            accepted = data["expected"] == revision or not changes
            if accepted:
                revision = 0 if data["spec"] is None else offset
            changes.append(
                {
                    "revision": offset,
                    "accepted": accepted,
                    "expected": data["expected"],
                    "operator": data["operator"],
                    "time_ms": record.time_ms,
                    "spec": data["spec"],
                }
            )
    return respond.json_response({"changes": changes})


async def _status(
    context: context_module.Context, _: web.Request
) -> web.Response:
    """Serve ``GET /status``: the routers and their catalogue offsets."""
    own = context.members.own
    return respond.json_response(
        {
            "router": own.name,
            "data_centre": own.data_centre,
            "loaded": context.catalogue.loaded,
            "offset": context.catalogue.offset,
            "log_failing_since_ms": context.log.failing_since_ms,
            "routers": [
                {
                    "router": member.name,
                    "data_centre": member.data_centre,
                    "operator_address": member.operator_address,
                    "linked": member.linked,
                    "offset": member.catalogue_offset
                    if member is not own
                    else context.catalogue.offset,
                }
                for member in context.members.all()
            ],
        }
    )


async def _fleet(
    context: context_module.Context, _: web.Request
) -> web.Response:
    """Serve ``GET /fleet``: roles, links, schedulers and targets."""
    own = context.members.own
    pools = context.view.pool_names()
    return respond.json_response(
        {
            "router": own.name,
            "draining": context.serving.draining,
            "requests": context.serving.in_flight,
            "duties": {
                "reads_log": context.members.reads_log(),
                "writes_snapshots": context.members.writes_snapshots(),
                "gateway": own.name
                in context.members.gateways(own.data_centre),
                "claims": context.claim_client.summary(),
            },
            "links": [
                {
                    "peer": link.peer.name,
                    "data_centre": link.peer.data_centre,
                    "draining": link.peer.draining,
                    "bytes": link.bytes_in + link.bytes_out,
                }
                for link in context.links.all()
            ],
            "control_bytes": context.links.total_bytes(),
            "seats": context.slot_client.summary(),
            "desks": context.schedulers.summary(),
            "targets": [
                {
                    "target": target.name,
                    "pool": target.pool,
                    "slots": target.slots,
                    "failed": target.failed,
                    "leaving": target not in context.targets.in_service(pool)
                    or target.reports_leaving,
                }
                for pool in pools
                for target in context.targets.of_pool(pool)
            ],
        }
    )


async def _explain(
    context: context_module.Context, request: web.Request
) -> web.Response:
    """Serve ``GET /explain/ID``: the timeline of a request."""
    request_id = request.match_info["request_id"]
    timeline = context.timelines.find(request_id)
    if timeline is None:
        raise results.refuse(
            results.Code.ENTRY_NOT_FOUND,
            f"this router has no timeline of request {request_id!r}",
        )
    return respond.json_response(timeline.as_dict())
