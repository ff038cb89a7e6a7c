"""Traffic and processor time of failure detection, through the pure core.

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
WINDOW_S: Final = 60
CHURN_MS: Final = 10_000
"""Time between restarts in the run with churn: 29 times 300 a day."""


def make_network(members: int) -> Network:
    """Return processes that know each other and have settled."""
    zones = SMALL_ZONES if members <= 100 else LARGE_ZONES
    network = Network(members, zones)
    network.measure = True
    network.start(members, seeds=4)
    network.know_all()
    network.run(WARM_UP_MS)
    return network


def still(network: Network, random: Random) -> None:
    """Let nothing happen."""
    network.run(WINDOW_S * 1000)


def churn(network: Network, random: Random) -> None:
    """Restart one process after the other."""
    for _ in range(WINDOW_S * 1000 // CHURN_MS):
        name = random.choice(list(network.nodes))
        network.kill(name)
        network.run(CHURN_MS // 2)
        network.start_one(name)
        network.run(CHURN_MS // 2)


def zone_loss(network: Network, random: Random) -> None:
    """Lose the first process's zone at once."""
    zone = network.zone("entry-0")
    for name in network.nodes:
        if network.zone(name) == zone:
            network.kill(name)
    network.run(WINDOW_S * 1000)


def measure(members: int, act: Callable[[Network, Random], None]) -> None:
    """Run one case and print its row."""
    network = make_network(members)
    packets = network.packets
    since = network.now // 1000
    started = time.process_time()
    act(network, Random(members))
    spent = time.process_time() - started
    running = network.running()
    rates = np.array(
        [
            [network.nodes[n].bytes_at.get(since + s, 0) for s in range(WINDOW_S)]
            for n in running
        ]
    )
    sent = (network.packets - packets) / len(running) / WINDOW_S
    core_share = spent / WINDOW_S / len(running)
    print(
        f"{act.__name__:9} members={members:3} packets/s={sent:5.2f} "
        f"bytes/s mean={rates.mean():6.0f} max member={rates.mean(axis=1).max():6.0f} "
        f"max second={rates.max():5.0f} core={core_share:.3%} "
        f"wrong={len(network.disagreements())}",
        flush=True,
    )


def main() -> None:
    """Print one row a case and size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", default="10,50,100,380")
    sizes = [int(size) for size in parser.parse_args().members.split(",")]
    for act in (still, churn, zone_loss):
        for members in sizes:
            measure(members, act)


if __name__ == "__main__":
    main()
