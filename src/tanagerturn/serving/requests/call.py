"""How the owner of a call that may not be repeated goes on after each event.

`step` is pure: it takes the call and what happened, and returns the call with
the one thing to do next. The entry program carries the actions out; the tests
search all orders of events with the same function.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum, auto
from functools import singledispatch
from typing import Final

from tanagerturn.schema import serving_pb2 as pb
from tanagerturn.serving.requests.life import Proof

QUERY_TRIES: Final = 3
"""Outcome queries before the outcome is called unknown."""


class Stage(Enum):
    """What the owner waits for."""

    COMMITTING = auto()
    """The commit that permits an attempt."""
    SENDING = auto()
    """The answer of the backend server."""
    ASKING = auto()
    """The answer of the outcome query."""
    ENDING = auto()
    """The commit of the end."""
    DONE = auto()
    """Nothing: the caller has its reply."""


class End(Enum):
    """Which end is committed."""

    ANSWERED = auto()
    """The answer is kept."""
    NOT_RUN = auto()
    """The request did not run."""
    UNKNOWN = auto()
    """The outcome is not known."""


@dataclass(frozen=True)
class Call:
    """One call as its owner sees it."""

    stage: Stage
    """What the owner waits for."""
    tries_left: int
    """Further attempts that may be permitted."""
    queries_left: int
    """Outcome queries that may be sent."""
    end: End | None = None
    """The end that is being committed."""


@dataclass(frozen=True)
class Committed:
    """The commit was applied."""


@dataclass(frozen=True)
class CommitLost:
    """The commit may or may not be applied, now or later."""


@dataclass(frozen=True)
class Displaced:
    """Another process wrote the record, or the lease lapsed."""


@dataclass(frozen=True)
class NoByteLeft:
    """The attempt ended before its first byte: refused, or not permitted any more."""

    reason: str = "connection refused"
    """What went wrong."""


@dataclass(frozen=True)
class NoServer:
    """No backend server is up for a further attempt; none was committed."""


@dataclass(frozen=True)
class Answered:
    """The backend server answered in full."""

    answer: pb.Answer = field(default_factory=pb.Answer, hash=False)
    """The answer."""


@dataclass(frozen=True)
class AnswerLost:
    """Bytes left, and no whole answer came."""

    reason: str = "connection lost"
    """What went wrong."""


@dataclass(frozen=True)
class QueryRan:
    """The service says that it executed the call."""

    answer: pb.Answer = field(default_factory=pb.Answer, hash=False)
    """The answer that the service stored."""


@dataclass(frozen=True)
class QueryDidNotRun:
    """The service says that it did not execute the call and never will."""


@dataclass(frozen=True)
class QueryFailed:
    """The service did not say."""

    reason: str = "outcome query failed"
    """What went wrong."""


@dataclass(frozen=True)
class CommitAttempt:
    """Commit the permission for an attempt."""

    again: bool
    """An earlier attempt ended without a byte."""


@dataclass(frozen=True)
class Send:
    """Send the attempt, if its permission still holds."""


@dataclass(frozen=True)
class AskOutcome:
    """Ask the service what became of the call."""


@dataclass(frozen=True)
class CommitAnswer:
    """Commit the answer."""

    answer: pb.Answer = field(hash=False)
    """The answer to keep."""


@dataclass(frozen=True)
class CommitNotRun:
    """Commit that the request did not run."""

    proof: Proof
    """Why it is known."""
    reason: str
    """What went wrong."""


@dataclass(frozen=True)
class CommitUnknown:
    """Commit that the outcome is unknown."""

    reason: str
    """What went wrong."""


@dataclass(frozen=True)
class Abandon:
    """Settle the record as not run, whether or not the lost commit applied."""


@dataclass(frozen=True)
class ReplyRecord:
    """Tell the caller what the record says."""


@dataclass(frozen=True)
class ReplyAnswer:
    """Give the caller the answer although its commit is not confirmed."""


@dataclass(frozen=True)
class ReplyUnknown:
    """Tell the caller that the outcome is not known yet."""


Event = (
    Committed
    | CommitLost
    | Displaced
    | NoByteLeft
    | NoServer
    | Answered
    | AnswerLost
    | QueryRan
    | QueryDidNotRun
    | QueryFailed
)
Action = (
    CommitAttempt
    | Send
    | AskOutcome
    | CommitAnswer
    | CommitNotRun
    | CommitUnknown
    | Abandon
    | ReplyRecord
    | ReplyAnswer
    | ReplyUnknown
)
Step = tuple[Call, Action]
"""The call after an event, and what to do next."""


def open_call(tries: int, has_query: bool) -> Step:
    """Start a new call.

    Args:
        tries: Attempts that may be permitted in all.
        has_query: The service has an outcome query.
    """
    queries = QUERY_TRIES if has_query else 0
    return Call(Stage.COMMITTING, tries - 1, queries), CommitAttempt(again=False)


def settle_call(has_query: bool) -> Step:
    """Start to settle a call of a dead owner, who may have sent it."""
    call = Call(Stage.ASKING, 0, QUERY_TRIES if has_query else 0)
    return _ask(call, "the entry host that sent it died")


@singledispatch
def step(event: object, call: Call) -> Step:
    """Return the call after an event, and what to do next.

    Args:
        event: What happened to the last action.
        call: The call before.

    Raises:
        ValueError: The event can't happen at this stage.
    """
    raise TypeError(f"not an event: {event!r}")


def _expect(call: Call, event: object, *stages: Stage) -> None:
    if call.stage not in stages:
        raise ValueError(f"{event!r} at stage {call.stage.name}")


def _ask(call: Call, reason: str) -> Step:
    if call.queries_left == 0:
        return _ending(call, End.UNKNOWN), CommitUnknown(reason)
    left = call.queries_left - 1
    return replace(call, stage=Stage.ASKING, queries_left=left), AskOutcome()


def _ending(call: Call, end: End) -> Call:
    return replace(call, stage=Stage.ENDING, end=end)


def _done(call: Call) -> Call:
    return replace(call, stage=Stage.DONE)


@step.register
def _(event: Committed, call: Call) -> Step:
    _expect(call, event, Stage.COMMITTING, Stage.ENDING)
    if call.stage is Stage.COMMITTING:
        return replace(call, stage=Stage.SENDING), Send()
    return _done(call), ReplyRecord()


@step.register
def _(event: CommitLost, call: Call) -> Step:
    _expect(call, event, Stage.COMMITTING, Stage.ENDING)
    if call.stage is Stage.COMMITTING:
        return _ending(call, End.NOT_RUN), Abandon()
    if call.end is End.ANSWERED:
        return _done(call), ReplyAnswer()
    return _done(call), ReplyUnknown()


@step.register
def _(event: Displaced, call: Call) -> Step:
    _expect(call, event, Stage.COMMITTING, Stage.ENDING)
    if call.end is End.ANSWERED:
        return _done(call), ReplyAnswer()
    return _done(call), ReplyRecord()


@step.register
def _(event: NoByteLeft, call: Call) -> Step:
    _expect(call, event, Stage.SENDING)
    if call.tries_left == 0:
        proof = Proof.NO_BYTE_LEFT
        return _ending(call, End.NOT_RUN), CommitNotRun(proof, event.reason)
    left = call.tries_left - 1
    again = replace(call, stage=Stage.COMMITTING, tries_left=left)
    return again, CommitAttempt(again=True)


@step.register
def _(event: NoServer, call: Call) -> Step:
    _expect(call, event, Stage.COMMITTING)
    reason = "no backend server is up"
    return _ending(call, End.NOT_RUN), CommitNotRun(Proof.NO_BYTE_LEFT, reason)


@step.register
def _(event: Answered, call: Call) -> Step:
    _expect(call, event, Stage.SENDING)
    return _ending(call, End.ANSWERED), CommitAnswer(event.answer)


@step.register
def _(event: AnswerLost, call: Call) -> Step:
    _expect(call, event, Stage.SENDING)
    return _ask(call, event.reason)


@step.register
def _(event: QueryRan, call: Call) -> Step:
    _expect(call, event, Stage.ASKING)
    return _ending(call, End.ANSWERED), CommitAnswer(event.answer)


@step.register
def _(event: QueryDidNotRun, call: Call) -> Step:
    _expect(call, event, Stage.ASKING)
    reason = "the service states that it did not run"
    return _ending(call, End.NOT_RUN), CommitNotRun(Proof.OUTCOME_QUERY, reason)


@step.register
def _(event: QueryFailed, call: Call) -> Step:
    _expect(call, event, Stage.ASKING)
    return _ask(call, event.reason)
