"""File operations of the storage, and their implementation on disk."""

from __future__ import annotations

import errno
import fcntl
import os
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Final, Protocol

from tanagerturn.coordination.errors import StorageError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

DISK_FULL_ERRORS: Final = frozenset({errno.ENOSPC, errno.EDQUOT})
"""Error numbers of calls that succeed once there is room again."""


class DiskFullError(StorageError):
    """The disk is full; the file is as it was before the write."""


class SyncFailedError(StorageError):
    """A sync failed: the durable content is unknown and the process must exit."""


class DamageError(StorageError):
    """A file is damaged; the reason holds the byte offset and the steps of repair."""


@contextmanager
def storage_errors(step: str, path: str) -> Iterator[None]:
    """Raise the system error of a call as an error of the storage.

    Args:
        step: What is attempted, as a short verb phrase.
        path: Path of the file.

    Raises:
        DiskFullError: There is no room.
        SyncFailedError: The call failed otherwise.
    """
    try:
        yield
    except OSError as error:
        is_full = error.errno in DISK_FULL_ERRORS
        kind = DiskFullError if is_full else SyncFailedError
        raise kind(step, path, str(error)) from error


class AppendFile(Protocol):
    """A file opened for appending."""

    def write(self, data: bytes) -> None:
        """Append bytes, which are durable only after `sync`. Raises OSError."""

    def sync(self) -> None:
        """Make all written bytes durable. Raises OSError."""

    def write_synced(self, data: bytes) -> None:
        """Append bytes and make them durable; all earlier bytes must be durable.

        Raises OSError; some of the bytes may have been appended then.
        """

    def truncate(self, size: int) -> None:
        """Truncate the file to a size in bytes. Raises OSError."""

    def close(self) -> None:
        """Close the file without a sync."""


class Files(Protocol):
    """File operations in one data folder; paths are relative and use slashes."""

    def create_folder(self, path: str) -> None:
        """Create a folder unless it exists, and make its directory entry durable."""

    def names(self, folder: str) -> list[str]:
        """Return the sorted names in a folder; empty when it doesn't exist."""
        ...

    def size(self, path: str) -> int:
        """Return a file's size in bytes; 0 when the file doesn't exist."""
        ...

    def read(self, path: str, offset: int = 0, size: int = -1) -> bytes:
        """Read `size` bytes from a byte offset; -1 reads to the end. Raises OSError."""
        ...

    def append(self, path: str) -> AppendFile:
        """Open a file for appending; create the file when absent."""
        ...

    def rename(self, path: str, new_path: str) -> None:
        """Rename a file, replacing the target; durable only after `sync_folder`."""

    def remove(self, path: str) -> None:
        """Remove a file; without effect when the file doesn't exist."""

    def sync_folder(self, folder: str) -> None:
        """Make the directory entries in a folder durable. Raises OSError."""

    def lock(self, path: str) -> Callable[[], None]:
        """Take an exclusive lock and return the function that releases it.

        Raises:
            StorageError: Another process holds the lock.
        """
        ...


class DiskAppendFile:
    """`AppendFile` on disk.

    Args:
        path: Path of the file to open; the file is created when absent.
    """

    def __init__(self, path: Path) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        self.descriptor = os.open(path, flags, 0o600)
        """Open file descriptor."""

    def write(self, data: bytes) -> None:
        """Append bytes."""
        view = memoryview(data)
        while view:
            view = view[os.write(self.descriptor, view) :]

    def sync(self) -> None:
        """Make all written bytes durable."""
        os.fdatasync(self.descriptor)

    def write_synced(self, data: bytes) -> None:
        """Append bytes and make them durable."""
        self.write(data)
        self.sync()

    def truncate(self, size: int) -> None:
        """Truncate the file to a size in bytes."""
        os.ftruncate(self.descriptor, size)

    def close(self) -> None:
        """Close the file."""
        os.close(self.descriptor)


class DiskFiles:
    """`Files` on disk.

    Args:
        folder: Path of the data folder; the folder is created when absent.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        """Path of the data folder."""
        folder.mkdir(parents=True, exist_ok=True)

    def create_folder(self, path: str) -> None:
        """Create a folder unless it exists, and make its directory entry durable."""
        created = self.folder / path
        created.mkdir(parents=True, exist_ok=True)
        self.sync_folder(str(Path(path).parent))

    def names(self, folder: str) -> list[str]:
        """Return the sorted names in a folder; empty when the folder doesn't exist."""
        path = self.folder / folder
        return sorted(p.name for p in path.iterdir()) if path.is_dir() else []

    def size(self, path: str) -> int:
        """Return a file's size in bytes; 0 when the file doesn't exist."""
        full_path = self.folder / path
        return full_path.stat().st_size if full_path.exists() else 0

    def read(self, path: str, offset: int = 0, size: int = -1) -> bytes:
        """Read `size` bytes from a byte offset on; -1 reads to the end of the file."""
        with (self.folder / path).open("rb") as file:
            file.seek(offset)
            return file.read(size)

    def append(self, path: str) -> DiskAppendFile:
        """Open a file for appending; create the file when absent."""
        return DiskAppendFile(self.folder / path)

    def rename(self, path: str, new_path: str) -> None:
        """Rename a file, replacing an existing one."""
        (self.folder / path).replace(self.folder / new_path)

    def remove(self, path: str) -> None:
        """Remove a file; without effect when the file doesn't exist."""
        (self.folder / path).unlink(missing_ok=True)

    def sync_folder(self, folder: str) -> None:
        """Make the directory entries in a folder durable."""
        descriptor = os.open(self.folder / folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def lock(self, path: str) -> Callable[[], None]:
        """Take an exclusive lock and return the function that releases it."""
        file = (self.folder / path).open("a+b")
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            file.close()
            reason = "the data folder is in use by another process"
            raise StorageError("lock data folder", str(self.folder), reason) from error
        return file.close
