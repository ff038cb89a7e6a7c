"""Configuration, recovered state and output of the core of the replicated log."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from tanagerturn.coordination.ids import ClusterId, GroupId, LogIndex, MemberId
    from tanagerturn.schema import coordination_pb2 as pb

APPEND_LIMIT_BYTES: Final = 512 * 1024
IN_FLIGHT_LIMIT_BYTES: Final = 4 * 1024 * 1024
UNCOMMITTED_LIMIT_BYTES: Final = 32 * 1024 * 1024
CHUNK_LIMIT_BYTES: Final = 512 * 1024
CAUGHT_UP_ENTRIES: Final = 64
"""Largest number of entries that a learner may lack when it is promoted to voter."""


class Role(Enum):
    """Role of a member in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True)
class Options:
    """Configuration of one member in one replication group."""

    cluster: ClusterId
    """Name of the cluster; messages of other clusters are dropped."""
    group: GroupId
    """Name of the replication group; messages of other groups are dropped."""
    member: MemberId
    """Id of this member."""
    election_timeout_s: float = 0.5
    """Shortest election timeout in seconds; each election deadline is a random one to
    two times later."""
    heartbeat_s: float = 0.1
    """Interval between heartbeats of a leader, in seconds."""
    append_limit_bytes: int = APPEND_LIMIT_BYTES
    """Largest size in bytes of the entries in one append request; a single entry may be
    larger."""
    in_flight_limit_bytes: int = IN_FLIGHT_LIMIT_BYTES
    """Size in bytes of the unacknowledged entries of a peer from which no more entries
    are sent to it."""
    uncommitted_limit_bytes: int = UNCOMMITTED_LIMIT_BYTES
    """Size in bytes of the uncommitted entries above which proposals are refused."""
    chunk_limit_bytes: int = CHUNK_LIMIT_BYTES
    """Largest size in bytes of the snapshot data in one message."""


@dataclass(frozen=True)
class RecoveredState:
    """State that a member reads from its storage at startup."""

    hard_state: pb.HardState
    """Last written term and vote."""
    snapshot: pb.SnapshotMeta
    """Metadata of the last snapshot; before the first snapshot, index 0 and the initial
    membership."""
    entries: list[pb.Entry]
    """Contiguous entries after the snapshot."""


@dataclass(frozen=True)
class ReadState:
    """A confirmed read, which may run once its index is applied."""

    ticket: int
    """Number that the caller gave to the read."""
    index: LogIndex
    """Log index that must be applied before the read runs."""


@dataclass(frozen=True)
class ChunkToSend:
    """A snapshot chunk to read from storage and send."""

    peer: MemberId
    """Id of the receiving member."""
    term: int
    """Term of the leader that sends the chunk."""
    meta: pb.SnapshotMeta
    """Metadata of the snapshot to read."""
    offset: int
    """Offset of the chunk in the snapshot data, in bytes."""
    size: int
    """Largest size of the chunk in bytes."""


@dataclass(frozen=True)
class ReceivedChunk:
    """A received snapshot chunk to store."""

    meta: pb.SnapshotMeta
    """Metadata of the snapshot to which the chunk belongs."""
    offset: int
    """Offset of the chunk in the snapshot data, in bytes; 0 starts a new snapshot."""
    data: bytes
    """Snapshot data of the chunk."""
    last: bool
    """Whether this is the last chunk, after which the snapshot is installed."""


@dataclass
class Ready:
    """Output of the core, to be processed by the caller in the order of the fields."""

    messages: list[pb.LogMessage] = field(default_factory=list)
    """Messages that may be sent before the writes are synced."""
    chunks_to_send: list[ChunkToSend] = field(default_factory=list)
    """Snapshot chunks to read and send; may be sent before the writes are synced."""
    hard_state: pb.HardState | None = None
    """Term and vote to write; None when unchanged."""
    entries: list[pb.Entry] = field(default_factory=list)
    """Entries to write; they replace the stored entries from the index of the first
    entry on."""
    received_chunks: list[ReceivedChunk] = field(default_factory=list)
    """Received chunks to store; the last chunk is followed by the install of the
    snapshot."""
    after_sync: list[pb.LogMessage] = field(default_factory=list)
    """Messages to send only after the writes are synced."""
    committed: list[pb.Entry] = field(default_factory=list)
    """Committed entries to apply, in log order."""
    reads: list[ReadState] = field(default_factory=list)
    """Reads confirmed by a majority."""
    failed_reads: list[int] = field(default_factory=list)
    """Tickets of reads that can no longer be confirmed by this member."""

    @property
    def must_sync(self) -> bool:
        """Whether there are entries or a hard state to write and sync."""
        return self.hard_state is not None or bool(self.entries)
