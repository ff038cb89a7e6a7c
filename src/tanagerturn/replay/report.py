"""One self-contained HTML page about runs."""

from __future__ import annotations

import html
import io
import math
from typing import TYPE_CHECKING, Final

import matplotlib as mpl

mpl.use("svg")

from matplotlib.figure import Figure as Plot

from tanagerturn.replay.check import judge_all, summarize
from tanagerturn.replay.figures import by_call, compare_runs, figures_of
from tanagerturn.replay.results import CallerOutcome
from tanagerturn.replay.tables import (
    SPREAD_HEAD,
    format_number,
    spread_rows,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from tanagerturn.replay.results import RunResults
    from tanagerturn.replay.trace import StatedOutcome

MS_PER_S: Final = 1000.0
BROKEN_SHOWN: Final = 20
WIDTH_IN: Final = 9.0
STYLE: Final = """
body { font: 15px/1.45 sans-serif; max-width: 60em; margin: 2em auto; padding: 0 1em; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { text-align: left; padding: .2em .8em .2em 0; border-bottom: 1px solid #ddd; }
td { font-variant-numeric: tabular-nums; }
.pass { color: #17642b; } .fail { color: #a3141b; font-weight: bold; }
svg { max-width: 100%; height: auto; }
"""
TIMELINE_COLOURS: Final = {
    "reclaim": "#a3141b",
    "starts": "#8a5a00",
    "price": "#5b3c88",
    "fault": "#a3141b",
    "entry": "#333333",
    "lease": "#17642b",
    "settings": "#1f4e9c",
}


def build_report(runs: Sequence[RunResults], outcomes: Sequence[StatedOutcome]) -> str:
    """Build the page.

    Args:
        runs: Runs of one trace.
        outcomes: Outcomes that the trace states.

    Returns:
        An HTML page with its plots inside.
    """
    title = f"Replay of {runs[0].header.trace}"
    parts = [f"<h1>{html.escape(title)}</h1>"]
    if len(runs) > 1:
        rows = spread_rows(compare_runs(runs))
        parts += ["<h2>Comparison</h2>", _table(SPREAD_HEAD, rows)]
        parts.append(_cost_plot(runs))
    for run in runs:
        parts += _run_parts(run, outcomes)
    body = "\n".join(parts)
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>{html.escape(title)}</title><style>{STYLE}</style></head>"
        f"<body>\n{body}\n</body></html>\n"
    )


def _run_parts(run: RunResults, outcomes: Sequence[StatedOutcome]) -> list[str]:
    header, summary = run.header, summarize(run)
    figures = [
        (figure.name, f"{format_number(figure.value)} {figure.unit}")
        for figure in figures_of(run)
    ]
    return [
        f"<h2>{html.escape(header.label)}, seed {header.seed}</h2>",
        f"<p>tanagerturn {html.escape(header.tool)}, speed {header.speed:g}, trace "
        f"from {header.from_ms / MS_PER_S:g} to {header.to_ms / MS_PER_S:g} s. "
        f"{summary.accepted} accepted, {summary.answered_once} answered once, "
        f"{summary.lost} lost, {summary.doubled} doubled. The tool's own lateness: "
        f"99th percentile {run.end.lateness_p99_ms:.2f} ms, at most "
        f"{run.end.lateness_max_ms:.2f} ms.</p>",
        "<h3>Stated outcomes</h3>",
        _verdict_table(run, outcomes),
        "<h3>Latency</h3>",
        _latency_plot(run),
        "<h3>Tokens</h3>",
        _token_plot(run),
        "<h3>Timeline</h3>",
        _timeline_plot(run),
        _table(
            ("s", "what", "detail"),
            [(f"{h.at_ms / MS_PER_S:.1f}", h.what, h.detail) for h in run.timeline],
        ),
        "<h3>Figures</h3>",
        _table(("figure", "value"), figures),
    ]


def _table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    cells = "".join(f"<th>{html.escape(cell)}</th>" for cell in head)
    lines = [f"<tr>{cells}</tr>"]
    for row in rows:
        cells = "".join(f"<td>{html.escape(cell)}</td>" for cell in row)
        lines.append(f"<tr>{cells}</tr>")
    return f"<table>{''.join(lines)}</table>"


def _verdict_table(run: RunResults, outcomes: Sequence[StatedOutcome]) -> str:
    rows = []
    for verdict in judge_all(run, outcomes):
        mark = "pass" if verdict.passed else "fail"
        broken = ", ".join(verdict.broken_by[:BROKEN_SHOWN])
        rows.append(
            f'<tr><td class="{mark}">{mark}</td><td>{html.escape(str(verdict)[5:])}'
            f"</td><td>{html.escape(broken)}</td></tr>"
        )
    head = "<tr><th></th><th>outcome</th><th>broken by</th></tr>"
    return f"<table>{head}{''.join(rows)}</table>"


def _svg(plot: Plot) -> str:
    buffer = io.StringIO()
    plot.savefig(buffer, format="svg", bbox_inches="tight", metadata={"Date": None})
    text = buffer.getvalue()
    return text[text.index("<svg") :]


def _latency_plot(run: RunResults) -> str:
    """Plot latency over time and by percentile, each call a colour."""
    plot = Plot(figsize=(WIDTH_IN, 3.4))
    over_time, by_percentile = plot.subplots(1, 2)
    for call, requests in by_call(run.requests).items():
        answered = [r for r in requests if r.outcome == CallerOutcome.ANSWERED]
        if not answered:
            continue
        times = [r.at_ms / MS_PER_S for r in answered]
        latencies = [r.latency_ms for r in answered]
        over_time.plot(times, latencies, ".", markersize=2, label=call)
        ordered = sorted(latencies)
        shares = [(i + 1) / len(ordered) * 100 for i in range(len(ordered))]
        by_percentile.plot(shares, ordered, label=call)
    over_time.set(xlabel="s", ylabel="ms from the intended time", yscale="log")
    by_percentile.set(xlabel="percentile", yscale="log")
    by_percentile.legend(fontsize="small")
    return _svg(plot)


def _token_plot(run: RunResults) -> str:
    """Plot recomputed tokens by cause over the generated ones."""
    engines = [backend for backend in run.backends if backend.tokens_generated]
    resumed = sum(r.recomputed_tokens for r in run.requests)
    total = sum(engine.tokens_recomputed for engine in engines)
    seen = min(resumed, total)
    bars = {
        "generated": sum(engine.tokens_generated for engine in engines),
        "recomputed: resumed streams that ended": seen,
        "recomputed: other resumes and preemptions": total - seen,
    }
    plot = Plot(figsize=(WIDTH_IN, 1.8))
    axes = plot.subplots()
    drawn = axes.barh(list(bars), list(bars.values()))
    axes.bar_label(drawn, padding=3)
    axes.margins(x=0.12)
    axes.invert_yaxis()
    axes.set_xlabel("tokens")
    return _svg(plot)


def _timeline_plot(run: RunResults) -> str:
    """Plot requests in flight, and what happened as lines."""
    plot = Plot(figsize=(WIDTH_IN, 2.6))
    axes = plot.subplots()
    moments = sorted(
        [(r.at_ms, 1) for r in run.requests]
        + [(r.at_ms + r.latency_ms, -1) for r in run.requests]
    )
    running, times, counts = 0, [0.0], [0]
    for at_ms, change in moments:
        running += change
        times.append(at_ms / MS_PER_S)
        counts.append(running)
    axes.step(times, counts, where="post", linewidth=0.8, color="#777777")
    shown = set()
    for happening in run.timeline:
        label = None if happening.what in shown else happening.what
        shown.add(happening.what)
        colour = TIMELINE_COLOURS.get(happening.what, "#777777")
        axes.axvline(happening.at_ms / MS_PER_S, color=colour, label=label)
    axes.set(xlabel="s", ylabel="requests in flight")
    if shown:
        axes.legend(fontsize="small")
    return _svg(plot)


def _cost_plot(runs: Sequence[RunResults]) -> str:
    """Plot cost against latency, each run a point."""
    plot = Plot(figsize=(WIDTH_IN, 3.0))
    axes = plot.subplots()
    for label in dict.fromkeys(run.header.label for run in runs):
        own = [run for run in runs if run.header.label == label]
        costs = [run.end.cost for run in own]
        axes.plot(costs, [_worst_p95(run) for run in own], "o", label=label)
    axes.set(xlabel="cost", ylabel="worst call's 95th percentile, ms", yscale="log")
    axes.legend(fontsize="small")
    return _svg(plot)


def _worst_p95(run: RunResults) -> float:
    values = [f.value for f in figures_of(run) if f.name.endswith(" p95")]
    return max(values, default=math.nan)
