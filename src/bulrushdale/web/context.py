"""The objects of one router that its handlers need."""

import dataclasses
import typing

import aiohttp

from bulrushdale.admission import schedulers as schedulers_module
from bulrushdale.admission import slot_client as slot_client_module
from bulrushdale.answers import ids
from bulrushdale.catalogue import publisher as publisher_module
from bulrushdale.catalogue import state
from bulrushdale.catalogue import tail as tail_module
from bulrushdale.catalogue import view as view_module
from bulrushdale.claims import claim_client as claim_client_module
from bulrushdale import clock as clock_module
from bulrushdale import explain
from bulrushdale.fleet import links as links_module
from bulrushdale.fleet import members as members_module
from bulrushdale.fleet import targets as targets_module
from bulrushdale.platform import log as log_module
from bulrushdale.platform import vms
from bulrushdale import settings as settings_module
from bulrushdale import telemetry as telemetry_module


class ServingState:
    """The requests in flight of a router, and whether it is draining.

    :ivar in_flight: the number of requests in flight.
    :ivar draining: whether the router is draining.
    :ivar retry_quota: limits the retries of all requests.
    """

    __slots__ = ("in_flight", "draining", "retry_quota")

    def __init__(self) -> None:
        self.in_flight = 0
        self.draining = False
        self.retry_quota = RetryQuota()


class RetryQuota:
    """Limits retries to a share of the requests.

    Each request adds a tenth of a retry to the quota, which holds up to ten
    retries.
    """

    __slots__ = ("_balance",)

    RETRIES_PER_REQUEST = 0.1
    MAX_RETRIES = 10.0

    def __init__(self) -> None:
        self._balance = self.MAX_RETRIES

    def deposit(self) -> None:
        """Add the share of one request to the quota."""
        self._balance = min(
            self.MAX_RETRIES, self._balance + self.RETRIES_PER_REQUEST
        )

    def spend(self) -> bool:
        """Take one retry from the quota; return false if it has none."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


@dataclasses.dataclass(slots=True)
class Context:
    """Everything that the handlers of requests need.

    ``session`` keeps connections open. ``at_most_once_session`` opens one for
    each request, because after the end of a reused connection it would be
    unknown whether the target had read the request.
    """

    settings: settings_module.Settings
    clock: clock_module.Clock
    telemetry: telemetry_module.Telemetry
    session: aiohttp.ClientSession
    at_most_once_session: aiohttp.ClientSession
    catalogue: state.Catalogue
    view: view_module.View
    publisher: publisher_module.Publisher
    tail: tail_module.Tail
    log: log_module.Log
    vm_list: vms.VmListClient
    members: members_module.Members
    links: links_module.Links
    targets: targets_module.Targets
    slot_client: slot_client_module.SlotClient
    schedulers: schedulers_module.Schedulers
    claim_client: claim_client_module.ClaimClient
    signer: ids.Signer
    timelines: explain.Timelines
    serving: ServingState
    send_edit: typing.Callable[..., None]
