"""Measure memory and CPU time of a router's catalogue, claims and chats."""

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


def measure(build: typing.Callable[[], typing.Any]) -> tuple[float, float]:
    """Measure a data structure.

    :param build: builds it.
    :return: its size in bytes and the CPU time to build it, in s.
    """
    started_s = time.process_time()
    built = build()
    seconds = time.process_time() - started_s
    del built
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del built
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
    """Return a catalogue with a number of teams, and its index."""
    catalogue = state.Catalogue()
    index = view.View(catalogue)
    for number in range(count):
        catalogue.apply(team_record(number))
    return catalogue, index


def restore_teams(count: int) -> float:
    """Return the CPU time to load teams from a snapshot, in s.

    :param count: number of teams.
    """
    source, _ = load_teams(count)
    records = [
        records_module.LogRecord(count + n, 1_000, data)
        for n, data in enumerate(state.snapshot_records(source, "s"))
    ]
    started_s = time.process_time()
    catalogue = state.Catalogue()
    index = view.View(catalogue)
    state.restore(catalogue, records)
    seconds = time.process_time() - started_s
    del index
    return seconds


def claim_records(count: int) -> list[records_module.LogRecord]:
    """Return records with claims and outcomes of a number of keys."""
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
    """Return the claim table that results from records."""
    table = claim_table.ClaimTable(3_600_000)
    for record in records:
        table.apply(record)
    return table


def build_chat_map(count: int) -> collections.OrderedDict:
    """Return a map from a number of chats to the engines where they ran."""
    names = [f"engine-{number}" for number in range(8)]
    engines: collections.OrderedDict[int, str] = collections.OrderedDict()
    for number in range(count):
        engines[hash(("chat", number))] = names[number % 8]
    return engines


def run() -> None:
    """Measure catalogue, claims and chats at four sizes each."""
    rows: list[dict[str, typing.Any]] = []
    points: dict[str, list] = collections.defaultdict(list)

    def add(what: str, count: int, size: float, seconds: float) -> None:
        """Add a row of the table and the points of the fits."""
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
        add("teams", count, *measure(lambda n=count: load_teams(n)))
    for count in TEAMS:
        seconds = restore_teams(count)
        points["teams restored CPU s"].append((count, seconds))
    for count in KEYS:
        records = claim_records(count)
        add("keys", count, *measure(lambda r=records: build_claim_table(r)))
    for count in CHATS:
        add("chats", count, *measure(lambda n=count: build_chat_map(n)))
    slopes = {name: report.fit_line(pairs) for name, pairs in points.items()}
    report.print_and_save("state", rows, slopes)
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
