"""Runs failure schedules of the replicated log by kind and seed.

usage: PYTHONPATH=src:tests python -m support.log_run KIND SEED
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from loguru import logger

from support.log_cluster import PROFILES, Cluster
from support.log_node import Node

if TYPE_CHECKING:
    from collections.abc import Iterable

FAILURE_LIMIT = 5


def failures(
    kind: str, seeds: Iterable[int], node_class: type[Node] = Node
) -> list[str]:
    """Run schedules and return their failures; stop after `FAILURE_LIMIT` failures."""
    logger.remove()
    found: list[str] = []
    for seed in seeds:
        try:
            Cluster(seed, PROFILES[kind], node_class).run()
        except Exception as error:
            found.append(f"{kind}, seed {seed}: {error!r}")
        if len(found) == FAILURE_LIMIT:
            break
    return found


def first_failure(kind: str, limit: int, node_class: type[Node]) -> str:
    """Return the first failure of the schedules with seeds below `limit`, or ""."""
    for seed in range(limit):
        found = failures(kind, [seed], node_class)
        if found:
            return found[0]
    return ""


if __name__ == "__main__":
    Cluster(int(sys.argv[2]), PROFILES[sys.argv[1]]).run()
