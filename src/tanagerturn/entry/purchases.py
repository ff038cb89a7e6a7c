"""Calls that may not be repeated: durable record first, sent at most once."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

from tanagerturn.entry.directory import wall_ms
from tanagerturn.entry.parts import (
    CallerResponse,
    Deadline,
    Parts,
    answer_response,
    backend_headers,
)
from tanagerturn.entry.problems import OUTCOME_UNKNOWN, ProblemError
from tanagerturn.entry.transport import (
    BackendAnswer,
    BrokenCallError,
    NothingSentError,
)
from tanagerturn.schema import serving_pb2
from tanagerturn.serving.backends.messages import Completion
from tanagerturn.serving.requests.errors import CommitUnknownError, KeyReusedError
from tanagerturn.serving.requests.held import Existing, NewRequest, Permitted
from tanagerturn.serving.requests.ids import ClientAccountId, IdempotencyKey, RequestId
from tanagerturn.serving.requests.life import Proof

if TYPE_CHECKING:
    from tanagerturn.coordination.errors import StepError
    from tanagerturn.entry.callers import CallerCall
    from tanagerturn.serving.requests.held import Held

RETRY_SOON_S: Final = 1.0
ATTEMPT_LIMIT: Final = 3


def run_once(parts: Parts, call: CallerCall) -> CallerResponse:
    """Run a call that may not be repeated.

    Raises:
        ProblemError: It was not run, its outcome is unknown, or it is running.
    """
    deadline = Deadline(time.monotonic() + call.deadline_ms / 1000)
    decision = parts.choose(call)
    new = make_new_request(call)
    accepted = parts.ledger.accept_and_permit(
        new, decision.backend_id, wall_ms(), time.monotonic()
    )
    if accepted.is_error():
        parts.ended(call, decision.backend_id)
        raise _refusal(parts, new, accepted.error)
    if isinstance(accepted.ok, Existing):
        parts.ended(call, decision.backend_id)
        return stored_response(accepted.ok.held.record)
    permitted = accepted.ok
    for _ in range(ATTEMPT_LIMIT):
        try:
            answer = _send(parts, call, permitted, decision.address, deadline)
        except NothingSentError as error:
            parts.ended(call, decision.backend_id, failed=True)
            reason = str(error)
        except BrokenCallError as error:
            parts.ended(call, decision.backend_id, failed=True)
            return _settle(parts, call, permitted, decision.address, error)
        else:
            return _finish(parts, call, permitted.held, decision.backend_id, answer)
        try:
            decision = parts.choose(call, frozenset({decision.backend_id}))
        except ProblemError as error:
            reason = error.detail
            break
        again = parts.ledger.permit_again(
            permitted.held, True, decision.backend_id, wall_ms(), time.monotonic()
        )
        if again.is_error():
            parts.ended(call, decision.backend_id)
            break
        permitted = again.ok
    return _not_run(parts, permitted.held, reason)


def make_new_request(call: CallerCall) -> NewRequest:
    """Return the record of a caller's request."""
    headers = [serving_pb2.Header(name=n, value=v) for n, v in call.headers]
    return NewRequest(
        client_account=ClientAccountId(call.account.name),
        idempotency_key=IdempotencyKey(call.idempotency_key),
        request_id=RequestId(call.request_id),
        service=call.service.name,
        kind=call.kind,
        priority=call.priority,
        fingerprint=call.fingerprint,
        request=serving_pb2.CallerRequest(
            method=call.method, path=call.path, headers=headers, body=call.body
        ),
        deadline_at_ms=wall_ms() + call.deadline_ms,
        keep_ms=call.service.keep_record_s * 1000,
    )


def stored_response(record: serving_pb2.RequestRecord) -> CallerResponse:
    """Return the outcome that a record holds.

    Raises:
        ProblemError: The request is running, was not run, or is unknown.
    """
    if record.state == serving_pb2.ANSWERED:
        headers = [(h.name, h.value) for h in record.answer.headers]
        answer = BackendAnswer(record.answer.status, headers, record.answer.body)
        return answer_response(answer, record.request_id)
    if record.state in (serving_pb2.NOT_RUN, serving_pb2.CANCELLED):
        raise ProblemError(503, "Not run", record.reason, step=record.step)
    if record.state == serving_pb2.OUTCOME_UNKNOWN:
        raise ProblemError(
            502, "Outcome unknown", record.reason, OUTCOME_UNKNOWN, record.step
        )
    raise ProblemError(
        409,
        "Still running",
        "A request with this key is running; ask again.",
        OUTCOME_UNKNOWN,
        "run",
        RETRY_SOON_S,
    )


def _send(
    parts: Parts,
    call: CallerCall,
    permitted: Permitted,
    address: str,
    deadline: Deadline,
) -> BackendAnswer:
    permission = permitted.permission
    return parts.transport.call_once(
        address,
        call.method,
        call.path,
        backend_headers(call, permission.attempt, deadline.left_s()),
        call.body,
        deadline.left_s(),
        lambda: permission.allows(time.monotonic()),
    )


def _finish(
    parts: Parts, call: CallerCall, held: Held, backend_id: str, answer: BackendAnswer
) -> CallerResponse:
    parts.ended(call, backend_id, completion=Completion(0))  # type: ignore[arg-type]
    headers = [serving_pb2.Header(name=n, value=v) for n, v in answer.headers]
    kept = serving_pb2.Answer(status=answer.status, headers=headers, body=answer.body)
    limit_bytes = call.service.answer_limit_bytes
    finished = parts.ledger.finish(held, kept, wall_ms(), limit_bytes)
    if finished.is_error():
        raise _unknown(str(finished.error), "keep answer")
    return answer_response(answer, call.request_id)


def _settle(
    parts: Parts,
    call: CallerCall,
    permitted: Permitted,
    address: str,
    error: BrokenCallError,
) -> CallerResponse:
    """Ask the service what became of a call that broke off."""
    held = permitted.held
    answer = _ask_outcome(parts, call, address)
    query = call.service.outcome_query
    if answer is not None and answer.status == query.executed_status:
        return _finish(parts, call, held, "", answer)
    if answer is not None and answer.status == query.not_executed_status:
        reason = str(error)
        ended = parts.ledger.not_run(
            held, Proof.OUTCOME_QUERY, reason, error.step, wall_ms()
        )
        if ended.is_ok():
            raise ProblemError(503, "Not run", reason, step=error.step,
                               retry_after_s=RETRY_SOON_S)  # fmt: skip
    parts.ledger.lose_track(held, str(error), error.step, wall_ms())
    raise _unknown(str(error), error.step)


def _ask_outcome(parts: Parts, call: CallerCall, address: str) -> BackendAnswer | None:
    query = call.service.outcome_query
    if not query.path:
        return None
    path = query.path.replace("{key}", call.idempotency_key)
    try:
        return parts.transport.call(address, "GET", path, {}, b"", RETRY_SOON_S)
    except (NothingSentError, BrokenCallError):
        return None


def _not_run(parts: Parts, held: Held, reason: str) -> CallerResponse:
    ended = parts.ledger.not_run(held, Proof.NO_BYTE_LEFT, reason, "send", wall_ms())
    if ended.is_error():
        raise _unknown(str(ended.error), "record not run")
    raise ProblemError(503, "Not run", reason, step="send", retry_after_s=RETRY_SOON_S)


def _refusal(parts: Parts, new: NewRequest, error: StepError) -> ProblemError:
    if isinstance(error, KeyReusedError):
        detail = "This Idempotency-Key was used for another request."
        return ProblemError(422, "Idempotency-Key reused", detail, step="accept")
    if isinstance(error, CommitUnknownError):
        record = parts.ledger.make_record(new, wall_ms())
        settled = parts.ledger.abandon(record, str(error), wall_ms())
        if settled.is_error():
            return _unknown(str(settled.error), "accept")
    return ProblemError(
        503, "Not accepted", str(error), step="accept", retry_after_s=RETRY_SOON_S
    )


def _unknown(reason: str, step: str) -> ProblemError:
    return ProblemError(502, "Outcome unknown", reason, OUTCOME_UNKNOWN, step)
