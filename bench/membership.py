"""Measures traffic and CPU time of failure detection, through the core without I/O.

usage: PYTHONPATH=src:tests python bench/membership.py [--members 10,50,100,380]
"""

from __future__ import annotations

import argparse
import time
from random import Random
from typing import TYPE_CHECKING, Final

import numpy as np

from support.membership_network import Network

if TYPE_CHECKING:
    from collections.abc import Callable

SMALL_ZONES: Final = {"north": ["n-0", "n-1", "n-2", "n-3"]}
LARGE_ZONES: Final = {
    "north": ["n-0", "n-1", "n-2", "n-3"],
    "south": ["s-0", "s-1", "s-2"],
}
WARM_UP_MS: Final = 20_000
"""Simulated time before a measurement."""

WINDOW_S: Final = 60
"""Simulated time of a measurement."""

CHURN_MS: Final = 10_000
"""Time between restarts under churn: 8,640 a day, 29 times as many as 300 a day."""


def make_network(members: int) -> Network:
    """Return a simulated network of processes that know each other, after warm-up."""
    zones = SMALL_ZONES if members <= 100 else LARGE_ZONES
    network = Network(members, zones)
    network.measure = True
    network.start(members, seeds=4)
    network.know_all()
    network.run(WARM_UP_MS)
    return network


def still(network: Network, random: Random) -> None:
    """Run without failures."""
    network.run(WINDOW_S * 1000)


def churn(network: Network, random: Random) -> None:
    """Kill and restart a random process at each interval."""
    for _ in range(WINDOW_S * 1000 // CHURN_MS):
        name = random.choice(list(network.nodes))
        network.kill(name)
        network.run(CHURN_MS // 2)
        network.start_one(name)
        network.run(CHURN_MS // 2)


def zone_loss(network: Network, random: Random) -> None:
    """Kill all processes of the first process's availability zone at once."""
    zone = network.zone("entry-0")
    for name in network.nodes:
        if network.zone(name) == zone:
            network.kill(name)
    network.run(WINDOW_S * 1000)


def measure(members: int, scenario: Callable[[Network, Random], None]) -> None:
    """Measure one scenario and print its row.

    Args:
        members: Number of processes.
        scenario: Scenario to run; its name is printed.
    """
    network = make_network(members)
    packets_before = network.packets
    window_start_s = network.now // 1000
    started = time.process_time()
    scenario(network, Random(members))
    cpu_s = time.process_time() - started
    running = network.running()
    bytes_per_s = np.array(
        [
            [
                network.nodes[n].bytes_at.get(window_start_s + s, 0)
                for s in range(WINDOW_S)
            ]
            for n in running
        ]
    )
    packets_per_s = (network.packets - packets_before) / len(running) / WINDOW_S
    core_fraction = cpu_s / WINDOW_S / len(running)
    print(
        f"{scenario.__name__:9} members={members:3} packets/s={packets_per_s:5.2f} "
        f"bytes/s mean={bytes_per_s.mean():6.0f} "
        f"max member={bytes_per_s.mean(axis=1).max():6.0f} "
        f"max second={bytes_per_s.max():5.0f} core={core_fraction:.3%} "
        f"disagreements={len(network.disagreements())}",
        flush=True,
    )


def main() -> None:
    """Measure each scenario at each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", default="10,50,100,380")
    sizes = [int(size) for size in parser.parse_args().members.split(",")]
    for scenario in (still, churn, zone_loss):
        for members in sizes:
            measure(members, scenario)


if __name__ == "__main__":
    main()
