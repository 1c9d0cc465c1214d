"""The fold of claims: at most one holder, whatever the records' order."""

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
    operation: claim_table.Operation, claim: bytes, body: bytes = b"b"
) -> claim_table.Item:
    outcome = None
    if operation == Operation.OUTCOME:
        outcome = claim_table.Outcome(200, b"done", "text/plain")
    return claim_table.Item(operation, KEY, claim, body, outcome)


def fold(items: list[claim_table.Item]) -> claim_table.ClaimTable:
    found = claim_table.ClaimTable(LIFE_MS)
    for offset, one in enumerate(items):
        found.apply(
            records.LogRecord(offset, 1_000_000, claim_table.encode([one]))
        )
    return found


def test_first_claim_holds_the_key() -> None:
    found = fold([item(Operation.CLAIM, b"a"), item(Operation.CLAIM, b"b")])
    assert found.pending(KEY).claim_id == b"a"


def test_release_frees_the_key_for_the_next_claim() -> None:
    found = fold(
        [
            item(Operation.CLAIM, b"a"),
            item(Operation.RELEASE, b"a"),
            item(Operation.CLAIM, b"b"),
        ]
    )
    assert found.pending(KEY).claim_id == b"b"


def test_claim_that_lands_after_its_release_is_dead() -> None:
    found = fold([item(Operation.RELEASE, b"a"), item(Operation.CLAIM, b"a")])
    assert found.pending(KEY) is None


def test_outcome_settles_the_key_for_good() -> None:
    found = fold(
        [
            item(Operation.CLAIM, b"a"),
            item(Operation.OUTCOME, b"a"),
            item(Operation.RELEASE, b"a"),
            item(Operation.CLAIM, b"b"),
        ]
    )
    assert found.pending(KEY) is None
    assert found.outcome_offset(KEY) == 1


def test_a_key_expires_after_its_life_and_not_before() -> None:
    found = fold([item(Operation.CLAIM, b"a"), item(Operation.OUTCOME, b"a")])
    assert not found.is_expired(KEY, 1_000_000 + LIFE_MS)
    assert found.is_expired(KEY, 1_000_001 + LIFE_MS)
    found.remove_expired(1_000_000 + LIFE_MS)
    assert found.outcome_offset(KEY) == 1
    found.remove_expired(1_000_000 + 3 * LIFE_MS)
    assert found.outcome_offset(KEY) is None


class Holders(stateful.RuleBasedStateMachine):
    """Routers claim, read back, pause, call, release; appends repeat and lag.

    Appends that were sent may land at any later time, several times, in
    any order. A router that has read back that it won may pause for any
    time before it calls. The judge counts calls for the key.
    """

    def __init__(self) -> None:
        super().__init__()
        self.records: list[tuple[int, claim_table.Item]] = []
        self.sent: list[claim_table.Item] = []
        self.claims: dict[bytes, str] = {}
        self.now_ms = 1_000_000
        self.calls = 0

    def ledger(self) -> claim_table.ClaimTable:
        found = claim_table.ClaimTable(LIFE_MS)
        for offset, (time_ms, one) in enumerate(self.records):
            found.apply(
                records.LogRecord(offset, time_ms, claim_table.encode([one]))
            )
        return found

    def draw(self, data: st.DataObject, *states: str) -> bytes:
        fit = [c for c, state in self.claims.items() if state in states]
        return data.draw(st.sampled_from(fit))

    @stateful.rule(
        lands=st.booleans(), delta_ms=st.sampled_from([10, 5_000, 1_000_000])
    )
    def claim(self, lands: bool, delta_ms: int) -> None:
        name = f"c{len(self.claims)}".encode()
        self.claims[name] = "claimed"
        self.sent.append(item(Operation.CLAIM, name))
        self.now_ms += delta_ms
        if lands:
            self.records.append((self.now_ms, self.sent[-1]))

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(
        data=st.data(), delta_ms=st.sampled_from([10, 5_000, 1_000_000])
    )
    def land(self, data: st.DataObject, delta_ms: int) -> None:
        one = data.draw(st.sampled_from(self.sent))
        self.now_ms += delta_ms
        self.records.append((self.now_ms, one))

    @stateful.precondition(lambda self: "claimed" in self.claims.values())
    @stateful.rule(data=st.data())
    def read_back(self, data: st.DataObject) -> None:
        name = self.draw(data, "claimed")
        held = self.ledger().pending(KEY)
        if held is not None and held.claim_id == name:
            self.claims[name] = "won"

    @stateful.precondition(lambda self: "won" in self.claims.values())
    @stateful.rule(data=st.data())
    def call(self, data: st.DataObject) -> None:
        self.claims[self.draw(data, "won")] = "ran"
        self.calls += 1

    @stateful.precondition(
        lambda self: {"claimed", "won"} & set(self.claims.values())
    )
    @stateful.rule(data=st.data())
    def give_up(self, data: st.DataObject) -> None:
        name = self.draw(data, "claimed", "won")
        self.claims[name] = "not run"
        self.sent.append(item(Operation.RELEASE, name))

    @stateful.precondition(lambda self: "ran" in self.claims.values())
    @stateful.rule()
    def report(self) -> None:
        name = next(c for c, s in self.claims.items() if s == "ran")
        self.sent.append(item(Operation.OUTCOME, name))

    @stateful.invariant()
    def at_most_once(self) -> None:
        assert self.calls <= 1


Holders.TestCase.settings = settings(
    max_examples=300, stateful_step_count=30, derandomize=True, deadline=None
)
TestHolders = Holders.TestCase
