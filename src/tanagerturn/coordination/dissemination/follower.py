"""Settings of one process; its revision number never decreases.

No I/O: revisions, deltas and the peers' revision numbers come in with the current
time, and results tell what was applied and what has to be fetched.
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
"""Time in milliseconds behind a peer after which the process fetches by itself."""


class Source(Enum):
    """Where a revision came from."""

    NONE = "none"
    STATE_READ = "linearizable read"
    STATE_WATCH = "watch of the state group"
    RELAY = "relay"
    PEERS = "highest revision among peers"


class OfferResult(Enum):
    """Result of offering a revision or delta."""

    APPLIED = "applied"
    OLD = "old"
    GAP = "gap"
    """The delta does not apply; the whole revision has to be fetched."""


@dataclass(frozen=True)
class Origin:
    """Source and peer of the revision in force, and why that source was used."""

    source: Source
    peer: str = ""
    reason: str = ""


class SettingsFollower:
    """Settings of one process."""

    def __init__(self) -> None:
        self.revision = pb.SettingsRevision()
        """Revision in force; number 0 before the first."""
        self.origin = Origin(Source.NONE)
        """Origin of the revision in force."""
        self.applied_at_ms = 0
        """Monotonic time in milliseconds when the revision was applied."""
        self.confirmed = False
        """Whether a linearizable read has succeeded since the start."""
        self.next_fetch_at_ms = 0
        """Time in milliseconds before which no fetch is due."""
        self.highest_peer_number = 0
        """Highest revision number that a peer announced."""
        self.highest_peer = ""
        """Id of the first peer that announced the highest number; empty when none."""
        self.behind_since_ms: int | None = None
        """Time in milliseconds since which a peer is ahead, or None when none is."""
        self.refused_old = 0
        """Number of offers refused because they were older than the revision in
        force."""

    @property
    def number(self) -> int:
        """Number of the revision in force."""
        return self.revision.number

    def offer_revision(
        self, revision: pb.SettingsRevision, origin: Origin, now_ms: int
    ) -> OfferResult:
        """Apply a whole revision if it is newer."""
        self.confirmed |= origin.source is Source.STATE_READ
        if revision.number <= self.number:
            self.refused_old += revision.number < self.number
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
        """Apply consecutive deltas up to a newer revision.

        They are applied as one step; if one does not apply, none is applied.
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
        """Record the revision number of a peer."""
        if number <= max(self.number, self.highest_peer_number):
            return
        self.highest_peer_number = number
        self.highest_peer = peer
        if self.behind_since_ms is None:
            self.behind_since_ms = now_ms

    def fetch_due(self, now_ms: int) -> bool:
        """Whether to read from the state group now; if so, count it as done.

        A read is due when none has succeeded yet, or when the process has been behind
        a peer for `BEHIND_LIMIT_MS`.
        """
        if now_ms < self.next_fetch_at_ms:
            return False
        is_behind = (
            self.behind_since_ms is not None
            and now_ms - self.behind_since_ms >= BEHIND_LIMIT_MS
        )
        if self.confirmed and not is_behind:
            return False
        self.next_fetch_at_ms = now_ms + BEHIND_LIMIT_MS
        return True

    def dump(self, now_ms: int) -> dict[str, object]:
        """Return the state for a dump."""
        return {
            "number": self.number,
            "change_id": self.revision.change_id,
            "source": self.origin.source.value,
            "peer": self.origin.peer,
            "reason": self.origin.reason,
            "confirmed": self.confirmed,
            "applied_ago_ms": now_ms - self.applied_at_ms,
            "highest_peer_number": self.highest_peer_number,
            "refused_old": self.refused_old,
        }
