"""Compact records of the store; a protobuf message takes at least 0.6 KB."""

from __future__ import annotations

from typing import NamedTuple

from tanagerturn.schema import coordination_pb2 as pb


class StoredEvent(NamedTuple):
    """One write, kept for watchers; shares the entry with the store."""

    entry: pb.KeyValue
    """Entry as written; has only the key when the write removed it."""
    deleted: bool
    """Whether the write removed the key."""
    revision: int
    """Store revision of the write."""

    @property
    def size(self) -> int:
        """Size of the key and value in bytes."""
        return len(self.entry.key) + len(self.entry.value)

    def message(self) -> pb.Event:
        """Return the event as sent to watchers."""
        return pb.Event(entry=self.entry, deleted=self.deleted, revision=self.revision)


class StoredChange(NamedTuple):
    """Remembered result of a change."""

    accepted_at_ms: int
    """Group time when the change was applied, in milliseconds."""
    status: pb.CommandResult.Status.ValueType
    """Status of the result."""
    revision: int
    """Store revision after the change."""
    detail: pb.CommandResult | None
    """Full result, or None when status and revision are all of it."""

    def result(self) -> pb.CommandResult:
        """Return the result that was first returned for the change."""
        if self.detail is not None:
            return self.detail
        return pb.CommandResult(status=self.status, revision=self.revision)


def stored_change(accepted_at_ms: int, result: pb.CommandResult) -> StoredChange:
    """Convert a result for storage; the full message is kept only if needed."""
    has_detail = result.current or result.HasField("lease") or result.reason
    detail = result if has_detail else None
    return StoredChange(accepted_at_ms, result.status, result.revision, detail)
