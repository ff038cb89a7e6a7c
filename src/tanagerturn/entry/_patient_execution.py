"""Runs one patient request to completion and stores the response."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

import orjson

from tanagerturn.clocks import wall_ms
from tanagerturn.entry.generation_run import GenerationRun, RejectedByEngineError
from tanagerturn.entry.generations import make_completion
from tanagerturn.entry.lookups import LookupRun
from tanagerturn.entry.stored_requests import make_stored_answer
from tanagerturn.entry.transport import BackendResponse
from tanagerturn.observe.logs import component_logger
from tanagerturn.schema import serving_pb2
from tanagerturn.serving.requests.errors import CommitUnknownError
from tanagerturn.serving.requests.lifecycle import Proof
from tanagerturn.shared.problems import (
    OUTCOME_UNKNOWN,
    PROBLEM_CONTENT_TYPE,
    ProblemError,
)

if TYPE_CHECKING:
    from tanagerturn.entry.callers import CallerCall
    from tanagerturn.entry.components import EntryComponents
    from tanagerturn.serving.requests.stored import StoredRecord

log = component_logger("patient")


OWNERSHIP_CHECK_PERIOD_S: Final = 1.0
"""Seconds between two checks that this process still owns the request."""


class OwnershipLostError(Exception):
    """The request was cancelled or taken over, so this process stores no response."""


class OwnershipCheck:
    """Checks periodically that this process still owns a request.

    Args:
        components: Components of the entry process.
        stored: The record, with its store revision, as this process last wrote it.
    """

    def __init__(self, components: EntryComponents, stored: StoredRecord) -> None:
        self.components = components
        """Components of the entry process."""
        self.stored = stored
        """The record, with its store revision, as this process last wrote it."""
        self.checked_at_s = time.monotonic()
        """Monotonic time of the last check, in seconds."""

    def check(self) -> None:
        """Read the record if the last check is a check period or longer ago.

        Raises:
            OwnershipLostError: The request was cancelled or taken over.
            StoppingError: The process is stopping.
        """
        if self.components.jobs.stopping.is_set():
            raise StoppingError
        now_s = time.monotonic()
        if now_s - self.checked_at_s < OWNERSHIP_CHECK_PERIOD_S:
            return
        self.checked_at_s = now_s
        found = self.components.ledger.read_record(self.stored.record)
        if found.is_error():
            return
        if found.ok is None or found.ok.revision != self.stored.revision:
            raise OwnershipLostError


class StoppingError(Exception):
    """The process is stopping; another entry host will resume the request."""


def execute(components: EntryComponents, call: CallerCall, stored: StoredRecord) -> int:
    """Run a patient request to completion and store its response.

    Returns:
        Number of tokens delivered; 0 for plain services.

    Raises:
        StoppingError: The process began to stop before the request completed.
        OwnershipLostError: The request was cancelled or taken over.
    """
    current = mark_sending(components, stored)
    if current is None:
        return 0
    if not call.is_model:
        try:
            finish(components, call, current, LookupRun(components, call).run())
        except ProblemError as error:
            give_up(components, call, current, error)
        return 0
    run = GenerationRun(components, call)
    events = run.events()
    ownership = OwnershipCheck(components, current)
    try:
        for _ in events:
            ownership.check()
    except RejectedByEngineError as error:
        finish(components, call, current, error.response)
    except ProblemError as error:
        give_up(components, call, current, error)
    else:
        finish(components, call, current, make_completion(run))
    finally:
        events.close()  # type: ignore[attr-defined]
    return run.tokens


def mark_sending(
    components: EntryComponents, stored: StoredRecord
) -> StoredRecord | None:
    """Commit that a request is sent; return None if this process may not send it."""
    if stored.record.state != serving_pb2.ACCEPTED:
        return stored
    permitted = components.ledger.permit(stored, "", wall_ms(), time.monotonic())
    return permitted.ok.stored_record if permitted.is_ok() else None


def finish(
    components: EntryComponents,
    call: CallerCall,
    stored: StoredRecord,
    response: BackendResponse,
) -> None:
    """Store the response; a commit of unknown outcome is retried later."""
    answer = make_stored_answer(response)
    limit_bytes = call.service.answer_limit_bytes
    done = components.ledger.finish(stored, answer, wall_ms(), limit_bytes)
    if done.is_error() and isinstance(done.error, CommitUnknownError):
        components.call_executor.add_unconfirmed_answer(stored, answer, limit_bytes)
    elif done.is_error():
        log.warning(
            "Response of request {} not stored: {}", call.request_id, done.error
        )


def give_up(
    components: EntryComponents,
    call: CallerCall,
    stored: StoredRecord,
    error: ProblemError,
) -> None:
    """Store that a patient request failed: outcome unknown, or not run."""
    if error.outcome == OUTCOME_UNKNOWN:
        body = orjson.dumps(
            {"title": error.title, "status": 504, "detail": error.detail,
             "outcome": error.outcome, "step": error.step}
        )  # fmt: skip
        headers = [("Content-Type", PROBLEM_CONTENT_TYPE)]
        finish(components, call, stored, BackendResponse(504, headers, body))
        return
    sending = stored.record.state != serving_pb2.ACCEPTED
    proof = Proof.NO_BYTE_SENT if sending else Proof.NEVER_PERMITTED
    ended = components.ledger.end_not_run(
        stored, proof, error.detail, error.step, wall_ms()
    )
    if ended.is_error():
        log.warning("End of request {} not stored: {}", call.request_id, ended.error)
