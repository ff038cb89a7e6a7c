"""A disk in memory that forgets what was not synced, and fails on demand."""

from __future__ import annotations

import errno
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tanagerturn.coordination.errors import StorageError
from tanagerturn.coordination.storage.records import SECTOR_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random


class SimulatedCrash(BaseException):
    """The process ends here."""


@dataclass
class Inode:
    """Content of a file, as written and as synced."""

    data: bytearray = field(default_factory=bytearray)
    synced: bytes = b""


class FakeDisk:
    """`Files` in memory.

    Args:
        random: Decides what of the unsynced bytes a crash leaves.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.inodes: dict[str, Inode] = {}
        self.synced_names: dict[str, Inode] = {}
        self.name_changes: list[tuple[str, Inode | None]] = []
        self.crash_in: int | None = None
        """Sync boundaries until a crash; each sync has one before and after."""
        self.is_full = False
        self.is_failing = False
        self.is_locked = False

    def crash(self) -> None:
        """Forget what was not synced, but for a random part of it."""
        kept = self.random.randint(0, len(self.name_changes))
        for path, inode in self.name_changes[:kept]:
            _change(self.synced_names, path, inode)
        self.name_changes = []
        self.inodes = dict(self.synced_names)
        for inode in self.inodes.values():
            inode.data = bytearray(self._torn(inode))
            inode.synced = bytes(inode.data)
        self.crash_in = None
        self.is_failing = False
        self.is_locked = False

    def boundary(self) -> None:
        """Count a sync boundary, and crash when the last one is reached."""
        if self.crash_in is None:
            return
        self.crash_in -= 1
        if self.crash_in <= 0:
            raise SimulatedCrash

    def change_name(self, path: str, inode: Inode | None) -> None:
        """Give a file a name, or take one away."""
        _change(self.inodes, path, inode)
        self.name_changes.append((path, inode))

    def make_folder(self, path: str) -> None:
        """Folders need no making."""

    def names(self, folder: str) -> list[str]:
        """Return the names in a folder."""
        start = f"{folder}/" if folder else ""
        rest = [p[len(start) :] for p in self.inodes if p.startswith(start)]
        return sorted(name for name in rest if "/" not in name)

    def size(self, path: str) -> int:
        """Return a file's size."""
        return len(self.inodes[path].data) if path in self.inodes else 0

    def read(self, path: str, offset: int = 0, size: int = -1) -> bytes:
        """Read a file or a part of it."""
        if path not in self.inodes:
            raise FileNotFoundError(path)
        data = self.inodes[path].data
        end = len(data) if size < 0 else offset + size
        return bytes(data[offset:end])

    def append(self, path: str) -> FakeAppendFile:
        """Open a file for writing at its end."""
        if path not in self.inodes:
            self.change_name(path, Inode())
        return FakeAppendFile(self, self.inodes[path])

    def rename(self, path: str, new_path: str) -> None:
        """Rename a file."""
        inode = self.inodes[path]
        self.change_name(path, None)
        self.change_name(new_path, inode)

    def remove(self, path: str) -> None:
        """Remove a name."""
        if path in self.inodes:
            self.change_name(path, None)

    def sync_folder(self, folder: str) -> None:
        """Make the names last."""
        self.boundary()
        for path, inode in self.name_changes:
            _change(self.synced_names, path, inode)
        self.name_changes = []
        self.boundary()

    def lock(self, path: str) -> Callable[[], None]:
        """Take the lock."""
        if self.is_locked:
            raise StorageError("lock data folder", path, "in use by another process")
        self.is_locked = True
        return self.unlock

    def unlock(self) -> None:
        """Release the lock."""
        self.is_locked = False

    def _torn(self, inode: Inode) -> bytes:
        written = bytes(inode.data)
        if not written.startswith(inode.synced):
            return inode.synced
        end = self.random.randint(len(inode.synced), len(written))
        kept = bytearray(written[:end])
        if self.random.random() < 0.3:
            _clear_sector(kept, len(inode.synced), self.random)
        return bytes(kept)


class FakeAppendFile:
    """A file of a `FakeDisk` that is written at its end."""

    def __init__(self, disk: FakeDisk, inode: Inode) -> None:
        self.disk = disk
        self.inode = inode

    def write(self, data: bytes) -> None:
        """Add bytes, or a part of them when the disk is full."""
        if self.disk.is_full:
            part = self.disk.random.randint(0, len(data))
            self.inode.data += data[:part]
            raise OSError(errno.ENOSPC, "no space left")
        self.inode.data += data

    def sync(self) -> None:
        """Make the bytes last, or crash before or after."""
        self.disk.boundary()
        if self.disk.is_failing:
            raise OSError(errno.EIO, "input/output error")
        self.inode.synced = bytes(self.inode.data)
        self.disk.boundary()

    def write_synced(self, data: bytes) -> None:
        """Add bytes and make them last."""
        self.write(data)
        self.sync()

    def truncate(self, size: int) -> None:
        """Cut the file."""
        del self.inode.data[size:]

    def close(self) -> None:
        """Nothing to release."""


def _change(names: dict[str, Inode], path: str, inode: Inode | None) -> None:
    if inode is None:
        names.pop(path, None)
    else:
        names[path] = inode


def _clear_sector(data: bytearray, start: int, random: Random) -> None:
    """Leave one sector after the synced bytes unwritten."""
    first = (start + SECTOR_BYTES - 1) // SECTOR_BYTES
    if first * SECTOR_BYTES >= len(data):
        return
    sector = random.randint(first, (len(data) - 1) // SECTOR_BYTES)
    end = min(len(data), (sector + 1) * SECTOR_BYTES)
    data[sector * SECTOR_BYTES : end] = bytes(end - sector * SECTOR_BYTES)
