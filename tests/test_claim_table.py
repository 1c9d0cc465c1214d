"""Claim table: at most one claim of a key may send, in any record order."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from bulrushdale.claims import claim_table
from bulrushdale.claims import keys
from bulrushdale import records

LIFE_MS = 10_000_000
KEY = keys.Key((1_000_000).to_bytes(6, "big") + b"0123456789")
Operation = claim_table.Operation


def item(
    operation: claim_table.Operation,
    claim_id: bytes,
    body_digest: bytes = b"b",
) -> claim_table.Item:
    outcome = None
    if operation == Operation.OUTCOME:
        outcome = claim_table.Outcome(200, b"done", "text/plain")
    return claim_table.Item(operation, KEY, claim_id, body_digest, outcome)


def table_of(items: list[claim_table.Item]) -> claim_table.ClaimTable:
    table = claim_table.ClaimTable(LIFE_MS)
    for offset, change in enumerate(items):
        table.apply(
            records.LogRecord(offset, 1_000_000, claim_table.encode([change]))
        )
    return table


def test_first_claim_holds_the_key() -> None:
    table = table_of(
        [item(Operation.CLAIM, b"a"), item(Operation.CLAIM, b"b")]
    )
    assert table.pending(KEY).claim_id == b"a"


def test_release_frees_the_key_for_the_next_claim() -> None:
    table = table_of(
        [
            item(Operation.CLAIM, b"a"),
            item(Operation.RELEASE, b"a"),
            item(Operation.CLAIM, b"b"),
        ]
    )
    assert table.pending(KEY).claim_id == b"b"


def test_claim_stored_after_its_release_has_no_effect() -> None:
    table = table_of(
        [item(Operation.RELEASE, b"a"), item(Operation.CLAIM, b"a")]
    )
    assert table.pending(KEY) is None


def test_outcome_of_a_key_is_final() -> None:
    table = table_of(
        [
            item(Operation.CLAIM, b"a"),
            item(Operation.OUTCOME, b"a"),
            item(Operation.RELEASE, b"a"),
            item(Operation.CLAIM, b"b"),
        ]
    )
    assert table.pending(KEY) is None
    assert table.outcome_offset(KEY) == 1


def test_key_expires_after_its_lifetime_and_not_before() -> None:
    table = table_of(
        [item(Operation.CLAIM, b"a"), item(Operation.OUTCOME, b"a")]
    )
    assert not table.is_expired(KEY, 1_000_000 + LIFE_MS)
    assert table.is_expired(KEY, 1_000_001 + LIFE_MS)
    table.remove_expired(1_000_000 + LIFE_MS)
    assert table.outcome_offset(KEY) == 1
    table.remove_expired(1_000_000 + 3 * LIFE_MS)
    assert table.outcome_offset(KEY) is None


class ClaimClients(stateful.RuleBasedStateMachine):
    """Routers claim a key, read the log, pause, send requests and release.

    Sent appends may be stored in the log at any later time, several times
    and in any order. A router that has read that it won may pause
    for any time before it sends its request. The requests sent for the key
    are counted.
    """

    def __init__(self) -> None:
        super().__init__()
        self.stored: list[tuple[int, claim_table.Item]] = []
        self.sent_appends: list[claim_table.Item] = []
        self.claims: dict[bytes, str] = {}
        self.now_ms = 1_000_000
        self.requests_sent = 0

    def table(self) -> claim_table.ClaimTable:
        table = claim_table.ClaimTable(LIFE_MS)
        for offset, (time_ms, change) in enumerate(self.stored):
            table.apply(
                records.LogRecord(
                    offset, time_ms, claim_table.encode([change])
                )
            )
        return table

    def draw_claim(self, data: st.DataObject, *states: str) -> bytes:
        candidates = [c for c, state in self.claims.items() if state in states]
        return data.draw(st.sampled_from(candidates))

    @stateful.rule(
        stored=st.booleans(), delta_ms=st.sampled_from([10, 5_000, 1_000_000])
    )
    def claim(self, stored: bool, delta_ms: int) -> None:
        claim_id = f"c{len(self.claims)}".encode()
        self.claims[claim_id] = "claimed"
        self.sent_appends.append(item(Operation.CLAIM, claim_id))
        self.now_ms += delta_ms
        if stored:
            self.stored.append((self.now_ms, self.sent_appends[-1]))

    @stateful.precondition(lambda self: self.sent_appends)
    @stateful.rule(
        data=st.data(), delta_ms=st.sampled_from([10, 5_000, 1_000_000])
    )
    def store(self, data: st.DataObject, delta_ms: int) -> None:
        change = data.draw(st.sampled_from(self.sent_appends))
        self.now_ms += delta_ms
        self.stored.append((self.now_ms, change))

    @stateful.precondition(lambda self: "claimed" in self.claims.values())
    @stateful.rule(data=st.data())
    def read_back(self, data: st.DataObject) -> None:
        claim_id = self.draw_claim(data, "claimed")
        pending = self.table().pending(KEY)
        if pending is not None and pending.claim_id == claim_id:
            self.claims[claim_id] = "won"

    @stateful.precondition(lambda self: "won" in self.claims.values())
    @stateful.rule(data=st.data())
    def send_request(self, data: st.DataObject) -> None:
        self.claims[self.draw_claim(data, "won")] = "ran"
        self.requests_sent += 1

    @stateful.precondition(
        lambda self: {"claimed", "won"} & set(self.claims.values())
    )
    @stateful.rule(data=st.data())
    def release(self, data: st.DataObject) -> None:
        claim_id = self.draw_claim(data, "claimed", "won")
        self.claims[claim_id] = "not run"
        self.sent_appends.append(item(Operation.RELEASE, claim_id))

    @stateful.precondition(lambda self: "ran" in self.claims.values())
    @stateful.rule()
    def record_outcome(self) -> None:
        claim_id = next(c for c, s in self.claims.items() if s == "ran")
        self.sent_appends.append(item(Operation.OUTCOME, claim_id))

    @stateful.invariant()
    def at_most_once(self) -> None:
        assert self.requests_sent <= 1


ClaimClients.TestCase.settings = settings(
    max_examples=300, stateful_step_count=30, derandomize=True, deadline=None
)
TestClaimClients = ClaimClients.TestCase
