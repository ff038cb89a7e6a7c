"""Decides what follows a failed backend attempt; no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Final

from tanagerturn.gateway.configuration import RequestKind

MIN_RETRY_TIME_S: Final = 0.03
"""Remaining time in seconds at or below which no other backend server is tried, because
it could not respond in time."""

MAX_UNREACHABLE: Final = 4
"""Number of unreachable backend servers after which a request is sent to no further
one, unless the route and the retry budget allow another attempt."""


class AttemptOutcome(Enum):
    """Outcome of a backend attempt that gave the caller no complete response."""

    NOT_SENT = "no connection could be opened"
    REJECTED = "the backend server states that it did not run it"
    FAILED = "the backend server failed it"
    BROKEN = "no whole answer came; it may have run"


class NextAction(Enum):
    """Next action after a failed backend attempt."""

    TRY_ANOTHER = "send it to another backend server"
    REFUSE = "answer that it has not run, and when to come back"
    PASS_ON = "pass the backend server's failure on"
    FAIL = "answer that it may have run"


@dataclass(frozen=True)
class AttemptHistory:
    """The backend attempts of one request so far, and what its route allows."""

    kind: RequestKind
    """How requests of the route may be retried."""
    is_resumable: bool
    """Another backend server may resume the stream."""
    max_backends: int
    """Maximum number of backend servers to which the request may be sent."""
    sent_count: int
    """Number of backend servers to which the request was sent."""
    unreachable_count: int
    """Number of attempts at which the backend server was unreachable."""
    may_have_run: bool
    """A backend server may have begun to run the request."""
    time_left_s: float
    """Time until the caller's deadline in seconds."""


def next_action(
    history: AttemptHistory, outcome: AttemptOutcome, *, budget: bool
) -> NextAction:
    """Decide what follows a failed backend attempt.

    Args:
        history: The attempts so far, the last one included.
        outcome: Outcome of the last attempt.
        budget: The retry budget allows another attempt.
    """
    in_time = history.time_left_s > MIN_RETRY_TIME_S
    repeatable = history.kind is RequestKind.IDEMPOTENT or history.is_resumable
    # An earlier attempt may have run the request even if the last one reached no
    # backend server, so `may_have_run` covers all attempts.
    may_retry = in_time and (repeatable or not history.may_have_run)
    if (
        outcome is AttemptOutcome.NOT_SENT
        and may_retry
        and history.unreachable_count < MAX_UNREACHABLE
    ):
        return NextAction.TRY_ANOTHER
    if may_retry and budget and history.sent_count < history.max_backends:
        return NextAction.TRY_ANOTHER
    if not history.may_have_run:
        return NextAction.REFUSE
    return NextAction.PASS_ON if outcome is AttemptOutcome.FAILED else NextAction.FAIL
