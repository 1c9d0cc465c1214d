"""Choice of the routers that relay requests of a router cut off from targets.

A router that reaches no target of a service still reaches other routers, and
these reach the targets. Each relayed request asks a few of them in turn. They
know best whether they reach the target and have room, so routers don't tell
each other in advance who relays; one that refuses is left out for a while.
"""

import collections
import enum
import random

from bulrushdale import clock as clock_module
from bulrushdale.routing import peers as peers_module

# Routers asked to relay one request. Where most of a data centre is cut off,
# as many as this find one that isn't.
MAX_ASKED = 4
# A router that refused or did not answer isn't asked for this time.
AVOID_MS = 1_000
# A router that can't reach a target isn't asked for that target again for this
# time. It may have been cut off itself a moment ago and not know it yet.
UNREACHABLE_MS = 500
# A target counts as down once as many routers can't reach it.
MIN_UNREACHABLE = 2


class Answer(enum.Enum):
    """Answer of a router that is asked to relay a request."""

    ACCEPTED = b"+"
    # It reaches no target of the service itself.
    CUT_OFF = b"c"
    # It relays as much as it may already.
    BUSY = b"b"
    STOPPING = b"s"
    # It doesn't know the target, or not the sender.
    UNKNOWN = b"?"
    # The target accepts no connection from it.
    UNREACHABLE = b"u"
    # The target is about to stop.
    LEAVING = b"l"
    # The target asked it for no requests for now.
    BACKING_OFF = b"w"


# Another router would answer the same.
FINAL = frozenset({Answer.ACCEPTED, Answer.LEAVING, Answer.BACKING_OFF})


class Relays:
    """Which routers to ask, by what they answered before.

    :param data_centre: data centre of this router.
    :param peers: the other routers.
    :param clock: the clock.
    """

    __slots__ = (
        "_data_centre",
        "_peers",
        "_clock",
        "_avoided_until_ms",
        "_accepted",
        "_unreachable_until_ms",
    )

    def __init__(
        self,
        data_centre: str,
        peers: peers_module.Peers,
        clock: clock_module.Clock,
    ) -> None:
        self._data_centre = data_centre
        self._peers = peers
        self._clock = clock
        # By the address of the router and the service.
        self._avoided_until_ms: dict[tuple[str, str], int] = {}
        # Routers that relayed lately, by service.
        self._accepted: dict[str, collections.deque[str]] = {}
        # By the id of the target and the address of the router.
        self._unreachable_until_ms: dict[str, dict[str, int]] = {}

    def candidates(self, service: str, target_id: str = "") -> list[str]:
        """Return the routers to ask, the preferred one first.

        Those that relayed lately come first, then those of this data centre.

        :param service: the service.
        :param target_id: the target; empty for any target of the service.
        """
        now_ms = self._clock.now_ms()
        self._avoided_until_ms = {
            key: until_ms
            for key, until_ms in self._avoided_until_ms.items()
            if until_ms > now_ms
        }
        data_centres = self._peers.data_centres()
        unreachable = self._unreachable_from(target_id)
        found = [
            address
            for address in data_centres
            if (address, service) not in self._avoided_until_ms
            and address not in unreachable
        ]
        random.shuffle(found)
        accepted = self._accepted.get(service, ())
        found.sort(
            key=lambda address: (
                address not in accepted,
                data_centres[address] != self._data_centre,
            )
        )
        return found[:MAX_ASKED]

    def accepted(self, service: str) -> tuple[str, ...]:
        """Return the routers that relayed for a service lately."""
        return tuple(self._accepted.get(service, ()))

    def has_candidates(self, service: str) -> bool:
        """Return whether any router may be asked for a service now."""
        return bool(self.candidates(service))

    def record_answer(
        self, address: str, service: str, target_id: str, answer: Answer | None
    ) -> None:
        """Record what a router answered.

        :param address: the router.
        :param service: service of the target.
        :param target_id: the target.
        :param answer: its answer; none if it did not answer in time.
        """
        now_ms = self._clock.now_ms()
        accepted = self._accepted.setdefault(
            service, collections.deque(maxlen=MAX_ASKED)
        )
        if answer is Answer.ACCEPTED:
            if address not in accepted:
                accepted.append(address)
        elif answer is Answer.UNREACHABLE:
            routers = self._unreachable_until_ms.setdefault(target_id, {})
            routers[address] = now_ms + UNREACHABLE_MS
        elif answer not in FINAL:
            self._avoided_until_ms[address, service] = now_ms + AVOID_MS
            if address in accepted:
                accepted.remove(address)

    def _unreachable_from(self, target_id: str) -> list[str]:
        """Return the routers that couldn't reach a target a moment ago."""
        now_ms = self._clock.now_ms()
        routers = self._unreachable_until_ms.get(target_id, {})
        for address, until_ms in list(routers.items()):
            if until_ms <= now_ms:
                del routers[address]
        if not routers:
            self._unreachable_until_ms.pop(target_id, None)
        return list(routers)

    def down_targets(self) -> set[str]:
        """Return the targets that several routers can't reach."""
        return {
            target_id
            for target_id in list(self._unreachable_until_ms)
            if len(self._unreachable_from(target_id)) >= MIN_UNREACHABLE
        }
