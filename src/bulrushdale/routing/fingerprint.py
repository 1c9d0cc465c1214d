"""Recognition of a request that comes again."""

from bulrushdale import hashing
from bulrushdale.routing import messages


def request_fingerprint(
    request: messages.InboundRequest, team: str | None
) -> str:
    """Return a name for a request that is equal each time that it comes.

    What differs by the attempt doesn't count: the id of the request, its
    deadline and where its stream is to be taken up.

    :param request: the request.
    :param team: the team that sends it; none without a key.
    """
    fields = (request.method, request.raw_target, team or "")
    head = "\0".join(fields).encode(errors="surrogateescape")
    return hashing.digest(head, b"\0\0", request.body).hex()
