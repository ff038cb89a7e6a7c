"""Rows of tables that compare runs."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tanagerturn.replay.figures import Spread


def format_number(value: float) -> str:
    """Write a number short, a missing one as a dash."""
    if math.isnan(value):
        return "-"
    if value == int(value) and abs(value) < 1e9:
        return str(int(value))
    return f"{value:.4g}"


def spread_rows(spreads: Iterable[Spread]) -> list[tuple[str, ...]]:
    """Turn a comparison into rows."""
    return [
        (
            spread.name + (f" ({spread.unit})" if spread.unit else ""),
            spread.label,
            format_number(spread.mean),
            f"{format_number(spread.least)} to {format_number(spread.most)}",
            format_number(spread.ratio),
            f"{format_number(spread.ratio_least)} to "
            f"{format_number(spread.ratio_most)}",
            str(spread.seeds),
        )
        for spread in spreads
    ]


SPREAD_HEAD = ("figure", "label", "mean", "range", "ratio", "ratio range", "runs")
"""Head of a comparison."""
