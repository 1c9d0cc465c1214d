"""Several routers in one process, with links that the test controls.

The routers run their own slot clients, schedulers and frame handlers. Only
the transport below them is replaced: frames move when the test moves them,
and the test can cut links and freeze routers.
"""

import asyncio
import collections
import contextlib
import math
import random
import types

from bulrushdale.admission import queue
from bulrushdale.admission import schedulers as schedulers_module
from bulrushdale.admission import scope as scope_module
from bulrushdale.admission import session as session_module
from bulrushdale.admission import slot_client as slot_client_module
from bulrushdale.catalogue import entries
from bulrushdale.catalogue import state
from bulrushdale.catalogue import view as view_module
from bulrushdale import clock as clock_module
from bulrushdale.control import control_pb2 as pb
from bulrushdale.fleet import link as link_module
from bulrushdale.fleet import links as links_module
from bulrushdale.fleet import members as members_module
from bulrushdale.fleet import targets as targets_module
from bulrushdale import peering
from bulrushdale.platform import vms

CENTRE = "mid-a"
POOL = "chat"
LEASE_MS = 2_500
SWITCH_MS = 3_500
LAG_MS = 500


def entry(kind: str, name: str, spec: dict, revision: int) -> entries.Entry:
    stored = entries.encode(entries.parse(kind, spec))
    return entries.Entry(kind, name, revision, stored, 0, "tester")


def catalogue(promise: dict, engines: int, slots: int) -> state.Catalogue:
    """Return a catalogue with a pool, its targets and two teams."""
    found = state.Catalogue()
    specs = [
        ("promise", "fleet", promise),
        ("class", "gold", {"weight": 1, "queue_ms": 10_000}),
        ("pool", POOL, {"model": "loaf-1"}),
    ]
    for name in ("bakery", "agencia"):
        team = {"owner": name, "class_of_service": "gold", "key_sha256": []}
        specs.append(("team", name, team))
    for number in range(engines):
        target = {
            "pool": POOL,
            "data_centre": CENTRE,
            "url": "http://127.0.0.1:1",
            "slots": slots,
        }
        specs.append(("target", f"engine-{number}", target))
    found.merge(
        entry(kind, name, spec, number + 1)
        for number, (kind, name, spec) in enumerate(specs)
    )
    found.advance(len(specs))
    return found


class Links:
    """The links of one router in the test's network."""

    def __init__(self) -> None:
        self.open: dict[str, link_module.Link] = {}

    def get(self, name: str) -> link_module.Link | None:
        return self.open.get(name)

    def all(self) -> list[link_module.Link]:
        return list(self.open.values())


class Node:
    """One router."""

    def __init__(
        self,
        name: str,
        names: list[str],
        clock: clock_module.ManualClock,
        shared_catalogue: state.Catalogue,
        seed: int,
    ) -> None:
        self.name = name
        self.frozen = False
        self.inbox: dict[str, list[pb.Frame | None]] = {
            other: [] for other in names
        }
        own = members_module.Member(name, CENTRE)
        self.members = members_module.Members(own, clock, 15_000)
        self.members.apply_vm_list(
            1,
            [vms.Vm(n, True, CENTRE, f"{n}:1", "", False) for n in names],
        )
        self.links = Links()
        view = view_module.View(shared_catalogue)
        self.targets = targets_module.Targets(view, CENTRE, clock)
        scope = scope_module.Scope(
            name,
            view,
            self.targets,
            self.members,
            self.links,
            clock,
            LEASE_MS,
        )
        self.slot_client = slot_client_module.SlotClient(scope)
        self.schedulers = schedulers_module.Schedulers(
            scope,
            self.slot_client.receive_own_reply,
            random.Random(seed),
        )
        self.slot_client.bind(self.schedulers)
        self.frame_handler = peering.FrameHandler(clock)
        self.frame_handler.bind(
            types.SimpleNamespace(
                schedulers=self.schedulers,
                slot_client=self.slot_client,
                catalogue=shared_catalogue,
                members=self.members,
                telemetry=types.SimpleNamespace(
                    placement_span=lambda _: contextlib.nullcontext()
                ),
                tail=types.SimpleNamespace(read_ms=None),
                claim_client=None,
                links=self.links,
            )
        )
        self.members.vm_list_seen_ms = clock.now_ms()
        self.grants: list[session_module.Grant] = []
        self.acquiring: list[asyncio.Task] = []


class Network:
    """Routers and their links, with a check of the bound on every grant.

    :param count: the number of routers.
    :param promise: the spec of ``promise/fleet``.
    :param engines: the number of engines.
    :param slots: the number of slots of each engine.
    """

    def __init__(
        self, count: int, promise: dict, engines: int = 3, slots: int = 20
    ) -> None:
        self.clock = clock_module.ManualClock()
        self.loop = asyncio.new_event_loop()
        self.promise = entries.Promise(**promise)
        self.engines = engines
        names = [f"router-{number}" for number in range(count)]
        shared_catalogue = catalogue(promise, engines, slots)
        self.nodes = {
            name: Node(name, names, self.clock, shared_catalogue, number)
            for number, name in enumerate(names)
        }
        self.cuts: set[frozenset[str]] = set()
        self.load_samples: list[tuple[int, collections.Counter]] = []
        self.violations: list[str] = []
        self.granted = 0
        for node in self.nodes.values():
            self._check_grants(node)

    def _check_grants(self, node: Node) -> None:
        """Check the bound with each grant that a node's schedulers send."""
        send_reply = node.schedulers._send_reply

        def checked(key, request: queue.QueuedRequest, reply) -> None:
            if reply.code == 0:
                self.granted += 1
                self._check_bound(node, reply.target)
            send_reply(key, request, reply)

        node.schedulers._send_reply = checked

    def slots_held(self) -> dict[tuple[str, int], str]:
        """Return the target of every slot in force.

        These are the slots that routers hold, and those that coordinators
        have granted to routers that still wait for the reply.
        """
        found = {}
        for node in self.nodes.values():
            scheduler = node.schedulers.scheduler((POOL, 0))
            for (router, seq), slot in scheduler.slot_table.slots():
                session = self.nodes[router].slot_client._sessions.get(
                    (POOL, 0)
                )
                if session and (seq in session.held or seq in session.pending):
                    found[(router, seq)] = slot.target
            for session in node.slot_client._sessions.values():
                for seq, held in session.held.items():
                    found[(node.name, seq)] = held.target
        return found

    def _check_bound(self, node: Node, target: str) -> None:
        """Record a violation if a target's load is above the bound."""
        held = list(self.slots_held().values())
        mean = len(held) / self.engines
        limit = max(
            self.promise.least_bound,
            math.ceil(self.promise.load_multiple * mean),
        )
        if held.count(target) > limit:
            self.violations.append(
                f"{node.name} granted {target} at {held.count(target)},"
                f" the bound is {limit}"
            )

    def run_ready_tasks(self) -> None:
        """Run the tasks that are ready."""
        for _ in range(4):
            self.loop.run_until_complete(asyncio.sleep(0))

    def connect(self, one: str, two: str) -> None:
        """Open a link between two routers if they can reach each other."""
        if frozenset((one, two)) in self.cuts:
            return
        nodes = (self.nodes[one], self.nodes[two])
        if nodes[0].frozen or nodes[1].frozen:
            return
        if two in nodes[0].links.open and one in nodes[1].links.open:
            return
        for node, other in (nodes, nodes[::-1]):
            if other.name in node.links.open:
                self.close(node, other.name)
        for node, other in (nodes, nodes[::-1]):
            node.inbox[other.name].clear()
            member = node.members.get(other.name)
            member.linked = True
            member.last_received_ms = self.clock.now_ms()
            link = link_module.Link(member, self.clock.now_ms())
            node.links.open[other.name] = link
        for node, other in (nodes, nodes[::-1]):
            self.queue_heartbeat(node, other.name)
            node.frame_handler.link_opened(node.links.open[other.name])

    def close(self, node: Node, other: str) -> None:
        """Close one end, and notify the other one unless the link is cut."""
        link = node.links.open.pop(other, None)
        if link is None:
            return
        link.peer.linked = False
        node.frame_handler.link_lost(link)
        if frozenset((node.name, other)) not in self.cuts:
            self.nodes[other].inbox[node.name].append(None)

    def queue_heartbeat(self, node: Node, other: str) -> None:
        """Queue a heartbeat for the next frame to another router."""
        link = node.links.open[other]
        heartbeat = link.queue().heartbeat
        heartbeat.draining = node.members.own.draining
        heartbeat.sent_ms = self.clock.now_ms() & links_module.CLOCK_MASK
        heartbeat.echo_ms = link.peer_clock_ms

    def send_heartbeats(self, name: str) -> None:
        """Send heartbeats and close unresponsive links, as the daemon does."""
        node = self.nodes[name]
        if node.frozen:
            return
        for other, link in list(node.links.open.items()):
            if self.clock.now_ms() - link.last_received_ms > SWITCH_MS:
                self.close(node, other)
            else:
                self.queue_heartbeat(node, other)

    def maintain(self, name: str) -> None:
        """Run the periodic work of one router."""
        node = self.nodes[name]
        if not node.frozen:
            node.slot_client.maintain()
            node.schedulers.tick()
            self.run_ready_tasks()

    def flush(self, one: str, two: str) -> None:
        """Move the queued frame of one router to another's inbox.

        A frame on a cut link is lost.
        """
        link = self.nodes[one].links.open.get(two)
        if link is None or self.nodes[one].frozen:
            return
        if not link._pending.ByteSize():
            return
        frame = link._pending
        link._pending = pb.Frame()
        if frozenset((one, two)) not in self.cuts:
            self.nodes[two].inbox[one].append(frame)

    def handle_frames(self, name: str, sender: str) -> None:
        """Let a router handle the frames that arrived from another one."""
        node = self.nodes[name]
        if node.frozen:
            return
        arrived, node.inbox[sender] = node.inbox[sender], []
        for frame in arrived:
            link = node.links.open.get(sender)
            if frame is None:
                # The sender has closed its end.
                if link is not None:
                    self.close(node, sender)
                continue
            if link is None:
                continue
            link.record_frame(self.clock.now_ms())
            if frame.HasField("heartbeat"):
                apply_heartbeat = links_module.Links._apply_heartbeat
                # This network has no real Links object; the method only reads
                # its clock.
                apply_heartbeat(
                    types.SimpleNamespace(_clock=self.clock),
                    link,
                    frame.heartbeat,
                )
            node.frame_handler.frame_received(link, frame)
        self.run_ready_tasks()

    def request_slot(self, name: str, affinity_key: int) -> None:
        """Let a router request a slot, which it holds until released."""
        node = self.nodes[name]
        if node.frozen:
            return
        requirements = session_module.SlotRequirements(
            POOL, "bakery", "gold", 1, 10_000, affinity_key
        )

        async def acquire() -> None:
            grant = await node.slot_client.acquire(requirements)
            node.slot_client.report_started(grant)
            node.grants.append(grant)

        node.acquiring.append(self.loop.create_task(acquire()))
        self.run_ready_tasks()

    def release(self, name: str) -> None:
        """Let a router release its oldest slot."""
        node = self.nodes[name]
        if node.grants and not node.frozen:
            node.slot_client.release(node.grants.pop(0))

    def settle(self, rounds: int = 6) -> None:
        """Deliver and handle all frames, with no time passing."""
        for _ in range(rounds):
            for one in self.nodes:
                for two in self.nodes:
                    if one != two:
                        self.flush(one, two)
            for one in self.nodes:
                for two in self.nodes:
                    if one != two:
                        self.handle_frames(one, two)

    def probe(self, name: str) -> None:
        """Let a coordinator read the engines' lagging load reports."""
        node = self.nodes[name]
        if node.frozen:
            return
        now_ms = self.clock.now_ms()
        reported: collections.Counter = collections.Counter()
        for at_ms, loads in self.load_samples:
            if at_ms <= now_ms - LAG_MS:
                reported = loads
        for target in node.schedulers.targets_to_probe():
            node.targets.record_probe(target, reported[target.name], False)
            node.schedulers.record_report(target)

    def sample_loads(self) -> None:
        """Record the current load of the engines for later reports."""
        loads = collections.Counter(
            grant.target
            for node in self.nodes.values()
            for grant in node.grants
        )
        self.load_samples.append((self.clock.now_ms(), loads))
        del self.load_samples[:-100]

    def step(self, delta_ms: int) -> None:
        """Advance the time in steps of 100 ms, with the periodic work."""
        for _ in range(max(1, delta_ms // 100)):
            self.clock.advance(min(delta_ms, 100))
            for name in self.nodes:
                self.maintain(name)
                self.nodes[name].members.vm_list_seen_ms = self.clock.now_ms()
                if self.clock.now_ms() % 1_000 < 100:
                    self.send_heartbeats(name)
                    self.probe(name)
            self.sample_loads()
            self.settle(2)

    def connect_all(self) -> None:
        """Open every link that can be opened, and let all routers attach."""
        names = list(self.nodes)
        for index, one in enumerate(names):
            for two in names[index + 1 :]:
                self.connect(one, two)
        self.settle()

    def stop(self) -> None:
        """Cancel all tasks and close the event loop."""
        for node in self.nodes.values():
            for task in node.acquiring:
                task.cancel()
        self.run_ready_tasks()
        for node in self.nodes.values():
            for task in node.acquiring:
                if task.done() and not task.cancelled():
                    task.exception()
        self.loop.close()
