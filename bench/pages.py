"""Writes docs/BENCHES.md from the newest results of the benches."""

import pathlib

from bench import report

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "BENCHES.md"


def _placement() -> str:
    result = report.load("placement")
    parts = []
    for deployment in ("agencia", "wheatsheaf"):
        rows = [
            {k: v for k, v in row.items() if k != "deployment"}
            for row in result["rows"]
            if row["deployment"] == deployment
        ]
        parts.append(f"### {deployment}\n\n{report.table(rows)}")
    return "\n\n".join(parts)


def write() -> None:
    """Write the page."""
    relay = report.load("relay")
    streams = report.load("streams")
    placement = report.load("placement")
    PAGE.write_text(f"""# Measurements

Written by `python -m bench pages` from `bench/results`; edit neither by hand.
Each table names its command; `bench/results/NAME.json` has the date.

## Placement against baselines

`{placement["command"]}`, {placement["date"]}. Median and range of eight seeds.
One data centre with three engines, 16 slots each, simulated time: the routers'
own desk or a baseline chooses, `bench/model.py` models engines with prefix
caches of limited size and callers with ten teams, two of them large. *calm*:
nothing changes. *churn*: an engine leaves every 20 s for 4 to 20 s, and comes
back with an empty cache half of the time. *surge*: three times the load for a
fifth of the run, two teams ten-fold.

- *reuse*: prompt tokens of returning turns that were in the engine's cache.
- *skew_p99*: busiest engine over the mean, sampled each 100 ms while the mean
  is one or more; *surge_skew_p99*: in the surge's span alone.
- *first_p95_ms*: from request to the end of the prefill.
- *refused*: share of the requests.

{_placement()}

Targets: skew under 1.25 in a surge; reuse within 5% of plain hashing by chat
when calm and above it in churn. With three engines and a mean of a few
requests, one request more is a skew above 1.25 by itself, and `ceil` in the
bound allows it; in the surge's span the mean is near the slots. Where reuse
stays below hashing by chat, chats were sent away from their engine at the
bound; a larger multiple c keeps more of them, at the price of skew. Hashing
has no bound: its skew and its first tokens show that.

## Relay

`{relay["command"]}`, {relay["date"]}. One router relays at a steady rate; its
shard's home is another router. Beside it, five requests a second go to the
engines directly. Engine tokens are 20 ms apart.

{report.table(relay["rows"])}

Targets: under 60 us of CPU for a relayed token, under 5 ms added to the first
token at p95 at 28 requests/s and 6,400 tokens/s. Load, router and engines
share the machine, so p95 includes their waiting for a core.

## Open streams

`{streams["command"]}`, {streams["date"]}.

{report.table(streams["rows"])}

The other benches stand in [CAPACITY.md](CAPACITY.md).
""")
