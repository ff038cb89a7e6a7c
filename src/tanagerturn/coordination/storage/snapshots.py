"""Snapshot files of one replication group: saved, loaded, sent and received."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Final

import google_crc32c

from tanagerturn.coordination.errors import StorageError
from tanagerturn.coordination.storage.files import (
    DamageError,
    DiskFullError,
    SyncFailedError,
    storage_errors,
)
from tanagerturn.coordination.storage.segments import FORMAT_VERSION, REPAIR_STEPS
from tanagerturn.coordination.store import restore
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from tanagerturn.coordination.log.ready import ReceivedChunk
    from tanagerturn.coordination.storage.files import AppendFile, Files
    from tanagerturn.coordination.store import Store

LENGTH_FIELD: Final = struct.Struct("<I")
WRITE_BYTES: Final = 256 * 1024
READ_BYTES: Final = 1024 * 1024
KEPT_SNAPSHOTS: Final = 2
"""Number of snapshots to retain: the newest, and the previous snapshot, which may be in
transfer to another member."""

SNAPSHOT_PREFIX: Final = "snapshot-"
META_SUFFIX: Final = ".meta"
DATA_SUFFIX: Final = ".data"
INCOMING: Final = "incoming"
TEMPORARY: Final = "temporary"


class Snapshots:
    """Snapshot files of one replication group.

    A snapshot is a data file and a small metadata file. A snapshot is valid once the
    metadata file has its final name, which it gets after both files are synced.

    Args:
        files: File operations in the data folder.
        folder: Path of the group's folder, relative to the data folder.
    """

    def __init__(self, files: Files, folder: str) -> None:
        self.files = files
        """File operations in the data folder."""
        self.folder = folder
        """Path of the group's folder, relative to the data folder."""
        self._incoming: AppendFile | None = None
        for leftover in (INCOMING, TEMPORARY, TEMPORARY + META_SUFFIX):
            files.remove(f"{folder}/{leftover}")

    def newest(self) -> pb.SnapshotMeta | None:
        """Return the metadata of the newest snapshot; None when there is none."""
        metas = self._meta_names()
        return self._read_meta(metas[-1]) if metas else None

    def save(
        self, meta: pb.SnapshotMeta, records: Iterable[pb.StoreRecord]
    ) -> pb.SnapshotMeta:
        """Write a snapshot and return its metadata with size and checksum.

        Args:
            meta: Index, term and membership of the snapshot.
            records: Records of the store at that index.

        Raises:
            DiskFullError: The snapshot was not stored.
            SyncFailedError: The process must exit.
        """
        path = f"{self.folder}/{TEMPORARY}"
        try:
            stored_meta = self._write_data(path, meta, records)
            self._publish(path, stored_meta)
        except StorageError:
            # A part of a snapshot must not take the room that the log needs.
            self.files.remove(path)
            raise
        return stored_meta

    def _write_data(
        self, path: str, meta: pb.SnapshotMeta, records: Iterable[pb.StoreRecord]
    ) -> pb.SnapshotMeta:
        checksum = 0
        size = 0
        file = self._create(path)
        try:
            for block in _encode_blocks(records):
                self._write(file, path, block)
                checksum = google_crc32c.extend(checksum, block)
                size += len(block)
            self._sync(file, path)
        finally:
            file.close()
        stored_meta = pb.SnapshotMeta()
        stored_meta.CopyFrom(meta)
        stored_meta.format_version = FORMAT_VERSION
        stored_meta.size_bytes = size
        stored_meta.checksum = checksum
        return stored_meta

    def load(self, meta: pb.SnapshotMeta) -> Store:
        """Return the store of a snapshot.

        Raises:
            DamageError: The snapshot is damaged.
        """
        return self._verify_and_load(self._data_path(meta), meta)

    def read_chunk(self, meta: pb.SnapshotMeta, offset: int, size: int) -> bytes | None:
        """Read up to `size` bytes from a byte offset of a snapshot's data file.

        Returns:
            The bytes; None when the file can't be read, for example after its removal.
        """
        try:
            return self.files.read(self._data_path(meta), offset, size)
        except OSError:
            return None

    def store_chunk(self, chunk: ReceivedChunk) -> None:
        """Append a chunk of a snapshot that is being received.

        Raises:
            DiskFullError: The disk is full; the received part is discarded.
        """
        path = f"{self.folder}/{INCOMING}"
        try:
            if chunk.offset == 0 or self._incoming is None:
                self.drop_incoming()
                self._incoming = self._create(path)
            self._write(self._incoming, path, chunk.data)
        except DiskFullError:
            self.drop_incoming()
            raise

    def load_incoming(self, meta: pb.SnapshotMeta) -> Store:
        """Verify a received snapshot, make it valid and return its store.

        Raises:
            DamageError: The received snapshot is damaged.
            DiskFullError: The disk is full; the received snapshot is discarded.
        """
        path = f"{self.folder}/{INCOMING}"
        store = self._verify_and_load(path, meta)
        assert self._incoming is not None
        try:
            self._sync(self._incoming, path)
            self._publish(path, meta)
        finally:
            self.drop_incoming()
        return store

    def drop_incoming(self) -> None:
        """Discard a snapshot that is being received."""
        if self._incoming is not None:
            self._incoming.close()
            self._incoming = None
        self.files.remove(f"{self.folder}/{INCOMING}")

    def _publish(self, path: str, meta: pb.SnapshotMeta) -> None:
        temporary = f"{self.folder}/{TEMPORARY}{META_SUFFIX}"
        try:
            self._write_meta(temporary, meta)
            self._rename(path, self._data_path(meta))
            self._sync_folder()
            final = f"{self.folder}/{_snapshot_name(meta.index)}{META_SUFFIX}"
            self._rename(temporary, final)
        except StorageError:
            self.files.remove(temporary)
            self._remove_data_without_meta()
            raise
        self._sync_folder()
        for name in self._meta_names()[:-KEPT_SNAPSHOTS]:
            self.files.remove(f"{self.folder}/{name}")
        self._remove_data_without_meta()

    def _write_meta(self, path: str, meta: pb.SnapshotMeta) -> None:
        file = self._create(path)
        payload = meta.SerializeToString()
        checksum = LENGTH_FIELD.pack(google_crc32c.value(payload))
        try:
            self._write(file, path, checksum + payload)
            self._sync(file, path)
        finally:
            file.close()

    def _remove_data_without_meta(self) -> None:
        kept = {name.removesuffix(META_SUFFIX) for name in self._meta_names()}
        for name in self.files.names(self.folder):
            is_data = name.startswith(SNAPSHOT_PREFIX) and name.endswith(DATA_SUFFIX)
            if is_data and name.removesuffix(DATA_SUFFIX) not in kept:
                self.files.remove(f"{self.folder}/{name}")

    def _create(self, path: str) -> AppendFile:
        self.files.remove(path)
        with storage_errors("create snapshot", path):
            return self.files.append(path)

    def _rename(self, path: str, new_path: str) -> None:
        with storage_errors("rename snapshot", path):
            self.files.rename(path, new_path)

    def _verify_and_load(self, path: str, meta: pb.SnapshotMeta) -> Store:
        try:
            self._verify(path, meta)
            return restore(self._read_records(path, meta))
        except (ValueError, OSError) as error:
            reason = f"{error}; repair: {REPAIR_STEPS}"
            raise DamageError("read snapshot", path, reason) from error

    def _verify(self, path: str, meta: pb.SnapshotMeta) -> None:
        checksum = 0
        offset = 0
        while block := self.files.read(path, offset, READ_BYTES):
            checksum = google_crc32c.extend(checksum, block)
            offset += len(block)
        if (offset, checksum) != (meta.size_bytes, meta.checksum):
            raise ValueError(
                f"the {offset} bytes from offset 0 have checksum {checksum}, expected "
                f"{meta.size_bytes} bytes with checksum {meta.checksum}"
            )

    def _read_records(
        self, path: str, meta: pb.SnapshotMeta
    ) -> Iterator[pb.StoreRecord]:
        offset = 0
        buffer = b""
        while offset < meta.size_bytes:
            block = self.files.read(path, offset, READ_BYTES)
            offset += len(block)
            buffer += block
            position = 0
            while (end := _record_end(buffer, position)) <= len(buffer):
                yield pb.StoreRecord.FromString(
                    buffer[position + LENGTH_FIELD.size : end]
                )
                position = end
            buffer = buffer[position:]

    def _meta_names(self) -> list[str]:
        names = self.files.names(self.folder)
        return [
            n
            for n in names
            if n.startswith(SNAPSHOT_PREFIX) and n.endswith(META_SUFFIX)
        ]

    def _read_meta(self, name: str) -> pb.SnapshotMeta:
        path = f"{self.folder}/{name}"
        data = self.files.read(path)
        payload = data[LENGTH_FIELD.size :]
        if data[: LENGTH_FIELD.size] != LENGTH_FIELD.pack(google_crc32c.value(payload)):
            reason = f"metadata checksum mismatch at offset 0; repair: {REPAIR_STEPS}"
            raise DamageError("read snapshot", path, reason)
        meta = pb.SnapshotMeta.FromString(payload)
        if meta.format_version > FORMAT_VERSION:
            reason = (
                f"format version {meta.format_version} is newer than "
                f"{FORMAT_VERSION}; run a newer program"
            )
            raise StorageError("read snapshot", path, reason)
        return meta

    def _data_path(self, meta: pb.SnapshotMeta) -> str:
        return f"{self.folder}/{_snapshot_name(meta.index)}{DATA_SUFFIX}"

    def _write(self, file: AppendFile, path: str, data: bytes) -> None:
        with storage_errors("write snapshot", path):
            file.write(data)

    def _sync(self, file: AppendFile, path: str) -> None:
        with storage_errors("sync snapshot", path):
            file.sync()

    def _sync_folder(self) -> None:
        try:
            self.files.sync_folder(self.folder)
        except OSError as error:
            raise SyncFailedError("sync folder", self.folder, str(error)) from error


def _snapshot_name(index: int) -> str:
    return f"{SNAPSHOT_PREFIX}{index:020d}"


def _encode_blocks(records: Iterable[pb.StoreRecord]) -> Iterator[bytes]:
    parts: list[bytes] = []
    size = 0
    for record in records:
        payload = record.SerializeToString(deterministic=True)
        parts += [LENGTH_FIELD.pack(len(payload)), payload]
        size += LENGTH_FIELD.size + len(payload)
        if size >= WRITE_BYTES:
            yield b"".join(parts)
            parts = []
            size = 0
    yield b"".join(parts)


def _record_end(buffer: bytes, position: int) -> int:
    start = position + LENGTH_FIELD.size
    if start > len(buffer):
        return start
    (length,) = LENGTH_FIELD.unpack_from(buffer, position)
    return start + int(length)
