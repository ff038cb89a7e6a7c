"""The actor that writes snapshots, so that commits don't wait for them."""

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
        snapshots: Files.
        on_saved: Called with the outcome, from this actor's thread.
        on_fatal: Called when the disk can't be trusted any more.
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
        """Files."""
        self.on_saved = on_saved
        """Called with the outcome."""
        self.on_fatal = on_fatal
        """Called on a failed sync."""

    def on_receive(self, message: object) -> None:
        """Dispatch a message."""
        if isinstance(message, SaveSnapshot):
            self.on_save_snapshot(message)

    def on_save_snapshot(self, message: SaveSnapshot) -> None:
        """Store a snapshot and tell the owner."""
        try:
            meta = self.snapshots.save(message.meta, message.image.records())
        except DiskFullError as error:
            log.warning("Snapshot not stored: {}.", error)
            self.on_saved(SnapshotSaved(None))
        except StorageError as error:
            self.on_fatal(error)
        else:
            self.on_saved(SnapshotSaved(meta))
