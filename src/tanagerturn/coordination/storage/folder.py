"""Data folder of a state member, with its lock and identity file."""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import orjson

from tanagerturn.coordination.errors import StorageError
from tanagerturn.coordination.storage.files import storage_errors
from tanagerturn.coordination.storage.group import GroupStorage

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from tanagerturn.coordination.ids import ClusterId, GroupId, MemberId
    from tanagerturn.coordination.storage.files import Files

FORMAT_VERSION: Final = 1
IDENTITY_FILE: Final = "identity.json"
LOCK_FILE: Final = "lock"


@dataclass
class DataFolder:
    """An open and locked data folder."""

    files: Files
    """File operations in the data folder."""
    cluster: ClusterId
    """Cluster that the folder belongs to."""
    member: MemberId
    """Member that the folder belongs to."""
    incarnation: str
    """Random name that the folder got when it was created; a folder on a new disk gets
    another name."""
    release: Callable[[], None]
    """Releases the lock on the folder."""

    def group(self, group: GroupId) -> GroupStorage:
        """Open the storage of a replication group."""
        return GroupStorage(self.files, self.cluster, group)

    def has_state(self, groups: Iterable[GroupId]) -> bool:
        """Return whether the folder holds state of all the replication groups."""
        folders = [self.files.names(f"group-{group}") for group in groups]
        return all(_has_state(names) for names in folders)

    def close(self) -> None:
        """Release the lock on the folder."""
        self.release()


def open_folder(
    files: Files, cluster: ClusterId, member: MemberId, incarnation: str | None = None
) -> DataFolder:
    """Open or create a member's data folder.

    Args:
        files: File operations in the folder.
        cluster: Name of the cluster of the process.
        member: Id of the state member.
        incarnation: Incarnation of a new folder; random when None.

    Raises:
        StorageError: The folder is in use, belongs to another member or cluster,
            or has another format version.
    """
    release = files.lock(LOCK_FILE)
    try:
        if IDENTITY_FILE not in files.names(""):
            identity = {
                "format": FORMAT_VERSION,
                "cluster": cluster,
                "member": member,
                "incarnation": incarnation or os.urandom(8).hex(),
            }
            write_atomically(files, IDENTITY_FILE, orjson.dumps(identity))
        stored_identity = orjson.loads(files.read(IDENTITY_FILE))
        _check_identity(stored_identity, cluster, member)
    except BaseException:
        release()
        raise
    return DataFolder(files, cluster, member, stored_identity["incarnation"], release)


def _has_state(names: Sequence[str]) -> bool:
    return any(name.startswith("log-") or name.endswith(".meta") for name in names)


def _check_identity(
    stored_identity: dict[str, object], cluster: str, member: str
) -> None:
    if stored_identity["format"] != FORMAT_VERSION:
        reason = (
            f"the folder has format version {stored_identity['format']}, "
            f"expected {FORMAT_VERSION}"
        )
        raise StorageError("open data folder", IDENTITY_FILE, reason)
    if (stored_identity["cluster"], stored_identity["member"]) != (cluster, member):
        reason = (
            f"the folder belongs to {stored_identity['member']} of cluster "
            f"{stored_identity['cluster']}, not to {member} of {cluster}"
        )
        raise StorageError("open data folder", IDENTITY_FILE, reason)


def write_atomically(files: Files, path: str, data: bytes) -> None:
    """Replace a file, so that after a crash it has either content.

    Raises:
        DiskFullError: There is no room; the file has either content.
        SyncFailedError: The file can't be written.
    """
    temporary = f"{path}.temporary"
    with storage_errors("write file", path):
        files.remove(temporary)
        file = files.append(temporary)
        try:
            file.write(data)
            file.sync()
        finally:
            file.close()
        files.rename(temporary, path)
        files.sync_folder("")
