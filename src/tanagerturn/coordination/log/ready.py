"""Inputs and outputs of the core of the replicated log."""

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
"""Most entries that a learner may lack when it is promoted to voter."""


class Role(Enum):
    """Role of a member in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True)
class Options:
    """Static configuration of one member in one replication group."""

    cluster: ClusterId
    """Cluster name; messages from other clusters are dropped."""
    group: GroupId
    """Replication group."""
    member: MemberId
    """Id of this member."""
    election_timeout_s: float = 0.5
    """Shortest election timeout in seconds; each is drawn from one to two times it."""
    heartbeat_s: float = 0.1
    """Interval between heartbeats of a leader, in seconds."""
    append_limit_bytes: int = APPEND_LIMIT_BYTES
    """Most bytes of entries in one append, which holds at least one entry."""
    in_flight_limit_bytes: int = IN_FLIGHT_LIMIT_BYTES
    """Most bytes sent to a peer and not yet acknowledged."""
    uncommitted_limit_bytes: int = UNCOMMITTED_LIMIT_BYTES
    """Most uncommitted bytes; proposals beyond this are refused."""
    chunk_limit_bytes: int = CHUNK_LIMIT_BYTES
    """Most bytes of snapshot data in one message."""


@dataclass(frozen=True)
class Recovered:
    """State that a member reads from its storage at startup."""

    hard_state: pb.HardState
    """Persisted term and vote."""
    snapshot: pb.SnapshotMeta
    """Last snapshot; index 0 and the initial membership before the first one."""
    entries: list[pb.Entry]
    """Contiguous entries after the snapshot."""


@dataclass(frozen=True)
class ReadState:
    """A confirmed read, which may run once its index is applied."""

    ticket: int
    """Number that the caller gave the read."""
    index: LogIndex
    """Index that must be applied before the read runs."""


@dataclass(frozen=True)
class ChunkToSend:
    """A snapshot chunk to read from storage and send."""

    peer: MemberId
    """Id of the receiving member."""
    term: int
    """Term of the leader that sends the chunk."""
    meta: pb.SnapshotMeta
    """Snapshot to read."""
    offset: int
    """Offset of the chunk in bytes."""
    size: int
    """Largest size of the chunk in bytes."""


@dataclass(frozen=True)
class ReceivedChunk:
    """A received snapshot chunk to store."""

    meta: pb.SnapshotMeta
    """Snapshot that the chunk belongs to."""
    offset: int
    """Offset of the chunk in bytes; 0 restarts the snapshot."""
    data: bytes
    """Data of the chunk."""
    last: bool
    """Whether this is the last chunk, after which the snapshot is installed."""


@dataclass
class Ready:
    """Actions that the caller has to carry out, in the order of the fields."""

    messages: list[pb.LogMessage] = field(default_factory=list)
    """Messages to send at once, in parallel with the writes."""
    chunks_to_send: list[ChunkToSend] = field(default_factory=list)
    """Snapshot chunks to read and send at once."""
    hard_state: pb.HardState | None = None
    """Term and vote to write, or None when unchanged."""
    entries: list[pb.Entry] = field(default_factory=list)
    """Entries to write; they replace all stored entries from the first one's index
    on."""
    received_chunks: list[ReceivedChunk] = field(default_factory=list)
    """Received chunks to store; after the last one, install or reject the snapshot."""
    after_sync: list[pb.LogMessage] = field(default_factory=list)
    """Messages to send only after the writes are synced."""
    committed: list[pb.Entry] = field(default_factory=list)
    """Committed entries to apply, in order."""
    reads: list[ReadState] = field(default_factory=list)
    """Reads confirmed by a majority."""
    failed_reads: list[int] = field(default_factory=list)
    """Tickets of reads that can no longer be confirmed by this member."""

    @property
    def must_sync(self) -> bool:
        """Whether there is anything to write and sync."""
        return self.hard_state is not None or bool(self.entries)
