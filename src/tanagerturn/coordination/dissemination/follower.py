"""What one process has of the settings: it only ever grows in revision.

Pure: revisions, deltas and peers' numbers come in with the present time; what
has to be applied or fetched comes out.
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
"""Time behind a peer after which the process fetches by itself."""


class Source(Enum):
    """Where a revision came from."""

    NONE = "none"
    STATE_READ = "linearizable read"
    STATE_WATCH = "watch of the state group"
    RELAY = "relay"
    PEERS = "highest revision among peers"


class Offer(Enum):
    """What became of an offered revision or delta."""

    APPLIED = "applied"
    OLD = "old"
    GAP = "gap"
    """The delta does not fit; the whole revision has to be fetched."""


@dataclass(frozen=True)
class Origin:
    """Who offered the revision in force, and why it was taken from there."""

    source: Source
    peer: str = ""
    reason: str = ""


class SettingsFollower:
    """The settings of one process."""

    def __init__(self) -> None:
        self.revision = pb.SettingsRevision()
        """The revision in force; number 0 before the first."""
        self.origin = Origin(Source.NONE)
        """Where it came from."""
        self.applied_at_ms = 0
        """When it was applied, monotonic."""
        self.confirmed = False
        """A linearizable read was answered since the start."""
        self.next_fetch_at_ms = 0
        """No fetch is due before this time."""
        self.highest_peer_number = 0
        """Largest number that a peer told."""
        self.highest_peer = ""
        """Peer that told it first."""
        self.behind_since_ms: int | None = None
        """Since when a peer is ahead."""
        self.refused_old = 0
        """Offers refused because they would have gone back."""

    @property
    def number(self) -> int:
        """Number of the revision in force."""
        return self.revision.number

    def offer_revision(
        self, revision: pb.SettingsRevision, origin: Origin, now_ms: int
    ) -> Offer:
        """Take a whole revision if it is newer."""
        self.confirmed |= origin.source is Source.STATE_READ
        if revision.number <= self.number:
            self.refused_old += revision.number < self.number
            return Offer.OLD
        self.revision = revision
        self.origin = origin
        self.applied_at_ms = now_ms
        if self.number >= self.highest_peer_number:
            self.behind_since_ms = None
        return Offer.APPLIED

    def offer_deltas(
        self, deltas: Iterable[dpb.SettingsDelta], origin: Origin, now_ms: int
    ) -> Offer:
        """Take deltas that lead, one after the other, to a newer revision.

        A run of deltas is taken as one step; if one does not fit, none is taken.
        """
        after = self.revision
        for delta in deltas:
            if delta.revision.number <= after.number:
                continue
            applied = apply_delta(after, delta)
            if applied.is_error():
                return Offer.GAP
            after = applied.ok
        return self.offer_revision(after, origin, now_ms)

    def note_peer(self, number: int, peer: str, now_ms: int) -> None:
        """Note the number that a peer has."""
        if number <= max(self.number, self.highest_peer_number):
            return
        self.highest_peer_number = number
        self.highest_peer = peer
        if self.behind_since_ms is None:
            self.behind_since_ms = now_ms

    def fetch_due(self, now_ms: int) -> bool:
        """Tell whether to read from the state group, and note that it is done.

        It is due when no such read was answered yet, or when the process has
        been behind a peer for too long.
        """
        if now_ms < self.next_fetch_at_ms:
            return False
        behind = (
            self.behind_since_ms is not None
            and now_ms - self.behind_since_ms >= BEHIND_LIMIT_MS
        )
        if self.confirmed and not behind:
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
