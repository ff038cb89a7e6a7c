"""What a leader knows of one other member."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tanagerturn.schema import coordination_pb2 as pb


class Mode(Enum):
    """How the leader sends to a member."""

    PROBE = "probe"
    """One append at a time until a matching index is found."""
    REPLICATE = "replicate"
    """Appends follow each other without waiting."""
    SNAPSHOT = "snapshot"
    """The member lacks entries that are cut; a snapshot is sent."""


@dataclass
class Progress:
    """Replication to one member."""

    next_index: int
    """Index of the next entry to send."""
    heard_at_s: float
    """When the member last answered in this term, in seconds."""
    match_index: int = 0
    """Highest index known to be synced there."""
    mode: Mode = Mode.PROBE
    """How the leader sends."""
    waiting: bool = False
    """A probe is on its way; the next goes with the next heartbeat."""
    in_flight: deque[tuple[int, int]] = field(default_factory=deque)
    """Last index and size of each append on its way."""
    in_flight_bytes: int = 0
    """Sum of the sizes on their way."""
    read_round: int = 0
    """Highest round of read confirmation that it answered."""
    snapshot: pb.SnapshotMeta | None = None
    """Snapshot on its way."""
    snapshot_offset: int = 0
    """Offset that the member wants next."""
    chunk_sent_at_s: float | None = None
    """When the last chunk was sent, None when the next may be sent."""

    def probe(self, next_index: int) -> None:
        """Look for a matching index again."""
        self.mode = Mode.PROBE
        self.next_index = max(next_index, self.match_index + 1)
        self.waiting = False
        self.snapshot = None
        self._clear_flight()

    def replicate(self) -> None:
        """Send without waiting from the match on."""
        self.mode = Mode.REPLICATE
        self.next_index = self.match_index + 1
        self.waiting = False
        self.snapshot = None
        self._clear_flight()

    def send_snapshot(self, meta: pb.SnapshotMeta) -> None:
        """Start sending a snapshot."""
        self.mode = Mode.SNAPSHOT
        self.snapshot = meta
        self.snapshot_offset = 0
        self.chunk_sent_at_s = None
        self._clear_flight()

    def sent(self, last_index: int, size: int) -> None:
        """Note an append on its way."""
        self.next_index = last_index + 1
        self.in_flight.append((last_index, size))
        self.in_flight_bytes += size

    def matched(self, index: int) -> None:
        """Note that the member has synced up to an index."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        while self.in_flight and self.in_flight[0][0] <= self.match_index:
            self.in_flight_bytes -= self.in_flight.popleft()[1]

    def _clear_flight(self) -> None:
        self.in_flight.clear()
        self.in_flight_bytes = 0
