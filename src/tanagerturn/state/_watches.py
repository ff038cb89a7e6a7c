"""Watch streams that a member serves from its applied state."""

from __future__ import annotations

import queue
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from tanagerturn.coordination.store import Store
    from tanagerturn.schema import coordination_pb2 as pb

MAX_QUEUED_BATCHES: Final = 256
"""Limit of batches queued for one watch stream. A client that reads too slowly
reaches it; its stream is ended and the client reconnects."""


class Watcher:
    """One watch stream with its queue of batches.

    Args:
        prefix: Prefix of the watched keys; empty for all keys.
        after_revision: Highest revision that the client has received.
    """

    def __init__(self, prefix: str, after_revision: int) -> None:
        self.prefix = prefix
        """Prefix of the watched keys; empty for all keys."""
        self.revision = after_revision
        """Highest revision that the queued batches cover."""
        self.batches: queue.SimpleQueue[pb.WatchBatch | None] = queue.SimpleQueue()
        """Batches to send; None marks the end of the stream."""
        self.is_ended = False
        """Whether the stream has been ended; queued batches are still sent."""

    def offer(self, batch: pb.WatchBatch) -> None:
        """Queue a batch, or end the stream if its queue is full."""
        if self.batches.qsize() >= MAX_QUEUED_BATCHES:
            self.end()
            return
        self.revision = batch.revision
        self.batches.put(batch)

    def end(self) -> None:
        """End the stream after the queued batches."""
        self.is_ended = True
        self.batches.put(None)


class Watches:
    """All watch streams of one replication group at one member."""

    def __init__(self) -> None:
        self.watchers: list[Watcher] = []
        """Open watch streams."""
        self.revision = 0
        """Revision of the store at the last call of `notify`."""

    def add(self, watcher: Watcher, store: Store) -> None:
        """Add a watch stream and queue the events that its client lacks.

        If the client has received a later revision than this member has applied,
        nothing is queued until the member has passed that revision: the client must
        not see an older state.
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
        """Queue the events that were applied since the last call."""
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
