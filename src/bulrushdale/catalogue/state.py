"""The fold of the operators' records into entries.

The log's order decides between edits. An edit names the revision that it
replaces; the first edit of a revision wins. A revision is one more than the
offset of the record that made it, so it only grows, also when an entry is
deleted and created again. Whatever else brings entries, a snapshot or a
peer, is merged by revision and can't bring an older one back.
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
    """Entries folded up to an offset of the log.

    :ivar offset: the next offset to fold.

    .. versionadded:: 0.1
    """

    __slots__ = ("_entries", "_listeners", "offset", "loaded")

    def __init__(self) -> None:
        self._entries: dict[str, dict[str, entries.Entry]] = {}
        self._listeners: list[Listener] = []
        self.offset = 0
        self.loaded = False

    def subscribe(self, listener: Listener) -> None:
        """Call *listener* with every entry that changes."""
        self._listeners.append(listener)

    def find(self, kind: str, name: str) -> entries.Entry | None:
        """Return an entry, deleted ones included."""
        return self._entries.get(kind, {}).get(name)

    def live_entries(self, kind: str) -> list[entries.Entry]:
        """Return the entries of one kind that are not deleted, by name."""
        found = self._entries.get(kind, {})
        return [found[name] for name in sorted(found) if found[name].spec]

    def all_entries(self) -> abc.Iterator[entries.Entry]:
        """Yield every entry, deleted ones included."""
        for by_name in self._entries.values():
            yield from by_name.values()

    def revision(self, kind: str, name: str) -> int:
        """Return what an edit must expect: zero for no live entry."""
        entry = self.find(kind, name)
        if entry is None or entry.deleted:
            return 0
        return entry.revision

    def apply(self, record: records_module.LogRecord) -> None:
        """Apply the next record of the log.

        :param record: the record at :attr:`offset`; an older one is
            passed over.
        :raises ValueError: if records between are missing.
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
        """Take entries whose revision is newer than the one held.

        :param changed: entries that some router folded from the log.
        :return: how many were newer.
        """
        count = 0
        for entry in changed:
            held = self.find(entry.kind, entry.name)
            if held is not None and held.revision >= entry.revision:
                continue
            self._entries.setdefault(entry.kind, {})[entry.name] = entry
            count += 1
            for listener in self._listeners:
                listener(entry)
        return count

    def advance(self, offset: int) -> None:
        """Note that the entries hold every change below *offset*."""
        self.offset = max(self.offset, offset)
        self.loaded = True

    def drop_deleted(self, before_ms: int) -> int:
        """Drop deleted entries once no older record can appear.

        :param before_ms: drop those deleted before, ms since the epoch.
        :return: how many were dropped.
        """
        count = 0
        for by_name in self._entries.values():
            old = [
                name
                for name, entry in by_name.items()
                if entry.deleted and entry.changed_ms < before_ms
            ]
            for name in old:
                del by_name[name]
            count += len(old)
        return count


def decode_edit(record: records_module.LogRecord) -> entries.Entry | None:
    """Return the entry that an edit record would make if it wins.

    A record that no schema of this version accepts makes none.
    """
    data = record.data
    try:
        kind = entries.check_kind(data["kind"])
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

    :param catalogue: what to write.
    :param snapshot_id: unique to this snapshot.
    """
    held = list(catalogue.all_entries())
    parts = [
        held[start : start + SNAPSHOT_ENTRIES]
        for start in range(0, len(held), SNAPSHOT_ENTRIES)
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
    """Load a catalogue whose oldest records have expired.

    :param catalogue: what to load.
    :param records: all records that the log still keeps, in order.
    :return: whether a whole snapshot covered what has expired.
    """
    if not records:
        return False
    parts: dict[str, dict[int, dict[str, typing.Any]]] = {}
    for record in records:
        if record.data.get("type") == "snapshot":
            snapshot_id = record.data["snapshot_id"]
            seen = parts.setdefault(snapshot_id, {})
            seen[record.data["part"]] = record.data
    best = None
    for seen in parts.values():
        head = next(iter(seen.values()))
        whole = len(seen) == head["parts"]
        covers = head["offset"] >= records[0].offset
        if whole and covers and (not best or head["offset"] > best[0]):
            best = (head["offset"], seen)
    if best is None:
        return False
    for data in best[1].values():
        catalogue.merge(_decode_entry(item) for item in data["entries"])
    catalogue.advance(best[0])
    for record in records:
        catalogue.apply(record)
    return True
