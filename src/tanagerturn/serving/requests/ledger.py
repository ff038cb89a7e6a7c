"""Commits the transitions of request records for one owner process.

The ledger keeps no state in memory except the abandoned records whose first commit is
not confirmed; `settle_unconfirmed` ends these requests later.
"""

from __future__ import annotations

import itertools
import threading
from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result

from tanagerturn.coordination.ids import ChangeId, ProcessId, Revision
from tanagerturn.schema import serving_pb2 as pb
from tanagerturn.serving.requests import lifecycle
from tanagerturn.serving.requests._commit import Committer, Write
from tanagerturn.serving.requests.errors import (
    CommitUnknownError,
    KeyReusedError,
    OwnerFencedError,
    RecordConflictError,
)
from tanagerturn.serving.requests.layout import (
    build_write,
    open_prefix,
    parse_index_key,
    record_key,
    request_key,
)
from tanagerturn.serving.requests.permission import make_permission
from tanagerturn.serving.requests.stored import (
    Accepted,
    ExistingRequest,
    NewRequest,
    Permitted,
    StoredRecord,
    parse_stored_record,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tanagerturn.coordination.client import StateClient
    from tanagerturn.coordination.errors import StepError
    from tanagerturn.coordination.ids import GroupId
    from tanagerturn.schema.coordination_pb2 import Fence
    from tanagerturn.serving.requests.ids import (
        ClientAccountId,
        IdempotencyKey,
    )

CALL_TIMEOUT_S: Final = 1.0
SCAN_LIMIT: Final = 500


class RequestLedger:
    """Commits the records of one owner process; thread-safe.

    Args:
        client: Client of the replicated state store.
        group: Replication group that stores the records.
        owner: Id of the owner process, new at each start of the process.
        timeout_s: Timeout of each call to the store in seconds.
    """

    def __init__(
        self,
        client: StateClient,
        group: GroupId,
        owner: ProcessId,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self.client = client
        """Client of the replicated state store."""
        self.group = group
        """Replication group that stores the records."""
        self.owner = owner
        """Id of the process that owns the records accepted with this ledger."""
        self.timeout_s = timeout_s
        """Timeout of each call to the store in seconds."""
        self.fence: Fence | None = None
        """Lease that the store checks on each write of the owner; None for no check."""
        self.committer = Committer(client, group, timeout_s)
        """Commits the writes of this ledger."""
        self.unconfirmed: dict[str, pb.RequestRecord] = {}
        """Abandoned records whose first commit is not confirmed, by store key."""
        self.lock = threading.Lock()
        """Lock of `unconfirmed`."""
        self.change_numbers = itertools.count(1)
        """Source of the numbers that make the change ids of this owner unique."""

    def __repr__(self) -> str:
        return f"RequestLedger(owner={self.owner!r}, unsettled={len(self.unconfirmed)})"

    def accept_and_permit(
        self, new_request: NewRequest, backend_server: str, now_ms: int, now_s: float
    ) -> Accepted:
        """Accept a request and permit its first attempt in one commit.

        Args:
            new_request: The request.
            backend_server: Id of the backend server to which the attempt will be sent.
            now_ms: Current wall clock time in milliseconds.
            now_s: Monotonic time in seconds, read before this call.

        Returns:
            The permission, or the existing record of the idempotency key; or a
            `KeyReusedError`, `OwnerFencedError` or `StepError` if the request was not
            and will not be accepted; or a `CommitUnknownError`, after which the caller
            must call `abandon`.
        """
        record = self.make_record(new_request, now_ms)
        permitted = lifecycle.apply(
            lifecycle.Permit(lifecycle.Actor(self.owner, 1), backend_server),
            record,
            now_ms,
        )
        if permitted.is_error():
            return Error(permitted.error)
        permission = make_permission(1, now_s)
        committed = self._create("accept and permit", permitted.ok)
        return committed.map(
            lambda found: (
                found
                if isinstance(found, ExistingRequest)
                else Permitted(found, permission)
            )
        )

    def accept(
        self, new_request: NewRequest, now_ms: int
    ) -> Result[StoredRecord | ExistingRequest, StepError]:
        """Accept a request without permitting an attempt.

        Args:
            new_request: The request.
            now_ms: Current wall clock time in milliseconds.

        Returns:
            As `accept_and_permit`, but the stored record instead of the permission.
        """
        return self._create("accept", self.make_record(new_request, now_ms))

    def permit(
        self,
        stored_record: StoredRecord,
        backend_server: str,
        now_ms: int,
        now_s: float,
    ) -> Result[Permitted, StepError]:
        """Permit the first attempt of an accepted request.

        Args:
            stored_record: The record of the request.
            backend_server: Id of the backend server to which the attempt will be sent.
            now_ms: Current wall clock time in milliseconds.
            now_s: Monotonic time in seconds, read before this call.
        """
        transition = lifecycle.Permit(stored_record.actor, backend_server)
        return self._permit(stored_record, transition, now_ms, now_s)

    def permit_again(
        self,
        stored_record: StoredRecord,
        no_byte_sent: bool,
        backend_server: str,
        now_ms: int,
        now_s: float,
    ) -> Result[Permitted, StepError]:
        """Permit a further attempt of a request.

        Args:
            stored_record: The record of the request.
            no_byte_sent: Whether this process states that no byte of its earlier
                attempt was sent.
            backend_server: Id of the backend server to which the attempt will be sent.
            now_ms: Current wall clock time in milliseconds.
            now_s: Monotonic time in seconds, read before this call.
        """
        transition = lifecycle.PermitAgain(
            stored_record.actor, no_byte_sent, backend_server
        )
        return self._permit(stored_record, transition, now_ms, now_s)

    def finish(
        self,
        stored_record: StoredRecord,
        answer: pb.Answer,
        now_ms: int,
        limit_bytes: int,
    ) -> Result[StoredRecord, StepError]:
        """Store the response to a request as its outcome.

        Args:
            stored_record: The record of the request.
            answer: The response; a body of more than `limit_bytes` is not stored, and
                the record states this.
            now_ms: Current wall clock time in milliseconds.
            limit_bytes: Maximum size of a stored body in bytes.
        """
        kept = pb.Answer()
        kept.CopyFrom(answer)
        if len(kept.body) > limit_bytes:
            kept.body = b""
            kept.body_dropped = True
        return self.transition(
            stored_record, lifecycle.Finish(stored_record.actor, kept), now_ms
        )

    def end_not_run(
        self,
        stored_record: StoredRecord,
        proof: lifecycle.Proof,
        reason: str,
        step: str,
        now_ms: int,
    ) -> Result[StoredRecord, StepError]:
        """End a request as not run; only after this commit may the caller be told.

        Args:
            stored_record: The record of the request.
            proof: Evidence that the request did not run.
            reason: Why it did not run, for the caller.
            step: Name of the operation that failed.
            now_ms: Current wall clock time in milliseconds.
        """
        transition = lifecycle.GiveUp(stored_record.actor, proof, reason, step)
        return self.transition(stored_record, transition, now_ms)

    def end_unknown(
        self, stored_record: StoredRecord, reason: str, step: str, now_ms: int
    ) -> Result[StoredRecord, StepError]:
        """End a request with an unknown outcome.

        Args:
            stored_record: The record of the request.
            reason: Why the outcome is unknown, for the caller.
            step: Name of the operation that failed.
            now_ms: Current wall clock time in milliseconds.
        """
        return self.transition(
            stored_record,
            lifecycle.LoseTrack(stored_record.actor, reason, step),
            now_ms,
        )

    def cancel(
        self, stored_record: StoredRecord, now_ms: int
    ) -> Result[StoredRecord, StepError]:
        """End a request that its caller cancelled."""
        return self.transition(
            stored_record, lifecycle.Cancel(stored_record.actor), now_ms
        )

    def transition(
        self, stored_record: StoredRecord, transition: lifecycle.Transition, now_ms: int
    ) -> Result[StoredRecord, StepError]:
        """Apply a transition to a record and commit the new record.

        Args:
            stored_record: The record before the transition.
            transition: The transition.
            now_ms: Current wall clock time in milliseconds.

        Returns:
            The stored record after the transition; or a `TransitionRefusedError`,
            `RecordConflictError`, `OwnerFencedError` or `StepError` if the transition
            was not and will not be applied; or a `CommitUnknownError`.
        """
        after = lifecycle.apply(transition, stored_record.record, now_ms)
        if after.is_error():
            return Error(after.error)
        step = type(transition).__name__.lower()
        return self._store(step, stored_record.record, after.ok, stored_record.revision)

    def read(
        self, account: ClientAccountId, key: IdempotencyKey
    ) -> Result[StoredRecord | None, StepError]:
        """Read the record of an idempotency key; None if no record is stored."""
        found = self.client.read(self.group, request_key(account, key), self.timeout_s)
        return found.map(
            lambda entry: None if entry is None else parse_stored_record(entry)
        )

    def read_record(
        self, record: pb.RequestRecord
    ) -> Result[StoredRecord | None, StepError]:
        """Read the stored version of a record; None if no record is stored."""
        found = self.client.read(self.group, record_key(record), self.timeout_s)
        return found.map(
            lambda entry: None if entry is None else parse_stored_record(entry)
        )

    def abandon(
        self, record: pb.RequestRecord, reason: str, now_ms: int
    ) -> Result[StoredRecord, StepError]:
        """End a request as not run after the result of its first commit was lost.

        No byte of the request was sent. The record is written in state NOT_RUN,
        whether or not it is stored already, so that the lost commit can no longer be
        applied. If the result of this write is unknown, the record is retained for
        `settle_unconfirmed`.

        Args:
            record: The record that the first commit was to write.
            reason: Why the request did not run, for the caller.
            now_ms: Current wall clock time in milliseconds.

        Returns:
            The record in state NOT_RUN, or as another process left it; or an
            `OwnerFencedError` if no record is stored and none will be written; or a
            `CommitUnknownError`, after which the caller must not be told that the
            request did not run.
        """
        result = self._abandon(record, reason, now_ms)
        key = record_key(record)
        with self.lock:
            if result.is_error() and isinstance(result.error, CommitUnknownError):
                self.unconfirmed[key] = record
            else:
                self.unconfirmed.pop(key, None)
        return result

    def settle_unconfirmed(self, now_ms: int) -> int:
        """Call `abandon` again for the requests that it could not end.

        Args:
            now_ms: Current wall clock time in milliseconds.

        Returns:
            Number of requests that could still not be ended.
        """
        with self.lock:
            records = list(self.unconfirmed.values())
        for record in records:
            self.abandon(record, "the commit was not confirmed", now_ms)
        with self.lock:
            return len(self.unconfirmed)

    def open_records(
        self, owner: ProcessId
    ) -> Iterator[Result[StoredRecord, StepError]]:
        """Yield the records on which an owner still has to act.

        A read error is yielded in place of the record; after an error of the index
        scan, nothing more is yielded.
        """
        after_key = ""
        while True:
            page = self.client.scan(
                self.group, open_prefix(owner), self.timeout_s, after_key, SCAN_LIMIT
            )
            if page.is_error():
                yield Error(page.error)
                return
            for entry in page.ok.entries:
                after_key = entry.key
                found = self.read(*parse_index_key(entry.key))
                if found.is_error():
                    yield Error(found.error)
                elif found.ok is not None and found.ok.record.owner == owner:
                    yield Ok(found.ok)
            if not page.ok.more:
                return

    def make_record(self, new_request: NewRequest, now_ms: int) -> pb.RequestRecord:
        """Return the record of a new request in state ACCEPTED, without storing it."""
        return pb.RequestRecord(
            client_account=new_request.client_account,
            idempotency_key=new_request.idempotency_key,
            request_id=new_request.request_id,
            service=new_request.service,
            kind=new_request.kind,
            priority=new_request.priority,
            fingerprint=new_request.fingerprint,
            state=pb.ACCEPTED,
            owner=self.owner,
            fencing_number=1,
            request=new_request.request,
            accepted_at_ms=now_ms,
            deadline_at_ms=new_request.deadline_at_ms,
            keep_ms=new_request.keep_ms,
        )

    def _create(
        self, step: str, record: pb.RequestRecord
    ) -> Result[StoredRecord | ExistingRequest, StepError]:
        stored = self._store(step, None, record, Revision(0))
        if stored.is_ok():
            return Ok(stored.ok)
        error = stored.error
        if not isinstance(error, RecordConflictError) or error.current is None:
            return Error(error)
        if error.current.fingerprint != record.fingerprint:
            reason = "the idempotency key was used for another request"
            return Error(KeyReusedError(step, "", reason))
        return self._read_existing(step, record)

    def _read_existing(
        self, step: str, record: pb.RequestRecord
    ) -> Result[StoredRecord | ExistingRequest, StepError]:
        found = self.client.read(self.group, record_key(record), self.timeout_s)
        if found.is_error():
            return Error(found.error)
        if found.ok is None:
            return Error(RecordConflictError(step, "", None))
        return Ok(ExistingRequest(parse_stored_record(found.ok)))

    def _permit(
        self,
        stored_record: StoredRecord,
        transition: lifecycle.Transition,
        now_ms: int,
        now_s: float,
    ) -> Result[Permitted, StepError]:
        permission = make_permission(stored_record.record.attempt + 1, now_s)
        result = self.transition(stored_record, transition, now_ms)
        return result.map(lambda after: Permitted(after, permission))

    def _store(
        self,
        step: str,
        before: pb.RequestRecord | None,
        after: pb.RequestRecord,
        revision: Revision,
    ) -> Result[StoredRecord, StepError]:
        transaction = build_write(before, after, revision)
        if self.fence is not None:
            transaction.fences.append(self.fence)
        change_id = ChangeId(f"{self.owner}/{next(self.change_numbers)}")
        committed = self.committer.commit(Write(step, change_id, transaction))
        return committed.map(lambda revision: StoredRecord(after, revision))

    def _abandon(
        self, record: pb.RequestRecord, reason: str, now_ms: int
    ) -> Result[StoredRecord, StepError]:
        step = "abandon"
        found = self.client.read(self.group, record_key(record), self.timeout_s)
        if found.is_error():
            return Error(CommitUnknownError(step, "", str(found.error)))
        if found.ok is None:
            stored = self._store(
                step, None, _not_run_record(record, now_ms), Revision(0)
            )
        else:
            stored_record = parse_stored_record(found.ok)
            if stored_record.actor != lifecycle.Actor(
                self.owner, 1
            ) or not lifecycle.is_open(stored_record.record):
                return Ok(stored_record)
            sending = stored_record.record.state in lifecycle.MAY_HAVE_SENT
            proof = (
                lifecycle.Proof.NO_BYTE_SENT
                if sending
                else lifecycle.Proof.NEVER_PERMITTED
            )
            stored = self.end_not_run(stored_record, proof, reason, step, now_ms)
        return self._resolve_abandoned(record, stored)

    def _resolve_abandoned(
        self, record: pb.RequestRecord, stored: Result[StoredRecord, StepError]
    ) -> Result[StoredRecord, StepError]:
        if stored.is_ok():
            return stored
        error = stored.error
        if not isinstance(error, RecordConflictError | OwnerFencedError):
            return Error(CommitUnknownError(error.step, error.peer, error.reason))
        found = self.client.read(self.group, record_key(record), self.timeout_s)
        if found.is_error():
            return Error(CommitUnknownError(error.step, error.peer, error.reason))
        if found.ok is not None:
            return Ok(parse_stored_record(found.ok))
        # No record was found, and this write was refused; the lost commit carries the
        # same fence as this write, so it would be refused, too.
        return Error(error)


def _not_run_record(record: pb.RequestRecord, now_ms: int) -> pb.RequestRecord:
    after = pb.RequestRecord()
    after.CopyFrom(record)
    after.state = pb.NOT_RUN
    after.ended_at_ms = now_ms
    after.reason = "the commit was not confirmed"
    after.step = "accept"
    after.ClearField("request")
    return after
