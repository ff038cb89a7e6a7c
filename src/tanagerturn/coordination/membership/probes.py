"""Selection of probe targets and helpers, and the probes without a response."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from tanagerturn.coordination.ids import ProcessId
    from tanagerturn.coordination.membership.table import Member

RELAYED_PROBES_LIMIT: Final = 256
"""Largest number of probes on behalf of other processes without a response."""


@dataclass
class Probe:
    """A probe of this process that has no response yet.

    `sent_ms` is the monotonic time in milliseconds at which it was sent.
    """

    target: ProcessId
    sequence: int
    sent_ms: int
    helpers_asked: bool = False
    """Whether helpers were asked to probe the target as well."""


@dataclass(frozen=True)
class RelayedProbe:
    """A probe sent on behalf of another process."""

    address: str
    """IP address and port to which the response is forwarded."""
    sequence: int
    """Sequence number that the other process gave its probe."""


class ProbeOrder:
    """Chooses each process once per round, in an order that is shuffled each round."""

    def __init__(self, random: Random) -> None:
        self.random = random
        """Source of the order."""
        self.queue: list[ProcessId] = []
        """Ids of the processes left in this round; the last one is chosen next."""

    def next(self, candidates: dict[ProcessId, Member]) -> Member | None:
        """Return the next process to probe, or None when there are no candidates."""
        for _ in range(2):
            while self.queue:
                member = candidates.get(self.queue.pop())
                if member is not None:
                    return member
            self.queue = list(candidates)
            self.random.shuffle(self.queue)
        return None


class RelayedProbes:
    """Probes on behalf of other processes that have no response yet."""

    def __init__(self) -> None:
        self.probes: dict[int, RelayedProbe] = {}
        """Probes by the sequence number that this process gave them, oldest first."""

    def add(self, sequence: int, probe: RelayedProbe) -> None:
        """Add a probe; above `RELAYED_PROBES_LIMIT`, drop the oldest probe."""
        self.probes[sequence] = probe
        if len(self.probes) > RELAYED_PROBES_LIMIT:
            del self.probes[next(iter(self.probes))]

    def pop(self, sequence: int) -> RelayedProbe | None:
        """Remove and return the probe with a sequence number; None when unknown."""
        return self.probes.pop(sequence, None)


def choose_helpers(
    target: Member, members: Iterable[Member], count: int, random: Random
) -> list[Member]:
    """Choose helpers that probe a target: one in its zone, others in other zones.

    If other zones have too few processes, more helpers come from the target's zone.
    The helper in the same zone distinguishes a dead process from a broken path
    between zones.
    """
    other_processes = [m for m in members if m.process != target.process]
    zone = target.info.availability_zone
    same_zone = [m for m in other_processes if m.info.availability_zone == zone]
    other_zones = [m for m in other_processes if m.info.availability_zone != zone]
    chosen = random.sample(same_zone, min(1, len(same_zone), count))
    chosen += random.sample(other_zones, min(count - len(chosen), len(other_zones)))
    more_in_zone = [m for m in same_zone if m not in chosen]
    missing_count = min(count - len(chosen), len(more_in_zone))
    return chosen + random.sample(more_in_zone, max(0, missing_count))
