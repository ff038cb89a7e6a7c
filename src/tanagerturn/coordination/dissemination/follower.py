"""Settings of one process, whose revision number never decreases, without I/O.

The caller passes revisions, deltas and the revision numbers of peers with the current
monotonic time; the results say what was applied and what the caller has to fetch.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final

from tanagerturn.coordination.dissemination.delta import apply_delta
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tanagerturn.schema import dissemination_pb2 as dpb

BEHIND_LIMIT_MS: Final = 3_000
"""Time in milliseconds behind a peer after which a process reads from the state group
or peers instead of waiting for its relay or watch."""


class Source(Enum):
    """Source from which a process received a settings revision."""

    NONE = "none"
    STATE_READ = "linearizable read"
    STATE_WATCH = "watch of the state group"
    RELAY = "relay"
    PEERS = "highest revision among peers"


class OfferResult(Enum):
    """Result of offering a revision or deltas to a `SettingsFollower`."""

    APPLIED = "applied"
    OLD = "old"
    GAP = "gap"
    """A delta does not apply; the whole revision has to be fetched."""


@dataclass(frozen=True)
class Origin:
    """Source of a settings revision.

    `peer` is the IP address and port of the relay, empty for the state group; `reason`
    is the error for which the source was used, empty when there was none.
    """

    source: Source
    peer: str = ""
    reason: str = ""


class SettingsFollower:
    """Settings revision in force at one process; decides what replaces it."""

    def __init__(self) -> None:
        self.revision = pb.SettingsRevision()
        """Revision in force; number 0 before the first revision."""
        self.origin = Origin(Source.NONE)
        """Source of the revision in force."""
        self.applied_at_ms = 0
        """Monotonic time in milliseconds when the revision was applied; 0 before."""
        self.is_confirmed = False
        """Whether a linearizable read of the settings has succeeded since the start."""
        self.next_fetch_at_ms = 0
        """Monotonic time in milliseconds before which no read is due."""
        self.highest_peer_number = 0
        """Highest revision number that a peer has announced; 0 when none has."""
        self.highest_peer = ""
        """Id of the first peer that announced the highest number; empty for none."""
        self.behind_since_ms: int | None = None
        """Monotonic time in milliseconds since which a peer has a newer revision; None
        when no peer has."""
        self.refused_old_count = 0
        """Number of offers refused because they were older than the revision in
        force."""

    @property
    def number(self) -> int:
        """Number of the revision in force; 0 before the first."""
        return self.revision.number

    def offer_revision(
        self, revision: pb.SettingsRevision, origin: Origin, now_ms: int
    ) -> OfferResult:
        """Apply a whole revision if it is newer than the one in force."""
        self.is_confirmed |= origin.source is Source.STATE_READ
        if revision.number <= self.number:
            self.refused_old_count += revision.number < self.number
            return OfferResult.OLD
        self.revision = revision
        self.origin = origin
        self.applied_at_ms = now_ms
        if self.number >= self.highest_peer_number:
            self.behind_since_ms = None
        return OfferResult.APPLIED

    def offer_deltas(
        self, deltas: Iterable[dpb.SettingsDelta], origin: Origin, now_ms: int
    ) -> OfferResult:
        """Apply consecutive deltas that lead to a newer revision.

        Deltas to revisions up to the one in force are skipped. The other deltas are
        applied as one step: if one does not apply, none is applied.
        """
        after = self.revision
        for delta in deltas:
            if delta.revision.number <= after.number:
                continue
            applied = apply_delta(after, delta)
            if applied.is_error():
                return OfferResult.GAP
            after = applied.ok
        return self.offer_revision(after, origin, now_ms)

    def on_peer_number(self, number: int, peer: str, now_ms: int) -> None:
        """Record the revision number that a peer announced."""
        if number <= max(self.number, self.highest_peer_number):
            return
        self.highest_peer_number = number
        self.highest_peer = peer
        if self.behind_since_ms is None:
            self.behind_since_ms = now_ms

    def fetch_due(self, now_ms: int) -> bool:
        """Return whether a read from the state group is due; the caller must then read.

        A read is due when none has succeeded yet, or when a peer has had a newer
        revision for `BEHIND_LIMIT_MS`. After True, no read is due for that time.
        """
        if now_ms < self.next_fetch_at_ms:
            return False
        is_behind = (
            self.behind_since_ms is not None
            and now_ms - self.behind_since_ms >= BEHIND_LIMIT_MS
        )
        if self.is_confirmed and not is_behind:
            return False
        self.next_fetch_at_ms = now_ms + BEHIND_LIMIT_MS
        return True

    def dump(self, now_ms: int) -> dict[str, object]:
        """Return the revision in force and its source for a dump."""
        return {
            "number": self.number,
            "change_id": self.revision.change_id,
            "source": self.origin.source.value,
            "peer": self.origin.peer,
            "reason": self.origin.reason,
            "confirmed": self.is_confirmed,
            "applied_ago_ms": now_ms - self.applied_at_ms,
            "highest_peer_number": self.highest_peer_number,
            "refused_old": self.refused_old_count,
        }
