"""Forwarding of one request to targets, with retries and failover."""

import asyncio
import contextlib
import dataclasses

import aiohttp
from aiohttp import web
import multidict

from bulrushdale.forwarding import attempt
from bulrushdale.forwarding import bodies
from bulrushdale.forwarding import connections
from bulrushdale.forwarding import context as context_module
from bulrushdale.forwarding import events
from bulrushdale.forwarding import memory_account
from bulrushdale.forwarding import prompt_guard
from bulrushdale.forwarding import request_log as request_log_module
from bulrushdale.forwarding import response_ends
from bulrushdale.forwarding import stop_limit
from bulrushdale.forwarding import stream_version
from bulrushdale import results
from bulrushdale.routing import access
from bulrushdale.routing import admission
from bulrushdale.routing import eligibility
from bulrushdale.routing import fingerprint
from bulrushdale.routing import messages
from bulrushdale.routing import no_target
from bulrushdale.routing import quarantine
from bulrushdale.routing import refusals
from bulrushdale.routing import routes
from bulrushdale.routing import selection as selection_module
from bulrushdale.routing import speeds
from bulrushdale.routing import stall as stall_module
from bulrushdale.routing import targets as targets_module
from bulrushdale.routing import timeouts
from bulrushdale import statuses

# Time without data after which the target of a request that may not be
# repeated is checked, so that others avoid it if it can't be reached.
AT_MOST_ONCE_CHECK_MS = 600
# Maximum number of targets that a request is sent to, including those that
# reject it without running it. Failed connections don't count.
MAX_ATTEMPTS = 4
# Targets that a request asks for a permit before it is refused. With a permit
# at every second target, fewer than one request in 200 misses all of them.
MAX_PERMIT_REQUESTS = 8
# Responses larger than this are cut off. No user's response comes close.
MAX_RESPONSE_BYTES = 64 << 20
# Prompt parts in a log line, the last ones of a long chat.
MAX_LOGGED_PARTS = 16
# What waits here until its caller reads more of it, for each response.
UNSENT_LIMIT_BYTES = 32 << 10
QUARANTINED_DETAIL = "a part of the prompt crashed targets"
# Outcome of a response without a length whose target is gone.
_ENDED_WITH_TARGET = attempt.OutcomeUnknown(
    "the target ended together with its response", connection_lost=True
)
# Used when the caller sends no deadline, so that only the timeout of the route
# applies.
DEFAULT_DEADLINE_MS = 3_600_000


class ProxiedRequest:
    """Forwards one request to targets until it has a final response.

    :param context: the components of the router.
    :param web_request: the caller's request as received by aiohttp.
    :param inbound: the same request, decoded.
    :param admitted: route and team of the request.
    :param received_ms: when the request arrived, in ms of the clock.
    :param holder: what it holds; none if that isn't counted.
    """

    __slots__ = (
        "_context",
        "_web_request",
        "_inbound",
        "_admitted",
        "_received_ms",
        "_holder",
        "_deadline_ms",
        "_service",
        "_tried",
        "_not_connected",
        "_inconclusive",
        "_relaying",
        "_at_risk",
        "_has_slot",
        "_relayed_to",
        "_attempts",
        "_may_have_run_at",
        "_retry_reserved",
        "_sent_ms",
        "_had_free_slot",
        "_fingerprint",
        "_guard",
        "_response",
        "_version",
        "_event_parser",
        "_held_event_bytes",
        "_request_log",
    )

    def __init__(
        self,
        context: context_module.Context,
        web_request: web.BaseRequest,
        inbound: messages.InboundRequest,
        admitted: access.AdmittedRequest,
        received_ms: int,
        holder: memory_account.Holder | None = None,
    ) -> None:
        self._context = context
        self._web_request = web_request
        self._inbound = inbound
        self._admitted = admitted
        self._received_ms = received_ms
        self._holder = holder or memory_account.uncounted(context.clock)
        self._holder.repeatable = admitted.route.repeatable
        deadline_ms = inbound.deadline_ms
        if deadline_ms is None:
            deadline_ms = DEFAULT_DEADLINE_MS
        self._deadline_ms = received_ms + min(
            deadline_ms, admitted.route.timeout_ms
        )
        self._service = (
            admitted.route.service_for(stream_version.stream_id(inbound)) or ""
        )
        self._tried: set[str] = set()
        # Those of them that this router couldn't connect to.
        self._not_connected: set[str] = set()
        # Targets that it was too busy to connect to; each gets a second try.
        self._inconclusive: set[str] = set()
        # Whether the next attempt goes through another router, and the ids of
        # the targets that such attempts went to.
        self._relaying = False
        # Whether a brittle target may reject the next attempt.
        self._at_risk = False
        self._has_slot = False
        self._relayed_to: set[str] = set()
        self._attempts = 0
        self._may_have_run_at: list[targets_module.Target] = []
        self._retry_reserved = False
        self._sent_ms = received_ms
        self._had_free_slot = False
        team = admitted.team
        self._fingerprint = fingerprint.request_fingerprint(
            inbound, team.name if team is not None else None
        )
        self._guard = prompt_guard.PromptGuard(
            context.quarantine,
            context.crash_detector,
            self._service,
            inbound.shared_part_ids,
            self._fingerprint,
            admitted.route.kind is routes.Kind.STREAM,
        )
        self._response: web.StreamResponse | None = None
        self._version = stream_version.StreamVersion(
            context, inbound, admitted.route, self._service
        )
        self._event_parser = events.EventParser(inbound.resume_after)
        self._held_event_bytes = 0
        self._request_log = request_log_module.RequestLog(
            context.metrics,
            context.clock,
            received_ms,
            admitted.route.kind.value,
            admitted.route.target_latency_ms,
            admitted.route.max_gap_ms,
            request_id=inbound.request_id,
            route=admitted.route.name,
            service=self._service,
        )

    @property
    def _route(self) -> routes.Route:
        return self._admitted.route

    def _remaining_ms(self) -> int:
        remaining_ms = self._deadline_ms - self._context.clock.now_ms()
        return int(min(remaining_ms, self._context.stop_limit.remaining_ms()))

    async def run(self) -> web.StreamResponse:
        """Forward the request and return the final response.

        :raises RefusedError: if the service is overloaded, no target
            responded, or none could in time.
        :raises ConnectionResetError: if a started response can't be
            completed; the connection to the caller must be closed.
        """
        if self._route.kind is routes.Kind.STREAM:
            await self._version.bind_take_up(self._request_log)
        self._check_admission()
        self._context.selection.memory.record(
            self._service, self._inbound.tokens
        )
        self._context.budget.record_request(self._service)
        try:
            async with self._context.stop_limit.apply():
                return await self._forward()
        except stop_limit.StoppedError:
            raise self._stopped_error() from None

    def _check_admission(self) -> None:
        """Refuse the request at once if its service is short of capacity.

        :raises RefusedError: if it is refused.
        """
        selection = self._context.selection
        applicant = admission.applicant(
            self._inbound, self._admitted, self._remaining_ms()
        )
        try:
            selection.admission.check(
                self._service,
                applicant,
                lambda: selection.service_load(self._service),
            )
        except results.RefusedError:
            rank = min(max(applicant.rank, 0), admission.MAX_RANK)
            self._context.metrics.refusals.record(
                1, {"service": self._service, "rank": str(rank)}
            )
            raise

    async def _forward(self) -> web.StreamResponse:
        """Send the request to targets until it has a final response."""
        try:
            while True:
                choice = await self._choose_permitted_target()
                target = choice.target
                target.in_flight += 1
                target.tokens_in_flight += self._inbound.tokens
                try:
                    response = await self._send_watched(
                        target, choice.copy_from
                    )
                finally:
                    target.in_flight -= 1
                    target.tokens_in_flight -= self._inbound.tokens
                    if self._has_slot:
                        self._context.permits.report_end(target)
                if response is not None:
                    return response
        except asyncio.CancelledError:
            if self._context.stop_limit.remaining_ms() > 0:
                self._request_log.log("request.left")
            raise

    def _stopped_error(self) -> Exception:
        """Return the error of a request that would be cut off by a stop."""
        if self._response is None and not self._may_have_run_at:
            return refusals.stopping()
        return self._final_error("this router stops before the response")

    @property
    def _rank(self) -> int:
        """Rank among requests that need a permit; 0 for a started stream."""
        return self._admitted.rank(
            self._response is not None
            or self._inbound.resume_after is not None
        )

    async def _choose_permitted_target(self) -> selection_module.Choice:
        """Return the next target to try, which this request may be sent to.

        :raises Exception: as for :meth:`_choose_target`.
        """
        for _ in range(MAX_PERMIT_REQUESTS):
            choice = self._choose_target()
            target = choice.target
            limited = target.needs_permits
            wait_ms = await self._context.permits.acquire(target, self._rank)
            if limited:
                self._context.metrics.permits.record(
                    1, {"outcome": "refused" if wait_ms else "granted"}
                )
            self._at_risk = self._context.selection.may_reject(target)
            self._has_slot = self._context.permits.asks_for_slots(target)
            if not wait_ms and (self._at_risk or self._has_slot):
                wait_ms = await self._context.permits.acquire_risk(target)
                self._context.metrics.permits.record(
                    1, {"outcome": "risk refused" if wait_ms else "at risk"}
                )
            if eligibility.paused(
                target
            ) is not None or not self._context.selection.has_memory(
                target, self._inbound.tokens
            ):
                # That changed while this router waited for a permit.
                continue
            if not wait_ms:
                self._record_choice(choice)
                return choice
            self._request_log.log(
                "request.no_permit",
                target=target.target_id,
                limit_per_s=target.limit_per_s,
                cold_per_s=target.cold_rate_per_s,
                max_rejections_per_s=target.max_rejections_per_s,
                rank=self._rank,
                wait_ms=wait_ms,
            )
        raise self._final_error("no target had a permit")

    def _choose_target(self) -> selection_module.Choice:
        """Return the next target to try.

        :raises Exception: the error that ends the request, if no further
            attempt is allowed or no target is available.
        """
        if self._remaining_ms() < timeouts.MIN_ATTEMPT_MS:
            raise self._final_error("the deadline has passed")
        if self._attempts >= MAX_ATTEMPTS:
            raise self._final_error("no target accepted the request")
        withheld = self._guard.check()
        if withheld is not None:
            raise self._withheld_error(withheld)
        choice = self._choose_of_version()
        if choice is None and not self._version.has_targets():
            raise self._not_resumable()
        if choice is None:
            raise self._final_error(
                self._context.selection.explain_no_target(self._service)
            )
        if self._attempts and not self._reserve_retry():
            raise self._final_error("the retry budget is exhausted")
        return choice

    def _needs_relay(self) -> bool:
        """Return whether only other routers reach the targets."""
        return self._context.selection.all_unreachable(
            self._service
        ) and self._context.relays.has_candidates(self._service)

    def _choose_of_version(self) -> selection_module.Choice | None:
        """Return the next target, of a version that the stream may have."""
        self._relaying = self._needs_relay()
        tried = self._tried
        if self._relaying:
            tried = tried - self._not_connected
            tried |= self._context.relays.down_targets()
        for version in self._version.candidates():
            choice = self._context.selection.choose(
                self._inbound,
                self._route,
                self._service,
                tried,
                include_unreachable=self._relaying
                or self._response is not None,
                rank=self._rank,
                version=version,
            )
            if choice is not None:
                return choice
        return None

    def _record_choice(self, choice: selection_module.Choice) -> None:
        """Record and log that the request is now sent to a target."""
        self._retry_reserved = False
        if self._attempts:
            self._context.metrics.retries.record(1, {"service": self._service})
        target, copy_from = choice.target, choice.copy_from
        is_own = self._context.selection.is_local(target)
        self._context.metrics.placements.record(
            1,
            {
                "data_centre": "own" if is_own else "other",
                "kind": self._route.kind.value,
            },
        )
        self._tried.add(target.target_id)
        self._request_log.log(
            "request.placed",
            target=target.target_id,
            load=self._context.selection.load(target),
            offers=self._attempts,
            version=self._admitted.version,
            prefix=self._inbound.shared_prefix_id,
            parts=self._inbound.shared_part_ids[-MAX_LOGGED_PARTS:],
            shared_tokens=self._inbound.shared_tokens,
            cache_at=copy_from.target_id if copy_from else "",
            resume_after=self._event_parser.last_id,
            resumes=self._inbound.resumes,
            software=target.listing.version,
            relayed=self._relaying,
            fingerprint=self._fingerprint,
        )

    def _withheld_error(self, withheld: quarantine.Withheld) -> Exception:
        """Return the error that ends a request with a quarantined part."""
        self._request_log.log(
            "request.withheld",
            parts=withheld.part_ids,
            crashes=withheld.crashes,
            remaining_ms=withheld.remaining_ms,
        )
        if self._response is not None or self._may_have_run_at:
            return self._final_error(QUARANTINED_DETAIL)
        return refusals.refuse(
            results.Code.PROMPT_QUARANTINED,
            QUARANTINED_DETAIL,
            withheld.remaining_ms,
        )

    def _final_error(self, detail: str) -> Exception:
        """Return the error that ends the request without a full response."""
        if self._response is not None:
            self._request_log.log("request.cut", detail=detail)
            return ConnectionResetError(detail)
        if self._may_have_run_at:
            late = self._remaining_ms() <= 0
            return refusals.refuse(
                results.Code.ANSWER_LATE
                if late
                else results.Code.TARGET_FAILED,
                detail,
            )
        if self._remaining_ms() < timeouts.MIN_ATTEMPT_MS:
            return refusals.refuse(results.Code.DEADLINE_PASSED, detail)
        return no_target.refusal(
            self._context.selection,
            self._service,
            self._rank,
            self._inbound.tokens,
            detail,
        )

    def _may_retry(self) -> bool:
        """Return whether the request may run at one more target.

        Targets that refuse connections have ended and don't count against the
        route's limit, unless other routers reached them. One that is about to
        stop refuses connections while it still works.
        """
        runs = sum(
            1
            for t in self._may_have_run_at
            if not t.health.refusing
            or t.leaving
            or t.target_id in self._relayed_to
        )
        return self._route.repeatable and runs < self._route.max_attempts

    def _reserve_retry(self) -> bool:
        """Reserve a retry from the retry budget, unless one is reserved.

        :return: whether a retry is reserved; if not, the budget is exhausted.
        """
        if not self._retry_reserved:
            self._retry_reserved = self._context.budget.spend(
                self._service, self._context.peers.fleet_size()
            )
        return self._retry_reserved

    def _may_fail_over(self) -> bool:
        """Return whether to abandon the current target for another one.

        Reserves the retry as well: when many waiting requests time out at
        once, only those that the retry budget covers leave their target.
        """
        return (
            self._may_retry()
            and self._context.selection.has_untried(
                self._service,
                self._tried,
                self._version.bound,
                include_unreachable=self._relaying,
                tokens=self._inbound.tokens,
            )
            and self._reserve_retry()
        )

    async def _send_watched(
        self,
        target: targets_module.Target,
        copy_from: targets_module.Target | None,
    ) -> web.StreamResponse | None:
        """Send the request, and withdraw it if its prompt crashes targets.

        :param target: the target.
        :param copy_from: as for :meth:`_send`.
        :return: as for :meth:`_send`.
        :raises Exception: the error that ends a request that is withdrawn.
        """
        try:
            async with self._guard.attempt():
                return await self._send(target, copy_from)
        except prompt_guard.WithdrawnError:
            self._request_log.log("request.withdrawn", target=target.target_id)
            raise self._final_error(QUARANTINED_DETAIL) from None

    async def _send(
        self,
        target: targets_module.Target,
        copy_from: targets_module.Target | None,
    ) -> web.StreamResponse | None:
        """Send the request to a target and relay the response.

        :param target: the target.
        :param copy_from: another target that has the prompt's prefix cached;
            none if there is no such target.
        :return: the final response; none if another target is to be tried.
        """
        remaining_ms = self._remaining_ms()
        self._may_have_run_at.append(target)
        self._holder.sent = True
        self._sent_ms = self._context.clock.now_ms()
        target.record_sent()
        self._had_free_slot = self._context.selection.has_free_slot(target)
        if self._relaying:
            self._relayed_to.add(target.target_id)
            self._not_connected.discard(target.target_id)
            self._context.tunnels.use(target)
        outcome = await attempt.open_response(
            self._session(),
            target.address,
            self._inbound,
            self._headers(target, copy_from, remaining_ms),
            self._context.codec.decode_response_head,
            self._time_limit(
                target,
                timeouts.response_timeout_ms(self._route),
                started=False,
            ),
        )
        if isinstance(outcome, attempt.NotRun):
            self._may_have_run_at.pop()
            self._handle_not_run(target, outcome)
            return None
        if isinstance(outcome, attempt.OutcomeUnknown):
            self._attempts += 1
            if isinstance(outcome, attempt.WithheldResponse):
                self._record_withheld(target, outcome)
            self._record_failure(target, outcome)
            return None
        self._attempts += 1
        self._guard.record_head()
        self._apply_response_head(target, outcome.head)
        if target.leaving:
            attempt.disable_keep_alive(outcome)
        if self._route.kind is routes.Kind.STREAM and outcome.head.success:
            resumes = self._event_parser.last_id is not None
            if resumes and not outcome.may_be_event_stream:
                outcome.response.close()
                self._record_failure(
                    target,
                    attempt.OutcomeUnknown("the response is no event stream"),
                )
                return None
            relay = self._relay_stream
        else:
            relay = self._relay_buffered
        with contextlib.closing(self._watch_end(target, outcome)) as end:
            return await relay(target, outcome, end)

    def _time_limit(
        self,
        target: targets_module.Target,
        failover_ms: float | None = None,
        started: bool = True,
        check_after_ms: float = stall_module.MAX_TIMEOUT_MS,
        may_fail_over: bool = True,
    ) -> attempt.TimeLimit:
        """Return a context manager that limits a wait for a target.

        The wait ends earlier if the request fails over meanwhile.

        :param target: the target.
        :param failover_ms: time after which the request may fail over, in
            ms; none if it may fail over only from an unreachable target.
        :param started: whether the response has started.
        :param check_after_ms: time after which to check whether the target
            is reachable, in ms. A request that may not be repeated waits on
            whatever the check says, so the target is checked later.
        :param may_fail_over: whether the request may fail over at all.
        """
        if not self._route.repeatable:
            check_after_ms = AT_MOST_ONCE_CHECK_MS
        return self._context.prober.watch(
            target,
            self._remaining_ms() + timeouts.DEADLINE_GRACE_MS,
            failover_ms,
            self._may_fail_over if may_fail_over else lambda: False,
            started,
            check_after_ms,
            relayed=self._relaying,
        )

    def _session(self) -> aiohttp.ClientSession:
        if self._relaying:
            return self._context.relay_session
        if self._route.repeatable:
            return self._context.session
        return self._context.at_most_once_session

    def _headers(
        self,
        target: targets_module.Target,
        copy_from: targets_module.Target | None,
        remaining_ms: int,
    ) -> list[tuple[str, str]]:
        """Return the headers of the request for a target."""
        team = self._admitted.team
        return self._context.codec.encode_request(
            self._inbound,
            target.target_id,
            team.name if team is not None else None,
            self._admitted.urgency,
            remaining_ms,
            self._event_parser.last_id,
            copy_from.address if copy_from is not None else None,
        )

    def _handle_not_run(
        self, target: targets_module.Target, outcome: attempt.NotRun
    ) -> None:
        """Log why a target didn't run the request, and update its state."""
        use = outcome.use
        self._request_log.log(
            "request.not_run",
            target=target.target_id,
            reason=outcome.reason,
            connection=use.address if use is not None else "",
            carried=use.carried if use is not None else 0,
        )
        self._request_log.count_attempt(
            "rejected" if outcome.sent else "unreachable"
        )
        if outcome.refused and not self._relaying:
            target.health.record_refused()
        first_inconclusive = (
            outcome.inconclusive and target.target_id not in self._inconclusive
        )
        if first_inconclusive:
            # Suspected below, so that others are tried first.
            self._tried.discard(target.target_id)
            self._inconclusive.add(target.target_id)
        elif not outcome.sent and not self._relaying:
            self._not_connected.add(target.target_id)
        if outcome.sent:
            self._attempts += 1
        elif outcome.timed_out:
            self._context.prober.check(target, suspected=True)
        else:
            self._context.prober.record_unreachable(target)
        if outcome.moved:
            self._context.targets.mark_moved(target)
        if outcome.head is not None:
            self._apply_response_head(target, outcome.head)

    def _apply_response_head(
        self, target: targets_module.Target, head: messages.ResponseHead
    ) -> None:
        """Apply what a response head says about the state of its target."""
        if head.leaving:
            self._context.targets.mark_leaving(
                target, "announced in a response"
            )
        if head.cold_ms is not None:
            target.cold_start.record_response(head.cold_ms)
        if head.server_load is not None:
            self._context.selection.record_server_load(
                target, head.server_load
            )
        if head.invalid_load:
            self._context.metrics.invalid_loads.record(
                1, {"service": self._service}
            )
        if head.limit_per_s is not None:
            target.set_limit(head.limit_per_s, self._context.clock.now_ms())
        elif head.states_limit:
            # The target may have named a limit to a later request whose
            # response overtook this one.
            target.set_limit(None, self._sent_ms)
        if head.max_rejections_per_s is not None:
            target.set_max_rejections(
                head.max_rejections_per_s, self._context.clock.now_ms()
            )
        elif head.states_max_rejections:
            target.set_max_rejections(None, self._sent_ms)
        if head.not_run and not head.other_target:
            if not self._at_risk:
                target.record_full()
            if self._has_slot:
                self._context.permits.report_rejection(target)
        if head.retry_after_ms is not None:
            target.back_off(head.retry_after_ms)
            if self._relaying:
                self._context.tunnels.tell_back_off(
                    target, head.retry_after_ms
                )
            self._request_log.log(
                "target.resting",
                target=target.target_id,
                asked_ms=head.retry_after_ms,
            )
        elif not head.not_run:
            target.record_accepted(self._sent_ms)

    def _record_withheld(
        self,
        target: targets_module.Target,
        withheld: attempt.WithheldResponse,
    ) -> None:
        """Record a response that the caller doesn't get.

        What its head says about the target holds nevertheless.
        """
        self._guard.record_head()
        self._apply_response_head(target, withheld.head)
        status = withheld.head.status
        self._context.metrics.withheld_answers.record(
            1, {"service": self._service, "status": str(status)}
        )
        self._request_log.log(
            "answer.withheld",
            target=target.target_id,
            status=status,
            size_bytes=withheld.size_bytes,
            relayed=self._relaying,
        )

    def _record_failure(
        self, target: targets_module.Target, failure: attempt.OutcomeUnknown
    ) -> None:
        """Record that a target failed the request.

        :raises Exception: the error that ends the request, if it may not be
            retried.
        """
        target.health.record(failed=True)
        self._request_log.count_attempt("failed")
        self._request_log.log(
            "request.failed",
            target=target.target_id,
            reason=failure.reason,
            progress=self._guard.progress,
        )
        may_repeat = self._may_retry()
        if failure.connection_lost:
            self._guard.record_lost(
                target,
                self._context.tunnels.is_unreachable
                if self._relaying
                else None,
            )
            may_repeat = may_repeat and self._guard.may_repeat()
        if not may_repeat:
            raise self._final_error(failure.reason)

    async def _relay_buffered(
        self,
        target: targets_module.Target,
        opened: attempt.OpenResponse,
        end: response_ends.EndWatch,
    ) -> web.StreamResponse | None:
        """Relay a response that is read completely first.

        A response that is too large to buffer is relayed as it arrives,
        unless another target is to be tried or the caller's response has
        started.

        :param target: the target.
        :param opened: its response.
        :param end: decides whether it is whole.
        :return: the response to the caller; none if another target is to be
            tried.
        :raises Exception: the error that ends the request: if it may not be
            retried, or if a started stream can't be resumed.
        """
        head = opened.head
        failed = head.status >= 500
        result = await attempt.read_body(
            opened, self._time_limit(target), self._holder, end.read
        )
        if isinstance(result, bodies.Pieces) and not await end.is_whole():
            result = _ENDED_WITH_TARGET
        if isinstance(result, attempt.OutcomeUnknown):
            self._record_failure(target, result)
            return None
        if failed and (self._response is not None or self._may_fail_over()):
            self._discard(opened, result)
            self._record_failure(
                target, attempt.OutcomeUnknown(f"status {head.status}")
            )
            return None
        if self._response is not None:
            self._discard(opened, result)
            raise self._final_error(
                f"can't resume the stream: status {head.status}"
            )
        if isinstance(result, attempt.Oversized):
            return await self._relay_large(target, opened, end, result)
        target.health.record(failed)
        if head.success:
            self._guard.record_event()
        if head.success and self._had_free_slot:
            duration_ms = self._context.clock.now_ms() - self._sent_ms
            self._context.selection.record_run_time(self._service, duration_ms)
            self._context.selection.record_run(
                target, duration_ms, of_events=False
            )
        self._request_log.record_event()
        if result.size_bytes > memory_account.SMALL_BYTES:
            await self._write_large(opened.relayed, result)
        self._request_log.record_response(target.target_id, head.status)
        if self._response is not None:
            return self._response
        return web.Response(
            status=opened.relayed.status,
            body=result.join(),
            headers=multidict.CIMultiDict(opened.relayed.headers),
        )

    def _discard(
        self,
        opened: attempt.OpenResponse,
        result: bodies.Pieces | attempt.Oversized,
    ) -> None:
        """Discard a response whose body was read, or a part of it."""
        opened.response.close()
        if isinstance(result, attempt.Oversized):
            result = result.received
        self._holder.release(result.held_bytes)

    async def _write_large(
        self, head: statuses.RelayedHead, body: bodies.Pieces
    ) -> None:
        """Write a complete response as fast as the caller reads."""
        response = await self._started_response(head, body.size_bytes)
        await bodies.write(response, body, self._holder)
        await self._end_response(response)

    async def _relay_large(
        self,
        target: targets_module.Target,
        opened: attempt.OpenResponse,
        end: response_ends.EndWatch,
        oversized: attempt.Oversized,
    ) -> web.StreamResponse:
        """Relay a response that is too large to buffer, as it arrives.

        The request isn't sent again, so its body is kept no longer.
        """
        size_bytes = oversized.received.size_bytes
        self._holder.release(len(self._inbound.body))
        self._inbound = dataclasses.replace(self._inbound, body=b"")
        try:
            async with self._time_limit(target, may_fail_over=False):
                response = await self._started_response(opened.relayed)
                self._request_log.record_event()
                with end.writing():
                    await bodies.write(
                        response, oversized.received, self._holder
                    )
                content = opened.response.content
                while data := await end.read(content.readany()):
                    size_bytes += len(data)
                    if size_bytes > MAX_RESPONSE_BYTES:
                        raise self._final_error("the response is too large")
                    with end.writing():
                        await response.write(data)
                if not await end.is_whole():
                    raise aiohttp.ClientPayloadError(_ENDED_WITH_TARGET.reason)
                await self._end_response(response)
        except (TimeoutError, aiohttp.ClientError) as error:
            target.health.record(failed=True)
            raise self._final_error(
                f"large response cut short: {attempt.describe(error)}"
            ) from error
        finally:
            opened.response.close()
        target.health.record(failed=opened.head.status >= 500)
        self._request_log.record_response(target.target_id, opened.head.status)
        return response

    async def _relay_stream(
        self,
        target: targets_module.Target,
        opened: attempt.OpenResponse,
        end: response_ends.EndWatch,
    ) -> web.StreamResponse | None:
        """Relay an event stream until it is complete or breaks off.

        :param target: the target.
        :param opened: its response.
        :param end: decides whether it is whole.
        :return: the response to the caller; none if another target is to
            resume the stream.
        :raises Exception: the error that ends the request, if it may not be
            retried.
        """
        try:
            error = await self._relay_events(target, opened, end)
        finally:
            opened.response.close()
        if error is not None:
            self._event_parser.discard_partial_event()
            self._record_failure(target, error)
            return None
        target.health.record(failed=False)
        self._record_stream_run()
        self._request_log.record_response(target.target_id, opened.head.status)
        response = await self._started_response(opened.relayed)
        await self._end_response(response)
        return response

    def _record_stream_run(self) -> None:
        """Record how long an engine took for a whole stream.

        The time before the first event counts only if the engine started the
        request immediately.
        """
        if self._attempts != 1 or self._inbound.resume_after is not None:
            return
        run_ms = self._context.clock.now_ms() - self._sent_ms
        if not self._had_free_slot:
            run_ms = self._request_log.since_first_event_ms()
        self._context.selection.record_run_time(self._service, run_ms)

    async def _relay_events(
        self,
        target: targets_module.Target,
        opened: attempt.OpenResponse,
        end: response_ends.EndWatch,
    ) -> attempt.OutcomeUnknown | None:
        """Relay events as they arrive.

        :return: why the stream broke off; none if it is complete.
        """
        content = opened.response.content
        clock = self._context.clock
        # Only complete events reset the timer. A stalled target may still
        # send comments or single bytes from time to time.
        last_event_ms = clock.now_ms()
        stall = stall_module.StallDetector()
        gaps = speeds.EventGaps()
        while True:
            failover_ms = timeouts.event_timeout_ms(
                self._route, clock.now_ms() - last_event_ms
            )
            try:
                async with self._time_limit(
                    target, failover_ms, check_after_ms=stall.timeout_ms()
                ):
                    data = await end.read(content.readany())
            except TimeoutError:
                return attempt.OutcomeUnknown("timed out waiting for an event")
            except (aiohttp.ClientError, OSError) as error:
                return attempt.OutcomeUnknown(
                    f"stream cut short: {attempt.describe(error)}",
                    connection_lost=True,
                )
            parsed = self._event_parser.feed(data)
            self._hold_partial_event()
            if parsed.data:
                self._version.bind(target)
                response = await self._started_response(opened.relayed)
                with end.writing():
                    await response.write(parsed.data)
            if parsed.count:
                stall.record_gap(clock.now_ms() - last_event_ms)
                last_event_ms = clock.now_ms()
                gaps.record(parsed.count, last_event_ms)
                self._guard.record_event()
                self._request_log.record_event()
            if parsed.error is not None:
                return attempt.OutcomeUnknown(parsed.error)
            if not data and content.at_eof():
                if self._event_parser.within_event:
                    return attempt.OutcomeUnknown(
                        "the stream ended within an event",
                        connection_lost=True,
                    )
                if not opened.framed and self._is_empty():
                    return attempt.OutcomeUnknown(
                        "the stream ended without an event",
                        connection_lost=True,
                    )
                if not await end.is_whole():
                    return _ENDED_WITH_TARGET
                self._context.selection.record_run(
                    target, gaps.mean_ms(), of_events=True
                )
                return None

    def _hold_partial_event(self) -> None:
        """Hold an event that isn't complete yet, unless it is small.

        :raises Exception: the error that ends the request, if there is no
            room for the event.
        """
        size_bytes = self._event_parser.buffered_bytes
        if size_bytes <= memory_account.SMALL_BYTES:
            if self._held_event_bytes:
                self._holder.release(self._held_event_bytes)
                self._held_event_bytes = 0
            return
        missing_bytes = size_bytes - self._held_event_bytes
        if missing_bytes <= 0:
            return
        if not self._holder.try_buffer(missing_bytes):
            raise self._final_error("no memory was left for an event")
        self._held_event_bytes += missing_bytes

    def _watch_end(
        self, target: targets_module.Target, opened: attempt.OpenResponse
    ) -> response_ends.EndWatch:
        """Return what decides whether a response is whole.

        The router that relays it watches the target as well.
        """
        is_unreachable = self._context.prober.is_unreachable
        if self._relaying:
            is_unreachable = self._context.tunnels.is_unreachable
        return response_ends.EndWatch(
            target,
            self._context.targets,
            self._sent_ms,
            opened.framed,
            opened.has_end_arrived,
            is_unreachable,
            None if self._relaying else self._context.prober.check,
            self._context.clock,
        )

    def _not_resumable(self) -> Exception:
        """Return the error of a stream whose version has no target left."""
        detail = f"version {self._version.bound!r} has no target any more"
        if self._response is not None or self._may_have_run_at:
            return self._final_error(detail)
        return refusals.refuse(results.Code.STREAM_NOT_RESUMABLE, detail)

    def _is_empty(self) -> bool:
        """Return whether the caller has received no part of the stream."""
        return self._response is None and self._inbound.resume_after is None

    async def _started_response(
        self, head: statuses.RelayedHead, size_bytes: int | None = None
    ) -> web.StreamResponse:
        """Return the response to the caller, started on the first call.

        :param head: the head of the target's response.
        :param size_bytes: size of the body; none if it isn't known yet.
        """
        if self._response is None:
            self._response = web.StreamResponse(
                status=head.status,
                headers=multidict.CIMultiDict(head.headers),
            )
            if size_bytes is not None:
                self._response.content_length = size_bytes
            self._holder.begin(None)
            if self._context.draining():
                self._response.force_close()
            self._request_log.log("request.first_event")
            connections.set_user_timeout(
                self._web_request.transport,
                connections.CALLER_USER_TIMEOUT_MS,
            )
            if self._web_request.transport is not None:
                self._web_request.transport.set_write_buffer_limits(
                    high=UNSENT_LIMIT_BYTES
                )
            transport = self._transport_without_chunks
            if transport is not None:
                connections.reset_on_close(transport)
                # A drained transport then has nothing left that a kill would
                # lose.
                transport.set_write_buffer_limits(high=0)
            await self._response.prepare(self._web_request)
        return self._response

    @property
    def _transport_without_chunks(self) -> asyncio.WriteTransport | None:
        """The transport to a caller of HTTP/1.0; none for other callers.

        HTTP/1.0 has no chunks: a response ends with the connection, and only
        a reset tells that it is incomplete.
        """
        if self._web_request.version >= aiohttp.HttpVersion11:
            return None
        return self._web_request.transport

    async def _end_response(self, response: web.StreamResponse) -> None:
        """End the started response to the caller, which is complete."""
        await response.write_eof()
        transport = self._transport_without_chunks
        if transport is not None:
            connections.end_on_close(transport)
