"""Responses of plain services in the composition with a catalogue."""

import asyncio
import contextlib
import time
import types

import aiohttp
import pytest

from bulrushdale import clock as clock_module
from bulrushdale import daemon
from bulrushdale.fleet import targets as fleet_targets
from bulrushdale.platform import vms
from bulrushdale import results
from bulrushdale.web import at_most_once
from bulrushdale.web import service_requests
from examples.standins import scripted_target


def unframed(how):
    """Return a script whose response ends with its connection."""

    async def script(request, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        await writer.drain()
        if how == "reset":
            scripted_target.reset_connection(writer)
        return False

    return script


@pytest.fixture
async def target():
    target = scripted_target.ScriptedTarget(unframed("close"))
    await target.start()
    yield target
    await target.stop()


def make_context(target):
    return types.SimpleNamespace(
        targets={"t1": types.SimpleNamespace(url=f"http://{target.address}")},
        slot_client=types.SimpleNamespace(
            usable=lambda _: True, report_started=lambda _: None
        ),
        clock=clock_module.Clock(),
    )


async def send(target, keep_alive):
    request = service_requests.ServiceRequest(
        "till",
        types.SimpleNamespace(call_timeout_ms=2_000),
        "POST",
        "/orders",
        {},
        b"order",
    )
    async with daemon.open_session(keep_alive) as session:
        return await service_requests.send(
            make_context(target),
            session,
            types.SimpleNamespace(target="t1"),
            request,
        )


@pytest.mark.parametrize("keep_alive", [True, False])
async def test_response_without_length_that_is_reset_is_no_outcome(
    target, keep_alive
):
    """A recorded outcome is what every later request with its key gets."""
    target.script = unframed("reset")
    with pytest.raises(service_requests.NoResponseError):
        await send(target, keep_alive)


@pytest.mark.parametrize("keep_alive", [True, False])
async def test_response_without_length_ends_with_its_connection(
    target, keep_alive
):
    outcome = await send(target, keep_alive)
    assert (outcome.status, outcome.body) == (200, b"half")


class AnsweringTwice:
    """Script that writes each response once more before the next one.

    :param names_request: whether responses name their requests.
    """

    def __init__(self, names_request):
        self._names_request = names_request
        self._responses = {}

    async def __call__(self, request, writer):
        writer.write(self._responses.get(writer, b""))
        response = scripted_target.response(
            request, body=request.request_id.encode()
        )
        if not self._names_request:
            lines = response.split(b"\r\n")
            del lines[1]
            response = b"\r\n".join(lines)
        self._responses[writer] = response
        writer.write(response)


@pytest.mark.parametrize("names_request", [True, False])
async def test_second_response_is_not_that_of_the_next_request(
    target, names_request
):
    """Callers got the responses of others."""
    target.script = AnsweringTwice(names_request)
    context = make_context(target)
    async with daemon.open_session(
        keep_alive=True, id_header=daemon.TARGET_ID_HEADER
    ) as session:
        for request_id in ("q1", "q2", "q2", "q3"):
            outcome = await service_requests.send(
                context,
                session,
                types.SimpleNamespace(target="t1"),
                service_requests.ServiceRequest(
                    "till",
                    types.SimpleNamespace(call_timeout_ms=2_000),
                    "GET",
                    "/orders",
                    {"X-Request-Id": request_id},
                    b"",
                ),
            )
            assert outcome.body == request_id.encode()


async def endless(request, writer):
    writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
    while True:
        writer.write(b"x" * 65_536)
        await writer.drain()
        await asyncio.sleep(0)


async def test_response_without_end_is_no_outcome_and_not_kept(
    target, monkeypatch
):
    monkeypatch.setattr(service_requests, "MAX_RESPONSE_BYTES", 1 << 20)
    target.script = endless
    with pytest.raises(service_requests.NoResponseError, match="1048576"):
        await send(target, keep_alive=True)


async def test_load_report_without_end_is_not_kept(target):
    failed = []
    known = types.SimpleNamespace(
        record_failure=failed.append, record_probe=None
    )
    target.script = endless
    listed = types.SimpleNamespace(name="t1", url=f"http://{target.address}")
    started = time.monotonic()
    async with daemon.open_session(keep_alive=True) as session:
        await fleet_targets.probe(session, known, listed)
    assert failed == ["t1"]
    assert time.monotonic() - started < fleet_targets.PROBE_TIMEOUT_MS / 2000


async def test_list_of_vms_without_end_is_not_kept(target, monkeypatch):
    monkeypatch.setattr(vms, "MAX_LIST_BYTES", 1 << 20)
    target.script = endless
    async with daemon.open_session(keep_alive=True) as session:
        client = vms.VmListClient(session, f"http://{target.address}/", 2_000)
        with pytest.raises(aiohttp.ClientPayloadError, match="1048576"):
            await client.read()


class RunsAndResets:
    """Script that runs each request and resets its connection.

    :param target: the target; it ends with the first request, if given.

    :ivar ran: number of requests that ran.
    """

    def __init__(self, target=None):
        self.ran = 0
        self._target = target

    async def __call__(self, request, writer):
        self.ran += 1
        if self._target is not None:
            await self._target.stop()
        scripted_target.reset_connection(writer)
        return False


def make_order(method):
    return service_requests.ServiceRequest(
        "till",
        types.SimpleNamespace(call_timeout_ms=2_000),
        method,
        "/orders",
        {"X-Request-Id": "q1"},
        b"order",
    )


@pytest.mark.parametrize("target_ends", [False, True])
@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE"])
async def test_request_that_may_have_run_is_not_sent_again(
    target, method, target_ends
):
    """The HTTP client sent it twice, or reported it as not sent."""
    target.script = RunsAndResets(target if target_ends else None)
    error = None
    async with daemon.open_session(keep_alive=False) as session:
        try:
            await service_requests.send(
                make_context(target),
                session,
                types.SimpleNamespace(target="t1"),
                make_order(method),
            )
        except (
            service_requests.NotSentError,
            service_requests.NoResponseError,
        ) as raised:
            error = raised
    assert target.script.ran == 1
    assert isinstance(error, service_requests.NoResponseError)


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE"])
async def test_order_whose_target_ended_does_not_run_at_another(
    target, method
):
    """An order with an idempotency key ran twice."""
    target.script = RunsAndResets(target)
    other = scripted_target.ScriptedTarget(RunsAndResets())
    await other.start()
    context = make_context(target)
    context.targets["t2"] = types.SimpleNamespace(
        url=f"http://{other.address}"
    )

    async def acquire(*_):
        return types.SimpleNamespace(
            target="t2", coordinator="r1", seq=2, session=None
        )

    context.slot_client.acquire = acquire
    context.slot_client.release = lambda _: None
    context.claim_client = types.SimpleNamespace(
        record_outcome=lambda *_: None, release=lambda _: None
    )
    context.telemetry = types.SimpleNamespace(
        tracer=types.SimpleNamespace(
            start_as_current_span=lambda _: contextlib.nullcontext()
        )
    )
    caller = types.SimpleNamespace(
        request_id="q1",
        timeline=types.SimpleNamespace(step=lambda *_: None),
    )
    error = None
    async with daemon.open_session(keep_alive=False) as session:
        context.at_most_once_session = session
        try:
            await at_most_once._send_claimed(
                context,
                caller,
                None,
                make_order(method),
                None,
                types.SimpleNamespace(target="t1"),
            )
        except results.RefusedError as raised:
            error = raised
    await other.stop()
    assert target.script.ran + other.script.ran == 1
    assert error.refusal.effect is not results.Ran.NO
