"""What must hold in every schedule of the replicated log."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from tanagerturn.coordination.log.ready import Role
from tanagerturn.coordination.store import Status
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from tanagerturn.coordination.host import GroupHost
    from tanagerturn.coordination.log.core import Core


class ViolationError(AssertionError):
    """Something that must always hold did not."""


def require(condition: bool, what: str) -> None:
    """Raise a violation unless a condition holds."""
    if not condition:
        raise ViolationError(what)


@dataclass
class Operation:
    """A client's operation with its place in time."""

    command: pb.Command | None
    """The command; None for a read."""
    key: str
    floor: int
    """Highest revision that any operation had returned when this one began."""
    started_at_s: float
    attempts: int = 0
    revision: int | None = None


@dataclass
class Checks:
    """Collects what members do and compares it."""

    leaders: dict[int, str] = field(default_factory=dict)
    """Leader by term."""
    committed: dict[int, tuple[Any, ...]] = field(default_factory=dict)
    """What was applied, by index."""
    committed_in: dict[int, int] = field(default_factory=dict)
    """Term of the member that applied an index first."""
    entries: dict[tuple[int, int], tuple[Any, ...]] = field(default_factory=dict)
    """Entry by index and term, with the term before it."""
    writes: dict[str, list[tuple[int, bytes]]] = field(default_factory=dict)
    """Revisions and values by key, in order."""
    revision_of: dict[bytes, int] = field(default_factory=dict)
    """Revision by value; values are unique."""
    numbers: dict[str, tuple[int, str]] = field(default_factory=dict)
    """Highest fencing number by lease, with its holder."""
    believed_until_s: dict[tuple[str, int], float] = field(default_factory=dict)
    """Until when a holder relies on its lease, by lease and number."""
    highest_returned: int = 0
    """Highest revision that any operation has returned."""
    acknowledged: list[bytes] = field(default_factory=list)
    """Values whose writes were answered."""

    def on_state(self, core: Core) -> bool:
        """One leader a term; a leader has all committed entries.

        Returns:
            Whether the member has just become leader.
        """
        if core.role is not Role.LEADER:
            return False
        if core.term in self.leaders:
            other = self.leaders[core.term]
            require(other == core.options.member, f"two leaders in {core.term}")
            return False
        self.leaders[core.term] = core.options.member
        for index, found in self.committed.items():
            if self.committed_in[index] < core.term and index > core.log.base_index:
                same = core.log.term_at(index) == found[0]
                require(same, f"leader of {core.term} lacks committed {index}")
        self.on_log(core)
        return True

    def on_log(self, core: Core) -> None:
        """Log matching: index and term name one entry and its predecessor."""
        previous = core.log.base_term
        for entry in core.log.entries:
            found = (previous, entry.SerializeToString(deterministic=True))
            known = self.entries.setdefault((entry.index, entry.term), found)
            require(known == found, f"logs differ at {entry.index}")
            previous = entry.term

    def on_applied(
        self, entry: pb.Entry, result: Any, host: GroupHost, before: int, now: float
    ) -> None:
        """Equal order everywhere; each change once; fencing numbers grow."""
        store = host.store
        status = result.status if entry.HasField("command") else 0
        found = (entry.term, entry.command, store.revision, status)
        if entry.index in self.committed:
            same = self.committed[entry.index] == found
            require(same, f"members applied different entries at {entry.index}")
            return
        require(entry.index == len(self.committed) + 1, "an index was skipped")
        self.committed[entry.index] = found
        self.committed_in[entry.index] = host.core.term
        if not entry.HasField("command"):
            return
        command = pb.Command.FromString(entry.command)
        if command.HasField("transaction") and store.revision > before:
            put = command.transaction.puts[0]
            known = self.revision_of.setdefault(put.value, store.revision)
            require(known == store.revision, "a change was applied twice")
            self.writes.setdefault(put.key, []).append((store.revision, put.value))
        if result.lease.holder:
            self._on_grant(result.lease, now)

    def _on_grant(self, lease: pb.Lease, now: float) -> None:
        number, holder = self.numbers.get(lease.name, (0, ""))
        require(lease.fencing_number >= number, "a fencing number went back")
        if lease.fencing_number == number:
            require(lease.holder == holder, "a fencing number has two holders")
            return
        until_s = self.believed_until_s.get((lease.name, number), 0.0)
        require(now >= until_s, "a lease was granted while another held it")
        self.numbers[lease.name] = (lease.fencing_number, lease.holder)

    def on_written(self, operation: Operation, result: pb.CommandResult) -> None:
        """A write returns a revision after all that were returned before."""
        if operation.command is None or not operation.command.HasField("transaction"):
            return
        if result.status == Status.APPLIED:
            require(result.revision > operation.floor, "a write went back in time")
            value = operation.command.transaction.puts[0].value
            known = self.revision_of.get(value)
            require(known == result.revision, "a write was answered and not applied")
            self.acknowledged.append(value)
        else:
            require(result.revision >= operation.floor, "a refusal went back in time")
        self.highest_returned = max(self.highest_returned, result.revision)

    def on_read(
        self, operation: Operation, revision: int, found: pb.KeyValue | None
    ) -> None:
        """A read returns the last write at its revision, and nothing older."""
        require(revision >= operation.floor, "a read went back in time")
        self.highest_returned = max(self.highest_returned, revision)
        writes = self.writes.get(operation.key, [])
        expected = [value for at, value in writes if at <= revision][-1:]
        read = [] if found is None else [found.value]
        require(read == expected, "a read returned another value")
