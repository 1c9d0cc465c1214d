"""Division of a process's descriptors among its connections."""

import dataclasses
import resource

from bulrushdale.forwarding import endings
from bulrushdale.forwarding import ports
from bulrushdale.forwarding import tunnel_server

# Files, the event loop, the store, other routers, and connections to targets
# that are kept for reuse beside those in use.
RESERVED = 200
# A connection of a caller may take one to a target, and one to a target that
# is about to end.
_CALLER_SHARE = 0.4
_OTHER_SHARE = 0.1
_LINK_SHARE = 0.05
# The least that serves at all, where the settings leave less.
_MIN_CONNECTIONS = 16
# Checks of the platform and readers of metrics, for each of the two ports.
_SERVICE_CONNECTIONS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Descriptors:
    """How many connections of each kind may be open.

    :param caller_connections: connections of callers; 0 for any number.
    :param backlog: connections of callers that wait to be accepted. All of
        them may be accepted before the first one is closed.
    :param tunnels: connections of other routers, each with one to a target.
    :param endings: connections to targets that wait until their end arrives;
        0 for the usual number.
    :param service_connections: connections of each port for the platform; 0
        for any number.
    :param link_connections: connections of other routers that read records; 0
        for any number.
    """

    caller_connections: int = 0
    backlog: int = ports.BACKLOG
    tunnels: int = tunnel_server.MAX_TUNNELS
    endings: int = 0
    service_connections: int = 0
    link_connections: int = 0


def soft_limit() -> int:
    """Return how many descriptors this process may open; 0 for any number."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return 0 if limit == resource.RLIM_INFINITY else limit


def share(max_fds: int) -> Descriptors:
    """Return how a process uses its descriptors.

    :param max_fds: how many it may have open; 0 if that isn't known.
    """
    if not max_fds:
        return Descriptors()
    spare = max(0, max_fds - RESERVED)
    callers = max(_MIN_CONNECTIONS, int(spare * _CALLER_SHARE))
    others = max(_MIN_CONNECTIONS, int(spare * _OTHER_SHARE))
    return Descriptors(
        caller_connections=callers,
        backlog=min(ports.BACKLOG, callers),
        tunnels=min(tunnel_server.MAX_TUNNELS, others),
        endings=min(endings.MAX_ENDINGS, others),
        service_connections=_SERVICE_CONNECTIONS,
        link_connections=max(_SERVICE_CONNECTIONS, int(spare * _LINK_SHARE)),
    )
