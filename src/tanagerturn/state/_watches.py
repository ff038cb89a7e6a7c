"""Watch streams that a state member serves from its applied state."""

from __future__ import annotations

import queue
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from tanagerturn.coordination.store import Store
    from tanagerturn.schema import coordination_pb2 as pb

MAX_QUEUED_BATCHES: Final = 256
"""Largest number of batches queued for one watch stream. The stream of a client that
reads too slowly is ended at this limit, and the client reconnects."""


class Watcher:
    """Watch stream to one client, with its queue of batches.

    Args:
        prefix: Prefix of the watched keys; empty for all keys.
        after_revision: Store revision up to which the client has received events.
    """

    def __init__(self, prefix: str, after_revision: int) -> None:
        self.prefix = prefix
        """Prefix of the watched keys; empty for all keys."""
        self.revision = after_revision
        """Store revision up to which batches were queued."""
        self.batches: queue.SimpleQueue[pb.WatchBatch | None] = queue.SimpleQueue()
        """Batches to send; None ends the stream."""
        self.is_ended = False
        """Whether the end of the stream is queued; batches before it are still sent."""

    def offer(self, batch: pb.WatchBatch) -> None:
        """Queue a batch; end the stream instead if its queue is full."""
        if self.batches.qsize() >= MAX_QUEUED_BATCHES:
            self.end()
            return
        self.revision = batch.revision
        self.batches.put(batch)

    def end(self) -> None:
        """End the stream once the queued batches are sent."""
        self.is_ended = True
        self.batches.put(None)


class Watches:
    """All watch streams of one replication group at one member."""

    def __init__(self) -> None:
        self.watchers: list[Watcher] = []
        """Open watch streams."""
        self.revision = 0
        """Store revision at the last call of `notify`."""

    def add(self, watcher: Watcher, store: Store) -> None:
        """Add a watch stream and queue the events that its client has not received.

        If the client has received events of a later revision than this member has
        applied, nothing is queued until the member has passed that revision: the
        client must not see an older state.
        """
        self.watchers.append(watcher)
        if watcher.revision <= store.revision:
            watcher.offer(store.batch_since(watcher.prefix, watcher.revision))

    def remove(self, watcher: Watcher) -> None:
        """Remove a watch stream."""
        self.watchers = [other for other in self.watchers if other is not watcher]

    def end_all(self) -> None:
        """End all watch streams, because this member may lack committed events."""
        for watcher in self.watchers:
            watcher.end()
        self.watchers = []

    def notify(self, store: Store) -> None:
        """Queue the events applied since the last call to their watch streams."""
        if store.revision == self.revision:
            return
        previous_revision, self.revision = self.revision, store.revision
        if not self.watchers:
            return
        new_batch = store.batch_since("", previous_revision)
        for watcher in self.watchers:
            if watcher.revision >= store.revision:
                continue
            if new_batch.snapshot or _has_event_under(watcher.prefix, new_batch):
                batch = store.batch_since(watcher.prefix, watcher.revision)
                watcher.offer(batch)
            elif watcher.revision >= previous_revision:
                watcher.revision = store.revision
        self.watchers = [other for other in self.watchers if not other.is_ended]


def _has_event_under(prefix: str, batch: pb.WatchBatch) -> bool:
    return any(event.entry.key.startswith(prefix) for event in batch.events)
