"""Formats plain-text tables."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence


def format_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a table whose columns are as wide as their widest cell.

    Args:
        header: Titles of the columns.
        rows: Cells of each row, as many as there are titles.
    """
    lines = [tuple(header), *(tuple(row) for row in rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(header))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
