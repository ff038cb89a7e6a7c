"""Invariants of the replicated log, checked in every schedule."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from tanagerturn.coordination.log.ready import Role
from tanagerturn.coordination.store import Status
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from tanagerturn.coordination.log.core import Core
    from tanagerturn.coordination.replica import GroupReplica


class ViolationError(AssertionError):
    """An invariant was violated."""


def require(condition: bool, what: str) -> None:
    """Raise a `ViolationError` with a message unless a condition holds."""
    if not condition:
        raise ViolationError(what)


@dataclass
class Operation:
    """A read or command of a client, with its start time."""

    command: pb.Command | None
    """Command to propose; None for a read."""
    key: str
    min_revision: int
    """Highest store revision that any operation returned before this one started."""
    started_at_s: float
    attempts: int = 0
    revision: int | None = None


@dataclass
class Checks:
    """Records the states and results of all members and checks the invariants."""

    leaders: dict[int, str] = field(default_factory=dict)
    """Leader id by term."""
    committed: dict[int, tuple[Any, ...]] = field(default_factory=dict)
    """Term, command, store revision and status of each applied entry, by log index."""
    commit_terms: dict[int, int] = field(default_factory=dict)
    """Term in which the first member applied an entry, by log index."""
    entries: dict[tuple[int, int], tuple[Any, ...]] = field(default_factory=dict)
    """Term of the preceding entry, and the encoded entry, by log index and term."""
    writes: dict[str, list[tuple[int, bytes]]] = field(default_factory=dict)
    """Store revision and value of each write in order, by key."""
    revisions_by_value: dict[bytes, int] = field(default_factory=dict)
    """Store revision of a write by its value; values are unique."""
    fencing_numbers: dict[str, tuple[int, str]] = field(default_factory=dict)
    """Highest granted fencing number and its holder, by lease name."""
    lease_valid_until_s: dict[tuple[str, int], float] = field(default_factory=dict)
    """Time in seconds until which a holder relies on a lease, by lease name and
    fencing number."""
    highest_returned: int = 0
    """Highest store revision that any operation has returned."""
    acknowledged: list[bytes] = field(default_factory=list)
    """Values of the acknowledged writes."""

    def on_state(self, core: Core) -> bool:
        """Check election safety: one leader per term, which has all committed entries.

        Returns:
            Whether the member has just become leader.
        """
        if core.role is not Role.LEADER:
            return False
        if core.term in self.leaders:
            other = self.leaders[core.term]
            require(other == core.options.member, f"two leaders in term {core.term}")
            return False
        self.leaders[core.term] = core.options.member
        for index, found in self.committed.items():
            if self.commit_terms[index] < core.term and index > core.log.base_index:
                same = core.log.term_at(index) == found[0]
                require(
                    same, f"leader of term {core.term} lacks committed entry {index}"
                )
        self.on_log(core)
        return True

    def on_log(self, core: Core) -> None:
        """Check log matching: index and term identify an entry and its predecessor."""
        previous = core.log.base_term
        for entry in core.log.entries:
            found = (previous, entry.SerializeToString(deterministic=True))
            known = self.entries.setdefault((entry.index, entry.term), found)
            require(known == found, f"logs differ at index {entry.index}")
            previous = entry.term

    def on_applied(
        self,
        entry: pb.Entry,
        result: Any,
        replica: GroupReplica,
        before: int,
        now: float,
    ) -> None:
        """Check that members apply equal entries and each change once, and leases."""
        store = replica.store
        status = result.status if entry.HasField("command") else 0
        found = (entry.term, entry.command, store.revision, status)
        if entry.index in self.committed:
            same = self.committed[entry.index] == found
            require(same, f"members applied different entries at index {entry.index}")
            return
        require(entry.index == len(self.committed) + 1, "applied indexes have a gap")
        self.committed[entry.index] = found
        self.commit_terms[entry.index] = replica.core.term
        if not entry.HasField("command"):
            return
        command = pb.Command.FromString(entry.command)
        if command.HasField("transaction") and store.revision > before:
            put = command.transaction.puts[0]
            known = self.revisions_by_value.setdefault(put.value, store.revision)
            require(known == store.revision, "a change was applied twice")
            self.writes.setdefault(put.key, []).append((store.revision, put.value))
        if result.lease.holder:
            self._on_grant(result.lease, now)

    def _on_grant(self, lease: pb.Lease, now: float) -> None:
        number, holder = self.fencing_numbers.get(lease.name, (0, ""))
        require(lease.fencing_number >= number, "a fencing number decreased")
        if lease.fencing_number == number:
            require(lease.holder == holder, "a fencing number has two holders")
            return
        until_s = self.lease_valid_until_s.get((lease.name, number), 0.0)
        require(
            now >= until_s, "a lease was granted while its last holder relied on it"
        )
        self.fencing_numbers[lease.name] = (lease.fencing_number, lease.holder)

    def on_written(self, operation: Operation, result: pb.CommandResult) -> None:
        """Check that a write returned a higher revision than operations before it."""
        if operation.command is None or not operation.command.HasField("transaction"):
            return
        if result.status == Status.APPLIED:
            require(
                result.revision > operation.min_revision,
                "a write returned an older revision than an earlier operation",
            )
            value = operation.command.transaction.puts[0].value
            known = self.revisions_by_value.get(value)
            require(known == result.revision, "an acknowledged write was not applied")
            self.acknowledged.append(value)
        else:
            require(
                result.revision >= operation.min_revision,
                "a rejected write returned an older revision than an earlier operation",
            )
        self.highest_returned = max(self.highest_returned, result.revision)

    def on_read(
        self, operation: Operation, revision: int, found: pb.KeyValue | None
    ) -> None:
        """Check that a read is not stale and returned the last write up to it."""
        require(
            revision >= operation.min_revision,
            "a read returned an older revision than an earlier operation",
        )
        self.highest_returned = max(self.highest_returned, revision)
        writes = self.writes.get(operation.key, [])
        expected = [value for at, value in writes if at <= revision][-1:]
        read = [] if found is None else [found.value]
        require(read == expected, "a read returned a value other than the last write")
