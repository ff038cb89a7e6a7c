"""Schedule of injected faults, generated from a seed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


class Fault(Enum):
    """Kinds of injected faults and of planned operations."""

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
    DATAGRAMS = "the datagrams that a gateway sends are lost"
    FULL_DISKS = "the disks of all gateways are full, one after another"
    ENGINE_LEAVES = "a model engine leaves as a reclaimed one does"
    ENGINES_LEAVE = "two model engines leave at once"
    ENGINE_KILL = "a model engine is killed"
    ENGINE_STOP = "a model engine stops and closes its streams in order"
    ENGINE_CRASH = "a model engine crashes and its address is served again at once"
    BACKEND_CRASH = "a backend server crashes and its address is served again at once"


FAULT_WEIGHTS = {
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
"""Weight of each kind of fault in the random choice."""

ENGINE_FAULT_WEIGHTS = {
    Fault.ENGINE_LEAVES: 4.0,
    Fault.ENGINES_LEAVE: 1.0,
    Fault.ENGINE_KILL: 1.0,
    Fault.ENGINE_STOP: 1.0,
}
"""Weight of each kind of fault of model engines in the random choice."""

ENGINE_FAULT_INTERVAL_S = (0.5, 2.0)
"""Minimum and maximum time in seconds between the starts of two faults of model
engines, which go on beside the others."""

CRASH_INTERVAL_S = (0.8, 3.0)
"""Minimum and maximum time in seconds between the starts of two crashes, which go on
beside the other faults."""

DOWN_S = (0.05, 1.0)
"""Minimum and maximum time in seconds until the address of a crashed process is served
again."""

FULL_DISKS_INTERVAL_S = (10.0, 20.0)
"""Minimum and maximum time in seconds between the starts of two series of full disks;
longer than a series, so that two disks are never full at once."""

FULL_DISK_S = (1.0, 2.5)
"""Minimum and maximum time in seconds for which one disk is full."""

FULL_DISKS_MAX_S = 8.4
"""Maximum time in seconds of a series: three disks and the pauses between them."""

DATAGRAM_LOSS_INTERVAL_S = (3.0, 9.0)
"""Minimum and maximum time in seconds between the starts of two losses of datagrams,
which go on beside the other faults."""

DATAGRAM_LOSS_S = (0.4, 1.2)
"""Minimum and maximum time in seconds for which the datagrams of a gateway are lost:
longer than all sendings of an update, shorter than the detection of failures."""

DISK_LOSS_INTERVAL_S = 14.0
"""Minimum time in seconds between two disk losses: the state group tolerates one, and
is complete again within the recovery bound of 15 s less the time of a start."""

FAULT_INTERVAL_S = (0.1, 2.5)
"""Minimum and maximum time in seconds between the starts of two faults, which may
overlap."""

FAULT_DURATION_S = (0.3, 4.0)
"""Minimum and maximum duration of a fault in seconds."""


@dataclass(frozen=True)
class ScheduledFault:
    """One scheduled fault."""

    at_s: float
    """Time in seconds from the start of traffic."""
    fault: Fault
    """Kind of the fault."""
    target_number: int
    """Random number that selects a gateway, backend server or variant."""
    length_s: float
    """Duration of the fault in seconds."""


def generate_schedule(seed: int, length_s: float) -> list[ScheduledFault]:
    """Return the faults of a run of `length_s` seconds, ordered by start time.

    Faults of model engines, crashes, lost datagrams and full disks have schedules of
    their own, beside the rest.
    """
    full_disks = list(_generate_full_disks(Random(f"{seed} disks"), length_s))
    faults = [
        *(f for f in _generate(Random(seed), length_s) if _is_allowed(f, full_disks)),
        *_generate_engine_faults(Random(f"{seed} engines"), length_s),
        *_generate_crashes(Random(f"{seed} crashes"), length_s),
        *_generate_datagram_losses(Random(f"{seed} datagrams"), length_s),
        *full_disks,
    ]
    return sorted(faults, key=lambda scheduled: scheduled.at_s)


def _is_allowed(fault: ScheduledFault, full_disks: list[ScheduledFault]) -> bool:
    """Return whether a fault may come beside full disks.

    A member that lost its disk can't be complete again while others have no room.
    """
    if fault.fault is not Fault.LOSE_DISK:
        return True
    return not any(
        0 <= fault.at_s - each.at_s < FULL_DISKS_MAX_S + DISK_LOSS_INTERVAL_S
        for each in full_disks
    )


def _generate_engine_faults(
    random: Random, length_s: float
) -> Iterator[ScheduledFault]:
    kinds, weights = list(ENGINE_FAULT_WEIGHTS), list(ENGINE_FAULT_WEIGHTS.values())
    at_s = random.uniform(*ENGINE_FAULT_INTERVAL_S)
    while at_s < length_s:
        (fault,) = random.choices(kinds, weights)
        yield ScheduledFault(at_s, fault, random.randrange(1 << 16), 0.0)
        at_s += random.uniform(*ENGINE_FAULT_INTERVAL_S)


def _generate_crashes(random: Random, length_s: float) -> Iterator[ScheduledFault]:
    at_s = random.uniform(*CRASH_INTERVAL_S)
    while at_s < length_s:
        fault = random.choice((Fault.ENGINE_CRASH, Fault.BACKEND_CRASH))
        number, down_s = random.randrange(1 << 16), random.uniform(*DOWN_S)
        yield ScheduledFault(at_s, fault, number, down_s)
        at_s += random.uniform(*CRASH_INTERVAL_S)


def _generate_datagram_losses(
    random: Random, length_s: float
) -> Iterator[ScheduledFault]:
    at_s = random.uniform(*DATAGRAM_LOSS_INTERVAL_S)
    while at_s < length_s:
        number, lost_s = random.randrange(1 << 16), random.uniform(*DATAGRAM_LOSS_S)
        yield ScheduledFault(at_s, Fault.DATAGRAMS, number, lost_s)
        at_s += random.uniform(*DATAGRAM_LOSS_INTERVAL_S)


def _generate_full_disks(random: Random, length_s: float) -> Iterator[ScheduledFault]:
    at_s = random.uniform(1.0, FULL_DISKS_INTERVAL_S[0])
    while at_s < length_s:
        number = random.randrange(1 << 16)
        yield ScheduledFault(at_s, Fault.FULL_DISKS, number, FULL_DISKS_MAX_S)
        at_s += random.uniform(*FULL_DISKS_INTERVAL_S)


def _generate(random: Random, length_s: float) -> Iterator[ScheduledFault]:
    at_s, last_disk_loss_s = random.uniform(*FAULT_INTERVAL_S), -DISK_LOSS_INTERVAL_S
    kinds, weights = list(FAULT_WEIGHTS), list(FAULT_WEIGHTS.values())
    while at_s < length_s:
        (fault,) = random.choices(kinds, weights)
        loses_disk = fault is Fault.LOSE_DISK
        if not loses_disk or at_s - last_disk_loss_s >= DISK_LOSS_INTERVAL_S:
            last_disk_loss_s = at_s if loses_disk else last_disk_loss_s
            yield ScheduledFault(
                at_s,
                fault,
                random.randrange(1 << 16),
                random.uniform(*FAULT_DURATION_S),
            )
        at_s += random.uniform(*FAULT_INTERVAL_S)
