"""Commits writes of records and determines the result of a write without a response.

A write specifies the store revision that it replaces and can be applied only while the
key is at that revision. When the response to a write is lost, the key is read back with
a linearizable read:

- The key holds the written value: the write was applied.
- The key is at another revision: the write can no longer be applied.
- The key is still at the expected revision: the write may yet be applied, so it is sent
  again with the same change id.

The result is reported as unknown only after all attempts have failed.
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
    RecordConflictError,
)

if TYPE_CHECKING:
    from tanagerturn.coordination.client import StateClient
    from tanagerturn.coordination.ids import ChangeId, GroupId

MAX_COMMIT_ATTEMPTS: Final = 3
Status = coordination_pb2.CommandResult.Status


@dataclass(frozen=True)
class Write:
    """One write of a record."""

    step: str
    """Name of the operation, for error messages."""
    change_id: ChangeId
    """Id by which the store applies the write at most once."""
    transaction: coordination_pb2.Transaction
    """Put or delete of the record, followed by puts and deletes of index entries."""

    @property
    def key(self) -> str:
        """Return the store key of the record."""
        if self.transaction.puts and self.transaction.puts[0].key.startswith("request"):
            return self.transaction.puts[0].key
        return self.transaction.deletes[0].key

    @property
    def value(self) -> bytes | None:
        """Return the serialized record to store; None if the record is deleted."""
        for put in self.transaction.puts:
            if put.key == self.key:
                return put.value
        return None

    @property
    def expected_revision(self) -> int:
        """Return the store revision of the record that the write replaces."""
        if self.value is None:
            return self.transaction.deletes[0].expected_revision
        return self.transaction.puts[0].expected_revision


@dataclass(frozen=True)
class Committer:
    """Commits writes to one replication group."""

    client: StateClient
    """Client of the replicated state store."""
    group: GroupId
    """Replication group that stores the records."""
    timeout_s: float
    """Timeout of each call to the store in seconds."""

    def commit(self, write: Write) -> Result[Revision, StepError]:
        """Commit a write; after a lost response, read the record back.

        Args:
            write: The write, whose transaction is sent at most `MAX_COMMIT_ATTEMPTS`
                times.

        Returns:
            The new store revision of the record; or a `RecordConflictError`,
            `OwnerFencedError` or `StepError` if the write was not and will not be
            applied; or a `CommitUnknownError` if the result is unknown.
        """
        command = coordination_pb2.Command(
            change_id=write.change_id, transaction=write.transaction
        )
        answer_lost = False
        failure: StepError | None = None
        for _ in range(MAX_COMMIT_ATTEMPTS):
            proposed = self.client.propose(self.group, command, self.timeout_s)
            if proposed.is_ok():
                return _interpret_result(write, proposed.ok)
            failure = proposed.error
            answer_lost = answer_lost or isinstance(failure, UnavailableError)
            # If the response to an earlier attempt was lost, a refusal of this attempt
            # does not tell whether the earlier one was applied.
            if not answer_lost:
                return Error(failure)
            settled = self._read_back(write)
            if settled is not None:
                return settled
        reason = f"no answer after {MAX_COMMIT_ATTEMPTS} tries ({failure})"
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
        return Error(conflict_error(write.step, value))


def conflict_error(step: str, value: bytes | None) -> RecordConflictError:
    """Return the error for a record that another process wrote first.

    Args:
        step: Name of the operation that failed.
        value: The serialized stored record; None or empty if no record is stored.
    """
    if not value:
        return RecordConflictError(step, "", None)
    record = RequestRecord.FromString(value)
    return RecordConflictError(step, record.owner, record)


def _interpret_result(
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
        return Error(conflict_error(write.step, value))
    reason = result.reason or Status.Name(result.status)
    return Error(StepError(write.step, write.key, reason))
