"""Responses of plain services in the composition with a catalogue."""

import types

import pytest

from bulrushdale import clock as clock_module
from bulrushdale import daemon
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
