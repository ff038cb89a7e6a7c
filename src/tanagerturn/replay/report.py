"""Builds an HTML report about runs of one trace, without external resources."""

from __future__ import annotations

import html
import io
import math
from typing import TYPE_CHECKING, Final

import matplotlib as mpl

mpl.use("svg")

from matplotlib.figure import Figure as Plot

from tanagerturn.replay.check import evaluate_outcomes, summarize
from tanagerturn.replay.metrics import compare_runs, group_by_call, run_metrics
from tanagerturn.replay.results import CallerOutcome
from tanagerturn.replay.tables import (
    COMPARISON_COLUMNS,
    comparison_rows,
    format_number,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from tanagerturn.replay.results import RunResults
    from tanagerturn.replay.trace import ExpectedOutcome

MS_PER_S: Final = 1000.0
MAX_LISTED: Final = 20
PLOT_WIDTH_IN: Final = 9.0
PAGE_STYLE: Final = """
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


def build_report(
    runs: Sequence[RunResults], outcomes: Sequence[ExpectedOutcome]
) -> str:
    """Build the HTML report.

    Args:
        runs: Runs of one trace, at least one.
        outcomes: Expected outcomes to evaluate for each run.

    Returns:
        An HTML page with its plots embedded as SVG.
    """
    title = f"Replay of {runs[0].header.trace}"
    sections = [f"<h1>{html.escape(title)}</h1>"]
    if len(runs) > 1:
        rows = comparison_rows(compare_runs(runs))
        sections += ["<h2>Comparison</h2>", _table(COMPARISON_COLUMNS, rows)]
        sections.append(_cost_plot(runs))
    for run in runs:
        sections += _run_sections(run, outcomes)
    body = "\n".join(sections)
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>{html.escape(title)}</title><style>{PAGE_STYLE}</style></head>"
        f"<body>\n{body}\n</body></html>\n"
    )


def _run_sections(run: RunResults, outcomes: Sequence[ExpectedOutcome]) -> list[str]:
    header, summary = run.header, summarize(run)
    metrics = [
        (metric.name, f"{format_number(metric.value)} {metric.unit}")
        for metric in run_metrics(run)
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
        _table(("figure", "value"), metrics),
    ]


def _table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    cells = "".join(f"<th>{html.escape(cell)}</th>" for cell in head)
    lines = [f"<tr>{cells}</tr>"]
    for row in rows:
        cells = "".join(f"<td>{html.escape(cell)}</td>" for cell in row)
        lines.append(f"<tr>{cells}</tr>")
    return f"<table>{''.join(lines)}</table>"


def _verdict_table(run: RunResults, outcomes: Sequence[ExpectedOutcome]) -> str:
    rows = []
    for verdict in evaluate_outcomes(run, outcomes):
        status = "pass" if verdict.passed else "fail"
        broken = ", ".join(verdict.broken_by[:MAX_LISTED])
        rows.append(
            f'<tr><td class="{status}">{status}</td><td>{html.escape(str(verdict)[5:])}'
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
    """Plot latency over time and by percentile, with one colour for each call."""
    plot = Plot(figsize=(PLOT_WIDTH_IN, 3.4))
    over_time, by_percentile = plot.subplots(1, 2)
    for call, requests in group_by_call(run.requests).items():
        answered = [r for r in requests if r.outcome == CallerOutcome.ANSWERED]
        if not answered:
            continue
        times = [r.at_ms / MS_PER_S for r in answered]
        latencies = [r.latency_ms for r in answered]
        over_time.plot(times, latencies, ".", markersize=2, label=call)
        ordered = sorted(latencies)
        percentiles = [(i + 1) / len(ordered) * 100 for i in range(len(ordered))]
        by_percentile.plot(percentiles, ordered, label=call)
    over_time.set(xlabel="s", ylabel="ms from the intended time", yscale="log")
    by_percentile.set(xlabel="percentile", yscale="log")
    by_percentile.legend(fontsize="small")
    return _svg(plot)


def _token_plot(run: RunResults) -> str:
    """Plot the numbers of generated tokens and of recomputed tokens by cause."""
    engines = [backend for backend in run.backends if backend.tokens_generated]
    resumed = sum(r.recomputed_tokens for r in run.requests)
    total = sum(engine.tokens_recomputed for engine in engines)
    attributed = min(resumed, total)
    bars = {
        "generated": sum(engine.tokens_generated for engine in engines),
        "recomputed: resumed streams that ended": attributed,
        "recomputed: other resumes and preemptions": total - attributed,
    }
    plot = Plot(figsize=(PLOT_WIDTH_IN, 1.8))
    axes = plot.subplots()
    bar_container = axes.barh(list(bars), list(bars.values()))
    axes.bar_label(bar_container, padding=3)
    axes.margins(x=0.12)
    axes.invert_yaxis()
    axes.set_xlabel("tokens")
    return _svg(plot)


def _timeline_plot(run: RunResults) -> str:
    """Plot requests in flight over time, with a vertical line for each event."""
    plot = Plot(figsize=(PLOT_WIDTH_IN, 2.6))
    axes = plot.subplots()
    count_changes = sorted(
        [(r.at_ms, 1) for r in run.requests]
        + [(r.at_ms + r.latency_ms, -1) for r in run.requests]
    )
    in_flight_count, times, counts = 0, [0.0], [0]
    for at_ms, change in count_changes:
        in_flight_count += change
        times.append(at_ms / MS_PER_S)
        counts.append(in_flight_count)
    axes.step(times, counts, where="post", linewidth=0.8, color="#777777")
    labelled_kinds = set()
    for timeline_event in run.timeline:
        label = None if timeline_event.what in labelled_kinds else timeline_event.what
        labelled_kinds.add(timeline_event.what)
        colour = TIMELINE_COLOURS.get(timeline_event.what, "#777777")
        axes.axvline(timeline_event.at_ms / MS_PER_S, color=colour, label=label)
    axes.set(xlabel="s", ylabel="requests in flight")
    if labelled_kinds:
        axes.legend(fontsize="small")
    return _svg(plot)


def _cost_plot(runs: Sequence[RunResults]) -> str:
    """Plot latency over cost, with one point for each run."""
    plot = Plot(figsize=(PLOT_WIDTH_IN, 3.0))
    axes = plot.subplots()
    for label in dict.fromkeys(run.header.label for run in runs):
        label_runs = [run for run in runs if run.header.label == label]
        costs = [run.end.cost for run in label_runs]
        axes.plot(costs, [_worst_p95(run) for run in label_runs], "o", label=label)
    axes.set(xlabel="cost", ylabel="worst call's 95th percentile, ms", yscale="log")
    axes.legend(fontsize="small")
    return _svg(plot)


def _worst_p95(run: RunResults) -> float:
    values = [
        metric.value for metric in run_metrics(run) if metric.name.endswith(" p95")
    ]
    return max(values, default=math.nan)
