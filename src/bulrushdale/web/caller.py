"""The caller of a request."""

import dataclasses

from bulrushdale.catalogue import entries
from bulrushdale import explain
from bulrushdale.forwarding import memory_account


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """The authenticated caller of a request.

    :param request_id: the request's id.
    :param team: the team's name.
    :param spec: the spec of the team's entry.
    :param timeline: the timeline of the request.
    :param holder: the memory that the request holds.
    """

    request_id: str
    team: str
    spec: entries.Team
    timeline: explain.Timeline
    holder: memory_account.Holder
