"""Which faults come when, drawn from a seed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


class Fault(Enum):
    """Kinds of faults and of planned work."""

    KILL = "a gateway is killed and started again"
    KILL_ALL = "all gateways are killed at once and started again"
    LOSE_DISK = "a gateway is killed and its disk is emptied or damaged"
    TEAR_LOG = "a gateway is killed within a write that was not synced"
    STOP = "a gateway is told to stop and started again"
    RELOAD = "a gateway is told to reload, with other seeds"
    PAUSE = "a gateway is suspended"
    CLOCK = "a gateway's wall clock is off"
    DISK_STALL = "a gateway's disk stalls"
    LINK = "connections of other gateways to one are harmed"
    CALLERS = "connections of callers to a gateway are harmed"
    ENGINE = "connections to a backend server are harmed"
    RESET = "all connections to a gateway or backend server are reset"
    LEAVE = "a backend server leaves and comes back"
    REPLACE = "another backend server gets the address of one"
    CONFIGURE = "an operator sends a configuration"


WEIGHTS = {
    Fault.KILL: 2.0,
    Fault.KILL_ALL: 0.3,
    Fault.LOSE_DISK: 0.7,
    Fault.TEAR_LOG: 0.5,
    Fault.STOP: 2.0,
    Fault.RELOAD: 1.0,
    Fault.PAUSE: 2.0,
    Fault.CLOCK: 1.0,
    Fault.DISK_STALL: 1.0,
    Fault.LINK: 2.0,
    Fault.CALLERS: 1.0,
    Fault.ENGINE: 2.0,
    Fault.RESET: 2.0,
    Fault.LEAVE: 2.0,
    Fault.REPLACE: 1.0,
    Fault.CONFIGURE: 4.0,
}
"""How often each kind comes, against the others."""

DISK_GAP_S = 14.0
"""Time between two losses of a disk: the group bears one, and is whole again
within the recovery bound of 15 s less the time of a start."""

GAP_S = (0.1, 2.5)
"""Least and most time between the begins of two faults; they overlap."""

LENGTH_S = (0.3, 4.0)
"""Least and most length of a fault."""


@dataclass(frozen=True)
class Step:
    """One fault of a plan."""

    at_s: float
    """Time from the start of traffic."""
    fault: Fault
    """Its kind."""
    where: int
    """Number that chooses a gateway or backend server."""
    length_s: float
    """How long it lasts."""


def draw_plan(seed: int, length_s: float) -> list[Step]:
    """Return the faults of a run in order of time."""
    return list(_draw(Random(seed), length_s))


def _draw(random: Random, length_s: float) -> Iterator[Step]:
    at_s, disk_s = random.uniform(*GAP_S), -DISK_GAP_S
    kinds, weights = list(WEIGHTS), list(WEIGHTS.values())
    while at_s < length_s:
        (fault,) = random.choices(kinds, weights)
        costs_disk = fault is Fault.LOSE_DISK
        if not costs_disk or at_s - disk_s >= DISK_GAP_S:
            disk_s = at_s if costs_disk else disk_s
            yield Step(
                at_s, fault, random.randrange(1 << 16), random.uniform(*LENGTH_S)
            )
        at_s += random.uniform(*GAP_S)
