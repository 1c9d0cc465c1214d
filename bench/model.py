"""Simulate engines with prefix caches to compare placement policies.

Routers are not simulated: the policy under test is the router's own
:class:`bulrushdale.admission.scheduler.Scheduler` or a baseline. Time is
simulated.
"""

import collections
import dataclasses
import heapq
import itertools
import random
import typing

from bulrushdale.admission import bound
from bulrushdale.admission import queue
from bulrushdale.admission import reply as reply_module
from bulrushdale.admission import scheduler as scheduler_module
from bulrushdale.catalogue import entries
from bulrushdale import clock as clock_module
from bulrushdale.fleet import targets
from bulrushdale import hashing

TOKEN_MS = 30
PREFILL_TOKENS_PER_MS = 10
REPORT_LAG_MS = 1_000
SAMPLE_MS = 100


@dataclasses.dataclass(frozen=True)
class Workload:
    """Engines and callers of one data centre.

    :param name: name in reports.
    :param engines: number of engines in the data centre.
    :param slots: requests that an engine runs at once.
    :param cache_tokens: prompt tokens that an engine's cache holds.
    :param teams: number of teams.
    :param shared_prefix_tokens: tokens of the prefix that all chats of a team
        share.
    :param chats_per_s: new chats per second, without a surge.
    :param turns: mean number of turns of a chat.
    :param think_ms: mean time between two turns of a chat, in ms.
    :param response_tokens: mean tokens of a response.
    :param minutes: simulated length of the run, in minutes.
    :param shards: number of shards of the pool.
    """

    name: str
    engines: int
    slots: int
    cache_tokens: int
    teams: int
    shared_prefix_tokens: int
    chats_per_s: float
    turns: int
    think_ms: int
    response_tokens: int
    minutes: float
    shards: int = 1


AGENCIA = Workload("agencia", 3, 16, 150_000, 10, 400, 1.2, 5, 20_000, 150, 10)
WHEATSHEAF = Workload(
    "wheatsheaf", 3, 16, 150_000, 10, 6_000, 0.9, 5, 30_000, 200, 10
)
TARGET = Workload(
    "target data centre",
    72,
    16,
    150_000,
    400,
    2_000,
    28,
    5,
    20_000,
    150,
    2,
    9,
)


class Engine:
    """An engine with slots and a prefix cache."""

    def __init__(self, name: str, workload: Workload) -> None:
        self.name = name
        self.slots = workload.slots
        self.cache_tokens = workload.cache_tokens
        self.cache: collections.OrderedDict = collections.OrderedDict()
        self.held_tokens = 0
        self.running = 0
        self.waiting: collections.deque = collections.deque()
        self.live = True
        self.reported = 0

    def look_up(self, segments: list[tuple[typing.Any, int]]) -> int:
        """Return the cached tokens of a prompt, and cache the whole prompt."""
        found = 0
        in_prefix = True
        for key, tokens in segments:
            in_prefix = in_prefix and key in self.cache
            if in_prefix:
                found += tokens
            if key not in self.cache:
                self.cache[key] = tokens
                self.held_tokens += tokens
            self.cache.move_to_end(key)
        while self.held_tokens > self.cache_tokens:
            self.held_tokens -= self.cache.popitem(last=False)[1]
        return found


@dataclasses.dataclass
class Chat:
    """A chat with several turns."""

    number: int
    team: int
    turns: int
    segments: list
    rng: random.Random


@dataclasses.dataclass
class Outcome:
    """Results of one run."""

    reused_tokens: int = 0
    returning_tokens: int = 0
    skew: list[float] = dataclasses.field(default_factory=list)
    surge_skew: list[float] = dataclasses.field(default_factory=list)
    first_ms: list[float] = dataclasses.field(default_factory=list)
    requests: int = 0
    refused: int = 0

    def figures(self) -> dict[str, float]:
        """Return the summary figures of the run."""
        skew = sorted(self.skew) or [0.0]
        surge_skew = sorted(self.surge_skew) or [0.0]
        first = sorted(self.first_ms) or [0.0]
        return {
            "reuse": self.reused_tokens / max(1, self.returning_tokens),
            "skew_p99": skew[int(0.99 * (len(skew) - 1))],
            "surge_skew_p99": surge_skew[int(0.99 * (len(surge_skew) - 1))],
            "first_p95_ms": first[int(0.95 * (len(first) - 1))],
            "refused": self.refused / max(1, self.requests),
        }


class Simulation:
    """One run of one workload under one policy.

    :param workload: engines and callers.
    :param policy: ``bulrushdale`` or the name of a baseline.
    :param seed: seed of the random numbers.
    :param churn: whether engines leave and return.
    :param surge: whether there are three times as many new chats for a fifth
        of the run, and ten times the weight of the two largest teams.
    :param load_multiple: multiple of the mean load that the bound allows.
    """

    def __init__(
        self,
        workload: Workload,
        policy: str,
        seed: int,
        churn: bool,
        surge: bool,
        load_multiple: float = 1.25,
    ) -> None:
        self.load_multiple = load_multiple
        self.workload = workload
        self.policy = policy
        # Separate generators, so that all policies see the same chats and the
        # same churn for one seed.
        self.seed = seed
        self.arrivals_rng = random.Random(f"{seed} arrivals")
        self.churn_rng = random.Random(f"{seed} churn")
        self.policy_rng = random.Random(f"{seed} policy")
        self.clock = clock_module.ManualClock(0)
        self.events: list = []
        self.sequence = itertools.count()
        self.outcome = Outcome()
        self.engines = {
            f"engine-{n}": Engine(f"engine-{n}", workload)
            for n in range(workload.engines)
        }
        self.chat_numbers = itertools.count()
        self.surge = surge
        self.end_ms = int(workload.minutes * 60_000)
        self.reply_handlers: dict[int, typing.Callable] = {}
        self.weights = [1 / (n + 1) for n in range(workload.teams)]
        if policy == "bulrushdale":
            self.schedulers = [
                self.make_scheduler(n) for n in range(workload.shards)
            ]
        self.schedule(0, self.new_chat)
        self.schedule(SAMPLE_MS, self.sample_and_tick)
        if churn:
            self.schedule(5_000, self.remove_engine)

    def make_scheduler(self, shard: int) -> scheduler_module.Scheduler:
        """Return the scheduler of a shard, with a target for each engine."""
        found = {}
        for engine in self.engines.values():
            if targets.shard_of(engine.name, self.workload.shards) == shard:
                spec = entries.Target(
                    pool="chat",
                    data_centre="a",
                    url="http://x:1",
                    slots=engine.slots,
                )
                found[engine.name] = targets.Target(engine.name, spec)
        quorum = bound.QuorumState(True, True, 0)
        promise = entries.Promise(load_multiple=self.load_multiple)
        return scheduler_module.Scheduler(
            usable=lambda: [
                t for n, t in found.items() if self.engines[n].live
            ],
            promise=lambda: promise,
            team_limits=lambda _: (10_000, 10_000),
            slow_start_factor=lambda _: 1.0,
            quorum=lambda: quorum,
            send_reply=self.handle_reply,
            clock=self.clock,
            rng=random.Random(0),
        )

    def schedule(self, time_ms: float, action: typing.Callable) -> None:
        """Schedule an action at a simulated time, in ms."""
        heapq.heappush(self.events, (time_ms, next(self.sequence), action))

    def run(self) -> Outcome:
        """Run the simulation to its end."""
        while self.events and self.events[0][0] < self.end_ms:
            time_ms, _, action = heapq.heappop(self.events)
            step = int(time_ms) - self.clock.now_ms()
            self.clock.advance(max(0, step))
            action()
        return self.outcome

    def rate(self) -> float:
        """Return the current rate of new chats, per ms."""
        now = self.clock.now_ms() / self.end_ms
        factor = 3.0 if self.surge and 0.4 < now < 0.6 else 1.0
        return self.workload.chats_per_s * factor / 1_000

    def new_chat(self) -> None:
        """Start a chat and schedule the next one."""
        self.schedule(
            self.clock.now_ms() + self.arrivals_rng.expovariate(self.rate()),
            self.new_chat,
        )
        weights = list(self.weights)
        now = self.clock.now_ms() / self.end_ms
        if self.surge and 0.4 < now < 0.6:
            weights[0] *= 10
            weights[1] *= 10
        team = self.arrivals_rng.choices(range(self.workload.teams), weights)[
            0
        ]
        turns = 1 + int(self.arrivals_rng.expovariate(1 / self.workload.turns))
        shared_prefix = (("book", team), self.workload.shared_prefix_tokens)
        number = next(self.chat_numbers)
        rng = random.Random(f"{self.seed} chat {number}")
        chat = Chat(number, team, turns, [shared_prefix], rng)
        self.send_turn(chat, 0)

    def send_turn(self, chat: Chat, number: int) -> None:
        """Send one turn of a chat."""
        chat.segments.append(((chat.number, number), 150))
        sent_ms = self.clock.now_ms()
        self.outcome.requests += 1

        def start(engine: Engine, done: typing.Callable) -> None:
            self.run_turn(chat, number, engine, sent_ms, done)

        affinity_key = hashing.hash64(f"book {chat.team}".encode())
        self.dispatch(chat, affinity_key, start)

    def dispatch(
        self, chat: Chat, affinity_key: int, start: typing.Callable
    ) -> None:
        """Let the policy choose an engine, and run a turn there.

        :param chat: the chat.
        :param affinity_key: hash of the prefix that the chats of a team share.
        :param start: starts the turn; gets the engine, and a function to call
            when the turn ends.
        """
        live = [e for e in self.engines.values() if e.live]
        if not live:
            self.outcome.refused += 1
            return
        if self.policy == "bulrushdale":
            self.request_slot(chat, affinity_key, start)
            return
        if self.policy == "random":
            engine = self.policy_rng.choice(live)
        elif self.policy == "least reported":
            lowest = min(e.reported for e in live)
            engine = self.policy_rng.choice(
                [e for e in live if e.reported == lowest]
            )
        else:
            key = hashing.hash64(f"chat {chat.number}".encode())
            if self.policy == "hash by prefix":
                key = affinity_key
            name = hashing.winner(key, [e.name for e in live])
            engine = self.engines[name]

        def release() -> None:
            engine.running -= 1
            if engine.waiting:
                engine.running += 1
                engine.waiting.popleft()()

        if engine.running < engine.slots:
            engine.running += 1
            start(engine, release)
        else:
            engine.waiting.append(lambda: start(engine, release))

    def request_slot(
        self, chat: Chat, affinity_key: int, start: typing.Callable
    ) -> None:
        """Request a slot of the shard that the prefix maps to."""
        scheduler = self.schedulers[0]
        if self.workload.shards > 1:
            live = [e.name for e in self.engines.values() if e.live]
            name = hashing.winner(affinity_key, live)
            scheduler = self.schedulers[
                targets.shard_of(name, self.workload.shards)
            ]
        seq = next(self.sequence)

        def handle(reply: reply_module.Reply) -> None:
            """Run the turn at the granted target, or count the refusal."""
            if reply.code:
                self.outcome.refused += 1
                return
            engine = self.engines[reply.target]
            engine.running += 1

            def release() -> None:
                engine.running -= 1
                scheduler.release("router", [seq])

            start(engine, release)
            scheduler.mark_started("router", seq)

        self.reply_handlers[seq] = handle
        now_ms = self.clock.now_ms()
        chat_hash = hashing.hash64(f"chat {chat.number}".encode())
        scheduler.submit(
            queue.QueuedRequest(
                "router",
                seq,
                f"team-{chat.team}",
                "gold",
                1,
                affinity_key,
                chat_hash,
                0,
                now_ms,
                now_ms + 20_000,
            )
        )

    def handle_reply(
        self, request: queue.QueuedRequest, reply: reply_module.Reply
    ) -> None:
        """Handle a scheduler's reply to a slot request."""
        self.reply_handlers.pop(request.seq)(reply)

    def run_turn(
        self,
        chat: Chat,
        number: int,
        engine: Engine,
        sent_ms: int,
        done: typing.Callable,
    ) -> None:
        """Run one turn on an engine, and schedule the next one.

        :param chat: the chat.
        :param number: number of the turn, from 0 on.
        :param engine: the engine.
        :param sent_ms: when the turn was sent, in ms of simulated time.
        :param done: is called when the turn ends.
        """
        prompt = sum(tokens for _, tokens in chat.segments)
        cached = engine.look_up(chat.segments)
        if number:
            self.outcome.reused_tokens += cached
            self.outcome.returning_tokens += prompt
        prefill_ms = (prompt - cached) / PREFILL_TOKENS_PER_MS
        now_ms = self.clock.now_ms()
        self.outcome.first_ms.append(now_ms - sent_ms + prefill_ms)
        tokens = 1 + int(
            chat.rng.expovariate(1 / self.workload.response_tokens)
        )
        end_ms = now_ms + prefill_ms + tokens * TOKEN_MS

        def finish() -> None:
            done()
            response = ((chat.number, f"answer {number}"), tokens)
            chat.segments.append(response)
            engine.look_up([response])
            if number + 1 < chat.turns:
                think_ms = chat.rng.expovariate(1 / self.workload.think_ms)
                self.schedule(
                    self.clock.now_ms() + think_ms,
                    lambda: self.send_turn(chat, number + 1),
                )

        self.schedule(end_ms, finish)

    def sample_and_tick(self) -> None:
        """Sample the skew, publish loads after a lag, and tick schedulers.

        Runs every ``SAMPLE_MS``. Only the policy ``bulrushdale`` has
        schedulers.
        """
        self.schedule(self.clock.now_ms() + SAMPLE_MS, self.sample_and_tick)
        live = [e for e in self.engines.values() if e.live]
        loads = [e.running + len(e.waiting) for e in live]
        if live and sum(loads) >= len(live):
            skew = max(loads) * len(live) / sum(loads)
            self.outcome.skew.append(skew)
            if 0.4 < self.clock.now_ms() / self.end_ms < 0.6:
                self.outcome.surge_skew.append(skew)
        for engine, load in zip(live, loads, strict=True):
            self.schedule(
                self.clock.now_ms() + REPORT_LAG_MS,
                lambda e=engine, n=load: setattr(e, "reported", n),
            )
        if self.policy == "bulrushdale":
            for scheduler in self.schedulers:
                scheduler.tick()

    def remove_engine(self) -> None:
        """Remove an engine for 4 to 20 s; half of them lose their cache."""
        share = max(1, len(self.engines) // 12)
        self.schedule(self.clock.now_ms() + 20_000 / share, self.remove_engine)
        live = [e for e in self.engines.values() if e.live]
        if len(live) <= max(1, len(self.engines) // 2):
            return
        engine = self.churn_rng.choice(live)
        engine.live = False
        absence_ms = self.churn_rng.uniform(4_000, 20_000)
        keeps_cache = self.churn_rng.random() < 0.5

        def restore() -> None:
            engine.live = True
            if not keeps_cache:
                engine.cache.clear()
                engine.held_tokens = 0

        self.schedule(self.clock.now_ms() + absence_ms, restore)


POLICIES = [
    "random",
    "least reported",
    "hash by chat",
    "hash by prefix",
    "bulrushdale",
]
