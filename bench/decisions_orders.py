"""Runs seeded schedules of two control holders, and counts what went wrong.

Run `PYTHONPATH=src:tests python bench/decisions_orders.py SCHEDULES STEPS`.
"""

from __future__ import annotations

import sys

from support.order_schedule import World

if __name__ == "__main__":
    schedules, steps = (int(each) for each in sys.argv[1:] or (100, 300))
    print("| engines | holders | schedules | wrong | carried out | least ready |")
    print("| --- | --- | --- | --- | --- | --- |")
    for faulty in (False, True):
        for checks in (True, False):
            worlds = [World(seed, checks, faulty) for seed in range(schedules)]
            for world in worlds:
                world.run(steps)
            wrong = sum(bool(world.violations) for world in worlds)
            done = sum(
                len(engine.effective)
                for world in worlds
                for engine in world.engines.values()
            )
            ready = min(world.lowest_ready for world in worlds)
            engines = "check numbers" if checks else "ignore numbers"
            holders = "ignore their lease" if faulty else "as built"
            print(
                f"| {engines} | {holders} | {schedules} | {wrong} | {done} | {ready} |"
            )
