"""Compact parts of the store's memory; a protobuf message costs 0.6 KB or more."""

from __future__ import annotations

from typing import NamedTuple

from tanagerturn.schema import coordination_pb2 as pb


class StoredEvent(NamedTuple):
    """One write, for watchers; the entry is shared with the store."""

    entry: pb.KeyValue
    """The entry as written, or the key alone when it was removed."""
    deleted: bool
    """Whether the key was removed."""
    revision: int
    """Revision of the write."""

    @property
    def size(self) -> int:
        """Size of key and value in bytes."""
        return len(self.entry.key) + len(self.entry.value)

    def message(self) -> pb.Event:
        """Return the event as it is sent."""
        return pb.Event(entry=self.entry, deleted=self.deleted, revision=self.revision)


class StoredChange(NamedTuple):
    """What became of a change."""

    accepted_at_ms: int
    """Clock of the group when it was applied, in milliseconds."""
    status: pb.CommandResult.Status.ValueType
    """Status of the result."""
    revision: int
    """Revision after the change."""
    detail: pb.CommandResult | None
    """The whole result when it says more than status and revision."""

    def result(self) -> pb.CommandResult:
        """Return the result as it was answered."""
        if self.detail is not None:
            return self.detail
        return pb.CommandResult(status=self.status, revision=self.revision)


def stored_change(accepted_at_ms: int, result: pb.CommandResult) -> StoredChange:
    """Keep a result, whole only when it has to be."""
    has_detail = result.current or result.HasField("lease") or result.reason
    detail = result if has_detail else None
    return StoredChange(accepted_at_ms, result.status, result.revision, detail)
