"""Client that claims idempotency keys for one router."""

import asyncio
import dataclasses
import itertools
import logging
import typing
import uuid

from bulrushdale.claims import claim_table
from bulrushdale.claims import keys
from bulrushdale.claims import partition_server
from bulrushdale import clock as clock_module
from bulrushdale.control import control_pb2 as pb
from bulrushdale.fleet import link as link_module
from bulrushdale.fleet import links as links_module
from bulrushdale.fleet import members as members_module
from bulrushdale import hashing
from bulrushdale.platform import log

LOG = logging.getLogger(__name__)

CLAIM_TIMEOUT_MS = 3_000
REPLY_GRACE_MS = 500
BACKGROUND_TIMEOUT_MS = 10_000
BACKGROUND_INTERVAL_MS = 1_000
MAX_RELEASE_TRIES = 3_600
MAX_OUTCOME_TRIES = 600
CLAIM_ID_BYTES = 8

Decision = partition_server.Decision
Item = claim_table.Item
Operation = claim_table.Operation
Verdict = claim_table.Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """One router's claim of one key.

    :param key: the key.
    :param claim_id: 8 random bytes that are unique to this claim.
    :param body_digest: digest of the request's body.
    """

    key: keys.Key
    claim_id: bytes
    body_digest: bytes


class ClaimClient:
    """Claims keys and records the outcomes of their service requests.

    Operations on a key go to its partition server, which may be this router.

    :param own: this router's name.
    :param members: the known routers.
    :param links: the links to them.
    :param log_client: the client of the log.
    :param clock: the clock.
    :param life_ms: returns the lifetime of a key, in ms.
    :param interval_ms: returns the minimum time between two appends of one
        partition, in ms.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        own: str,
        members: members_module.Members,
        links: links_module.Links,
        log_client: log.Log,
        clock: clock_module.Clock,
        life_ms: typing.Callable[[], int],
        interval_ms: typing.Callable[[], int],
    ) -> None:
        self._own = own
        self._members = members
        self._links = links
        self._log_client = log_client
        self._clock = clock
        self._life_ms = life_ms
        self._interval_ms = interval_ms
        self._servers: dict[int, partition_server.PartitionServer] = {}
        self._seq = itertools.count(1)
        self._replies: dict[int, asyncio.Future[Decision]] = {}
        self._background: set[asyncio.Task[None]] = set()

    async def claim(
        self, key: keys.Key, body_digest: bytes
    ) -> tuple[Claim, Decision]:
        """Claim a key.

        :param key: the key.
        :param body_digest: digest of the request's body.
        :return: the claim and the decision; with any verdict but ``WON``
            the service request must not be sent, and after ``UNAVAILABLE``
            the claim must be released.
        """
        claim = Claim(key, uuid.uuid4().bytes[:CLAIM_ID_BYTES], body_digest)
        item = Item(Operation.CLAIM, key, claim.claim_id, body_digest)
        decision = await self._request(item, CLAIM_TIMEOUT_MS)
        return claim, decision

    async def look_up(self, claim: Claim) -> Decision:
        """Return the state of a key without claiming it."""
        item = Item(
            Operation.LOOK, claim.key, claim.claim_id, claim.body_digest
        )
        return await self._request(item, CLAIM_TIMEOUT_MS)

    def record_outcome(
        self, claim: Claim, outcome: claim_table.Outcome
    ) -> None:
        """Record the outcome of a service request, in the background."""
        item = Item(
            Operation.OUTCOME,
            claim.key,
            claim.claim_id,
            claim.body_digest,
            outcome,
        )
        self._persist_in_background(item, MAX_OUTCOME_TRIES)

    def release(self, claim: Claim) -> None:
        """Record that the service request was not and won't be sent.

        The record is written in the background.
        """
        item = Item(Operation.RELEASE, claim.key, claim.claim_id)
        self._persist_in_background(item, MAX_RELEASE_TRIES)

    def _persist_in_background(self, item: Item, tries: int) -> None:
        task = asyncio.create_task(self._persist(item, tries))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _persist(self, item: Item, tries: int) -> None:
        """Request an operation until it is recorded, up to *tries* times."""
        for _ in range(tries):
            decision = await self._request(item, BACKGROUND_TIMEOUT_MS)
            if decision.verdict == Verdict.NOTED:
                return
            await self._clock.sleep_ms(BACKGROUND_INTERVAL_MS)
        LOG.error("%s of a claim was not recorded", item.operation.name)

    async def flush(self) -> None:
        """Wait until the background tasks have finished."""
        while self._background:
            await asyncio.gather(*self._background, return_exceptions=True)

    def _server_names(self, partition: int) -> list[str]:
        """Return the partition server of a partition, then its backup."""
        names = self._members.eligible() or [self._own]
        label = hashing.hash64(f"claims/{partition}".encode())
        return hashing.rendezvous(label, names)[:2]

    async def _request(self, item: Item, timeout_ms: int) -> Decision:
        """Send an operation to the partition server or its backup.

        The backup gets it if the partition server has no link to this
        router or doesn't reply in time.
        """
        for name in self._server_names(item.key.partition):
            if name == self._own:
                return await self.handle(item, timeout_ms)
            link = self._links.get(name)
            if link is None:
                continue
            decision = await self._request_peer(link, item, timeout_ms)
            if decision is not None:
                return decision
        return Decision(Verdict.UNAVAILABLE)

    async def _request_peer(
        self, link: link_module.Link, item: Item, timeout_ms: int
    ) -> Decision | None:
        """Send an operation to a peer and wait for the reply.

        :return: the decision; None if the link closed or no reply came in
            time.
        """
        seq = next(self._seq) & 0xFFFFFFFF
        future = asyncio.get_running_loop().create_future()
        self._replies[seq] = future
        request = link.queue().claim_requests.add(
            seq=seq,
            partition=item.key.partition,
            key=item.key.digest,
            body=item.body_digest,
            claim_id=item.claim_id,
            operation=int(item.operation),
            timeout_ms=timeout_ms,
        )
        if item.outcome is not None:
            request.status = item.outcome.status
            request.answer = item.outcome.body
            request.content_type = item.outcome.content_type
        closed = asyncio.create_task(link.closed.wait())
        try:
            await asyncio.wait(
                {future, closed},
                timeout=(timeout_ms + REPLY_GRACE_MS) / 1000,
                return_when=asyncio.FIRST_COMPLETED,
            )
            return future.result() if future.done() else None
        finally:
            closed.cancel()
            del self._replies[seq]

    def receive_reply(self, message: pb.ClaimReply) -> None:
        """Handle the reply of a partition server; drop a late one."""
        future = self._replies.get(message.seq)
        if future is None or future.done():
            return
        outcome = None
        if message.verdict == Verdict.DONE:
            outcome = claim_table.Outcome(
                message.status, message.answer, message.content_type
            )
        future.set_result(
            Decision(Verdict(message.verdict), outcome, message.age_ms)
        )

    def server(self, partition: int) -> partition_server.PartitionServer:
        """Return the server of a partition here, starting it if needed."""
        found = self._servers.get(partition)
        if found is None:
            found = partition_server.PartitionServer(
                partition,
                self._log_client,
                self._clock,
                self._life_ms(),
                self._interval_ms,
            )
            self._servers[partition] = found
        found.set_key_life(self._life_ms())
        return found

    async def handle(self, item: Item, timeout_ms: int) -> Decision:
        """Handle a request as the partition server."""
        return await self.server(item.key.partition).handle(item, timeout_ms)

    async def serve(
        self, link: link_module.Link, message: pb.ClaimRequest
    ) -> None:
        """Handle a peer's request and queue the reply."""
        outcome = None
        if message.operation == Operation.OUTCOME:
            outcome = claim_table.Outcome(
                message.status, message.answer, message.content_type
            )
        item = Item(
            Operation(message.operation),
            keys.Key(message.key),
            message.claim_id,
            message.body,
            outcome,
        )
        decision = await self.handle(item, message.timeout_ms)
        reply = pb.ClaimReply(
            seq=message.seq,
            verdict=int(decision.verdict),
            age_ms=decision.age_ms,
        )
        if decision.outcome is not None:
            reply.status = decision.outcome.status
            reply.answer = decision.outcome.body
            reply.content_type = decision.outcome.content_type
        link.queue().claim_replies.append(reply)

    async def refresh_servers(self) -> None:
        """Read new records of the partitions that this router serves.

        A claim then finds its partition replayed, and an outage of the log
        is detected before the first claim that it affects.
        """
        served = [
            partition
            for partition in range(keys.PARTITIONS)
            if self._server_names(partition)[0] == self._own
        ]
        await asyncio.gather(*(self.server(p).refresh() for p in served))

    async def stop_idle_servers(self) -> None:
        """Stop idle servers of partitions that another router serves."""
        now_ms = self._clock.now_ms()
        for partition, server in list(self._servers.items()):
            idle = (
                now_ms - server.last_used_ms > partition_server.IDLE_TIMEOUT_MS
            )
            assigned = self._server_names(partition)[0] == self._own
            if not assigned and idle and not server.busy:
                del self._servers[partition]
                await server.stop()

    async def stop(self) -> None:
        """Cancel the background tasks and stop all servers."""
        for task in self._background:
            task.cancel()
        for server in self._servers.values():
            await server.stop()

    def summary(self) -> dict[str, int]:
        """Return the number of keys of each partition served here."""
        return {
            partition_server.stream_name(partition): len(server.table)
            for partition, server in sorted(self._servers.items())
        }
