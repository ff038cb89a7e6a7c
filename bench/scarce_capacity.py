"""Compares policies of admission while capacity is scarce.

usage: PYTHONPATH=src python bench/scarce_capacity.py [--seconds S] [--seeds N ...]
           [--gateways N ...] [--capacity SHARE ...]

Prints a table for each capacity and number of gateways, with the mean over the seeds.
"""

from __future__ import annotations

import argparse
from dataclasses import dataclass
from statistics import fmean, pstdev

from scarce_policies import Policy, PresentRule, SharedPrice, queue_policies
from scarce_sim import (
    KINDS,
    NEEDED_ENGINES,
    Arrival,
    Load,
    Simulation,
    arrivals_of,
    planner_benefit,
)

MIN_REFUSED_SHARE = 0.02
"""Share of refused requests from which gateways are compared."""


@dataclass(frozen=True)
class Result:
    """Figures of one run."""

    benefit: float
    """Value of the requests in time, as a share of the planner's."""
    in_time: dict[str, float]
    """Share of the requests in time by kind."""
    others_in_time: float
    """Share in time of the rosters of accounts at their usual rate."""
    abandoned: float
    """Share of the engine time for requests whose callers had left."""
    spread: float
    """Relative standard deviation of the gateways' refused shares beyond chance."""
    swing: float
    """Standard deviation of the admitted work of half seconds, relative to the mean."""


def simulate(
    policy: Policy, load: Load, capacity: float, gateways: int, seed: int
) -> tuple[Result, Simulation]:
    """Run one policy and return its figures."""
    arrivals = arrivals_of(load, seed)
    engines = round(capacity * NEEDED_ENGINES)
    best = planner_benefit(arrivals, engines)
    sim = Simulation(arrivals, engines, gateways, policy, seed)
    sim.run()
    value = sum(each.kind.value for each in arrivals if each.is_in_time)
    kinds = {
        kind.name: share([r for r in arrivals if r.kind is kind]) for kind in KINDS
    }
    others = [r for r in arrivals if r.kind.name == "rosters" and r.account != 1]
    result = Result(
        value / best,
        kinds,
        share(others),
        sim.abandoned_s / sim.work_s,
        spread(sim),
        swing(sim, load.seconds),
    )
    return result, sim


def share(requests: list[Arrival]) -> float:
    """Return the share of requests in time."""
    return sum(r.is_in_time for r in requests) / max(1, len(requests))


def spread(sim: Simulation) -> float:
    """Return how far gateways differ in the share of first attempts they refuse.

    It is the largest relative standard deviation of any kind, without the part that
    chance explains (binomial variance).
    """
    worst = 0.0
    for kind in KINDS:
        asked = [sim.asked.get((kind.name, g), 0) for g in range(sim.gateways)]
        refused = [sim.refused.get((kind.name, g), 0) for g in range(sim.gateways)]
        mean = sum(refused) / max(1, sum(asked))
        if mean < MIN_REFUSED_SHARE:
            continue
        excess = fmean(
            (some / of - mean) ** 2 - mean * (1 - mean) / of
            for some, of in zip(refused, asked, strict=True)
            if of
        )
        worst = max(worst, max(0.0, excess) ** 0.5 / mean)
    return worst


def swing(sim: Simulation, seconds: float) -> float:
    """Return how much the admitted work varies between half seconds."""
    sums = [0.0] * int(seconds * 2)
    for at_s, work_s in sim.admitted:
        if at_s < seconds:
            sums[int(at_s * 2)] += work_s
    return pstdev(sums) / fmean(sums)


def policies() -> list[Policy]:
    """Return all policies, in the order of the table."""
    return [PresentRule(), *queue_policies(), SharedPrice()]


def main() -> None:
    """Print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--gateways", type=int, nargs="+", default=[9, 86])
    parser.add_argument("--capacity", type=float, nargs="+", default=[0.6, 0.8, 1.0])
    parser.add_argument("--only", default="")
    options = parser.parse_args()
    load = Load(options.seconds)
    for capacity in options.capacity:
        for gateways in options.gateways:
            print(f"\ncapacity {capacity}, {gateways} gateways\n")
            print(
                "| policy | benefit | answers (0) | rosters (1) | hints (2)"
                " | other rosters | abandoned | spread | swing |"
            )
            print("| --- " * 9 + "|")
            for index, policy in enumerate(policies()):
                if options.only not in policy.name:
                    continue
                runs = [
                    simulate(policies()[index], load, capacity, gateways, seed)[0]
                    for seed in options.seeds
                ]
                cells = [
                    fmean(r.benefit for r in runs),
                    *(
                        fmean(r.in_time[name] for r in runs)
                        for name in ("answers", "rosters", "hints")
                    ),
                    fmean(r.others_in_time for r in runs),
                    fmean(r.abandoned for r in runs),
                    fmean(r.spread for r in runs),
                    fmean(r.swing for r in runs),
                ]
                row = " | ".join(f"{cell:.3f}" for cell in cells)
                print(f"| {policy.name} | {row} |", flush=True)


if __name__ == "__main__":
    main()
