"""Commits a record by compare-and-set and finds out what a lost answer meant.

A write that names the revision it replaces can be applied only while the key is
at that revision. After a lost answer the key is read back linearizably:

- it holds what was written: the write was applied;
- it is at another revision: the write can't be applied any more;
- it is still at the named revision: the write may yet be applied, so it is sent
  again under the same change id.

Only when the tries run out is the outcome unknown, and it is reported as such.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result

from tanagerturn.coordination.errors import StepError, UnavailableError
from tanagerturn.coordination.ids import Revision
from tanagerturn.schema import coordination_pb2
from tanagerturn.schema.serving_pb2 import RequestRecord
from tanagerturn.serving.requests.errors import (
    CommitUnknownError,
    OwnerFencedError,
    RecordMovedError,
)

if TYPE_CHECKING:
    from tanagerturn.coordination.client import StateClient
    from tanagerturn.coordination.ids import ChangeId, GroupId

COMMIT_TRIES: Final = 3
Status = coordination_pb2.CommandResult.Status


@dataclass(frozen=True)
class Write:
    """One write of a record."""

    step: str
    """What is being done, for errors."""
    change_id: ChangeId
    """Name of the write; it is applied once."""
    transaction: coordination_pb2.Transaction
    """The record's put or delete first, then its indexes."""

    @property
    def key(self) -> str:
        """Return the store key of the record."""
        if self.transaction.puts and self.transaction.puts[0].key.startswith("request"):
            return self.transaction.puts[0].key
        return self.transaction.deletes[0].key

    @property
    def value(self) -> bytes | None:
        """Return the value written under the key; None when it is removed."""
        for put in self.transaction.puts:
            if put.key == self.key:
                return put.value
        return None

    @property
    def expected_revision(self) -> int:
        """Return the revision that the write replaces."""
        if self.value is None:
            return self.transaction.deletes[0].expected_revision
        return self.transaction.puts[0].expected_revision


@dataclass(frozen=True)
class Committer:
    """Carries writes to one group."""

    client: StateClient
    """Calls to the replicated store."""
    group: GroupId
    """Group that holds the records."""
    timeout_s: float
    """Time that one try may last, in seconds."""

    def commit(self, write: Write) -> Result[Revision, StepError]:
        """Commit a write, reading back after a lost answer.

        Returns:
            The record's revision; or a `RecordMovedError`, `OwnerFencedError` or
            `StepError` when it was not and will not be applied; or a
            `CommitUnknownError`.
        """
        command = coordination_pb2.Command(
            change_id=write.change_id, transaction=write.transaction
        )
        lost = False
        failure: StepError | None = None
        for _ in range(COMMIT_TRIES):
            proposed = self.client.propose(self.group, command, self.timeout_s)
            if proposed.is_ok():
                return _outcome(write, proposed.ok)
            failure = proposed.error
            lost = lost or isinstance(failure, UnavailableError)
            # A refusal says nothing about an earlier try whose answer was lost.
            if not lost:
                return Error(failure)
            settled = self._read_back(write)
            if settled is not None:
                return settled
        reason = f"no answer after {COMMIT_TRIES} tries ({failure})"
        return Error(CommitUnknownError(write.step, write.key, reason))

    def _read_back(self, write: Write) -> Result[Revision, StepError] | None:
        found = self.client.read(self.group, write.key, self.timeout_s)
        if found.is_error():
            return None
        entry = found.ok
        revision = entry.mod_revision if entry is not None else 0
        if revision == write.expected_revision:
            return None
        value = entry.value if entry is not None else None
        if value == write.value:
            return Ok(Revision(revision))
        return Error(moved(write.step, value))


def moved(step: str, value: bytes | None) -> RecordMovedError:
    """Make the error for a record that another process wrote first."""
    if not value:
        return RecordMovedError(step, "", None)
    record = RequestRecord.FromString(value)
    return RecordMovedError(step, record.owner, record)


def _outcome(
    write: Write, result: coordination_pb2.CommandResult
) -> Result[Revision, StepError]:
    if result.status == Status.APPLIED:
        return Ok(Revision(result.revision))
    if result.status == Status.FENCED:
        reason = "the process no longer holds its lease"
        return Error(OwnerFencedError(write.step, result.lease.holder, reason))
    if result.status == Status.CONFLICT:
        value = result.current[0].value
        if value and value == write.value:
            return Ok(Revision(result.current[0].mod_revision))
        return Error(moved(write.step, value))
    reason = result.reason or Status.Name(result.status)
    return Error(StepError(write.step, write.key, reason))
