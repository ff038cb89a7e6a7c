"""Runs one patient request to its end and keeps the answer."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

import orjson

from tanagerturn.clocks import wall_ms
from tanagerturn.entry.draft_run import DraftRun, RejectedByEngineError
from tanagerturn.entry.drafts import whole_answer
from tanagerturn.entry.lookups import LookupRun
from tanagerturn.entry.recorded import kept_answer
from tanagerturn.entry.transport import BackendAnswer
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
    from tanagerturn.entry.parts import Parts
    from tanagerturn.serving.requests.stored import StoredRecord

log = component_logger("patient")


CHECK_S: Final = 1.0
"""Time between two looks whether the request is still this host's to run."""


class NotOursError(Exception):
    """The request was cancelled or taken over; nothing is kept here."""


class Watchful:
    """Looks now and then whether a request is still this host's to run.

    Args:
        parts: Parts of the entry process.
        held: The record as this process stored it.
    """

    def __init__(self, parts: Parts, held: StoredRecord) -> None:
        self.parts = parts
        """Parts of the entry process."""
        self.held = held
        """The record as this process stored it."""
        self.checked_s = time.monotonic()
        """When it was last looked at."""

    def check(self) -> None:
        """Look at the record when it is time.

        Raises:
            NotOursError: It was cancelled or taken over.
            StoppingError: The process stops.
        """
        if self.parts.jobs.stopping.is_set():
            raise StoppingError
        now_s = time.monotonic()
        if now_s - self.checked_s < CHECK_S:
            return
        self.checked_s = now_s
        found = self.parts.ledger.read_record(self.held.record)
        if found.is_error():
            return
        if found.ok is None or found.ok.revision != self.held.revision:
            raise NotOursError


class StoppingError(Exception):
    """The process stops; another entry host goes on with the request."""


def execute(parts: Parts, call: CallerCall, held: StoredRecord) -> int:
    """Run a patient request to its end and keep the answer.

    Returns:
        The tokens that were made.

    Raises:
        StoppingError: The process stops first.
        NotOursError: It was cancelled or taken over.
    """
    current = permit(parts, held)
    if current is None:
        return 0
    if not call.is_model:
        try:
            finish(parts, call, current, LookupRun(parts, call).run())
        except ProblemError as error:
            give_up(parts, call, current, error)
        return 0
    run = DraftRun(parts, call)
    events = run.events()
    watchful = Watchful(parts, current)
    try:
        for _ in events:
            watchful.check()
    except RejectedByEngineError as error:
        finish(parts, call, current, error.answer)
    except ProblemError as error:
        give_up(parts, call, current, error)
    else:
        finish(parts, call, current, whole_answer(run))
    finally:
        events.close()  # type: ignore[attr-defined]
    return run.tokens


def permit(parts: Parts, held: StoredRecord) -> StoredRecord | None:
    """Commit that the request is being run; None when it is another's now."""
    if held.record.state != serving_pb2.ACCEPTED:
        return held
    permitted = parts.ledger.permit(held, "", wall_ms(), time.monotonic())
    return permitted.ok.held if permitted.is_ok() else None


def finish(
    parts: Parts, call: CallerCall, held: StoredRecord, answer: BackendAnswer
) -> None:
    """Keep the answer; when the store does not confirm, it is tried again."""
    kept = kept_answer(answer)
    limit_bytes = call.service.answer_limit_bytes
    done = parts.ledger.finish(held, kept, wall_ms(), limit_bytes)
    if done.is_error() and isinstance(done.error, CommitUnknownError):
        parts.conductor.add_unconfirmed_answer(held, kept, limit_bytes)
    elif done.is_error():
        log.warning("{} was not kept: {}", call.request_id, done.error)


def give_up(
    parts: Parts, call: CallerCall, held: StoredRecord, error: ProblemError
) -> None:
    """End a patient request that has no time left."""
    if error.outcome == OUTCOME_UNKNOWN:
        body = orjson.dumps(
            {"title": error.title, "status": 504, "detail": error.detail,
             "outcome": error.outcome, "step": error.step}
        )  # fmt: skip
        headers = [("Content-Type", PROBLEM_CONTENT_TYPE)]
        finish(parts, call, held, BackendAnswer(504, headers, body))
        return
    sending = held.record.state != serving_pb2.ACCEPTED
    proof = Proof.NO_BYTE_SENT if sending else Proof.NEVER_PERMITTED
    ended = parts.ledger.not_run(held, proof, error.detail, error.step, wall_ms())
    if ended.is_error():
        log.warning("{} was not ended: {}", call.request_id, ended.error)
