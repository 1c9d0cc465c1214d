"""Responses of the soak's targets, whole and faulty."""

import asyncio

from examples.standins import scripted_target

STREAM_EVENTS = 12


async def send_stream(
    request: scripted_target.ReceivedRequest,
    writer: asyncio.StreamWriter,
    event_count: int,
) -> None:
    """Send the events after the request's last event id, without the end.

    :param event_count: number of events of the complete stream.
    """
    first = int(request.headers.get("last-event-id", -1)) + 1
    writer.write(scripted_target.stream_head(request))
    for number in range(first, event_count):
        writer.write(scripted_target.chunk(scripted_target.event(number)))
        await writer.drain()
        await asyncio.sleep(0.02)


async def send_faulty_response(
    fault: str,
    request: scripted_target.ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> bool | None:
    """Respond with a fault.

    The connection is closed after the faults ``hang``, ``cut`` and
    ``close``.

    :return: ``False`` if the connection is to be closed.
    """
    if fault == "hang":
        await asyncio.sleep(3)
    if fault == "cut":
        await send_stream(request, writer, STREAM_EVENTS // 2)
        writer.write(b"5\r\nid: ")
        await writer.drain()
    if fault == "extra":
        body = f"{request.request_id} done".encode()
        writer.write(scripted_target.response(request, body=body) * 2)
        return None
    if fault == "late":
        body = f"{request.request_id} done".encode()
        response = scripted_target.response(request, body=body)
        writer.write(response)
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(response)
        return None
    if fault == "endless":
        writer.write(scripted_target.stream_head(request))
        while True:
            writer.write(scripted_target.chunk(b"x" * 65_536))
            await writer.drain()
    if fault == "trickle":
        writer.write(scripted_target.stream_head(request))
        while True:
            writer.write(scripted_target.chunk(b"."))
            await asyncio.sleep(0.1)
    return False
