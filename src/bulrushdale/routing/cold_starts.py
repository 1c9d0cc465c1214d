"""Tell which targets are cold, and how many requests they bear then.

A target is cold for a time after it starts, and may become cold again. It
crashes if all routers together send it requests at a much higher rate than
its service names, so requests to it need permits
(:mod:`bulrushdale.routing.rate_limits`).

A target's entry in the list tells how long it stays cold, but it arrives some
hundred ms late. Until a newer entry says otherwise, a target is taken for
cold that may have started again: one that accepts connections again, and one
whose data centre was evacuated.
"""

from collections import abc
import dataclasses

from bulrushdale import clock as clock_module

# A target renews its entry within about 1.2 s, and the renewed entry takes up
# to 1 s to arrive. An entry that says that the target is cold holds for this
# time beyond the end that it names, unless a newer one says otherwise.
ENTRY_LAG_MS = 2_500
# Longest time that a target's own statement counts.
MAX_COLD_MS = 24 * 3_600_000


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """What the targets of a service bear while they are cold.

    :param per_s: requests per second from all routers together.
    :param duration_ms: how long a target stays cold after its start, in ms.
    """

    per_s: float
    duration_ms: int


class Rules:
    """The rules of all services whose targets can be cold.

    :ivar latest_end_ms: no target is cold from then on, in ms of the clock;
        saves a look at each target where none is.
    """

    __slots__ = ("_rules", "latest_end_ms")

    def __init__(self) -> None:
        self._rules: dict[str, Rule] = {}
        self.latest_end_ms = 0

    def update(self, rules: abc.Mapping[str, Rule]) -> None:
        """Replace the rules of all services."""
        self._rules = dict(rules)

    def get(self, service: str) -> Rule | None:
        """Return the rule of a service; none if its targets are never cold."""
        return self._rules.get(service)


class ColdStart:
    """Whether one start of a target is cold.

    :param clock: the clock.
    :param rules: learns until when a target is cold.
    """

    __slots__ = ("_clock", "_rules", "_listed_until_ms", "_assumed_until_ms")

    def __init__(self, clock: clock_module.Clock, rules: Rules) -> None:
        self._clock = clock
        self._rules = rules
        # By its entries, in ms of the clock.
        self._listed_until_ms = 0
        # As it may have started again, in ms of the clock.
        self._assumed_until_ms = 0

    @property
    def active(self) -> bool:
        """Whether it is taken for cold now."""
        now_ms = self._clock.now_ms()
        return (
            now_ms < self._listed_until_ms or now_ms < self._assumed_until_ms
        )

    def record_entry(self, remaining_ms: int) -> None:
        """Record what an entry in the list says.

        An entry may have been written before what :meth:`assume` was told,
        and doesn't end that.

        :param remaining_ms: how long the target stayed cold when it wrote the
            entry, in ms; 0 if it was warm.
        """
        now_ms = self._clock.now_ms()
        if remaining_ms > 0:
            self._listed_until_ms = max(
                self._listed_until_ms,
                now_ms + min(remaining_ms, MAX_COLD_MS) + ENTRY_LAG_MS,
            )
        else:
            self._listed_until_ms = min(self._listed_until_ms, now_ms)
        self._update_rules()

    def record_response(self, remaining_ms: int) -> None:
        """Record the time that a response of the target names, in ms."""
        self._listed_until_ms = 0
        self._assumed_until_ms = self._clock.now_ms() + min(
            max(remaining_ms, 0), MAX_COLD_MS
        )
        self._update_rules()

    def assume(self, duration_ms: int) -> None:
        """Take the target for cold for a time, in ms."""
        self._assumed_until_ms = max(
            self._assumed_until_ms, self._clock.now_ms() + duration_ms
        )
        self._update_rules()

    def _update_rules(self) -> None:
        self._rules.latest_end_ms = max(
            self._rules.latest_end_ms,
            self._listed_until_ms,
            self._assumed_until_ms,
        )
