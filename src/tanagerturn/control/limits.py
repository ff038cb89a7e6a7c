"""Limits of client accounts as the allocator divides them."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from tanagerturn.coordination.groups import REQUESTS_GROUP
from tanagerturn.coordination.ids import Revision
from tanagerturn.shared.entry_keys import ENTRY_KEY_PREFIX

if TYPE_CHECKING:
    from tanagerturn.coordination.client import StateClient
    from tanagerturn.coordination.shares.service import ShareServicer
    from tanagerturn.schema.coordination_pb2 import WatchBatch
    from tanagerturn.shared.resolved_settings import ResolvedSettings


class LimitKeeper:
    """Tells the allocator the limits and the number of entry hosts.

    Args:
        client: Calls to the replicated store.
        shares: The allocator's service.
    """

    def __init__(self, client: StateClient, shares: ShareServicer) -> None:
        self.shares = shares
        """The allocator's service."""
        self.lock = threading.Lock()
        """Guards the rest."""
        self.hosts: set[str] = set()
        """Keys of the entry hosts that live."""
        self.resolved_settings: ResolvedSettings | None = None
        """Settings in force; None before the first."""
        self.watch = client.watch(
            REQUESTS_GROUP, ENTRY_KEY_PREFIX, Revision(0), self._on_batch
        )
        """Watch of the entry hosts."""

    def set_settings(self, resolved_settings: ResolvedSettings) -> None:
        """Take over settings."""
        with self.lock:
            self.resolved_settings = resolved_settings
            self._tell()

    def stop(self) -> None:
        """End the watch."""
        self.watch.stop()

    def _on_batch(self, batch: WatchBatch) -> None:
        with self.lock:
            if batch.snapshot:
                self.hosts.clear()
            for event in batch.events:
                if event.deleted:
                    self.hosts.discard(event.entry.key)
                else:
                    self.hosts.add(event.entry.key)
            self._tell()

    def _tell(self) -> None:
        if self.resolved_settings is None:
            return
        accounts = self.resolved_settings.accounts.values()
        limits = {account.name: account.limits for account in accounts}
        self.shares.set_limits(limits, len(self.hosts))
