"""Snapshots of one replication group: written, sent, received, loaded."""

from __future__ import annotations

import errno
import struct
from typing import TYPE_CHECKING, Final

import google_crc32c

from tanagerturn.coordination.errors import StorageError
from tanagerturn.coordination.storage.files import (
    DamageError,
    DiskFullError,
    SyncFailedError,
)
from tanagerturn.coordination.storage.segments import FORMAT_VERSION, REPAIR
from tanagerturn.coordination.store import restore
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from tanagerturn.coordination.log.ready import ChunkReceived
    from tanagerturn.coordination.storage.files import AppendFile, Files
    from tanagerturn.coordination.store import Store

LENGTH: Final = struct.Struct("<I")
WRITE_BYTES: Final = 256 * 1024
READ_BYTES: Final = 1024 * 1024
KEPT: Final = 2
"""Snapshots that are kept: the last one, and one that may be on its way."""

PREFIX: Final = "snapshot-"
META_END: Final = ".meta"
DATA_END: Final = ".data"
INCOMING: Final = "incoming"
TEMPORARY: Final = "temporary"


class Snapshots:
    """The snapshot files of one replication group.

    A snapshot is a data file and a small description; it counts once the
    description has its name, which is after both are synced.

    Args:
        files: File operations.
        folder: Folder of the replication group.
    """

    def __init__(self, files: Files, folder: str) -> None:
        self.files = files
        """File operations."""
        self.folder = folder
        """Folder of the replication group."""
        self._incoming: AppendFile | None = None
        for left in (INCOMING, TEMPORARY, TEMPORARY + META_END):
            files.remove(f"{folder}/{left}")

    def newest(self) -> pb.SnapshotMeta | None:
        """Return the description of the newest snapshot, None without one."""
        metas = self._metas()
        return self._read_meta(metas[-1]) if metas else None

    def save(
        self, meta: pb.SnapshotMeta, records: Iterable[pb.StoreRecord]
    ) -> pb.SnapshotMeta:
        """Write a snapshot; returns its description with size and checksum.

        Raises:
            DiskFullError: Nothing stays.
            SyncFailedError: The process must end.
        """
        path = f"{self.folder}/{TEMPORARY}"
        self.files.remove(path)
        checksum = 0
        size = 0
        file = self.files.append(path)
        try:
            for block in _blocks(records):
                self._write(file, path, block)
                checksum = google_crc32c.extend(checksum, block)
                size += len(block)
            self._sync(file, path)
        finally:
            file.close()
        described = pb.SnapshotMeta()
        described.CopyFrom(meta)
        described.format_version = FORMAT_VERSION
        described.size_bytes = size
        described.checksum = checksum
        self._finish(path, described)
        return described

    def load(self, meta: pb.SnapshotMeta) -> Store:
        """Read a snapshot back.

        Raises:
            DamageError: It is damaged; names the file and the repair.
        """
        return self._load(self._data_path(meta), meta)

    def read_chunk(self, meta: pb.SnapshotMeta, offset: int, size: int) -> bytes | None:
        """Read a part of a snapshot, None when it was removed."""
        try:
            return self.files.read(self._data_path(meta), offset, size)
        except OSError:
            return None

    def store_chunk(self, chunk: ChunkReceived) -> None:
        """Add a part of a snapshot that is being received.

        Raises:
            DiskFullError: The disk is full.
        """
        path = f"{self.folder}/{INCOMING}"
        if chunk.offset == 0 or self._incoming is None:
            self.drop_incoming()
            self._incoming = self.files.append(path)
        self._write(self._incoming, path, chunk.data)

    def load_incoming(self, meta: pb.SnapshotMeta) -> Store:
        """Check a received snapshot, keep it and return its store.

        Raises:
            DamageError: It was damaged on its way.
        """
        path = f"{self.folder}/{INCOMING}"
        store = self._load(path, meta)
        assert self._incoming is not None
        self._sync(self._incoming, path)
        self._incoming.close()
        self._incoming = None
        self._finish(path, meta)
        return store

    def drop_incoming(self) -> None:
        """Forget a snapshot that is being received."""
        if self._incoming is not None:
            self._incoming.close()
            self._incoming = None
        self.files.remove(f"{self.folder}/{INCOMING}")

    def _finish(self, path: str, meta: pb.SnapshotMeta) -> None:
        temporary = f"{self.folder}/{TEMPORARY}{META_END}"
        self.files.remove(temporary)
        file = self.files.append(temporary)
        payload = meta.SerializeToString()
        checksum = LENGTH.pack(google_crc32c.value(payload))
        try:
            self._write(file, temporary, checksum + payload)
            self._sync(file, temporary)
        finally:
            file.close()
        self.files.rename(path, self._data_path(meta))
        self._sync_folder()
        self.files.rename(temporary, f"{self.folder}/{_name(meta.index)}{META_END}")
        self._sync_folder()
        for name in self._metas()[:-KEPT]:
            self.files.remove(f"{self.folder}/{name}")
            self.files.remove(f"{self.folder}/{name.removesuffix(META_END)}{DATA_END}")

    def _load(self, path: str, meta: pb.SnapshotMeta) -> Store:
        try:
            self._verify(path, meta)
            return restore(self._records(path, meta))
        except (ValueError, OSError) as error:
            reason = f"{error}; repair: {REPAIR}"
            raise DamageError("read snapshot", path, reason) from error

    def _verify(self, path: str, meta: pb.SnapshotMeta) -> None:
        checksum = 0
        offset = 0
        while block := self.files.read(path, offset, READ_BYTES):
            checksum = google_crc32c.extend(checksum, block)
            offset += len(block)
        if (offset, checksum) != (meta.size_bytes, meta.checksum):
            raise ValueError(f"checksum of {offset} bytes from offset 0 differs")

    def _records(self, path: str, meta: pb.SnapshotMeta) -> Iterator[pb.StoreRecord]:
        offset = 0
        buffer = b""
        while offset < meta.size_bytes:
            block = self.files.read(path, offset, READ_BYTES)
            offset += len(block)
            buffer += block
            position = 0
            while (end := _record_end(buffer, position)) <= len(buffer):
                yield pb.StoreRecord.FromString(buffer[position + LENGTH.size : end])
                position = end
            buffer = buffer[position:]

    def _metas(self) -> list[str]:
        names = self.files.names(self.folder)
        return [n for n in names if n.startswith(PREFIX) and n.endswith(META_END)]

    def _read_meta(self, name: str) -> pb.SnapshotMeta:
        path = f"{self.folder}/{name}"
        data = self.files.read(path)
        payload = data[LENGTH.size :]
        if data[: LENGTH.size] != LENGTH.pack(google_crc32c.value(payload)):
            reason = f"the checksum differs at offset 0; repair: {REPAIR}"
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
        return f"{self.folder}/{_name(meta.index)}{DATA_END}"

    def _write(self, file: AppendFile, path: str, data: bytes) -> None:
        try:
            file.write(data)
        except OSError as error:
            if error.errno in (errno.ENOSPC, errno.EDQUOT):
                raise DiskFullError("write snapshot", path, str(error)) from error
            raise SyncFailedError("write snapshot", path, str(error)) from error

    def _sync(self, file: AppendFile, path: str) -> None:
        try:
            file.sync()
        except OSError as error:
            raise SyncFailedError("sync snapshot", path, str(error)) from error

    def _sync_folder(self) -> None:
        try:
            self.files.sync_folder(self.folder)
        except OSError as error:
            raise SyncFailedError("sync folder", self.folder, str(error)) from error


def _name(index: int) -> str:
    return f"{PREFIX}{index:020d}"


def _blocks(records: Iterable[pb.StoreRecord]) -> Iterator[bytes]:
    parts: list[bytes] = []
    size = 0
    for record in records:
        payload = record.SerializeToString(deterministic=True)
        parts += [LENGTH.pack(len(payload)), payload]
        size += LENGTH.size + len(payload)
        if size >= WRITE_BYTES:
            yield b"".join(parts)
            parts = []
            size = 0
    yield b"".join(parts)


def _record_end(buffer: bytes, position: int) -> int:
    start = position + LENGTH.size
    if start > len(buffer):
        return start
    (length,) = LENGTH.unpack_from(buffer, position)
    return start + int(length)
