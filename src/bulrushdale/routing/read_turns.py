"""Turns in which connections have what they send parsed.

The load that this answers: crowds whose data is expensive to parse, such as
bodies in chunks of one byte or heads of many short fields. Parsing it as it
arrives would keep the event loop from everything else for seconds.

In each pass of the event loop only so much time goes to parsing. A connection
that has used up its turn, or comes when the pass is used up, waits for its
turn in a later pass. Connections that took little so far come first, so that
ordinary requests don't wait behind a crowd; the others follow in turn.
"""

import collections
from collections import abc

# What one connection may take of a pass, and all of them together.
TURN_US = 300
PASS_US = 2_000
# What a turn takes at least, as reading is resumed and paused again.
LEAST_TURN_US = 50
# A connection that has taken less of the processor comes first. Parsing an
# ordinary request takes 100 us.
LIGHT_US = 2_000
# How much is read from a connection at a time: at first, at most if its data
# is cheap to parse, at least, and in a pass that is used up.
FIRST_READ_BYTES = 8 << 10
MAX_READ_BYTES = 32 << 10
MIN_READ_BYTES = 1 << 10
LATE_READ_BYTES = 256

Resume = abc.Callable[[], None]


class Reader:
    """How expensive the data of one connection is.

    :ivar read_bytes: how much to read from it at a time.
    :ivar total_us: what it has taken since its connection began, in us.
    :ivar spent_us: what it took of the pass in which it was read last, in us.
    :ivar pass_number: number of that pass.
    :ivar turn_us: time of its turn of which it hasn't read yet, in us; 0 if
        it has none.
    :ivar us_per_byte: what its last data took, in us for each byte.
    """

    __slots__ = (
        "read_bytes",
        "total_us",
        "spent_us",
        "pass_number",
        "turn_us",
        "us_per_byte",
    )

    def __init__(self) -> None:
        self.read_bytes = FIRST_READ_BYTES
        self.total_us = 0.0
        self.spent_us = 0.0
        self.pass_number = 0
        self.turn_us = 0.0
        self.us_per_byte = 0.0

    @property
    def piece_us(self) -> float:
        """What its next piece is going to take, in us."""
        return self.read_bytes * self.us_per_byte


class ReadTurns:
    """Whose data is parsed in a pass of the event loop."""

    __slots__ = (
        "_pass_number",
        "_spent_us",
        "_light",
        "_heavy",
        "_given",
        "_given_before",
    )

    def __init__(self) -> None:
        self._pass_number = 0
        # What was parsed in this pass, and will be in turns that were given.
        self._spent_us = 0.0
        # Whose turns were given in this pass and in the one before it.
        self._given: list[Reader] = []
        self._given_before: list[Reader] = []
        # What resumes those that wait, in their order.
        self._light: collections.OrderedDict[Reader, Resume] = (
            collections.OrderedDict()
        )
        self._heavy: collections.OrderedDict[Reader, Resume] = (
            collections.OrderedDict()
        )

    @property
    def waiting(self) -> int:
        """How many connections wait."""
        return len(self._light) + len(self._heavy)

    @property
    def needs_pass(self) -> bool:
        """Whether :meth:`begin_pass` has to be called in the next pass."""
        return self.waiting > 0 or self._spent_us > PASS_US / 2

    def begin_pass(self) -> None:
        """Begin a pass, whose time is unused."""
        self._pass_number += 1
        self._spent_us = 0.0
        for reader in self._given_before:
            reader.turn_us = 0.0
        # asyncio reads only after the next pass has begun.
        self._given_before = self._given
        self._given = []

    @property
    def is_used_up(self) -> bool:
        """Whether there is no time left in this pass."""
        return self._spent_us > PASS_US

    def read_bytes(self, reader: Reader) -> int:
        """Return how much to read from a connection now, in bytes.

        :param reader: the connection.
        """
        if self.is_used_up and not reader.turn_us:
            return LATE_READ_BYTES
        return reader.read_bytes

    def record(self, reader: Reader, size_bytes: int, cost_us: float) -> bool:
        """Record what the data of a connection cost.

        :param reader: the connection.
        :param size_bytes: how much was parsed.
        :param cost_us: the time that it took, in us.
        :return: whether the connection has to wait for its next turn.
        """
        is_used_up = self.is_used_up
        # The time of its turn is in the sum already.
        self._spent_us += max(0.0, cost_us - reader.turn_us)
        reader.turn_us = 0.0
        if reader.pass_number != self._pass_number:
            reader.pass_number = self._pass_number
            reader.spent_us = 0.0
        reader.spent_us += cost_us
        reader.total_us += cost_us
        if size_bytes >= LATE_READ_BYTES:
            # The time of less is mostly that of a read.
            reader.us_per_byte = cost_us / size_bytes
        if cost_us > TURN_US:
            reader.read_bytes = max(MIN_READ_BYTES, reader.read_bytes // 2)
        elif size_bytes >= reader.read_bytes and cost_us < TURN_US / 4:
            reader.read_bytes = min(MAX_READ_BYTES, reader.read_bytes * 2)
        while (
            reader.piece_us > 2 * TURN_US
            and reader.read_bytes > MIN_READ_BYTES
        ):
            reader.read_bytes //= 2
        return is_used_up or reader.spent_us > TURN_US

    def wait(self, reader: Reader, resume: Resume) -> None:
        """Let a connection wait for its turn.

        :param reader: the connection.
        :param resume: called at its turn.
        """
        is_light = reader.total_us < LIGHT_US
        (self._light if is_light else self._heavy)[reader] = resume

    def leave(self, reader: Reader) -> None:
        """Forget a connection that has ended."""
        self._light.pop(reader, None)
        self._heavy.pop(reader, None)

    def next(self) -> Resume | None:
        """Return what resumes the connection whose turn is next.

        :return: the function; none if nobody waits or no time is left.
        """
        waiting = self._light or self._heavy
        if not waiting or self.is_used_up:
            return None
        reader, resume = waiting.popitem(last=False)
        reader.turn_us = min(max(reader.piece_us, LEAST_TURN_US), TURN_US)
        self._given.append(reader)
        self._spent_us += reader.turn_us
        return resume
