"""Write docs/CAPACITY.md from the newest results of the benches."""

import dataclasses
import pathlib
import typing

from bench import report

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"

ROUTERS = 360
SERVERS = 2_000
CENTRES = 7
REQUESTS_PER_S = 10_000
TOKENS_PER_S = 2_300_000
TOKEN_GAP_MS = 58
CHATS = 3_500_000
TEAMS = 21_000
POOLS = 4
EDITS_PER_DAY = 1_100
VM_CHANGES_PER_DAY = 2 * 312
DAY_S = 86_400

CPU_BUDGET_PERCENT = 4.2
MEMORY_BUDGET_MB = 32
BYTES_BUDGET = 8_000

# Assumptions, to be replaced by the users' own figures.
ORDERS_PER_S = 300
KEY_LIFE_S = 3_600
TARGETS_PER_SHARD = 8
CHANGE_BYTES = 400
LIST_CHANGE_BYTES = 150
BUSIEST_SHARDS = 1
PARTITIONS = 16
ENTRY_STATE_MB = 0.5
READER_CPU_PERCENT = 0.3
READER_MB = 1.0
BUSIEST_PARTITIONS = 2
BENCHES = ("state", "peers", "relay", "slots", "streams", "machine")


@dataclasses.dataclass(frozen=True)
class Row:
    """Cost of one role for one router."""

    role: str
    mechanism: str
    state: str
    messages: str
    bytes_per_s: float
    cpu_percent: float
    memory_mb: float


class Fits:
    """The linear fits of the measurements, by bench and quantity."""

    def __init__(self) -> None:
        self.results = {name: report.load(name) for name in BENCHES}

    def slope(self, bench: str, quantity: str) -> float:
        """Return the cost of each additional unit of a quantity."""
        return self.results[bench]["slopes"][quantity][0]

    def intercept(self, bench: str, quantity: str) -> float:
        """Return the cost at zero units of a quantity."""
        return self.results[bench]["slopes"][quantity][1]


def control_rows(fits: Fits, busiest: bool) -> list[Row]:
    """Return the costs of the control roles.

    :param busiest: whether for the router with the most roles, instead of the
        mean router.
    """
    routers_per_centre = ROUTERS / CENTRES
    rate = REQUESTS_PER_S / ROUTERS
    shards = SERVERS / CENTRES / TARGETS_PER_SHARD
    shard_rate = REQUESTS_PER_S / CENTRES / shards
    coordinated = BUSIEST_SHARDS if busiest else shards / routers_per_centre
    partitions = (
        BUSIEST_PARTITIONS if busiest else PARTITIONS / routers_per_centre
    )
    slot_bytes = fits.slope("slots", "control bytes/s")
    slot_cpu = fits.slope("slots", "home CPU %")
    peers = routers_per_centre - 1
    keys = ORDERS_PER_S * KEY_LIFE_S / PARTITIONS
    chats = CHATS / CENTRES / shards
    key_cpu = fits.slope("state", "keys CPU s")
    changes = (
        EDITS_PER_DAY * CHANGE_BYTES + VM_CHANGES_PER_DAY * LIST_CHANGE_BYTES
    ) / DAY_S
    return [
        Row(
            "peer",
            "one stream for each pair, heartbeat each 1.2 s",
            f"{peers:.0f} links",
            f"{2 * peers / 1.2:.0f}/s",
            peers * fits.slope("peers", "control_bytes_per_s"),
            peers * max(0, fits.slope("peers", "cpu_percent")),
            peers * max(0, fits.slope("peers", "rss_mb")),
        ),
        Row(
            "timers, probes, polls",
            "fixed intervals, whatever the load",
            "-",
            "-",
            0.0,
            fits.intercept("peers", "cpu_percent"),
            0.0,
        ),
        Row(
            "slot client",
            "one exchange with the shard's coordinator, batched releases",
            "sessions and held slots",
            f"{rate:.0f} requests/s",
            rate * slot_bytes,
            rate * slot_cpu,
            ENTRY_STATE_MB,
        ),
        Row(
            "coordinator of engines",
            "slot table and queue of a shard; where chats ran",
            f"{coordinated:.1f} shards, {chats * coordinated:,.0f} chats",
            f"{coordinated * shard_rate:.0f} requests/s",
            coordinated * shard_rate * slot_bytes,
            coordinated * shard_rate * slot_cpu,
            coordinated * chats * fits.slope("state", "chats bytes") / 1e6,
        ),
        Row(
            "catalogue",
            "state by revision; teams parsed on use",
            f"{TEAMS:,} teams",
            f"{EDITS_PER_DAY}/day",
            changes,
            0.01,
            TEAMS * fits.slope("state", "teams bytes") / 1e6,
        ),
        Row(
            "platform reader" if busiest else "platform reader (2 of 51)",
            "two routers read log and list, and send changes",
            "offset and list",
            "2 reads/s",
            changes * peers * (1.0 if busiest else 2 / routers_per_centre),
            READER_CPU_PERCENT * (1.0 if busiest else 2 / routers_per_centre),
            READER_MB,
        ),
        Row(
            "partition server",
            "claim table from the log, batched appends",
            f"{partitions:.1f} partitions, {keys * partitions:,.0f} keys",
            f"{partitions * ORDERS_PER_S / PARTITIONS:.0f} orders/s",
            partitions * ORDERS_PER_S / PARTITIONS * 2 * 400 / CENTRES,
            partitions * ORDERS_PER_S / PARTITIONS * key_cpu * 100,
            partitions * keys * fits.slope("state", "keys bytes") / 1e6,
        ),
    ]


def _table(rows: list[Row]) -> tuple[str, Row]:
    """Return rows and their sum as a table, and the sum."""
    total = Row(
        "**sum**",
        "",
        "",
        "",
        sum(row.bytes_per_s for row in rows),
        sum(row.cpu_percent for row in rows),
        sum(row.memory_mb for row in rows),
    )
    cells = [
        {
            "role": row.role,
            "mechanism": row.mechanism,
            "state": row.state,
            "messages": row.messages,
            "bytes/s": f"{row.bytes_per_s:,.0f}",
            "CPU % of a core": f"{row.cpu_percent:.2f}",
            "MB": f"{row.memory_mb:.1f}",
        }
        for row in [*rows, total]
    ]
    return report.table(cells), total


def _verdict(total: Row) -> str:
    """Return a sentence that compares a sum of costs with the budgets."""
    verdicts = []
    for name, value, budget in (
        ("CPU", total.cpu_percent, CPU_BUDGET_PERCENT),
        ("memory", total.memory_mb, MEMORY_BUDGET_MB),
        ("bytes", total.bytes_per_s, BYTES_BUDGET),
    ):
        word = "holds" if value <= budget else "**breaks**"
        verdicts.append(
            f"{name} {word} ({100 * value / budget:.0f}% of budget)"
        )
    text = ", ".join(verdicts) + "."
    return text[0].upper() + text[1:]


def _serving(fits: Fits) -> list[dict[str, typing.Any]]:
    """Return the costs of serving requests, for the mean router."""
    rate = REQUESTS_PER_S / ROUTERS
    tokens = TOKENS_PER_S / ROUTERS
    tokens_per_request = TOKENS_PER_S / REQUESTS_PER_S
    streams = rate * tokens_per_request * TOKEN_GAP_MS / 1000
    request_cpu = fits.slope("relay", "CPU % per request/s at 10 tokens")
    token_cpu = fits.slope("relay", "CPU % per token/s")
    request_cpu -= 10 * token_cpu
    return [
        {
            "work": "requests",
            "amount": f"{rate:.1f}/s",
            "each": f"{request_cpu * 10_000:.0f} us",
            "CPU % of a core": rate * request_cpu,
            "MB": 0.0,
        },
        {
            "work": "tokens",
            "amount": f"{tokens:,.0f}/s",
            "each": f"{token_cpu * 10_000:.1f} us",
            "CPU % of a core": tokens * token_cpu,
            "MB": 0.0,
        },
        {
            "work": "open streams",
            "amount": f"{streams:,.0f}",
            "each": f"{fits.slope('streams', 'MB per stream') * 1000:.0f} KB",
            "CPU % of a core": 0.0,
            "MB": streams * fits.slope("streams", "MB per stream"),
        },
    ]


def _limits(fits: Fits, total: Row, rows: list[Row]) -> str:
    """Return how many peers, teams and requests use up the budgets."""
    peers = rows[0]
    peer_count = ROUTERS / CENTRES - 1
    per_peer = peers.bytes_per_s / peer_count
    spare_bytes = BYTES_BUDGET - (total.bytes_per_s - peers.bytes_per_s)
    max_peers = max(0.0, spare_bytes / per_peer)
    team_mb = rows[4].memory_mb / TEAMS
    spare_mb = MEMORY_BUDGET_MB - (total.memory_mb - rows[4].memory_mb)
    slot_cpu = fits.slope("slots", "home CPU %")
    other = total.cpu_percent - rows[2].cpu_percent - rows[3].cpu_percent
    max_rate = (CPU_BUDGET_PERCENT - other) / slot_cpu
    return "\n".join(
        [
            f"- Bytes: {max_peers:.0f} peers in a data centre"
            f" ({peer_count:.0f} at the target) fill 8 KB/s.",
            f"- Memory: {spare_mb / team_mb:,.0f} teams ({TEAMS:,} at the"
            " target) fill 32 MB.",
            f"- CPU: {max_rate:.0f} slot requests per second, sent and"
            " granted together, fill 4.2% of a core.",
        ]
    )


def _sources(fits: Fits) -> str:
    """Return a table of the fits and the commands that measured them."""
    rows = []
    for name, result in fits.results.items():
        for quantity, (slope, intercept) in result["slopes"].items():
            rows.append(
                {
                    "command": f"`{result['command']}`",
                    "date": result["date"],
                    "quantity": quantity,
                    "each": float(slope),
                    "at none": float(intercept),
                    "points": _points(name, quantity),
                }
            )
    return report.table(rows)


def _points(name: str, quantity: str) -> str:
    """Return the points that a fit is based on, as text."""
    if name == "state":
        kind = quantity.split()[0]
        return {
            "teams": "2,000 to 21,000",
            "keys": "10,000 to 100,000",
            "chats": "5,000 to 20,000",
        }[kind]
    return {
        "peers": "1, 3, 5, 8, 11 peers",
        "relay": "5, 10, 20, 28 requests/s",
        "slots": "0, 20, 40, 60, 80 slot requests/s at a loaded coordinator",
        "streams": "100, 250, 500, 1,000 streams",
    }[name]


def write() -> None:
    """Write the page."""
    fits = Fits()
    machine = fits.results["machine"]["rows"][0]
    mean_rows = control_rows(fits, busiest=False)
    busy_rows = control_rows(fits, busiest=True)
    mean_table, mean = _table(mean_rows)
    busy_table, busy = _table(busy_rows)
    restore_s = TEAMS * fits.slope("state", "teams restored CPU s")
    keys = ORDERS_PER_S * KEY_LIFE_S / PARTITIONS
    replay_s = keys * fits.slope("state", "keys CPU s")
    idle_mb = fits.intercept("peers", "rss_mb")
    shards = SERVERS / CENTRES / TARGETS_PER_SHARD
    PAGE.write_text(f"""# Capacity

Written by `python -m bench capacity` from `bench/results`; edit neither by
hand. Figures are extrapolated to the target size from slopes measured on one
machine ({machine["cores"]} cores, {machine["memory GB"]:.0f} GB, CPython
{machine["python"]}). Nothing was run at the target size itself.

**Target**: {ROUTERS} routers, {SERVERS:,} servers, {CENTRES} data centres,
{REQUESTS_PER_S:,} requests/s, {TOKENS_PER_S:,} tokens/s, {CHATS:,} chats,
{TEAMS:,} teams, {POOLS} models, {EDITS_PER_DAY:,} edits a day. A data centre
has {ROUTERS / CENTRES:.0f} routers and {SERVERS / CENTRES:.0f} servers.

**Assumed here, as the users' figures are missing**: {ORDERS_PER_S} requests/s
that must not run twice, keys that live {KEY_LIFE_S} s,
{TARGETS_PER_SHARD} targets in a shard, {CHANGE_BYTES} bytes for a changed
entry, {LIST_CHANGE_BYTES} for a changed VM. Also assumed, not measured: a slot
costs its client as much as its coordinator; {ENTRY_STATE_MB} MB of sessions;
0.01% of a core for applying edits; {READER_CPU_PERCENT}% and {READER_MB} MB
for reading the platform; 800 bytes on links for an order's claim and outcome.
A slope below zero counts as zero; that of a peer's CPU may be below zero, as
it is smaller than the scatter.

**Budget of control** for each router: {CPU_BUDGET_PERCENT}% of a core,
{MEMORY_BUDGET_MB} MB, {BYTES_BUDGET / 1000:.0f} KB/s. The declared libraries
alone take {machine["libraries MB"]:.0f} MB once imported, and an idle router
without peers {idle_mb:.0f} MB, so the budget applies to what control adds to
that. Bytes count frames on links with their gRPC and HTTP/2 headers, both
ways, without TCP/IP; probes of engines (about 300 bytes/s each, by their
coordinator) and reads of the platform come on top.

## Control, mean router

{mean_table}

{_verdict(mean)}

## Control, busiest router

A router that is the coordinator of {BUSIEST_SHARDS} shard, serves
{BUSIEST_PARTITIONS} partitions and reads the platform.

{busy_table}

{_verdict(busy)}

{shards:.0f} shards are spread over {ROUTERS / CENTRES:.0f} routers, so that
none is the coordinator of more than one.

## Serving, in addition to control

{report.table(_serving(fits))}

## A replaced VM

Loading {TEAMS:,} teams from a snapshot takes {restore_s:.2f} s of CPU, in
{TEAMS / 400:.0f} records. A partition of claims with {keys:,.0f} keys takes
{replay_s:.1f} s of CPU to replay before its new server responds. A shard whose
coordinator died has no grants for 1.0 to 1.25 s, one whose coordinator hangs
for 5 s.

## What breaks first

{_limits(fits, busy, busy_rows)}

## Slopes

{_sources(fits)}
""")
