"""Replays a recorded trace on a running deployment.

A trace is a file of JSON lines. A line with ``at_ms`` is an action at that
time; a line with ``expect`` is a stated outcome, checked at the end.
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
class Answer:
    """What one request came to.

    :param label: the trace's name for it.
    :param key: the idempotency key, if any.
    :param status: the HTTP status; zero for no answer.
    :param code: the result code; zero for success.
    :param ran: what a refusal said of the effect.
    :param text: the answer's text or JSON.
    :param elapsed_ms: how long it took, in ms.
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
    """One replay of one trace."""

    def __init__(self, up: deployment.Deployment) -> None:
        self.up = up
        self.answers: list[Answer] = []
        self.keys: dict[str, str] = {}
        self.tasks: list[asyncio.Task] = []
        self.revisions: dict[str, int] = {}
        self.base_effects: dict[str, int] = {}
        self.begun_ns = 0
        self.marks: dict[str, int] = {}

    async def run(self, name: str) -> None:
        """Do the actions of a trace, then check its outcomes."""
        text = (TRACES / f"{name}.jsonl").read_text()
        lines = [json.loads(line) for line in text.splitlines() if line]
        self.begun_ns = time.monotonic_ns()
        start = time.monotonic()
        for line in lines:
            if "at_ms" not in line:
                continue
            delay = line["at_ms"] / 1000 - (time.monotonic() - start)
            await asyncio.sleep(max(0, delay))
            await self.act(line)
        await asyncio.gather(*self.tasks)
        for line in lines:
            if "expect" in line:
                await getattr(self, f"expect_{line['expect']}")(line)

    async def act(self, line: dict) -> None:
        """Do one action."""
        action = line["do"]
        if action in ("order", "chat", "load", "edit"):
            work = getattr(self, f"do_{action}")(line)
            self.tasks.append(asyncio.create_task(work))
        elif action in ("kill", "freeze", "thaw", "terminate"):
            self.marks[f"{action} {line['name']}"] = time.monotonic_ns()
            getattr(self.up, action)(line["name"])
        elif action == "faults":
            for name in self.names(line["name"]):
                await self.up.set_faults(name, **line["set"])
        elif action == "self_leaving":
            await self.up.set_faults(line["name"], leaving=True)
            self.marks[f"self {line['name']}"] = time.monotonic_ns()
        elif action == "restart":
            await self.up.restart(line["name"])
            self.marks.pop(f"terminate {line['name']}", None)
        elif action == "ready":
            await self.up.wait_ready()
        elif action == "list":
            self.up.vms[line["name"]]["state"] = line["state"]
            await self.up.publish_vms()
            self.marks[f"list {line['name']}"] = time.monotonic_ns()
        elif action == "change":
            revision = await self.up.update_entry(
                line["kind"], line["name"], **line["set"]
            )
            self.revisions[line.get("label", line["name"])] = revision
            self.marks[f"change {line['name']}"] = time.monotonic_ns()
        else:
            raise ValueError(f"unknown action {action}")

    def names(self, pattern: str) -> list[str]:
        """Return the processes whose names begin with a pattern."""
        return [name for name in self.up.processes if name.startswith(pattern)]

    def key(self, line: dict) -> str | None:
        """Return the real key behind a trace's name for it."""
        label = line.get("key")
        if label is None:
            return None
        if label not in self.keys:
            age_ms = line.get("key_age_ms", 0)
            now_ms = time.time_ns() // 1_000_000
            self.keys[label] = keys.generate(now_ms - age_ms)
        return self.keys[label]

    async def do_order(self, line: dict) -> None:
        """Send an order that may run once."""
        key = self.key(line)
        answer = Answer(line.get("label", line.get("key", "")), key or "")
        self.answers.append(answer)
        started = time.monotonic()
        try:
            status, body, headers = await self.up.order(
                line["router"], key, line.get("body")
            )
        except OSError:
            return
        except Exception as error:
            answer.text = repr(error)
            return
        finally:
            answer.elapsed_ms = (time.monotonic() - started) * 1000
        self.fill(answer, status, body, headers)

    def fill(
        self,
        answer: Answer,
        status: int,
        body: typing.Any,
        headers: typing.Mapping[str, str],
    ) -> None:
        """Take over a response."""
        answer.status = status
        answer.text = body
        answer.headers = dict(headers)
        if "Bulrushdale-Code" in headers:
            answer.code = int(headers["Bulrushdale-Code"])
            answer.ran = headers["Bulrushdale-Ran"]

    async def do_chat(self, line: dict) -> None:
        """Ask for a whole completion."""
        answer = Answer(line.get("label", "chat"))
        answer.content = line.get("content", "hello")
        answer.tokens = line.get("tokens", 8)
        self.answers.append(answer)
        started = time.monotonic()
        body = {
            "messages": [{"role": "user", "content": answer.content}],
            "max_tokens": answer.tokens,
        }
        try:
            status, text, headers = await self.up.chat(
                line["router"], line.get("team", "bakery"), **body
            )
        except Exception as error:
            answer.text = repr(error)
            return
        finally:
            answer.elapsed_ms = (time.monotonic() - started) * 1000
        self.fill(answer, status, text, headers)

    async def do_load(self, line: dict) -> None:
        """Send requests at a steady rate over some routers."""
        routers = line["routers"]
        count = line["rate_per_s"] * line["for_ms"] // 1000
        begun = time.monotonic()
        waiting = []
        for number in range(count):
            due = number / line["rate_per_s"]
            await asyncio.sleep(max(0, due - (time.monotonic() - begun)))
            one = {
                **line,
                "router": self.alive(routers, number),
                "content": f"chat {number % line.get('chats', 10**9)}",
                "label": line["label"],
            }
            if line.get("kind") == "order":
                one["key"] = f"{line['label']}-{number}"
                waiting.append(asyncio.create_task(self.do_order(one)))
            else:
                waiting.append(asyncio.create_task(self.do_chat(one)))
        await asyncio.gather(*waiting)

    def alive(self, routers: list[str], number: int) -> str:
        """Choose a router that runs and was not asked to stop.

        The platform's balancer does the same.
        """
        able = [
            name
            for name in routers
            if self.up.processes[name].popen.poll() is None
            and f"terminate {name}" not in self.marks
        ] or routers
        return able[number % len(able)]

    async def do_edit(self, line: dict) -> None:
        """Race an edit of an entry against others."""
        answer = Answer(line["label"])
        self.answers.append(answer)
        path = f"/catalogue/{line['kind']}/{line['name']}"
        expected = line.get("if_match") or self.revisions[line["base"]]
        status, body = await self.up.operator(
            line["router"],
            "PUT",
            path,
            json=line["spec"],
            headers={"If-Match": f'"{expected}"'},
        )
        answer.status = status
        answer.text = body

    def labelled(self, label: str) -> list[Answer]:
        """Return the answers of one label."""
        found = [a for a in self.answers if a.label == label]
        assert found, f"no request is labelled {label}"
        return found

    async def expect_status(self, line: dict) -> None:
        """Every request of a label got one of some statuses."""
        for answer in self.labelled(line["of"]):
            assert answer.status in line["in"], answer

    async def expect_codes(self, line: dict) -> None:
        """The result codes of a label, sorted, are these."""
        found = sorted(a.code for a in self.labelled(line["of"]))
        assert found == line["equals"], self.labelled(line["of"])

    async def expect_ran(self, line: dict) -> None:
        """Refusals of a label said this of the effect."""
        for answer in self.labelled(line["of"]):
            assert answer.ran == line["equals"], answer

    async def expect_prompt(self, line: dict) -> None:
        """Every request of a label was answered in time."""
        for answer in self.labelled(line["of"]):
            assert answer.elapsed_ms <= line["within_ms"], answer

    async def expect_effects(self, line: dict) -> None:
        """A key took effect exactly so often, or at most."""
        found = (await self.up.effects()).get(self.keys[line["key"]], 0)
        if "equals" in line:
            assert found == line["equals"], f"{line['key']}: {found}"
        else:
            assert found <= line["at_most"], f"{line['key']}: {found}"

    async def expect_honest(self, line: dict) -> None:
        """No key ran twice, and none that was only ever "not run" ran.

        ``success_share`` states how many of the keys must have run.
        """
        effects = await self.up.effects()
        by_key: dict[str, list[Answer]] = collections.defaultdict(list)
        for answer in self.answers:
            if answer.key:
                by_key[answer.key].append(answer)
        ran = 0
        for key, answers in by_key.items():
            count = effects.get(key, 0)
            assert count <= 1, answers
            if all(answer.ran == "no" for answer in answers):
                assert count == 0, answers
            if any(answer.status == 200 for answer in answers):
                assert count == 1, answers
                ran += 1
        share = ran / len(by_key)
        assert share >= line["success_share"], f"{share:.3f} succeeded"

    async def expect_one_winner(self, line: dict) -> None:
        """Exactly one of some racing edits was accepted."""
        found = [a for a in self.answers if a.label in line["of"]]
        won = [a for a in found if a.status == 200]
        lost = [a for a in found if a.status == 412]
        assert len(won) == 1, found
        assert len(won) + len(lost) == len(found), found

    async def expect_in_force(self, line: dict) -> None:
        """An entry reads the same on routers, with some fields."""
        path = f"/catalogue/{line['kind']}/{line['name']}"
        deadline = time.monotonic() + line["within_ms"] / 1000
        for router in line["routers"]:
            while True:
                status, entry = await self.up.operator(router, "GET", path)
                spec = entry.get("spec") or {}
                wanted = line["spec"].items()
                if status == 200 and wanted <= spec.items():
                    break
                assert time.monotonic() < deadline, (router, entry)
                await asyncio.sleep(0.1)

    async def expect_whole(self, line: dict) -> None:
        """Answers of a label that succeeded are the engines' own words."""
        from examples.standins import engine

        good = 0
        for answer in self.labelled(line["of"]):
            if answer.status != 200:
                continue
            good += 1
            text = answer.text["choices"][0]["message"]["content"]
            count = len(text.split())
            messages = [{"role": "user", "content": answer.content}]
            assert count == answer.tokens
            assert text == "".join(engine.response_words(messages, count))
        assert good >= line.get("at_least", 1)

    async def expect_share(self, line: dict) -> None:
        """A part of a label's requests succeeded.

        Requests that got no response, as their router was killed, count
        apart and are limited in number.
        """
        found = self.labelled(line["of"])
        answered = [a for a in found if a.status]
        assert len(found) - len(answered) <= line["lost_at_most"]
        good = sum(a.status == 200 for a in answered) / len(answered)
        assert good >= line["at_least"], f"{good:.3f} succeeded"

    async def expect_refusals(self, line: dict) -> None:
        """Refusals came at once, numbered, not run, with spread returns.

        Only a deadline (3003) may take as long as the class waits.
        """
        refused = [a for a in self.labelled(line["of"]) if a.code]
        assert refused
        for answer in refused:
            assert answer.code in line["codes"], answer
            assert answer.ran == "no", answer
        prompt = sorted(a.elapsed_ms for a in refused if a.code != 3003)
        middle = prompt[len(prompt) // 2]
        assert middle <= line["within_ms"], f"median {middle:.0f} ms"
        waits = {a.headers["Retry-After-Ms"] for a in refused}
        assert len(waits) >= line["distinct_waits"], waits

    async def expect_faster(self, line: dict) -> None:
        """The median answer of one label took less time than another's."""

        def median(label: str) -> float:
            times = sorted(
                a.elapsed_ms for a in self.labelled(label) if a.status == 200
            )
            return times[len(times) // 2]

        assert median(line["of"]) < median(line["than"])

    async def expect_quiet(self, line: dict) -> None:
        """A target began nothing new for longer than a time after a mark."""
        name = line["name"]
        limit_ns = self.marks[line["after"]] + line["within_ms"] * 1_000_000
        if name in self.up.engine_names():
            begun = (await self.up.get(name, "/events"))["started"]
        else:
            begun = (await self.up.get(name, "/-/stats"))["calls"]
        before = [at for at, _ in begun if self.begun_ns < at < limit_ns]
        late = [at for at, _ in begun if at >= limit_ns]
        assert before, f"{name} never had work"
        assert late == [], f"{len(late)} began late on {name}"

    async def expect_bound(self, line: dict) -> None:
        """No engine began work above the bound, as the engines count.

        A start that others' endings moved above the bound while the grant
        was under way is counted apart: it is within the bound of the mean
        ``window_ms`` earlier.
        """
        report = await bound_report(
            self.up,
            self.begun_ns,
            line["multiple"],
            line["least"],
            line["window_ms"],
            [
                (
                    out["name"],
                    *(
                        self.begun_ns + out[k] * 1_000_000
                        for k in ("from_ms", "to_ms")
                    ),
                )
                for out in line.get("out", [])
            ],
        )
        assert report.starts > line.get("starts", 0)
        assert report.broken == [], report.broken[:5]
        assert report.moved <= line["moved_at_most"] * report.starts, report


@dataclasses.dataclass
class BoundReport:
    """Starts against the bound.

    :param starts: how many starts there were.
    :param moved: starts above the bound that others' endings explain.
    :param broken: the others.
    :param skew: busiest over mean at each start with a mean of one or more.
    """

    starts: int
    moved: int
    broken: list[str]
    skew: list[float]


async def bound_report(
    up: deployment.Deployment,
    since_ns: int,
    multiple: float,
    least: int,
    window_ms: int,
    out: list[tuple[str, int, int]] = (),
) -> BoundReport:
    """Compare every start on every engine with the bound at that time.

    :param out: engines that refuse work, with the times from which and to
        which; the mean is then that of the others.
    """
    events = []
    engines = up.engine_names()
    for name in engines:
        found = (await up.get(name, "/events"))["events"]
        events += [(at, delta, name) for at, delta in found]
    events.sort()
    loads: collections.Counter = collections.Counter()
    totals: collections.deque = collections.deque()
    means: list[tuple[int, float]] = []
    report = BoundReport(0, 0, [], [])
    for at, delta, name in events:
        loads[name] += delta
        away = {one for one, begin, end in out if begin <= at < end}
        serving = [one for one in engines if one not in away]
        total = sum(loads[one] for one in serving)
        mean = total / len(serving)
        totals.append((at, mean))
        means.append((at, mean))
        while totals[0][0] < at - window_ms * 1_000_000:
            totals.popleft()
        if mean >= 1:
            report.skew.append(max(loads.values()) / mean)
        if delta < 0 or at < since_ns:
            continue
        report.starts += 1
        limit = max(least, math.ceil(multiple * mean))
        if loads[name] <= limit:
            continue
        most = max(earlier for _, earlier in totals)
        earlier = max(least, math.ceil(multiple * most))
        if loads[name] <= earlier:
            report.moved += 1
        else:
            fits = [
                when
                for when, one in means
                if math.ceil(multiple * one) >= loads[name]
            ]
            age = f"{(at - fits[-1]) // 1_000_000} ms" if fits else "never"
            report.broken.append(
                f"{name}: {loads[name]} above {earlier}, allowed by the mean"
                f" last: {age}"
            )
    return report
