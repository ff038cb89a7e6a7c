"""Input and result types of the request ledger."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from expression import Result

from tanagerturn.coordination.errors import StepError
from tanagerturn.coordination.ids import ProcessId, Revision
from tanagerturn.schema import serving_pb2 as pb
from tanagerturn.serving.requests import lifecycle

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
    """A request that the ledger is asked to accept."""

    client_account: ClientAccountId
    """Client account that sent the request."""
    idempotency_key: IdempotencyKey
    """Idempotency key that the caller assigned."""
    request_id: RequestId
    """Id that the entry host assigned to the request."""
    service: str
    """Name of the service that the request calls."""
    kind: pb.CallKind.ValueType
    """Call kind from the settings of the service: what is allowed after a failure."""
    priority: pb.Priority.ValueType
    """Priority of the request."""
    fingerprint: bytes
    """Hash of the method, path and body, by which a reused key is detected."""
    request: pb.CallerRequest
    """Contents that another entry host needs to run or settle the request."""
    deadline_at_ms: int
    """Wall clock time in milliseconds after which the caller no longer waits."""
    keep_ms: int
    """Milliseconds for which the record is retained after its final state."""


@dataclass(frozen=True)
class StoredRecord:
    """A stored record with its store revision."""

    record: pb.RequestRecord
    """The record."""
    revision: Revision
    """Store revision of the last write of the record."""

    @property
    def actor(self) -> lifecycle.Actor:
        """Return the owner of the record with its fencing number."""
        return lifecycle.Actor(ProcessId(self.record.owner), self.record.fencing_number)


@dataclass(frozen=True)
class Permitted:
    """A stored record with the permission to send its current attempt."""

    stored_record: StoredRecord
    """The stored record, in state DISPATCHING."""
    permission: Permission
    """Permission for the current attempt."""


@dataclass(frozen=True)
class ExistingRequest:
    """The idempotency key was used before for the same request."""

    stored_record: StoredRecord
    """The stored record of the earlier request."""


Accepted = Result[Permitted | ExistingRequest, StepError]
"""Result of accepting a request together with the permission to send it."""


def parse_stored_record(entry: KeyValue) -> StoredRecord:
    """Parse the record that an entry of the store contains."""
    record = pb.RequestRecord.FromString(entry.value)
    return StoredRecord(record, Revision(entry.mod_revision))
