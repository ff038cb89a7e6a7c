"""Selection of probe targets and helpers, and the state of unanswered probes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from tanagerturn.coordination.ids import ProcessId
    from tanagerturn.coordination.membership.table import Member

RELAYED_PROBES_LIMIT: Final = 256
"""Most unanswered probes on behalf of other processes."""


@dataclass
class Probe:
    """An unanswered probe of this process."""

    target: ProcessId
    sequence: int
    sent_ms: int
    indirect: bool = False
    """Whether helpers were asked."""


@dataclass(frozen=True)
class RelayedProbe:
    """A probe sent on behalf of another process."""

    address: str
    """Address that the answer is forwarded to."""
    sequence: int
    """Sequence number used by the other process."""


class ProbeOrder:
    """Probes all processes in turn, in an order that is shuffled each round."""

    def __init__(self, random: Random) -> None:
        self.random = random
        """Source of the shuffle."""
        self.queue: list[ProcessId] = []
        """Processes left in this round; the next one is last."""

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
    """Unanswered probes for other processes, by this process's sequence number."""

    def __init__(self) -> None:
        self.probes: dict[int, RelayedProbe] = {}
        """Probes by sequence number, oldest first."""

    def add(self, sequence: int, probe: RelayedProbe) -> None:
        """Add a probe; above the limit the oldest one is dropped."""
        self.probes[sequence] = probe
        if len(self.probes) > RELAYED_PROBES_LIMIT:
            del self.probes[next(iter(self.probes))]

    def pop(self, sequence: int) -> RelayedProbe | None:
        """Return a probe and remove it; None when there is none."""
        return self.probes.pop(sequence, None)


def choose_helpers(
    target: Member, members: Iterable[Member], count: int, random: Random
) -> list[Member]:
    """Choose helpers: one in the target's zone, the rest in other zones.

    The helper in the same zone distinguishes a dead process from a broken path
    between zones.
    """
    others = [m for m in members if m.process != target.process]
    zone = target.info.availability_zone
    same_zone = [m for m in others if m.info.availability_zone == zone]
    other_zones = [m for m in others if m.info.availability_zone != zone]
    chosen = random.sample(same_zone, min(1, len(same_zone), count))
    chosen += random.sample(other_zones, min(count - len(chosen), len(other_zones)))
    rest = [m for m in same_zone if m not in chosen]
    missing = min(count - len(chosen), len(rest))
    return chosen + random.sample(rest, max(0, missing))
