"""Tables of plain text."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence


def format_table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Lay rows out in columns of equal width."""
    lines = [tuple(head), *(tuple(row) for row in rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(head))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
