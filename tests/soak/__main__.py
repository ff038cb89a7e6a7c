"""Runs seeds of the soak test: python -m soak --seeds 1-50 --seconds 30."""

from __future__ import annotations

import signal
import sys

import click

from soak.run import run_soak
from soak.upgrade import run_upgrade
from soak.world import DISKLESS_COUNT


@click.command()
@click.option("--seeds", default="1-10", help="First and last seed, as FIRST-LAST.")
@click.option(
    "--seconds", default=30.0, help="Seconds of injected faults for each seed."
)
@click.option(
    "--upgrades",
    is_flag=True,
    help="Replace all gateways instead: even seeds by the build before.",
)
@click.option(
    "--diskless", default=DISKLESS_COUNT, help="Number of gateways without a disk."
)
def main(seeds: str, seconds: float, diskless: int, *, upgrades: bool) -> None:
    """Run seeds one after the other; the logs of failed seeds are kept."""
    # Raise SystemExit on SIGTERM, so that the cleanup runs and stops the gateways.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    first, _, last = seeds.partition("-")
    failed_seeds = 0
    for seed in range(int(first), int(last or first) + 1):
        if upgrades:
            outcome = run_upgrade(seed, to_earlier=seed % 2 == 0)
        else:
            outcome = run_soak(seed, seconds, diskless)
        failed_seeds += bool(outcome.violations)
        state = "FAILED" if outcome.violations else "ok"
        click.echo(f"seed {seed}: {state}, {outcome.summary}")
        for violation in outcome.violations:
            click.echo(f"  {violation}")
        if outcome.violations:
            click.echo(f"  logs: {outcome.folder.name}")
    click.echo(f"{failed_seeds} seeds failed")
    sys.exit(failed_seeds > 0)


if __name__ == "__main__":
    main()
