"""Quarantine of requests and prompt parts that crash targets.

A request that crashes its target would crash the next one too, and each crash
breaks off the responses of all other callers there. Once a part of a prompt
explains several crashes, requests with it are refused for some time. Then each
router lets single requests pass: an event ends the quarantine, another crash
makes it longer. The fingerprint of a request counts as one more part of its
prompt; a request that explains the crashes alone is blocked.
"""

from collections import abc
import contextlib
import dataclasses
import logging

from bulrushdale import clock as clock_module
from bulrushdale import hashing
from bulrushdale.routing import blocked_requests
from bulrushdale.routing import crash_evidence

LOG = logging.getLogger(__name__)

# Crashes that a part has to explain. Two happen by chance: a request that is
# repeated after the crash of its target may meet the next one.
MIN_CRASHES = 3
# A request isn't repeated if its parts explain this many crashes.
MIN_CRASHES_TO_STOP_RETRIES = 2
# A crash counts against parts of prompts after this time. Until then another
# router may report a prompt that explains it, or clear a part.
SETTLE_MS = 300
# First quarantine; it doubles with each further crash.
QUARANTINE_MS = 30_000
MAX_QUARANTINE_MS = 600_000
# Routers spread the end over this share of the quarantine, so that the first
# one finds out for all.
JITTER_SHARE = 0.5
# A trial that brought neither an event nor a crash ends after this time.
TRIAL_MS = 10_000
# Crashes behind a quarantine are reported again during one second in four, for
# routers that have just started.
REPEAT_INTERVAL_MS = 4_000
REPEAT_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Withheld:
    """A request that is withheld from all targets.

    :param remaining_ms: for how long, in ms.
    :param part_ids: the parts of its prompt that are in quarantine.
    :param crashes: number of crashes that they explain.
    """

    remaining_ms: int
    part_ids: tuple[str, ...]
    crashes: int


class Quarantine:
    """Decides which requests are withheld from all targets.

    :param evidence: the crashes of targets.
    :param name: name of this router, which spreads the end of quarantines.
    :param clock: the clock.
    """

    __slots__ = (
        "_evidence",
        "_blocked",
        "_name",
        "_clock",
        "_culprits",
        "_suspects",
        "_revision",
        "_valid_until_ms",
        "_trials_until_ms",
        "_watches",
    )

    def __init__(
        self,
        evidence: crash_evidence.CrashEvidence,
        name: str,
        clock: clock_module.Clock,
    ) -> None:
        self._evidence = evidence
        self._blocked = blocked_requests.BlockedRequests(clock)
        self._name = name
        self._clock = clock
        self._culprits: list[crash_evidence.Culprit] = []
        self._suspects: list[crash_evidence.Culprit] = []
        self._revision = 0
        self._valid_until_ms = 0
        # Ends of the trials under way, by the parts on trial.
        self._trials_until_ms: dict[crash_evidence.Prompt, int] = {}
        # Services, prompts and fingerprints of the requests that wait for an
        # event, by their callback.
        self._watches: dict[
            abc.Callable[[], None], tuple[str, abc.Sequence[str], str]
        ] = {}

    def _evaluate(self) -> None:
        """Find the culprits again, if the evidence changed or settled."""
        now_ms = self._clock.now_ms()
        is_current = self._revision == self._evidence.revision
        if is_current and now_ms < self._valid_until_ms:
            return
        self._evidence.expire()
        crashes = self._evidence.crashes()
        previous = self._culprits
        self._culprits = crash_evidence.find_culprits(
            (c for c in crashes if c.crashed_ms + SETTLE_MS <= now_ms),
            MIN_CRASHES,
        )
        settled = {culprit.fingerprint for culprit in self._culprits}
        # Other requests can't clear a single one, so it needn't settle.
        self._culprits += [
            culprit
            for culprit in crash_evidence.find_culprits(crashes, MIN_CRASHES)
            if culprit.fingerprint is not None
            and culprit.fingerprint not in settled
        ]
        self._suspects = crash_evidence.find_culprits(
            crashes, MIN_CRASHES_TO_STOP_RETRIES
        )
        self._revision = self._evidence.revision
        changes_ms = [
            crash.crashed_ms + delay_ms
            for crash in crashes
            for delay_ms in (SETTLE_MS, crash_evidence.CRASH_TTL_MS)
        ]
        self._valid_until_ms = min(
            (change_ms for change_ms in changes_ms if change_ms > now_ms),
            default=now_ms,
        )
        self._trials_until_ms = {
            parts: until_ms
            for parts, until_ms in self._trials_until_ms.items()
            if until_ms > now_ms
        }
        self._log_changes(previous)
        self._withdraw([c for c in self._culprits if c not in previous])

    def _withdraw(
        self, culprits: abc.Sequence[crash_evidence.Culprit]
    ) -> None:
        """Call back the requests that wait at a target with these parts."""
        self._withdraw_any([culprit.parts for culprit in culprits])

    def _withdraw_any(
        self, parts: abc.Sequence[crash_evidence.Prompt]
    ) -> None:
        """Call back the waiting requests that have all of any of these."""
        if not parts:
            return
        for withdraw, request in list(self._watches.items()):
            prompt = hash_request(*request)
            if any(withdrawn <= prompt for withdrawn in parts):
                self.stop_watching(withdraw)
                withdraw()

    @contextlib.contextmanager
    def watch(
        self,
        service: str,
        part_ids: abc.Sequence[str],
        fingerprint: str,
        withdraw: abc.Callable[[], None],
    ) -> abc.Iterator[None]:
        """Watch a request that waits at a target within the context.

        :param service: the service that runs it.
        :param part_ids: the shared parts of its prompt.
        :param fingerprint: name of the request.
        :param withdraw: called once it is known to crash its target, unless
            :meth:`stop_watching` was called before.
        """
        self._watches[withdraw] = (service, part_ids, fingerprint)
        try:
            yield
        finally:
            self.stop_watching(withdraw)

    def stop_watching(self, withdraw: abc.Callable[[], None]) -> None:
        """Stop watching a request, as it got an event or ended."""
        self._watches.pop(withdraw, None)

    def _log_changes(
        self, previous: abc.Sequence[crash_evidence.Culprit]
    ) -> None:
        """Log the quarantines that began, grew longer or ended."""
        now_ms = self._clock.now_ms()
        parts_now = {culprit.parts for culprit in self._culprits}
        for culprit in self._culprits:
            if culprit not in previous:
                LOG.warning(
                    "prompt parts quarantined",
                    extra={
                        "event": "prompt.quarantined",
                        "parts": _format_parts(culprit.parts),
                        "crashes": culprit.crashes,
                        "for_ms": self._ends_ms(culprit) - now_ms,
                    },
                )
        for culprit in previous:
            if culprit.parts not in parts_now:
                LOG.info(
                    "prompt parts released",
                    extra={
                        "event": "prompt.released",
                        "parts": _format_parts(culprit.parts),
                        "crashes": culprit.crashes,
                    },
                )

    def check(
        self,
        service: str,
        part_ids: abc.Sequence[str],
        fingerprint: str,
        record: bool = True,
    ) -> Withheld | None:
        """Return why a request is withheld; none if it may be sent now.

        After a quarantine a request that may be sent counts as its trial. A
        request that explains the crashes alone gets no trial but is blocked.

        :param service: the service that is to run it.
        :param part_ids: the shared parts of its prompt.
        :param fingerprint: name of the request, equal each time that it comes.
        :param record: whether to count it as a trial and block it; otherwise
            nothing changes.
        """
        if not (self.active() or self._blocked):
            return None
        prompt = hash_request(service, part_ids, fingerprint)
        matching = [c for c in self._culprits if c.parts <= prompt]
        if record:
            for culprit in matching:
                self._block_if_proved(culprit)
        blocked = self._blocked.find(prompt)
        if blocked is not None:
            return Withheld(
                blocked.remaining_ms, (fingerprint,), blocked.crashes
            )
        now_ms = self._clock.now_ms()
        for culprit in matching:
            remaining_ms = self._ends_ms(culprit) - now_ms
            if remaining_ms > 0:
                named = tuple(
                    part_id
                    for part_id in part_ids
                    if hash_parts(service, [part_id]) <= culprit.parts
                )
                if culprit.fingerprint is not None:
                    named = (*named, fingerprint)
                return Withheld(remaining_ms, named, culprit.crashes)
        for culprit in matching if record else ():
            self._trials_until_ms[culprit.parts] = now_ms + TRIAL_MS
        return None

    def _block_if_proved(self, culprit: crash_evidence.Culprit) -> None:
        """Block a request that alone explains several separate crashes."""
        fingerprint = culprit.fingerprint
        if (
            fingerprint is None
            or culprit.ambiguous
            or culprit.separate_crashes < MIN_CRASHES
        ):
            return
        age_ms = self._clock.now_ms() - culprit.last_crash_ms
        report = blocked_requests.BlockReport(
            fingerprint,
            blocked_requests.BLOCK_TTL_MS - age_ms,
            culprit.crashes,
        )
        if self._blocked.add(report):
            _log_block(report, "it explains several crashes")

    def merge_blocks(
        self, reports: abc.Iterable[blocked_requests.BlockReport], source: str
    ) -> None:
        """Block the requests that another router or the store knows.

        :param reports: the blocked requests.
        :param source: where they come from, for logs.
        """
        added = [
            report
            for report in reports
            if not self._evidence.was_cleared(report.fingerprint)
            and self._blocked.add(report)
        ]
        for report in added:
            _log_block(report, source)
        self._withdraw_any([frozenset((r.fingerprint,)) for r in added])

    def blocks(self) -> list[blocked_requests.BlockReport]:
        """Return the blocked requests."""
        return self._blocked.all()

    def blocks_to_report(self) -> tuple[blocked_requests.BlockReport, ...]:
        """Return the blocked requests to report to other routers now."""
        return self._blocked.take_to_report()

    def clear(self, parts: abc.Collection[int]) -> None:
        """Clear requests and parts of prompts, as targets bear them.

        :param parts: their hashes.
        """
        self._evidence.clear(parts)
        self._evidence.record_cleared(self._blocked.lift(parts))

    def _ends_ms(self, culprit: crash_evidence.Culprit) -> int:
        """Return when a request with these parts may pass next."""
        trial_until_ms = self._trials_until_ms.get(culprit.parts, 0)
        return max(quarantine_end_ms(culprit, self._name), trial_until_ms)

    def may_repeat(
        self, service: str, part_ids: abc.Sequence[str], fingerprint: str
    ) -> bool:
        """Return whether a request may be sent again after a crash.

        :param service: the service that is to run it.
        :param part_ids: the shared parts of its prompt.
        :param fingerprint: name of the request.
        """
        if not self._evidence:
            return True
        self._evaluate()
        prompt = hash_request(service, part_ids, fingerprint)
        return not any(culprit.parts <= prompt for culprit in self._suspects)

    def record_event(
        self, service: str, part_ids: abc.Sequence[str], fingerprint: str
    ) -> None:
        """Record that a request got an event, which clears it and its prompt.

        :param service: the service that runs it.
        :param part_ids: the shared parts of the prompt.
        :param fingerprint: name of the request.
        """
        if self._evidence or self._blocked:
            self.clear(hash_request(service, part_ids, fingerprint))

    def active(self) -> abc.Sequence[crash_evidence.Culprit]:
        """Return the parts in quarantine."""
        if self._evidence or self._culprits:
            self._evaluate()
        return self._culprits

    def crashes_behind(
        self, culprit: crash_evidence.Culprit
    ) -> tuple[crash_evidence.CrashReport, ...]:
        """Return the crashes that a culprit explains, the latest first."""
        return self._evidence.reports(
            lambda crash: any(culprit.parts <= p for p in crash.suspects)
        )

    def crashes_to_report(self) -> tuple[crash_evidence.CrashReport, ...]:
        """Return the crashes to report to other routers now."""
        now_ms = self._clock.now_ms()
        culprits = self.active()
        repeats = now_ms % REPEAT_INTERVAL_MS < REPEAT_MS

        def is_reported(crash: crash_evidence.Crash) -> bool:
            age_ms = now_ms - crash.learned_ms
            if crash.announced and age_ms < crash_evidence.REPORTED_FOR_MS:
                return True
            return repeats and any(
                culprit.parts <= prompt
                for culprit in culprits
                for prompt in crash.suspects
            )

        return self._evidence.reports(is_reported)


def _log_block(report: blocked_requests.BlockReport, reason: str) -> None:
    LOG.warning(
        "request blocked",
        extra={
            "event": "prompt.blocked",
            "parts": _format_parts(frozenset((report.fingerprint,))),
            "crashes": report.crashes,
            "for_ms": report.remaining_ms,
            "reason": reason,
        },
    )


def _format_parts(parts: crash_evidence.Prompt) -> list[str]:
    return [f"{part:016x}" for part in sorted(parts)]


def hash_parts(
    service: str, part_ids: abc.Iterable[str]
) -> crash_evidence.Prompt:
    """Return the hashes by which routers name the parts of a prompt."""
    return frozenset(
        hashing.hash64(f"{service} {part_id}".encode()) for part_id in part_ids
    )


def hash_fingerprint(service: str, fingerprint: str) -> int:
    """Return the hash by which routers name a request."""
    return crash_evidence.tag_fingerprint(
        hashing.hash64(f"{service} {fingerprint}".encode())
    )


def hash_request(
    service: str, part_ids: abc.Iterable[str], fingerprint: str
) -> crash_evidence.Prompt:
    """Return the hashes of the parts of a prompt and of its request."""
    return hash_parts(service, part_ids) | {
        hash_fingerprint(service, fingerprint)
    }


def quarantine_end_ms(
    culprit: crash_evidence.Culprit, router_name: str
) -> int:
    """Return when a router lets a first request pass, in ms of its clock."""
    doublings = culprit.crashes - MIN_CRASHES
    duration_ms = min(QUARANTINE_MS << doublings, MAX_QUARANTINE_MS)
    spread = hashing.fraction(f"{router_name} {culprit.last_crash_ms}")
    jitter_ms = int(duration_ms * JITTER_SHARE * spread)
    return culprit.last_crash_ms + duration_ms + jitter_ms
