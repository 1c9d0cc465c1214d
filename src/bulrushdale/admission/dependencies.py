"""What seats and desks of one router work with."""

import dataclasses

from bulrushdale.catalogue import view as view_module
from bulrushdale import clock as clock_module
from bulrushdale.fleet import links as links_module
from bulrushdale.fleet import members as members_module
from bulrushdale.fleet import targets as targets_module


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """The surroundings of one router's admission.

    :param own: this router's name.
    :param view: the catalogue.
    :param targets: the targets here.
    :param members: the routers known.
    :param links: the links to them.
    :param clock: the clock.
    :param lease_ms: how long an attachment holds without a heartbeat.
    """

    own: str
    view: view_module.View
    targets: targets_module.Targets
    members: members_module.Members
    links: links_module.Links
    clock: clock_module.Clock
    lease_ms: int
