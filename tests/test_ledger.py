"""The fold of claims: at most one holder, whatever the records' order."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from bulrushdale.claims import keys
from bulrushdale.claims import ledger
from bulrushdale.platform import log

LIFE_MS = 10_000_000
KEY = keys.Key((1_000_000).to_bytes(6, "big") + b"0123456789")
Operation = ledger.Operation


def item(
    operation: ledger.Operation, claim: bytes, body: bytes = b"b"
) -> ledger.Item:
    outcome = None
    if operation == Operation.OUTCOME:
        outcome = ledger.Outcome(200, b"done", "text/plain")
    return ledger.Item(operation, KEY, claim, body, outcome)


def fold(items: list[ledger.Item]) -> ledger.Ledger:
    found = ledger.Ledger(LIFE_MS)
    for offset, one in enumerate(items):
        found.fold(log.Record(offset, 1_000_000, ledger.encode([one])))
    return found


def test_first_claim_holds_the_key() -> None:
    found = fold([item(Operation.CLAIM, b"a"), item(Operation.CLAIM, b"b")])
    assert found.held(KEY).claim_id == b"a"


def test_release_frees_the_key_for_the_next_claim() -> None:
    found = fold(
        [
            item(Operation.CLAIM, b"a"),
            item(Operation.RELEASE, b"a"),
            item(Operation.CLAIM, b"b"),
        ]
    )
    assert found.held(KEY).claim_id == b"b"


def test_claim_that_lands_after_its_release_is_dead() -> None:
    found = fold([item(Operation.RELEASE, b"a"), item(Operation.CLAIM, b"a")])
    assert found.held(KEY) is None


def test_outcome_settles_the_key_for_good() -> None:
    found = fold(
        [
            item(Operation.CLAIM, b"a"),
            item(Operation.OUTCOME, b"a"),
            item(Operation.RELEASE, b"a"),
            item(Operation.CLAIM, b"b"),
        ]
    )
    assert found.held(KEY) is None
    assert found.settled(KEY) == 1


def test_a_key_expires_after_its_life_and_not_before() -> None:
    found = fold([item(Operation.CLAIM, b"a"), item(Operation.OUTCOME, b"a")])
    assert not found.expired(KEY, 1_000_000 + LIFE_MS)
    assert found.expired(KEY, 1_000_001 + LIFE_MS)
    found.expire(1_000_000 + LIFE_MS)
    assert found.settled(KEY) == 1
    found.expire(1_000_000 + 3 * LIFE_MS)
    assert found.settled(KEY) is None


class Holders(stateful.RuleBasedStateMachine):
    """Routers claim, call, release and crash; appends repeat and lag.

    Appends that were sent may land at any later time, several times, in
    any order. Each router folds the log when it likes. The judge counts
    calls for the key.
    """

    def __init__(self) -> None:
        super().__init__()
        self.records: list[ledger.Item] = []
        self.sent: list[ledger.Item] = []
        self.claims: dict[bytes, str] = {}
        self.calls = 0

    @stateful.rule()
    def claim(self) -> None:
        name = f"c{len(self.claims)}".encode()
        self.claims[name] = "claimed"
        self.sent.append(item(Operation.CLAIM, name))

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(data=st.data())
    def land(self, data: st.DataObject) -> None:
        self.records.append(data.draw(st.sampled_from(self.sent)))

    @stateful.precondition(lambda self: "claimed" in self.claims.values())
    @stateful.rule(data=st.data(), gives_up=st.booleans())
    def decide(self, data: st.DataObject, gives_up: bool) -> None:
        waiting = [c for c, state in self.claims.items() if state == "claimed"]
        name = data.draw(st.sampled_from(waiting))
        held = fold(self.records).held(KEY)
        if gives_up:
            self.claims[name] = "not run"
            self.sent.append(item(Operation.RELEASE, name))
        elif held is not None and held.claim_id == name:
            self.claims[name] = "ran"
            self.calls += 1

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
