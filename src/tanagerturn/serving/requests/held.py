"""Records as the ledger hands them out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from expression import Result

from tanagerturn.coordination.errors import StepError
from tanagerturn.coordination.ids import ProcessId, Revision
from tanagerturn.schema import serving_pb2 as pb
from tanagerturn.serving.requests import life

if TYPE_CHECKING:
    from tanagerturn.schema.coordination_pb2 import KeyValue
    from tanagerturn.serving.requests.ids import (
        ClientAccountId,
        IdempotencyKey,
        RequestId,
    )
    from tanagerturn.serving.requests.permission import Permission


@dataclass(frozen=True)
class NewRequest:
    """A request that is to be accepted."""

    client_account: ClientAccountId
    """Client account that sent it."""
    idempotency_key: IdempotencyKey
    """Name that the caller gave it."""
    request_id: RequestId
    """Name that the entry host gave it."""
    service: str
    """Service that it is for."""
    kind: pb.CallKind.ValueType
    """What the service's settings allow after a failure."""
    priority: pb.Priority.ValueType
    """Priority in the queue."""
    fingerprint: bytes
    """Hash of method, path and body."""
    request: pb.CallerRequest
    """What another entry host needs to run or settle it."""
    deadline_at_ms: int
    """Wall clock after which the caller no longer waits."""
    keep_ms: int
    """Time that the record is kept after its end."""


@dataclass(frozen=True)
class Held:
    """A record with the revision at which it is stored."""

    record: pb.RequestRecord
    """The record."""
    revision: Revision
    """Revision of its last write."""

    @property
    def mine(self) -> life.Actor:
        """Return the record's owner with its number."""
        return life.Actor(ProcessId(self.record.owner), self.record.fencing_number)


@dataclass(frozen=True)
class Permitted:
    """A held record with the permission to send its attempt."""

    held: Held
    """The record, in state dispatching."""
    permission: Permission
    """How long the first byte may leave."""


@dataclass(frozen=True)
class Existing:
    """The key already names this same request."""

    held: Held
    """The record as stored."""


Accepted = Result[Permitted | Existing, StepError]
"""Outcome of accepting a request with the permission to send it."""


def held_of(entry: KeyValue) -> Held:
    """Return the record that a stored entry holds."""
    record = pb.RequestRecord.FromString(entry.value)
    return Held(record, Revision(entry.mod_revision))
