"""Input of the share allocator: account limits and the number of entry hosts."""

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


class LimitPublisher:
    """Passes the limits of client accounts and the entry host count to the allocator.

    Args:
        client: Client of the replicated store.
        shares: Service of the allocator, which divides the limits among entry hosts.
    """

    def __init__(self, client: StateClient, shares: ShareServicer) -> None:
        self.shares = shares
        """Service of the allocator, which divides the limits among entry hosts."""
        self.lock = threading.Lock()
        """Guards `entry_keys` and `resolved_settings`."""
        self.entry_keys: set[str] = set()
        """Store keys of the running entry hosts."""
        self.resolved_settings: ResolvedSettings | None = None
        """Settings in force; None until the first settings are applied."""
        self.watch = client.watch(
            REQUESTS_GROUP, ENTRY_KEY_PREFIX, Revision(0), self._on_batch
        )
        """Watch of the entry hosts' keys."""

    def set_settings(self, resolved_settings: ResolvedSettings) -> None:
        """Apply settings and pass their limits to the allocator."""
        with self.lock:
            self.resolved_settings = resolved_settings
            self._publish()

    def stop(self) -> None:
        """Stop the watch."""
        self.watch.stop()

    def _on_batch(self, batch: WatchBatch) -> None:
        with self.lock:
            if batch.snapshot:
                self.entry_keys.clear()
            for event in batch.events:
                if event.deleted:
                    self.entry_keys.discard(event.entry.key)
                else:
                    self.entry_keys.add(event.entry.key)
            self._publish()

    def _publish(self) -> None:
        if self.resolved_settings is None:
            return
        accounts = self.resolved_settings.accounts.values()
        limits = {account.name: account.limits for account in accounts}
        self.shares.set_limits(limits, len(self.entry_keys))
