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
"""Health values of present processes, which take part in failure detection."""

FLAP_WINDOW_MS: Final = 600_000
FLAP_COUNT: Final = 3
"""Number of returns from suspicion or death within `FLAP_WINDOW_MS` from which a
process is flapping."""


class LinkState(Enum):
    """How the last probe reached another process."""

    UNKNOWN = "unknown"
    GOOD = "good"
    INDIRECT = "indirect only"
    ONE_WAY = "one way: it reaches us, we do not reach it"
    FAILED = "failed"


@dataclass
class Member:
    """Entry of one process in the member table of this process."""

    process: ProcessId
    info: mpb.ProcessInfo
    incarnation: int
    health: mpb.Health.ValueType
    since_ms: int
    """Monotonic time in milliseconds when the health last changed."""
    link: LinkState = LinkState.UNKNOWN
    last_packet_at_ms: int = -1
    """Monotonic time in milliseconds of the last packet received from the process
    itself; -1 for none."""
    settings_revision_number: int = 0
    """Number of the settings revision that the process last announced; 0 for none."""
    return_times_ms: deque[int] = field(default_factory=lambda: deque(maxlen=8))
    """Monotonic times in milliseconds of the last returns from suspicion or death."""
    returned_after_pause: bool = False
    """Whether the process last returned with a pause that it had detected itself."""

    def is_flapping(self, now_ms: int) -> bool:
        """Return whether it returned `FLAP_COUNT` times within `FLAP_WINDOW_MS`."""
        recent = [t for t in self.return_times_ms if now_ms - t <= FLAP_WINDOW_MS]
        return len(recent) >= FLAP_COUNT

    def mark_if_one_way(self, now_ms: int, window_ms: int) -> None:
        """Mark the link as one-way if the process sends packets but probes fail.

        Args:
            now_ms: Current monotonic time in milliseconds.
            window_ms: Largest age in milliseconds of the last received packet.
        """
        if self.last_packet_at_ms < 0 or now_ms - self.last_packet_at_ms > window_ms:
            return
        if self.link in (LinkState.INDIRECT, LinkState.FAILED):
            self.link = LinkState.ONE_WAY

    @property
    def is_present(self) -> bool:
        """Whether the process is alive, or suspect and still able to refute that."""
        return self.health in PRESENT_HEALTH

    def update(self, with_info: bool) -> mpb.Update:
        """Return the update about this process, with its info if `with_info` is set."""
        return mpb.Update(
            process=self.process,
            incarnation=self.incarnation,
            health=self.health,
            info=self.info if with_info else None,
        )


@dataclass(frozen=True)
class ZoneSummary:
    """Numbers of processes by health in one availability zone."""

    availability_zone: str
    alive: int
    suspect: int
    dead: int

    @property
    def lost(self) -> bool:
        """Whether the zone has suspect or dead processes and none that is alive."""
        return not self.alive and bool(self.suspect + self.dead)


class MemberTable:
    """Known processes by id.

    An update takes precedence if its incarnation is higher, or equal with a higher
    health value.
    """

    def __init__(self) -> None:
        self.members: SortedDict[ProcessId, Member] = SortedDict()
        """All known processes by id, including this one."""
        self.present_count = 0
        """Number of present processes."""
        self.cached_digest: int | None = None
        """Hash of the table; None when it has to be computed again."""

    def apply(self, update: mpb.Update, now_ms: int) -> bool:
        """Apply an update; return whether it changed the table."""
        known = self.members.get(ProcessId(update.process))
        if known is None:
            return self._add(update, now_ms)
        if (update.incarnation, update.health) <= (known.incarnation, known.health):
            return False
        self._record_return(known, update, now_ms)
        known.incarnation = update.incarnation
        self.present_count -= known.is_present
        if known.health != update.health:
            known.since_ms = now_ms
        known.health = update.health
        self.present_count += known.is_present
        if update.HasField("info"):
            known.info = update.info
        self.cached_digest = None
        return True

    def get(self, process: str) -> Member | None:
        """Return the entry of a process, or None when the process is unknown."""
        member: Member | None = self.members.get(ProcessId(process))
        return member

    def present_members(self) -> Iterator[Member]:
        """Yield the entries of the present processes."""
        return (m for m in self.members.values() if m.health in PRESENT_HEALTH)

    def remove_expired(self, now_ms: int) -> None:
        """Remove processes that have been dead or left for `DEAD_MAX_AGE_MS`."""
        expired = [
            member.process
            for member in self.members.values()
            if not member.is_present and now_ms - member.since_ms > DEAD_MAX_AGE_MS
        ]
        for process in expired:
            del self.members[process]
            self.cached_digest = None

    def digest(self) -> int:
        """Return a hash of the ids and incarnations of the present processes."""
        if self.cached_digest is None:
            digest = xxhash.xxh64()
            for member in self.present_members():
                digest.update(f"{member.process} {member.incarnation}\n".encode())
            self.cached_digest = digest.intdigest()
        return self.cached_digest

    def zones(self) -> list[ZoneSummary]:
        """Return the counts of each availability zone, sorted by zone name."""
        counts_by_zone: dict[str, dict[int, int]] = {}
        for member in self.members.values():
            counts_by_health = counts_by_zone.setdefault(
                member.info.availability_zone, {}
            )
            counts_by_health[member.health] = counts_by_health.get(member.health, 0) + 1
        return [
            ZoneSummary(
                name,
                counts_by_health.get(mpb.ALIVE, 0),
                counts_by_health.get(mpb.SUSPECT, 0),
                counts_by_health.get(mpb.DEAD, 0),
            )
            for name, counts_by_health in sorted(counts_by_zone.items())
        ]

    def _add(self, update: mpb.Update, now_ms: int) -> bool:
        if not update.HasField("info"):
            return False
        process = ProcessId(update.process)
        member = Member(process, update.info, update.incarnation, update.health, now_ms)
        self.members[process] = member
        self.present_count += member.is_present
        self.cached_digest = None
        return True

    def _record_return(self, known: Member, update: mpb.Update, now_ms: int) -> None:
        if update.health != mpb.ALIVE or known.health == mpb.LEFT:
            return
        was_paused = update.info.pauses > known.info.pauses
        if known.health != mpb.ALIVE:
            known.return_times_ms.append(now_ms)
            known.returned_after_pause = was_paused
        known.returned_after_pause |= was_paused
