"""Health of all processes as known by one process."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Final

import xxhash
from sortedcontainers import SortedDict

from tanagerturn.coordination.ids import ProcessId
from tanagerturn.coordination.membership.config import DEAD_MAX_AGE_MS
from tanagerturn.schema import membership_pb2 as mpb

if TYPE_CHECKING:
    from collections.abc import Iterator

PRESENT_HEALTH: Final = frozenset((mpb.ALIVE, mpb.SUSPECT))
"""Health values of a present process, one that takes part."""

FLAP_WINDOW_MS: Final = 600_000
FLAP_COUNT: Final = 3
"""Returns from suspicion or death within the window that make a process flap."""


class LinkState(Enum):
    """How this process reaches another one, by the last probe."""

    UNKNOWN = "unknown"
    GOOD = "good"
    INDIRECT = "indirect only"
    ONE_WAY = "one way: it reaches us, we do not reach it"
    FAILED = "failed"


@dataclass
class Member:
    """One process as known to this process."""

    process: ProcessId
    info: mpb.ProcessInfo
    incarnation: int
    health: mpb.Health.ValueType
    since_ms: int
    """Time in milliseconds when the health last changed."""
    link: LinkState = LinkState.UNKNOWN
    last_packet_at_ms: int = -1
    """Time in milliseconds of the last packet received directly; -1 for none."""
    settings_number: int = 0
    """Number of the settings revision that the process last announced."""
    return_times_ms: deque[int] = field(default_factory=lambda: deque(maxlen=8))
    """Times in milliseconds of its last returns from suspicion or death."""
    paused: bool = False
    """Whether it returned with a pause that it had detected itself."""

    def flapping(self, now_ms: int) -> bool:
        """Whether it returned too often within the flap window."""
        recent = [t for t in self.return_times_ms if now_ms - t <= FLAP_WINDOW_MS]
        return len(recent) >= FLAP_COUNT

    def mark_if_one_way(self, now_ms: int, window_ms: int) -> None:
        """Mark the link as one-way if packets arrive from it but probes fail."""
        if self.last_packet_at_ms < 0 or now_ms - self.last_packet_at_ms > window_ms:
            return
        if self.link in (LinkState.INDIRECT, LinkState.FAILED):
            self.link = LinkState.ONE_WAY

    @property
    def present(self) -> bool:
        """Whether it takes part: alive, or suspect and still able to refute."""
        return self.health in PRESENT_HEALTH

    def update(self, with_info: bool) -> mpb.Update:
        """Return the update to send to other processes."""
        return mpb.Update(
            process=self.process,
            incarnation=self.incarnation,
            health=self.health,
            info=self.info if with_info else None,
        )


@dataclass(frozen=True)
class ZoneSummary:
    """Counts of processes by health in one availability zone."""

    availability_zone: str
    alive: int
    suspect: int
    dead: int

    @property
    def lost(self) -> bool:
        """Whether it has known processes but none of them is alive."""
        return not self.alive and bool(self.suspect + self.dead)


class MemberTable:
    """Processes by id; updates override by incarnation, then by health."""

    def __init__(self) -> None:
        self.members: SortedDict[ProcessId, Member] = SortedDict()
        """All known processes by id, including this one."""
        self.present_count = 0
        """Number of present processes."""
        self.cached_digest: int | None = None
        """Hash of the table, or None when it has to be computed."""

    def apply(self, update: mpb.Update, now_ms: int) -> bool:
        """Apply an update; return whether it changed anything."""
        known = self.members.get(ProcessId(update.process))
        if known is None:
            return self._add(update, now_ms)
        if (update.incarnation, update.health) <= (known.incarnation, known.health):
            return False
        self._record_return(known, update, now_ms)
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
        """Return a process, or None when it is unknown."""
        member: Member | None = self.members.get(ProcessId(process))
        return member

    def present(self) -> Iterator[Member]:
        """Yield the present processes."""
        return (m for m in self.members.values() if m.health in PRESENT_HEALTH)

    def remove_expired(self, now_ms: int) -> None:
        """Remove processes that have been dead or left for `DEAD_KEEP_MS`."""
        expired = [
            member.process
            for member in self.members.values()
            if not member.present and now_ms - member.since_ms > DEAD_MAX_AGE_MS
        ]
        for process in expired:
            del self.members[process]
            self.cached_digest = None

    def digest(self) -> int:
        """Return a hash of the ids and incarnations of the present processes."""
        if self.cached_digest is None:
            digest = xxhash.xxh64()
            for member in self.present():
                digest.update(f"{member.process} {member.incarnation}\n".encode())
            self.cached_digest = digest.intdigest()
        return self.cached_digest

    def zones(self) -> list[ZoneSummary]:
        """Return the counts of each availability zone."""
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

    def _record_return(self, known: Member, update: mpb.Update, now_ms: int) -> None:
        if update.health != mpb.ALIVE or known.health == mpb.LEFT:
            return
        was_paused = update.info.pauses > known.info.pauses
        if known.health != mpb.ALIVE:
            known.return_times_ms.append(now_ms)
            known.paused = was_paused
        known.paused |= was_paused
