"""Operator commands on request records: list, show, resolve and remove expired ones."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result

from tanagerturn.coordination.errors import RefusedError
from tanagerturn.coordination.ids import ChangeId
from tanagerturn.schema import serving_pb2 as pb
from tanagerturn.serving.requests import lifecycle
from tanagerturn.serving.requests._commit import Write
from tanagerturn.serving.requests.ids import ClientAccountId, IdempotencyKey
from tanagerturn.serving.requests.layout import (
    EXPIRE_PREFIX,
    OPEN_PREFIX,
    REQUEST_PREFIX,
    UNKNOWN_PREFIX,
    build_removal,
    expiry_from_key,
    parse_index_key,
)

if TYPE_CHECKING:
    from tanagerturn.coordination.errors import StepError
    from tanagerturn.serving.requests.ledger import RequestLedger
    from tanagerturn.serving.requests.stored import StoredRecord

PAGE_LIMIT: Final = 200


@dataclass(frozen=True)
class RequestSummary:
    """One row of a list of requests."""

    client_account: str
    """Client account that sent the request."""
    idempotency_key: str
    """Idempotency key that the caller assigned."""
    request_id: str
    """Id that the entry host assigned to the request."""
    service: str
    """Service that the request calls."""
    state: str
    """Name of the state of the request in lower case."""
    owner: str
    """Id of the entry process that owns the record."""
    attempt: int
    """Number of attempts that were permitted so far."""
    backend_server: str
    """Id of the backend server of the last attempt; empty before the first."""
    accepted_at_ms: int
    """Wall clock time in milliseconds at which the request was accepted."""
    step: str
    """Name of the operation that failed; empty if none failed."""
    reason: str
    """Why the operation failed; empty if none failed."""


@dataclass(frozen=True)
class RequestPage:
    """One page of a list of requests."""

    requests: tuple[RequestSummary, ...]
    """Requests on this page, in the order of their store keys."""
    next_key: str
    """Store key after which the next page starts; empty on the last page."""


def summarize(record: pb.RequestRecord) -> RequestSummary:
    """Return the row of a record in a list of requests."""
    return RequestSummary(
        client_account=record.client_account,
        idempotency_key=record.idempotency_key,
        request_id=record.request_id,
        service=record.service,
        state=pb.RequestState.Name(record.state).lower(),
        owner=record.owner,
        attempt=record.attempt,
        backend_server=record.backend_server,
        accepted_at_ms=record.accepted_at_ms,
        step=record.step,
        reason=record.reason,
    )


def parse_state(name: str) -> Result[pb.RequestState.ValueType, StepError]:
    """Return the request state with a name in lower case, such as `outcome_unknown`."""
    try:
        return Ok(pb.RequestState.Value(name.upper()))
    except ValueError:
        known = ", ".join(key.lower() for key in list(pb.RequestState.keys())[1:])
        reason = f"no state {name!r}; states are {known}"
        return Error(RefusedError("list requests", "", reason))


def list_requests(
    ledger: RequestLedger,
    state: pb.RequestState.ValueType | None = None,
    after_key: str = "",
    limit: int = PAGE_LIMIT,
) -> Result[RequestPage, StepError]:
    """Return a page of requests, read with the index of the state if there is one.

    Args:
        ledger: Any ledger of the replication group that stores the records.
        state: State of the listed requests; None for all states.
        after_key: `next_key` of the previous page; empty for the first page.
        limit: Maximum number of store keys to read.
    """
    prefix = _prefix(state)
    page = ledger.client.scan(ledger.group, prefix, ledger.timeout_s, after_key, limit)
    if page.is_error():
        return Error(page.error)
    summaries = []
    for entry in page.ok.entries:
        found = ledger.read(*parse_index_key(entry.key))
        if found.is_error():
            return Error(found.error)
        if found.ok is None or state not in (None, found.ok.record.state):
            continue
        summaries.append(summarize(found.ok.record))
    next_key = page.ok.entries[-1].key if page.ok.more else ""
    return Ok(RequestPage(tuple(summaries), next_key))


def show_request(
    ledger: RequestLedger, account: str, key: str
) -> Result[pb.RequestRecord, StepError]:
    """Return the record of an account's idempotency key.

    Args:
        ledger: Any ledger of the replication group that stores the records.
        account: Client account of the request.
        key: Idempotency key of the request.
    """
    return _require_record(ledger, "show request", account, key).map(
        lambda held: held.record
    )


def resolve_request(
    ledger: RequestLedger,
    account: str,
    key: str,
    operator: str,
    answer: pb.Answer | None,
    now_ms: int,
) -> Result[pb.RequestRecord, StepError]:
    """Store the outcome of a request whose outcome is unknown.

    Args:
        ledger: Any ledger of the replication group that stores the records.
        account: Client account of the request.
        key: Idempotency key of the request.
        operator: Name of the operator, stored in the record.
        answer: Response to return to callers if the request ran; None if it did not
            run.
        now_ms: Current wall clock time in milliseconds.

    Returns:
        The resolved record, or why it was not resolved.
    """
    found = _require_record(ledger, "resolve request", account, key)
    if found.is_error():
        return Error(found.error)
    result = ledger.transition(found.ok, lifecycle.Resolve(operator, answer), now_ms)
    return result.map(lambda held: held.record)


def remove_expired(
    ledger: RequestLedger, now_ms: int, limit: int = PAGE_LIMIT
) -> Result[int, StepError]:
    """Remove records whose retention time has passed, oldest first.

    Args:
        ledger: Any ledger of the replication group that stores the records.
        now_ms: Current wall clock time in milliseconds.
        limit: Maximum number of index keys to read.

    Returns:
        Number of removed records, or the error of a read from the store.
    """
    page = ledger.client.scan(ledger.group, EXPIRE_PREFIX, ledger.timeout_s, "", limit)
    if page.is_error():
        return Error(page.error)
    removed = 0
    for entry in page.ok.entries:
        if expiry_from_key(entry.key) > now_ms:
            break
        found = ledger.read(*parse_index_key(entry.key))
        if found.is_error():
            return Error(found.error)
        if found.ok is None:
            continue
        change_id = ChangeId(f"{ledger.owner}/expire/{entry.key}")
        transaction = build_removal(found.ok.record, found.ok.revision)
        write = Write("remove expired record", change_id, transaction)
        if ledger.committer.commit(write).is_ok():
            removed += 1
    return Ok(removed)


def _prefix(state: pb.RequestState.ValueType | None) -> str:
    if state == pb.OUTCOME_UNKNOWN:
        return UNKNOWN_PREFIX
    if state in lifecycle.OPEN_STATES:
        return OPEN_PREFIX
    return REQUEST_PREFIX


def _require_record(
    ledger: RequestLedger, step: str, account: str, key: str
) -> Result[StoredRecord, StepError]:
    found = ledger.read(ClientAccountId(account), IdempotencyKey(key))
    if found.is_error():
        return Error(found.error)
    if found.ok is None:
        return Error(RefusedError(step, "", f"no request {account}/{key}"))
    return Ok(found.ok)
