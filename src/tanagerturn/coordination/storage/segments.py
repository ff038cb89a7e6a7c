"""Log of one replication group, stored in append-only segment files."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.coordination.errors import StorageError
from tanagerturn.coordination.storage.files import (
    DISK_FULL_ERRORS,
    DamageError,
    DiskFullError,
    SyncFailedError,
    storage_errors,
)
from tanagerturn.coordination.storage.records import (
    RecordKind,
    TailState,
    classify_tail,
    decode_records,
    encode,
    encode_padding,
)
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from tanagerturn.coordination.ids import ClusterId, GroupId
    from tanagerturn.coordination.storage.files import AppendFile, Files
    from tanagerturn.coordination.storage.records import Record

FORMAT_VERSION: Final = 1
"""Format version of log files and snapshots; older versions can be read."""

SEGMENT_LIMIT_BYTES: Final = 8 * 1024 * 1024
"""Size in bytes above which a segment is closed and a new segment is started."""

SEGMENT_PREFIX: Final = "log-"
REPAIR_STEPS: Final = (
    "remove this member from the group, empty its data folder and let it join "
    "as a new member"
)


@dataclass
class Segment:
    """One log segment file."""

    path: str
    """Path of the file, relative to the data folder."""
    number: int
    """Number of the segment, ascending from 1."""
    last_index: int = 0
    """Highest log index in the segment; 0 when the segment has no entries."""
    size: int = 0
    """Size of the synced content in bytes."""


class SegmentedLog:
    """Durable entries, term and vote of one replication group.

    Args:
        files: File operations in the data folder.
        folder: Path of the group's folder, relative to the data folder.
        cluster: Name of the cluster; files of another cluster are rejected.
        group: Name of the replication group; files of another group are rejected.
    """

    def __init__(
        self, files: Files, folder: str, cluster: ClusterId, group: GroupId
    ) -> None:
        self.files = files
        """File operations in the data folder."""
        self.folder = folder
        """Path of the group's folder, relative to the data folder."""
        self.cluster = cluster
        """Name of the cluster in the segment headers."""
        self.group = group
        """Name of the replication group in the segment headers."""
        self.segments: list[Segment] = []
        """Segments, oldest first; records are appended to the last segment."""
        self.hard_state = pb.HardState()
        """Last written term and vote; term 0 and no vote before the first."""
        self.entries: list[pb.Entry] = []
        """Entries read from the segments at the start; emptied by `take_entries`."""
        self.batch = 0
        """Number of the last written batch; 0 before the first."""
        self._file: AppendFile | None = None
        self._recover()

    def take_entries(self) -> list[pb.Entry]:
        """Return the entries read at the start and drop them from memory."""
        entries, self.entries = self.entries, []
        return entries

    def write(self, hard_state: pb.HardState | None, entries: list[pb.Entry]) -> None:
        """Write and sync one batch.

        Args:
            hard_state: Term and vote to write; None when unchanged.
            entries: Entries to write; they replace the stored entries from the index
                of the first entry on.

        Raises:
            DiskFullError: The log is unchanged; the write may be retried.
            SyncFailedError: The process must exit.
        """
        if hard_state is not None:
            self.hard_state = hard_state
        if not self.segments or self.segments[-1].size > SEGMENT_LIMIT_BYTES:
            self._start_segment(reset_index=None)
        self.batch += 1
        parts = [_entry_record(self.batch, entry) for entry in entries]
        if hard_state is not None:
            payload = hard_state.SerializeToString()
            parts.append(encode(RecordKind.HARD_STATE, self.batch, payload))
        self._append(b"".join(parts))
        segment = self.segments[-1]
        if entries:
            segment.last_index = max(segment.last_index, entries[-1].index)

    def reset(self, base_index: int) -> None:
        """Discard all entries and continue after the index of an installed snapshot."""
        old_segments = list(self.segments)
        self._start_segment(reset_index=base_index)
        for segment in old_segments:
            self.files.remove(segment.path)
        self.segments = self.segments[-1:]

    def remove_up_to(self, index: int) -> None:
        """Remove the oldest segments that hold only entries up to an index."""
        while len(self.segments) > 1 and self.segments[0].last_index <= index:
            self.files.remove(self.segments.pop(0).path)

    def size(self) -> int:
        """Return the total size of the segments in bytes."""
        return sum(segment.size for segment in self.segments)

    def close(self) -> None:
        """Close the file of the last segment."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def _append(self, data: bytes) -> None:
        segment = self.segments[-1]
        data += encode_padding(self.batch, segment.size + len(data))
        file = self._open()
        try:
            file.write_synced(data)
        except OSError as error:
            self._undo_append(error)
        segment.size += len(data)

    def _undo_append(self, error: OSError) -> None:
        segment = self.segments[-1]
        try:
            self._open().truncate(segment.size)
        except OSError as failed:
            raise SyncFailedError("truncate log", segment.path, str(failed)) from failed
        if error.errno in DISK_FULL_ERRORS:
            raise DiskFullError("write log", segment.path, str(error)) from error
        raise SyncFailedError("write log", segment.path, str(error)) from error

    def _open(self) -> AppendFile:
        if self._file is None:
            path = self.segments[-1].path
            with storage_errors("open log", path):
                self._file = self.files.append(path)
        return self._file

    def _start_segment(self, reset_index: int | None) -> None:
        number = self.segments[-1].number + 1 if self.segments else 1
        path = f"{self.folder}/{SEGMENT_PREFIX}{number:020d}"
        header = pb.SegmentHeader(
            format_version=FORMAT_VERSION,
            cluster=self.cluster,
            group=self.group,
            hard_state=self.hard_state,
            reset=reset_index is not None,
            base_index=reset_index or 0,
        )
        self.close()
        self.batch += 1
        self.segments.append(Segment(path, number))
        try:
            self._append(
                encode(RecordKind.HEADER, self.batch, header.SerializeToString())
            )
        except DiskFullError:
            self.close()
            self.files.remove(path)
            self.segments.pop()
            raise
        try:
            self.files.sync_folder(self.folder)
        except OSError as error:
            raise SyncFailedError("sync folder", self.folder, str(error)) from error

    def _recover(self) -> None:
        names = [
            n for n in self.files.names(self.folder) if n.startswith(SEGMENT_PREFIX)
        ]
        for name in names:
            path = f"{self.folder}/{name}"
            segment = Segment(path, int(name[len(SEGMENT_PREFIX) :]))
            self._read_segment(segment, is_last=name == names[-1])

    def _read_segment(self, segment: Segment, *, is_last: bool) -> None:
        data = self.files.read(segment.path)
        offset = 0
        for record in decode_records(data):
            self._recover_record(record, segment, offset)
            offset = record.end
        tail = classify_tail(data, offset, self.batch) if is_last else TailState.NOTHING
        if offset < len(data) and tail is not TailState.TORN:
            raise self._damage_error(segment, offset, "a synced record is damaged")
        segment.size = offset
        if offset == 0:
            if not is_last:
                raise self._damage_error(
                    segment, 0, "the segment has no valid record and is not the last"
                )
            self.files.remove(segment.path)
            return
        self.segments.append(segment)
        if tail is TailState.TORN:
            self._truncate_tail(segment)

    def _truncate_tail(self, segment: Segment) -> None:
        file = self._open()
        try:
            file.truncate(segment.size)
            file.sync()
        except OSError as error:
            raise SyncFailedError("truncate log", segment.path, str(error)) from error
        self._append(b"")

    def _recover_record(self, record: Record, segment: Segment, offset: int) -> None:
        self.batch = max(self.batch, record.batch)
        if offset == 0:
            self._recover_header(record, segment)
        elif record.kind == RecordKind.HARD_STATE:
            self.hard_state = pb.HardState.FromString(record.payload)
        elif record.kind == RecordKind.ENTRY:
            self._recover_entry(pb.Entry.FromString(record.payload), segment)
        elif record.kind != RecordKind.PADDING:
            raise self._damage_error(
                segment, offset, f"unknown record kind {record.kind}"
            )

    def _recover_header(self, record: Record, segment: Segment) -> None:
        if record.kind != RecordKind.HEADER:
            raise self._damage_error(segment, 0, "the segment has no header record")
        header = pb.SegmentHeader.FromString(record.payload)
        if header.format_version > FORMAT_VERSION:
            reason = (
                f"format version {header.format_version} is newer than "
                f"{FORMAT_VERSION}; run a newer program"
            )
            raise StorageError("read log", segment.path, reason)
        if (header.cluster, header.group) != (self.cluster, self.group):
            reason = (
                f"the segment belongs to group {header.group} of cluster "
                f"{header.cluster}, expected {self.group} of {self.cluster}"
            )
            raise StorageError("read log", segment.path, reason)
        self.hard_state = header.hard_state
        if header.reset:
            self.entries = []

    def _recover_entry(self, entry: pb.Entry, segment: Segment) -> None:
        """Add an entry that replaces the entries from its index on.

        A gap before the entry comes from removed segments that reappeared after a
        crash; entries before the gap are dropped, and the caller checks that a
        snapshot covers the gap.
        """
        if self.entries:
            kept_count = entry.index - self.entries[0].index
            if kept_count > len(self.entries):
                kept_count = 0
            del self.entries[max(0, kept_count) :]
        self.entries.append(entry)
        segment.last_index = max(segment.last_index, entry.index)

    def _damage_error(self, segment: Segment, offset: int, problem: str) -> DamageError:
        reason = f"{problem} at offset {offset}; repair: {REPAIR_STEPS}"
        return DamageError("read log", segment.path, reason)


def _entry_record(batch: int, entry: pb.Entry) -> bytes:
    return encode(RecordKind.ENTRY, batch, entry.SerializeToString())
