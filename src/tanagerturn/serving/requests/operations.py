"""What operators do with records: list, show, resolve and remove expired ones."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result

from tanagerturn.coordination.errors import RefusedError
from tanagerturn.coordination.ids import ChangeId
from tanagerturn.schema import serving_pb2 as pb
from tanagerturn.serving.requests import life
from tanagerturn.serving.requests._commit import Write
from tanagerturn.serving.requests.ids import ClientAccountId, IdempotencyKey
from tanagerturn.serving.requests.layout import (
    EXPIRE_PREFIX,
    OPEN_PREFIX,
    REQUEST_PREFIX,
    UNKNOWN_PREFIX,
    expiry_of,
    named_by,
    remove_record,
)

if TYPE_CHECKING:
    from tanagerturn.coordination.errors import StepError
    from tanagerturn.serving.requests.held import Held
    from tanagerturn.serving.requests.ledger import RequestLedger

PAGE_LIMIT: Final = 200


@dataclass(frozen=True)
class RequestSummary:
    """One line of a list of requests."""

    client_account: str
    """Client account that sent it."""
    idempotency_key: str
    """Name that the caller gave it."""
    request_id: str
    """Name that the entry host gave it."""
    service: str
    """Service that it is for."""
    state: str
    """State, in lower case."""
    owner: str
    """Entry process that owns the record."""
    attempt: int
    """Attempts permitted so far."""
    backend_server: str
    """Backend server of the last attempt."""
    accepted_at_ms: int
    """Wall clock when it was accepted, in milliseconds."""
    step: str
    """Step at which it went wrong; empty when it did not."""
    reason: str
    """What went wrong; empty when nothing did."""


@dataclass(frozen=True)
class RequestPage:
    """One page of a list of requests."""

    requests: tuple[RequestSummary, ...]
    """Requests in the order of their keys."""
    next_key: str
    """Where the next page starts; empty after the last one."""


def summarize(record: pb.RequestRecord) -> RequestSummary:
    """Return the line of a list for a record."""
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
    """Return the state that an operator names, as `outcome_unknown`."""
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
    """List requests, by an index where the state has one.

    Args:
        ledger: Any ledger of the group.
        state: Only requests in this state; None: all.
        after_key: `next_key` of the page before.
        limit: Keys to look at.
    """
    prefix = _prefix(state)
    page = ledger.client.scan(ledger.group, prefix, ledger.timeout_s, after_key, limit)
    if page.is_error():
        return Error(page.error)
    summaries = []
    for entry in page.ok.entries:
        found = ledger.read(*named_by(entry.key))
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
    """Return the record that a client account and key name."""
    return _found(ledger, "show request", account, key).map(lambda held: held.record)


def resolve_request(
    ledger: RequestLedger,
    account: str,
    key: str,
    operator: str,
    answer: pb.Answer | None,
    now_ms: int,
) -> Result[pb.RequestRecord, StepError]:
    """Settle a request whose outcome is unknown.

    Args:
        ledger: Any ledger of the group.
        account: Client account of the request.
        key: Its idempotency key.
        operator: Who settles it, kept with the record.
        answer: The answer to give from now on when it ran; None when it did not.
        now_ms: Present wall clock in milliseconds.
    """
    found = _found(ledger, "resolve request", account, key)
    if found.is_error():
        return Error(found.error)
    moved = ledger.move(found.ok, life.Resolve(operator, answer), now_ms)
    return moved.map(lambda held: held.record)


def remove_expired(
    ledger: RequestLedger, now_ms: int, limit: int = PAGE_LIMIT
) -> Result[int, StepError]:
    """Remove records whose keeping time is over, oldest first.

    Returns:
        How many were removed.
    """
    page = ledger.client.scan(ledger.group, EXPIRE_PREFIX, ledger.timeout_s, "", limit)
    if page.is_error():
        return Error(page.error)
    removed = 0
    for entry in page.ok.entries:
        if expiry_of(entry.key) > now_ms:
            break
        found = ledger.read(*named_by(entry.key))
        if found.is_error():
            return Error(found.error)
        if found.ok is None:
            continue
        change_id = ChangeId(f"{ledger.owner}/expire/{entry.key}")
        transaction = remove_record(found.ok.record, found.ok.revision)
        write = Write("remove expired record", change_id, transaction)
        if ledger.committer.commit(write).is_ok():
            removed += 1
    return Ok(removed)


def _prefix(state: pb.RequestState.ValueType | None) -> str:
    if state == pb.OUTCOME_UNKNOWN:
        return UNKNOWN_PREFIX
    if state in life.OPEN:
        return OPEN_PREFIX
    return REQUEST_PREFIX


def _found(
    ledger: RequestLedger, step: str, account: str, key: str
) -> Result[Held, StepError]:
    found = ledger.read(ClientAccountId(account), IdempotencyKey(key))
    if found.is_error():
        return Error(found.error)
    if found.ok is None:
        return Error(RefusedError(step, "", f"no request {account}/{key}"))
    return Ok(found.ok)
