"""Records of callers' requests, and what the caller gets for them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import orjson

from tanagerturn.clocks import wall_ms
from tanagerturn.entry.callers import CallerCall
from tanagerturn.entry.parts import CallerResponse, answer_response
from tanagerturn.entry.transport import BackendAnswer
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
    """Return the record of a caller's request.

    The body of a call that may not be repeated is left out: nobody but its
    first owner may send it.
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


def call_of_record(
    record: serving_pb2.RequestRecord, resolved_settings: ResolvedSettings
) -> CallerCall | None:
    """Return the request that a record keeps; None when its service is gone."""
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


def kept_answer(answer: BackendAnswer) -> serving_pb2.Answer:
    """Return a backend server's answer as it is kept."""
    headers = [serving_pb2.Header(name=n, value=v) for n, v in answer.headers]
    return serving_pb2.Answer(status=answer.status, headers=headers, body=answer.body)


def stored_response(record: serving_pb2.RequestRecord) -> CallerResponse:
    """Return the outcome that a record holds.

    Raises:
        ProblemError: The request is running, was not run, or is unknown.
    """
    return reply_response(reply_from_record(record), record.request_id)


def reply_response(reply: Reply, request_id: str) -> CallerResponse:
    """Return what a caller gets for a reply.

    Raises:
        ProblemError: There is no answer to give.
    """
    if reply.kind is not ReplyKind.ANSWERED or reply.answer is None:
        raise problem_of(reply)
    if reply.answer.body_dropped:
        detail = "The request ran; its answer was too large to be kept."
        raise ProblemError(410, "Answer not kept", detail, outcome="answered",
                           step="collect")  # fmt: skip
    headers = [(header.name, header.value) for header in reply.answer.headers]
    answer = BackendAnswer(reply.answer.status, headers, reply.answer.body)
    return answer_response(answer, request_id)


def problem_of(reply: Reply) -> ProblemError:
    """Return the problem that a reply other than an answer stands for."""
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
