"""Checks the fleet's guarantees against what callers and targets see."""

import collections
import dataclasses

from soak import repeats as repeats_module

# A revoked key may be accepted for at most this long.
MAX_REVOCATION_DELAY_MS = 5_000
# A target may get requests for at most this long after its entry says that
# it is leaving.
MAX_LEAVING_DELAY_MS = 2_500
# A router acts on a notice in a target's response after at most this long.
MAX_REACTION_MS = 500
# Requests that may be in transit to a target that asked for back-off.
MAX_IN_TRANSIT = 2
# Another target may have begun to process a request for this long while the
# one before is still at work on it.
MAX_OVERLAP_MS = 400
# A router that has run without faults for this long, on a path without
# faults, ends a run that it has given up.
STABILITY_MS = 3_000
# Statuses that guarantee that a request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """A request that a target started to process.

    :param target: the id of the target.
    :param started_ms: start time, in ms on the soak's clock.
    """

    target: str
    started_ms: int


@dataclasses.dataclass(slots=True)
class Notice:
    """A notice that a target sent to one router in a response.

    :param sent_ms: when it was sent, in ms on the soak's clock.
    :param until_ms: end of the back-off that the target asked for, in ms on
        the soak's clock; ``None`` if the target is leaving.
    :param arrivals: requests of that router that arrived despite the notice.
    """

    sent_ms: int
    until_ms: int | None = None
    arrivals: int = 0


class Checker:
    """Records what callers and targets see, and finds violations.

    :param repeats: counts requests and their arrivals.

    :ivar violations: one line for each violated guarantee.
    :ivar outcomes: number of requests by status, or by error if there was
        no response.
    :ivar copies_met: number of copies that a later request met, by whether
        that was their own request.
    :ivar trace: the faults of the run and the folder of its logs, if a
        guarantee was violated.
    """

    def __init__(self, repeats: repeats_module.Repeats | None = None) -> None:
        self.violations: list[str] = []
        self.trace: list[str] = []
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.repeats = repeats
        self.copies_met: collections.Counter[bool] = collections.Counter()
        self._executions: dict[str, list[Execution]] = collections.defaultdict(
            list
        )
        self._refused: set[str] = set()
        self._at_most_once: set[str] = set()
        self._leaving_since_ms: dict[str, int] = {}
        self._revoked_ms: int | None = None
        self._leaving_notices: dict[tuple[str, str], Notice] = {}
        self._backoff_notices: dict[tuple[str, str], Notice] = {}

    def record_leaving_notice(
        self, target: str, router: str, now_ms: int
    ) -> None:
        """Record that a target told a router that it is leaving."""
        self._leaving_notices.setdefault((target, router), Notice(now_ms))

    def record_backoff_notice(
        self, target: str, router: str, now_ms: int, backoff_ms: int
    ) -> None:
        """Record that a target asked a router for back-off."""
        self._backoff_notices[target, router] = Notice(
            now_ms, now_ms + backoff_ms
        )

    def record_new_start(self, target: str) -> None:
        """Record that a target starts again, and knows nothing of before."""
        for notices in (self._leaving_notices, self._backoff_notices):
            for key in [key for key in notices if key[0] == target]:
                del notices[key]

    def record_arrival(
        self, target: str, router: str, now_ms: int, fault_free_ms: int
    ) -> None:
        """Record that a request arrived at a target, whether it runs or not.

        After ``MAX_REACTION_MS``, any request despite a leaving notice is a
        violation, and so is each request above ``MAX_IN_TRANSIT`` during a
        back-off.

        :param target: the id of the target.
        :param router: the router that sent it.
        :param now_ms: the time, in ms on the soak's clock.
        :param fault_free_ms: time in ms since the last fault of the router
            or of its path to the target.
        """
        for notices in (self._leaving_notices, self._backoff_notices):
            notice = notices.get((target, router))
            if notice is None:
                continue
            since_ms = now_ms - notice.sent_ms
            if fault_free_ms < since_ms:
                # The fault may have kept the notice from the router.
                del notices[target, router]
                continue
            expired = notice.until_ms is not None and now_ms >= notice.until_ms
            if expired or since_ms <= MAX_REACTION_MS:
                continue
            notice.arrivals += 1
            if notice.until_ms is None:
                self.violations.append(
                    f"{router} sent a request to {target}, which is leaving"
                )
            elif notice.arrivals > MAX_IN_TRANSIT:
                self.violations.append(
                    f"{router} sent a request to {target}, which backs off"
                )

    def record_entry_leaving(self, target: str, now_ms: int) -> None:
        """Record that a target's entry says that it is leaving."""
        self._leaving_since_ms[target] = now_ms

    def record_revocation(self, now_ms: int) -> None:
        """Record that the old key was revoked."""
        self._revoked_ms = now_ms

    def record_sent(self, request_id: str, at_most_once: bool) -> None:
        """Record that a caller sent a request."""
        if at_most_once:
            self._at_most_once.add(request_id)

    def record_execution(
        self,
        request_id: str,
        target: str,
        old_key: bool,
        now_ms: int,
        must_know_changes: bool = True,
    ) -> None:
        """Record that a target started to process a request.

        :param request_id: the request.
        :param target: the id of the target.
        :param old_key: whether the request carries the key that is revoked.
        :param now_ms: the time, in ms on the soak's clock.
        :param must_know_changes: whether the request's router must know the
            changes that are ``MAX_LEAVING_DELAY_MS`` old; false if faults in
            that time, such as a freeze, may have kept them from it.
        """
        executions = self._executions[request_id]
        executions.append(Execution(target, now_ms))
        if request_id in self._at_most_once and len(executions) > 1:
            self.violations.append(f"{request_id} ran {len(executions)} times")
        if request_id in self._refused and request_id in self._at_most_once:
            self.violations.append(f"{request_id} ran after 'not run'")
        left_ms = self._leaving_since_ms.get(target)
        overdue = (
            left_ms is not None and now_ms - left_ms > MAX_LEAVING_DELAY_MS
        )
        if overdue and must_know_changes:
            self.violations.append(f"{request_id} ran at {target}, which left")
        if old_key and self._revoked_ms is not None:
            late_ms = now_ms - self._revoked_ms
            if late_ms > MAX_REVOCATION_DELAY_MS:
                self.violations.append(
                    f"{request_id} ran {late_ms} ms after its key was revoked"
                )

    def record_end(
        self, request_id: str, target: str, now_ms: int, fault_free_ms: int
    ) -> None:
        """Record that a target stopped to process a request.

        It is a violation if the request has gone on at another target, and
        nothing kept the router from telling this one.

        :param request_id: the request.
        :param target: the id of the target.
        :param now_ms: the time, in ms on the soak's clock.
        :param fault_free_ms: time in ms since the last fault of the router
            or of its path to the target.
        """
        executions = self._executions[request_id]
        first = next(e for e in executions if e.target == target)
        for later in executions[executions.index(first) + 1 :]:
            overlap_ms = now_ms - later.started_ms
            if (
                later.target != target
                and overlap_ms > MAX_OVERLAP_MS
                and fault_free_ms > STABILITY_MS
            ):
                self.violations.append(
                    f"{request_id} went on at {later.target} while {target} "
                    f"was at work on it for {overlap_ms} ms, {fault_free_ms} "
                    "ms after the last fault between them"
                )

    def check_repeats(self) -> None:
        """Find the window with the most repeats beyond the budget, if any."""
        worst = self.repeats.worst()
        if worst is not None and worst.excess > 0:
            self.violations.append(
                f"{worst.repeats} repeats from {worst.start_ms} ms on for "
                f"{worst.requests} requests; allowed {worst.allowed:.0f}"
            )

    def record_response(
        self,
        request_id: str,
        status: int,
        response_id: str,
        complete: bool,
        old_key: bool = False,
    ) -> None:
        """Record the final response that a caller got.

        :param request_id: the request.
        :param status: HTTP status.
        :param response_id: the request id that the response names.
        :param complete: whether the body is the complete body that the target
            sent for this request.
        :param old_key: whether the request carried the key that is revoked.
        """
        self.outcomes[str(status)] += 1
        if response_id and response_id != request_id:
            self.violations.append(
                f"{request_id} got {response_id}'s response"
            )
        if status == 200 and not complete:
            self.violations.append(f"{request_id} got an incomplete body")
        if status in NOT_RUN_STATUSES:
            self._refused.add(request_id)
            if request_id in self._at_most_once and self._executions.get(
                request_id
            ):
                self.violations.append(f"{request_id} ran, but got {status}")
        revoked = old_key and self._revoked_ms is not None
        if status == 404 or (status == 401 and not revoked):
            self.violations.append(f"{request_id} was denied with {status}")

    def record_lost(self, reason: str) -> None:
        """Record a request without a response."""
        self.outcomes[reason] += 1
