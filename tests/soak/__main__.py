"""Plays seeds of the soak: python -m soak --seeds 1-50 --seconds 30."""

from __future__ import annotations

import signal
import sys

import click

from soak.run import run_soak


@click.command()
@click.option("--seeds", default="1-10", help="First and last seed.")
@click.option("--seconds", default=30.0, help="Length of the faults of each seed.")
def main(seeds: str, seconds: float) -> None:
    """Play seeds one after the other; logs of those that break a promise stay."""
    # The gateways are ended with the run, however it ends.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    first, _, last = seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        outcome = run_soak(seed, seconds)
        failed += bool(outcome.faults)
        state = "FAILED" if outcome.faults else "ok"
        click.echo(f"seed {seed}: {state}, {outcome.summary}")
        for fault in outcome.faults:
            click.echo(f"  {fault}")
        if outcome.faults:
            click.echo(f"  logs: {outcome.folder.name}")
    click.echo(f"{failed} seeds failed")
    sys.exit(failed > 0)


if __name__ == "__main__":
    main()
