"""Calls that may be repeated: no record, tried again elsewhere on failure."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

from tanagerturn.entry.parts import (
    Attempts,
    CallerResponse,
    Deadline,
    Parts,
    answer_response,
    backend_headers,
)
from tanagerturn.entry.problems import ProblemError
from tanagerturn.entry.transport import BrokenCallError, NothingSentError
from tanagerturn.serving.backends.messages import Completion

if TYPE_CHECKING:
    from tanagerturn.entry.callers import CallerCall

ATTEMPT_LIMIT: Final = 3


def run_lookup(parts: Parts, call: CallerCall) -> CallerResponse:
    """Run a call that may be repeated.

    Raises:
        ProblemError: No backend server answered within the deadline.
    """
    deadline = Deadline(time.monotonic() + call.deadline_ms / 1000)
    attempts = Attempts()
    last = "no attempt"
    while attempts.count < ATTEMPT_LIMIT and deadline.left_s() > 0:
        attempts.count += 1
        decision = parts.choose(call, frozenset(attempts.excluded))
        started_s = time.monotonic()
        try:
            answer = parts.transport.call(
                decision.address,
                call.method,
                call.path,
                backend_headers(call, attempts.count, deadline.left_s()),
                call.body,
                deadline.left_s(),
            )
        except (NothingSentError, BrokenCallError) as error:
            parts.ended(call, decision.backend_id, failed=True)
            attempts.excluded.add(decision.backend_id)
            last = str(error)
            continue
        elapsed_ms = round((time.monotonic() - started_s) * 1000)
        parts.ended(call, decision.backend_id, completion=Completion(elapsed_ms))
        return answer_response(answer, call.request_id)
    raise ProblemError(
        502, "Backend servers failed", last, outcome="not_run", step="call",
        retry_after_s=1,
    )  # fmt: skip
