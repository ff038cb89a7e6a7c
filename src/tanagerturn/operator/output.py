"""Prints results of commands as tables or JSON."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import click

from tanagerturn.observe.dumps import to_builtins, to_json
from tanagerturn.tables import format_table

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

MAX_CELL_LENGTH: Final = 60
"""Maximum length of a table cell, in characters; longer cells are truncated."""


@dataclass(frozen=True)
class Output:
    """Prints results to standard output in the selected format."""

    format: str
    """`table` or `json`."""

    def print_rows(self, rows: Sequence[Mapping[str, Any]]) -> None:
        """Print rows, each a mapping from the same column names to values."""
        if self.format == "json":
            click.echo(to_json(list(rows)).decode())
            return
        click.echo(format_rows(rows))

    def print_value(self, value: Any) -> None:
        """Print one nested value as JSON in both formats."""
        click.echo(to_json(value).decode())


def format_rows(rows: Sequence[Mapping[str, Any]]) -> str:
    """Return rows as aligned columns with a header; `(none)` if there are no rows."""
    if not rows:
        return "(none)"
    columns = list(rows[0])
    cells = [[_format_cell(row.get(column)) for column in columns] for row in rows]
    dashes = ["-" * len(column) for column in columns]
    return format_table(columns, [dashes, *cells])


def _format_cell(value: Any) -> str:
    cell = to_builtins(value)
    text = ", ".join(map(str, cell)) if isinstance(cell, list) else str(cell)
    return text if len(text) <= MAX_CELL_LENGTH else text[: MAX_CELL_LENGTH - 1] + "…"
