"""Client interface of the replicated store, independent of the transport."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from tanagerturn.coordination.errors import StepError
    from tanagerturn.coordination.ids import GroupId, LeaseName, Revision
    from tanagerturn.schema.coordination_pb2 import (
        Command,
        CommandResult,
        KeyValue,
        Lease,
        RangeResponse,
        WatchBatch,
    )


class WatchHandle(Protocol):
    """A running watch stream."""

    def stop(self) -> None:
        """Stop the watch; no batch is delivered after this method returns."""


class StateClient(Protocol):
    """Calls to the replicated store; thread-safe.

    Each call but `watch` takes its timeout in seconds. A command with a change id is
    resent after a lost response and applied only once.
    """

    def propose(
        self, group: GroupId, command: Command, timeout_s: float
    ) -> Result[CommandResult, StepError]:
        """Commit a command and return its result.

        An `UnavailableError` means that the outcome is unknown.
        """
        ...

    def read(
        self, group: GroupId, key: str, timeout_s: float
    ) -> Result[KeyValue | None, StepError]:
        """Read the entry of one key linearizably; None when the key does not exist."""
        ...

    def scan(
        self,
        group: GroupId,
        prefix: str,
        timeout_s: float,
        after_key: str = "",
        limit: int = 1000,
    ) -> Result[RangeResponse, StepError]:
        """Read entries linearizably, in key order.

        Args:
            group: Replication group to read from.
            prefix: Prefix of the keys; empty for all keys.
            timeout_s: Timeout in seconds.
            after_key: Key after which to start; empty to start at the first key.
            limit: Largest number of entries to return.
        """
        ...

    def lease(
        self, group: GroupId, name: LeaseName, timeout_s: float
    ) -> Result[Lease, StepError]:
        """Read a lease linearizably; the holder is empty when the lease is free."""
        ...

    def watch(
        self,
        group: GroupId,
        prefix: str,
        after_revision: Revision,
        on_batch: Callable[[WatchBatch], None],
    ) -> WatchHandle:
        """Call `on_batch` with the events under a prefix, in order, on another thread.

        No event is skipped across reconnects. A batch marked as a snapshot replaces
        the state that earlier batches built up.
        """
        ...
