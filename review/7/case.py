"""A server in trouble runs an order and answers 429 with a large body."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import loopback  # noqa: E402

# More than the router keeps of a response before it passes it on.
ERROR_BYTES = 1_200_000
ORDERS = 5
# Two of five orders fail; srv_grey fails up to 0.45 of the requests.
FAILED_PATHS = ("/orders/2", "/orders/4")
# Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)


async def respond(request, writer):
    if not loopback.TROUBLE or request.target not in FAILED_PATHS:
        writer.write(loopback.sealed_head(request, 2) + b"ok")
        return
    # Without X-Not-Executed it states nothing about the run.
    head = loopback.encode_head(
        "HTTP/1.1 429 Too Many Requests",
        {
            "X-Request-Id": request.id,
            "X-Server-Seal": "3e1b.07.5a2",
            "Content-Length": ERROR_BYTES,
        },
    )
    writer.write(head + b"x" * ERROR_BYTES)


async def order(record, router, number):
    """Send an order; return the status of its answer."""
    request_id = f"order-{number}"
    reader, writer = await asyncio.open_connection(
        router.ip, router.front_port
    )
    writer.write(
        loopback.request_head(
            "POST", f"/orders/{number}", request_id, 4_000, Content_Length=2
        )
        + b"{}"
    )
    record.write(f"{request_id} sent to {router.name}")
    line, headers = await loopback.read_head(reader)
    body = await loopback.read_body(reader, headers)
    writer.close()
    record.write(f"{request_id} answered {line!r}, {len(body)} bytes")
    return int(line.split()[1])


async def case(deployment):
    await deployment.publish(
        1,
        [
            {
                "name": "orders",
                "path_prefix": "/orders/",
                "kind": "non_idempotent",
                "service": "registro",
                "timeout_ms": 4_000,
            }
        ],
        [{"name": "registro"}],
    )
    server = await deployment.add_server("registro", "i-1", respond)
    (router,) = await deployment.add_routers(1)
    await asyncio.sleep(2)
    broken = 0
    for number in range(1, ORDERS + 1):
        request_id = f"order-{number}"
        status = await order(deployment.record, router, number)
        if status in PROMISES and request_id in server.runs:
            broken += 1
            deployment.record.write(
                f"{request_id} has run and is answered {status}"
            )
    return broken > 0


loopback.run(FOLDER, case)
