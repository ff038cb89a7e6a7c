"""Counts violations in seeded schedules of two holders of the control lease.

Run `PYTHONPATH=src:tests python bench/decisions_orders.py SCHEDULES STEPS`, by default
100 schedules of 300 steps. Prints a table with one row for each combination of engines
that check or ignore fencing numbers and holders that obey or ignore their lease.
"""

from __future__ import annotations

import sys

from support.order_schedule import World

if __name__ == "__main__":
    schedules, steps = (int(each) for each in sys.argv[1:] or (100, 300))
    print(
        "| engines | holders | schedules "
        "| with violations | effective orders | fewest ready |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for ignores_lease in (False, True):
        for checks_fencing in (True, False):
            worlds = [
                World(seed, checks_fencing, ignores_lease) for seed in range(schedules)
            ]
            for world in worlds:
                world.run(steps)
            violating = sum(bool(world.violations) for world in worlds)
            effective_orders = sum(
                len(engine.effective)
                for world in worlds
                for engine in world.engines.values()
            )
            fewest_ready = min(world.lowest_ready for world in worlds)
            engines = "check numbers" if checks_fencing else "ignore numbers"
            holders = "ignore their lease" if ignores_lease else "as built"
            print(
                f"| {engines} | {holders} | {schedules} "
                f"| {violating} | {effective_orders} | {fewest_ready} |"
            )
