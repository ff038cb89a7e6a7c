"""Command line of tanager-replay."""

from __future__ import annotations

from pathlib import Path

import click

from tanagerturn.replay.codec import TraceError, read_trace, write_trace
from tanagerturn.replay.firms import FIRMS
from tanagerturn.replay.recorder import STRETCHES, Scenario, make_trace

DEFAULT_SEED = 2026


def load_trace(path: str) -> object:
    """Read a trace, or end with its faults on stderr."""
    try:
        return read_trace(path)
    except TraceError as error:
        raise click.ClickException(str(error)) from error


@click.group()
@click.version_option(package_name="tanagerturn")
def main() -> None:
    """Replay recorded traces and judge what callers got and services ran."""


@main.command()
@click.option("--folder", default="traces", help="Folder to write into.")
@click.option("--seed", default=DEFAULT_SEED, help="Seed of the recorder.")
@click.option("--firm", type=click.Choice(list(FIRMS)), help="Only this firm.")
def make(folder: str, seed: int, firm: str | None) -> None:
    """Make the shipped traces again."""
    Path(folder).mkdir(parents=True, exist_ok=True)
    for name, scenario in STRETCHES:
        if firm not in (None, name):
            continue
        trace = make_trace(FIRMS[name], Scenario(scenario), seed)
        path = Path(folder) / f"{trace.header.name}.jsonl.gz"
        write_trace(trace, path)
        click.echo(f"{path}: {len(trace.requests)} requests")


if __name__ == "__main__":
    main()
