"""Figures of a run, and their comparison over seeds."""

from __future__ import annotations

import math
import statistics
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.replay.check import summarize
from tanagerturn.replay.results import CallerOutcome
from tanagerturn.replay.runner import new_histogram, percentile_ms, record_ms

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from tanagerturn.replay.results import RequestResult, RunResults

PERCENTILE: Final = 95.0


@dataclass(frozen=True)
class Figure:
    """One number of a run."""

    name: str
    """What it is."""
    value: float
    """The number."""
    unit: str = ""
    """Its unit."""


@dataclass(frozen=True)
class Spread:
    """One figure over several seeds, against the same seeds of a baseline."""

    name: str
    """What it is."""
    label: str
    """Policy or version."""
    mean: float
    """Mean over the seeds."""
    least: float
    """Smallest value."""
    most: float
    """Largest value."""
    ratio: float
    """Mean ratio to the baseline, seed by seed; not a number without one."""
    ratio_least: float
    """Smallest ratio."""
    ratio_most: float
    """Largest ratio."""
    seeds: int
    """Number of runs."""
    unit: str = ""
    """Unit of the values."""


def figures_of(results: RunResults) -> list[Figure]:
    """Return the figures of one run."""
    summary = summarize(results)
    generated = sum(backend.tokens_generated for backend in results.backends)
    recomputed = sum(backend.tokens_recomputed for backend in results.backends)
    figures = [
        Figure("requests", len(results.requests)),
        Figure("accepted", summary.accepted),
        Figure("answered once", summary.answered_once),
        Figure("lost", summary.lost),
        Figure("doubled", summary.doubled),
        Figure("refused", len(results.requests) - summary.accepted),
        Figure("cost", results.end.cost),
        Figure("tokens generated", generated),
        Figure("tokens recomputed", recomputed),
    ]
    if summary.answered_once:
        cost = results.end.cost * 1000 / summary.answered_once
        figures.append(Figure("cost per 1000 answered", cost))
    for call, requests in by_call(results.requests).items():
        figures += _times(call, requests)
    return figures


def by_call(requests: Iterable[RequestResult]) -> dict[str, list[RequestResult]]:
    """Group requests by `SERVICE/CALL`."""
    groups: dict[str, list[RequestResult]] = defaultdict(list)
    for request in requests:
        groups[f"{request.service}/{request.call}"].append(request)
    return dict(sorted(groups.items()))


def _times(call: str, requests: Sequence[RequestResult]) -> list[Figure]:
    answered = [r for r in requests if r.outcome == CallerOutcome.ANSWERED]
    latencies = [request.latency_ms for request in answered]
    first = [request.first_token_ms for request in answered if request.first_token_ms]
    figures = []
    if latencies:
        figures.append(Figure(f"{call} p95", _percentile(latencies), "ms"))
    if first:
        figures.append(Figure(f"{call} first token p95", _percentile(first), "ms"))
    return figures


def _percentile(values_ms: Iterable[float]) -> float:
    histogram = new_histogram()
    for value_ms in values_ms:
        record_ms(histogram, value_ms)
    return percentile_ms(histogram, PERCENTILE)


def compare_runs(runs: Sequence[RunResults], baseline: str = "") -> list[Spread]:
    """Compare runs of one trace by label.

    Args:
        runs: Runs of one trace; runs of one label differ by their seed.
        baseline: Label that ratios are taken against; empty for the first.

    Returns:
        One row for each figure and label, figures in order.

    Raises:
        ValueError: The runs are of different traces or windows.
    """
    windows = {(r.header.trace, r.header.from_ms, r.header.to_ms) for r in runs}
    if len(windows) > 1:
        raise ValueError(f"runs of different traces or windows: {sorted(windows)}")
    values: dict[str, dict[str, dict[int, float]]] = {}
    units: dict[str, str] = {}
    for run in runs:
        for figure in figures_of(run):
            by_label = values.setdefault(figure.name, {})
            by_seed = by_label.setdefault(run.header.label, {})
            by_seed[run.header.seed] = figure.value
            units[figure.name] = figure.unit
    baseline = baseline or (runs[0].header.label if runs else "")
    return [
        _spread(name, label, by_seed, by_label.get(baseline, {}), units[name])
        for name, by_label in values.items()
        for label, by_seed in by_label.items()
    ]


def _spread(
    name: str, label: str, values: dict[int, float], base: dict[int, float], unit: str
) -> Spread:
    """Summarize one figure; ratios pair equal seeds."""
    ratios = [
        value / base[seed] for seed, value in values.items() if base.get(seed, 0.0)
    ]
    return Spread(
        name=name,
        label=label,
        mean=statistics.fmean(values.values()),
        least=min(values.values()),
        most=max(values.values()),
        ratio=statistics.fmean(ratios) if ratios else math.nan,
        ratio_least=min(ratios, default=math.nan),
        ratio_most=max(ratios, default=math.nan),
        seeds=len(values),
        unit=unit,
    )
