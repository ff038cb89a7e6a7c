"""Reports recorded reclaim notices to the directory actor."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from tanagerturn.coordination.groups import CONTROL_GROUP
from tanagerturn.coordination.ids import Revision
from tanagerturn.entry.directory import ReclaimNotice, ReclaimNoticeEnded
from tanagerturn.schema.serving_pb2 import Reclaim
from tanagerturn.serving.reclaims.notices import RECLAIM_PREFIX

if TYPE_CHECKING:
    import pykka

    from tanagerturn.coordination.client import StateClient, WatchHandle
    from tanagerturn.schema.coordination_pb2 import WatchBatch


class NoticeWatcher:
    """Watches the reclaim notices that the control process records.

    Args:
        client: Client of the replicated store.
        directory: Actor that tracks the backend servers.
    """

    def __init__(self, client: StateClient, directory: pykka.ActorRef[Any]) -> None:
        self.directory = directory
        """Actor that tracks the backend servers."""
        self.targets: set[str] = set()
        """Targets of the notices in effect: zones and backend servers."""
        self.watch: WatchHandle = client.watch(
            CONTROL_GROUP, RECLAIM_PREFIX, Revision(0), self.on_batch
        )
        """Watch on the reclaim records."""

    def stop(self) -> None:
        """Stop the watch."""
        self.watch.stop()

    def on_batch(self, batch: WatchBatch) -> None:
        """Report changed notices; a snapshot also ends the notices that it lacks."""
        if batch.snapshot:
            current_keys = {event.entry.key for event in batch.events}
            for target in [
                t for t in self.targets if RECLAIM_PREFIX + t not in current_keys
            ]:
                self._end_notice(target)
        for event in batch.events:
            target = event.entry.key.removeprefix(RECLAIM_PREFIX)
            reclaim = Reclaim.FromString(event.entry.value)
            if event.deleted or reclaim.called_off:
                self._end_notice(target)
                continue
            self.targets.add(target)
            self.directory.tell(ReclaimNotice(target, reclaim.at_ms))

    def _end_notice(self, target: str) -> None:
        self.targets.discard(target)
        self.directory.tell(ReclaimNoticeEnded(target))
