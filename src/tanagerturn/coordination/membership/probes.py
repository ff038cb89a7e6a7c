"""Which process is probed next, by whom, and what became of open probes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from tanagerturn.coordination.ids import ProcessId
    from tanagerturn.coordination.membership.table import Member

RELAYS_LIMIT: Final = 256
"""Probes for others that may be open at once."""


@dataclass
class Probe:
    """An open probe of this process."""

    target: ProcessId
    sequence: int
    sent_ms: int
    indirect: bool = False
    """Helpers were asked."""


@dataclass(frozen=True)
class RelayedProbe:
    """A probe sent for another process."""

    address: str
    """Where the answer has to go."""
    sequence: int
    """Sequence that the other process used."""


class ProbeOrder:
    """Probes all processes in turn, in an order that is shuffled each round."""

    def __init__(self, random: Random) -> None:
        self.random = random
        """Source of the shuffle."""
        self.queue: list[ProcessId] = []
        """Processes left in this round, the next one last."""

    def next(self, candidates: dict[ProcessId, Member]) -> Member | None:
        """Return the process to probe; None when there is none."""
        for _ in range(2):
            while self.queue:
                member = candidates.get(self.queue.pop())
                if member is not None:
                    return member
            self.queue = list(candidates)
            self.random.shuffle(self.queue)
        return None


class RelayedProbes:
    """Open probes for other processes, by this process's sequence."""

    def __init__(self) -> None:
        self.probes: dict[int, RelayedProbe] = {}
        """The oldest first."""

    def add(self, sequence: int, probe: RelayedProbe) -> None:
        """Note a probe; the oldest is forgotten when there are too many."""
        self.probes[sequence] = probe
        if len(self.probes) > RELAYS_LIMIT:
            del self.probes[next(iter(self.probes))]

    def pop(self, sequence: int) -> RelayedProbe | None:
        """Return and forget a probe."""
        return self.probes.pop(sequence, None)


def choose_helpers(
    target: Member, members: Iterable[Member], count: int, random: Random
) -> list[Member]:
    """Return processes to ask: one of the target's zone, the rest of others.

    The one nearby tells a dead process from a lost path between zones.
    """
    others = [m for m in members if m.process != target.process]
    zone = target.info.availability_zone
    near = [m for m in others if m.info.availability_zone == zone]
    far = [m for m in others if m.info.availability_zone != zone]
    chosen = random.sample(near, min(1, len(near), count))
    chosen += random.sample(far, min(count - len(chosen), len(far)))
    rest = [m for m in near if m not in chosen]
    missing = min(count - len(chosen), len(rest))
    return chosen + random.sample(rest, max(0, missing))
