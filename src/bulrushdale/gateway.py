"""The router on the platform: the composition root and its background work."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import logging
import signal
import socket

from aiohttp import web
import aiomisc

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import callers
from bulrushdale.forwarding import connections
from bulrushdale.forwarding import drain as drain_module
from bulrushdale.forwarding import feed as feed_module
from bulrushdale.forwarding import gauges
from bulrushdale.forwarding import links as links_module
from bulrushdale.forwarding import logs
from bulrushdale.forwarding import metrics as metrics_module
from bulrushdale.forwarding import parts as parts_module
from bulrushdale.forwarding import probes
from bulrushdale.forwarding import servers
from bulrushdale.forwarding import settings as settings_module
from bulrushdale.platform import configuration
from bulrushdale.platform import headers
from bulrushdale.platform import listings
from bulrushdale.platform import registry
from bulrushdale.platform import store as store_module
from bulrushdale.routing import budget as budget_module
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import prefix_locations as locations_module
from bulrushdale.routing import reports
from bulrushdale.routing import revisions as revisions_module
from bulrushdale.routing import selection as selection_module
from bulrushdale.routing import targets as targets_module
from bulrushdale import settings_error

LOG = logging.getLogger(__name__)

# A read of the configuration returns with new records, or after this; with
# the pause it stays well below the age at which other routers take a copy
# for cut off.
CONFIGURATION_WAIT_MS = 500
# Pause after a change, so that a series of changes costs few reads.
CONFIGURATION_PAUSE_MS = 100
# The list of targets changes with every heartbeat; waiting for changes would
# cost a read for each.
TARGETS_INTERVAL_MS = 600
EXPIRE_INTERVAL_MS = 250
# The store tells of the other routers within some 20 ms; they give a copy of
# what this one lacks. Without them it reads the store for itself.
FIND_ROUTERS_MS = 100
# The callers that a start kept waiting come first; they are served within
# some seconds. What is counted meanwhile is kept one by one.
EXPORTER_DELAY_MS = 8_000


class Gateway(aiomisc.Service):
    """Runs one router until it is told to stop, then drains it."""

    settings: settings_module.Settings
    load_settings: abc.Callable[[], settings_module.Settings]
    # The ports that it serves, by the names of their settings.
    sockets: abc.Mapping[str, socket.socket]

    async def start(self) -> None:
        """Serve the ports and start the background work."""
        sockets = self.sockets
        self._clock = clock_module.Clock()
        self._stack = contextlib.AsyncExitStack()
        await self._wire()
        await self._links.start()
        self._work = [asyncio.create_task(job) for job in self._jobs()]
        self._callers_server = servers.make_server(
            callers.Callers(
                self._parts, self._activity, headers.CallError
            ).handle
        )
        self._callers = await servers.serve(
            self._callers_server, sockets["caller_port"]
        )
        self._ready = await servers.serve(
            servers.make_server(self._tell_ready), sockets["ready_port"]
        )
        self._scraped = await servers.serve(
            servers.make_server(self._tell_metrics), sockets["metrics_port"]
        )
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        LOG.info("router started", extra={"event": "router.started"})

    def _reload(self) -> None:
        """Read the settings file again.

        Addresses and ports stay as they are until the next start; limits and
        bounds are taken over.
        """
        try:
            fresh = self.load_settings()
        except settings_error.SettingsError as error:
            LOG.error(
                "settings not taken over",
                extra={"event": "router.settings", "changed": str(error)},
            )
            return
        changed = [
            field.name
            for field in dataclasses.fields(fresh)
            if getattr(fresh, field.name) != getattr(self.settings, field.name)
        ]
        self.settings = fresh
        self._parts.key_age_limit_ms = fresh.key_age_limit_ms
        self._parts.budget.set_limits(
            fresh.retry_ratio, fresh.retry_slack, fresh.retry_window_ms
        )
        for seed in fresh.seeds:
            self._peers.add(seed)
        LOG.info(
            "settings read again",
            extra={"event": "router.settings", "changed": changed},
        )

    async def _wire(self) -> None:
        """Build the parts and connect them."""
        settings = self.settings
        clock = self._clock
        answer_class = connections.answer_class(headers.REQUEST_ID)
        opened = [
            await self._stack.enter_async_context(session)
            for session in (
                connections.open_session(response_class=answer_class),
                connections.open_session(
                    connections.ONCE_IDLE_LIMIT_MS, answer_class
                ),
                connections.open_session(),
            )
        ]
        session, once_session, own_session = opened
        self._metrics = metrics_module.Metrics()
        self._store = store_module.Store(
            own_session, f"http://{settings.store_address}"
        )
        self._activity = callers.Activity()
        self._revisions = revisions_module.Revisions(clock)
        self._targets = targets_module.Targets(clock, settings.target_drain_ms)
        self._address = f"{settings.host}:{settings.link_port}"
        self._peers = peers_module.Peers(
            self._address, settings.data_centre, settings.link_mbps, clock
        )
        for seed in settings.seeds:
            self._peers.add(seed)
        self._feeds = {
            name: feed_module.Feed(
                name, apply, confirm, meaning, self._count_read, clock
            )
            for name, apply, confirm, meaning in (
                (
                    "configuration",
                    configuration.apply_to(self._revisions),
                    self._confirm(self._revisions.confirm),
                    _as_it_is,
                ),
                (
                    "targets",
                    listings.apply_to(self._targets),
                    self._confirm(lambda _: None),
                    listings.meaning,
                ),
            )
        }
        self._prefix_locations = locations_module.PrefixLocations(clock)
        self._links = links_module.Links(
            self._address,
            self._peers,
            self._learn,
            self._feeds,
            own_session,
            clock,
        )
        self._prober = probes.Prober(self._targets, clock)
        self._introduced = asyncio.Event()
        self._sequence = 0
        self._started_ms = clock.wall_ms()
        self._parts = parts_module.Parts(
            clock=clock,
            wire=parts_module.Wire(
                headers.decode_request_id,
                headers.decode_call,
                headers.encode_call,
                headers.decode_answer,
            ),
            session=session,
            once_session=once_session,
            revisions=self._revisions,
            targets=self._targets,
            peers=self._peers,
            selection=selection_module.Selection(
                settings.data_centre,
                self._targets,
                self._peers,
                self._prefix_locations,
                clock,
            ),
            budget=budget_module.RetryBudget(
                clock,
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window_ms,
            ),
            key_age_limit_ms=settings.key_age_limit_ms,
            draining=lambda: self._activity.draining,
            metrics=self._metrics,
            prober=self._prober,
        )
        gauges.add(
            self._metrics,
            self._feeds,
            self._targets,
            self._activity,
            self._peers,
            self._parts.selection,
            self._parts.budget,
        )

    def _learn(self, report: reports.Report) -> None:
        """Take over what another router tells besides its load."""
        self._prefix_locations.merge(report.prefix_locations)
        self._targets.merge_leaving(report.leaving)

    def _count_read(self, feed: str, outcome: str) -> None:
        self._metrics.store_reads.note(1, {"feed": feed, "outcome": outcome})

    def _confirm(self, note: abc.Callable[[int], None]) -> feed_module.Confirm:
        """Return what a feed calls, which also ends the start of callers."""

        def confirm(as_of_ms: int) -> None:
            note(as_of_ms)
            if all(f.confirmed_ms is not None for f in self._feeds.values()):
                self._activity.informed.set()

        return confirm

    def _jobs(self) -> list[abc.Coroutine[None, None, None]]:
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
            registry.follow(
                self._store,
                self._address,
                reports.Member(
                    self.settings.data_centre, self.settings.link_mbps
                ),
                self._peers,
                self._clock,
                self._introduced.set,
            ),
            self._every(peers_module.REPORT_INTERVAL_MS, self._report),
            self._every(EXPIRE_INTERVAL_MS, self._expire),
            self._prober.repeat(),
            self._load_exporter(),
        ]

    async def _load_exporter(self) -> None:
        """Load what serves the metrics, in a thread so that requests go on."""
        await self._clock.sleep_ms(EXPORTER_DELAY_MS)
        await asyncio.to_thread(metrics_module.load)
        self._metrics.connect()

    async def _follow(
        self, name: str, topic: str, wait_ms: int, interval_ms: int
    ) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIND_ROUTERS_MS / 1000):
                await self._introduced.wait()
        await feed_module.follow(
            self._feeds[name],
            feed_module.Sources(
                self._links.read_first,
                self._store.reader(topic, wait_ms, self._clock),
                self._links.read_reader,
                self._links.read_peers,
            ),
            interval_ms,
            self._targets.record_store_regained,
            self._clock,
        )

    async def _every(
        self, interval_ms: int, job: abc.Callable[[], abc.Awaitable[None]]
    ) -> None:
        while True:
            try:
                await job()
            except Exception:
                LOG.exception("background work failed")
            await self._clock.sleep_ms(interval_ms)

    async def _report(self) -> None:
        self._sequence += 1
        self._links.send(
            reports.Report(
                address=self._address,
                data_centre=self.settings.data_centre,
                started_ms=self._started_ms,
                sequence=self._sequence,
                routers=1,
                is_fleet_total=False,
                store_up_ms=self._feeds["targets"].up_ms(),
                targets=self._targets.reports(),
                members=self._peers.members(),
                prefix_locations=self._prefix_locations.take_updates(),
                link_mbps=self.settings.link_mbps,
                leaving=self._targets.leaving_to_report(),
            )
        )

    async def _expire(self) -> None:
        self._targets.expire(self._peers.store_up_ms())

    def is_ready(self) -> bool:
        """Return whether callers should come to this router."""
        age_ms = self._revisions.age_ms()
        limit_ms = self.settings.key_age_limit_ms
        return (
            not self._activity.draining
            and age_ms is not None
            and (limit_ms is None or age_ms < limit_ms)
            and bool(self._targets.all())
        )

    async def _tell_ready(self, _: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self.is_ready() else 503)

    async def _tell_metrics(self, _: web.BaseRequest) -> web.Response:
        return web.Response(
            body=self._metrics.scrape(), content_type="text/plain"
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Drain: finish every request, then close.

        :param exception: why the router stops, if not on a signal.
        """
        LOG.info(
            "router drains",
            extra={
                "event": "router.draining",
                "requests": self._activity.requests,
            },
        )
        cut_off = await drain_module.drain(
            self._activity,
            self._callers_server,
            self._close_callers_port,
            self._clock,
            self.settings.drain_notice_ms,
            self.settings.drain_timeout_ms,
        )
        LOG.info(
            "router stops",
            extra={"event": "router.stopped", "requests": cut_off},
        )
        for task in self._work:
            task.cancel()
        await self._callers.cleanup()
        await self._ready.cleanup()
        await self._scraped.cleanup()
        await self._links.stop()
        await self._stack.aclose()

    async def _close_callers_port(self) -> None:
        for site in list(self._callers.sites):
            await site.stop()


def _as_it_is(_: str, value: bytes) -> object:
    return value


def run(
    settings: settings_module.Settings,
    load_settings: abc.Callable[[], settings_module.Settings],
    sockets: abc.Mapping[str, socket.socket],
) -> None:
    """Run a router until it is told to stop.

    :param settings: its settings.
    :param load_settings: reads them again.
    :param sockets: the ports that it serves, by the names of their settings.
    """
    logs.configure(settings.router)
    with aiomisc.entrypoint(
        Gateway(
            settings=settings, load_settings=load_settings, sockets=sockets
        ),
        log_config=False,
        pool_size=2,
        shutdown_timeout=settings.drain_timeout_ms / 1000 + 1,
    ) as loop:
        loop.run_forever()
