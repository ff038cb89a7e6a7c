"""Tells the directory of the reclaim notices that the control process records."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from tanagerturn.coordination.groups import CONTROL_GROUP
from tanagerturn.coordination.ids import Revision
from tanagerturn.entry.directory import Notice, NoticeEnded
from tanagerturn.schema.serving_pb2 import Reclaim
from tanagerturn.serving.reclaims.notices import RECLAIM_PREFIX

if TYPE_CHECKING:
    import pykka

    from tanagerturn.coordination.client import StateClient, WatchHandle
    from tanagerturn.schema.coordination_pb2 import WatchBatch


class NoticeWatcher:
    """Watches the records of reclaims.

    Args:
        client: Calls to the replicated store.
        directory: Actor that knows the backend servers.
    """

    def __init__(self, client: StateClient, directory: pykka.ActorRef[Any]) -> None:
        self.directory = directory
        """Actor that knows the backend servers."""
        self.targets: set[str] = set()
        """Targets of the records that stand."""
        self.watch: WatchHandle = client.watch(
            CONTROL_GROUP, RECLAIM_PREFIX, Revision(0), self.on_batch
        )
        """The running watch."""

    def stop(self) -> None:
        """End the watch."""
        self.watch.stop()

    def on_batch(self, batch: WatchBatch) -> None:
        """Pass on what changed; a full copy also ends what is not in it."""
        if batch.snapshot:
            kept = {event.entry.key for event in batch.events}
            for target in [t for t in self.targets if RECLAIM_PREFIX + t not in kept]:
                self._end(target)
        for event in batch.events:
            target = event.entry.key.removeprefix(RECLAIM_PREFIX)
            reclaim = Reclaim.FromString(event.entry.value)
            if event.deleted or reclaim.called_off:
                self._end(target)
                continue
            self.targets.add(target)
            self.directory.tell(Notice(target, reclaim.at_ms))

    def _end(self, target: str) -> None:
        self.targets.discard(target)
        self.directory.tell(NoticeEnded(target))
