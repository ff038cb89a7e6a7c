"""What follows when a backend server did not answer a request well; pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Final

from tanagerturn.gateway.configuration import RequestKind

LEAST_TIME_S: Final = 0.03
"""Time left below which another backend server is not tried: it could not answer."""

REACH_TRIES: Final = 4
"""Backend servers that are tried when none can be reached."""


class Ending(Enum):
    """How a sending ended."""

    NOT_SENT = "no connection could be opened"
    REJECTED = "the backend server states that it did not run it"
    FAILED = "the backend server failed it"
    BROKEN = "no whole answer came; it may have run"


class Step(Enum):
    """What to do next."""

    TRY_ANOTHER = "send it to another backend server"
    REFUSE = "answer that it has not run, and when to come back"
    PASS_ON = "pass the backend server's failure on"
    FAIL = "answer that it may have run"


@dataclass(frozen=True)
class Sendings:
    """What was done so far for one request."""

    kind: RequestKind
    """What its route allows."""
    resumable: bool
    """It may go on at another backend server."""
    most_backends: int
    """Backend servers that it may be sent to."""
    sent: int
    """Backend servers that it was sent to."""
    unreached: int
    """Backend servers that could not be reached."""
    may_have_run: bool
    """A backend server may have begun to run it."""
    time_left_s: float
    """Time until nobody waits for it."""


def next_step(sendings: Sendings, ending: Ending, *, budget: bool) -> Step:
    """Decide what follows a sending that brought no good answer.

    Args:
        sendings: What was done so far, the last sending included.
        ending: How the last sending ended.
        budget: Another sending is within the retry budget.
    """
    in_time = sendings.time_left_s > LEAST_TIME_S
    repeatable = sendings.kind is RequestKind.IDEMPOTENT or sendings.resumable
    # Also where this sending reached nobody, an earlier one may have run.
    may_go_on = in_time and (repeatable or not sendings.may_have_run)
    if ending is Ending.NOT_SENT and may_go_on and sendings.unreached < REACH_TRIES:
        return Step.TRY_ANOTHER
    if may_go_on and budget and sendings.sent < sendings.most_backends:
        return Step.TRY_ANOTHER
    if not sendings.may_have_run:
        return Step.REFUSE
    return Step.PASS_ON if ending is Ending.FAILED else Step.FAIL
