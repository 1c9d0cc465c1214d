"""State of the catalogue, built from the records of its log.

The order of the log resolves concurrent edits. An edit names the revision
that it replaces, and the first edit that replaces a revision wins. The
revision of an entry is one more than the offset of the record that made it,
so it only increases, even if an entry is deleted and created again. Entries
from a snapshot or from a peer are merged by revision, so that they never
restore an older revision.
"""

from collections import abc
import sys
import typing

from bulrushdale.catalogue import entries
from bulrushdale import records as records_module

LOG_NAME = "catalogue"
SNAPSHOT_ENTRIES = 400

Listener = typing.Callable[[entries.Entry], None]


class Catalogue:
    """The entries, with every change of the log below an offset.

    :ivar offset: the offset of the next record to apply.
    :ivar loaded: whether the entries have caught up at least once with the
        log, a snapshot or a peer.

    .. versionadded:: 0.1
    """

    __slots__ = ("_entries", "_listeners", "offset", "loaded")

    def __init__(self) -> None:
        self._entries: dict[str, dict[str, entries.Entry]] = {}
        self._listeners: list[Listener] = []
        self.offset = 0
        self.loaded = False

    def subscribe(self, listener: Listener) -> None:
        """Call *listener* with every entry that changes from now on."""
        self._listeners.append(listener)

    def find(self, kind: str, name: str) -> entries.Entry | None:
        """Return an entry, which may be a deleted one, or none."""
        return self._entries.get(kind, {}).get(name)

    def live_entries(self, kind: str) -> list[entries.Entry]:
        """Return the entries of one kind, without deleted ones, by name."""
        by_name = self._entries.get(kind, {})
        return [
            by_name[name] for name in sorted(by_name) if by_name[name].spec
        ]

    def all_entries(self) -> abc.Iterator[entries.Entry]:
        """Yield every entry, including deleted ones."""
        for by_name in self._entries.values():
            yield from by_name.values()

    def revision(self, kind: str, name: str) -> int:
        """Return the revision of an entry; zero if missing or deleted."""
        entry = self.find(kind, name)
        if entry is None or entry.deleted:
            return 0
        return entry.revision

    def apply(self, record: records_module.LogRecord) -> None:
        """Apply the next record of the log.

        :param record: the record at :attr:`offset`; an older one is
            ignored.
        :raises ValueError: if records before this one are missing.
        """
        if record.offset < self.offset:
            return
        if record.offset > self.offset:
            raise ValueError(
                f"record {record.offset} follows {self.offset - 1}"
            )
        if record.data.get("type") == "edit":
            self._apply_edit(record)
        self.offset = record.offset + 1

    def _apply_edit(self, record: records_module.LogRecord) -> None:
        entry = decode_edit(record)
        if entry is None:
            return
        if record.data["expected"] == self.revision(entry.kind, entry.name):
            self.merge([entry])

    def merge(self, changed: abc.Iterable[entries.Entry]) -> int:
        """Replace entries by those of a newer revision.

        :param changed: entries that some router read from the log.
        :return: how many were newer.
        """
        count = 0
        for entry in changed:
            current = self.find(entry.kind, entry.name)
            if current is not None and current.revision >= entry.revision:
                continue
            self._entries.setdefault(entry.kind, {})[entry.name] = entry
            count += 1
            for listener in self._listeners:
                listener(entry)
        return count

    def advance(self, offset: int) -> None:
        """Record that the entries include every change below *offset*."""
        self.offset = max(self.offset, offset)
        self.loaded = True

    def drop_deleted(self, before_ms: int) -> int:
        """Drop deleted entries once no older record can appear.

        :param before_ms: drop the entries deleted before this time, in ms
            since the epoch.
        :return: how many were dropped.
        """
        count = 0
        for by_name in self._entries.values():
            expired = [
                name
                for name, entry in by_name.items()
                if entry.deleted and entry.changed_ms < before_ms
            ]
            for name in expired:
                del by_name[name]
            count += len(expired)
        return count


def decode_edit(record: records_module.LogRecord) -> entries.Entry | None:
    """Return the entry that an edit record makes if the edit wins.

    Return none for a record that no schema of this version accepts.
    """
    data = record.data
    try:
        kind = entries.parse_kind(data["kind"])
        spec = None
        if data["spec"] is not None:
            spec = entries.encode(entries.parse(kind, data["spec"]))
        return entries.Entry(
            kind.value,
            data["name"],
            record.offset + 1,
            spec,
            record.time_ms,
            sys.intern(data["operator"]),
        )
    except (KeyError, entries.InvalidEntryError):
        return None


def snapshot_records(
    catalogue: Catalogue, snapshot_id: str
) -> abc.Iterator[dict[str, typing.Any]]:
    """Yield the records of a snapshot, each with a part of the entries.

    :param catalogue: the entries to write.
    :param snapshot_id: an id that no other snapshot has.
    """
    current = list(catalogue.all_entries())
    parts = [
        current[start : start + SNAPSHOT_ENTRIES]
        for start in range(0, len(current), SNAPSHOT_ENTRIES)
    ] or [[]]
    for number, part in enumerate(parts):
        yield {
            "type": "snapshot",
            "snapshot_id": snapshot_id,
            "offset": catalogue.offset,
            "part": number,
            "parts": len(parts),
            "entries": [entry.as_dict() for entry in part],
        }


def _decode_entry(data: dict[str, typing.Any]) -> entries.Entry:
    spec = data["spec"]
    return entries.Entry(
        data["kind"],
        data["name"],
        data["revision"],
        None if spec is None else entries.compact(spec),
        data["changed_ms"],
        sys.intern(data["operator"]),
    )


def restore(
    catalogue: Catalogue, records: list[records_module.LogRecord]
) -> bool:
    """Load a catalogue from a snapshot and the records that follow it.

    The log must hold a complete snapshot that covers the expired records.

    :param catalogue: the catalogue to load.
    :param records: all records that the log still keeps, in order.
    :return: whether such a snapshot was found.
    """
    if not records:
        return False
    snapshots: dict[str, dict[int, dict[str, typing.Any]]] = {}
    for record in records:
        if record.data.get("type") == "snapshot":
            snapshot_id = record.data["snapshot_id"]
            parts = snapshots.setdefault(snapshot_id, {})
            parts[record.data["part"]] = record.data
    best = None
    for parts in snapshots.values():
        any_part = next(iter(parts.values()))
        complete = len(parts) == any_part["parts"]
        covers = any_part["offset"] >= records[0].offset
        if complete and covers and (not best or any_part["offset"] > best[0]):
            best = (any_part["offset"], parts)
    if best is None:
        return False
    for data in best[1].values():
        catalogue.merge(_decode_entry(item) for item in data["entries"])
    catalogue.advance(best[0])
    for record in records:
        catalogue.apply(record)
    return True
