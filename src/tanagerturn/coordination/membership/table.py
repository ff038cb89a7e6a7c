"""What one process holds true of all others."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Final

import xxhash
from sortedcontainers import SortedDict

from tanagerturn.coordination.ids import ProcessId
from tanagerturn.coordination.membership.config import DEAD_KEEP_MS
from tanagerturn.schema import membership_pb2 as mpb

if TYPE_CHECKING:
    from collections.abc import Iterator

PRESENT: Final = frozenset((mpb.ALIVE, mpb.SUSPECT))
"""Health of a process that takes part."""

FLAP_WINDOW_MS: Final = 600_000
FLAPS: Final = 3
"""Returns from suspicion or death within the window that make a link flap."""


class LinkState(Enum):
    """How this process reaches another one, by its last probe of it."""

    UNKNOWN = "unknown"
    GOOD = "good"
    INDIRECT = "indirect only"
    ONE_WAY = "one way: it reaches us, we do not reach it"
    FAILED = "failed"


@dataclass
class Member:
    """One process as known here."""

    process: ProcessId
    info: mpb.ProcessInfo
    incarnation: int
    health: mpb.Health.ValueType
    since_ms: int
    """When the health was learned."""
    link: LinkState = LinkState.UNKNOWN
    heard_at_ms: int = -1
    """When a packet last came from it directly."""
    settings_number: int = 0
    """Number of the settings revision that it told last."""
    returns: deque[int] = field(default_factory=lambda: deque(maxlen=8))
    """When it came back from suspicion or death."""
    paused: bool = False
    """Its last return came with a pause that it noticed itself."""

    def flapping(self, now_ms: int) -> bool:
        """Tell whether it came back too often of late."""
        recent = [t for t in self.returns if now_ms - t <= FLAP_WINDOW_MS]
        return len(recent) >= FLAPS

    def note_one_way(self, now_ms: int, window_ms: int) -> None:
        """Mark the link as one way if its packets come and ours got no answer."""
        if self.heard_at_ms < 0 or now_ms - self.heard_at_ms > window_ms:
            return
        if self.link in (LinkState.INDIRECT, LinkState.FAILED):
            self.link = LinkState.ONE_WAY

    @property
    def present(self) -> bool:
        """Whether it takes part: alive, or suspect and able to refute."""
        return self.health in PRESENT

    def update(self, with_info: bool) -> mpb.Update:
        """Return what to tell others."""
        return mpb.Update(
            process=self.process,
            incarnation=self.incarnation,
            health=self.health,
            info=self.info if with_info else None,
        )


@dataclass(frozen=True)
class ZoneSummary:
    """How an availability zone fares."""

    availability_zone: str
    alive: int
    suspect: int
    dead: int

    @property
    def lost(self) -> bool:
        """Whether none of its processes is known to be alive."""
        return not self.alive and bool(self.suspect + self.dead)


class MemberTable:
    """Processes by id; updates override by incarnation, then by health."""

    def __init__(self) -> None:
        self.members: SortedDict[ProcessId, Member] = SortedDict()
        """All processes that are remembered, this one included."""
        self.present_count = 0
        """Processes that take part."""
        self.cached_digest: int | None = None
        """Hash of the table; None when it has to be computed."""

    def apply(self, update: mpb.Update, now_ms: int) -> bool:
        """Take an update; returns whether it changed anything."""
        known = self.members.get(ProcessId(update.process))
        if known is None:
            return self._add(update, now_ms)
        if (update.incarnation, update.health) <= (known.incarnation, known.health):
            return False
        self._note_return(known, update, now_ms)
        known.incarnation = update.incarnation
        self.present_count -= known.present
        if known.health != update.health:
            known.since_ms = now_ms
        known.health = update.health
        self.present_count += known.present
        if update.HasField("info"):
            known.info = update.info
        self.cached_digest = None
        return True

    def get(self, process: str) -> Member | None:
        """Return a process, or None when it is not remembered."""
        member: Member | None = self.members.get(ProcessId(process))
        return member

    def present(self) -> Iterator[Member]:
        """Yield the processes that take part."""
        return (m for m in self.members.values() if m.health in PRESENT)

    def forget_old(self, now_ms: int) -> None:
        """Forget processes that have been gone for long."""
        gone = [
            member.process
            for member in self.members.values()
            if not member.present and now_ms - member.since_ms > DEAD_KEEP_MS
        ]
        for process in gone:
            del self.members[process]
            self.cached_digest = None

    def digest(self) -> int:
        """Return a hash of who takes part at which incarnation."""
        if self.cached_digest is None:
            digest = xxhash.xxh64()
            for member in self.present():
                digest.update(f"{member.process} {member.incarnation}\n".encode())
            self.cached_digest = digest.intdigest()
        return self.cached_digest

    def zones(self) -> list[ZoneSummary]:
        """Return how each availability zone fares."""
        counts: dict[str, dict[int, int]] = {}
        for member in self.members.values():
            zone = counts.setdefault(member.info.availability_zone, {})
            zone[member.health] = zone.get(member.health, 0) + 1
        return [
            ZoneSummary(
                name,
                count.get(mpb.ALIVE, 0),
                count.get(mpb.SUSPECT, 0),
                count.get(mpb.DEAD, 0),
            )
            for name, count in sorted(counts.items())
        ]

    def _add(self, update: mpb.Update, now_ms: int) -> bool:
        if not update.HasField("info"):
            return False
        process = ProcessId(update.process)
        member = Member(process, update.info, update.incarnation, update.health, now_ms)
        self.members[process] = member
        self.present_count += member.present
        self.cached_digest = None
        return True

    def _note_return(self, known: Member, update: mpb.Update, now_ms: int) -> None:
        if update.health != mpb.ALIVE or known.health == mpb.LEFT:
            return
        was_paused = update.info.pauses > known.info.pauses
        if known.health != mpb.ALIVE:
            known.returns.append(now_ms)
            known.paused = was_paused
        known.paused |= was_paused
