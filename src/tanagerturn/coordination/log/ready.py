"""What goes into the core of the replicated log and what comes out of it."""

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
"""A learner that lacks no more entries than this may become a voter."""


class Role(Enum):
    """Role of a member in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True)
class Options:
    """Fixed settings of one member in one replication group."""

    cluster: ClusterId
    """Cluster; messages of others are dropped."""
    group: GroupId
    """Replication group."""
    member: MemberId
    """This member."""
    election_timeout_s: float = 0.5
    """Shortest time without a leader before an election; twice it at most."""
    heartbeat_s: float = 0.1
    """Time between a leader's heartbeats."""
    append_limit_bytes: int = APPEND_LIMIT_BYTES
    """Bytes of entries in one append, one entry at least."""
    in_flight_limit_bytes: int = IN_FLIGHT_LIMIT_BYTES
    """Bytes sent to a peer and not yet acknowledged."""
    uncommitted_limit_bytes: int = UNCOMMITTED_LIMIT_BYTES
    """Bytes proposed and not yet committed; beyond, proposals are refused."""
    chunk_limit_bytes: int = CHUNK_LIMIT_BYTES
    """Bytes of a snapshot in one message."""


@dataclass(frozen=True)
class Recovered:
    """What a member reads back from its storage at a start."""

    hard_state: pb.HardState
    """Term and vote."""
    snapshot: pb.SnapshotMeta
    """Last snapshot; index 0 with the founding membership before the first."""
    entries: list[pb.Entry]
    """Entries after the snapshot, without a gap."""


@dataclass(frozen=True)
class ReadState:
    """A read that may be answered once the index is applied."""

    ticket: int
    """Number that the caller gave to the read."""
    index: LogIndex
    """Index that has to be applied first."""


@dataclass(frozen=True)
class ChunkWanted:
    """A chunk of a snapshot that is to be read and sent."""

    peer: MemberId
    """Receiver."""
    term: int
    """Term of the sender."""
    meta: pb.SnapshotMeta
    """Snapshot to read."""
    offset: int
    """Offset of the chunk in bytes."""
    size: int
    """Largest size of the chunk in bytes."""


@dataclass(frozen=True)
class ChunkReceived:
    """A chunk of a snapshot that is to be stored."""

    meta: pb.SnapshotMeta
    """Snapshot that the chunk belongs to."""
    offset: int
    """Offset of the chunk; 0 starts the snapshot anew."""
    data: bytes
    """Bytes of the chunk."""
    last: bool
    """The snapshot is complete and has to be installed."""


@dataclass
class Ready:
    """What the host of the core has to do, in the order of the fields."""

    messages: list[pb.LogMessage] = field(default_factory=list)
    """To send at once, in parallel with the writes."""
    wanted: list[ChunkWanted] = field(default_factory=list)
    """Chunks to read and send at once."""
    hard_state: pb.HardState | None = None
    """To write when not None."""
    entries: list[pb.Entry] = field(default_factory=list)
    """To write; they replace all stored entries from the first's index on."""
    chunks: list[ChunkReceived] = field(default_factory=list)
    """To store; a last one is installed and answered by the core's call."""
    after_sync: list[pb.LogMessage] = field(default_factory=list)
    """To send only after the writes are synced."""
    committed: list[pb.Entry] = field(default_factory=list)
    """To apply, in order."""
    reads: list[ReadState] = field(default_factory=list)
    """Reads that a majority has confirmed."""
    lost_reads: list[int] = field(default_factory=list)
    """Tickets of reads that this member can't confirm any more."""

    @property
    def must_sync(self) -> bool:
        """Whether there is anything to write."""
        return self.hard_state is not None or bool(self.entries)
