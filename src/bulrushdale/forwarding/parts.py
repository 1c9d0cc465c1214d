"""What requests are served with."""

import dataclasses
import typing

import aiohttp
from aiohttp import web

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import attempt
from bulrushdale.forwarding import metrics as metrics_module
from bulrushdale.forwarding import probes
from bulrushdale.routing import budget as budget_module
from bulrushdale.routing import messages
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import revisions as revisions_module
from bulrushdale.routing import selection as selection_module
from bulrushdale.routing import targets as targets_module


@dataclasses.dataclass(frozen=True, slots=True)
class Wire:
    """Translates between wire headers and the product's types.

    :param decode_request_id: known before the body is read.
    :param decode_call: from a caller's request and its body.
    :param encode_call: headers for a target.
    :param decode_answer: from the status and headers of a target's answer.
    """

    decode_request_id: typing.Callable[[web.BaseRequest], str]
    decode_call: typing.Callable[
        [web.BaseRequest, bytes], messages.InboundRequest
    ]
    encode_call: typing.Callable[..., list[tuple[str, str]]]
    decode_answer: attempt.DecodeAnswer


class Parts:
    """The parts of a router that a request needs, wired once at its start."""

    __slots__ = (
        "clock",
        "wire",
        "session",
        "once_session",
        "revisions",
        "targets",
        "peers",
        "selection",
        "budget",
        "key_age_limit_ms",
        "draining",
        "metrics",
        "prober",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        wire: Wire,
        session: aiohttp.ClientSession,
        once_session: aiohttp.ClientSession,
        revisions: revisions_module.Revisions,
        targets: targets_module.Targets,
        peers: peers_module.Peers,
        selection: selection_module.Selection,
        budget: budget_module.RetryBudget,
        key_age_limit_ms: int | None,
        draining: typing.Callable[[], bool],
        metrics: metrics_module.Metrics,
        prober: probes.Prober,
    ) -> None:
        self.clock = clock
        self.wire = wire
        self.session = session
        self.once_session = once_session
        self.revisions = revisions
        self.targets = targets
        self.peers = peers
        self.selection = selection
        self.budget = budget
        self.key_age_limit_ms = key_age_limit_ms
        self.draining = draining
        self.metrics = metrics
        self.prober = prober
