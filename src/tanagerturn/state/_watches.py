"""Watches that a member serves from its applied state."""

from __future__ import annotations

import queue
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from tanagerturn.coordination.store import Store
    from tanagerturn.schema import coordination_pb2 as pb

BATCH_LIMIT: Final = 256
"""Batches that wait for a slow watcher; then its stream ends and it reconnects."""


class Watcher:
    """One watch stream.

    Args:
        prefix: Prefix of the watched keys.
        after_revision: Revision that the watcher has.
    """

    def __init__(self, prefix: str, after_revision: int) -> None:
        self.prefix = prefix
        """Prefix of the watched keys."""
        self.revision = after_revision
        """Revision up to which batches were queued."""
        self.batches: queue.SimpleQueue[pb.WatchBatch | None] = queue.SimpleQueue()
        """Batches to send; None ends the stream."""
        self.is_ended = False
        """The stream is to end."""

    def offer(self, batch: pb.WatchBatch) -> None:
        """Queue a batch, or end a stream that is too slow."""
        if self.batches.qsize() >= BATCH_LIMIT:
            self.end()
            return
        self.revision = batch.revision
        self.batches.put(batch)

    def end(self) -> None:
        """End the stream after what is queued."""
        self.is_ended = True
        self.batches.put(None)


class Watches:
    """All watch streams of one replication group at one member."""

    def __init__(self) -> None:
        self.watchers: list[Watcher] = []
        """Running watches."""
        self.revision = 0
        """Revision up to which watchers were told."""

    def add(self, watcher: Watcher, store: Store) -> None:
        """Start a watch.

        A watcher that has seen more than this member waits until the member
        has caught up: its state must not go back.
        """
        self.watchers.append(watcher)
        if watcher.revision <= store.revision:
            watcher.offer(store.batch_since(watcher.prefix, watcher.revision))

    def remove(self, watcher: Watcher) -> None:
        """Forget a watch."""
        self.watchers = [one for one in self.watchers if one is not watcher]

    def end_all(self) -> None:
        """End all streams: this member can't tell what is new."""
        for watcher in self.watchers:
            watcher.end()
        self.watchers = []

    def notify(self, store: Store) -> None:
        """Queue what was applied since the last call."""
        if store.revision == self.revision:
            return
        known, self.revision = self.revision, store.revision
        if not self.watchers:
            return
        new = store.batch_since("", known)
        for watcher in self.watchers:
            if watcher.revision >= store.revision:
                continue
            if new.snapshot or _is_touched(watcher.prefix, new):
                batch = store.batch_since(watcher.prefix, watcher.revision)
                watcher.offer(batch)
            elif watcher.revision >= known:
                watcher.revision = store.revision
        self.watchers = [one for one in self.watchers if not one.is_ended]


def _is_touched(prefix: str, batch: pb.WatchBatch) -> bool:
    return any(event.entry.key.startswith(prefix) for event in batch.events)
