"""Metrics of a run, and their comparison between labels over several seeds."""

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

LATENCY_PERCENTILE: Final = 95.0


@dataclass(frozen=True)
class Metric:
    """One metric of a run."""

    name: str
    """Name of the metric."""
    value: float
    """Value of the metric, in `unit`."""
    unit: str = ""
    """Unit of the value; empty for a count or a cost."""


@dataclass(frozen=True)
class MetricComparison:
    """One metric of the runs of one label, compared with the baseline's runs.

    Each run is compared with the baseline's run of the same seed.
    """

    name: str
    """Name of the metric."""
    label: str
    """Label of the runs: a policy or a version."""
    mean: float
    """Mean value over the seeds."""
    least: float
    """Smallest value over the seeds."""
    most: float
    """Largest value over the seeds."""
    ratio: float
    """Mean over the seeds of the ratio to the baseline; NaN if no seed has a baseline
    value other than 0."""
    ratio_least: float
    """Smallest ratio to the baseline; NaN if `ratio` is."""
    ratio_most: float
    """Largest ratio to the baseline; NaN if `ratio` is."""
    seeds: int
    """Number of seeds for which the label has a run."""
    unit: str = ""
    """Unit of the values; empty for a count or a cost."""


def run_metrics(results: RunResults) -> list[Metric]:
    """Return the metrics of one run."""
    summary = summarize(results)
    generated = sum(backend.tokens_generated for backend in results.backends)
    recomputed = sum(backend.tokens_recomputed for backend in results.backends)
    metrics = [
        Metric("requests", len(results.requests)),
        Metric("accepted", summary.accepted),
        Metric("answered once", summary.answered_once),
        Metric("lost", summary.lost),
        Metric("doubled", summary.doubled),
        Metric("refused", len(results.requests) - summary.accepted),
        Metric("cost", results.end.cost),
        Metric("tokens generated", generated),
        Metric("tokens recomputed", recomputed),
    ]
    if summary.answered_once:
        cost = results.end.cost * 1000 / summary.answered_once
        metrics.append(Metric("cost per 1000 answered", cost))
    for call, requests in group_by_call(results.requests).items():
        metrics += _latency_metrics(call, requests)
    return metrics


def group_by_call(requests: Iterable[RequestResult]) -> dict[str, list[RequestResult]]:
    """Group requests by `SERVICE/CALL`."""
    groups: dict[str, list[RequestResult]] = defaultdict(list)
    for request in requests:
        groups[f"{request.service}/{request.call}"].append(request)
    return dict(sorted(groups.items()))


def _latency_metrics(call: str, requests: Sequence[RequestResult]) -> list[Metric]:
    answered = [r for r in requests if r.outcome == CallerOutcome.ANSWERED]
    latencies = [request.latency_ms for request in answered]
    first_token_times = [
        request.first_token_ms for request in answered if request.first_token_ms
    ]
    metrics = []
    if latencies:
        metrics.append(Metric(f"{call} p95", _percentile(latencies), "ms"))
    if first_token_times:
        metrics.append(
            Metric(f"{call} first token p95", _percentile(first_token_times), "ms")
        )
    return metrics


def _percentile(values_ms: Iterable[float]) -> float:
    histogram = new_histogram()
    for value_ms in values_ms:
        record_ms(histogram, value_ms)
    return percentile_ms(histogram, LATENCY_PERCENTILE)


def compare_runs(
    runs: Sequence[RunResults], baseline: str = ""
) -> list[MetricComparison]:
    """Compare runs of one trace by label.

    Args:
        runs: Runs of one trace. Of runs with equal label and seed the last one counts.
        baseline: Label whose runs are the denominators of the ratios; empty for the
            label of the first run.

    Returns:
        One comparison for each metric and label, grouped by metric.

    Raises:
        ValueError: The runs are of different traces or windows.
    """
    windows = {(r.header.trace, r.header.from_ms, r.header.to_ms) for r in runs}
    if len(windows) > 1:
        raise ValueError(
            f"can't compare runs of different traces or windows: {sorted(windows)}"
        )
    values: dict[str, dict[str, dict[int, float]]] = {}
    units: dict[str, str] = {}
    for run in runs:
        for metric in run_metrics(run):
            by_label = values.setdefault(metric.name, {})
            by_seed = by_label.setdefault(run.header.label, {})
            by_seed[run.header.seed] = metric.value
            units[metric.name] = metric.unit
    baseline = baseline or (runs[0].header.label if runs else "")
    return [
        _compare_metric(name, label, by_seed, by_label.get(baseline, {}), units[name])
        for name, by_label in values.items()
        for label, by_seed in by_label.items()
    ]


def _compare_metric(
    name: str,
    label: str,
    values: dict[int, float],
    baseline_values: dict[int, float],
    unit: str,
) -> MetricComparison:
    """Aggregate one metric of one label; each ratio compares runs of equal seed."""
    ratios = [
        value / baseline_values[seed]
        for seed, value in values.items()
        if baseline_values.get(seed, 0.0)
    ]
    return MetricComparison(
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
