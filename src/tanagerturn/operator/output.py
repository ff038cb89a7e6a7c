"""Results of commands as tables or JSON."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import click

from tanagerturn.observe.dumps import to_json, to_plain
from tanagerturn.tables import format_table

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

CELL_LIMIT: Final = 60


@dataclass(frozen=True)
class Output:
    """Prints results in the format that the operator chose."""

    format: str
    """`table` or `json`."""

    def show(self, rows: Sequence[Mapping[str, Any]]) -> None:
        """Print rows that share their columns."""
        if self.format == "json":
            click.echo(to_json(list(rows)).decode())
            return
        click.echo(make_table(rows))

    def show_value(self, value: Any) -> None:
        """Print one nested value: JSON in both formats."""
        click.echo(to_json(value).decode())


def make_table(rows: Sequence[Mapping[str, Any]]) -> str:
    """Return rows as aligned columns under a heading."""
    if not rows:
        return "(none)"
    columns = list(rows[0])
    cells = [[_cell(row.get(column)) for column in columns] for row in rows]
    dashes = ["-" * len(column) for column in columns]
    return format_table(columns, [dashes, *cells])


def _cell(value: Any) -> str:
    plain = to_plain(value)
    text = ", ".join(map(str, plain)) if isinstance(plain, list) else str(plain)
    return text if len(text) <= CELL_LIMIT else text[: CELL_LIMIT - 1] + "…"
