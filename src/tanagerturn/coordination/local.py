"""In-memory store without replication, for tests and single-process embedders."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from expression import Ok, Result

from tanagerturn.coordination.store import Store
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.coordination.errors import StepError
    from tanagerturn.coordination.ids import GroupId, LeaseName, Revision


class LocalWatch:
    """A running watch of a `LocalStateClient`."""

    def __init__(
        self,
        client: LocalStateClient,
        prefix: str,
        on_batch: Callable[[pb.WatchBatch], None],
    ) -> None:
        self.client = client
        """Client that delivers the batches."""
        self.prefix = prefix
        """Prefix of the watched keys."""
        self.on_batch = on_batch
        """Called with each batch."""

    def stop(self) -> None:
        """Stop the watch; no batch is delivered after this method returns."""
        with self.client.lock:
            self.client.watches = [
                (group, watch)
                for group, watch in self.client.watches
                if watch is not self
            ]


class LocalStateClient:
    """A `StateClient` whose groups are in-memory stores.

    Watch batches are delivered by the thread that proposes.
    """

    def __init__(self) -> None:
        self.lock = threading.RLock()
        """Guards the stores and the watches."""
        self.stores: dict[GroupId, Store] = {}
        """Store by group, created on first use."""
        self.watches: list[tuple[GroupId, LocalWatch]] = []
        """Running watches, each with the replication group that it watches."""

    def store(self, group: GroupId) -> Store:
        """Return the store of a replication group; create it on first use."""
        return self.stores.setdefault(group, Store())

    def propose(
        self, group: GroupId, command: pb.Command, timeout_s: float
    ) -> Result[pb.CommandResult, StepError]:
        """Apply a command at once and return its result; never an error."""
        with self.lock:
            store = self.store(group)
            before = store.revision
            result = store.apply(command)
            if store.revision > before:
                self._notify(group, before)
        return Ok(result)

    def read(
        self, group: GroupId, key: str, timeout_s: float
    ) -> Result[pb.KeyValue | None, StepError]:
        """Read the entry of one key; None when the key does not exist."""
        with self.lock:
            return Ok(self.store(group).entries.get(key))

    def scan(
        self,
        group: GroupId,
        prefix: str,
        timeout_s: float,
        after_key: str = "",
        limit: int = 1000,
    ) -> Result[pb.RangeResponse, StepError]:
        """Read up to `limit` entries under a prefix, in key order, after a key."""
        with self.lock:
            store = self.store(group)
            entries = list(store.scan(prefix, after_key, limit + 1))
            return Ok(
                pb.RangeResponse(
                    revision=store.revision,
                    entries=entries[:limit],
                    more=len(entries) > limit,
                )
            )

    def lease(
        self, group: GroupId, name: LeaseName, timeout_s: float
    ) -> Result[pb.Lease, StepError]:
        """Read a lease; the holder is empty when the lease is free."""
        with self.lock:
            return Ok(self.store(group).lease(name))

    def watch(
        self,
        group: GroupId,
        prefix: str,
        after_revision: Revision,
        on_batch: Callable[[pb.WatchBatch], None],
    ) -> LocalWatch:
        """Call `on_batch` with the events under a prefix, now and after each write."""
        with self.lock:
            watch = LocalWatch(self, prefix, on_batch)
            self.watches.append((group, watch))
            on_batch(self.store(group).batch_since(prefix, after_revision))
        return watch

    def _notify(self, group: GroupId, before: Revision) -> None:
        for watched, watch in self.watches:
            if watched == group:
                watch.on_batch(self.store(group).batch_since(watch.prefix, before))
