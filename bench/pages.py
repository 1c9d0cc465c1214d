"""Write docs/BENCHES.md from the newest results of the benches."""

import pathlib

from bench import report

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "BENCHES.md"


def _placement() -> str:
    result = report.load("placement")
    sections = []
    for deployment in ("agencia", "wheatsheaf"):
        rows = [
            {k: v for k, v in row.items() if k != "deployment"}
            for row in result["rows"]
            if row["deployment"] == deployment
        ]
        sections.append(f"### {deployment}\n\n{report.table(rows)}")
    return "\n\n".join(sections)


def write() -> None:
    """Write docs/BENCHES.md."""
    relay = report.load("relay")
    streams = report.load("streams")
    placement = report.load("placement")
    PAGE.write_text(f"""# Measurements

Written by `python -m bench pages` from `bench/results`; edit neither by hand.
Each table names its command; `bench/results/NAME.json` has the date.

## Placement against baselines

`{placement["command"]}`, {placement["date"]}. Median and range of eight seeds.
One data centre with three engines, 16 slots each, simulated time: the routers'
own scheduler or a baseline chooses, `bench/model.py` simulates engines with
prefix caches of limited size and callers in ten teams, two of them large.
*calm*: nothing changes. *churn*: an engine leaves every 20 s for 4 to 20 s,
and returns with an empty cache half of the time. *surge*: three times the load
for a fifth of the run, ten times the weight for two teams.

- *reuse*: prompt tokens of returning turns that were in the engine's cache.
- *skew_p99*: load of the busiest engine over the mean, sampled every 100 ms
  while the mean is one or more; *surge_skew_p99*: during the surge only.
- *first_p95_ms*: from request to the end of the prefill.
- *refused*: share of requests that were refused.

{_placement()}

Goals: skew under 1.25 in a surge; reuse within 5% of plain hashing by chat
when calm and above it in churn. With three engines and a mean of a few
requests, a single additional request is a skew above 1.25, and `ceil` in the
bound allows it; during the surge the mean is near the number of slots. Where
reuse stays below hashing by chat, chats were moved off their engine because it
was at the bound; a larger multiple c keeps more of them there, at the price of
skew. Hashing has no bound, which shows in its skew and its first tokens.

## Relay

`{relay["command"]}`, {relay["date"]}. One router relays at a steady rate;
another router is the coordinator of its shard. At the same time, five requests
per second go to the engines directly. Engine tokens are 20 ms apart.

{report.table(relay["rows"])}

Goals: under 60 us of CPU for a relayed token, under 5 ms added to the first
token at p95 at 28 requests/s and 6,400 tokens/s. Load, router and engines
share the machine, so p95 includes waiting for a core.

## Open streams

`{streams["command"]}`, {streams["date"]}.

{report.table(streams["rows"])}

The other benches are in [CAPACITY.md](CAPACITY.md).
""")
