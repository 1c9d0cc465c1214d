"""Evidence that a part of a prompt crashes targets.

A target that crashes breaks off all its responses, so most of the prompts at
a crash have nothing to do with it. Those whose response had begun, but had no
event yet, are under suspicion. A part that crashes targets is in such a prompt
at each of its crashes and never gets an event; a part that gets an event after
a crash is cleared of it.

The fingerprint of a request counts as one more part of its prompt. Other
requests share the parts and clear them, so it is all that remains if a single
request crashes targets. Requests whose response had not begun probably waited:
only their fingerprints are evidence, and only at crashes with no better one.

Routers tell each other their crashes and the parts that they cleared, as the
requests with a part arrive at any router, and each sees only its own.
"""

import collections
from collections import abc
import dataclasses
import itertools

from bulrushdale import clock as clock_module

# A crash is evidence for this long, several times the longest quarantine.
CRASH_TTL_MS = 3_600_000
# Other routers' crashes are accepted up to this age, so that routers don't
# return expired ones to each other.
MAX_ACCEPTED_AGE_MS = CRASH_TTL_MS - 10_000
# Crashes remembered, the latest ones: a rack of targets and a few more.
MAX_CRASHES = 128
# Prompts remembered per crash. A target begins few responses at a time.
MAX_PROMPTS = 16
# Waiting requests remembered per crash.
MAX_WAITING = 32
# Parts remembered per prompt, the last ones of a long chat.
MAX_PARTS = 32
# Parts remembered in all, which bounds the time to find culprits to 10 ms.
MAX_EVIDENCE_PARTS = 4_096
# Crashes within this time count once: a rack or a data centre that fails takes
# down many targets at the same time, and any popular part with them.
SIMULTANEOUS_MS = 100
# Between crashes that count as two against a request: it may have gone from
# one target to the next. A rack goes down within less.
MIN_CRASH_INTERVAL_MS = 20
# A new crash, and a cleared part, is in all reports for this time. Collectors
# pass reports on every 250 to 800 ms.
REPORTED_FOR_MS = 2_000
# Cleared parts remembered, for reports of earlier crashes that arrive late.
MAX_CLEARED = 1_024
# Cleared parts per report.
MAX_REPORTED_CLEARED = 64
# Parts in the crashes of a report, about 1 KB compressed; the latest crash is
# reported with all its parts.
MAX_REPORTED_PARTS = 128

# Hashes of the parts of a prompt.
Prompt = frozenset[int]
# The last bits of hashes of fingerprints, which tell them from other parts.
_FINGERPRINT_MASK = 0xFFFF
_FINGERPRINT_TAG = 0x5251


def tag_fingerprint(part: int) -> int:
    """Return the hash by which routers name the fingerprint of a request."""
    return (part & ~_FINGERPRINT_MASK) | _FINGERPRINT_TAG


def is_fingerprint(part: int) -> bool:
    """Return whether a hash names a request, not a part of a prompt."""
    return part & _FINGERPRINT_MASK == _FINGERPRINT_TAG


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """A crash of a target, as routers report it to each other.

    :param target_id: id of the target.
    :param started_ms: when the target started, in ms since the epoch; a start
        crashes once.
    :param age_ms: time since the crash, in ms.
    :param prompts: hashes of the parts of each prompt under suspicion.
    :param waiting: hashes of the fingerprints of the requests whose response
        had not begun.
    """

    target_id: str
    started_ms: int
    age_ms: int
    prompts: tuple[tuple[int, ...], ...]
    waiting: tuple[int, ...] = ()

    @property
    def size(self) -> int:
        """Number of hashes in it."""
        return sum(map(len, self.prompts)) + len(self.waiting)


@dataclasses.dataclass(frozen=True, slots=True)
class Culprit:
    """Parts that explain several crashes.

    :param parts: hashes of the parts; a prompt is meant if it has all of them.
    :param crashes: number of crashes that they explain.
    :param last_crash_ms: time of the last one, in ms of the clock.
    :param separate_crashes: the same, where simultaneous crashes count once.
    :param ambiguous: whether other parts explain one of the crashes as well.
    """

    parts: Prompt
    crashes: int
    last_crash_ms: int
    separate_crashes: int = 0
    ambiguous: bool = False

    @property
    def fingerprint(self) -> int | None:
        """The request that it stands for; none for parts of prompts."""
        return next(filter(is_fingerprint, self.parts), None)


def limit_reports(
    reports: abc.Iterable[CrashReport],
) -> tuple[CrashReport, ...]:
    """Return the first crashes, as far as they fit into a report."""
    found: list[CrashReport] = []
    parts = 0
    for report in reports:
        parts += report.size
        if found and parts > MAX_REPORTED_PARTS:
            break
        found.append(report)
    return tuple(found)


class Crash:
    """What is known about the crash of one start of a target.

    :param crashed_ms: when it crashed, in ms of the clock.
    :param learned_ms: when this router learned of it, in ms of the clock.

    :ivar prompts: the prompts under suspicion, without cleared parts.
    :ivar waiting: prompts of one part, the fingerprints of the requests whose
        response had not begun.
    :ivar announced: whether this router tells the others of it.
    """

    __slots__ = (
        "crashed_ms",
        "learned_ms",
        "prompts",
        "waiting",
        "announced",
    )

    def __init__(self, crashed_ms: int, learned_ms: int) -> None:
        self.crashed_ms = crashed_ms
        self.learned_ms = learned_ms
        self.prompts: set[Prompt] = set()
        self.waiting: set[Prompt] = set()
        self.announced = False

    @property
    def size(self) -> int:
        """Number of parts in all prompts."""
        return sum(map(len, self.prompts)) + len(self.waiting)

    @property
    def suspects(self) -> set[Prompt]:
        """The prompts of which one probably crashed the target."""
        return self.prompts or self.waiting

    def add(
        self, prompts: abc.Iterable[Prompt], waiting: abc.Iterable[Prompt]
    ) -> bool:
        """Add prompts up to the maximum; return whether any is new."""
        known = len(self.prompts) + len(self.waiting)
        for found, added, most in (
            (self.prompts, prompts, MAX_PROMPTS),
            (self.waiting, waiting, MAX_WAITING),
        ):
            for prompt in added:
                if prompt and len(found) < most:
                    found.add(prompt)
        return len(self.prompts) + len(self.waiting) > known

    def clear(self, parts: abc.Collection[int]) -> None:
        """Remove parts from all prompts, and prompts without any part."""
        cleared = {prompt.difference(parts) for prompt in self.prompts}
        self.prompts = {prompt for prompt in cleared if prompt}
        self.waiting = {p for p in self.waiting if p.isdisjoint(parts)}


class CrashEvidence:
    """The crashes that this router and others have seen lately.

    :param clock: the clock.

    :ivar revision: grows with each change.
    """

    __slots__ = (
        "_clock",
        "_crashes",
        "_cleared_ms",
        "_suspected",
        "_suspected_revision",
        "revision",
    )

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        # By id and start of the target, the earliest known first.
        self._crashes: collections.OrderedDict[tuple[str, int], Crash] = (
            collections.OrderedDict()
        )
        self._cleared_ms: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        # Parts under suspicion, computed on demand.
        self._suspected: Prompt = frozenset()
        self._suspected_revision = 0
        self.revision = 0

    def __bool__(self) -> bool:
        return bool(self._crashes)

    def _suspected_parts(self) -> Prompt:
        """Return the parts under suspicion."""
        if self._suspected_revision != self.revision:
            self._suspected_revision = self.revision
            self._suspected = frozenset().union(
                *(
                    prompt
                    for crash in self._crashes.values()
                    for prompt in (*crash.prompts, *crash.waiting)
                )
            )
        return self._suspected

    def _by_suspicion(self, prompts: abc.Iterable[Prompt]) -> list[Prompt]:
        """Return prompts, those with parts that were at earlier crashes first.

        A crash has room for some of them only, and the one that crashes
        targets is at each crash.
        """
        return sorted(prompts, key=self._suspected_parts().isdisjoint)

    def record(self, report: CrashReport, announce: bool = False) -> None:
        """Record a crash, or more prompts of a known one.

        :param report: the crash.
        :param announce: whether to tell the other routers of it, as no other
            router reported it.
        """
        if report.age_ms > MAX_ACCEPTED_AGE_MS:
            return
        now_ms = self._clock.now_ms()
        crashed_ms = now_ms - max(0, report.age_ms)
        key = (report.target_id, report.started_ms)
        crash = self._crashes.get(key)
        if crash is None:
            crash = Crash(crashed_ms, now_ms)
        crash.announced |= announce
        crash.crashed_ms = min(crash.crashed_ms, crashed_ms)

        def uncleared(parts: abc.Iterable[int]) -> Prompt:
            return frozenset(
                part
                for part in parts
                if self._cleared_ms.get(part, -1) < crash.crashed_ms
            )

        changed = crash.add(
            self._by_suspicion(
                uncleared(parts[-MAX_PARTS:]) for parts in report.prompts
            ),
            self._by_suspicion(uncleared([part]) for part in report.waiting),
        )
        if not changed:
            return
        self._crashes[key] = crash
        self.revision += 1
        self._evict()

    def _evict(self) -> None:
        """Forget the earliest crashes above the maximum."""
        parts = sum(crash.size for crash in self._crashes.values())
        while parts > MAX_EVIDENCE_PARTS or len(self._crashes) > MAX_CRASHES:
            _, evicted = self._crashes.popitem(last=False)
            parts -= evicted.size

    def clear(self, parts: abc.Collection[int]) -> None:
        """Clear parts of all crashes so far, as they got an event since.

        :param parts: hashes of the parts.
        """
        if self._suspected_parts().isdisjoint(parts):
            return
        for key, crash in list(self._crashes.items()):
            crash.clear(parts)
            if not crash.suspects:
                del self._crashes[key]
        self.revision += 1
        self.record_cleared(parts)

    def record_cleared(self, parts: abc.Iterable[int]) -> None:
        """Remember that parts were cleared, and tell the other routers."""
        now_ms = self._clock.now_ms()
        for part in parts:
            self._cleared_ms[part] = now_ms
            self._cleared_ms.move_to_end(part)
        while len(self._cleared_ms) > MAX_CLEARED:
            self._cleared_ms.popitem(last=False)

    def was_cleared(self, part: int) -> bool:
        """Return whether a part was cleared lately."""
        return part in self._cleared_ms

    def expire(self) -> None:
        """Forget crashes that are too old to be evidence."""
        oldest_ms = self._clock.now_ms() - CRASH_TTL_MS
        for key, crash in list(self._crashes.items()):
            if crash.crashed_ms < oldest_ms:
                del self._crashes[key]
                self.revision += 1

    def crashes(self) -> list[Crash]:
        """Return the crashes, the earliest known first."""
        return list(self._crashes.values())

    def reports(
        self, is_reported: abc.Callable[[Crash], bool]
    ) -> tuple[CrashReport, ...]:
        """Return the crashes to report to other routers, the latest first.

        :param is_reported: whether a crash is reported now.
        """
        now_ms = self._clock.now_ms()
        return limit_reports(
            CrashReport(
                target_id,
                started_ms,
                now_ms - crash.crashed_ms,
                tuple(tuple(sorted(prompt)) for prompt in crash.prompts),
                tuple(part for prompt in crash.waiting for part in prompt),
            )
            for (target_id, started_ms), crash in reversed(
                self._crashes.items()
            )
            if is_reported(crash)
        )

    def recently_cleared(self) -> tuple[int, ...]:
        """Return the parts cleared lately, for reports to other routers."""
        oldest_ms = self._clock.now_ms() - REPORTED_FOR_MS
        return tuple(
            part
            for part, cleared_ms in self._cleared_ms.items()
            if cleared_ms >= oldest_ms
        )[-MAX_REPORTED_CLEARED:]


def find_culprits(
    crashes: abc.Iterable[Crash], min_crashes: int
) -> list[Culprit]:
    """Return the parts that explain several crashes.

    The parts of the most crashes come first. What they explain is no evidence
    against the others, which only happened to be there.

    :param crashes: the crashes.
    :param min_crashes: number of crashes that a part has to explain.
    """
    unexplained = list(crashes)
    found: list[Culprit] = []
    while True:
        culprits = _most_frequent(unexplained, min_crashes)
        if not culprits:
            return found
        found += culprits
        unexplained = [
            crash
            for crash in unexplained
            if not any(
                culprit.parts <= prompt
                for culprit in culprits
                for prompt in crash.suspects
            )
        ]


def _most_frequent(
    crashes: abc.Iterable[Crash], min_crashes: int
) -> list[Culprit]:
    """Return the parts that explain the most crashes, if there are enough.

    Parts that were always together are one culprit: nothing tells which of
    them it is. Among parts of equally many crashes, one that was in more
    prompts is left out, because not all of its prompts are needed to explain
    the crashes.
    """
    places: dict[int, set[tuple[int, Prompt]]] = collections.defaultdict(set)
    for crash in crashes:
        for prompt in crash.suspects:
            for part in prompt:
                places[part].add((crash.crashed_ms, prompt))
    counts = {
        part: _count_distinct(
            {crashed_ms for crashed_ms, _ in found},
            MIN_CRASH_INTERVAL_MS if is_fingerprint(part) else SIMULTANEOUS_MS,
        )
        for part, found in places.items()
    }
    most = max(counts.values(), default=0)
    if most < min_crashes:
        return []
    tied = [part for part, count in counts.items() if count == most]
    culprits = {}
    for part in tied:
        if any(places[other] < places[part] for other in tied):
            continue
        together = frozenset.intersection(*(p for _, p in places[part]))
        culprits[together] = {crashed_ms for crashed_ms, _ in places[part]}
    explained = collections.Counter(itertools.chain(*culprits.values()))
    return [
        Culprit(
            parts,
            most,
            max(times_ms),
            _count_distinct(times_ms, SIMULTANEOUS_MS),
            any(explained[time_ms] > 1 for time_ms in times_ms),
        )
        for parts, times_ms in culprits.items()
    ]


def _count_distinct(times_ms: abc.Iterable[int], interval_ms: int) -> int:
    """Return the number of crashes, where simultaneous ones count once.

    :param times_ms: when they happened, in ms.
    :param interval_ms: crashes further apart than this count as two.
    """
    count = 0
    last_ms: int | None = None
    for time_ms in sorted(times_ms):
        if last_ms is None or time_ms - last_ms > interval_ms:
            count += 1
            last_ms = time_ms
    return count
