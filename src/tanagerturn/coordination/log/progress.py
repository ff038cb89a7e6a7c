"""Replication progress that a leader tracks for each peer."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tanagerturn.schema import coordination_pb2 as pb


class ReplicationMode(Enum):
    """Mode in which the leader sends log entries to a peer."""

    PROBE = "probe"
    """Send one append request at a time until the last matching index is found."""
    REPLICATE = "replicate"
    """Send append requests without waiting for the responses."""
    SNAPSHOT = "snapshot"
    """Send a snapshot: the peer lacks entries that were compacted."""


@dataclass
class Progress:
    """Replication progress of one peer."""

    next_index: int
    """Index of the next entry to send."""
    last_response_at_s: float
    """Monotonic time in seconds of the peer's last response, or of the start of
    tracking before the first response."""
    match_index: int = 0
    """Highest index known to be synced by the peer."""
    mode: ReplicationMode = ReplicationMode.PROBE
    """Mode in which the leader sends entries."""
    probe_pending: bool = False
    """Whether an append request of `PROBE` mode has no response yet; no other is sent
    before the next heartbeat."""
    in_flight: deque[tuple[int, int]] = field(default_factory=deque)
    """Last index and size in bytes of each unacknowledged append request, oldest
    first."""
    in_flight_bytes: int = 0
    """Total size in bytes of the unacknowledged append requests."""
    read_round: int = 0
    """Highest read round that the peer acknowledged."""
    snapshot: pb.SnapshotMeta | None = None
    """Metadata of the snapshot that is being sent; None for none."""
    snapshot_offset: int = 0
    """Byte offset of the next snapshot chunk to send."""
    chunk_sent_at_s: float | None = None
    """Monotonic time in seconds when the unacknowledged chunk was sent; None when
    every chunk is acknowledged."""

    def probe(self, next_index: int) -> None:
        """Switch to `PROBE` mode, starting at `next_index`."""
        self.mode = ReplicationMode.PROBE
        self.next_index = max(next_index, self.match_index + 1)
        self.probe_pending = False
        self.snapshot = None
        self._clear_in_flight()

    def replicate(self) -> None:
        """Switch to `REPLICATE` mode, starting after the matching index."""
        self.mode = ReplicationMode.REPLICATE
        self.next_index = self.match_index + 1
        self.probe_pending = False
        self.snapshot = None
        self._clear_in_flight()

    def send_snapshot(self, meta: pb.SnapshotMeta) -> None:
        """Switch to `SNAPSHOT` mode, starting with the first chunk of a snapshot."""
        self.mode = ReplicationMode.SNAPSHOT
        self.snapshot = meta
        self.snapshot_offset = 0
        self.chunk_sent_at_s = None
        self._clear_in_flight()

    def on_append_sent(self, last_index: int, size: int) -> None:
        """Record an append request that was sent.

        Args:
            last_index: Index of its last entry.
            size: Size of its entries in bytes.
        """
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
