"""Actor that writes snapshots on its own thread, so that commits don't wait for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pykka

from tanagerturn.coordination.errors import StorageError
from tanagerturn.coordination.storage.files import DiskFullError
from tanagerturn.state._log import log
from tanagerturn.state.messages import SaveSnapshot, SnapshotSaved

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.coordination.storage.snapshots import Snapshots


class SnapshotWriter(pykka.ThreadingActor):
    """Writes the snapshots of one replication group.

    Args:
        snapshots: Snapshot files of the group.
        on_saved: Called on this actor's thread when a snapshot is stored, or is not
            stored because the disk is full.
        on_fatal: Called with a storage error after which the member can't
            continue.
    """

    use_daemon_thread = True

    def __init__(
        self,
        snapshots: Snapshots,
        on_saved: Callable[[SnapshotSaved], None],
        on_fatal: Callable[[StorageError], None],
    ) -> None:
        super().__init__()
        self.snapshots = snapshots
        """Snapshot files of the group."""
        self.on_saved = on_saved
        """Called when a snapshot is stored, or not stored because the disk is full."""
        self.on_fatal = on_fatal
        """Called with a storage error after which the member can't continue."""

    def on_receive(self, message: object) -> None:
        """Handle `SaveSnapshot`; other messages are ignored."""
        if isinstance(message, SaveSnapshot):
            self.on_save_snapshot(message)

    def on_failure(self, *failure: object) -> None:
        """Report an unexpected error as fatal: the group waits for this actor."""
        reason = f"unexpected error: {failure[1]!r}" if failure else "unexpected error"
        self.on_fatal(StorageError("write snapshot", "", reason))

    def on_save_snapshot(self, message: SaveSnapshot) -> None:
        """Store a snapshot and report the outcome to `on_saved` or `on_fatal`."""
        try:
            meta = self.snapshots.save(message.meta, message.image.records())
        except DiskFullError as error:
            log.warning(
                "Could not store a snapshot because the disk is full: {}.", error
            )
            self.on_saved(SnapshotSaved(None))
        except StorageError as error:
            self.on_fatal(error)
        else:
            self.on_saved(SnapshotSaved(meta))
