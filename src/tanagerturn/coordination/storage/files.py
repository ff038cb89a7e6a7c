"""The few file operations that storage needs, and their disk version."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import TYPE_CHECKING, Protocol

from tanagerturn.coordination.errors import StorageError

if TYPE_CHECKING:
    from collections.abc import Callable


class DiskFullError(StorageError):
    """The disk is full; nothing of the write stays."""


class SyncFailedError(StorageError):
    """A sync failed: what the file holds is unknown, the process must end."""


class DamageError(StorageError):
    """A file is damaged; the reason names file, offset and repair."""


class AppendFile(Protocol):
    """A file that is written at its end."""

    def write(self, data: bytes) -> None:
        """Add bytes; lasting only after `sync`. Raises OSError."""

    def sync(self) -> None:
        """Make all written bytes last. Raises OSError."""

    def write_synced(self, data: bytes) -> None:
        """Add bytes and make them last; bytes before are synced already.

        Raises OSError; then a part of the bytes may have been added.
        """

    def truncate(self, size: int) -> None:
        """Cut the file to a size in bytes. Raises OSError."""

    def close(self) -> None:
        """Close the file without a sync."""


class Files(Protocol):
    """File operations below one data folder; paths use slashes."""

    def make_folder(self, path: str) -> None:
        """Make a folder that may exist, and make its name last."""

    def names(self, folder: str) -> list[str]:
        """Return the names in a folder, in order; none when it is absent."""
        ...

    def size(self, path: str) -> int:
        """Return a file's size in bytes, 0 when it is absent."""
        ...

    def read(self, path: str, offset: int = 0, size: int = -1) -> bytes:
        """Read a file or a part of it. Raises OSError."""
        ...

    def append(self, path: str) -> AppendFile:
        """Open a file for writing at its end; it is made when absent."""
        ...

    def rename(self, path: str, new_path: str) -> None:
        """Rename a file, replacing the target; lasts after `sync_folder`."""

    def remove(self, path: str) -> None:
        """Remove a file that may be absent."""

    def sync_folder(self, folder: str) -> None:
        """Make the names in a folder last. Raises OSError."""

    def lock(self, path: str) -> Callable[[], None]:
        """Take an exclusive lock and return its release.

        Raises:
            StorageError: Another process has it.
        """
        ...


class DiskAppendFile:
    """An `AppendFile` on disk.

    Args:
        path: File to open.
    """

    def __init__(self, path: Path) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        self.descriptor = os.open(path, flags, 0o600)
        """Open file descriptor."""

    def write(self, data: bytes) -> None:
        """Add bytes."""
        view = memoryview(data)
        while view:
            view = view[os.write(self.descriptor, view) :]

    def sync(self) -> None:
        """Make all written bytes last."""
        os.fdatasync(self.descriptor)

    def write_synced(self, data: bytes) -> None:
        """Add bytes and make them last."""
        self.write(data)
        self.sync()

    def truncate(self, size: int) -> None:
        """Cut the file."""
        os.ftruncate(self.descriptor, size)

    def close(self) -> None:
        """Close the file."""
        os.close(self.descriptor)


class DiskFiles:
    """`Files` on disk.

    Args:
        folder: The data folder; made when absent.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        """The data folder."""
        folder.mkdir(parents=True, exist_ok=True)

    def make_folder(self, path: str) -> None:
        """Make a folder."""
        made = self.folder / path
        made.mkdir(parents=True, exist_ok=True)
        self.sync_folder(str(Path(path).parent))

    def names(self, folder: str) -> list[str]:
        """Return the names in a folder."""
        path = self.folder / folder
        return sorted(p.name for p in path.iterdir()) if path.is_dir() else []

    def size(self, path: str) -> int:
        """Return a file's size in bytes."""
        full = self.folder / path
        return full.stat().st_size if full.exists() else 0

    def read(self, path: str, offset: int = 0, size: int = -1) -> bytes:
        """Read a file or a part of it."""
        with (self.folder / path).open("rb") as file:
            file.seek(offset)
            return file.read(size)

    def append(self, path: str) -> DiskAppendFile:
        """Open a file for writing at its end."""
        return DiskAppendFile(self.folder / path)

    def rename(self, path: str, new_path: str) -> None:
        """Rename a file."""
        (self.folder / path).replace(self.folder / new_path)

    def remove(self, path: str) -> None:
        """Remove a file."""
        (self.folder / path).unlink(missing_ok=True)

    def sync_folder(self, folder: str) -> None:
        """Make the names in a folder last."""
        descriptor = os.open(self.folder / folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def lock(self, path: str) -> Callable[[], None]:
        """Take an exclusive lock."""
        file = (self.folder / path).open("a+b")
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            file.close()
            reason = "the data folder is in use by another process"
            raise StorageError("lock data folder", str(self.folder), reason) from error
        return file.close
