"""Compares policies that choose among engines of different speed, without a network.

Run `PYTHONPATH=src:tests python bench/engine_speeds.py [SEED...]`; prints the mean and
the 95th percentile of the completion times in milliseconds, and their ratios to those
of an oracle that knows all speeds and queues, as the means over the seeds.
"""

from __future__ import annotations

import statistics
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))

from support.speed_simulation import POLICIES, Setting, simulate

GATEWAYS = (9, 86, 200)
AGES_S = (0.0, 0.25, 1.0)


def main(seeds):
    """Print one line for each number of gateways, age of reports and policy."""
    for gateways in GATEWAYS:
        for age_s in AGES_S:
            results = {}
            for policy in POLICIES:
                runs = [
                    simulate(policy, Setting(gateways, age_s, seed=seed))
                    for seed in seeds
                ]
                results[policy] = [
                    statistics.fmean(column) for column in zip(*runs, strict=True)
                ]
            best = results["oracle"]
            for policy, (mean_s, high_s) in results.items():
                print(
                    f"| {gateways} | {1000 * age_s:.0f} | {policy} "
                    f"| {1000 * mean_s:.0f} | {mean_s / best[0]:.2f} "
                    f"| {1000 * high_s:.0f} | {high_s / best[1]:.2f} |",
                    flush=True,
                )


main([int(seed) for seed in sys.argv[1:]] or [1, 2, 3])
