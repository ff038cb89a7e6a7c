"""Storage of one replication group: log files and snapshot files."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.coordination.log.ready import RecoveredState
from tanagerturn.coordination.storage.files import DamageError, storage_errors
from tanagerturn.coordination.storage.segments import REPAIR_STEPS, SegmentedLog
from tanagerturn.coordination.storage.snapshots import Snapshots
from tanagerturn.coordination.store import Store
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from tanagerturn.coordination.ids import ClusterId, GroupId
    from tanagerturn.coordination.log.ready import ReceivedChunk
    from tanagerturn.coordination.storage.files import Files


class GroupStorage:
    """Log and snapshot files of one replication group.

    Args:
        files: File operations in the data folder.
        cluster: Name of the cluster; files of another cluster are rejected.
        group: Name of the replication group; files of another group are rejected.
    """

    def __init__(self, files: Files, cluster: ClusterId, group: GroupId) -> None:
        folder = f"group-{group}"
        with storage_errors("create folder", folder):
            files.create_folder(folder)
        self.folder = folder
        """Path of the group's folder, relative to the data folder."""
        self.snapshots = Snapshots(files, folder)
        """Snapshot files of the group."""
        self.log = SegmentedLog(files, folder, cluster, group)
        """Log segment files of the group."""

    @property
    def has_state(self) -> bool:
        """Whether the files hold state of the group."""
        return self.snapshots.newest() is not None or bool(self.log.segments)

    def initialize(self, membership: pb.Membership) -> None:
        """Store a snapshot of an empty store with the initial membership."""
        meta = pb.SnapshotMeta(membership=membership)
        self.snapshots.save(meta, Store().image().records())

    def recover(self) -> tuple[RecoveredState, Store]:
        """Return the state read from the files, and the store as of the last snapshot.

        Raises:
            StorageError: A file is damaged, or belongs to another group or cluster, or
                has a newer format version.
        """
        meta = self.snapshots.newest()
        store = self.snapshots.load(meta) if meta else Store()
        meta = meta or pb.SnapshotMeta()
        entries = self._entries_after(meta)
        recovered = RecoveredState(self.log.hard_state, meta, entries)
        return recovered, store

    def write(self, hard_state: pb.HardState | None, entries: list[pb.Entry]) -> None:
        """Write and sync one batch of a hard state and entries; see `SegmentedLog`."""
        self.log.write(hard_state, entries)

    def store_chunk(self, chunk: ReceivedChunk) -> None:
        """Store a chunk of a snapshot that is being received."""
        self.snapshots.store_chunk(chunk)

    def install(self, meta: pb.SnapshotMeta) -> Store:
        """Replace the log by a received snapshot and return its store.

        Raises:
            DamageError: The received snapshot is damaged; log and store are unchanged.
        """
        store = self.snapshots.load_incoming(meta)
        self.log.reset(meta.index)
        return store

    def close(self) -> None:
        """Close the log, and discard a snapshot that is being received."""
        self.snapshots.drop_incoming()
        self.log.close()

    def _entries_after(self, meta: pb.SnapshotMeta) -> list[pb.Entry]:
        entries = self.log.take_entries()
        if not entries or entries[-1].index <= meta.index:
            return self._discard_entries(entries, meta)
        first = entries[0].index
        if first > meta.index + 1:
            reason = f"entries {meta.index + 1} to {first - 1} are missing"
            raise DamageError(
                "read log", self.folder, f"{reason}; repair: {REPAIR_STEPS}"
            )
        if first <= meta.index and entries[meta.index - first].term != meta.term:
            return self._discard_entries(entries, meta)
        return entries[meta.index + 1 - first :]

    def _discard_entries(
        self, entries: list[pb.Entry], meta: pb.SnapshotMeta
    ) -> list[pb.Entry]:
        """Discard the log if a crash interrupted the install of a snapshot."""
        last = (entries[-1].index, entries[-1].term) if entries else None
        if last is not None and last != (meta.index, meta.term):
            self.log.reset(meta.index)
        return []
