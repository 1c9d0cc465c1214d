"""Replays a recorded trace on a running deployment.

A trace is a file of JSON lines. A line with ``at_ms`` is an action at that
time. A line with ``expect`` is an expected outcome, which is checked at the
end.
"""

import asyncio
import collections
import dataclasses
import json
import math
import pathlib
import time
import typing

from bulrushdale.claims import keys
from examples import deployment

TRACES = pathlib.Path(__file__).parent / "traces"
LATE_LIMIT_MS = 3_000


@dataclasses.dataclass
class RequestResult:
    """The result of one request.

    :param label: the name of the request in the trace.
    :param key: the idempotency key, if any.
    :param status: the HTTP status; zero for no response.
    :param code: the result code; zero for success.
    :param ran: whether the request ran, according to a refusal.
    :param text: the decoded body, or the error.
    :param elapsed_ms: how long the request took, in ms.
    :param content: the prompt of a chat.
    :param tokens: the number of tokens that a chat asked for.
    :param headers: the headers of the response.
    """

    label: str
    key: str = ""
    status: int = 0
    code: int = 0
    ran: str = ""
    text: typing.Any = None
    elapsed_ms: float = 0
    content: str = ""
    tokens: int = 0
    headers: dict = dataclasses.field(default_factory=dict)


class Replay:
    """Replays traces and records the results.

    :param fleet: the deployment.
    """

    def __init__(self, fleet: deployment.Deployment) -> None:
        self.fleet = fleet
        self.results: list[RequestResult] = []
        self.keys: dict[str, str] = {}
        self.tasks: list[asyncio.Task] = []
        self.revisions: dict[str, int] = {}
        self.base_effects: dict[str, int] = {}
        self.started_ns = 0
        self.marks_ns: dict[str, int] = {}

    async def run(self, name: str) -> None:
        """Run the actions of a trace, then check the expected outcomes."""
        text = (TRACES / f"{name}.jsonl").read_text()
        lines = [json.loads(line) for line in text.splitlines() if line]
        self.started_ns = time.monotonic_ns()
        start = time.monotonic()
        for line in lines:
            if "at_ms" not in line:
                continue
            delay = line["at_ms"] / 1000 - (time.monotonic() - start)
            await asyncio.sleep(max(0, delay))
            await self.run_action(line)
        await asyncio.gather(*self.tasks)
        for line in lines:
            if "expect" in line:
                await getattr(self, f"expect_{line['expect']}")(line)

    async def run_action(self, line: dict) -> None:
        """Run or start one action."""
        action = line["do"]
        if action in ("order", "chat", "load", "edit"):
            work = getattr(self, f"do_{action}")(line)
            self.tasks.append(asyncio.create_task(work))
        elif action in ("kill", "freeze", "thaw", "terminate"):
            self.marks_ns[f"{action} {line['name']}"] = time.monotonic_ns()
            getattr(self.fleet, action)(line["name"])
        elif action == "faults":
            for name in self.process_names(line["name"]):
                await self.fleet.set_faults(name, **line["set"])
        elif action == "self_leaving":
            await self.fleet.set_faults(line["name"], leaving=True)
            self.marks_ns[f"self {line['name']}"] = time.monotonic_ns()
        elif action == "restart":
            await self.fleet.restart(line["name"])
            self.marks_ns.pop(f"terminate {line['name']}", None)
        elif action == "ready":
            await self.fleet.wait_ready()
        elif action == "list":
            self.fleet.vms[line["name"]]["state"] = line["state"]
            await self.fleet.publish_vms()
            self.marks_ns[f"list {line['name']}"] = time.monotonic_ns()
        elif action == "change":
            revision = await self.fleet.update_entry(
                line["kind"], line["name"], **line["set"]
            )
            self.revisions[line.get("label", line["name"])] = revision
            self.marks_ns[f"change {line['name']}"] = time.monotonic_ns()
        else:
            raise ValueError(f"unknown action {action}")

    def process_names(self, pattern: str) -> list[str]:
        """Return the processes whose names start with a pattern."""
        return [
            name for name in self.fleet.processes if name.startswith(pattern)
        ]

    def key_for(self, line: dict) -> str | None:
        """Return the idempotency key for the key name in a line.

        It is generated when the name first occurs.
        """
        key_name = line.get("key")
        if key_name is None:
            return None
        if key_name not in self.keys:
            age_ms = line.get("key_age_ms", 0)
            now_ms = time.time_ns() // 1_000_000
            self.keys[key_name] = keys.generate(now_ms - age_ms)
        return self.keys[key_name]

    async def do_order(self, line: dict) -> None:
        """Send an order that may run once."""
        key = self.key_for(line)
        result = RequestResult(
            line.get("label", line.get("key", "")), key or ""
        )
        self.results.append(result)
        started = time.monotonic()
        try:
            status, body, headers = await self.fleet.order(
                line["router"], key, line.get("body")
            )
        except OSError:
            return
        except Exception as error:
            result.text = repr(error)
            return
        finally:
            result.elapsed_ms = (time.monotonic() - started) * 1000
        self.record_response(result, status, body, headers)

    def record_response(
        self,
        result: RequestResult,
        status: int,
        body: typing.Any,
        headers: typing.Mapping[str, str],
    ) -> None:
        """Record a response."""
        result.status = status
        result.text = body
        result.headers = dict(headers)
        if "Bulrushdale-Code" in headers:
            result.code = int(headers["Bulrushdale-Code"])
            result.ran = headers["Bulrushdale-Ran"]

    async def do_chat(self, line: dict) -> None:
        """Request a completion that isn't streamed."""
        result = RequestResult(line.get("label", "chat"))
        result.content = line.get("content", "hello")
        result.tokens = line.get("tokens", 8)
        self.results.append(result)
        started = time.monotonic()
        body = {
            "messages": [{"role": "user", "content": result.content}],
            "max_tokens": result.tokens,
        }
        try:
            status, text, headers = await self.fleet.chat(
                line["router"], line.get("team", "bakery"), **body
            )
        except Exception as error:
            result.text = repr(error)
            return
        finally:
            result.elapsed_ms = (time.monotonic() - started) * 1000
        self.record_response(result, status, text, headers)

    async def do_load(self, line: dict) -> None:
        """Send requests to some routers at a constant rate."""
        routers = line["routers"]
        count = line["rate_per_s"] * line["for_ms"] // 1000
        started = time.monotonic()
        tasks = []
        for number in range(count):
            due_s = number / line["rate_per_s"]
            await asyncio.sleep(max(0, due_s - (time.monotonic() - started)))
            request = {
                **line,
                "router": self.choose_router(routers, number),
                "content": f"chat {number % line.get('chats', 10**9)}",
                "label": line["label"],
            }
            if line.get("kind") == "order":
                request["key"] = f"{line['label']}-{number}"
                tasks.append(asyncio.create_task(self.do_order(request)))
            else:
                tasks.append(asyncio.create_task(self.do_chat(request)))
        await asyncio.gather(*tasks)

    def choose_router(self, routers: list[str], number: int) -> str:
        """Return a router that runs and wasn't told to stop.

        The load balancer of the platform also sends requests only to these.
        """
        available = [
            name
            for name in routers
            if self.fleet.processes[name].popen.poll() is None
            and f"terminate {name}" not in self.marks_ns
        ] or routers
        return available[number % len(available)]

    async def do_edit(self, line: dict) -> None:
        """Edit an entry while other edits of it are in progress."""
        result = RequestResult(line["label"])
        self.results.append(result)
        path = f"/catalogue/{line['kind']}/{line['name']}"
        expected = line.get("if_match") or self.revisions[line["base"]]
        status, body = await self.fleet.operator(
            line["router"],
            "PUT",
            path,
            json=line["spec"],
            headers={"If-Match": f'"{expected}"'},
        )
        result.status = status
        result.text = body

    def labelled(self, label: str) -> list[RequestResult]:
        """Return the results of one label."""
        found = [r for r in self.results if r.label == label]
        assert found, f"no request is labelled {label}"
        return found

    async def expect_status(self, line: dict) -> None:
        """Check that each request of a label got one of some statuses."""
        for result in self.labelled(line["of"]):
            assert result.status in line["in"], result

    async def expect_codes(self, line: dict) -> None:
        """Check the sorted result codes of a label."""
        found = sorted(r.code for r in self.labelled(line["of"]))
        assert found == line["equals"], self.labelled(line["of"])

    async def expect_ran(self, line: dict) -> None:
        """Check whether the requests of a label ran, according to refusals."""
        for result in self.labelled(line["of"]):
            assert result.ran == line["equals"], result

    async def expect_prompt(self, line: dict) -> None:
        """Check that each request of a label got its result in time."""
        for result in self.labelled(line["of"]):
            assert result.elapsed_ms <= line["within_ms"], result

    async def expect_effects(self, line: dict) -> None:
        """Check the number of effects of a key, or its upper limit."""
        found = (await self.fleet.effects()).get(self.keys[line["key"]], 0)
        if "equals" in line:
            assert found == line["equals"], f"{line['key']}: {found}"
        else:
            assert found <= line["at_most"], f"{line['key']}: {found}"

    async def expect_honest(self, line: dict) -> None:
        """Check that no key ran twice, and that refusals are true.

        A key whose requests were all refused as not run must have no effect.
        ``success_share`` is the lowest share of the keys that must succeed.
        """
        effects = await self.fleet.effects()
        by_key: dict[str, list[RequestResult]] = collections.defaultdict(list)
        for result in self.results:
            if result.key:
                by_key[result.key].append(result)
        ran = 0
        for key, results in by_key.items():
            count = effects.get(key, 0)
            assert count <= 1, results
            if all(result.ran == "no" for result in results):
                assert count == 0, results
            if any(result.status == 200 for result in results):
                assert count == 1, results
                ran += 1
        share = ran / len(by_key)
        assert share >= line["success_share"], f"{share:.3f} succeeded"

    async def expect_one_winner(self, line: dict) -> None:
        """Check that exactly one of some concurrent edits was accepted."""
        found = [r for r in self.results if r.label in line["of"]]
        accepted = [r for r in found if r.status == 200]
        rejected = [r for r in found if r.status == 412]
        assert len(accepted) == 1, found
        assert len(accepted) + len(rejected) == len(found), found

    async def expect_in_force(self, line: dict) -> None:
        """Check that routers return an entry with some fields in time."""
        path = f"/catalogue/{line['kind']}/{line['name']}"
        deadline = time.monotonic() + line["within_ms"] / 1000
        for router in line["routers"]:
            while True:
                status, entry = await self.fleet.operator(router, "GET", path)
                spec = entry.get("spec") or {}
                wanted = line["spec"].items()
                if status == 200 and wanted <= spec.items():
                    break
                assert time.monotonic() < deadline, (router, entry)
                await asyncio.sleep(0.1)

    async def expect_whole(self, line: dict) -> None:
        """Check that each answer of a label is complete and unchanged."""
        from examples.standins import engine

        successes = 0
        for result in self.labelled(line["of"]):
            if result.status != 200:
                continue
            successes += 1
            text = result.text["choices"][0]["message"]["content"]
            count = len(text.split())
            messages = [{"role": "user", "content": result.content}]
            assert count == result.tokens
            assert text == "".join(engine.response_words(messages, count))
        assert successes >= line.get("at_least", 1)

    async def expect_share(self, line: dict) -> None:
        """Check which share of a label's requests succeeded.

        Requests without a response, because their router was killed, are
        counted separately and have their own limit.
        """
        found = self.labelled(line["of"])
        responded = [r for r in found if r.status]
        assert len(found) - len(responded) <= line["lost_at_most"]
        success_share = sum(r.status == 200 for r in responded) / len(
            responded
        )
        assert success_share >= line["at_least"], (
            f"{success_share:.3f} succeeded"
        )

    async def expect_refusals(self, line: dict) -> None:
        """Check the codes, the speed and the retry times of refusals.

        No refused request may have run, and the retry times must be spread.
        Only the refusal of a deadline (3003) may take as long as the class
        may wait.
        """
        refused = [r for r in self.labelled(line["of"]) if r.code]
        assert refused
        for result in refused:
            assert result.code in line["codes"], result
            assert result.ran == "no", result
        times = sorted(r.elapsed_ms for r in refused if r.code != 3003)
        median = times[len(times) // 2]
        assert median <= line["within_ms"], f"median {median:.0f} ms"
        retry_after_ms = {r.headers["Retry-After-Ms"] for r in refused}
        assert len(retry_after_ms) >= line["distinct_waits"], retry_after_ms

    async def expect_faster(self, line: dict) -> None:
        """Check that one label's median request time is below another's."""

        def median(label: str) -> float:
            times = sorted(
                r.elapsed_ms for r in self.labelled(label) if r.status == 200
            )
            return times[len(times) // 2]

        assert median(line["of"]) < median(line["than"])

    async def expect_quiet(self, line: dict) -> None:
        """Check that a target starts nothing new some time after an action."""
        name = line["name"]
        limit_ns = self.marks_ns[line["after"]] + line["within_ms"] * 1_000_000
        if name in self.fleet.engine_names():
            starts = (await self.fleet.get(name, "/events"))["started"]
        else:
            starts = (await self.fleet.get(name, "/-/stats"))["calls"]
        before = [at for at, _ in starts if self.started_ns < at < limit_ns]
        late = [at for at, _ in starts if at >= limit_ns]
        assert before, f"{name} never had work"
        assert late == [], f"{len(late)} requests started late on {name}"

    async def expect_bound(self, line: dict) -> None:
        """Check that no engine started a request above the bound.

        The engines count their own requests. Requests that end elsewhere
        while a grant is on its way lower the mean and thus the bound. A start
        that is only within the bound of a mean of the last ``window_ms`` is
        therefore counted separately.
        """
        report = await bound_report(
            self.fleet,
            self.started_ns,
            line["multiple"],
            line["least"],
            line["window_ms"],
            [
                (
                    outage["name"],
                    *(
                        self.started_ns + outage[field] * 1_000_000
                        for field in ("from_ms", "to_ms")
                    ),
                )
                for outage in line.get("out", [])
            ],
        )
        assert report.starts > line.get("starts", 0)
        assert report.violations == [], report.violations[:5]
        assert (
            report.allowed_earlier <= line["moved_at_most"] * report.starts
        ), report


@dataclasses.dataclass
class BoundReport:
    """The starts of requests, compared with the bound.

    :param starts: the number of starts.
    :param allowed_earlier: the number of starts that are above the bound, but
        within the bound of a mean in the time window before.
    :param violations: descriptions of the other starts above the bound.
    :param skew: the highest load divided by the mean, at each event with a
        mean of at least one.
    """

    starts: int
    allowed_earlier: int
    violations: list[str]
    skew: list[float]


async def bound_report(
    fleet: deployment.Deployment,
    since_ns: int,
    multiple: float,
    least: int,
    window_ms: int,
    outages: list[tuple[str, int, int]] = (),
) -> BoundReport:
    """Compare each start on each engine with the bound at that time.

    :param fleet: the deployment.
    :param since_ns: when the first start counts, in ns.
    :param multiple: the bound as a multiple of the mean.
    :param least: the lowest bound.
    :param window_ms: how long an earlier mean allows a start, in ms.
    :param outages: engines that refuse work, each with the start and the end
        of that time, in ns; the mean is then that of the other engines.
    """
    events = []
    engines = fleet.engine_names()
    for name in engines:
        found = (await fleet.get(name, "/events"))["events"]
        events += [(at, delta, name) for at, delta in found]
    events.sort()
    loads: collections.Counter = collections.Counter()
    recent_means: collections.deque = collections.deque()
    means: list[tuple[int, float]] = []
    report = BoundReport(0, 0, [], [])
    for at, delta, name in events:
        loads[name] += delta
        unavailable = {one for one, start, end in outages if start <= at < end}
        serving = [one for one in engines if one not in unavailable]
        total = sum(loads[one] for one in serving)
        mean = total / len(serving)
        recent_means.append((at, mean))
        means.append((at, mean))
        while recent_means[0][0] < at - window_ms * 1_000_000:
            recent_means.popleft()
        if mean >= 1:
            report.skew.append(max(loads.values()) / mean)
        if delta < 0 or at < since_ns:
            continue
        report.starts += 1
        limit = max(least, math.ceil(multiple * mean))
        if loads[name] <= limit:
            continue
        max_mean = max(earlier for _, earlier in recent_means)
        earlier_limit = max(least, math.ceil(multiple * max_mean))
        if loads[name] <= earlier_limit:
            report.allowed_earlier += 1
        else:
            allowed_ns = [
                when
                for when, one in means
                if math.ceil(multiple * one) >= loads[name]
            ]
            age = (
                f"{(at - allowed_ns[-1]) // 1_000_000} ms"
                if allowed_ns
                else "never"
            )
            report.violations.append(
                f"{name}: {loads[name]} above {earlier_limit}, allowed by the"
                f" mean last: {age}"
            )
    return report
