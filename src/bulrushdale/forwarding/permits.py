"""Permits for requests to targets that limit their requests.

The router that places a request asks the target's grantor for a permit, in a
datagram. In a large fleet it asks its collector, which asks the grantor. A
permit that doesn't arrive counts as refused: the request goes to another
target, or back to its caller.
"""

import asyncio
from collections import abc
import dataclasses
import itertools
import logging
import random
import typing

import orjson

from bulrushdale import clock as clock_module
from bulrushdale.routing import peers as peers_module
from bulrushdale.routing import rate_limits
from bulrushdale.routing import slot_grants
from bulrushdale.routing import targets as targets_module

LOG = logging.getLogger(__name__)

# Time for the answer of the grantor. It is a round trip away, 24 ms between
# regions.
GRANTOR_TIMEOUT_MS = 30
# Time for an answer that another router has to get first, in two tries.
FORWARDED_TIMEOUT_MS = 70
# Datagrams are lost occasionally.
TRIES = 2
# When a router is asked again that gave no answer, or that doesn't know the
# grantor either.
RETRY_MS = 250
# Small numbers keep messages short.
MAX_FIRST_MESSAGE_ID = 1 << 16
# A permit that took longer isn't used, as this router may have been paused.
PERMIT_TTL_MS = 500
# First byte of all messages here; load reports start with another one.
MESSAGE_START = b"["
_ASK = "ask"
_ANSWER = "answer"
_REJECTED = "rejected"
_ENDED = "ended"


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """A request for a permit.

    :param limit: the limit of the target, as far as the sender knows.
    :param rank: rank of the request.
    :param may_forward: whether the receiver may ask another router.
    """

    limit: rate_limits.LimitReport
    rank: int
    may_forward: bool


def _encode(*fields: typing.Any) -> bytes:
    return orjson.dumps(fields)


class Permits:
    """Gets permits for this router's requests, and grants those of others.

    :param targets: all targets.
    :param peers: the other routers.
    :param limiter: hands out permits where this router is the grantor.
    :param send: sends a message to a router's address.
    :param clock: the clock.
    """

    __slots__ = (
        "_targets",
        "_peers",
        "_limiter",
        "_slots",
        "_send",
        "_clock",
        "_ids",
        "_pending",
        "_forwards",
    )

    def __init__(
        self,
        targets: targets_module.Targets,
        peers: peers_module.Peers,
        limiter: rate_limits.RateLimiter,
        send: abc.Callable[[str, bytes], None],
        clock: clock_module.Clock,
    ) -> None:
        self._targets = targets
        self._peers = peers
        self._limiter = limiter
        self._slots = slot_grants.SlotGrants(limiter, clock)
        self._send = send
        self._clock = clock
        # An answer to this router's earlier process may still be on its way.
        self._ids = itertools.count(random.randrange(MAX_FIRST_MESSAGE_ID))
        self._pending: dict[int, asyncio.Future[int]] = {}
        self._forwards: set[asyncio.Task[None]] = set()

    async def acquire(self, target: targets_module.Target, rank: int) -> int:
        """Get a permit to send a request to a target now.

        A refusal is recorded with the target for requests of the same or of
        less urgent ranks.

        :param target: the target; one that neither is cold nor has named a
            limit needs no permit.
        :param rank: rank of the request.
        :return: 0 for a permit; otherwise the time until the next one, in ms.
        """
        for report in (target.cold_report(), target.limit_report()):
            if report is None or report.limit_per_s is None:
                continue
            wait_ms = await self._acquire(PermitRequest(report, rank, True))
            if wait_ms:
                target.refuse_permits(rank, wait_ms)
                return wait_ms
        return 0

    def asks_for_slots(self, target: targets_module.Target) -> bool:
        """Return whether each request to a target needs a permit.

        It is brittle, and its grantor knows its slots; a router of an
        earlier version only knows how many requests are at risk.
        """
        return target.brittle and self._peers.grants_slots()

    async def acquire_risk(self, target: targets_module.Target) -> int:
        """Get a permit to send a request to a brittle target.

        :param target: the target.
        :return: 0 for a permit; otherwise the time until the next one, in ms.
        """
        report = target.rejections_report()
        if report is None:
            return 0
        # Any one of these requests may be the one too many.
        wait_ms = await self._acquire(PermitRequest(report, 0, True))
        if wait_ms:
            target.refuse_risk(wait_ms)
        return wait_ms

    def report_rejection(self, target: targets_module.Target) -> None:
        """Tell the grantor of a brittle target that it rejected a request.

        :param target: the target.
        """
        report = target.rejections_report()
        if report is not None:
            self._tell(_REJECTED, report, may_forward=True)

    def report_end(self, target: targets_module.Target) -> None:
        """Tell the grantor of a brittle target that a request ended.

        :param target: the target.
        """
        report = target.rejections_report()
        if report is not None:
            self._tell(_ENDED, report, may_forward=True)

    def _tell(
        self, kind: str, report: rate_limits.LimitReport, may_forward: bool
    ) -> None:
        """Tell the grantor what became of a request; it may be this router.

        :param kind: whether it was rejected or ended.
        :param report: the target's limit on rejections.
        :param may_forward: whether another router may be told.
        """
        grantor = self._peers.grantor(report.target_id)
        if grantor.address is not None:
            if may_forward and self._peers.grants_slots():
                message = _encode(
                    kind,
                    0,
                    report.target_id,
                    report.started_ms,
                    report.limit_per_s,
                    report.age_ms,
                    grantor.forwards,
                )
                self._send(grantor.address, message)
            return
        limit = self._targets.merge_limit(report)
        occupancy = self._occupancy(limit, grantor.share)
        if occupancy is not None:
            key = (limit.target_id, limit.started_ms)
            if kind == _REJECTED:
                self._slots.record_rejection(key, occupancy)
            else:
                self._slots.record_end(key)

    def _occupancy(
        self, limit: rate_limits.LimitReport, share: float
    ) -> slot_grants.Occupancy | None:
        """Return what is known of a brittle target's slots.

        :param limit: its limit on rejections.
        :param share: the share of its slots that this router hands out.
        :return: none if it isn't listed here, or not brittle any more.
        """
        target_id = rate_limits.rejections_target(limit.target_id) or ""
        target = self._targets.get(target_id)
        if (
            limit.limit_per_s is None
            or target is None
            or target.listing.started_ms != limit.started_ms
        ):
            return None
        return slot_grants.Occupancy(
            target.in_flight + self._peers.in_flight(target_id),
            self._peers.peer_load_age_ms(),
            target.listing.slots * share,
            limit.limit_per_s * share,
        )

    def expire(self) -> None:
        """Forget the targets that were not asked for in a while."""
        self._limiter.expire()
        self._slots.expire()

    async def _acquire(self, request: PermitRequest) -> int:
        """Get a permit from this router or another one."""
        grantor = self._peers.grantor(request.limit.target_id)
        if grantor.address is None:
            return self._grant(request, grantor.share)
        if not request.may_forward:
            return RETRY_MS
        return await self._ask(grantor, request)

    def _grant(self, request: PermitRequest, share: float) -> int:
        """Take a permit from this router's own bucket.

        :param request: the request; this router may know a newer limit.
        :param share: the share of the limit that this router hands out.
        """
        limit = self._targets.merge_limit(request.limit)
        if limit.limit_per_s is None:
            return 0
        key = (limit.target_id, limit.started_ms)
        if self._peers.grants_slots():
            occupancy = self._occupancy(limit, share)
            if occupancy is not None:
                return self._slots.grant(key, occupancy)
        rate_per_s = limit.limit_per_s * share
        if rate_limits.rejections_target(limit.target_id) is not None:
            rate_per_s *= rate_limits.RISKED_SHARE
        return self._limiter.take(key, rate_per_s, request.rank)

    async def _ask(
        self, grantor: peers_module.Grantor, request: PermitRequest
    ) -> int:
        """Ask another router for a permit."""
        address = grantor.address
        assert address is not None
        timeout_ms = (
            FORWARDED_TIMEOUT_MS if grantor.forwards else GRANTOR_TIMEOUT_MS
        )
        message_id = next(self._ids)
        limit = request.limit
        message = _encode(
            _ASK,
            message_id,
            limit.target_id,
            limit.started_ms,
            limit.limit_per_s,
            limit.age_ms,
            request.rank,
            grantor.forwards,
        )
        asked_ms = self._clock.boot_ms()
        future = asyncio.get_running_loop().create_future()
        self._pending[message_id] = future
        try:
            for _ in range(TRIES):
                self._send(address, message)
                done, _ = await asyncio.wait(
                    {future}, timeout=timeout_ms / 1000
                )
                if done:
                    break
        finally:
            del self._pending[message_id]
        late = self._clock.boot_ms() - asked_ms > PERMIT_TTL_MS
        if future.done() and not late:
            return future.result()
        LOG.warning(
            "no answer to a request for a permit",
            extra={
                "event": "link.no_permit",
                "peer": address,
                "target": limit.target_id,
            },
        )
        return RETRY_MS

    def receive(self, data: bytes, sender: str) -> None:
        """Handle a message of another router.

        :param data: the message.
        :param sender: the other router's address.
        :raises ValueError: if it isn't a valid message.
        """
        kind, message_id, *fields = orjson.loads(data)
        if kind == _ANSWER:
            (wait_ms,) = fields
            future = self._pending.get(int(message_id))
            if future is not None and not future.done():
                future.set_result(max(0, int(wait_ms)))
            return
        if kind in (_REJECTED, _ENDED):
            target_id, started_ms, limit_per_s, age_ms, may_forward = fields
            self._tell(
                kind,
                rate_limits.LimitReport(
                    str(target_id),
                    int(started_ms),
                    float(limit_per_s),
                    max(0, int(age_ms)),
                ),
                bool(may_forward),
            )
            return
        target_id, started_ms, limit_per_s, age_ms, rank, may_forward = fields
        request = PermitRequest(
            rate_limits.LimitReport(
                str(target_id),
                int(started_ms),
                float(limit_per_s),
                max(0, int(age_ms)),
            ),
            int(rank),
            bool(may_forward),
        )
        task = asyncio.ensure_future(self._answer(sender, message_id, request))
        self._forwards.add(task)
        task.add_done_callback(self._forwards.discard)

    async def _answer(
        self, sender: str, message_id: int, request: PermitRequest
    ) -> None:
        """Answer a request of another router."""
        wait_ms = await self._acquire(request)
        self._send(sender, _encode(_ANSWER, message_id, wait_ms))
