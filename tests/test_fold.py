"""The fold of the catalogue: one winner, and nothing ever reverts."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from bulrushdale.catalogue import entries
from bulrushdale.catalogue import state
from bulrushdale import records

NAMES = ("gold", "bronze")


def edit(
    offset: int, name: str, expected: int, weight: int
) -> records.LogRecord:
    spec = {"weight": weight, "queue_ms": 10} if weight else None
    data = {
        "type": "edit",
        "record_id": str(offset),
        "kind": "class",
        "name": name,
        "spec": spec,
        "expected": expected,
        "operator": "tester",
    }
    return records.LogRecord(offset, 1_000, data)


def weights(catalogue: state.Catalogue) -> dict[str, bytes | None]:
    return {e.name: e.spec for e in catalogue.all_entries()}


def test_first_of_two_racing_edits_wins() -> None:
    catalogue = state.Catalogue()
    catalogue.apply(edit(0, "gold", 0, 1))
    catalogue.apply(edit(1, "gold", 1, 2))
    catalogue.apply(edit(2, "gold", 1, 3))
    assert catalogue.find("class", "gold").revision == 2
    assert b'"weight":2' in catalogue.find("class", "gold").spec


def test_entry_created_again_has_a_higher_revision() -> None:
    catalogue = state.Catalogue()
    for record in (
        edit(0, "gold", 0, 1),
        edit(1, "gold", 1, 0),
        edit(2, "gold", 0, 5),
    ):
        catalogue.apply(record)
    assert catalogue.revision("class", "gold") == 3


def test_missing_records_are_noticed() -> None:
    catalogue = state.Catalogue()
    with pytest.raises(ValueError, match="record 3 follows -1"):
        catalogue.apply(edit(3, "gold", 0, 1))


def test_restore_needs_a_snapshot_that_covers_the_gap() -> None:
    source = state.Catalogue()
    source.apply(edit(0, "gold", 0, 1))
    early = next(state.snapshot_records(source, "early"))
    source.apply(edit(1, "gold", 1, 2))
    late = next(state.snapshot_records(source, "late"))
    kept = [edit(2, "bronze", 0, 7), records.LogRecord(3, 1_000, early)]
    assert not state.restore(state.Catalogue(), kept)
    kept.append(records.LogRecord(4, 1_000, late))
    restored = state.Catalogue()
    assert state.restore(restored, kept)
    for record in kept[:2]:
        source.apply(record)
    assert weights(restored) == weights(source)


def test_half_a_snapshot_restores_nothing() -> None:
    source = state.Catalogue()
    for offset in range(state.SNAPSHOT_ENTRIES + 1):
        source.apply(edit(offset, f"class-{offset}", 0, 1))
    parts = list(state.snapshot_records(source, "s"))
    assert len(parts) == 2
    first = state.SNAPSHOT_ENTRIES + 1
    kept = [records.LogRecord(first, 1_000, parts[0])]
    assert not state.restore(state.Catalogue(), kept)


class Readers(stateful.RuleBasedStateMachine):
    """Operators race, readers lag, restart, merge and restore.

    The reference is one reader that folds every record in order. No reader
    may ever show a revision that the reference did not accept, nor go back.
    """

    def __init__(self) -> None:
        super().__init__()
        self.log: list[records.LogRecord] = []
        self.first = 0
        self.reference = state.Catalogue()
        self.accepted: dict[tuple[str, int], bytes | None] = {}
        self.readers = [state.Catalogue() for _ in range(3)]
        self.seen: list[dict[str, int]] = [{} for _ in self.readers]
        self.stored: list[list[entries.Entry]] = []

    def append(self, record: records.LogRecord) -> None:
        self.log.append(record)
        self.reference.apply(record)
        for entry in self.reference.all_entries():
            self.accepted[(entry.name, entry.revision)] = entry.spec

    @stateful.rule(
        name=st.sampled_from(NAMES),
        back=st.integers(0, 2),
        weight=st.integers(0, 5),
    )
    def edit(self, name: str, back: int, weight: int) -> None:
        known = [0] + sorted(r for n, r in self.accepted if n == name)
        current = self.reference.revision("class", name)
        expected = current if back == 0 else known[-min(back, len(known))]
        self.append(edit(len(self.log), name, expected, weight))

    @stateful.rule()
    def snapshot(self) -> None:
        data = next(state.snapshot_records(self.reference, str(len(self.log))))
        self.append(records.LogRecord(len(self.log), 1_000, data))

    @stateful.rule(data=st.data())
    def stale_snapshot(self, data: st.DataObject) -> None:
        reader = data.draw(st.sampled_from(self.readers))
        content = next(
            state.snapshot_records(reader, f"stale-{len(self.log)}")
        )
        self.append(records.LogRecord(len(self.log), 1_000, content))

    @stateful.rule(data=st.data())
    def expire(self, data: st.DataObject) -> None:
        covers = [
            r.data["offset"] for r in self.log if r.data["type"] == "snapshot"
        ]
        if covers:
            self.first = data.draw(st.integers(self.first, max(covers)))

    @stateful.rule(index=st.integers(0, 2), count=st.integers(1, 5))
    def read(self, index: int, count: int) -> None:
        reader = self.readers[index]
        if reader.offset < self.first:
            state.restore(reader, self.log[self.first :])
            return
        for record in self.log[reader.offset : reader.offset + count]:
            reader.apply(record)

    @stateful.rule(index=st.integers(0, 2), source=st.integers(0, 2))
    def gossip(self, index: int, source: int) -> None:
        self.readers[index].merge(list(self.readers[source].all_entries()))

    @stateful.rule(index=st.integers(0, 2))
    def save(self, index: int) -> None:
        self.stored.append(list(self.readers[index].all_entries()))

    @stateful.precondition(lambda self: self.stored)
    @stateful.rule(index=st.integers(0, 2), data=st.data())
    def merge_old(self, index: int, data: st.DataObject) -> None:
        self.readers[index].merge(data.draw(st.sampled_from(self.stored)))

    @stateful.rule(index=st.integers(0, 2))
    def restart(self, index: int) -> None:
        self.readers[index] = state.Catalogue()
        self.seen[index] = {}

    @stateful.invariant()
    def only_accepted_and_never_back(self) -> None:
        for reader, seen in zip(self.readers, self.seen, strict=True):
            for entry in reader.all_entries():
                place = (entry.name, entry.revision)
                assert place in self.accepted
                assert self.accepted[place] == entry.spec
                assert entry.revision >= seen.get(entry.name, 0)
                seen[entry.name] = entry.revision

    @stateful.invariant()
    def caught_up_readers_agree(self) -> None:
        for reader in self.readers:
            if reader.offset == len(self.log):
                assert weights(reader) == weights(self.reference)


Readers.TestCase.settings = settings(
    max_examples=200, stateful_step_count=30, derandomize=True, deadline=None
)
TestReaders = Readers.TestCase
