"""State machines: copies of a topic, targets that leave, versions, streams and
a router that stops.

Hypothesis plays random series of what the world does to each of them, always
the same ones, and checks what must hold after every step.
"""

import asyncio
import types

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from bulrushdale import clock as clock_module
from bulrushdale.forwarding import callers
from bulrushdale.forwarding import drain
from bulrushdale.forwarding import events
from bulrushdale.forwarding import replica as replica_module
from bulrushdale import records
from bulrushdale.routing import revisions as revisions_module
from bulrushdale.routing import routes
from bulrushdale.routing import targets as targets_module

SERIES = settings(
    max_examples=200, stateful_step_count=40, derandomize=True, deadline=None
)
KEYS = st.sampled_from("abc")
COPIES = st.integers(0, 1)


def meaning(_, value):
    """Return what a value says without its heartbeat's number."""
    return value[:1]


class Copies(stateful.RuleBasedStateMachine):
    """Two routers that copy a topic from the store and from each other."""

    def __init__(self):
        super().__init__()
        self.clock = clock_module.ManualClock()
        self.log = []
        self.first = 0
        self.states = [{} for _ in range(2)]
        self.replicas = [self.make_replica(n) for n in range(2)]

    def make_replica(self, number):
        state = self.states[number] = {}

        def apply(key, value):
            state.pop(key, None)
            if value is not None:
                state[key] = value

        return replica_module.Replica(
            "topic",
            apply,
            lambda as_of_ms: None,
            meaning,
            lambda replica, outcome: None,
            self.clock,
        )

    def fold(self, end):
        state = {}
        for record in self.log[:end]:
            state.pop(record.key, None)
            if record.value is not None:
                state[record.key] = record
        return state

    @stateful.rule(key=KEYS, said=st.sampled_from([b"x", b"y", None]))
    def append(self, key, said):
        number = len(self.log)
        value = None if said is None else said + b"%d" % number
        self.log.append(records.KeyedRecord(number, key, value))

    @stateful.rule()
    def expire_history(self):
        self.first = len(self.log)

    @stateful.rule(copy=COPIES)
    def read_the_store(self, copy):
        self.read_store(copy)

    def read_store(self, copy):
        replica = self.replicas[copy]
        offset, end = replica.next_offset, len(self.log)
        if offset is None or offset < self.first:
            newest = list(self.fold(end).values())
            page = records.Page(newest, end, True, True)
        else:
            page = records.Page(self.log[offset:], end, True, False)
        replica.apply(page, self.clock.boot_ms())

    @stateful.rule(copy=COPIES)
    def read_peer(self, copy):
        page = self.replicas[1 - copy].page_since(
            self.replicas[copy].next_offset
        )
        if page is not None:
            self.replicas[copy].apply(page, self.clock.boot_ms())

    @stateful.rule(copy=COPIES)
    def start_again(self, copy):
        self.replicas[copy] = self.make_replica(copy)
        self.read_store(copy)

    @stateful.invariant()
    def copies_say_what_the_log_said(self):
        for replica, state in zip(self.replicas, self.states, strict=True):
            if replica.next_offset is None:
                continue
            expected = self.fold(replica.next_offset)
            assert {k: v[:1] for k, v in state.items()} == {
                k: r.value[:1] for k, r in expected.items()
            }


class Leaving(stateful.RuleBasedStateMachine):
    """Entries of targets that come, go, lapse and start again."""

    def __init__(self):
        super().__init__()
        self.clock = clock_module.ManualClock()
        self.targets = targets_module.Targets(self.clock)
        self.left = set()

    @stateful.rule(key=KEYS, born=st.integers(1, 3), says_so=st.booleans())
    def put(self, key, born, says_so):
        self.targets.put(
            targets_module.Listing(
                key, born, "chat", f"10.0.0.{born}:1", "dc1", 8, says_so, 0
            )
        )
        if says_so:
            self.left.add((key, born))

    @stateful.rule(key=KEYS)
    def remove(self, key):
        self.targets.remove(key)

    @stateful.rule()
    def store_is_back(self):
        self.targets.record_store_regained()

    @stateful.rule(up_ms=st.sampled_from([0, 1_000, 2_000]))
    def expire(self, up_ms):
        self.targets.expire(up_ms)

    @stateful.rule(delta_ms=st.sampled_from([100, 1_000, 5_000]))
    def wait(self, delta_ms):
        self.clock.advance(delta_ms)

    @stateful.invariant()
    def what_left_gets_no_work(self):
        for target in self.targets.active("chat"):
            start = (target.target_id, target.listing.started_ms)
            held = self.targets.get(target.target_id)
            assert held is target
            assert not target.listing.leaving
            assert start not in self.left


class Versions(stateful.RuleBasedStateMachine):
    """Configurations that arrive in any order, and their keys."""

    def __init__(self):
        super().__init__()
        self.clock = clock_module.ManualClock()
        self.revisions = revisions_module.Revisions(self.clock)
        self.newest = 0

    @stateful.rule(version=st.integers(1, 20))
    def take(self, version):
        team = routes.Team("bakery", None)
        self.revisions.apply(
            routes.Configuration(
                version=version,
                routes=[],
                services=[],
                teams_by_key={f"key-{version}": team},
                limits=routes.CallerLimits(1, 1, 0),
            )
        )
        self.newest = max(self.newest, version)

    @stateful.rule(age_ms=st.integers(0, 9_000))
    def confirm(self, age_ms):
        known_ms = self.revisions.age_ms()
        self.revisions.confirm(self.clock.boot_ms() - age_ms)
        if known_ms is not None:
            assert self.revisions.age_ms() == min(known_ms, age_ms)

    @stateful.rule(delta_ms=st.integers(1, 5_000))
    def wait(self, delta_ms):
        known_ms = self.revisions.age_ms()
        self.clock.advance(delta_ms)
        if known_ms is not None:
            assert self.revisions.age_ms() == known_ms + delta_ms

    @stateful.invariant()
    def newest_is_in_force_with_its_keys(self):
        current = self.revisions.current
        if self.newest:
            assert current.version == self.newest
            assert list(current.teams_by_key) == [f"key-{self.newest}"]


class Joining(stateful.RuleBasedStateMachine):
    """A stream that breaks off and is resumed, by targets that may err."""

    def __init__(self):
        super().__init__()
        self.splitter = events.Splitter(None)
        self.passed = b""
        self.broken = False
        self.sent = self.run_from(0)

    def run_from(self, number):
        return b"".join(
            b"id: %d\ndata: %d\n\n" % (n, n) for n in range(number, number + 8)
        )

    def feed(self, data):
        if self.broken:
            return
        found = self.splitter.feed(data)
        self.passed += found.data
        self.broken = found.fault is not None

    @stateful.rule(size=st.integers(1, 60))
    def receive(self, size):
        self.feed(self.sent[:size])
        self.sent = self.sent[size:]

    @stateful.rule()
    def resume(self):
        self.splitter.drop_rest()
        last = self.splitter.last_id
        self.sent = self.run_from(0 if last is None else last + 1)
        self.broken = False

    @stateful.rule(number=st.integers(0, 12))
    def resume_elsewhere(self, number):
        """A target that doesn't go on where it was asked to."""
        self.splitter.drop_rest()
        begun = self.splitter.last_id is not None
        self.sent = self.run_from(number if begun else 0)
        self.broken = False

    @stateful.invariant()
    def whole_events_in_order(self):
        count = self.passed.count(b"\n\n")
        whole = b"".join(
            b"id: %d\ndata: %d\n\n" % (n, n) for n in range(count)
        )
        assert self.passed == whole
        last = self.splitter.last_id
        assert count == (0 if last is None else last + 1)


class SteppedClock(clock_module.ManualClock):
    """Sleepers go on when the clock was moved far enough."""

    async def sleep_ms(self, delay_ms):
        until_ms = self.now_ms() + delay_ms
        while self.now_ms() < until_ms:  # noqa: ASYNC110
            await asyncio.sleep(0)


class Connection:
    """A caller's connection and what became of it."""

    def __init__(self, busy, clock):
        self.busy = busy
        self.clock = clock
        self.accepted_ms = clock.now_ms()
        self.open = True
        self.last = False
        self.cut = False

    def close(self):
        self.last = True

    def force_close(self):
        age_ms = self.clock.now_ms() - self.accepted_ms
        self.open = False
        self.cut = self in self.busy or age_ms < drain.ACCEPTED_GRACE_MS


class Stopping(stateful.RuleBasedStateMachine):
    """A router that is told to stop while callers come, ask and wait."""

    NOTICE_MS = 1_000
    TIMEOUT_MS = 8_000

    def __init__(self):
        super().__init__()
        self.clock = SteppedClock()
        self.activity = callers.Activity()
        self.server = types.SimpleNamespace(connections=[])
        self.stop_ms = None
        self.listening = True
        self.closed_ms = None
        self.stopping = None
        self.cut_off = None

    async def close_ports(self):
        self.listening = False
        self.closed_ms = self.clock.now_ms()

    def go_on(self):
        if self.stopping is None or self.cut_off is not None:
            return
        try:
            self.stopping.send(None)
        except StopIteration as end:
            self.cut_off = end.value

    def pick(self, data, busy):
        fit = [
            connection
            for connection in self.server.connections
            if connection.open and (connection in self.activity.busy) == busy
        ]
        return data.draw(st.sampled_from(fit)) if fit else None

    @stateful.rule()
    def connect(self):
        if self.listening:
            self.server.connections.append(
                Connection(self.activity.busy, self.clock)
            )

    @stateful.rule()
    def connect_and_ask(self):
        if self.listening:
            self.connect()
            self.activity.busy.add(self.server.connections[-1])

    @stateful.rule(data=st.data())
    def ask(self, data):
        connection = self.pick(data, busy=False)
        if connection is not None and not self.activity.closed:
            self.activity.busy.add(connection)

    @stateful.rule(data=st.data())
    def answer(self, data):
        connection = self.pick(data, busy=True)
        if connection is not None:
            self.activity.busy.discard(connection)
            if connection.last or self.activity.draining:
                connection.open = False

    @stateful.rule(delta_ms=st.sampled_from([10, 300, 2_000, 9_000]))
    def wait(self, delta_ms):
        self.clock.advance(delta_ms)
        self.go_on()

    @stateful.precondition(lambda self: self.stopping is None)
    @stateful.rule()
    def stop(self):
        self.stop_ms = self.clock.now_ms()
        self.stopping = drain.drain(
            self.activity,
            self.server,
            self.close_ports,
            self.clock,
            self.NOTICE_MS,
            self.TIMEOUT_MS,
        )
        self.go_on()

    @stateful.invariant()
    def no_request_is_cut_nor_its_connection_before_it_came(self):
        assert not any(c.cut for c in self.server.connections)

    @stateful.invariant()
    def callers_have_time_to_notice(self):
        if self.stop_ms is None:
            assert self.listening
        elif self.clock.now_ms() - self.stop_ms < self.NOTICE_MS:
            assert self.listening
            assert not self.activity.closed

    @stateful.invariant()
    def nothing_new_begins_once_the_last_accepted_had_their_time(self):
        if self.listening:
            assert not self.activity.closed
            return
        age_ms = self.clock.now_ms() - self.closed_ms
        in_time = self.clock.now_ms() - self.stop_ms < self.TIMEOUT_MS
        had_time = age_ms >= drain.ACCEPTED_GRACE_MS
        assert self.activity.closed == (had_time or not in_time)

    @stateful.invariant()
    def it_ends_with_the_last_request_or_in_time(self):
        if self.stop_ms is None:
            return
        spent_ms = self.clock.now_ms() - self.stop_ms
        if self.cut_off is None:
            assert spent_ms < self.TIMEOUT_MS
        elif self.cut_off:
            assert spent_ms >= self.TIMEOUT_MS


for machine in (Copies, Leaving, Versions, Joining, Stopping):
    machine.TestCase.settings = SERIES

TestCopies = Copies.TestCase
TestLeaving = Leaving.TestCase
TestVersions = Versions.TestCase
TestJoining = Joining.TestCase
TestStopping = Stopping.TestCase
