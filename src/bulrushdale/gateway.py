"""The router on the platform: composition root and background tasks."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import logging
import signal
import socket
import types

from aiohttp import web
import aiomisc
import orjson

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import caller_watch
from bulrushdale.forwarding import callers
from bulrushdale.forwarding import context as context_module
from bulrushdale.forwarding import crashes
from bulrushdale.forwarding import descriptors
from bulrushdale.forwarding import drain as drain_module
from bulrushdale.forwarding import endings as endings_module
from bulrushdale.forwarding import gauges
from bulrushdale.forwarding import logs
from bulrushdale.forwarding import memory_account
from bulrushdale.forwarding import metrics as metrics_module
from bulrushdale.forwarding import peer_transport as peer_transport_module
from bulrushdale.forwarding import permits as permits_module
from bulrushdale.forwarding import placement_queries
from bulrushdale.forwarding import probes
from bulrushdale.forwarding import process_memory
from bulrushdale.forwarding import replica as replica_module
from bulrushdale.forwarding import servers
from bulrushdale.forwarding import sessions
from bulrushdale.forwarding import settings as settings_module
from bulrushdale.forwarding import stop_limit
from bulrushdale.forwarding import stream_sync as stream_sync_module
from bulrushdale.forwarding import tunnel_server
from bulrushdale.forwarding import tunnels
from bulrushdale import hashing
from bulrushdale.platform import configuration
from bulrushdale.platform import headers
from bulrushdale.platform import listings
from bulrushdale.platform import quarantine_store
from bulrushdale.platform import registry
from bulrushdale.platform import store as store_module
from bulrushdale.platform import stream_store as stream_store_module
from bulrushdale.platform import version_store as version_store_module
from bulrushdale.routing import budget as budget_module
from bulrushdale.routing import cold_starts
from bulrushdale.routing import crash_evidence
from bulrushdale.routing import evacuations as evacuations_module
from bulrushdale.routing import explanation
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import prefix_locations as locations_module
from bulrushdale.routing import quarantine
from bulrushdale.routing import rate_limits
from bulrushdale.routing import relays as relays_module
from bulrushdale.routing import reports
from bulrushdale.routing import revisions as revisions_module
from bulrushdale.routing import routes
from bulrushdale.routing import selection as selection_module
from bulrushdale.routing import targets as targets_module
from bulrushdale.routing import versions
from bulrushdale import settings_error

LOG = logging.getLogger(__name__)

# A read of the configuration returns with new records, or after this time.
# Together with the pause it stays well below the age at which other routers
# assume that this router's replica is cut off.
CONFIGURATION_WAIT_MS = 500
# Pause after a change, so that a series of changes takes few reads.
CONFIGURATION_PAUSE_MS = 100
# The list of targets changes with every heartbeat, so waiting for changes
# would take one read per heartbeat.
TARGETS_INTERVAL_MS = 600
EXPIRE_INTERVAL_MS = 250
# Between two reports that only tell of streams.
TELL_INTERVAL_MS = 50
# Routers that started together have reported to each other by this time.
ALONE_AFTER_MS = 500
# The store lists the other routers within about 20 ms; they provide a first
# copy of each topic. If the list doesn't arrive in time, this router reads the
# store itself.
DISCOVERY_TIMEOUT_MS = 100
# Callers that waited during the start are served first, within a few seconds.
# Metric values are buffered one by one until then.
EXPORTER_DELAY_MS = 8_000
# The drain knows how long a stop may take, and the platform kills a process
# that takes longer. The service library requires a limit as well.
MAX_STOP_S = 86_400


class Gateway(aiomisc.Service):
    """Runs one router until it is stopped, then drains it."""

    settings: settings_module.Settings
    load_settings: abc.Callable[[], settings_module.Settings]
    # The bound sockets, by the names of their port settings.
    sockets: abc.Mapping[str, socket.socket]
    # Called when the drain begins.
    on_drain: abc.Callable[[], None] = staticmethod(lambda: None)

    async def start(self) -> None:
        """Serve the ports and start the background tasks."""
        sockets = self.sockets
        self._clock = clock_module.Clock()
        self._stack = contextlib.AsyncExitStack()
        await self._build()
        await self._peer_transport.start()
        await self._tunnel_server.start(sockets["relay_port"])
        self._background_tasks = [
            asyncio.create_task(job) for job in self._background_jobs()
        ]
        self._caller_runner = await servers.serve(
            self._caller_server,
            sockets["caller_port"],
            self._descriptors.backlog,
        )
        self._ready_runner = await servers.serve(
            self._ready_server, sockets["ready_port"]
        )
        self._metrics_runner = await servers.serve(
            self._metrics_server, sockets["metrics_port"]
        )
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        # They may have changed while the modules were loaded.
        self._reload()
        LOG.info("router started", extra={"event": "router.started"})

    def _build_servers(self) -> None:
        """Build the HTTP servers, which share one account of memory."""
        account = memory_account.MemoryAccount(
            memory_account.bound_bytes(self.settings.memory_mb),
            self._clock,
            process_memory.give_back_large_blocks,
            memory_account.limit_bytes(self.settings.memory_mb),
        )
        self._caller_server = servers.make_server(
            "caller_port",
            callers.CallerHandler(
                self._context, self._state, headers.HeadError
            ).handle,
            account,
            self._descriptors.caller_connections,
        )
        self._ready_server = servers.make_server(
            "ready_port",
            self._serve_ready,
            account,
            self._descriptors.service_connections,
            admits_all=True,
        )
        self._metrics_server = servers.make_server(
            "metrics_port",
            self._serve_metrics,
            account,
            self._descriptors.service_connections,
            admits_all=True,
        )

    def _caller_limits(self) -> routes.CallerLimits | None:
        """Return the limits of callers; none before they are loaded."""
        current = self._revisions.current
        return None if current is None else current.limits

    def _reload(self) -> None:
        """Reload the settings file.

        The limits of retries, key age and drain and the price of a crossing
        apply at once, and new seeds are added. Addresses, ports, the bounds
        of memory and descriptors, and the time for which a leaving target
        goes on serving keep their values until the next start.
        """
        try:
            new = self.load_settings()
        except settings_error.SettingsError as error:
            LOG.error(
                "new settings rejected",
                extra={"event": "router.settings", "changed": str(error)},
            )
            return
        changed = [
            field.name
            for field in dataclasses.fields(new)
            if getattr(new, field.name) != getattr(self.settings, field.name)
        ]
        self.settings = new
        self._context.key_age_limit_ms = new.key_age_limit_ms
        self._context.budget.set_limits(
            new.retry_ratio, new.retry_slack, new.retry_window_ms
        )
        self._context.selection.set_remote_cost(new.remote_cost)
        for seed in new.seeds:
            self._peers.add(seed)
        LOG.info(
            "settings reloaded",
            extra={"event": "router.settings", "changed": changed},
        )

    async def _build(self) -> None:
        """Build the components and connect them."""
        settings = self.settings
        clock = self._clock
        self._metrics = metrics_module.Metrics()
        self._descriptors = descriptors.share(settings.max_fds)
        endings = endings_module.Endings(
            clock, self._count_end, self._descriptors.endings
        )
        self._stack.callback(endings.close)
        opened = [
            await self._stack.enter_async_context(session)
            for session in (
                sessions.open_session(
                    end=endings.end,
                    id_header=headers.REQUEST_ID,
                    on_use=self._count_connection,
                ),
                sessions.open_session(
                    sessions.AT_MOST_ONCE_IDLE_LIMIT_MS,
                    end=endings.end,
                    id_header=headers.REQUEST_ID,
                    on_use=self._count_connection,
                ),
                sessions.open_session(),
            )
        ]
        session, at_most_once_session, internal_session = opened
        self._store = store_module.Store(
            internal_session, f"http://{settings.store_address}"
        )
        self._state = callers.GatewayState()
        self._revisions = revisions_module.Revisions(clock)
        evacuations = evacuations_module.Evacuations(clock)
        self._targets = targets_module.Targets(
            clock, settings.target_drain_ms, evacuations
        )
        self._revisions.add_listener(self._apply_services)
        self._address = f"{settings.host}:{settings.link_port}"
        self._peers = peers_module.Peers(
            self._address, settings.data_centre, settings.link_mbps, clock
        )
        for seed in settings.seeds:
            self._peers.add(seed)
        self._replicas = {
            name: replica_module.Replica(
                name,
                on_change,
                on_confirm,
                comparison_key,
                self._count_read,
                clock,
                own_version,
            )
            for name, on_change, on_confirm, comparison_key, own_version in (
                (
                    "configuration",
                    configuration.record_handler(self._revisions, evacuations),
                    self._confirmation_callback(self._revisions.confirm),
                    _raw_value,
                    configuration.own_version,
                ),
                (
                    "targets",
                    listings.record_handler(self._targets),
                    self._confirmation_callback(lambda _: None),
                    listings.comparison_key,
                    lambda key, value: None,
                ),
            )
        }
        self._prefix_locations = locations_module.PrefixLocations(clock)
        self._peer_transport = peer_transport_module.PeerTransport(
            self._address,
            self._peers,
            self._apply_report,
            self._replicas,
            internal_session,
            clock,
            self._descriptors.link_connections,
        )
        permits = permits_module.Permits(
            self._targets,
            self._peers,
            rate_limits.RateLimiter(clock),
            self._peer_transport.send,
            clock,
        )
        self._permits = permits
        self._peer_transport.on_message = self._receive_message
        self._prober = probes.Prober(self._targets, clock)
        self._crash_evidence = crash_evidence.CrashEvidence(clock)
        self._quarantine = quarantine.Quarantine(
            self._crash_evidence, self._address, clock
        )
        self._version_history = versions.VersionHistory(clock)
        self._stream_versions = versions.StreamVersions(clock)
        self._version_store = version_store_module.VersionStore(
            self._store, self._version_history, clock
        )
        self._stream_store = stream_store_module.StreamStore(
            self._store, self._stream_versions, clock
        )
        self._stream_sync = stream_sync_module.StreamSync(
            self._stream_versions,
            self._peers,
            internal_session,
            self._stream_store.read,
            clock,
        )
        self._peer_transport.pages[stream_sync_module.PAGE] = (
            self._stream_sync.page
        )
        relays = relays_module.Relays(settings.data_centre, self._peers, clock)
        tunnel_client = tunnels.TunnelClient(
            relays,
            self._targets,
            settings.host,
            settings.relay_port,
            self._metrics,
            self._peer_transport.send,
        )
        relay_session = await self._stack.enter_async_context(
            sessions.open_session(
                connector=tunnel_client.make_connector(
                    endings.end, headers.REQUEST_ID, self._count_connection
                ),
            )
        )
        self._discovery_attempted = asyncio.Event()
        self._sequence = 0
        self._started_ms = clock.wall_ms()
        self._up_since_ms = clock.now_ms()
        self._context = context_module.Context(
            clock=clock,
            codec=context_module.Codec(
                headers.decode_request_id,
                headers.decode_request,
                headers.encode_request,
                headers.decode_response_head,
            ),
            session=session,
            at_most_once_session=at_most_once_session,
            relay_session=relay_session,
            tunnels=tunnel_client,
            relays=relays,
            revisions=self._revisions,
            targets=self._targets,
            peers=self._peers,
            selection=selection_module.Selection(
                settings.data_centre,
                self._targets,
                self._peers,
                self._prefix_locations,
                clock,
                remote_cost=settings.remote_cost,
            ),
            budget=budget_module.RetryBudget(
                clock,
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window_ms,
                hashing.fraction(settings.router),
            ),
            key_age_limit_ms=settings.key_age_limit_ms,
            draining=lambda: self._state.draining,
            stop_limit=stop_limit.StopLimit(),
            metrics=self._metrics,
            prober=self._prober,
            crash_detector=crashes.CrashDetector(
                self._prober, clock, self._record_crash
            ),
            quarantine=self._quarantine,
            permits=permits,
            version_history=self._version_history,
            stream_versions=self._stream_versions,
            versions_restored=self._version_store.restored,
            streams_synced=self._stream_sync.done,
            check_streams=self._stream_sync.check,
            targets_are_current=self._targets_are_current,
        )
        self._tunnel_server = tunnel_server.TunnelServer(
            self._targets,
            self._peers,
            self._context.selection,
            self._prober,
            self._state,
            self._clock,
            endings.end,
            self._descriptors.tunnels,
        )
        self._build_servers()
        self._caller_watch = caller_watch.CallerWatch(
            (self._caller_server, self._ready_server, self._metrics_server),
            settings.memory_mb,
            self._caller_limits,
            clock,
        )
        sources = explanation.Sources(
            settings.data_centre,
            clock,
            self._revisions,
            self._targets,
            self._peers,
            self._context.selection,
            self._prefix_locations,
            relays,
            self._quarantine,
            self._stream_versions,
            lambda: self._context.key_age_limit_ms,
            lambda: self._state.closed,
            self._replicas["targets"].age_ms,
        )
        self._placement_queries = placement_queries.PlacementQueries(
            headers.decode_request,
            headers.HeadError,
            lambda inbound: explanation.explain(inbound, sources),
            clock,
        )
        gauges.register(
            self._metrics,
            self._replicas,
            self._targets,
            self._state,
            self._peers,
            self._context.selection,
            self._context.budget,
            self._quarantine,
            self._caller_server,
        )

    def _apply_services(self, applied: routes.Configuration) -> None:
        """Apply what a new configuration says about the services' targets."""
        self._targets.cold_rules.update(
            {
                service.name: cold_starts.Rule(
                    service.cold_rate_per_s, service.cold_start_ms
                )
                for service in applied.services.values()
                if service.cold_rate_per_s > 0
            }
        )
        self._context.selection.memory.update(
            {
                service.name: service.kv_capacity
                for service in applied.services.values()
                if service.kv_capacity > 0
            }
        )

    def _receive_message(self, data: bytes, sender: str) -> None:
        """Handle a message of another router that is no report.

        :raises ValueError: if it isn't a valid message.
        :raises TypeError: if a field has another type.
        """
        kind, *fields = orjson.loads(data)
        if kind == tunnels.BACK_OFF:
            target_id, started_ms, retry_after_ms = fields
            self._tunnel_server.receive_back_off(
                str(target_id), int(started_ms), int(retry_after_ms)
            )
        else:
            self._permits.receive(data, sender)

    def _apply_report(self, report: reports.Report) -> None:
        """Apply the parts of another router's report besides its load."""
        self._prefix_locations.merge(report.prefix_locations)
        self._targets.merge_leaving(report.leaving)
        for limit in report.limits:
            self._targets.merge_limit(limit)
        self._stream_sync.record_report()
        self._stream_versions.merge(report.streams)
        for crash in report.crashes:
            self._crash_evidence.record(crash)
        if report.cleared:
            self._quarantine.clear(report.cleared)
        if report.blocked:
            self._quarantine.merge_blocks(
                report.blocked, "another router reports it"
            )

    def _record_crash(self, crash: crashes.Crash) -> None:
        """Count a crash, and record the prompts under suspicion."""
        listing = crash.target.listing
        self._crash_evidence.record(
            crash_evidence.CrashReport(
                listing.target_id,
                listing.started_ms,
                self._clock.now_ms() - crash.crashed_ms,
                tuple(
                    tuple(
                        quarantine.hash_request(
                            listing.service,
                            request.part_ids,
                            request.fingerprint,
                        )
                    )
                    for request in crash.begun
                ),
                tuple(
                    quarantine.hash_fingerprint(
                        listing.service, request.fingerprint
                    )
                    for request in crash.waiting
                ),
            ),
            announce=True,
        )
        self._metrics.target_crashes.record(
            1, {"service": crash.target.listing.service}
        )

    def _begin_first_start(self) -> None:
        """Handle that no router has run before, if the settings agree.

        A settings file may still say so when it is used again.
        """
        if self.settings.first_start:
            self._context.budget.grant_slack()

    def _count_end(self, outcome: str) -> None:
        self._metrics.endings.record(1, {"outcome": outcome})

    def _count_connection(self, outcome: str) -> None:
        self._metrics.connections.record(1, {"outcome": outcome})

    def _count_read(self, replica: str, outcome: str) -> None:
        self._metrics.store_reads.record(
            1, {"feed": replica, "outcome": outcome}
        )

    def _confirmation_callback(
        self, on_confirm: abc.Callable[[int], None]
    ) -> replica_module.OnConfirm:
        """Return a function to call when a replica is confirmed up to date.

        Once every replica is confirmed, waiting callers are served.

        :param on_confirm: called with the time as of which the replica is up
            to date, in ms of the boot clock.
        """

        def confirm(as_of_ms: int) -> None:
            on_confirm(as_of_ms)
            if all(
                replica.confirmed_ms is not None
                for replica in self._replicas.values()
            ):
                self._state.loaded.set()

        return confirm

    def _background_jobs(self) -> list[abc.Coroutine[None, None, None]]:
        """Return the jobs that run until the router stops."""
        return [
            self._follow(
                "configuration",
                store_module.CONFIGURATION_TOPIC,
                CONFIGURATION_WAIT_MS,
                CONFIGURATION_PAUSE_MS,
            ),
            self._follow(
                "targets", store_module.TARGETS_TOPIC, 0, TARGETS_INTERVAL_MS
            ),
            registry.register_and_discover(
                self._store,
                self._address,
                reports.Member(
                    self.settings.data_centre, self.settings.link_mbps
                ),
                self._peers,
                self._clock,
                self._discovery_attempted.set,
                self._begin_first_start,
                self._reads_store,
            ),
            self._keep_quarantines(),
            self._version_store.run(self._saves_versions),
            self._stream_sync.run(self._discovery_attempted),
            self._stream_store.run(self._saves_versions),
            self._run_every(
                peers_module.REPORT_INTERVAL_MS, self._send_report
            ),
            self._run_every(0, self._tell_streams),
            self._run_every(EXPIRE_INTERVAL_MS, self._expire_targets),
            self._run_every(
                caller_watch.INTERVAL_MS, self._caller_watch.check
            ),
            self._prober.recheck_unreachable(),
            self._load_exporter(),
        ]

    async def _load_exporter(self) -> None:
        """Export metrics from some time after the start.

        The exporter is loaded in a thread, so that requests aren't blocked.
        """
        await self._clock.sleep_ms(EXPORTER_DELAY_MS)
        await asyncio.to_thread(metrics_module.load_exporter_module)
        self._metrics.connect()

    async def _follow(
        self, name: str, topic: str, wait_ms: int, interval_ms: int
    ) -> None:
        """Keep a replica up to date, once other routers may be known.

        :param name: name of the replica.
        :param topic: the store's topic.
        :param wait_ms: how long the store may wait for a record, in ms.
        :param interval_ms: delay between reads of the store, in ms.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DISCOVERY_TIMEOUT_MS / 1000):
                await self._discovery_attempted.wait()
        await replica_module.follow(
            self._replicas[name],
            replica_module.Sources(
                self._peer_transport.read_initial,
                self._store.reader(topic, wait_ms, self._clock),
                self._peer_transport.read_from_upstream,
                self._peer_transport.read_from_peers,
            ),
            interval_ms,
            self._targets.record_store_regained,
            self._targets.record_store_restored,
            self._clock,
        )

    async def _keep_quarantines(self) -> None:
        """Keep quarantines in the store, once other routers may be known."""
        await self._discovery_attempted.wait()
        await quarantine_store.QuarantineStore(
            self._store, self._quarantine, self._crash_evidence, self._clock
        ).run(self._reads_store)

    def _reads_store(self) -> bool:
        """Return whether this router reads the store for the fleet.

        One that hears of no other router does, once the others would have
        reported.
        """
        uptime_ms = self._clock.now_ms() - self._up_since_ms
        is_alone = not self._peers.live() and uptime_ms > ALONE_AFTER_MS
        return is_alone or self._peers.upstream() is None

    def _saves_versions(self) -> bool:
        """Return whether this router saves the version history.

        Not before it had time to receive the whole list of targets.
        """
        uptime_ms = self._clock.now_ms() - self._up_since_ms
        return uptime_ms > ALONE_AFTER_MS and self._reads_store()

    async def _run_every(
        self, interval_ms: int, job: abc.Callable[[], abc.Awaitable[None]]
    ) -> None:
        """Run a job periodically; an error is logged and doesn't end it."""
        while True:
            try:
                await job()
            except Exception:
                LOG.exception("background task failed")
            await self._clock.sleep_ms(interval_ms)

    def _report(self) -> reports.Report:
        """Return a report of this router without any load or news."""
        self._sequence += 1
        return reports.Report(
            address=self._address,
            data_centre=self.settings.data_centre,
            started_ms=self._started_ms,
            sequence=self._sequence,
            routers=1,
            is_fleet_total=False,
            store_up_ms=self._replicas["targets"].store_up_ms(),
            targets={},
            members=self._peers.members(),
            prefix_locations={},
            link_mbps=self.settings.link_mbps,
            partial=True,
            grants_permits=True,
            grants_slots=True,
        )

    async def _send_report(self) -> None:
        """Send this router's load report to the other routers."""
        self._peer_transport.send_reports(
            dataclasses.replace(
                self._report(),
                targets=self._targets.reports(),
                partial=False,
                prefix_locations=self._prefix_locations.take_updates(),
                leaving=self._targets.leaving_to_report(),
                crashes=self._quarantine.crashes_to_report(),
                cleared=self._crash_evidence.recently_cleared(),
                limits=self._targets.take_limits_to_report(),
                streams=self._stream_versions.to_report(),
                blocked=self._quarantine.blocks_to_report(),
            )
        )

    async def _tell_streams(self) -> None:
        """Tell the other routers at once of streams that have begun here.

        Nobody else knows their versions if this router is lost before its
        next report. A large fleet's collectors pass reports on later anyway.
        """
        await self._stream_versions.recorded.wait()
        streams = self._stream_versions.to_tell()
        if streams and self._peers.full_mesh:
            self._peer_transport.send_reports(
                dataclasses.replace(self._report(), streams=streams)
            )
        await self._clock.sleep_ms(TELL_INTERVAL_MS)

    async def _expire_targets(self) -> None:
        self._targets.expire(self._peers.store_up_ms())
        self._permits.expire()
        self._context.selection.admission.expire()
        for service in self._targets.services():
            self._version_history.update(
                service, self._targets.composition(service)
            )

    def _targets_are_current(self, as_of_ms: int) -> bool:
        """Return whether no router knew targets that this one doesn't.

        While the store is away none learns of any. A router that doesn't hear
        most of the others can't tell whether it is away for them as well.

        :param as_of_ms: when, in ms of the boot clock.
        """
        replica = self._replicas["targets"]
        confirmed_ms = replica.confirmed_ms
        if confirmed_ms is not None and confirmed_ms >= as_of_ms:
            return True
        if not replica.store_unreachable:
            return False
        return self._peers.hears_most() and not self._peers.store_up_ms()

    def is_ready(self) -> bool:
        """Return whether this router should receive requests of callers."""
        age_ms = self._revisions.age_ms()
        limit_ms = self.settings.key_age_limit_ms
        return (
            not self._state.draining
            and age_ms is not None
            and (limit_ms is None or age_ms < limit_ms)
            and bool(self._targets.all())
        )

    async def _serve_ready(self, _: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self.is_ready() else 503)

    async def _serve_metrics(self, request: web.BaseRequest) -> web.Response:
        """Serve metrics, and questions about where a request would go."""
        if request.path == placement_queries.PATH:
            return self._placement_queries.handle(request)
        return web.Response(
            body=self._metrics.scrape(), content_type="text/plain"
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Drain the router, then close its ports and end its tasks.

        Requests still in flight when the time for the drain is up are cut.
        That time is the one in force now: the settings file may have changed,
        and SIGHUP may not have come yet.

        :param exception: why the router stops, unless on a signal.
        """
        self.on_drain()
        self._reload()
        LOG.info(
            "router draining",
            extra={
                "event": "router.draining",
                "requests": self._state.requests,
            },
        )
        unfinished = await drain_module.drain(
            self._state,
            self._caller_server,
            (self._ready_server, self._metrics_server),
            self._close_caller_port,
            self._context.stop_limit,
            self._clock,
            self.settings.drain_notice_ms,
            self.settings.drain_timeout_ms,
        )
        LOG.info(
            "router stopping",
            extra={"event": "router.stopped", "requests": unfinished},
        )
        for task in self._background_tasks:
            task.cancel()
        await self._tunnel_server.stop()
        await self._caller_runner.cleanup()
        await self._ready_runner.cleanup()
        await self._metrics_runner.cleanup()
        await self._peer_transport.stop()
        await self._stack.aclose()

    async def _close_caller_port(self) -> None:
        for site in list(self._caller_runner.sites):
            await site.stop()


def _raw_value(_: str, value: bytes) -> object:
    return value


def _ignore_stop_signals() -> None:
    """Let a drain go on when the router is told to stop once more."""

    def log(number: int, _: types.FrameType | None) -> None:
        LOG.info(
            "router already draining",
            extra={
                "event": "router.draining_already",
                "signal": signal.Signals(number).name,
            },
        )

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, log)


def run(
    settings: settings_module.Settings,
    load_settings: abc.Callable[[], settings_module.Settings],
    sockets: abc.Mapping[str, socket.socket],
) -> None:
    """Run a router until it is stopped.

    :param settings: the router's settings.
    :param load_settings: reads the settings again.
    :param sockets: the bound sockets, by the names of their port settings.
    """
    logs.configure(settings.router)
    with aiomisc.entrypoint(
        Gateway(
            settings=settings,
            load_settings=load_settings,
            sockets=sockets,
            on_drain=_ignore_stop_signals,
        ),
        log_config=False,
        pool_size=2,
        shutdown_timeout=MAX_STOP_S,
    ) as loop:
        loop.run_forever()
