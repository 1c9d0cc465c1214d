"""Memory and time of what a router keeps: catalogue, claims and chats."""

import collections
import gc
import hashlib
import time
import tracemalloc
import typing

from bench import report
from bulrushdale.admission import scheduler
from bulrushdale.catalogue import state
from bulrushdale.catalogue import view
from bulrushdale.claims import claim_table
from bulrushdale.claims import keys
from bulrushdale import records as records_module

TEAMS = (2_000, 5_000, 10_000, 21_000)
KEYS = (10_000, 30_000, 60_000, 100_000)
CHATS = (5_000, 10_000, 15_000, 20_000)
ITEMS_PER_RECORD = 20


def measured(build: typing.Callable[[], typing.Any]) -> tuple[float, float]:
    """Return the bytes that a structure keeps and the CPU s to build it."""
    begun = time.process_time()
    kept = build()
    seconds = time.process_time() - begun
    del kept
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del kept
    return size, seconds


def team_record(number: int) -> records_module.LogRecord:
    """Return the record that creates a team."""
    key = hashlib.sha256(f"key {number}".encode()).hexdigest()
    spec = {
        "owner": f"owner of team {number}",
        "class_of_service": "gold",
        "key_sha256": [key],
        "max_in_flight": 40,
    }
    data = {
        "type": "edit",
        "record_id": str(number),
        "kind": "team",
        "name": f"team-{number}",
        "spec": spec,
        "expected": 0,
        "operator": "bench",
    }
    return records_module.LogRecord(number, 1_000, data)


def load_teams(count: int) -> tuple:
    """Return a catalogue of so many teams, with its index."""
    catalogue = state.Catalogue()
    index = view.View(catalogue)
    for number in range(count):
        catalogue.apply(team_record(number))
    return catalogue, index


def restore_teams(count: int) -> float:
    """Return the CPU s to load so many teams from a snapshot."""
    source, _ = load_teams(count)
    records = [
        records_module.LogRecord(count + n, 1_000, data)
        for n, data in enumerate(state.snapshot_records(source, "s"))
    ]
    begun = time.process_time()
    catalogue = state.Catalogue()
    index = view.View(catalogue)
    state.restore(catalogue, records)
    seconds = time.process_time() - begun
    del index
    return seconds


def claim_records(count: int) -> list[records_module.LogRecord]:
    """Return records with claims and outcomes of so many keys."""
    records = []
    outcome = claim_table.Outcome(200, b'{"number": 7}', "application/json")
    for start in range(0, count, ITEMS_PER_RECORD):
        items = []
        for number in range(start, start + ITEMS_PER_RECORD):
            text = keys.generate(1_780_000_000_000 + number)
            key = keys.parse(text, "team", "orders", 1_790_000_000_000)
            claim = number.to_bytes(8, "big")
            body = bytes(16)
            items += [
                claim_table.Item(
                    claim_table.Operation.CLAIM, key, claim, body
                ),
                claim_table.Item(
                    claim_table.Operation.OUTCOME, key, claim, body, outcome
                ),
            ]
        data = claim_table.encode(items)
        records.append(records_module.LogRecord(len(records), 1_000, data))
    return records


def build_claim_table(
    records: list[records_module.LogRecord],
) -> claim_table.ClaimTable:
    """Return the claim table that the records yield."""
    found = claim_table.ClaimTable(3_600_000)
    for record in records:
        found.apply(record)
    return found


def chat_memory(count: int) -> collections.OrderedDict:
    """Return the memory of where so many chats ran."""
    names = [f"engine-{number}" for number in range(8)]
    found: collections.OrderedDict[int, str] = collections.OrderedDict()
    for number in range(count):
        found[hash(("chat", number))] = names[number % 8]
    return found


def run() -> None:
    """Measure all three at four sizes each."""
    rows: list[dict[str, typing.Any]] = []
    points: dict[str, list] = collections.defaultdict(list)

    def add(what: str, count: int, size: float, seconds: float) -> None:
        rows.append(
            {
                "state": what,
                "count": count,
                "MB": size / 1e6,
                "bytes each": size / count,
                "CPU us each": seconds / count * 1e6,
            }
        )
        points[f"{what} bytes"].append((count, size))
        points[f"{what} CPU s"].append((count, seconds))

    for count in TEAMS:
        add("teams", count, *measured(lambda n=count: load_teams(n)))
    for count in TEAMS:
        seconds = restore_teams(count)
        points["teams restored CPU s"].append((count, seconds))
    for count in KEYS:
        records = claim_records(count)
        add("keys", count, *measured(lambda r=records: build_claim_table(r)))
    for count in CHATS:
        add("chats", count, *measured(lambda n=count: chat_memory(n)))
    slopes = {name: report.slope(found) for name, found in points.items()}
    report.save("state", rows, slopes)
    report.plot(
        "state",
        {
            what: [(x, y / 1e6) for x, y in points[f"{what} bytes"]]
            for what in ("teams", "keys", "chats")
        },
        "entries",
        "MB",
    )
    assert max(CHATS) == scheduler.MAX_CHATS
