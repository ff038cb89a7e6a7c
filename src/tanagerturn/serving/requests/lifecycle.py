"""Lifecycle of a request: the valid state transitions and who may apply them.

    received -> accepted -> dispatching -> running -> answered
                    |            |            |
                    |            +------------+-----> outcome_unknown
                    |            |            |             |
                    +------------+------------+--> not_run <-+
                    +------------+------------+--> cancelled

A request in state `received` has no record. Only the owner of the record knows that a
request is `running`: a record in state `dispatching` already means that bytes may have
been sent. All functions are pure; callers pass the current time.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from functools import singledispatch
from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result

from tanagerturn.schema import serving_pb2 as pb
from tanagerturn.serving.requests.errors import TransitionRefusedError

if TYPE_CHECKING:
    from tanagerturn.coordination.ids import ProcessId

MAY_HAVE_SENT: Final = frozenset({pb.DISPATCHING, pb.RUNNING})
"""States in which bytes of the request may have been sent to a backend server."""

OPEN_STATES: Final = frozenset({pb.ACCEPTED}) | MAY_HAVE_SENT
"""States in which the owner of the record still has to act."""

FINAL_STATES: Final = frozenset({pb.ANSWERED, pb.NOT_RUN, pb.CANCELLED})
"""Final states, which no transition leaves."""


class Proof(Enum):
    """Evidence that a request did not run and never will."""

    NEVER_PERMITTED = "no attempt was ever permitted"
    NO_BYTE_SENT = "the sender itself states that no byte left"
    OUTCOME_QUERY = "the service states that it did not and will not run it"


@dataclass(frozen=True)
class Actor:
    """Process that applies a transition, with its fencing number for the record."""

    owner: ProcessId
    """Id of the process."""
    fencing_number: int
    """Fencing number under which the process owns the record."""


@dataclass(frozen=True)
class Permit:
    """Permits the first attempt; must be durable before the first byte is sent."""

    actor: Actor
    """Owner of the record."""
    backend_server: str = ""
    """Id of the backend server to which the attempt will be sent; empty if unknown."""


@dataclass(frozen=True)
class PermitAgain:
    """Permits a further attempt; must be durable before the first byte is sent.

    For a non-repeatable call, the process that was permitted the earlier attempt must
    still be the owner and must state that no byte of that attempt was sent.
    """

    actor: Actor
    """Owner of the record."""
    no_byte_sent: bool
    """Whether the owner states that no byte of the earlier attempt was sent."""
    backend_server: str = ""
    """Id of the backend server to which the attempt will be sent; empty if unknown."""


@dataclass(frozen=True)
class Finish:
    """Stores the response as the outcome; must be durable before the caller gets it."""

    actor: Actor
    """Owner of the record."""
    answer: pb.Answer = field(hash=False)
    """Response of the backend server."""


@dataclass(frozen=True)
class GiveUp:
    """Ends the request as not run; must be durable before the caller is told so."""

    actor: Actor
    """Owner of the record."""
    proof: Proof
    """Evidence that the request did not run."""
    reason: str
    """Why the request did not run, for the caller."""
    step: str
    """Name of the operation that failed."""


@dataclass(frozen=True)
class LoseTrack:
    """Ends the request with an unknown outcome, which an operator may resolve."""

    actor: Actor
    """Owner of the record."""
    reason: str
    """Why the outcome is unknown, for the caller."""
    step: str
    """Name of the operation that failed."""


@dataclass(frozen=True)
class Cancel:
    """Ends a request that its caller cancelled."""

    actor: Actor
    """Owner of the record."""


@dataclass(frozen=True)
class TakeOver:
    """Transfers the ownership of a record from a dead process to a live one."""

    dead: ProcessId
    """Id of the owner, which is known to be dead or fenced."""
    owner: ProcessId
    """Id of the new owner."""


@dataclass(frozen=True)
class Resolve:
    """Stores the outcome that an operator states for a request with an unknown one."""

    operator: str
    """Name of the operator."""
    answer: pb.Answer | None = field(hash=False)
    """Response to store if the request ran; None if it did not run."""


Transition = (
    Permit | PermitAgain | Finish | GiveUp | LoseTrack | Cancel | TakeOver | Resolve
)
"""Any transition of a record."""

TransitionResult = Result[pb.RequestRecord, TransitionRefusedError]
"""The record after a transition, or why the transition is not allowed."""


@singledispatch
def apply(
    transition: object, record: pb.RequestRecord, now_ms: int
) -> TransitionResult:
    """Apply a transition to a record.

    Args:
        transition: One of the transitions of this module.
        record: The record before the transition; it is not modified.
        now_ms: Current wall clock time in milliseconds, stored as the end time if the
            transition ends the request.

    Returns:
        The record after the transition, or why the transition is not allowed.

    Raises:
        TypeError: `transition` is not a transition of this module.
    """
    raise TypeError(f"expected a transition of a request, got {transition!r}")


def is_open(record: pb.RequestRecord) -> bool:
    """Return whether the owner still has to act on the record."""
    return record.state in OPEN_STATES


def is_repeatable(record: pb.RequestRecord) -> bool:
    """Return whether the request may run more than once."""
    return record.kind != pb.NOT_REPEATABLE


def owner_permitted_attempt(record: pb.RequestRecord) -> bool:
    """Return whether the last attempt was permitted under the current ownership."""
    return record.permitted_number == record.fencing_number


def _copy(record: pb.RequestRecord) -> pb.RequestRecord:
    copy = pb.RequestRecord()
    copy.CopyFrom(record)
    return copy


def _refuse(
    transition: object, record: pb.RequestRecord, reason: str
) -> TransitionResult:
    step = type(transition).__name__.lower()
    state = pb.RequestState.Name(record.state).lower()
    return Error(
        TransitionRefusedError(step, record.owner, f"{reason} (state {state})")
    )


def _is_owner(actor: Actor, record: pb.RequestRecord) -> bool:
    return (actor.owner, actor.fencing_number) == (record.owner, record.fencing_number)


def _with_end(
    record: pb.RequestRecord, state: pb.RequestState.ValueType, now_ms: int
) -> pb.RequestRecord:
    after = _copy(record)
    after.state = state
    after.ended_at_ms = now_ms
    if state in FINAL_STATES:
        after.ClearField("request")
    return after


def _with_attempt(record: pb.RequestRecord, backend_server: str) -> pb.RequestRecord:
    after = _copy(record)
    after.state = pb.DISPATCHING
    after.attempt += 1
    after.permitted_number = record.fencing_number
    after.backend_server = backend_server
    return after


@apply.register
def _(transition: Permit, record: pb.RequestRecord, now_ms: int) -> TransitionResult:
    if not _is_owner(transition.actor, record):
        return _refuse(transition, record, "not the owner")
    if record.state != pb.ACCEPTED:
        return _refuse(transition, record, "not waiting for an attempt")
    return Ok(_with_attempt(record, transition.backend_server))


@apply.register
def _(
    transition: PermitAgain, record: pb.RequestRecord, now_ms: int
) -> TransitionResult:
    if not _is_owner(transition.actor, record):
        return _refuse(transition, record, "not the owner")
    if record.state not in MAY_HAVE_SENT:
        return _refuse(transition, record, "no earlier attempt")
    if not is_repeatable(record):
        if not owner_permitted_attempt(record):
            return _refuse(transition, record, "another process may have sent it")
        if not transition.no_byte_sent:
            return _refuse(transition, record, "bytes may have left")
    return Ok(_with_attempt(record, transition.backend_server))


@apply.register
def _(transition: Finish, record: pb.RequestRecord, now_ms: int) -> TransitionResult:
    if not _is_owner(transition.actor, record):
        return _refuse(transition, record, "not the owner")
    if record.state not in MAY_HAVE_SENT and record.state != pb.OUTCOME_UNKNOWN:
        return _refuse(transition, record, "nothing was sent")
    after = _with_end(record, pb.ANSWERED, now_ms)
    after.answer.CopyFrom(transition.answer)
    after.reason = after.step = ""
    return Ok(after)


@apply.register
def _(transition: GiveUp, record: pb.RequestRecord, now_ms: int) -> TransitionResult:
    if not _is_owner(transition.actor, record):
        return _refuse(transition, record, "not the owner")
    reason = _unproven_reason(transition.proof, record)
    if reason:
        return _refuse(transition, record, reason)
    after = _with_end(record, pb.NOT_RUN, now_ms)
    after.reason, after.step = transition.reason, transition.step
    return Ok(after)


def _unproven_reason(proof: Proof, record: pb.RequestRecord) -> str:
    if proof is Proof.NEVER_PERMITTED:
        return "" if record.state == pb.ACCEPTED else "an attempt was permitted"
    if proof is Proof.NO_BYTE_SENT:
        if record.state not in MAY_HAVE_SENT:
            return "no attempt was permitted"
        return (
            ""
            if owner_permitted_attempt(record)
            else "another process may have sent it"
        )
    if record.state in MAY_HAVE_SENT or record.state == pb.OUTCOME_UNKNOWN:
        return ""
    return "no attempt was permitted"


@apply.register
def _(transition: LoseTrack, record: pb.RequestRecord, now_ms: int) -> TransitionResult:
    if not _is_owner(transition.actor, record):
        return _refuse(transition, record, "not the owner")
    if record.state not in MAY_HAVE_SENT:
        return _refuse(transition, record, "nothing was sent")
    after = _with_end(record, pb.OUTCOME_UNKNOWN, now_ms)
    after.reason, after.step = transition.reason, transition.step
    return Ok(after)


@apply.register
def _(transition: Cancel, record: pb.RequestRecord, now_ms: int) -> TransitionResult:
    if not _is_owner(transition.actor, record):
        return _refuse(transition, record, "not the owner")
    if record.state == pb.ACCEPTED:
        return Ok(_with_end(record, pb.CANCELLED, now_ms))
    if record.state in MAY_HAVE_SENT and is_repeatable(record):
        return Ok(_with_end(record, pb.CANCELLED, now_ms))
    return _refuse(transition, record, "what may have run can't be cancelled")


@apply.register
def _(transition: TakeOver, record: pb.RequestRecord, now_ms: int) -> TransitionResult:
    if record.owner != transition.dead:
        return _refuse(transition, record, "the dead process is not the owner")
    if not is_open(record):
        return _refuse(transition, record, "nothing is left to do")
    after = _copy(record)
    after.owner = transition.owner
    after.fencing_number += 1
    if is_repeatable(record):
        after.state = pb.ACCEPTED
    return Ok(after)


@apply.register
def _(transition: Resolve, record: pb.RequestRecord, now_ms: int) -> TransitionResult:
    if record.state != pb.OUTCOME_UNKNOWN:
        return _refuse(transition, record, "the outcome is not unknown")
    state = pb.NOT_RUN if transition.answer is None else pb.ANSWERED
    after = _with_end(record, state, now_ms)
    after.step = "resolve"
    after.reason = f"resolved by {transition.operator}"
    if transition.answer is not None:
        after.answer.CopyFrom(transition.answer)
    return Ok(after)
