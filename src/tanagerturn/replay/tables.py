"""Formats comparisons of runs as table rows."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tanagerturn.replay.metrics import MetricComparison


def format_number(value: float) -> str:
    """Format a number with at most four significant digits, and NaN as a dash.

    Integers below 1e9 are written in full.
    """
    if math.isnan(value):
        return "-"
    if value == int(value) and abs(value) < 1e9:
        return str(int(value))
    return f"{value:.4g}"


def comparison_rows(comparisons: Iterable[MetricComparison]) -> list[tuple[str, ...]]:
    """Convert comparisons to rows with the columns of `COMPARISON_COLUMNS`."""
    return [
        (
            comparison.name + (f" ({comparison.unit})" if comparison.unit else ""),
            comparison.label,
            format_number(comparison.mean),
            f"{format_number(comparison.least)} to {format_number(comparison.most)}",
            format_number(comparison.ratio),
            f"{format_number(comparison.ratio_least)} to "
            f"{format_number(comparison.ratio_most)}",
            str(comparison.seeds),
        )
        for comparison in comparisons
    ]


COMPARISON_COLUMNS = (
    "figure",
    "label",
    "mean",
    "range",
    "ratio",
    "ratio range",
    "runs",
)
"""Column titles of a comparison."""
