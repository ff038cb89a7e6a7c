"""Commits the moves of records for one owner process.

The ledger keeps no state of its own but the writes whose outcome is unknown;
those are settled later by `settle_unknown`.
"""

from __future__ import annotations

import itertools
import threading
from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result

from tanagerturn.coordination.ids import ChangeId, ProcessId, Revision
from tanagerturn.schema import serving_pb2 as pb
from tanagerturn.serving.requests import life
from tanagerturn.serving.requests._commit import Committer, Write
from tanagerturn.serving.requests.errors import (
    CommitUnknownError,
    KeyReusedError,
    OwnerFencedError,
    RecordMovedError,
)
from tanagerturn.serving.requests.held import (
    Accepted,
    Existing,
    Held,
    NewRequest,
    Permitted,
    held_of,
)
from tanagerturn.serving.requests.layout import (
    named_by,
    open_prefix,
    record_key,
    request_key,
    write_record,
)
from tanagerturn.serving.requests.permission import make_permission

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
    """Commits the records of one owner process; safe for several threads.

    Args:
        client: Calls to the replicated store.
        group: Group that holds the records.
        owner: Name of the owner process, new at each start of the process.
        timeout_s: Time that one call to the store may last, in seconds.
    """

    def __init__(
        self,
        client: StateClient,
        group: GroupId,
        owner: ProcessId,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self.client = client
        """Calls to the replicated store."""
        self.group = group
        """Group that holds the records."""
        self.owner = owner
        """Owner of the records that this ledger accepts."""
        self.timeout_s = timeout_s
        """Time that one call to the store may last, in seconds."""
        self.fence: Fence | None = None
        """Lease without which no write of this owner is applied; None: no lease."""
        self.committer = Committer(client, group, timeout_s)
        """Carries the writes."""
        self.unknown: dict[str, pb.RequestRecord] = {}
        """Records given up while their commit was unknown, by store key."""
        self.lock = threading.Lock()
        """Guards `unknown`."""
        self.numbers = itertools.count(1)
        """Numbers of the writes, for change ids."""

    def __repr__(self) -> str:
        return f"RequestLedger(owner={self.owner!r}, unknown={len(self.unknown)})"

    def accept_and_permit(
        self, new: NewRequest, backend_server: str, now_ms: int, now_s: float
    ) -> Accepted:
        """Accept a request and permit its first attempt, in one commit.

        Args:
            new: The request.
            backend_server: Backend server that the attempt is meant for.
            now_ms: Present wall clock in milliseconds.
            now_s: Present monotonic clock in seconds, read before this call.

        Returns:
            The permission, or the record that the key already names; or a
            `KeyReusedError`, `OwnerFencedError`, `StepError` (not accepted and
            never will be), or a `CommitUnknownError`: then call `abandon`.
        """
        record = self.make_record(new, now_ms)
        permitted = life.apply(
            life.Permit(life.Actor(self.owner, 1), backend_server), record, now_ms
        )
        if permitted.is_error():
            return Error(permitted.error)
        permission = make_permission(1, now_s)
        committed = self._create("accept and permit", permitted.ok)
        return committed.map(
            lambda found: (
                found if isinstance(found, Existing) else Permitted(found, permission)
            )
        )

    def accept(
        self, new: NewRequest, now_ms: int
    ) -> Result[Held | Existing, StepError]:
        """Accept a request that waits for its first attempt.

        Args:
            new: The request.
            now_ms: Present wall clock in milliseconds.

        Returns:
            As `accept_and_permit`, without permission.
        """
        return self._create("accept", self.make_record(new, now_ms))

    def permit(
        self, held: Held, backend_server: str, now_ms: int, now_s: float
    ) -> Result[Permitted, StepError]:
        """Permit the first attempt of an accepted request."""
        move = life.Permit(held.mine, backend_server)
        return self._permit(held, move, now_ms, now_s)

    def permit_again(
        self,
        held: Held,
        no_byte_left: bool,
        backend_server: str,
        now_ms: int,
        now_s: float,
    ) -> Result[Permitted, StepError]:
        """Permit a further attempt.

        Args:
            held: The record.
            no_byte_left: Statement of this process about its earlier attempt.
            backend_server: Backend server that the attempt is meant for.
            now_ms: Present wall clock in milliseconds.
            now_s: Present monotonic clock in seconds, read before this call.
        """
        move = life.PermitAgain(held.mine, no_byte_left, backend_server)
        return self._permit(held, move, now_ms, now_s)

    def finish(
        self, held: Held, answer: pb.Answer, now_ms: int, limit_bytes: int
    ) -> Result[Held, StepError]:
        """Keep the answer; a body over the limit is dropped and marked so."""
        kept = pb.Answer()
        kept.CopyFrom(answer)
        if len(kept.body) > limit_bytes:
            kept.body = b""
            kept.body_dropped = True
        return self.move(held, life.Finish(held.mine, kept), now_ms)

    def not_run(
        self, held: Held, proof: life.Proof, reason: str, step: str, now_ms: int
    ) -> Result[Held, StepError]:
        """End a request as not run; only then may the caller be told so."""
        move = life.GiveUp(held.mine, proof, reason, step)
        return self.move(held, move, now_ms)

    def lose_track(
        self, held: Held, reason: str, step: str, now_ms: int
    ) -> Result[Held, StepError]:
        """End a request with its outcome unknown."""
        return self.move(held, life.LoseTrack(held.mine, reason, step), now_ms)

    def cancel(self, held: Held, now_ms: int) -> Result[Held, StepError]:
        """End a request that its caller gave up."""
        return self.move(held, life.Cancel(held.mine), now_ms)

    def move(self, held: Held, move: life.Move, now_ms: int) -> Result[Held, StepError]:
        """Commit any move of a record.

        Returns:
            The record after it; or a `MoveRefusedError`, `RecordMovedError`,
            `OwnerFencedError` or `StepError` when it was not and will not be
            applied; or a `CommitUnknownError`.
        """
        after = life.apply(move, held.record, now_ms)
        if after.is_error():
            return Error(after.error)
        step = type(move).__name__.lower()
        return self._store(step, held.record, after.ok, held.revision)

    def read(
        self, account: ClientAccountId, key: IdempotencyKey
    ) -> Result[Held | None, StepError]:
        """Read the record that a key names; None when there is none."""
        found = self.client.read(self.group, request_key(account, key), self.timeout_s)
        return found.map(lambda entry: None if entry is None else held_of(entry))

    def read_record(self, record: pb.RequestRecord) -> Result[Held | None, StepError]:
        """Read the record again that is at hand."""
        found = self.client.read(self.group, record_key(record), self.timeout_s)
        return found.map(lambda entry: None if entry is None else held_of(entry))

    def abandon(
        self, record: pb.RequestRecord, reason: str, now_ms: int
    ) -> Result[Held, StepError]:
        """Settle a request whose first commit is unknown: it is not run.

        No byte left for it. The record moves to not run whether or not it was
        there, so that the lost commit can't be applied any more. When the store
        does not answer, the record is remembered for `settle_unknown`.

        Args:
            record: The record that was to be committed.
            reason: What went wrong, for the caller.
            now_ms: Present wall clock in milliseconds.

        Returns:
            The record in state not run, or as another process left it; or an
            `OwnerFencedError`: there is no record and there will be none; or a
            `CommitUnknownError`, after which "not run" must not be said.
        """
        settled = self._abandon(record, reason, now_ms)
        key = record_key(record)
        with self.lock:
            if settled.is_error() and isinstance(settled.error, CommitUnknownError):
                self.unknown[key] = record
            else:
                self.unknown.pop(key, None)
        return settled

    def settle_unknown(self, now_ms: int) -> int:
        """Try again what `abandon` could not settle; return how many are left."""
        with self.lock:
            records = list(self.unknown.values())
        for record in records:
            self.abandon(record, "the commit was not confirmed", now_ms)
        with self.lock:
            return len(self.unknown)

    def open_records(self, owner: ProcessId) -> Iterator[Result[Held, StepError]]:
        """Yield the records that an owner still has to act on."""
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
                found = self.read(*named_by(entry.key))
                if found.is_error():
                    yield Error(found.error)
                elif found.ok is not None and found.ok.record.owner == owner:
                    yield Ok(found.ok)
            if not page.ok.more:
                return

    def make_record(self, new: NewRequest, now_ms: int) -> pb.RequestRecord:
        """Make the record of a request as accepted, not yet stored."""
        return pb.RequestRecord(
            client_account=new.client_account,
            idempotency_key=new.idempotency_key,
            request_id=new.request_id,
            service=new.service,
            kind=new.kind,
            priority=new.priority,
            fingerprint=new.fingerprint,
            state=pb.ACCEPTED,
            owner=self.owner,
            fencing_number=1,
            request=new.request,
            accepted_at_ms=now_ms,
            deadline_at_ms=new.deadline_at_ms,
            keep_ms=new.keep_ms,
        )

    def _create(
        self, step: str, record: pb.RequestRecord
    ) -> Result[Held | Existing, StepError]:
        stored = self._store(step, None, record, Revision(0))
        if stored.is_ok():
            return Ok(stored.ok)
        error = stored.error
        if not isinstance(error, RecordMovedError) or error.current is None:
            return Error(error)
        if error.current.fingerprint != record.fingerprint:
            reason = "the idempotency key was used for another request"
            return Error(KeyReusedError(step, "", reason))
        return self._existing(step, record)

    def _existing(
        self, step: str, record: pb.RequestRecord
    ) -> Result[Held | Existing, StepError]:
        found = self.client.read(self.group, record_key(record), self.timeout_s)
        if found.is_error():
            return Error(found.error)
        if found.ok is None:
            return Error(RecordMovedError(step, "", None))
        return Ok(Existing(held_of(found.ok)))

    def _permit(
        self, held: Held, move: life.Move, now_ms: int, now_s: float
    ) -> Result[Permitted, StepError]:
        permission = make_permission(held.record.attempt + 1, now_s)
        moved = self.move(held, move, now_ms)
        return moved.map(lambda after: Permitted(after, permission))

    def _store(
        self,
        step: str,
        before: pb.RequestRecord | None,
        after: pb.RequestRecord,
        revision: Revision,
    ) -> Result[Held, StepError]:
        transaction = write_record(before, after, revision)
        if self.fence is not None:
            transaction.fences.append(self.fence)
        change_id = ChangeId(f"{self.owner}/{next(self.numbers)}")
        committed = self.committer.commit(Write(step, change_id, transaction))
        return committed.map(lambda revision: Held(after, revision))

    def _abandon(
        self, record: pb.RequestRecord, reason: str, now_ms: int
    ) -> Result[Held, StepError]:
        step = "abandon"
        found = self.client.read(self.group, record_key(record), self.timeout_s)
        if found.is_error():
            return Error(CommitUnknownError(step, "", str(found.error)))
        if found.ok is None:
            stored = self._store(step, None, _tombstone(record, now_ms), Revision(0))
        else:
            held = held_of(found.ok)
            if held.mine != life.Actor(self.owner, 1) or not life.is_open(held.record):
                return Ok(held)
            sending = held.record.state in life.SENDING
            proof = life.Proof.NO_BYTE_LEFT if sending else life.Proof.NEVER_PERMITTED
            stored = self.not_run(held, proof, reason, step, now_ms)
        return self._settled(record, stored)

    def _settled(
        self, record: pb.RequestRecord, stored: Result[Held, StepError]
    ) -> Result[Held, StepError]:
        if stored.is_ok():
            return stored
        error = stored.error
        if not isinstance(error, RecordMovedError | OwnerFencedError):
            return Error(CommitUnknownError(error.step, error.peer, error.reason))
        found = self.client.read(self.group, record_key(record), self.timeout_s)
        if found.is_error():
            return Error(CommitUnknownError(error.step, error.peer, error.reason))
        if found.ok is not None:
            return Ok(held_of(found.ok))
        # The lost commit carries the same fence, so that it can't be applied now.
        return Error(error)


def _tombstone(record: pb.RequestRecord, now_ms: int) -> pb.RequestRecord:
    after = pb.RequestRecord()
    after.CopyFrom(record)
    after.state = pb.NOT_RUN
    after.ended_at_ms = now_ms
    after.reason = "the commit was not confirmed"
    after.step = "accept"
    after.ClearField("request")
    return after
