"""Patient requests: recorded durably, run again after losses, response stored.

A patient request continues after its caller disconnects. Sending the key again, to
any entry host, returns the stored response.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import orjson

from tanagerturn.clocks import wall_ms
from tanagerturn.entry._patient_execution import (
    OwnershipLostError,
    StoppingError,
    execute,
    finish,
    give_up,
    mark_sending,
)
from tanagerturn.entry.components import CallerResponse, EntryComponents
from tanagerturn.entry.generation_run import GenerationRun, RejectedByEngineError
from tanagerturn.entry.generations import (
    error_event,
    make_completion,
    stream_response,
)
from tanagerturn.entry.stored_requests import (
    make_new_request,
    make_reply_problem,
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

COLLECT_RETRY_S: Final = 2.0
BUSY_RETRY_S: Final = 10.0


def run_patient(components: EntryComponents, call: CallerCall) -> CallerResponse:
    """Run a patient request, or accept it for later collection.

    Raises:
        ProblemError: The request was not accepted, or ended without a response.
    """
    if not call.respond_async:
        return _run_now(components, call)
    if not components.jobs.reserve(len(call.body)):
        raise ProblemError(
            503, "Not taken", "Too many patient requests wait here.", step="admit",
            retry_after_s=BUSY_RETRY_S,
        )  # fmt: skip
    try:
        accepted = accept(components, call)
        if isinstance(accepted, ExistingRequest):
            return existing_response(call, accepted.stored_record.record)
        components.jobs.start(components, call, accepted)
        return accepted_response(call)
    finally:
        components.jobs.unreserve(len(call.body))


def _run_now(components: EntryComponents, call: CallerCall) -> CallerResponse:
    """Run a patient request whose caller waits."""
    accepted = accept(components, call)
    if isinstance(accepted, ExistingRequest):
        return existing_response(call, accepted.stored_record.record)
    components.jobs.mark_running(record_key(accepted.record))
    return _run_with_caller(components, call, accepted)


def accept(
    components: EntryComponents, call: CallerCall
) -> StoredRecord | ExistingRequest:
    """Commit the record of a patient request.

    Returns:
        The new record, or the existing record of the same key.

    Raises:
        ProblemError: No record was or will be stored, or it is unknown whether one is.
    """
    new = make_new_request(call)
    accepted = components.ledger.accept(new, wall_ms())
    if accepted.is_ok():
        return accepted.ok
    error = accepted.error
    if isinstance(error, CommitUnknownError):
        return _abandon(components, new, error)
    raise make_reply_problem(_not_accepted(error))


def _not_accepted(error: StepError) -> Reply:
    kind = ReplyKind.NOT_ACCEPTED
    if isinstance(error, KeyReusedError):
        kind = ReplyKind.KEY_REUSED
    return Reply(kind, step=error.step, reason=error.reason)


def _abandon(
    components: EntryComponents, new: NewRequest, error: StepError
) -> ExistingRequest:
    record = components.ledger.make_record(new, wall_ms())
    resolved = components.ledger.abandon(record, error.reason, wall_ms())
    if resolved.is_ok():
        return ExistingRequest(resolved.ok)
    if isinstance(resolved.error, CommitUnknownError):
        reason = resolved.error.reason
        raise make_reply_problem(
            Reply(ReplyKind.OUTCOME_UNKNOWN, step="accept", reason=reason)
        )
    raise make_reply_problem(_not_accepted(resolved.error))


def existing_response(
    call: CallerCall, record: serving_pb2.RequestRecord
) -> CallerResponse:
    """Return the response to a request whose key already has a record.

    Raises:
        ProblemError: The recorded request runs or ended without a response, or it
            differs from this request.
    """
    reply = reply_to_request(make_new_request(call), record)
    if reply.kind is ReplyKind.RUNNING and call.respond_async:
        return accepted_response(call)
    if reply.kind is ReplyKind.KEY_REUSED:
        raise make_reply_problem(reply)
    return stored_response(record)


def accepted_response(call: CallerCall) -> CallerResponse:
    """Return the 202 response with the location to collect the response from."""
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
        ("Retry-After", str(round(COLLECT_RETRY_S))),
        ("X-Request-Id", call.request_id),
    ]
    return CallerResponse(202, headers, [body])


def _run_with_caller(
    components: EntryComponents, call: CallerCall, stored: StoredRecord
) -> CallerResponse:
    key = record_key(stored.record)
    is_streaming = False
    try:
        if call.is_model and call.stream:
            response = _stream(components, call, stored)
            is_streaming = True
            return response
        execute(components, call, stored)
        return _collect(components, stored)
    except StoppingError as error:
        raise make_reply_problem(Reply(ReplyKind.RUNNING)) from error
    except OwnershipLostError:
        return _collect(components, stored)
    finally:
        if not is_streaming:
            components.jobs.mark_ended(key)


def _collect(components: EntryComponents, stored: StoredRecord) -> CallerResponse:
    found = components.ledger.read_record(stored.record)
    if found.is_error() or found.ok is None:
        raise make_reply_problem(Reply(ReplyKind.OUTCOME_UNKNOWN, step="collect"))
    return stored_response(found.ok.record)


def _stream(
    components: EntryComponents, call: CallerCall, stored: StoredRecord
) -> CallerResponse:
    current = mark_sending(components, stored)
    if current is None:
        raise make_reply_problem(Reply(ReplyKind.RUNNING))
    run = GenerationRun(components, call)
    events = run.events()
    try:
        first_event = next(events)
    except RejectedByEngineError as error:
        finish(components, call, current, error.response)
        raise ProblemError(
            error.response.status, "Refused by the engine",
            error.response.body.decode("utf-8", "replace"), step="stream",
        ) from error  # fmt: skip
    except ProblemError as error:
        give_up(components, call, current, error)
        raise
    return stream_response(
        run, _RelayAndStore(components, run, events, current, first_event)
    )


class _RelayAndStore:
    """Relays a patient stream and stores its response.

    If the caller disconnects, the stream continues as a background job.
    """

    def __init__(
        self,
        components: EntryComponents,
        run: GenerationRun,
        events: Iterator[bytes],
        stored: StoredRecord,
        first_event: bytes,
    ) -> None:
        self.components = components
        self.run = run
        self.events = events
        self.stored = stored
        self.first_event = first_event
        self.is_final = False

    def __iter__(self) -> Iterator[bytes]:
        yield self.first_event
        try:
            for event in self.events:
                if self.run.finished:
                    # Stored before the last event, so that a caller who received the
                    # whole stream can also collect the response.
                    self._store_answer()
                yield event
        except ProblemError as error:
            self.is_final = True
            give_up(self.components, self.run.call, self.stored, error)
            yield error_event(error)

    def _store_answer(self) -> None:
        self.is_final = True
        finish(self.components, self.run.call, self.stored, make_completion(self.run))

    def close(self) -> None:
        if self.is_final:
            self.components.jobs.mark_ended(record_key(self.stored.record))
            return
        self.components.jobs.continue_stream(
            self.components, self.run, self.events, self.stored
        )
