"""What other routers report of themselves and of the targets they use."""

from collections import abc
import dataclasses

from bulrushdale import clock as clock_module
from bulrushdale.routing import health

# A report older than this is left out: its router may be gone and the work
# it had with it.
REPORT_LIFE_MS = 1_500
# A router that was silent for so long does not count as one of the fleet.
MEMBER_LIFE_MS = 6_000


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReport:
    """A router's part in a target's load and results.

    :param in_flight: requests that it has there.
    :param results: results within the window of health.
    """

    in_flight: int
    results: health.Results


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What one router says of itself.

    :param router: its name.
    :param address: where its peers reach it.
    :param data_centre: where it runs.
    :param started_ms: tells two starts apart, in ms since the epoch.
    :param sequence: grows with each report of one start.
    :param version: the configuration in force there; 0 for none.
    :param store_up_ms: for how long the store has answered it.
    :param targets: its part in each target's load.
    :param members: addresses of routers that it heard of lately.
    :param places: prefixes that it placed elsewhere than hashing puts them.
    """

    router: str
    address: str
    data_centre: str
    started_ms: int
    sequence: int
    version: int
    store_up_ms: int
    targets: abc.Mapping[str, TargetReport]
    members: tuple[str, ...] = ()
    places: abc.Mapping[int, str] = dataclasses.field(default_factory=dict)


class Peers:
    """The newest report of each other router.

    :param own_address: this router's address, which is never a peer.
    :param clock: the clock.
    """

    __slots__ = ("_own_address", "_clock", "_reports", "_known_ms")

    def __init__(self, own_address: str, clock: clock_module.Clock) -> None:
        self._own_address = own_address
        self._clock = clock
        self._reports: dict[str, tuple[int, Report]] = {}
        self._known_ms: dict[str, int] = {}

    def introduce(self, address: str) -> None:
        """Add an address at which a router may be."""
        if address != self._own_address:
            self._known_ms.setdefault(address, self._clock.now_ms())

    def take(self, report: Report) -> bool:
        """Take over a report unless a newer one was taken.

        :return: whether it was taken.
        """
        if report.address == self._own_address:
            return False
        known = self._reports.get(report.address)
        place = (report.started_ms, report.sequence)
        if known is not None:
            newest = (known[1].started_ms, known[1].sequence)
            if place <= newest:
                return False
        now_ms = self._clock.now_ms()
        self._reports[report.address] = (now_ms, report)
        self._known_ms[report.address] = now_ms
        for address in report.members:
            self.introduce(address)
        return True

    def _fresh(self, life_ms: int) -> abc.Iterator[Report]:
        oldest_ms = self._clock.now_ms() - life_ms
        for heard_ms, report in self._reports.values():
            if heard_ms >= oldest_ms:
                yield report

    def in_flight(self, target_id: str) -> int:
        """Return the requests that other routers have at a target."""
        return sum(
            report.targets[target_id].in_flight
            for report in self._fresh(REPORT_LIFE_MS)
            if target_id in report.targets
        )

    def results(self, target_id: str) -> health.Results:
        """Return the results that other routers had from a target."""
        total = health.Results(0, 0)
        for report in self._fresh(REPORT_LIFE_MS):
            if target_id in report.targets:
                total += report.targets[target_id].results
        return total

    def store_up_ms(self) -> int:
        """Return for how long the store has answered some other router."""
        fresh = self._fresh(REPORT_LIFE_MS)
        return max((report.store_up_ms for report in fresh), default=0)

    def live(self) -> list[Report]:
        """Return the newest reports of the routers heard of lately."""
        return list(self._fresh(MEMBER_LIFE_MS))

    def count(self) -> int:
        """Return the number of live routers, this one included."""
        return 1 + len(self.live())

    def addresses(self) -> list[str]:
        """Return every address at which a router may be."""
        return list(self._known_ms)
