"""Who sent a request."""

import dataclasses

from bulrushdale.catalogue import entries
from bulrushdale import explain


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """Who sent a request.

    :param request_id: the request's id.
    :param team: the team's name.
    :param spec: the team's entry.
    :param timeline: what happens to the request.
    """

    request_id: str
    team: str
    spec: entries.Team
    timeline: explain.Timeline
