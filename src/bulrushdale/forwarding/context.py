"""The components that request handlers share."""

import asyncio
from collections import abc
import dataclasses
import typing

import aiohttp
from aiohttp import web

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import attempt
from bulrushdale.forwarding import crashes
from bulrushdale.forwarding import metrics as metrics_module
from bulrushdale.forwarding import permits as permits_module
from bulrushdale.forwarding import probes
from bulrushdale.forwarding import stop_limit as stop_limit_module
from bulrushdale.forwarding import tunnels as tunnels_module
from bulrushdale.routing import budget as budget_module
from bulrushdale.routing import messages
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import quarantine as quarantine_module
from bulrushdale.routing import relays as relays_module
from bulrushdale.routing import revisions as revisions_module
from bulrushdale.routing import selection as selection_module
from bulrushdale.routing import targets as targets_module
from bulrushdale.routing import versions


@dataclasses.dataclass(frozen=True, slots=True)
class Codec:
    """Functions that translate between HTTP headers and internal types.

    :param decode_request_id: returns the request id, which is needed before
        the body is read.
    :param decode_request: decodes a caller's request and its body.
    :param encode_request: returns the request headers for a target.
    :param decode_response_head: decodes the status and headers of a target's
        response.
    """

    decode_request_id: typing.Callable[[web.BaseRequest], str]
    decode_request: typing.Callable[
        [web.BaseRequest, bytes], messages.InboundRequest
    ]
    encode_request: typing.Callable[..., list[tuple[str, str]]]
    decode_response_head: attempt.DecodeResponseHead


class Context:
    """The components that handle requests, built once at startup.

    :ivar clock: the clock.
    :ivar codec: translates HTTP headers.
    :ivar session: HTTP client session for repeatable requests.
    :ivar at_most_once_session: HTTP client session for requests that must
        not be repeated.
    :ivar relay_session: HTTP client session through other routers.
    :ivar tunnels: opens the connections of that session.
    :ivar relays: which routers to ask for them.
    :ivar revisions: the revisions of the configuration.
    :ivar targets: all targets.
    :ivar peers: the other routers.
    :ivar selection: chooses targets.
    :ivar budget: the retry budget.
    :ivar key_age_limit_ms: maximum age of the configuration for which API
        keys are accepted, in ms; none for no limit.
    :ivar draining: returns whether the router is draining.
    :ivar stop_limit: ends requests before the router stops.
    :ivar metrics: the metrics of the router.
    :ivar prober: checks whether targets are reachable.
    :ivar crash_detector: finds out which targets crashed.
    :ivar quarantine: decides which requests are withheld.
    :ivar permits: gets permits for targets that limit their requests.
    :ivar version_history: which software versions served lately.
    :ivar stream_versions: versions of some streams.
    :ivar versions_restored: set once the history includes the time before
        this router started.
    :ivar streams_synced: set once other routers were asked for the streams
        that they told before this router started.
    :ivar check_streams: asks the others again if this router has missed what
        they told.
    :ivar targets_are_current: returns whether no router knew targets that
        this one doesn't at a time, in ms of the boot clock.
    """

    __slots__ = (
        "clock",
        "codec",
        "session",
        "at_most_once_session",
        "relay_session",
        "tunnels",
        "relays",
        "revisions",
        "targets",
        "peers",
        "selection",
        "budget",
        "key_age_limit_ms",
        "draining",
        "stop_limit",
        "metrics",
        "prober",
        "crash_detector",
        "quarantine",
        "permits",
        "version_history",
        "stream_versions",
        "versions_restored",
        "streams_synced",
        "check_streams",
        "targets_are_current",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        codec: Codec,
        session: aiohttp.ClientSession,
        at_most_once_session: aiohttp.ClientSession,
        relay_session: aiohttp.ClientSession,
        tunnels: tunnels_module.TunnelClient,
        relays: relays_module.Relays,
        revisions: revisions_module.Revisions,
        targets: targets_module.Targets,
        peers: peers_module.Peers,
        selection: selection_module.Selection,
        budget: budget_module.RetryBudget,
        key_age_limit_ms: int | None,
        draining: typing.Callable[[], bool],
        stop_limit: stop_limit_module.StopLimit,
        metrics: metrics_module.Metrics,
        prober: probes.Prober,
        crash_detector: crashes.CrashDetector,
        quarantine: quarantine_module.Quarantine,
        permits: permits_module.Permits,
        version_history: versions.VersionHistory,
        stream_versions: versions.StreamVersions,
        versions_restored: asyncio.Event,
        streams_synced: asyncio.Event,
        check_streams: typing.Callable[[], None],
        targets_are_current: abc.Callable[[int], bool],
    ) -> None:
        self.clock = clock
        self.codec = codec
        self.session = session
        self.at_most_once_session = at_most_once_session
        self.relay_session = relay_session
        self.tunnels = tunnels
        self.relays = relays
        self.revisions = revisions
        self.targets = targets
        self.peers = peers
        self.selection = selection
        self.budget = budget
        self.key_age_limit_ms = key_age_limit_ms
        self.draining = draining
        self.stop_limit = stop_limit
        self.metrics = metrics
        self.prober = prober
        self.crash_detector = crash_detector
        self.quarantine = quarantine
        self.permits = permits
        self.version_history = version_history
        self.stream_versions = stream_versions
        self.versions_restored = versions_restored
        self.streams_synced = streams_synced
        self.check_streams = check_streams
        self.targets_are_current = targets_are_current
