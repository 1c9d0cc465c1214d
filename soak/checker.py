"""What callers and targets saw, checked against the promises."""

import collections
import dataclasses

# A key may work for so long after it was taken away.
REVOKE_MS = 5_000
# A target may get work for so long after its entry said that it leaves.
LEAVE_MS = 2_500
# A router that a target told something acts on it after so long.
TOLD_MS = 500
# Requests that may be on their way to a target that asked for a pause.
MOST_ON_THEIR_WAY = 2
# Statuses that promise that a request has not run.
NOT_RUN = (408, 421, 429, 503)


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that a target began to work on.

    :param target: the target's name.
    :param at_ms: when, on the soak's clock.
    :param key_sent_ms: when the caller sent it.
    """

    target: str
    at_ms: int


@dataclasses.dataclass(slots=True)
class Told:
    """What a target told one router in an answer.

    :param at_ms: when, on the soak's clock.
    :param until_ms: the end of the pause that it asked for; none if it
        leaves.
    :param arrived: requests of that router that arrived all the same.
    """

    at_ms: int
    until_ms: int | None = None
    arrived: int = 0


class Checker:
    """Collects what was seen, and what breaks a promise.

    :ivar broken: one line for each broken promise.
    :ivar answers: how many requests ended with each status.
    :ivar trace: the faults of the run and where its logs are, if a promise
        was broken.
    """

    def __init__(self) -> None:
        self.broken: list[str] = []
        self.trace: list[str] = []
        self.answers: collections.Counter[str] = collections.Counter()
        self._runs: dict[str, list[Run]] = collections.defaultdict(list)
        self._refused: set[str] = set()
        self._once: set[str] = set()
        self._left_ms: dict[str, int] = {}
        self._revoked_ms: int | None = None
        self._leaving: dict[tuple[str, str], Told] = {}
        self._resting: dict[tuple[str, str], Told] = {}

    def told_leaving(self, target: str, router: str, now_ms: int) -> None:
        """Note that a target told a router that it leaves."""
        self._leaving.setdefault((target, router), Told(now_ms))

    def told_rest(
        self, target: str, router: str, now_ms: int, rest_ms: int
    ) -> None:
        """Note that a target asked a router for a pause."""
        self._resting[target, router] = Told(now_ms, now_ms + rest_ms)

    def arrived(
        self, target: str, router: str, now_ms: int, calm_ms: int
    ) -> None:
        """Note that a request arrived, whether it runs or not.

        :param target: the target's name.
        :param router: the router that sent it.
        :param now_ms: the time, on the soak's clock.
        :param calm_ms: for how long the router and its way to the target
            were left alone by faults.
        """
        for known in (self._leaving, self._resting):
            told = known.get((target, router))
            if told is None:
                continue
            since_ms = now_ms - told.at_ms
            if calm_ms < since_ms:
                del known[target, router]
                continue
            over = told.until_ms is not None and now_ms >= told.until_ms
            if over or since_ms <= TOLD_MS:
                continue
            told.arrived += 1
            if told.until_ms is None:
                self.broken.append(f"{router} asks {target}, which leaves")
            elif told.arrived > MOST_ON_THEIR_WAY:
                self.broken.append(f"{router} asks {target}, which rests")

    def left(self, target: str, now_ms: int) -> None:
        """Note that a target's entry says that it leaves."""
        self._left_ms[target] = now_ms

    def revoked(self, now_ms: int) -> None:
        """Note that the old key was taken away."""
        self._revoked_ms = now_ms

    def sent(self, request_id: str, once: bool) -> None:
        """Note that a caller sent a request."""
        if once:
            self._once.add(request_id)

    def ran(
        self,
        request_id: str,
        target: str,
        old_key: bool,
        now_ms: int,
        informed: bool = True,
    ) -> None:
        """Note that a target began a request.

        :param request_id: the request.
        :param target: the target's name.
        :param old_key: whether it came with the key that is taken away.
        :param now_ms: the time, on the soak's clock.
        :param informed: whether its router must know what changed
            ``LEAVE_MS`` ago; not one that was frozen meanwhile.
        """
        runs = self._runs[request_id]
        runs.append(Run(target, now_ms))
        if request_id in self._once and len(runs) > 1:
            self.broken.append(f"{request_id} ran {len(runs)} times")
        if request_id in self._refused and request_id in self._once:
            self.broken.append(f"{request_id} ran after 'not run'")
        left_ms = self._left_ms.get(target)
        known = left_ms is not None and now_ms - left_ms > LEAVE_MS
        if known and informed:
            self.broken.append(f"{request_id} at {target}, which left")
        if old_key and self._revoked_ms is not None:
            late_ms = now_ms - self._revoked_ms
            if late_ms > REVOKE_MS:
                self.broken.append(f"{request_id} ran {late_ms} ms revoked")

    def answered(
        self,
        request_id: str,
        status: int,
        answer_id: str,
        whole: bool,
        old_key: bool = False,
    ) -> None:
        """Note a caller's final answer.

        :param request_id: the request.
        :param status: HTTP status.
        :param answer_id: the request that the answer names.
        :param whole: whether its body is the target's whole body, for it.
        :param old_key: whether it was sent with the key that is taken away.
        """
        self.answers[str(status)] += 1
        if answer_id and answer_id != request_id:
            self.broken.append(f"{request_id} got {answer_id}'s answer")
        if status == 200 and not whole:
            self.broken.append(f"{request_id} got a body that isn't whole")
        if status in NOT_RUN:
            self._refused.add(request_id)
            if request_id in self._once and self._runs.get(request_id):
                self.broken.append(f"{request_id} ran, but {status}")
        revoked = old_key and self._revoked_ms is not None
        if status == 404 or (status == 401 and not revoked):
            self.broken.append(f"{request_id} denied with {status}")

    def lost(self, reason: str) -> None:
        """Note a request without an answer."""
        self.answers[reason] += 1
