"""A model of engines with prefix caches, for comparing policies.

It is no model of the routers: the policy under test is the router's own
:class:`bulrushdale.admission.scheduler.Scheduler`, or a baseline. Time is
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
    """One data centre's engines and callers.

    :param name: for reports.
    :param engines: engines in the data centre.
    :param slots: requests that an engine runs at once.
    :param cache_tokens: prompt tokens that an engine's cache holds.
    :param teams: how many teams.
    :param book_tokens: the prefix that all chats of a team share.
    :param chats_per_s: new chats a second when calm.
    :param turns: mean turns of a chat.
    :param think_ms: mean pause of a chat, in ms.
    :param answer_tokens: mean tokens of an answer.
    :param minutes: length of the run.
    :param shards: shards of the pool.
    """

    name: str
    engines: int
    slots: int
    cache_tokens: int
    teams: int
    book_tokens: int
    chats_per_s: float
    turns: int
    think_ms: int
    answer_tokens: int
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
        self.limit = workload.cache_tokens
        self.cache: collections.OrderedDict = collections.OrderedDict()
        self.held = 0
        self.running = 0
        self.waiting: collections.deque = collections.deque()
        self.live = True
        self.reported = 0

    def look_up(self, segments: list[tuple[typing.Any, int]]) -> int:
        """Return the cached tokens of a prompt, and cache all of it."""
        found = 0
        whole = True
        for key, tokens in segments:
            whole = whole and key in self.cache
            if whole:
                found += tokens
            if key not in self.cache:
                self.cache[key] = tokens
                self.held += tokens
            self.cache.move_to_end(key)
        while self.held > self.limit:
            self.held -= self.cache.popitem(last=False)[1]
        return found


@dataclasses.dataclass
class Chat:
    """A chat that returns for some turns."""

    number: int
    team: int
    turns: int
    segments: list
    rng: random.Random


@dataclasses.dataclass
class Report:
    """What one run came to."""

    reused: int = 0
    returned: int = 0
    skew: list[float] = dataclasses.field(default_factory=list)
    surge_skew: list[float] = dataclasses.field(default_factory=list)
    first_ms: list[float] = dataclasses.field(default_factory=list)
    requests: int = 0
    refused: int = 0

    def figures(self) -> dict[str, float]:
        """Return the figures of the run."""
        skew = sorted(self.skew) or [0.0]
        in_surge = sorted(self.surge_skew) or [0.0]
        first = sorted(self.first_ms) or [0.0]
        return {
            "reuse": self.reused / max(1, self.returned),
            "skew_p99": skew[int(0.99 * (len(skew) - 1))],
            "surge_skew_p99": in_surge[int(0.99 * (len(in_surge) - 1))],
            "first_p95_ms": first[int(0.95 * (len(first) - 1))],
            "refused": self.refused / max(1, self.requests),
        }


class World:
    """One run of one workload under one policy.

    :param workload: engines and callers.
    :param policy: ``bulrushdale`` or a baseline's name.
    :param seed: of the random numbers.
    :param churn: whether engines leave, flap and return.
    :param multiple: the multiple of the mean that the bound allows.
    :param surge: whether two large teams surge ten-fold for a fifth of
        the run.
    """

    def __init__(
        self,
        workload: Workload,
        policy: str,
        seed: int,
        churn: bool,
        surge: bool,
        multiple: float = 1.25,
    ) -> None:
        self.multiple = multiple
        self.load = workload
        self.policy = policy
        # Policies see the same chats and the same churn for one seed.
        self.seed = seed
        self.arrivals = random.Random(f"{seed} arrivals")
        self.churn = random.Random(f"{seed} churn")
        self.rng = random.Random(f"{seed} policy")
        self.clock = clock_module.ManualClock(0)
        self.events: list = []
        self.order = itertools.count()
        self.report = Report()
        self.engines = {
            f"engine-{n}": Engine(f"engine-{n}", workload)
            for n in range(workload.engines)
        }
        self.chats = itertools.count()
        self.surge = surge
        self.end_ms = int(workload.minutes * 60_000)
        self.granted: dict[int, typing.Callable] = {}
        self.weights = [1 / (n + 1) for n in range(workload.teams)]
        if policy == "bulrushdale":
            self.schedulers = [
                self.make_scheduler(n) for n in range(workload.shards)
            ]
        self.at(0, self.new_chat)
        self.at(SAMPLE_MS, self.sample)
        if churn:
            self.at(5_000, self.flap)

    def make_scheduler(self, shard: int) -> scheduler_module.Scheduler:
        """Return the scheduler of a shard, with a target for each engine."""
        found = {}
        for engine in self.engines.values():
            if targets.shard_of(engine.name, self.load.shards) == shard:
                spec = entries.Target(
                    pool="chat",
                    data_centre="a",
                    url="http://x:1",
                    slots=engine.slots,
                )
                found[engine.name] = targets.Target(engine.name, spec)
        quorum = bound.Quorum(True, True, 0)
        promise = entries.Promise(load_multiple=self.multiple)
        return scheduler_module.Scheduler(
            usable=lambda: [
                t for n, t in found.items() if self.engines[n].live
            ],
            promise=lambda: promise,
            team_limits=lambda _: (10_000, 10_000),
            ramp=lambda _: 1.0,
            quorum=lambda: quorum,
            send_reply=self.answered,
            clock=self.clock,
            rng=random.Random(0),
        )

    def at(self, time_ms: float, action: typing.Callable) -> None:
        """Do something at a time."""
        heapq.heappush(self.events, (time_ms, next(self.order), action))

    def run(self) -> Report:
        """Run to the end."""
        while self.events and self.events[0][0] < self.end_ms:
            time_ms, _, action = heapq.heappop(self.events)
            step = int(time_ms) - self.clock.now_ms()
            self.clock.advance(max(0, step))
            action()
        return self.report

    def rate(self) -> float:
        """Return the present rate of new chats, per ms."""
        now = self.clock.now_ms() / self.end_ms
        factor = 3.0 if self.surge and 0.4 < now < 0.6 else 1.0
        return self.load.chats_per_s * factor / 1_000

    def new_chat(self) -> None:
        """Begin a chat, and plan the next one."""
        self.at(
            self.clock.now_ms() + self.arrivals.expovariate(self.rate()),
            self.new_chat,
        )
        weights = list(self.weights)
        now = self.clock.now_ms() / self.end_ms
        if self.surge and 0.4 < now < 0.6:
            weights[0] *= 10
            weights[1] *= 10
        team = self.arrivals.choices(range(self.load.teams), weights)[0]
        turns = 1 + int(self.arrivals.expovariate(1 / self.load.turns))
        book = (("book", team), self.load.book_tokens)
        number = next(self.chats)
        rng = random.Random(f"{self.seed} chat {number}")
        chat = Chat(number, team, turns, [book], rng)
        self.turn(chat, 0)

    def turn(self, chat: Chat, number: int) -> None:
        """Send one turn of a chat."""
        chat.segments.append(((chat.number, number), 150))
        asked_ms = self.clock.now_ms()
        self.report.requests += 1

        def start(engine: Engine, done: typing.Callable) -> None:
            self.begin(chat, number, engine, asked_ms, done)

        affinity = hashing.hash64(f"book {chat.team}".encode())
        self.place(chat, affinity, start)

    def place(self, chat: Chat, affinity: int, start: typing.Callable) -> None:
        """Let the policy choose an engine."""
        live = [e for e in self.engines.values() if e.live]
        if not live:
            self.report.refused += 1
            return
        if self.policy == "bulrushdale":
            self.ask(chat, affinity, start)
            return
        if self.policy == "random":
            engine = self.rng.choice(live)
        elif self.policy == "least reported":
            least = min(e.reported for e in live)
            engine = self.rng.choice([e for e in live if e.reported == least])
        else:
            key = hashing.hash64(f"chat {chat.number}".encode())
            if self.policy == "hash by prefix":
                key = affinity
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

    def ask(self, chat: Chat, affinity: int, start: typing.Callable) -> None:
        """Request a slot of the shard that the prefix maps to."""
        scheduler = self.schedulers[0]
        if self.load.shards > 1:
            live = [e.name for e in self.engines.values() if e.live]
            name = hashing.winner(affinity, live)
            scheduler = self.schedulers[
                targets.shard_of(name, self.load.shards)
            ]
        seq = next(self.order)

        def granted(reply: reply_module.Reply) -> None:
            if reply.code:
                self.report.refused += 1
                return
            engine = self.engines[reply.target]
            engine.running += 1

            def release() -> None:
                engine.running -= 1
                scheduler.release("router", seq)

            start(engine, release)
            scheduler.mark_started("router", seq)

        self.granted[seq] = granted
        now_ms = self.clock.now_ms()
        chat_hash = hashing.hash64(f"chat {chat.number}".encode())
        scheduler.submit(
            queue.QueuedRequest(
                "router",
                seq,
                f"team-{chat.team}",
                "gold",
                1,
                affinity,
                chat_hash,
                0,
                now_ms,
                now_ms + 20_000,
            )
        )

    def answered(
        self, request: queue.QueuedRequest, reply: reply_module.Reply
    ) -> None:
        """Handle a reply of a scheduler."""
        self.granted.pop(request.seq)(reply)

    def begin(
        self,
        chat: Chat,
        number: int,
        engine: Engine,
        asked_ms: int,
        done: typing.Callable,
    ) -> None:
        """Run one turn on an engine."""
        prompt = sum(tokens for _, tokens in chat.segments)
        cached = engine.look_up(chat.segments)
        if number:
            self.report.reused += cached
            self.report.returned += prompt
        prefill_ms = (prompt - cached) / PREFILL_TOKENS_PER_MS
        now_ms = self.clock.now_ms()
        self.report.first_ms.append(now_ms - asked_ms + prefill_ms)
        tokens = 1 + int(chat.rng.expovariate(1 / self.load.answer_tokens))
        end_ms = now_ms + prefill_ms + tokens * TOKEN_MS

        def finish() -> None:
            done()
            answer = ((chat.number, f"answer {number}"), tokens)
            chat.segments.append(answer)
            engine.look_up([answer])
            if number + 1 < chat.turns:
                pause = chat.rng.expovariate(1 / self.load.think_ms)
                self.at(
                    self.clock.now_ms() + pause,
                    lambda: self.turn(chat, number + 1),
                )

        self.at(end_ms, finish)

    def sample(self) -> None:
        """Sample the skew; engines' reports follow with a lag."""
        self.at(self.clock.now_ms() + SAMPLE_MS, self.sample)
        live = [e for e in self.engines.values() if e.live]
        loads = [e.running + len(e.waiting) for e in live]
        if live and sum(loads) >= len(live):
            skew = max(loads) * len(live) / sum(loads)
            self.report.skew.append(skew)
            if 0.4 < self.clock.now_ms() / self.end_ms < 0.6:
                self.report.surge_skew.append(skew)
        for engine, load in zip(live, loads, strict=True):
            self.at(
                self.clock.now_ms() + REPORT_LAG_MS,
                lambda e=engine, n=load: setattr(e, "reported", n),
            )
        if self.policy == "bulrushdale":
            for scheduler in self.schedulers:
                scheduler.tick()

    def flap(self) -> None:
        """Take an engine away for a while; half of them come back empty."""
        share = max(1, len(self.engines) // 12)
        self.at(self.clock.now_ms() + 20_000 / share, self.flap)
        live = [e for e in self.engines.values() if e.live]
        if len(live) <= max(1, len(self.engines) // 2):
            return
        engine = self.churn.choice(live)
        engine.live = False
        away_ms = self.churn.uniform(4_000, 20_000)
        keeps = self.churn.random() < 0.5

        def back() -> None:
            engine.live = True
            if not keeps:
                engine.cache.clear()
                engine.held = 0

        self.at(self.clock.now_ms() + away_ms, back)


POLICIES = [
    "random",
    "least reported",
    "hash by chat",
    "hash by prefix",
    "bulrushdale",
]
