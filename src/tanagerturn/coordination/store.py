"""Replicated store: a deterministic state machine of keys, leases and change ids.

Members that apply the same commands in the same order hold the same state.
`Store.apply` reads no clock: the only time is `accepted_at_ms` of a command, which the
leader sets before the command is replicated.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from sortedcontainers import SortedDict

from tanagerturn.coordination._store_parts import (
    StoredChange,
    StoredEvent,
    stored_change,
)
from tanagerturn.coordination.ids import Revision
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

KEY_LIMIT_BYTES: Final = 1024
VALUE_LIMIT_BYTES: Final = 8 * 1024 * 1024
EVENT_HISTORY_LIMIT: Final = 10_000
"""Largest number of events retained for watchers; a watcher that lacks more
events gets a snapshot."""

EVENT_HISTORY_LIMIT_BYTES: Final = 8 * 1024 * 1024
"""Largest size in bytes of the keys and values in the events retained for watchers."""

CHANGE_KEEP_MS: Final = 600_000
"""Time in milliseconds for which a change id and its result are stored."""

CHANGE_LIMIT: Final = 20_000
"""Largest number of change ids stored; the oldest are dropped first."""

Status = pb.CommandResult.Status


@dataclass(frozen=True)
class StoreImage:
    """State of the store at one revision, for a snapshot.

    The store replaces its messages and never modifies them, so another thread may
    write the image to disk.
    """

    revision: int
    """Revision of the store at the time of the image."""
    clock_ms: int
    """Group time of the store in milliseconds."""
    entries: list[pb.KeyValue]
    """Existing entries, in key order."""
    leases: list[pb.Lease]
    """Leases, sorted by name."""
    changes: list[tuple[str, StoredChange]]
    """Change ids and the results of their changes, oldest first."""

    def records(self) -> Iterator[pb.StoreRecord]:
        """Yield the records of a snapshot; equal images yield equal records."""
        count = 1 + len(self.entries) + len(self.leases) + len(self.changes)
        header = pb.StoreHeader(revision=self.revision, clock_ms=self.clock_ms)
        yield pb.StoreRecord(header=header)
        for entry in self.entries:
            yield pb.StoreRecord(entry=entry)
        for lease in self.leases:
            yield pb.StoreRecord(lease=lease)
        for change_id, stored in self.changes:
            change = pb.RememberedChange(
                change_id=change_id,
                accepted_at_ms=stored.accepted_at_ms,
                result=stored.result(),
            )
            yield pb.StoreRecord(change=change)
        yield pb.StoreRecord(end=count)


class Store:
    """Keys with revisions, leases with fencing numbers, and results by change id."""

    def __init__(self) -> None:
        self.revision = Revision(0)
        """Revision of the last write; 0 before the first."""
        self.clock_ms = 0
        """Latest `accepted_at_ms` of an applied command, in milliseconds."""
        self.entries: SortedDict[str, pb.KeyValue] = SortedDict()
        """Existing entries by key, in key order."""
        self.leases: dict[str, pb.Lease] = {}
        """Leases by name. Free leases stay, because their fencing numbers must not
        restart."""
        self.changes: OrderedDict[str, StoredChange] = OrderedDict()
        """Change ids and the results of their changes, oldest first."""
        self.events: deque[StoredEvent] = deque()
        """Recent writes, retained for watchers, oldest first."""
        self.events_bytes = 0
        """Size in bytes of the keys and values in `events`."""
        self.oldest_served_revision = Revision(0)
        """Lowest revision from which a watcher can be served from `events`."""

    def __repr__(self) -> str:
        return (
            f"Store(revision={self.revision}, entries={len(self.entries)}, "
            f"leases={len(self.leases)}, changes={len(self.changes)})"
        )

    def apply(self, command: pb.Command) -> pb.CommandResult:
        """Apply one command.

        Args:
            command: Command with `accepted_at_ms`, which the leader has set.

        Returns:
            The result; that of the first application if the change id is stored.
        """
        self.clock_ms = max(self.clock_ms, command.accepted_at_ms)
        self._expire_changes(self.clock_ms)
        if command.change_id in self.changes:
            return self.changes[command.change_id].result()
        result = self._dispatch(command)
        if command.change_id:
            self.changes[command.change_id] = stored_change(self.clock_ms, result)
        return result

    def image(self) -> StoreImage:
        """Return the current state for a snapshot."""
        return StoreImage(
            revision=self.revision,
            clock_ms=self.clock_ms,
            entries=list(self.entries.values()),
            leases=[self.leases[name] for name in sorted(self.leases)],
            changes=list(self.changes.items()),
        )

    def scan(
        self, prefix: str, after_key: str = "", limit: int = 1000
    ) -> Iterator[pb.KeyValue]:
        """Yield at most `limit` entries under a prefix, after a key, in key order."""
        start = max(prefix, after_key)
        count = 0
        for key in self.entries.irange(minimum=start):
            if not key.startswith(prefix) or count == limit:
                return
            if key == after_key:
                continue
            count += 1
            yield self.entries[key]

    def batch_since(self, prefix: str, after_revision: int) -> pb.WatchBatch:
        """Return a batch of the events after a revision, or of all entries.

        All entries under the prefix are returned, as a snapshot, if the events are no
        longer retained or the store has not reached the revision.
        """
        if (
            after_revision < self.oldest_served_revision
            or after_revision > self.revision
        ):
            entries = self.scan(prefix, limit=len(self.entries) + 1)
            events = [pb.Event(entry=e, revision=e.mod_revision) for e in entries]
            return pb.WatchBatch(snapshot=True, revision=self.revision, events=events)
        events = []
        for event in reversed(self.events):
            if event.revision <= after_revision:
                break
            if event.entry.key.startswith(prefix):
                events.append(event.message())
        events.reverse()
        return pb.WatchBatch(revision=self.revision, events=events)

    def lease(self, name: str) -> pb.Lease:
        """Return a lease; a lease never granted is free and has fencing number 0."""
        return self.leases.get(name) or pb.Lease(name=name)

    def _dispatch(self, command: pb.Command) -> pb.CommandResult:
        kind = command.WhichOneof("kind")
        if kind == "transaction":
            return self._transact(command.transaction)
        if kind == "lease_acquire":
            return self._acquire(command.lease_acquire)
        if kind == "lease_renew":
            return self._renew(command.lease_renew)
        if kind == "lease_release":
            return self._release(command.lease_release)
        if kind == "lease_lapse":
            return self._lapse(command.lease_lapse)
        return self._result(Status.INVALID, reason="command has no kind")

    def _transact(self, transaction: pb.Transaction) -> pb.CommandResult:
        reason = _validation_error(transaction)
        if reason:
            return self._result(Status.INVALID, reason=reason)
        for fence in transaction.fences:
            lease = self.lease(fence.lease)
            if not lease.holder or lease.fencing_number != fence.fencing_number:
                return self._result(Status.FENCED, lease=lease)
        conflicts = self._conflicts(transaction)
        if conflicts:
            return self._result(Status.CONFLICT, current=conflicts)
        if transaction.puts or transaction.deletes:
            self.revision = Revision(self.revision + 1)
        for put in transaction.puts:
            self._put(put.key, put.value)
        for delete in transaction.deletes:
            self._delete(delete.key)
        return self._result(Status.APPLIED)

    def _conflicts(self, transaction: pb.Transaction) -> list[pb.KeyValue]:
        conflicts = []
        operations: list[pb.Put | pb.Delete] = [*transaction.puts, *transaction.deletes]
        for operation in operations:
            if not operation.HasField("expected_revision"):
                continue
            found = self.entries.get(operation.key) or pb.KeyValue(key=operation.key)
            if found.mod_revision != operation.expected_revision:
                conflicts.append(found)
        return conflicts

    def _put(self, key: str, value: bytes) -> None:
        previous = self.entries.get(key)
        created = previous.create_revision if previous else self.revision
        entry = pb.KeyValue(
            key=key, value=value, create_revision=created, mod_revision=self.revision
        )
        self.entries[key] = entry
        self._record_event(StoredEvent(entry, False, self.revision))

    def _delete(self, key: str) -> None:
        if self.entries.pop(key, None) is None:
            return
        entry = pb.KeyValue(key=key)
        self._record_event(StoredEvent(entry, True, self.revision))

    def _record_event(self, event: StoredEvent) -> None:
        self.events.append(event)
        self.events_bytes += event.size
        while (
            len(self.events) > EVENT_HISTORY_LIMIT
            or self.events_bytes > EVENT_HISTORY_LIMIT_BYTES
        ):
            dropped = self.events.popleft()
            self.events_bytes -= dropped.size
            self.oldest_served_revision = Revision(dropped.revision)

    def _acquire(self, command: pb.LeaseAcquire) -> pb.CommandResult:
        if not command.name or not command.holder or not command.duration_ms:
            return self._result(Status.INVALID, reason="lease needs name, holder, time")
        lease = self.lease(command.name)
        if lease.holder and lease.holder != command.holder:
            return self._result(Status.HELD, lease=lease)
        if lease.holder:
            return self._extend(lease)
        granted = pb.Lease(
            name=command.name,
            holder=command.holder,
            fencing_number=lease.fencing_number + 1,
            duration_ms=command.duration_ms,
        )
        self.leases[command.name] = granted
        return self._result(Status.APPLIED, lease=granted)

    def _renew(self, command: pb.LeaseRenew) -> pb.CommandResult:
        lease = self.lease(command.name)
        if not lease.holder or lease.fencing_number != command.fencing_number:
            return self._result(Status.LAPSED, lease=lease)
        return self._extend(lease)

    def _extend(self, lease: pb.Lease) -> pb.CommandResult:
        renewed = pb.Lease()
        renewed.CopyFrom(lease)
        renewed.renewals += 1
        self.leases[lease.name] = renewed
        return self._result(Status.APPLIED, lease=renewed)

    def _release(self, command: pb.LeaseRelease) -> pb.CommandResult:
        lease = self.lease(command.name)
        if not lease.holder or lease.fencing_number != command.fencing_number:
            return self._result(Status.LAPSED, lease=lease)
        return self._set_free(lease)

    def _lapse(self, command: pb.LeaseLapse) -> pb.CommandResult:
        lease = self.lease(command.name)
        expected = (command.fencing_number, command.renewals)
        if not lease.holder or expected != (lease.fencing_number, lease.renewals):
            return self._result(Status.LAPSED, lease=lease)
        return self._set_free(lease)

    def _set_free(self, lease: pb.Lease) -> pb.CommandResult:
        freed = pb.Lease(name=lease.name, fencing_number=lease.fencing_number)
        self.leases[lease.name] = freed
        return self._result(Status.APPLIED, lease=freed)

    def _expire_changes(self, now_ms: int) -> None:
        while self.changes:
            oldest = next(iter(self.changes.values()))
            is_recent = oldest.accepted_at_ms + CHANGE_KEEP_MS > now_ms
            if is_recent and len(self.changes) <= CHANGE_LIMIT:
                return
            self.changes.popitem(last=False)

    def _result(
        self,
        status: pb.CommandResult.Status.ValueType,
        current: list[pb.KeyValue] | None = None,
        lease: pb.Lease | None = None,
        reason: str = "",
    ) -> pb.CommandResult:
        return pb.CommandResult(
            status=status,
            revision=self.revision,
            current=current,
            lease=lease,
            reason=reason,
        )


def restore(records: Iterable[pb.StoreRecord]) -> Store:
    """Return a store built from the records of a snapshot.

    Events are not part of a snapshot, so watchers get a snapshot of all entries.

    Raises:
        ValueError: A record is unknown, or the end record is missing or wrong.
    """
    store = Store()
    entries: list[pb.KeyValue] = []
    count = 0
    has_end = False
    for record in records:
        kind = record.WhichOneof("kind")
        if kind == "header":
            store.revision = Revision(record.header.revision)
            store.clock_ms = record.header.clock_ms
        elif kind == "entry":
            entries.append(record.entry)
        elif kind == "lease":
            store.leases[record.lease.name] = record.lease
        elif kind == "change":
            change = record.change
            stored = stored_change(change.accepted_at_ms, change.result)
            store.changes[change.change_id] = stored
        elif kind == "end" and record.end == count:
            has_end = True
        else:
            raise ValueError(
                f"unexpected record of kind {kind} after {count} snapshot records"
            )
        count += 1
    if not has_end:
        raise ValueError(
            f"the snapshot ends after {count} records without an end record"
        )
    store.entries.update((entry.key, entry) for entry in entries)
    store.oldest_served_revision = store.revision
    return store


def _validation_error(transaction: pb.Transaction) -> str:
    keys = [p.key for p in transaction.puts] + [d.key for d in transaction.deletes]
    if len(set(keys)) != len(keys):
        return "a key is written twice in one transaction"
    if any(not key or len(key.encode()) > KEY_LIMIT_BYTES for key in keys):
        return f"keys must have 1 to {KEY_LIMIT_BYTES} bytes"
    if any(len(put.value) > VALUE_LIMIT_BYTES for put in transaction.puts):
        return f"values must have at most {VALUE_LIMIT_BYTES} bytes"
    return ""
