"""Storage of one replication group: log and snapshots together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.coordination.log.ready import Recovered
from tanagerturn.coordination.storage.files import DamageError
from tanagerturn.coordination.storage.segments import REPAIR, SegmentedLog
from tanagerturn.coordination.storage.snapshots import Snapshots
from tanagerturn.coordination.store import Store
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from tanagerturn.coordination.ids import ClusterId, GroupId
    from tanagerturn.coordination.log.ready import ChunkReceived
    from tanagerturn.coordination.storage.files import Files


class GroupStorage:
    """Files of one replication group, and what they held at the start.

    Args:
        files: File operations.
        cluster: Cluster; files of another are refused.
        group: Replication group.
    """

    def __init__(self, files: Files, cluster: ClusterId, group: GroupId) -> None:
        folder = f"group-{group}"
        files.make_folder(folder)
        self.folder = folder
        """Folder of the group."""
        self.snapshots = Snapshots(files, folder)
        """Snapshot files."""
        self.log = SegmentedLog(files, folder, cluster, group)
        """Log files."""

    @property
    def is_founded(self) -> bool:
        """Whether the member has taken part in the group."""
        return self.snapshots.newest() is not None or bool(self.log.segments)

    def found(self, membership: pb.Membership) -> None:
        """Write the founding membership."""
        meta = pb.SnapshotMeta(membership=membership)
        self.snapshots.save(meta, Store().image().records())

    def recover(self) -> tuple[Recovered, Store]:
        """Return what the files hold, and the store of the last snapshot.

        Raises:
            StorageError: Files are damaged or not this program's.
        """
        meta = self.snapshots.newest()
        store = self.snapshots.load(meta) if meta else Store()
        meta = meta or pb.SnapshotMeta()
        entries = self._entries_after(meta)
        recovered = Recovered(self.log.hard_state, meta, entries)
        return recovered, store

    def write(self, hard_state: pb.HardState | None, entries: list[pb.Entry]) -> None:
        """Write and sync a batch; see `SegmentedLog.write`."""
        self.log.write(hard_state, entries)

    def store_chunk(self, chunk: ChunkReceived) -> None:
        """Keep a part of a snapshot that is being received."""
        self.snapshots.store_chunk(chunk)

    def install(self, meta: pb.SnapshotMeta) -> Store:
        """Keep a received snapshot in place of the log; return its store.

        Raises:
            DamageError: It was damaged on its way; nothing has changed.
        """
        store = self.snapshots.load_incoming(meta)
        self.log.reset(meta.index)
        return store

    def close(self) -> None:
        """Close the files."""
        self.snapshots.drop_incoming()
        self.log.close()

    def _entries_after(self, meta: pb.SnapshotMeta) -> list[pb.Entry]:
        entries = self.log.take_entries()
        if not entries or entries[-1].index <= meta.index:
            return self._void(entries, meta)
        first = entries[0].index
        if first > meta.index + 1:
            reason = f"entries {meta.index + 1} to {first - 1} are missing"
            raise DamageError("read log", self.folder, f"{reason}; repair: {REPAIR}")
        if first <= meta.index and entries[meta.index - first].term != meta.term:
            return self._void(entries, meta)
        return entries[meta.index + 1 - first :]

    def _void(self, entries: list[pb.Entry], meta: pb.SnapshotMeta) -> list[pb.Entry]:
        """Finish an install that a crash cut short after the snapshot was kept."""
        last = (entries[-1].index, entries[-1].term) if entries else None
        if last is not None and last != (meta.index, meta.term):
            self.log.reset(meta.index)
        return []
