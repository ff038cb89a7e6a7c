"""Writes docs/CAPACITY.md from the measured result files.

Run: python bench/capacity_page.py
Reads docs/measurements/data/capacity.json, which bench/capacity.py writes, and
docs/measurements/data/relay.json, which bench/relay.py --out writes.
"""

from __future__ import annotations

import itertools
import math
from pathlib import Path
from typing import Any

import orjson

DOCS = Path(__file__).parents[1] / "docs"
DATA = DOCS / "measurements" / "data"

DAEMONS = 380
"""Processes of the planned deployment."""

NON_ENTRY_DAEMONS = 8
"""Processes that serve no callers: state members and control processes."""

STATE_MEMBERS = 5
CONTROLS = 3
"""Control processes, of which one is active."""

ENTRIES = DAEMONS - NON_ENTRY_DAEMONS
ENGINES = 760
REQUESTS_PER_S = 2600
TOKENS_PER_S = 970_000
CHANGES_PER_S = 4400 / 86_400
"""Settings changes per second."""

CORE_BUDGET_US_PER_S = 31_000
"""Limit of the CPU time of a process without its work for callers."""

MEMORY_BUDGET_MB = 64
BYTES_BUDGET_PER_S = 4096
"""Limit of the bytes that a process sends and receives without those of callers."""


SUBSET_ENGINES = 24
"""Engines that announce themselves to one entry process in the planned mechanism."""

HTTP_OVERHEAD_BYTES = 250
"""Bytes of an announcement beyond its body."""

DIGEST_BYTES = 10
"""Bytes of a digest for each engine outside the subset."""

DIGEST_PERIOD_S = 60
"""Time between digests."""

SERVICES = 32
"""Services in the settings."""

SERVICES_PLANNED = 20
"""Services whose capacity the active control process plans."""

PLAN_PERIOD_S = 10
"""Time between capacity plans."""

DURABLE_FRACTIONS = (0.1, 1.0)
"""Fractions of requests that are durable."""

COMMITS_PER_REQUEST = 2
"""Commits of a durable request."""

RECORD_RETENTION_S = 86_400
"""Retention time of request records."""

LEADER_CORE_FRACTION = 0.5
"""Fraction of a core that a group leader may use."""

VOTER_MEMORY_MB = 8192
"""Memory of a state member for request records."""


class FittedLines:
    """Measured points and the lines fitted through them.

    Args:
        results: Contents of the result file by part.
    """

    def __init__(self, results: dict[str, Any]) -> None:
        self.results = results
        """Contents of the result file by part, and the date under "date"."""

    def value_at(self, part: str, key: str, size: float) -> float:
        """Return the value of the fitted line at a size, at least 0."""
        fit = self.results[part]["fits"][key]
        return max(0.0, fit["base"] + fit["slope"] * size)

    def slope(self, part: str, key: str) -> float:
        """Return the slope of the fitted line."""
        return float(self.results[part]["fits"][key]["slope"])

    def largest(self, part: str, key: str) -> float:
        """Return the value at the largest measured size."""
        return float(self.results[part]["points"][-1][key])

    def mean(self, part: str, key: str) -> float:
        """Return the mean over all sizes, for values that do not depend on the size."""
        points = self.results[part]["points"]
        return float(sum(p[key] for p in points) / len(points))


def format_against_budget(value: float, budget: float, digits: int = 0) -> str:
    """Return the text of a value, its budget and whether it is within the budget."""
    verdict = "within" if value <= budget else "**misses**"
    return f"{value:,.{digits}f} of {budget:,}: {verdict}"


def entry_rows(fits: FittedLines, relay: list[dict[str, Any]]) -> list[str]:
    """Return the table of an entry process's work that is not for callers."""
    announcement_us = fits.mean("announcements", "cpu_us")
    announcement_bytes = fits.mean("announcements", "bytes") + HTTP_OVERHEAD_BYTES
    membership_us = fits.value_at("membership", "cpu_us_per_s", DAEMONS)
    membership_bytes = 2 * fits.largest("membership", "bytes_per_s_mean")
    settings_us = CHANGES_PER_S * (
        fits.value_at("settings", "cpu_us", SERVICES)
        + fits.value_at("relays", "cpu_us_per_change", DAEMONS)
    )
    settings_bytes = CHANGES_PER_S * fits.mean("relays", "bytes_per_change")
    digest_bytes = (ENGINES - SUBSET_ENGINES) * DIGEST_BYTES / DIGEST_PERIOD_S
    announcement_bytes_per_s = (
        BYTES_BUDGET_PER_S - membership_bytes - settings_bytes - digest_bytes
    )
    heartbeat_s = SUBSET_ENGINES * announcement_bytes / announcement_bytes_per_s
    idle_us = max(point["idle_cpu_us_per_s"] for point in relay)
    idle_mb = max(point["rss_idle_mb"] for point in relay)
    view_mb = fits.largest("view", "mb") / 1600
    rows = [
        ("every engine announces to every entry process each second (today)",
         ENGINES * announcement_us, ENGINES * announcement_bytes,
         ENGINES * view_mb, "present"),
        (f"subset of {SUBSET_ENGINES} engines, one announcement in {heartbeat_s:.1f} s "
         "each, digests of the rest",
         SUBSET_ENGINES / heartbeat_s * announcement_us,
         SUBSET_ENGINES / heartbeat_s * announcement_bytes + digest_bytes,
         SUBSET_ENGINES * view_mb + 0.1, "subset and digests decided, not yet wired"),
        ("membership (sent and received)", membership_us, membership_bytes,
         fits.value_at("membership", "mb", DAEMONS), "present"),
        (f"settings, {SERVICES} services", settings_us, settings_bytes, 0.0,
         "present: relays and deltas"),
        ("idle process, one engine announcing", idle_us, 0.0, idle_mb, "present"),
    ]  # fmt: skip
    lines = [
        "| Part | us of CPU a second | bytes a second | MB | mechanism |",
        "| --- | --- | --- | --- | --- |",
    ]
    lines += [
        f"| {name} | {us:,.0f} | {size:,.0f} | {mb:.1f} | {mechanism} |"
        for name, us, size, mb, mechanism in rows
    ]
    for label, chosen in (("today's way", 0), ("with the subset", 1)):
        included = [rows[chosen], *rows[2:]]
        us, size, mb = (sum(row[i] for row in included) for i in (1, 2, 3))
        lines.append(
            f"| **sum, {label}** | {format_against_budget(us, CORE_BUDGET_US_PER_S)} | "
            f"{format_against_budget(size, BYTES_BUDGET_PER_S)} | "
            f"{format_against_budget(mb, MEMORY_BUDGET_MB, 1)} | |"
        )
    return lines


def stream_rows(fits: FittedLines, relay: list[dict[str, Any]]) -> list[str]:
    """Return the table of streams at an entry process and the cost of routing."""
    tokens = TOKENS_PER_S / ENTRIES
    lines = [
        "| Streams at once | us of CPU a token | cores at "
        f"{tokens:,.0f} tokens a second | MB after |",
        "| --- | --- | --- | --- |",
    ]
    lines += [
        f"| {point['streams']} | {point['cpu_us_per_token']:.0f} | "
        f"{point['cpu_us_per_token'] * tokens / 1e6:.2f} | "
        f"{point['rss_after_mb']:.0f} |"
        for point in relay
    ]
    routing_us = fits.value_at("routing", "cpu_us", ENGINES)
    lines += [
        "",
        f"A routing decision over {ENGINES} engines costs {routing_us:.0f} us; "
        f"{REQUESTS_PER_S / ENTRIES:.1f} requests a second make "
        f"{routing_us * REQUESTS_PER_S / ENTRIES:,.0f} us a second.",
    ]
    return lines


def voter_rows(fits: FittedLines) -> list[str]:
    """Return the table of the state members and a sentence on CPU time and memory."""
    slope = fits.slope("voter", "leader_us_per_s")
    base = fits.value_at("voter", "leader_us_per_s", 0)
    max_commits_per_s = max(1.0, (LEADER_CORE_FRACTION * 1e6 - base) / slope)
    record_mb = (
        fits.largest("store", "mb") / fits.results["store"]["points"][-1]["records"]
    )
    lines = [
        "| Durable share of requests | commits a second | leaders at half a core "
        "each | records kept for a day | memory of a copy |",
        "| --- | --- | --- | --- | --- |",
    ]
    for fraction in DURABLE_FRACTIONS:
        commits = REQUESTS_PER_S * fraction * COMMITS_PER_REQUEST
        records = REQUESTS_PER_S * fraction * RECORD_RETENTION_S
        lines.append(
            f"| {fraction:.0%} | {commits:,.0f} | "
            f"{math.ceil(commits / max_commits_per_s)} | "
            f"{records:,.0f} | {records * record_mb / 1024:,.1f} GB |"
        )
    record_capacity = VOTER_MEMORY_MB / record_mb
    hours = record_capacity / REQUESTS_PER_S / DURABLE_FRACTIONS[0] / 3600
    follower_base = fits.value_at("voter", "follower_us_per_s", 0)
    follower = fits.slope("voter", "follower_us_per_s")
    lines += [
        "",
        f"Processor time of a leader: {base:,.0f} us a second idle and {slope:,.0f} us "
        f"a commit; of a follower: {follower_base:,.0f} and {follower:,.0f}. "
        f"A record takes {record_mb * 1024:.1f} KB; "
        f"{VOTER_MEMORY_MB / 1024:.0f} GB hold {record_capacity:,.0f} records, "
        f"{hours:.1f} hours at a durable share of {DURABLE_FRACTIONS[0]:.0%}.",
    ]
    return lines


def control_rows(fits: FittedLines) -> list[str]:
    """Return the table of the active control process."""
    hosts = ENGINES / SERVICES_PLANNED
    plan_us = interpolate(fits.results["control"]["points"], "hosts", "cpu_us", hosts)
    plan_us_per_s = plan_us * SERVICES_PLANNED / PLAN_PERIOD_S
    announcements_us_per_s = ENGINES * fits.mean("announcements", "cpu_us")
    return [
        "| Part | us of CPU a second |",
        "| --- | --- |",
        f"| plan of hosts, {SERVICES_PLANNED} services of {hosts:.0f} hosts every "
        f"{PLAN_PERIOD_S} s | "
        f"{format_against_budget(plan_us_per_s, CORE_BUDGET_US_PER_S)} |",
        "| announcements of all engines, each second | "
        f"{format_against_budget(announcements_us_per_s, CORE_BUDGET_US_PER_S)} |",
    ]


def relay_rows(fits: FittedLines) -> list[str]:
    """Return the table of a settings relay."""
    bytes_at_daemon = fits.mean("relays", "bytes_per_change")
    bytes_at_relay = fits.largest("relays", "busiest_relay_bytes_per_change")
    relay_bytes_per_s = bytes_at_relay * CHANGES_PER_S
    return [
        "| Figure | value |",
        "| --- | --- |",
        f"| bytes of a change at a daemon | {bytes_at_daemon:.0f} |",
        f"| bytes of a change sent by the busiest of 100 watchers | "
        f"{bytes_at_relay:.0f} |",
        "| the same at 4,400 changes a day, a second | "
        f"{format_against_budget(relay_bytes_per_s, BYTES_BUDGET_PER_S, 1)} |",
    ]


def interpolate(points: list[dict[str, float]], x: str, y: str, at: float) -> float:
    """Return y at a value of x, interpolated linearly between the measured points.

    A value of x outside the points gives the last point's y.
    """
    for low, high in itertools.pairwise(points):
        if low[x] <= at <= high[x]:
            fraction = (at - low[x]) / (high[x] - low[x])
            return low[y] + fraction * (high[y] - low[y])
    return points[-1][y]


def fit_rows(fits: FittedLines) -> list[str]:
    """Return the table of all fitted lines."""
    lines = [
        "| Part | figure | sizes | base | slope | relative error of the line |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for part, result in sorted(fits.results.items()):
        if part == "date":
            continue
        size = next(k for k in result["points"][0] if k not in result["fits"])
        sizes = ", ".join(f"{p[size]:g}" for p in result["points"])
        lines += [
            f"| {part} | {key} | {size} {sizes} | {fit['base']:.4g} | "
            f"{fit['slope']:.4g} | {fit['relative_error']:.0%} |"
            for key, fit in result["fits"].items()
        ]
    return lines


def main() -> None:
    """Write docs/CAPACITY.md from the two result files."""
    fits = FittedLines(orjson.loads((DATA / "capacity.json").read_bytes()))
    relay = orjson.loads((DATA / "relay.json").read_bytes())
    sections = {
        "Entry process: control": entry_rows(fits, relay),
        "Entry process: callers": stream_rows(fits, relay),
        "State member (voter)": voter_rows(fits),
        "Relay or learner of settings": relay_rows(fits),
        "Active control process": control_rows(fits),
        "Measured slopes": fit_rows(fits),
    }
    text = (DOCS / "_capacity_head.md").read_text(encoding="utf-8")
    text = text.replace("DATE", fits.results["date"])
    for title, lines in sections.items():
        text += f"\n## {title}\n\n" + "\n".join(lines) + "\n"
    text += "\n" + (DOCS / "_capacity_tail.md").read_text(encoding="utf-8")
    (DOCS / "CAPACITY.md").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
