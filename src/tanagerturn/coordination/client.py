"""What a user of the replicated store calls, whatever carries the calls."""

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
    """A running watch."""

    def stop(self) -> None:
        """End the watch; no batch is delivered after the return."""


class StateClient(Protocol):
    """Calls to the replicated store; safe to use from several threads.

    Every call takes the time it may last in seconds. A command that carries a
    change id is sent again after a lost answer, and is applied once.
    """

    def propose(
        self, group: GroupId, command: Command, timeout_s: float
    ) -> Result[CommandResult, StepError]:
        """Commit a command and return what became of it.

        An `UnavailableError` means that the outcome is not known.
        """
        ...

    def read(
        self, group: GroupId, key: str, timeout_s: float
    ) -> Result[KeyValue | None, StepError]:
        """Read one key linearizably; None when it is absent."""
        ...

    def scan(
        self,
        group: GroupId,
        prefix: str,
        timeout_s: float,
        after_key: str = "",
        limit: int = 1000,
    ) -> Result[RangeResponse, StepError]:
        """Read the keys under a prefix linearizably, in order."""
        ...

    def lease(
        self, group: GroupId, name: LeaseName, timeout_s: float
    ) -> Result[Lease, StepError]:
        """Read a lease linearizably; holder is empty when it is free."""
        ...

    def watch(
        self,
        group: GroupId,
        prefix: str,
        after_revision: Revision,
        on_batch: Callable[[WatchBatch], None],
    ) -> WatchHandle:
        """Deliver events under a prefix, in order, from a thread of the client.

        Batches follow each other without a gap across reconnects; a batch
        marked snapshot replaces all that was delivered before.
        """
        ...
