"""State machine of one non-repeatable call, driven by the owner of its record.

`step` is a pure function: from the call and an event it computes the next state of the
call and the next action. The entry process executes the actions; tests explore all
event orders with the same function.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum, auto
from functools import singledispatch
from typing import Final

from tanagerturn.schema import serving_pb2 as pb
from tanagerturn.serving.requests.lifecycle import Proof

MAX_OUTCOME_QUERIES: Final = 3
"""Number of outcome queries that may fail before the outcome is recorded as unknown."""


class Stage(Enum):
    """What the owner of the record is waiting for."""

    COMMITTING_ATTEMPT = auto()
    """The commit that permits an attempt."""
    SENDING = auto()
    """The response of the backend server."""
    QUERYING = auto()
    """The response to the outcome query."""
    COMMITTING_END = auto()
    """The commit of the final state."""
    DONE = auto()
    """Nothing: the reply to the caller is decided."""


class FinalState(Enum):
    """Final state of the request that the owner commits."""

    ANSWERED = auto()
    """The call ran and its response is stored."""
    NOT_RUN = auto()
    """The call did not run and never will."""
    UNKNOWN = auto()
    """It could not be determined whether the call ran."""


@dataclass(frozen=True)
class Call:
    """State of one call at the owner of its record."""

    stage: Stage
    """What the owner is waiting for."""
    attempts_left: int
    """Number of further attempts that may be permitted."""
    queries_left: int
    """Number of outcome queries that may still be sent."""
    final_state: FinalState | None = None
    """Final state that is being committed or was committed; None before that."""


@dataclass(frozen=True)
class Committed:
    """The last commit was applied."""


@dataclass(frozen=True)
class CommitUnconfirmed:
    """The result of the last commit is unknown: applied already, later or never."""


@dataclass(frozen=True)
class OwnershipLost:
    """Another process wrote the record, or this process lost its lease."""


@dataclass(frozen=True)
class NotSent:
    """The attempt failed before its first byte was sent.

    Either the connection was refused or the permission had expired.
    """

    reason: str = "connection refused"
    """Cause of the failure."""


@dataclass(frozen=True)
class NoBackendServer:
    """No backend server is up for a further attempt; no attempt was committed."""


@dataclass(frozen=True)
class Answered:
    """The backend server sent a complete response to the attempt."""

    answer: pb.Answer = field(default_factory=pb.Answer, hash=False)
    """The response."""


@dataclass(frozen=True)
class AnswerLost:
    """Bytes of the attempt were sent, but no complete response was received."""

    reason: str = "connection lost"
    """Cause of the failure."""


@dataclass(frozen=True)
class QueryExecuted:
    """The service reports that it executed the call."""

    answer: pb.Answer = field(default_factory=pb.Answer, hash=False)
    """The response that the service stored for the call."""


@dataclass(frozen=True)
class QueryNotExecuted:
    """The service reports that it did not execute the call and never will."""


@dataclass(frozen=True)
class QueryFailed:
    """The service gave no usable response to the outcome query."""

    reason: str = "outcome query failed"
    """Cause of the failure."""


@dataclass(frozen=True)
class CommitAttempt:
    """Choose a backend server and commit the permission for an attempt."""

    is_retry: bool
    """Whether an earlier attempt failed before its first byte was sent."""


@dataclass(frozen=True)
class Send:
    """Send the permitted attempt unless its permission has expired."""


@dataclass(frozen=True)
class QueryOutcome:
    """Query the service for the outcome of the call."""


@dataclass(frozen=True)
class CommitAnswer:
    """Commit the response of the service as the outcome."""

    answer: pb.Answer = field(hash=False)
    """The response to store."""


@dataclass(frozen=True)
class CommitNotRun:
    """Commit that the call did not run."""

    proof: Proof
    """Evidence that the call did not run."""
    reason: str
    """Why the call failed, for the caller."""


@dataclass(frozen=True)
class CommitUnknown:
    """Commit that the outcome is unknown."""

    reason: str
    """Why the outcome is unknown, for the caller."""


@dataclass(frozen=True)
class Abandon:
    """End the request as not run, whether or not its first commit was applied."""


@dataclass(frozen=True)
class ReplyRecord:
    """Reply to the caller with the outcome in the stored record."""


@dataclass(frozen=True)
class ReplyAnswer:
    """Reply to the caller with the response although its commit is not confirmed."""


@dataclass(frozen=True)
class ReplyUnknown:
    """Reply to the caller that the outcome is not known yet."""


Event = (
    Committed
    | CommitUnconfirmed
    | OwnershipLost
    | NotSent
    | NoBackendServer
    | Answered
    | AnswerLost
    | QueryExecuted
    | QueryNotExecuted
    | QueryFailed
)
Action = (
    CommitAttempt
    | Send
    | QueryOutcome
    | CommitAnswer
    | CommitNotRun
    | CommitUnknown
    | Abandon
    | ReplyRecord
    | ReplyAnswer
    | ReplyUnknown
)
Step = tuple[Call, Action]
"""State of the call after an event, and the next action."""


def start_call(max_attempts: int, has_outcome_query: bool) -> Step:
    """Return the state of a new call and its first action.

    Args:
        max_attempts: Number of attempts that may be permitted in total, at least 1.
        has_outcome_query: Whether the service has an outcome query.
    """
    queries = MAX_OUTCOME_QUERIES if has_outcome_query else 0
    return Call(Stage.COMMITTING_ATTEMPT, max_attempts - 1, queries), CommitAttempt(
        is_retry=False
    )


def start_settlement(has_outcome_query: bool) -> Step:
    """Return the state and first action for a call that a dead owner may have sent.

    Args:
        has_outcome_query: Whether the service has an outcome query.
    """
    call = Call(Stage.QUERYING, 0, MAX_OUTCOME_QUERIES if has_outcome_query else 0)
    return _query_outcome(call, "the entry host that sent it died")


@singledispatch
def step(event: object, call: Call) -> Step:
    """Return the state of a call after an event, and the next action.

    Args:
        event: Result of the last action.
        call: State of the call before the event.

    Raises:
        TypeError: `event` is not an event of this module.
        ValueError: The event is not valid at the stage of the call.
    """
    raise TypeError(f"expected a call event, got {event!r}")


def _check_stage(call: Call, event: object, *stages: Stage) -> None:
    if call.stage not in stages:
        raise ValueError(f"event {event!r} is not valid at stage {call.stage.name}")


def _query_outcome(call: Call, reason: str) -> Step:
    if call.queries_left == 0:
        return _committing_end(call, FinalState.UNKNOWN), CommitUnknown(reason)
    remaining = call.queries_left - 1
    return replace(call, stage=Stage.QUERYING, queries_left=remaining), QueryOutcome()


def _committing_end(call: Call, final_state: FinalState) -> Call:
    return replace(call, stage=Stage.COMMITTING_END, final_state=final_state)


def _done(call: Call) -> Call:
    return replace(call, stage=Stage.DONE)


@step.register
def _(event: Committed, call: Call) -> Step:
    _check_stage(call, event, Stage.COMMITTING_ATTEMPT, Stage.COMMITTING_END)
    if call.stage is Stage.COMMITTING_ATTEMPT:
        return replace(call, stage=Stage.SENDING), Send()
    return _done(call), ReplyRecord()


@step.register
def _(event: CommitUnconfirmed, call: Call) -> Step:
    _check_stage(call, event, Stage.COMMITTING_ATTEMPT, Stage.COMMITTING_END)
    if call.stage is Stage.COMMITTING_ATTEMPT:
        return _committing_end(call, FinalState.NOT_RUN), Abandon()
    if call.final_state is FinalState.ANSWERED:
        return _done(call), ReplyAnswer()
    return _done(call), ReplyUnknown()


@step.register
def _(event: OwnershipLost, call: Call) -> Step:
    _check_stage(call, event, Stage.COMMITTING_ATTEMPT, Stage.COMMITTING_END)
    if call.final_state is FinalState.ANSWERED:
        return _done(call), ReplyAnswer()
    return _done(call), ReplyRecord()


@step.register
def _(event: NotSent, call: Call) -> Step:
    _check_stage(call, event, Stage.SENDING)
    if call.attempts_left == 0:
        proof = Proof.NO_BYTE_SENT
        return _committing_end(call, FinalState.NOT_RUN), CommitNotRun(
            proof, event.reason
        )
    remaining = call.attempts_left - 1
    retry = replace(call, stage=Stage.COMMITTING_ATTEMPT, attempts_left=remaining)
    return retry, CommitAttempt(is_retry=True)


@step.register
def _(event: NoBackendServer, call: Call) -> Step:
    _check_stage(call, event, Stage.COMMITTING_ATTEMPT)
    reason = "no backend server is up"
    return _committing_end(call, FinalState.NOT_RUN), CommitNotRun(
        Proof.NO_BYTE_SENT, reason
    )


@step.register
def _(event: Answered, call: Call) -> Step:
    _check_stage(call, event, Stage.SENDING)
    return _committing_end(call, FinalState.ANSWERED), CommitAnswer(event.answer)


@step.register
def _(event: AnswerLost, call: Call) -> Step:
    _check_stage(call, event, Stage.SENDING)
    return _query_outcome(call, event.reason)


@step.register
def _(event: QueryExecuted, call: Call) -> Step:
    _check_stage(call, event, Stage.QUERYING)
    return _committing_end(call, FinalState.ANSWERED), CommitAnswer(event.answer)


@step.register
def _(event: QueryNotExecuted, call: Call) -> Step:
    _check_stage(call, event, Stage.QUERYING)
    reason = "the service states that it did not run"
    return _committing_end(call, FinalState.NOT_RUN), CommitNotRun(
        Proof.OUTCOME_QUERY, reason
    )


@step.register
def _(event: QueryFailed, call: Call) -> Step:
    _check_stage(call, event, Stage.QUERYING)
    return _query_outcome(call, event.reason)
