"""State of the catalogue: edit conflicts, snapshots and merges."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from bulrushdale.catalogue import entries
from bulrushdale.catalogue import state
from bulrushdale import records

NAMES = ("gold", "bronze")


def edit_record(
    offset: int, name: str, expected: int, weight: int
) -> records.LogRecord:
    """Return the record of an edit; a weight of 0 deletes the entry."""
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


def specs_by_name(catalogue: state.Catalogue) -> dict[str, bytes | None]:
    return {e.name: e.spec for e in catalogue.all_entries()}


def test_first_of_two_concurrent_edits_wins() -> None:
    catalogue = state.Catalogue()
    catalogue.apply(edit_record(0, "gold", 0, 1))
    catalogue.apply(edit_record(1, "gold", 1, 2))
    catalogue.apply(edit_record(2, "gold", 1, 3))
    assert catalogue.find("class", "gold").revision == 2
    assert b'"weight":2' in catalogue.find("class", "gold").spec


def test_recreated_entry_has_higher_revision() -> None:
    catalogue = state.Catalogue()
    for record in (
        edit_record(0, "gold", 0, 1),
        edit_record(1, "gold", 1, 0),
        edit_record(2, "gold", 0, 5),
    ):
        catalogue.apply(record)
    assert catalogue.revision("class", "gold") == 3


def test_missing_records_raise() -> None:
    catalogue = state.Catalogue()
    with pytest.raises(ValueError, match="record 3 follows -1"):
        catalogue.apply(edit_record(3, "gold", 0, 1))


def test_restore_needs_snapshot_covering_expired_records() -> None:
    source = state.Catalogue()
    source.apply(edit_record(0, "gold", 0, 1))
    early_snapshot = next(state.snapshot_records(source, "early"))
    source.apply(edit_record(1, "gold", 1, 2))
    late_snapshot = next(state.snapshot_records(source, "late"))
    retained = [
        edit_record(2, "bronze", 0, 7),
        records.LogRecord(3, 1_000, early_snapshot),
    ]
    assert not state.restore(state.Catalogue(), retained)
    retained.append(records.LogRecord(4, 1_000, late_snapshot))
    restored = state.Catalogue()
    assert state.restore(restored, retained)
    for record in retained[:2]:
        source.apply(record)
    assert specs_by_name(restored) == specs_by_name(source)


def test_incomplete_snapshot_is_not_restored() -> None:
    source = state.Catalogue()
    for offset in range(state.SNAPSHOT_ENTRIES + 1):
        source.apply(edit_record(offset, f"class-{offset}", 0, 1))
    parts = list(state.snapshot_records(source, "s"))
    assert len(parts) == 2
    first_offset = state.SNAPSHOT_ENTRIES + 1
    retained = [records.LogRecord(first_offset, 1_000, parts[0])]
    assert not state.restore(state.Catalogue(), retained)


class CatalogueMachine(stateful.RuleBasedStateMachine):
    """Operators edit concurrently; readers lag, restart, merge and restore.

    The reference applies every record in order. No reader may ever hold a
    revision that the reference did not accept, or return to an older one.
    """

    def __init__(self) -> None:
        super().__init__()
        self.log: list[records.LogRecord] = []
        self.first_offset = 0
        self.reference = state.Catalogue()
        self.accepted: dict[tuple[str, int], bytes | None] = {}
        self.readers = [state.Catalogue() for _ in range(3)]
        self.seen_revisions: list[dict[str, int]] = [{} for _ in self.readers]
        self.stored_entries: list[list[entries.Entry]] = []

    def append(self, record: records.LogRecord) -> None:
        self.log.append(record)
        self.reference.apply(record)
        for entry in self.reference.all_entries():
            self.accepted[(entry.name, entry.revision)] = entry.spec

    @stateful.rule(
        name=st.sampled_from(NAMES),
        revisions_back=st.integers(0, 2),
        weight=st.integers(0, 5),
    )
    def edit(self, name: str, revisions_back: int, weight: int) -> None:
        known_revisions = [0] + sorted(
            r for n, r in self.accepted if n == name
        )
        current = self.reference.revision("class", name)
        expected = (
            current
            if revisions_back == 0
            else known_revisions[-min(revisions_back, len(known_revisions))]
        )
        self.append(edit_record(len(self.log), name, expected, weight))

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
    def expire_records(self, data: st.DataObject) -> None:
        covered_offsets = [
            r.data["offset"] for r in self.log if r.data["type"] == "snapshot"
        ]
        if covered_offsets:
            self.first_offset = data.draw(
                st.integers(self.first_offset, max(covered_offsets))
            )

    @stateful.rule(index=st.integers(0, 2), count=st.integers(1, 5))
    def read(self, index: int, count: int) -> None:
        reader = self.readers[index]
        if reader.offset < self.first_offset:
            state.restore(reader, self.log[self.first_offset :])
            return
        for record in self.log[reader.offset : reader.offset + count]:
            reader.apply(record)

    @stateful.rule(index=st.integers(0, 2), source=st.integers(0, 2))
    def merge_from_peer(self, index: int, source: int) -> None:
        self.readers[index].merge(list(self.readers[source].all_entries()))

    @stateful.rule(index=st.integers(0, 2))
    def store_entries(self, index: int) -> None:
        self.stored_entries.append(list(self.readers[index].all_entries()))

    @stateful.precondition(lambda self: self.stored_entries)
    @stateful.rule(index=st.integers(0, 2), data=st.data())
    def merge_stored_entries(self, index: int, data: st.DataObject) -> None:
        self.readers[index].merge(
            data.draw(st.sampled_from(self.stored_entries))
        )

    @stateful.rule(index=st.integers(0, 2))
    def restart(self, index: int) -> None:
        self.readers[index] = state.Catalogue()
        self.seen_revisions[index] = {}

    @stateful.invariant()
    def revisions_are_accepted_and_never_decrease(self) -> None:
        for reader, seen_revisions in zip(
            self.readers, self.seen_revisions, strict=True
        ):
            for entry in reader.all_entries():
                entry_key = (entry.name, entry.revision)
                assert entry_key in self.accepted
                assert self.accepted[entry_key] == entry.spec
                assert entry.revision >= seen_revisions.get(entry.name, 0)
                seen_revisions[entry.name] = entry.revision

    @stateful.invariant()
    def caught_up_readers_agree(self) -> None:
        for reader in self.readers:
            if reader.offset == len(self.log):
                assert specs_by_name(reader) == specs_by_name(self.reference)


CatalogueMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=30, derandomize=True, deadline=None
)
TestCatalogueMachine = CatalogueMachine.TestCase
