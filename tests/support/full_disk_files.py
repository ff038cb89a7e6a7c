"""Files of a data folder on a disk that can be full."""

from __future__ import annotations

import errno
import os
from typing import TYPE_CHECKING

from soak.faulty_gateway import FullDisk
from tanagerturn.coordination.storage.files import DiskAppendFile, DiskFiles

if TYPE_CHECKING:
    from pathlib import Path


class FullDiskFiles(DiskFiles):
    """`DiskFiles` whose calls fail as those of a process whose disk is full."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.fullness = FullDisk.NO
        """Which calls fail."""

    def need_space(self, *kinds: FullDisk) -> None:
        """Raise the error of a full disk if one of these kinds is full now."""
        if self.fullness in kinds:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def create_folder(self, path: str) -> None:
        """Create a folder unless it exists."""
        self.need_space(FullDisk.NEW_FILES)
        super().create_folder(path)

    def append(self, path: str) -> DiskAppendFile:
        """Open a file for appending; create the file when absent."""
        if not (self.folder / path).exists():
            self.need_space(FullDisk.NEW_FILES)
        return FullDiskAppendFile(self, self.folder / path)

    def rename(self, path: str, new_path: str) -> None:
        """Rename a file."""
        self.need_space(FullDisk.NEW_FILES)
        super().rename(path, new_path)


class FullDiskAppendFile(DiskAppendFile):
    """A file on a disk that can be full."""

    def __init__(self, files: FullDiskFiles, path: Path) -> None:
        super().__init__(path)
        self.files = files
        """Files that the file belongs to."""

    def write(self, data: bytes) -> None:
        """Append bytes, or only a part of them when the disk is full."""
        if self.files.fullness in (FullDisk.WRITES, FullDisk.NEW_FILES):
            super().write(data[: len(data) // 2])
            self.files.need_space(self.files.fullness)
        super().write(data)

    def sync(self) -> None:
        """Make all written bytes durable."""
        self.files.need_space(FullDisk.SYNCS)
        super().sync()
