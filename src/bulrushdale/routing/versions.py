"""Software versions of a service's targets, and which one began a stream.

What two versions write doesn't fit together, so a stream goes on only at the
version that began it. The caller may take it up at any router, after all
routers were lost. Nothing is kept for most streams: while several versions
serve, the id of a stream determines its version, by the number of targets of
each version. A router that knows these numbers for as long as a stream may
last computes the version again.

A stream whose version doesn't follow, as the numbers were changing or its
version had no target, is told to the other routers. One that starts asks them
for what they told before.
"""

import asyncio
import collections
from collections import abc
import dataclasses
import math

from bulrushdale import clock as clock_module
from bulrushdale import hashing

# Compositions are remembered this long; no stream lasts as long.
HISTORY_MS = 120_000
# Compositions remembered per service; a service of several hundred targets
# that are replaced one by one in a minute.
MAX_COMPOSITIONS = 512
# Routers see a change of the list at different times, and clocks differ.
MARGIN_MS = 3_000
# Streams remembered, the latest ones. Each takes about 200 bytes.
MAX_STREAMS = 8_192
# A stream is in all reports for this time. Collectors pass reports on every
# 250 to 800 ms.
REPORTED_FOR_MS = 2_000
# Streams per report, 9 bytes each.
MAX_REPORTED_STREAMS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Composition:
    """How many targets of a service run each version.

    :param counts: pairs of a version and the number of its targets, sorted.
    """

    counts: tuple[tuple[str, int], ...]

    def preferences(self, stream_id: str) -> list[str | None]:
        """Return the versions to choose a target of, the preferred first.

        None stands for any.

        :param stream_id: id of a stream that begins.
        """
        if len(self.counts) < 2:
            return [None]
        return [self.version_of(stream_id), None]

    def version_of(self, stream_id: str) -> str | None:
        """Return the version of a stream; none if there is no target.

        Weighted rendezvous hashing: a target that joins or leaves changes the
        version of few streams.

        :param stream_id: id of the stream.
        """
        if len(self.counts) == 1:
            return self.counts[0][0]
        return max(
            (version for version, _ in self.counts),
            key=lambda version: self._score(version, stream_id),
            default=None,
        )

    def _score(self, version: str, stream_id: str) -> float:
        fraction = hashing.fraction(f"{version}\0{stream_id}")
        weight = dict(self.counts)[version]
        return -weight / math.log(fraction) if fraction > 0 else 0.0


def count_versions(versions: abc.Iterable[str]) -> Composition:
    """Return the composition of targets with these versions.

    Numbers of targets don't matter while there is one version.
    """
    counts = collections.Counter(versions)
    if len(counts) == 1:
        counts = collections.Counter(counts.keys())
    return Composition(tuple(sorted(counts.items())))


@dataclasses.dataclass(frozen=True, slots=True)
class DatedComposition:
    """A composition and when it came into force.

    :param since_ms: time in ms, of the clock or since the epoch.
    :param composition: the composition.
    """

    since_ms: int
    composition: Composition


class VersionHistory:
    """The compositions of each service, as far back as a stream may last.

    :param clock: the clock.
    """

    __slots__ = ("_clock", "_by_service")

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        # By service, the earliest first.
        self._by_service: dict[str, list[DatedComposition]] = {}

    def update(self, service: str, composition: Composition) -> None:
        """Record the composition in force.

        A service without a target keeps its composition, as no stream begins
        at it.

        :param service: the service.
        :param composition: its active targets.
        """
        if not composition.counts:
            return
        history = self._by_service.setdefault(service, [])
        if not history or history[-1].composition != composition:
            now_ms = self._clock.now_ms()
            history.append(DatedComposition(now_ms, composition))
            self._expire(history)

    def _expire(self, history: list[DatedComposition]) -> None:
        """Forget compositions that no stream began at.

        One stays in force until the next, which counts as its time.
        """
        oldest_ms = self._clock.now_ms() - HISTORY_MS
        while len(history) > 1 and (
            history[1].since_ms < oldest_ms or len(history) > MAX_COMPOSITIONS
        ):
            del history[0]

    def current(self, service: str) -> Composition | None:
        """Return the composition in force; none if no target is known."""
        history = self._by_service.get(service)
        return history[-1].composition if history else None

    def possible_versions(
        self, service: str, stream_id: str, max_age_ms: float
    ) -> frozenset[str]:
        """Return the versions that a stream may have begun at.

        :param service: the service.
        :param stream_id: id of the stream.
        :param max_age_ms: how long ago it began at most, in ms.
        :return: one version if that is certain; none if the history doesn't
            reach back as far.
        """
        history = self._by_service.get(service, [])
        began_ms = self._clock.now_ms() - max_age_ms - MARGIN_MS
        if not history or history[0].since_ms > began_ms:
            return frozenset()
        ends_ms = [dated.since_ms for dated in history[1:]]
        versions = (
            dated.composition.version_of(stream_id)
            for dated, end_ms in zip(
                history, [*ends_ms, math.inf], strict=True
            )
            if end_ms >= began_ms
        )
        return frozenset(v for v in versions if v is not None)

    def served_versions(
        self, service: str, max_age_ms: float
    ) -> frozenset[str]:
        """Return the versions that have had a target lately.

        :param service: the service.
        :param max_age_ms: how long ago at most, in ms.
        """
        history = self._by_service.get(service, [])
        began_ms = self._clock.now_ms() - max_age_ms - MARGIN_MS
        ends_ms = [dated.since_ms for dated in history[1:]]
        return frozenset(
            version
            for dated, end_ms in zip(
                history, [*ends_ms, math.inf], strict=True
            )
            if end_ms >= began_ms
            for version, _ in dated.composition.counts
        )

    def is_settled(self, service: str, max_age_ms: float) -> bool:
        """Return whether one version has served alone for some time.

        :param service: the service.
        :param max_age_ms: the time, in ms.
        """
        history = self._by_service.get(service, [])
        began_ms = self._clock.now_ms() - max_age_ms - MARGIN_MS
        return (
            bool(history)
            and len(history[-1].composition.counts) == 1
            and history[-1].since_ms <= began_ms
        )

    def services(self) -> list[str]:
        """Return the services with a history."""
        return list(self._by_service)

    def dated(self, service: str) -> tuple[DatedComposition, ...]:
        """Return the history of a service, the earliest first."""
        return tuple(self._by_service.get(service, ()))

    def restore(
        self, service: str, dated: abc.Sequence[DatedComposition]
    ) -> None:
        """Add the history from before this router started.

        :param service: the service.
        :param dated: its compositions, the earliest first; times are of this
            router's clock.
        """
        history = self._by_service.setdefault(service, [])
        first_ms = history[0].since_ms if history else math.inf
        earlier = [item for item in dated if item.since_ms < first_ms]
        if (
            earlier
            and history
            and earlier[-1].composition == history[0].composition
        ):
            del history[0]
        history[:0] = earlier
        self._expire(history)


@dataclasses.dataclass(frozen=True, slots=True)
class KnownStream:
    """A stream whose version doesn't follow from its id.

    :param stream_hash: hash of the stream's id.
    :param version: the version that began it.
    :param age_ms: how long ago the version was learned, in ms.
    """

    stream_hash: int
    version: str
    age_ms: int


class StreamVersions:
    """Versions of streams that don't follow from the streams' ids.

    :param clock: the clock.

    :ivar recorded: set when a stream begins here.
    """

    __slots__ = ("recorded", "_clock", "_streams", "_unreported", "_untold")

    def __init__(self, clock: clock_module.Clock) -> None:
        self.recorded = asyncio.Event()
        self._clock = clock
        # Version, and when it was learned in ms of the clock, by hash of the
        # stream's id; the earliest known first.
        self._streams: collections.OrderedDict[int, tuple[str, int]] = (
            collections.OrderedDict()
        )
        # Streams that began here, and when, in ms of the clock.
        self._unreported: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        # Streams that began here and were in no report yet.
        self._untold: set[int] = set()

    def get(self, stream_id: str) -> str | None:
        """Return the version that began a stream; none if not known."""
        found = self._streams.get(hashing.name_hash(stream_id))
        return None if found is None else found[0]

    def record(self, stream_id: str, version: str) -> None:
        """Record a stream that began here, and report it to the others."""
        stream_hash = hashing.name_hash(stream_id)
        self.merge({stream_hash: version})
        self._unreported[stream_hash] = self._clock.now_ms()
        self._untold.add(stream_hash)
        self.recorded.set()

    def merge(self, streams: abc.Mapping[int, str]) -> None:
        """Record streams that began at other routers.

        :param streams: versions, by the hash of the stream's id.
        """
        now_ms = self._clock.now_ms()
        for stream_hash, version in streams.items():
            if self._streams.get(stream_hash, ("", 0))[0] != version:
                self._streams[stream_hash] = (version, now_ms)
                self._streams.move_to_end(stream_hash)
        self._expire()

    @property
    def latest(self) -> int | None:
        """Hash of the stream that was learned last; none if none is known."""
        return next(reversed(self._streams), None)

    def restore(self, streams: abc.Iterable[KnownStream]) -> None:
        """Record streams that another router knows.

        :param streams: the streams; those that are known here are ignored.
        """
        now_ms = self._clock.now_ms()
        found = {
            stream.stream_hash: (stream.version, now_ms - stream.age_ms)
            for stream in streams
        }
        ordered = sorted(
            {**found, **self._streams}.items(), key=lambda item: item[1][1]
        )
        self._streams = collections.OrderedDict(ordered)
        self._expire()

    def known(self) -> list[KnownStream]:
        """Return all streams, the latest last."""
        self._expire()
        now_ms = self._clock.now_ms()
        return [
            KnownStream(stream_hash, version, now_ms - learned_ms)
            for stream_hash, (version, learned_ms) in self._streams.items()
        ]

    def _expire(self) -> None:
        """Forget streams that have ended, and the earliest of too many."""
        now_ms = self._clock.now_ms()
        while self._streams:
            _, learned_ms = next(iter(self._streams.values()))
            expired = now_ms - learned_ms > HISTORY_MS
            if not expired and len(self._streams) <= MAX_STREAMS:
                break
            self._streams.popitem(last=False)

    def to_tell(self) -> dict[int, str]:
        """Return the streams to report that were in no report yet."""
        untold = self._untold
        return {
            stream_hash: version
            for stream_hash, version in self.to_report().items()
            if stream_hash in untold
        }

    def to_report(self) -> dict[int, str]:
        """Return the streams to report now, the latest ones."""
        oldest_ms = self._clock.now_ms() - REPORTED_FOR_MS
        while self._unreported:
            stream_hash, began_ms = next(iter(self._unreported.items()))
            if began_ms >= oldest_ms:
                break
            del self._unreported[stream_hash]
        recent = list(self._unreported)[-MAX_REPORTED_STREAMS:]
        self._untold = set()
        self.recorded.clear()
        return {
            stream_hash: self._streams[stream_hash][0]
            for stream_hash in recent
            if stream_hash in self._streams
        }
