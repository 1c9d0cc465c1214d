"""The targets of this data centre and whether they accept new work."""

from collections import abc
import logging

import aiohttp
import orjson

from bulrushdale.catalogue import entries
from bulrushdale.catalogue import view as view_module
from bulrushdale import clock as clock_module
from bulrushdale.forwarding import sessions
from bulrushdale import hashing
from bulrushdale.platform import vms

LOG = logging.getLogger(__name__)

PROBE_INTERVAL_MS = 1_000
PROBE_TIMEOUT_MS = 1_000
MAX_LOAD_REPORT_BYTES = 65_536
SLOW_START_MS = 5_000
# If a larger share of a pool's targets is missing from the VM list, the
# list is assumed to be wrong and no target counts as missing.
MAX_MISSING_SHARE = 0.5


class Target:
    """A target as the coordinator of its shard sees it.

    :ivar marked_leaving: whether the catalogue marks it as leaving.
    :ivar failed: whether a request or probe failed and no probe has
        succeeded since.
    :ivar reports_leaving: whether the target itself reports that it is
        leaving.
    :ivar reported_running: the number of running requests in its last
        report.
    :ivar recovered_ms: when it recovered from a failure, in ms; None once
        its slow start has ended.
    """

    __slots__ = (
        "name",
        "pool",
        "url",
        "slots",
        "marked_leaving",
        "failed",
        "reports_leaving",
        "reported_running",
        "probed_ms",
        "recovered_ms",
    )

    def __init__(self, name: str, spec: entries.Target) -> None:
        self.name = name
        self.failed = False
        self.reports_leaving = False
        self.reported_running = 0
        self.probed_ms: int | None = None
        self.recovered_ms: int | None = None
        self.update(spec)

    def update(self, spec: entries.Target) -> None:
        """Apply the target's entry in the catalogue."""
        self.pool = spec.pool
        self.url = spec.url
        self.slots = spec.slots
        self.marked_leaving = spec.leaving


class Targets:
    """The targets of one data centre.

    :param view: the catalogue.
    :param data_centre: the data centre of this router.
    :param clock: the clock.

    .. versionadded:: 0.1
    """

    __slots__ = (
        "_view",
        "_data_centre",
        "_clock",
        "_targets",
        "_by_pool",
        "_generation",
        "_listed",
        "_leaving",
    )

    def __init__(
        self,
        view: view_module.View,
        data_centre: str,
        clock: clock_module.Clock,
    ) -> None:
        self._view = view
        self._data_centre = data_centre
        self._clock = clock
        self._targets: dict[str, Target] = {}
        self._by_pool: dict[str, list[Target]] = {}
        self._generation = -1
        self._listed: set[str] | None = None
        self._leaving: set[str] = set()

    def apply_vm_list(self, listed: abc.Iterable[vms.Vm]) -> None:
        """Apply the platform's VM list; routers are ignored."""
        found = [vm for vm in listed if not vm.router]
        self._listed = {vm.name for vm in found}
        self._leaving = {vm.name for vm in found if vm.leaving}

    def _refresh(self) -> None:
        """Read the targets from the catalogue again after it has changed."""
        if self._generation == self._view.generation:
            return
        self._generation = self._view.generation
        found: dict[str, Target] = {}
        by_pool: dict[str, list[Target]] = {}
        for pool in self._view.pool_names():
            for name, spec in self._view.targets(pool).items():
                if spec.data_centre != self._data_centre:
                    continue
                target = self._targets.get(name) or Target(name, spec)
                target.update(spec)
                found[name] = target
                by_pool.setdefault(pool, []).append(target)
        self._targets = found
        self._by_pool = by_pool

    def get(self, name: str) -> Target | None:
        """Return a target of this data centre, if it exists."""
        self._refresh()
        return self._targets.get(name)

    def of_pool(self, pool: str) -> list[Target]:
        """Return all targets of a pool here, in service or not."""
        self._refresh()
        return self._by_pool.get(pool, [])

    def usable_in_shard(self, pool: str, shard: int) -> list[Target]:
        """Return a shard's targets that accept new work."""
        shards = self.shard_count(pool)
        return [
            target
            for target in self.in_service(pool)
            if not target.failed
            and not target.reports_leaving
            and shard_of(target.name, shards) == shard
        ]

    def in_service(self, pool: str) -> list[Target]:
        """Return a pool's targets that are neither leaving nor missing.

        This depends only on the catalogue and the VM list, so that routers
        agree as soon as they have read the same versions.
        """
        found = self.of_pool(pool)
        missing = self._missing(found)
        return [
            target
            for target in found
            if not target.marked_leaving
            and target.name not in self._leaving
            and target.name not in missing
        ]

    def _missing(self, found: list[Target]) -> set[str]:
        """Return the names of targets that are missing from the VM list."""
        if self._listed is None:
            return set()
        missing = {t.name for t in found if t.name not in self._listed}
        if len(missing) > MAX_MISSING_SHARE * len(found):
            return set()
        return missing

    def shard_count(self, pool: str) -> int:
        """Return the number of shards of a pool."""
        spec = self._view.pool(pool)
        return spec.shards if spec is not None else 1

    def slow_start_factor(self, target: Target) -> float:
        """Return the share of its bound that a target may use.

        During the slow start after a failure it grows linearly to 1, but
        is at least 0.1.
        """
        if target.recovered_ms is None:
            return 1.0
        elapsed_ms = self._clock.now_ms() - target.recovered_ms
        if elapsed_ms >= SLOW_START_MS:
            target.recovered_ms = None
            return 1.0
        return max(0.1, elapsed_ms / SLOW_START_MS)

    def record_failure(self, name: str) -> None:
        """Give a target no new work until a probe succeeds."""
        target = self.get(name)
        if target is not None and not target.failed:
            LOG.warning(
                "target %s failed; it gets no new work until a probe succeeds",
                name,
            )
            target.failed = True

    def record_probe(
        self, target: Target, running: int, leaving: bool
    ) -> None:
        """Record the response to a probe.

        A target that had failed gets new work again, with a slow start.

        :param target: the target that was probed.
        :param running: the number of requests that it reports as running.
        :param leaving: whether it reports that it is leaving.
        """
        if target.failed:
            target.failed = False
            target.recovered_ms = self._clock.now_ms()
        target.reported_running = running
        target.reports_leaving = leaving
        target.probed_ms = self._clock.now_ms()


def shard_of(name: str, shards: int) -> int:
    """Return the shard that a target belongs to."""
    if shards == 1:
        return 0
    return hashing.hash64(name.encode()) % shards


async def probe(
    session: aiohttp.ClientSession, targets: Targets, target: Target
) -> int:
    """Probe the load of a target and record the result.

    :return: the approximate number of bytes of request and response.
    """
    timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_MS / 1000)
    try:
        async with session.get(
            f"{target.url}/load", timeout=timeout
        ) as response:
            body = await sessions.read_bounded(response, MAX_LOAD_REPORT_BYTES)
            report = orjson.loads(body)
            targets.record_probe(
                target, int(report["running"]), bool(report["leaving"])
            )
            return len(body) + 300
    except (TimeoutError, aiohttp.ClientError, OSError, ValueError, KeyError):
        targets.record_failure(target.name)
        return 150
