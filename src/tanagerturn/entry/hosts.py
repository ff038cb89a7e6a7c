"""The entry hosts that live: each has a key under `entry/` in the requests group."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Final

from tanagerturn.coordination.groups import REQUESTS_GROUP
from tanagerturn.coordination.ids import ProcessId, Revision
from tanagerturn.schema import coordination_pb2
from tanagerturn.serving.requests.takeover import owner_lease
from tanagerturn.shared.entry_keys import ENTRY_KEY_PREFIX

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.coordination.client import StateClient

TIMEOUT_S: Final = 1.0


class EntryHosts:
    """Watches which entry hosts live, and keeps this host's own key.

    Args:
        client: Calls to the replicated store.
        owner: Owner name of this process.
        on_count: Called with the number of live entry hosts.
    """

    def __init__(
        self, client: StateClient, owner: ProcessId, on_count: Callable[[int], None]
    ) -> None:
        self.client = client
        """Calls to the replicated store."""
        self.owner = owner
        """Owner name of this process."""
        self.on_count = on_count
        """Called with the number of live entry hosts."""
        self.owners: dict[str, str] = {}
        """Store key to owner name."""
        self.lock = threading.Lock()
        """Guards `owners`."""
        self.key = host_key(owner)
        """Store key of this process."""
        self.watch = client.watch(
            REQUESTS_GROUP, ENTRY_KEY_PREFIX, Revision(0), self._on_batch
        )
        """Watch of the keys."""

    def __repr__(self) -> str:
        return f"EntryHosts({sorted(self.owners)})"

    def register(self, fence: coordination_pb2.Fence) -> bool:
        """Write this host's key while it holds its lease; True when it stands."""
        with self.lock:
            if self.owners.get(self.key) == self.owner:
                return True
        transaction = coordination_pb2.Transaction(fences=[fence])
        transaction.puts.add(key=self.key, value=self.owner.encode())
        command = coordination_pb2.Command(transaction=transaction)
        written = self.client.propose(REQUESTS_GROUP, command, TIMEOUT_S)
        applied = coordination_pb2.CommandResult.APPLIED
        return written.is_ok() and written.ok.status == applied

    def remove(self) -> None:
        """Remove this host's key: it takes nothing any more."""
        self._remove(self.key)

    def remove_dead(self) -> None:
        """Remove the keys of hosts that lost their lease."""
        with self.lock:
            owners = dict(self.owners)
        for key, owner in owners.items():
            if owner == self.owner:
                continue
            name = owner_lease(ProcessId(owner))
            lease = self.client.lease(REQUESTS_GROUP, name, TIMEOUT_S)
            if lease.is_ok() and lease.ok.holder != owner:
                self._remove(key)

    def stop(self) -> None:
        """End the watch."""
        self.watch.stop()

    def _remove(self, key: str) -> None:
        transaction = coordination_pb2.Transaction()
        transaction.deletes.add(key=key)
        command = coordination_pb2.Command(transaction=transaction)
        self.client.propose(REQUESTS_GROUP, command, TIMEOUT_S)

    def _on_batch(self, batch: coordination_pb2.WatchBatch) -> None:
        with self.lock:
            if batch.snapshot:
                self.owners.clear()
            for event in batch.events:
                if event.deleted:
                    self.owners.pop(event.entry.key, None)
                else:
                    self.owners[event.entry.key] = event.entry.value.decode()
            count = len(self.owners)
        self.on_count(count)


def host_key(owner: ProcessId) -> str:
    """Return the store key of an entry host."""
    return f"{ENTRY_KEY_PREFIX}{owner.rpartition('.')[0]}"
