"""The objects that the slot client and the schedulers share."""

import dataclasses

from bulrushdale.catalogue import view as view_module
from bulrushdale import clock as clock_module
from bulrushdale.fleet import links as links_module
from bulrushdale.fleet import members as members_module
from bulrushdale.fleet import targets as targets_module


@dataclasses.dataclass(frozen=True, slots=True)
class Scope:
    """The objects that one router's admission control works with.

    :param own: this router's name.
    :param view: the catalogue.
    :param targets: the targets of this data centre.
    :param members: the known routers.
    :param links: the links to other routers.
    :param clock: the clock.
    :param lease_ms: how long an attachment lasts without a heartbeat, in ms.
    """

    own: str
    view: view_module.View
    targets: targets_module.Targets
    members: members_module.Members
    links: links_module.Links
    clock: clock_module.Clock
    lease_ms: int
