"""Compact records of the store: a protobuf message takes at least 0.6 KB of memory."""

from __future__ import annotations

from typing import NamedTuple

from tanagerturn.schema import coordination_pb2 as pb


class StoredEvent(NamedTuple):
    """One write, retained for watchers; shares its entry object with the store."""

    entry: pb.KeyValue
    """Entry that was written; holds only the key if the write deleted the key."""
    deleted: bool
    """Whether the write deleted the key."""
    revision: int
    """Store revision of the write."""

    @property
    def size(self) -> int:
        """Size of the key and value in bytes."""
        return len(self.entry.key) + len(self.entry.value)

    def message(self) -> pb.Event:
        """Return the event as a message to watchers."""
        return pb.Event(entry=self.entry, deleted=self.deleted, revision=self.revision)


class StoredChange(NamedTuple):
    """Result of a change, stored so that a resent change gets the same result."""

    accepted_at_ms: int
    """Group time when the change was applied, in milliseconds."""
    status: pb.CommandResult.Status.ValueType
    """Status of the result."""
    revision: int
    """Store revision after the change."""
    detail: pb.CommandResult | None
    """Full result; None when the result has only a status and a revision."""

    def result(self) -> pb.CommandResult:
        """Return the result that was first returned for the change."""
        if self.detail is not None:
            return self.detail
        return pb.CommandResult(status=self.status, revision=self.revision)


def stored_change(accepted_at_ms: int, result: pb.CommandResult) -> StoredChange:
    """Return a result in compact form.

    Args:
        accepted_at_ms: Group time when the change was applied, in milliseconds.
        result: Result of the change; the full message is stored only if it has more
            than a status and a revision.
    """
    has_detail = result.current or result.HasField("lease") or result.reason
    detail = result if has_detail else None
    return StoredChange(accepted_at_ms, result.status, result.revision, detail)
