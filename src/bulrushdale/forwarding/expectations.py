"""Callers that wait for 100 Continue before they send a body.

Such a caller is told to continue when its body is read, which is once it is
admitted; one that is refused gets the refusal at once. See RFC 9110, 10.1.1.
"""

import aiohttp
from aiohttp import hdrs
from aiohttp import web

from bulrushdale.forwarding import connection_memory

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def is_open(request: web.BaseRequest) -> bool:
    """Return whether a caller may wait to be told to continue."""
    return (
        hdrs.EXPECT in request.headers
        and request.headers[hdrs.EXPECT].lower() == "100-continue"
        and request.version >= aiohttp.HttpVersion11
        and not request.content.is_eof()
    )


async def fulfil(request: web.BaseRequest) -> None:
    """Tell a caller to continue if it waits for that."""
    if is_open(request) and not connection_memory.unread_bytes(
        request.content
    ):
        await request.writer.write(_CONTINUE)
        # It is no part of the response.
        request.writer.output_size = 0


async def defer(_: web.Request) -> None:
    """Leave an expectation to whoever reads the body.

    aiohttp otherwise tells callers to continue before they are admitted.
    """


def close(request: web.BaseRequest, response: web.StreamResponse) -> None:
    """Let a connection end behind a response that isn't started yet.

    The caller may send the body or not, so that nothing tells where its next
    request would begin.

    :param request: the request.
    :param response: its response; nothing happens if all of the body is here.
    """
    if is_open(request):
        response.force_close()
