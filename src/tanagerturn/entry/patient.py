"""Patient requests: durable record, run again after losses, answer kept.

A patient request whose caller leaves is finished without it; whoever sends the
key again, to any entry host, gets the kept answer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import orjson

from tanagerturn.clocks import wall_ms
from tanagerturn.entry._execution import (
    NotOursError,
    StoppingError,
    execute,
    finish,
    give_up,
    permit,
)
from tanagerturn.entry.draft_run import DraftRun, RejectedByEngineError
from tanagerturn.entry.drafts import (
    error_event,
    stream_response,
    whole_answer,
)
from tanagerturn.entry.parts import CallerResponse, Parts
from tanagerturn.entry.recorded import (
    make_new_request,
    problem_of,
    stored_response,
)
from tanagerturn.serving.requests.errors import CommitUnknownError, KeyReusedError
from tanagerturn.serving.requests.layout import record_key
from tanagerturn.serving.requests.replies import Reply, ReplyKind, reply_to_request
from tanagerturn.serving.requests.stored import ExistingRequest, StoredRecord
from tanagerturn.shared.problems import ProblemError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tanagerturn.coordination.errors import StepError
    from tanagerturn.entry.callers import CallerCall
    from tanagerturn.schema import serving_pb2
    from tanagerturn.serving.requests.stored import NewRequest

COLLECT_AFTER_S: Final = 2.0
BUSY_RETRY_S: Final = 10.0


def run_patient(parts: Parts, call: CallerCall) -> CallerResponse:
    """Run a patient request, or take it to be collected later.

    Raises:
        ProblemError: It was not accepted, or ended without an answer.
    """
    if call.respond_async and not parts.jobs.has_room():
        raise ProblemError(
            503, "Not taken", "Too many patient requests wait here.", step="admit",
            retry_after_s=BUSY_RETRY_S,
        )  # fmt: skip
    accepted = accept(parts, call)
    if isinstance(accepted, ExistingRequest):
        return existing_response(call, accepted.held.record)
    if call.respond_async:
        parts.jobs.start(parts, call, accepted)
        return later_response(call)
    parts.jobs.begin(record_key(accepted.record))
    return _run_with_caller(parts, call, accepted)


def accept(parts: Parts, call: CallerCall) -> StoredRecord | ExistingRequest:
    """Commit the record of a patient request.

    Raises:
        ProblemError: There is no record and there will be none, or that is
            not known.
    """
    new = make_new_request(call)
    accepted = parts.ledger.accept(new, wall_ms())
    if accepted.is_ok():
        return accepted.ok
    error = accepted.error
    if isinstance(error, CommitUnknownError):
        return _abandon(parts, new, error)
    raise problem_of(_not_accepted(error))


def _not_accepted(error: StepError) -> Reply:
    kind = ReplyKind.NOT_ACCEPTED
    if isinstance(error, KeyReusedError):
        kind = ReplyKind.KEY_REUSED
    return Reply(kind, step=error.step, reason=error.reason)


def _abandon(parts: Parts, new: NewRequest, error: StepError) -> ExistingRequest:
    record = parts.ledger.make_record(new, wall_ms())
    settled = parts.ledger.abandon(record, error.reason, wall_ms())
    if settled.is_ok():
        return ExistingRequest(settled.ok)
    if isinstance(settled.error, CommitUnknownError):
        reason = settled.error.reason
        raise problem_of(Reply(ReplyKind.OUTCOME_UNKNOWN, step="accept", reason=reason))
    raise problem_of(_not_accepted(settled.error))


def existing_response(
    call: CallerCall, record: serving_pb2.RequestRecord
) -> CallerResponse:
    """Return what the record of an earlier sending of the key says.

    Raises:
        ProblemError: It ended without an answer, or names another request.
    """
    reply = reply_to_request(make_new_request(call), record)
    if reply.kind is ReplyKind.RUNNING and call.respond_async:
        return later_response(call)
    if reply.kind is ReplyKind.KEY_REUSED:
        raise problem_of(reply)
    return stored_response(record)


def later_response(call: CallerCall) -> CallerResponse:
    """Return the response that tells where to collect the answer."""
    location = f"/requests/{call.idempotency_key}"
    body = orjson.dumps(
        {
            "state": "accepted",
            "request_id": call.request_id,
            "idempotency_key": call.idempotency_key,
            "collect": location,
        }
    )
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("Location", location),
        ("Preference-Applied", "respond-async"),
        ("Retry-After", str(round(COLLECT_AFTER_S))),
        ("X-Request-Id", call.request_id),
    ]
    return CallerResponse(202, headers, [body])


def _run_with_caller(
    parts: Parts, call: CallerCall, held: StoredRecord
) -> CallerResponse:
    key = record_key(held.record)
    streaming = False
    try:
        if call.is_model and call.stream:
            response = _stream(parts, call, held)
            streaming = True
            return response
        execute(parts, call, held)
        return _collect(parts, held)
    except StoppingError as error:
        raise problem_of(Reply(ReplyKind.RUNNING)) from error
    except NotOursError:
        return _collect(parts, held)
    finally:
        if not streaming:
            parts.jobs.end(key)


def _collect(parts: Parts, held: StoredRecord) -> CallerResponse:
    found = parts.ledger.read_record(held.record)
    if found.is_error() or found.ok is None:
        raise problem_of(Reply(ReplyKind.OUTCOME_UNKNOWN, step="collect"))
    return stored_response(found.ok.record)


def _stream(parts: Parts, call: CallerCall, held: StoredRecord) -> CallerResponse:
    current = permit(parts, held)
    if current is None:
        raise problem_of(Reply(ReplyKind.RUNNING))
    run = DraftRun(parts, call)
    events = run.events()
    try:
        first = next(events)
    except RejectedByEngineError as error:
        finish(parts, call, current, error.answer)
        raise ProblemError(
            error.answer.status, "Refused by the engine",
            error.answer.body.decode("utf-8", "replace"), step="stream",
        ) from error  # fmt: skip
    except ProblemError as error:
        give_up(parts, call, current, error)
        raise
    return stream_response(run, _RelayAndKeep(parts, run, events, current, first))


class _RelayAndKeep:
    """Relays a patient stream and keeps its answer, also when the caller leaves."""

    def __init__(
        self,
        parts: Parts,
        run: DraftRun,
        events: Iterator[bytes],
        held: StoredRecord,
        first: bytes,
    ) -> None:
        self.parts = parts
        self.run = run
        self.events = events
        self.held = held
        self.first = first
        self.kept = False

    def __iter__(self) -> Iterator[bytes]:
        yield self.first
        try:
            for event in self.events:
                if self.run.finished:
                    # The caller sees the end only when the answer is kept.
                    self._keep()
                yield event
        except ProblemError as error:
            self.kept = True
            give_up(self.parts, self.run.call, self.held, error)
            yield error_event(error)

    def _keep(self) -> None:
        self.kept = True
        finish(self.parts, self.run.call, self.held, whole_answer(self.run))

    def close(self) -> None:
        if self.kept:
            self.parts.jobs.end(record_key(self.held.record))
            return
        self.parts.jobs.adopt(self.parts, self.run, self.events, self.held)
