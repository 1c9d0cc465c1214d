"""Passes one request on to targets until it has a final answer."""

import asyncio

import aiohttp
from aiohttp import web
import multidict

from bulrushdale.forwarding import account
from bulrushdale.forwarding import attempt
from bulrushdale.forwarding import events
from bulrushdale.forwarding import parts as parts_module
from bulrushdale import results
from bulrushdale.routing import access
from bulrushdale.routing import messages
from bulrushdale.routing import overload
from bulrushdale.routing import refusals
from bulrushdale.routing import routes
from bulrushdale.routing import selection as selection_module
from bulrushdale.routing import stall as stall_module
from bulrushdale.routing import targets as targets_module
from bulrushdale.routing import timeouts

# Targets that a request is offered to, those included that did not run it.
MAX_OFFERS = 4
# The largest answer that is passed on; none of the users' comes near it.
MAX_ANSWER_BYTES = 64 << 20
# Where a caller names no deadline the route's timeout is the only one.
NO_DEADLINE_MS = 3_600_000


class Exchange:
    """One request on its way to a final answer.

    :param parts: what it works with.
    :param request: the caller's request.
    :param call: the same in the product's words.
    :param admitted: its route and team.
    :param received_ms: when it arrived.
    """

    __slots__ = (
        "_parts",
        "_request",
        "_call",
        "_admitted",
        "_received_ms",
        "_deadline_ms",
        "_service",
        "_tried",
        "_offers",
        "_ran_at",
        "_retry_taken",
        "_sent_ms",
        "_slot_free",
        "_response",
        "_splitter",
        "_account",
    )

    def __init__(
        self,
        parts: parts_module.Parts,
        request: web.BaseRequest,
        call: messages.InboundRequest,
        admitted: access.AdmittedRequest,
        received_ms: int,
    ) -> None:
        self._parts = parts
        self._request = request
        self._call = call
        self._admitted = admitted
        self._received_ms = received_ms
        wait_ms = call.deadline_ms
        if wait_ms is None:
            wait_ms = NO_DEADLINE_MS
        self._deadline_ms = received_ms + min(
            wait_ms, admitted.route.timeout_ms
        )
        self._service = admitted.route.service_for(call.request_id) or ""
        self._tried: set[str] = set()
        self._offers = 0
        self._ran_at: list[targets_module.Target] = []
        self._retry_taken = False
        self._sent_ms = received_ms
        self._slot_free = False
        self._response: web.StreamResponse | None = None
        self._splitter = events.Splitter(call.resume_after)
        self._account = account.Account(
            parts.metrics,
            parts.clock,
            received_ms,
            admitted.route.kind.value,
            admitted.route.target_latency_ms,
            admitted.route.max_gap_ms,
            request_id=call.request_id,
            route=admitted.route.name,
            service=self._service,
        )

    @property
    def _route(self) -> routes.Route:
        return self._admitted.route

    def _left_ms(self) -> int:
        return self._deadline_ms - self._parts.clock.now_ms()

    async def run(self) -> web.StreamResponse:
        """Return the final answer.

        :raises RefusedError: if no target answered, or could in time.
        :raises ConnectionResetError: if a stream that was begun can't be
            ended; the connection must be closed.
        """
        # Engines run what comes in batches, and need no slot free.
        if not self._route.prefix_affinity:
            overload.check(
                self._parts.selection.demand(self._service),
                self._route.target_latency_ms,
                self._call.request_id,
            )
        self._parts.budget.record_request(self._service)
        try:
            while True:
                choice = self._choose()
                target = choice.target
                target.in_flight += 1
                try:
                    response = await self._try(target, choice.copy_from)
                finally:
                    target.in_flight -= 1
                if response is not None:
                    return response
        except asyncio.CancelledError:
            self._account.log("request.left")
            raise

    def _choose(self) -> selection_module.Choice:
        """Return the next target to try, or end the request."""
        if self._left_ms() < timeouts.MIN_ATTEMPT_MS:
            raise self._end("the deadline has passed")
        if self._offers >= MAX_OFFERS:
            raise self._end("no target took it")
        choice = self._parts.selection.choose(
            self._call,
            self._route,
            self._service,
            self._tried,
            include_unreachable=self._response is not None,
        )
        if choice is None:
            raise self._end(
                self._parts.selection.explain_no_target(self._service)
            )
        if self._offers and not self._take_retry():
            raise self._end("the retry budget is spent")
        self._retry_taken = False
        target, cache_at = choice.target, choice.copy_from
        self._tried.add(target.target_id)
        self._account.log(
            "request.placed",
            target=target.target_id,
            load=self._parts.selection.load(target),
            offers=self._offers,
            version=self._admitted.version,
            prefix=self._call.affinity,
            shared_tokens=self._call.shared_tokens,
            cache_at=cache_at.target_id if cache_at else "",
            resume_after=self._splitter.last_id,
        )
        return choice

    def _end(self, detail: str) -> Exception:
        """Return the error that ends the request without an answer."""
        if self._response is not None:
            self._account.log("request.cut", detail=detail)
            return ConnectionResetError(detail)
        if self._ran_at:
            late = self._left_ms() <= 0
            return refusals.refuse(
                results.Code.ANSWER_LATE
                if late
                else results.Code.TARGET_FAILED,
                detail,
            )
        if self._left_ms() < timeouts.MIN_ATTEMPT_MS:
            return refusals.refuse(results.Code.DEADLINE_PASSED, detail)
        selection = self._parts.selection
        after_ms = max(
            selection.backoff_remaining_ms(self._service),
            refusals.RETRY_AFTER_MS,
        )
        if selection.all_unreachable(self._service):
            after_ms = refusals.OTHER_ROUTER_RETRY_AFTER_MS
        return refusals.refuse(results.Code.NO_TARGET, detail, after_ms)

    def _may_run_again(self) -> bool:
        """Whether the request may run at one more target.

        Those that can't be reached any more don't count: what they do with
        it goes nowhere.
        """
        counted = sum(1 for t in self._ran_at if not t.health.unreachable)
        return self._route.repeatable and counted < self._route.max_attempts

    def _take_retry(self) -> bool:
        """Reserve a retry for the next target, if the budget has one."""
        if not self._retry_taken:
            self._retry_taken = self._parts.budget.spend(
                self._service, self._parts.peers.count()
            )
        return self._retry_taken

    def _may_leave(self) -> bool:
        """Whether to give the present target up for another one.

        Takes the retry for it: of many requests that wait when their
        patience is over, only those leave that another target may get.
        """
        return (
            self._may_run_again()
            and self._parts.selection.has_untried(self._service, self._tried)
            and self._take_retry()
        )

    async def _try(
        self,
        target: targets_module.Target,
        cache_at: targets_module.Target | None,
    ) -> web.StreamResponse | None:
        """Send the request to a target.

        :param target: the target.
        :param cache_at: another that has the prompt's shared part.
        :return: the final answer; none if another target is to be tried.
        """
        left_ms = self._left_ms()
        self._ran_at.append(target)
        self._sent_ms = self._parts.clock.now_ms()
        target.record_sent()
        self._slot_free = self._parts.selection.has_free_slot(target)
        outcome = await attempt.open_answer(
            self._session(),
            target.address,
            self._call,
            self._headers(target, cache_at, left_ms),
            self._parts.wire.decode_answer,
            self._wait(
                target,
                timeouts.response_timeout_ms(self._route),
                begun=False,
            ),
        )
        if isinstance(outcome, attempt.NotRun):
            self._ran_at.pop()
            self._note_not_run(target, outcome)
            return None
        if isinstance(outcome, attempt.Unknown):
            self._offers += 1
            self._note_failed(target, outcome.reason)
            return None
        self._offers += 1
        self._note_head(target, outcome.head)
        if target.leaving:
            attempt.close_after(outcome)
        if self._route.kind is routes.Kind.STREAM and outcome.head.success:
            return await self._relay_stream(target, outcome)
        return await self._relay_whole(target, outcome)

    def _wait(
        self,
        target: targets_module.Target,
        patience_ms: float | None = None,
        begun: bool = True,
        silence_ms: float = stall_module.MAX_TIMEOUT_MS,
    ) -> attempt.Wait:
        """Limit a wait for a target; shorter if it may be left meanwhile.

        :param target: the target.
        :param patience_ms: when to leave it, in ms.
        :param begun: whether it has begun its answer.
        :param silence_ms: when to check whether it is there, in ms.
        """
        return self._parts.prober.watch(
            target,
            self._left_ms() + timeouts.DEADLINE_GRACE_MS,
            patience_ms,
            self._may_leave,
            begun,
            silence_ms,
        )

    def _session(self) -> aiohttp.ClientSession:
        if self._route.repeatable:
            return self._parts.session
        return self._parts.once_session

    def _headers(
        self,
        target: targets_module.Target,
        cache_at: targets_module.Target | None,
        left_ms: int,
    ) -> list[tuple[str, str]]:
        team = self._admitted.team
        return self._parts.wire.encode_call(
            self._call,
            target.target_id,
            team.name if team is not None else None,
            self._admitted.urgency,
            left_ms,
            self._splitter.last_id,
            cache_at.address if cache_at is not None else None,
        )

    def _note_not_run(
        self, target: targets_module.Target, outcome: attempt.NotRun
    ) -> None:
        self._account.log(
            "request.not_run",
            target=target.target_id,
            reason=outcome.reason,
        )
        self._account.attempt("rejected" if outcome.sent else "unreachable")
        if outcome.sent:
            self._offers += 1
        elif outcome.silent:
            self._parts.prober.suspect(target, doubted=True)
        else:
            self._parts.prober.note_unreachable(target)
        if outcome.moved:
            self._parts.targets.mark_moved(target)
        if outcome.head is not None:
            self._note_head(target, outcome.head)

    def _note_head(
        self, target: targets_module.Target, head: messages.ResponseHead
    ) -> None:
        """Take over what an answer says of its target."""
        if head.leaving:
            self._parts.targets.mark_leaving(target, "says so in an answer")
        if head.retry_after_ms is not None:
            target.back_off(head.retry_after_ms)
            self._account.log(
                "target.resting",
                target=target.target_id,
                asked_ms=head.retry_after_ms,
            )
        elif not head.not_run:
            target.record_accepted()

    def _note_failed(self, target: targets_module.Target, reason: str) -> None:
        """Log that a target failed the request.

        :raises Exception: that ends the request if it may not run again.
        """
        target.health.record(failed=True)
        self._account.attempt("failed")
        self._account.log(
            "request.failed", target=target.target_id, reason=reason
        )
        if not self._may_run_again():
            raise self._end(reason)

    async def _relay_whole(
        self, target: targets_module.Target, opened: attempt.Opened
    ) -> web.StreamResponse | None:
        head = opened.head
        failed = head.status >= 500
        body = await attempt.read_whole(opened, self._wait(target))
        if isinstance(body, attempt.Oversized):
            if not failed and self._response is None:
                return await self._relay_large(target, opened, body.begun)
            opened.response.close()
            body = attempt.Unknown("a failure's body is too large")
        if isinstance(body, attempt.Unknown):
            self._note_failed(target, body.reason)
            return None
        if failed and (self._response is not None or self._may_leave()):
            self._note_failed(target, f"answered {head.status}")
            return None
        if self._response is not None:
            raise self._end(f"can't be resumed: {head.status}")
        target.health.record(failed)
        if head.implies_not_run:
            raise self._end(
                f"answered {head.status} without saying that it did not run"
            )
        if head.success and self._slot_free:
            took_ms = self._parts.clock.now_ms() - self._sent_ms
            self._parts.selection.record_run_time(self._service, took_ms)
        self._account.event()
        self._account.answered(target.target_id, head.status)
        return web.Response(
            status=head.status,
            body=body,
            headers=multidict.CIMultiDict(head.headers),
        )

    async def _relay_large(
        self,
        target: targets_module.Target,
        opened: attempt.Opened,
        begun: bytes,
    ) -> web.StreamResponse:
        """Pass on an answer that is too large to hold, as it arrives."""
        size_bytes = len(begun)
        try:
            async with self._wait(target):
                response = await self._begun(opened.head)
                self._account.event()
                await response.write(begun)
                async for data in opened.response.content.iter_any():
                    size_bytes += len(data)
                    if size_bytes > MAX_ANSWER_BYTES:
                        raise self._end("the answer is too large")
                    await response.write(data)
                await response.write_eof()
        except (TimeoutError, aiohttp.ClientError) as error:
            target.health.record(failed=True)
            raise self._end(
                f"large answer cut: {attempt.describe(error)}"
            ) from error
        finally:
            opened.response.close()
        target.health.record(failed=False)
        self._account.answered(target.target_id, opened.head.status)
        return response

    async def _relay_stream(
        self, target: targets_module.Target, opened: attempt.Opened
    ) -> web.StreamResponse | None:
        try:
            fault = await self._pass_events(target, opened)
        finally:
            opened.response.close()
        if fault is not None:
            self._splitter.drop_rest()
            self._note_failed(target, fault)
            return None
        target.health.record(failed=False)
        self._account.answered(target.target_id, opened.head.status)
        response = await self._begun(opened.head)
        await response.write_eof()
        return response

    async def _pass_events(
        self, target: targets_module.Target, opened: attempt.Opened
    ) -> str | None:
        """Pass events on as they arrive.

        :return: why the stream broke off; none if it came to its end.
        """
        content = opened.response.content
        clock = self._parts.clock
        # Bytes that complete no event, and comments, don't count: a stalled
        # target may send one now and then.
        event_ms = clock.now_ms()
        stall = stall_module.StallDetector()
        while True:
            patience_ms = timeouts.event_timeout_ms(
                self._route, clock.now_ms() - event_ms
            )
            try:
                async with self._wait(
                    target, patience_ms, silence_ms=stall.timeout_ms()
                ):
                    data = await content.readany()
            except TimeoutError:
                return "no event in time"
            except (aiohttp.ClientError, OSError) as error:
                return f"stream cut: {attempt.describe(error)}"
            found = self._splitter.feed(data)
            if found.data:
                response = await self._begun(opened.head)
                await response.write(found.data)
            if found.count:
                stall.record_gap(clock.now_ms() - event_ms)
                event_ms = clock.now_ms()
                self._account.event()
            if found.fault is not None:
                return found.fault
            if not data and content.at_eof():
                if self._splitter.within_event:
                    return "stream ends within an event"
                return None

    async def _begun(self, head: messages.ResponseHead) -> web.StreamResponse:
        """Return the response to the caller, begun with the first head."""
        if self._response is None:
            self._response = web.StreamResponse(
                status=head.status,
                headers=multidict.CIMultiDict(head.headers),
            )
            if self._parts.draining():
                self._response.force_close()
            self._account.log("request.first_event")
            await self._response.prepare(self._request)
        return self._response
