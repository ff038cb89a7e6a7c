"""Converts between callers' requests, their durable records and the responses."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import orjson

from tanagerturn.clocks import wall_ms
from tanagerturn.entry.callers import CallerCall
from tanagerturn.entry.components import CallerResponse, to_caller_response
from tanagerturn.entry.transport import BackendResponse
from tanagerturn.schema import serving_pb2
from tanagerturn.serving.requests.ids import ClientAccountId, IdempotencyKey, RequestId
from tanagerturn.serving.requests.replies import Reply, ReplyKind, reply_from_record
from tanagerturn.serving.requests.stored import NewRequest
from tanagerturn.shared.problems import OUTCOME_UNKNOWN, ProblemError

if TYPE_CHECKING:
    from tanagerturn.shared.resolved_settings import ResolvedSettings

RETRY_SOON_S: Final = 1.0
UNKNOWN_RETRY_S: Final = 5.0
MODEL_PREFIX: Final = "/v1/"


def make_new_request(call: CallerCall) -> NewRequest:
    """Return the contents of a new record for a caller's request.

    The body of a non-repeatable call is left out, as only its first owner may send
    it.
    """
    headers = [serving_pb2.Header(name=n, value=v) for n, v in call.headers]
    repeatable = call.kind != serving_pb2.NOT_REPEATABLE
    body = call.body if repeatable else b""
    return NewRequest(
        client_account=ClientAccountId(call.account.name),
        idempotency_key=IdempotencyKey(call.idempotency_key),
        request_id=RequestId(call.request_id),
        service=call.service.name,
        kind=call.kind,
        priority=call.priority,
        fingerprint=call.fingerprint,
        request=serving_pb2.CallerRequest(
            method=call.method, path=call.path, headers=headers, body=body
        ),
        deadline_at_ms=wall_ms() + call.deadline_ms,
        keep_ms=call.service.keep_record_s * 1000,
    )


def restore_call(
    record: serving_pb2.RequestRecord, resolved_settings: ResolvedSettings
) -> CallerCall | None:
    """Return the request of a record.

    Returns None if the record's service or client account is no longer in the settings.
    """
    service = resolved_settings.services.get(record.service)
    account = resolved_settings.accounts.get(record.client_account)
    if service is None or account is None:
        return None
    request = record.request
    is_model = request.path.startswith(MODEL_PREFIX)
    return CallerCall(
        request_id=record.request_id,
        account=account,
        service=service,
        kind=record.kind,
        priority=record.priority,
        deadline_ms=max(1, record.deadline_at_ms - wall_ms()),
        idempotency_key=record.idempotency_key,
        method=request.method,
        path=request.path,
        headers=[(header.name, header.value) for header in request.headers],
        body=request.body,
        fingerprint=record.fingerprint,
        is_model=is_model,
        respond_async=True,
        payload=orjson.loads(request.body) if is_model else {},
    )


def make_stored_answer(response: BackendResponse) -> serving_pb2.Answer:
    """Return a backend server's response in its stored form."""
    headers = [serving_pb2.Header(name=n, value=v) for n, v in response.headers]
    return serving_pb2.Answer(
        status=response.status, headers=headers, body=response.body
    )


def stored_response(record: serving_pb2.RequestRecord) -> CallerResponse:
    """Return the response that a record holds.

    Raises:
        ProblemError: The record has no response that can be returned: the request
            runs, did not run or was cancelled, its outcome is unknown, or the body
            was too large to store.
    """
    return reply_response(reply_from_record(record), record.request_id)


def reply_response(reply: Reply, request_id: str) -> CallerResponse:
    """Return the response to the caller for a reply.

    Raises:
        ProblemError: The reply has no response that can be returned.
    """
    if reply.kind is not ReplyKind.ANSWERED or reply.answer is None:
        raise make_reply_problem(reply)
    if reply.answer.body_dropped:
        detail = "The request ran; its answer was too large to be kept."
        raise ProblemError(410, "Answer not kept", detail, outcome="answered",
                           step="collect")  # fmt: skip
    headers = [(header.name, header.value) for header in reply.answer.headers]
    response = BackendResponse(reply.answer.status, headers, reply.answer.body)
    return to_caller_response(response, request_id)


def make_reply_problem(reply: Reply) -> ProblemError:
    """Return the problem for a reply without a response."""
    step = reply.step or "run"
    if reply.kind is ReplyKind.KEY_REUSED:
        detail = "This Idempotency-Key was used for another request."
        return ProblemError(422, "Idempotency-Key reused", detail, step="accept")
    if reply.kind is ReplyKind.NOT_RUN:
        detail = f"{reply.reason}. Use a new Idempotency-Key to try again."
        return ProblemError(
            503, "Not run", detail, step=step, retry_after_s=RETRY_SOON_S
        )
    if reply.kind is ReplyKind.NOT_ACCEPTED:
        detail = f"{reply.reason}. The Idempotency-Key is free."
        return ProblemError(
            503, "Not accepted", detail, step=step, retry_after_s=RETRY_SOON_S
        )
    if reply.kind is ReplyKind.CANCELLED:
        return ProblemError(410, "Cancelled", "The caller cancelled it.",
                            outcome="cancelled", step="cancel")  # fmt: skip
    if reply.kind is ReplyKind.RUNNING:
        detail = "A request with this key is running; ask again."
        return ProblemError(
            409, "Still running", detail, OUTCOME_UNKNOWN, "run", RETRY_SOON_S
        )
    detail = f"{reply.reason or 'no answer'}. Ask again with the same key."
    return ProblemError(
        502, "Outcome unknown", detail, OUTCOME_UNKNOWN, step, UNKNOWN_RETRY_S
    )
