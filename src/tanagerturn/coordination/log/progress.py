"""Replication progress that a leader tracks for each peer."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tanagerturn.schema import coordination_pb2 as pb


class Mode(Enum):
    """How the leader sends entries to a peer."""

    PROBE = "probe"
    """Send one append at a time until the matching index is found."""
    REPLICATE = "replicate"
    """Pipeline appends without waiting for responses."""
    SNAPSHOT = "snapshot"
    """The peer needs compacted entries; send a snapshot instead."""


@dataclass
class Progress:
    """Replication progress of one peer."""

    next_index: int
    """Index of the next entry to send."""
    last_response_at_s: float
    """Time of the peer's last response in this term, monotonic seconds."""
    match_index: int = 0
    """Highest index known to be synced by the peer."""
    mode: Mode = Mode.PROBE
    """How the leader sends entries."""
    probe_pending: bool = False
    """A probe is unanswered; the next one is sent with the next heartbeat."""
    in_flight: deque[tuple[int, int]] = field(default_factory=deque)
    """Last index and size in bytes of each unacknowledged append, oldest first."""
    in_flight_bytes: int = 0
    """Total size in bytes of the unacknowledged appends."""
    read_round: int = 0
    """Highest read round that the peer acknowledged."""
    snapshot: pb.SnapshotMeta | None = None
    """Snapshot being sent, or None."""
    snapshot_offset: int = 0
    """Byte offset of the next snapshot chunk to send."""
    chunk_sent_at_s: float | None = None
    """When the unacknowledged chunk was sent, or None when none is outstanding."""

    def probe(self, next_index: int) -> None:
        """Probe for the matching index, starting at `next_index`."""
        self.mode = Mode.PROBE
        self.next_index = max(next_index, self.match_index + 1)
        self.probe_pending = False
        self.snapshot = None
        self._clear_in_flight()

    def replicate(self) -> None:
        """Pipeline entries from the matching index on."""
        self.mode = Mode.REPLICATE
        self.next_index = self.match_index + 1
        self.probe_pending = False
        self.snapshot = None
        self._clear_in_flight()

    def send_snapshot(self, meta: pb.SnapshotMeta) -> None:
        """Start sending a snapshot."""
        self.mode = Mode.SNAPSHOT
        self.snapshot = meta
        self.snapshot_offset = 0
        self.chunk_sent_at_s = None
        self._clear_in_flight()

    def on_append_sent(self, last_index: int, size: int) -> None:
        """Record an append in flight."""
        self.next_index = last_index + 1
        self.in_flight.append((last_index, size))
        self.in_flight_bytes += size

    def on_match(self, index: int) -> None:
        """Record that the peer has synced the log up to an index."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        while self.in_flight and self.in_flight[0][0] <= self.match_index:
            self.in_flight_bytes -= self.in_flight.popleft()[1]

    def _clear_in_flight(self) -> None:
        self.in_flight.clear()
        self.in_flight_bytes = 0
