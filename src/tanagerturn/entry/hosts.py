"""Live entry hosts: each has a key under `entry/` in the requests group."""

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

STORE_TIMEOUT_S: Final = 1.0


class EntryHosts:
    """Watches the keys of live entry hosts and maintains the key of this host.

    Args:
        client: Client of the replicated store.
        owner: Name of this process as an owner of request records.
        on_count: Function that is called with the number of live entry hosts.
    """

    def __init__(
        self, client: StateClient, owner: ProcessId, on_count: Callable[[int], None]
    ) -> None:
        self.client = client
        """Client of the replicated store."""
        self.owner = owner
        """Name of this process as an owner of request records."""
        self.on_count = on_count
        """Function that is called with the number of live entry hosts."""
        self.owners: dict[str, str] = {}
        """Owner name of each live entry host, by store key."""
        self.lock = threading.Lock()
        """Guards `owners`."""
        self.key = host_key(owner)
        """Store key of this process."""
        self.watch = client.watch(
            REQUESTS_GROUP, ENTRY_KEY_PREFIX, Revision(0), self._on_batch
        )
        """Watch on the keys of entry hosts."""

    def __repr__(self) -> str:
        return f"EntryHosts({sorted(self.owners)})"

    def are_known(self) -> bool:
        """Return whether all hosts registered before this one have been read.

        Keys are read in the order in which they were written, so that of this host
        comes after theirs.
        """
        with self.lock:
            return self.owners.get(self.key) == self.owner

    def register(self, fence: coordination_pb2.Fence) -> bool:
        """Write this host's key under its lease; return whether the key is stored.

        Args:
            fence: Fence of the owner lease; the write fails if it is not held.
        """
        if self.are_known():
            return True
        transaction = coordination_pb2.Transaction(fences=[fence])
        transaction.puts.add(key=self.key, value=self.owner.encode())
        command = coordination_pb2.Command(transaction=transaction)
        written = self.client.propose(REQUESTS_GROUP, command, STORE_TIMEOUT_S)
        applied = coordination_pb2.CommandResult.APPLIED
        return written.is_ok() and written.ok.status == applied

    def remove(self) -> None:
        """Remove this host's key, so that it no longer counts as live."""
        self._remove(self.key)

    def remove_dead(self) -> None:
        """Remove the keys of entry hosts that no longer hold their owner lease."""
        with self.lock:
            owners = dict(self.owners)
        for key, owner in owners.items():
            if owner == self.owner:
                continue
            name = owner_lease(ProcessId(owner))
            lease = self.client.lease(REQUESTS_GROUP, name, STORE_TIMEOUT_S)
            if lease.is_ok() and lease.ok.holder != owner:
                self._remove(key)

    def stop(self) -> None:
        """Stop the watch."""
        self.watch.stop()

    def _remove(self, key: str) -> None:
        transaction = coordination_pb2.Transaction()
        transaction.deletes.add(key=key)
        command = coordination_pb2.Command(transaction=transaction)
        self.client.propose(REQUESTS_GROUP, command, STORE_TIMEOUT_S)

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
    """Return the store key of an entry host, the same after its restarts."""
    return f"{ENTRY_KEY_PREFIX}{owner.rpartition('.')[0]}"
