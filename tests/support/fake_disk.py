"""In-memory disk that loses unsynced data in a crash and injects faults."""

from __future__ import annotations

import errno
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from tanagerturn.coordination.errors import StorageError
from tanagerturn.coordination.storage.records import SECTOR_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random


class SimulatedCrash(BaseException):
    """Simulates a crash of the process at a sync boundary."""


class Fullness(Enum):
    """Which calls of a full disk fail with ENOSPC."""

    WRITES = "writes, after a part of the bytes"
    NEW_FILES = "writes, and the creation of files and folders"
    RENAMES = "writes, and the renaming of files"
    SYNCS = "syncs of files; writes succeed"


@dataclass
class Inode:
    """Content of a file as written (`data`) and as last synced (`synced`)."""

    data: bytearray = field(default_factory=bytearray)
    synced: bytes = b""


class FakeDisk:
    """`Files` in memory.

    Args:
        random: Decides which unsynced data survives a crash.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.inodes: dict[str, Inode] = {}
        self.synced_names: dict[str, Inode] = {}
        self.name_changes: list[tuple[str, Inode | None]] = []
        self.crash_after_boundaries: int | None = None
        """Number of sync boundaries until a crash, None for no crash; a sync has a
        boundary before and after it."""
        self.is_full = False
        self.fullness = Fullness.WRITES
        """Which calls fail while the disk is full."""
        self.full_errno = errno.ENOSPC
        """Error number of the calls that fail while the disk is full."""
        self.syncs_fail = False
        self.is_locked = False

    def crash(self) -> None:
        """Lose all unsynced data except for a random prefix."""
        kept = self.random.randint(0, len(self.name_changes))
        for path, inode in self.name_changes[:kept]:
            _set_entry(self.synced_names, path, inode)
        self.name_changes = []
        self.inodes = dict(self.synced_names)
        for inode in self.inodes.values():
            inode.data = bytearray(self._content_after_crash(inode))
            inode.synced = bytes(inode.data)
        self.crash_after_boundaries = None
        self.syncs_fail = False
        self.is_locked = False

    def need_space(self, *kinds: Fullness) -> None:
        """Raise the error of a full disk if one of these kinds is full now."""
        if self.is_full and self.fullness in kinds:
            raise OSError(self.full_errno, "no space left")

    def on_sync_boundary(self) -> None:
        """Count a sync boundary, and crash if it is the chosen one."""
        if self.crash_after_boundaries is None:
            return
        self.crash_after_boundaries -= 1
        if self.crash_after_boundaries <= 0:
            raise SimulatedCrash

    def set_directory_entry(self, path: str, inode: Inode | None) -> None:
        """Add or replace a directory entry, or remove it when `inode` is None."""
        _set_entry(self.inodes, path, inode)
        self.name_changes.append((path, inode))

    def create_folder(self, path: str) -> None:
        """Do nothing unless the disk is full; folders exist implicitly."""
        if not self.names(path):
            self.need_space(Fullness.NEW_FILES)

    def names(self, folder: str) -> list[str]:
        """Return the sorted names in a folder."""
        start = f"{folder}/" if folder else ""
        rest = [p[len(start) :] for p in self.inodes if p.startswith(start)]
        return sorted(name for name in rest if "/" not in name)

    def size(self, path: str) -> int:
        """Return a file's size in bytes."""
        return len(self.inodes[path].data) if path in self.inodes else 0

    def read(self, path: str, offset: int = 0, size: int = -1) -> bytes:
        """Read a file or a part of it."""
        if path not in self.inodes:
            raise FileNotFoundError(path)
        data = self.inodes[path].data
        end = len(data) if size < 0 else offset + size
        return bytes(data[offset:end])

    def append(self, path: str) -> FakeAppendFile:
        """Open a file for appending."""
        if path not in self.inodes:
            self.need_space(Fullness.NEW_FILES)
            self.set_directory_entry(path, Inode())
        return FakeAppendFile(self, self.inodes[path])

    def rename(self, path: str, new_path: str) -> None:
        """Rename a file."""
        self.need_space(Fullness.RENAMES)
        inode = self.inodes[path]
        self.set_directory_entry(path, None)
        self.set_directory_entry(new_path, inode)

    def remove(self, path: str) -> None:
        """Remove a directory entry."""
        if path in self.inodes:
            self.set_directory_entry(path, None)

    def sync_folder(self, folder: str) -> None:
        """Make the directory entries durable."""
        self.on_sync_boundary()
        for path, inode in self.name_changes:
            _set_entry(self.synced_names, path, inode)
        self.name_changes = []
        self.on_sync_boundary()

    def lock(self, path: str) -> Callable[[], None]:
        """Take the lock and return the function that releases it."""
        if self.is_locked:
            raise StorageError("lock data folder", path, "in use by another process")
        self.is_locked = True
        return self.unlock

    def unlock(self) -> None:
        """Release the lock."""
        self.is_locked = False

    def _content_after_crash(self, inode: Inode) -> bytes:
        written = bytes(inode.data)
        if not written.startswith(inode.synced):
            return inode.synced
        end = self.random.randint(len(inode.synced), len(written))
        kept = bytearray(written[:end])
        if self.random.random() < 0.3:
            _clear_sector(kept, len(inode.synced), self.random)
        return bytes(kept)


class FakeAppendFile:
    """A file of a `FakeDisk` opened for appending."""

    def __init__(self, disk: FakeDisk, inode: Inode) -> None:
        self.disk = disk
        self.inode = inode

    def write(self, data: bytes) -> None:
        """Append bytes, or only a part of them when the disk is full."""
        if self.disk.is_full and self.disk.fullness is not Fullness.SYNCS:
            part = self.disk.random.randint(0, len(data))
            self.inode.data += data[:part]
            raise OSError(self.disk.full_errno, "no space left")
        self.inode.data += data

    def sync(self) -> None:
        """Make the bytes durable, or crash before or after that."""
        self.disk.on_sync_boundary()
        if self.disk.syncs_fail:
            raise OSError(errno.EIO, "input/output error")
        self.disk.need_space(Fullness.SYNCS)
        self.inode.synced = bytes(self.inode.data)
        self.disk.on_sync_boundary()

    def write_synced(self, data: bytes) -> None:
        """Append bytes and make them durable."""
        self.write(data)
        self.sync()

    def truncate(self, size: int) -> None:
        """Truncate the file to a size in bytes."""
        del self.inode.data[size:]

    def close(self) -> None:
        """Do nothing: the file holds no resources."""


def _set_entry(names: dict[str, Inode], path: str, inode: Inode | None) -> None:
    if inode is None:
        names.pop(path, None)
    else:
        names[path] = inode


def _clear_sector(data: bytearray, start: int, random: Random) -> None:
    """Zero one sector after the synced bytes, as if it had not been written."""
    first = (start + SECTOR_BYTES - 1) // SECTOR_BYTES
    if first * SECTOR_BYTES >= len(data):
        return
    sector = random.randint(first, (len(data) - 1) // SECTOR_BYTES)
    end = min(len(data), (sector + 1) * SECTOR_BYTES)
    data[sector * SECTOR_BYTES : end] = bytes(end - sector * SECTOR_BYTES)
