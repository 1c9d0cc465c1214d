"""The router daemon: its composition root and its background tasks."""

import asyncio
import contextlib
import functools
import logging
import random
import socket
import ssl
import typing

import aiohttp
from aiohttp import web
import aiomisc

from bulrushdale.admission import schedulers as schedulers_module
from bulrushdale.admission import scope as scope_module
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
from bulrushdale import follower
from bulrushdale.forwarding import caller_watch
from bulrushdale.forwarding import connections
from bulrushdale.forwarding import descriptors
from bulrushdale.forwarding import endings as endings_module
from bulrushdale.forwarding import memory_account
from bulrushdale.forwarding import process_memory
from bulrushdale.forwarding import servers
from bulrushdale.forwarding import sessions
from bulrushdale import peering as peering_module
from bulrushdale.platform import log as log_module
from bulrushdale.platform import store as store_module
from bulrushdale.platform import vms
from bulrushdale.routing import routes
from bulrushdale import settings as settings_module
from bulrushdale import telemetry as telemetry_module
from bulrushdale.web import callers
from bulrushdale.web import context as context_module
from bulrushdale.web import operators

LOG = logging.getLogger(__name__)

Job = typing.Callable[[], typing.Awaitable[None]]

SESSIONS_INTERVAL_MS = 100
# Interval of the schedulers while requests are queued for slots.
SCHEDULERS_INTERVAL_MS = 20
# A coordinator that needs more load reports probes at every step.
PROBE_STEP_MS = 250
CLAIMS_INTERVAL_MS = 2_000
IDLE_SERVERS_INTERVAL_MS = 30_000
# Engines repeat the request's id in this header of their responses.
TARGET_ID_HEADER = "X-Request-Id"
# Connections to targets and the store are kept for this long when idle.
KEEP_ALIVE_MS = 20_000
DRAIN_POLL_MS = 50
# What a process without requests takes: 70 MB, and 20 MB for links, open
# connections and the entries of a large catalogue.
IDLE_BYTES = 90 << 20
# Connections that are idle for longer are closed before others if there are
# too many.
IDLE_CONNECTION_MS = 15_000


def open_session(
    keep_alive: bool,
    end: sessions.End = connections.reset,
    id_header: str = "",
) -> aiohttp.ClientSession:
    """Return an HTTP session to targets or the store.

    :param keep_alive: whether connections are used for several requests.
    :param end: ends a connection whose response isn't awaited any more.
    :param id_header: as for :class:`.sessions.Connector`.
    """
    if keep_alive:
        connector = sessions.Connector(
            end, id_header, keepalive_timeout=KEEP_ALIVE_MS / 1000
        )
    else:
        connector = sessions.Connector(end, id_header, force_close=True)
    return sessions.disable_resend(
        aiohttp.ClientSession(
            connector=connector, response_class=sessions.Response
        )
    )


def build_context(
    settings: settings_module.Settings,
    clock: clock_module.Clock,
    internal_session: aiohttp.ClientSession,
    session: aiohttp.ClientSession,
    at_most_once_session: aiohttp.ClientSession,
) -> tuple[context_module.Context, peering_module.FrameHandler]:
    """Build the objects of a router and connect them.

    :param settings: the router's settings.
    :param clock: the clock.
    :param internal_session: the HTTP session for requests without ids: to the
        store, and for the load of targets.
    :param session: the HTTP session for requests that may be sent again.
    :param at_most_once_session: the HTTP session for requests that must not be
        sent again.
    :return: the context of the HTTP handlers, and the handlers of the links.
    """
    own = members_module.Member(settings.router, settings.data_centre)
    listen = settings.listen
    own.link_address = f"{listen.host}:{listen.link_port}"
    scheme = "https" if settings.tls else "http"
    own.operator_address = f"{scheme}://{listen.host}:{listen.operator_port}"
    own.started_ms = clock.wall_ms()
    members = members_module.Members(own, clock, settings.links.forget_ms)
    platform = settings.platform
    store = store_module.Store(
        internal_session, platform.store_url, platform.request_timeout_ms
    )
    log = log_module.Log(store, clock)
    vm_list = vms.VmListClient(
        session, platform.vm_list_url, platform.request_timeout_ms
    )
    catalogue = state.Catalogue()
    view = view_module.View(catalogue)
    targets = targets_module.Targets(view, settings.data_centre, clock)
    telemetry = telemetry_module.Telemetry(settings)
    frame_handler = peering_module.FrameHandler(clock)
    links = links_module.Links(
        members,
        frame_handler,
        clock,
        settings.fleet_secret,
        settings.links.heartbeat_interval_ms,
        settings.links.switch_ms,
    )
    scope = scope_module.Scope(
        own.name,
        view,
        targets,
        members,
        links,
        clock,
        settings.links.lease_ms,
    )
    slot_client = slot_client_module.SlotClient(scope, telemetry.traceparent)
    schedulers = schedulers_module.Schedulers(
        scope, slot_client.receive_own_reply, random.Random()
    )
    slot_client.bind(schedulers)
    claim_client = claim_client_module.ClaimClient(
        own.name,
        members,
        links,
        log,
        clock,
        lambda: view.promise().key_life_ms,
        lambda: view.promise().claim_interval_ms,
    )
    context = context_module.Context(
        settings=settings,
        clock=clock,
        telemetry=telemetry,
        session=session,
        at_most_once_session=at_most_once_session,
        catalogue=catalogue,
        view=view,
        publisher=publisher_module.Publisher(catalogue, log, clock),
        tail=tail_module.Tail(
            catalogue,
            log,
            clock,
            platform.retention_ms,
            frame_handler.send_log_changes,
        ),
        log=log,
        vm_list=vm_list,
        members=members,
        links=links,
        targets=targets,
        slot_client=slot_client,
        schedulers=schedulers,
        claim_client=claim_client,
        signer=ids.Signer(settings.answer_secrets),
        timelines=explain.Timelines(settings.limits.explain_entries, clock),
        serving=context_module.ServingState(),
        send_edit=frame_handler.send_edit,
    )
    frame_handler.bind(context)
    return context, frame_handler


class RouterService(aiomisc.Service):
    """Runs one router until it is stopped, then drains it.

    :param settings: the router's settings.

    .. versionadded:: 0.1
    """

    settings: settings_module.Settings

    async def start(self) -> None:
        """Open the ports and start the background tasks."""
        self._clock = clock_module.Clock()
        self._probed_ms = 0
        self._stack = contextlib.AsyncExitStack()
        endings = endings_module.Endings(self._clock)
        self._stack.callback(endings.close)
        self._internal_session = await self._stack.enter_async_context(
            open_session(keep_alive=True, end=endings.end)
        )
        session = await self._stack.enter_async_context(
            open_session(
                keep_alive=True, end=endings.end, id_header=TARGET_ID_HEADER
            )
        )
        at_most_once_session = await self._stack.enter_async_context(
            open_session(keep_alive=False, end=endings.end)
        )
        self._context, frame_handler = build_context(
            self.settings,
            self._clock,
            self._internal_session,
            session,
            at_most_once_session,
        )
        self._follower = follower.Follower(
            self._context, frame_handler, self._clock
        )
        self._build_servers()
        self._add_gauges()
        listen = self.settings.listen
        await self._context.links.start(listen.host, listen.link_port)
        self._background_tasks = [
            asyncio.create_task(self._run_every(interval_ms, job))
            for interval_ms, job in self._background_jobs()
        ]
        self._operator_runner = await self._serve(
            self._operator_server, listen.operator_port
        )
        self._caller_runner = await self._serve(
            self._caller_server, listen.caller_port
        )
        self._background_tasks.append(
            asyncio.create_task(
                self._run_every(
                    caller_watch.INTERVAL_MS, self._caller_watch.check
                )
            )
        )
        LOG.info("router started")

    def _background_jobs(self) -> list[tuple[int, Job]]:
        """Return the background jobs with their intervals, in ms."""
        poll_ms = self.settings.platform.poll_interval_ms
        return [
            (poll_ms, self._follower.follow_log),
            (poll_ms, self._follower.follow_vm_list),
            (SESSIONS_INTERVAL_MS, self._maintain_sessions),
            (PROBE_STEP_MS, self._probe),
            (CLAIMS_INTERVAL_MS, self._refresh_claim_servers),
            (
                IDLE_SERVERS_INTERVAL_MS,
                self._context.claim_client.stop_idle_servers,
            ),
        ]

    async def _run_every(self, interval_ms: int, job: Job) -> None:
        """Run a job forever; a failure is logged and doesn't end it."""
        while True:
            try:
                await job()
            except Exception:
                LOG.exception("background task failed")
            await self._clock.sleep_ms(interval_ms)

    def _build_servers(self) -> None:
        """Build the HTTP servers, which share one account of memory."""
        limits = self.settings.limits
        memory_mb = limits.memory_mb or process_memory.machine_mb()
        shares = descriptors.share(limits.max_fds or descriptors.soft_limit())
        account = memory_account.MemoryAccount(
            memory_account.bound_bytes(memory_mb, IDLE_BYTES),
            self._clock,
            process_memory.give_back_large_blocks,
            memory_account.limit_bytes(memory_mb, IDLE_BYTES),
        )
        self._caller_server = servers.make_app_server(
            "caller_port",
            callers.build(self._context),
            account,
            shares.caller_connections,
            handler_cancellation=True,
        )
        self._operator_server = servers.make_app_server(
            "operator_port",
            operators.build(self._context),
            account,
            shares.service_connections,
            handler_cancellation=False,
        )
        caller_limits = routes.CallerLimits(
            header_bytes=servers.MAX_HEAD_BYTES,
            body_bytes=limits.body_bytes,
            idle_ms=IDLE_CONNECTION_MS,
            head_ms=limits.head_timeout_ms,
        )
        self._caller_watch = caller_watch.CallerWatch(
            (self._caller_server, self._operator_server),
            memory_mb,
            lambda: caller_limits,
            self._clock,
        )

    async def _serve(
        self, server: servers.Server, port: int
    ) -> web.ServerRunner:
        """Start an HTTP server on a port."""
        sock = socket.create_server((self.settings.listen.host, port))
        connections.set_caller_buffers(sock)
        runner = web.ServerRunner(server, shutdown_timeout=1.0)
        await runner.setup()
        site = web.SockSite(
            runner, sock, ssl_context=_tls_context(self.settings.tls)
        )
        await site.start()
        return runner

    def _add_gauges(self) -> None:
        context = self._context
        gauge = context.telemetry.gauge
        gauge(
            "control_bytes",
            "Bytes of all frames on links, both ways.",
            context.links.total_bytes,
        )
        gauge(
            "requests_in_flight",
            "Requests being served.",
            lambda: context.serving.in_flight,
        )
        gauge(
            "catalogue_offset",
            "The next catalogue record to fold.",
            lambda: context.catalogue.offset,
        )
        gauge("links", "Standing links.", lambda: len(context.links.all()))
        account = self._caller_server.account
        gauge(
            "held_bytes",
            "Bytes held for callers and operators.",
            lambda: account.held_bytes,
        )
        gauge(
            "held_bytes_bound",
            "How many bytes may be held for them; 0 for no bound.",
            lambda: account.bound_bytes,
        )
        for server in (self._caller_server, self._operator_server):
            gauge(
                f"{server.name}_connections",
                "Open connections of a port.",
                functools.partial(len, server.open_connections),
            )

    async def _maintain_sessions(self) -> None:
        """Maintain the sessions, and run the schedulers.

        While requests are queued, the schedulers run every
        ``SCHEDULERS_INTERVAL_MS`` until the next call.
        """
        if self._context.catalogue.loaded:
            self._context.slot_client.maintain()
        deadline_ms = self._clock.now_ms() + SESSIONS_INTERVAL_MS
        self._context.schedulers.tick()
        while (
            self._context.schedulers.queued()
            and self._clock.now_ms() + SCHEDULERS_INTERVAL_MS < deadline_ms
        ):
            await self._clock.sleep_ms(SCHEDULERS_INTERVAL_MS)
            self._context.schedulers.tick()

    async def _refresh_claim_servers(self) -> None:
        if self._context.catalogue.loaded:
            await self._context.claim_client.refresh_servers()

    async def _probe(self) -> None:
        """Probe this coordinator's targets if that is due or needed."""
        context = self._context
        now_ms = self._clock.now_ms()
        probe_due = (
            now_ms - self._probed_ms >= targets_module.PROBE_INTERVAL_MS
        )
        if not probe_due and not context.schedulers.needs_probes():
            return
        self._probed_ms = now_ms
        probed = context.schedulers.targets_to_probe()
        await asyncio.gather(
            *(
                targets_module.probe(
                    self._internal_session, context.targets, target
                )
                for target in probed
            )
        )
        for target in probed:
            context.schedulers.record_report(target)

    async def stop(self, exception: Exception | None = None) -> None:
        """Drain the router: finish every request, then close.

        :param exception: why the daemon stops, if not on a signal.
        """
        limits = self.settings.limits
        context = self._context
        context.serving.draining = True
        context.members.own.draining = True
        context.links.send_heartbeats()
        LOG.info("draining")
        await self._clock.sleep_ms(limits.drain_notice_ms)
        deadline_ms = self._clock.now_ms() + limits.drain_timeout_ms
        await self._close_caller_port()
        while self._has_work() and self._clock.now_ms() < deadline_ms:
            await self._clock.sleep_ms(DRAIN_POLL_MS)
        left_ms = max(0, deadline_ms - self._clock.now_ms())
        try:
            async with asyncio.timeout(left_ms / 1000):
                await context.claim_client.flush()
        except TimeoutError:
            LOG.warning(
                "stopping before all outcomes of requests were recorded"
            )
        LOG.info("drained", extra={"requests_left": context.serving.in_flight})
        for server in (self._caller_server, self._operator_server):
            server.cut_unfinished()
        await self._close()

    async def _close_caller_port(self) -> None:
        for site in list(self._caller_runner.sites):
            await site.stop()

    def _has_work(self) -> bool:
        """Return whether responses are due or other routers attached.

        A response is due until the kernel has all of it.
        """
        context = self._context
        attached = [
            router
            for key in context.schedulers.active_shards()
            for router in context.schedulers.attached_routers(key)
            if router != context.members.own.name
        ]
        return bool(
            context.serving.in_flight
            or attached
            or self._caller_server.unfinished()
            or self._operator_server.unfinished()
        )

    async def _close(self) -> None:
        """Stop the background tasks, and close all ports and links."""
        for task in self._background_tasks:
            task.cancel()
        await self._context.claim_client.stop()
        await self._caller_runner.cleanup()
        await self._operator_runner.cleanup()
        await self._context.links.stop()
        await self._stack.aclose()
        self._context.telemetry.shutdown()


def _tls_context(tls: settings_module.Tls | None) -> ssl.SSLContext | None:
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    return context


def run(settings: settings_module.Settings) -> None:
    """Run a router until SIGTERM or SIGINT.

    :param settings: the router's settings.
    """
    telemetry_module.configure_logging(
        settings.router, settings.telemetry.log_level
    )
    limits = settings.limits
    timeout_ms = limits.drain_notice_ms + limits.drain_timeout_ms + 10_000
    service = RouterService(settings=settings)
    with aiomisc.entrypoint(
        service,
        log_config=False,
        pool_size=2,
        shutdown_timeout=timeout_ms / 1000,
    ) as loop:
        loop.run_forever()
