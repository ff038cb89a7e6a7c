"""The life of a request: which move leads from which state, and who may make it.

    received -> accepted -> dispatching -> running -> answered
                    |            |            |
                    |            +------------+-----> outcome_unknown
                    |            |            |             |
                    +------------+------------+--> not_run <-+
                    +------------+------------+--> cancelled

`received` has no record. `running` is known to its owner only: a record that
says `dispatching` already means that bytes may have left. All functions are
pure; the present time is passed in.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from functools import singledispatch
from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result

from tanagerturn.schema import serving_pb2 as pb
from tanagerturn.serving.requests.errors import MoveRefusedError

if TYPE_CHECKING:
    from tanagerturn.coordination.ids import ProcessId

SENDING: Final = frozenset({pb.DISPATCHING, pb.RUNNING})
"""States in which bytes may have left."""

OPEN: Final = frozenset({pb.ACCEPTED}) | SENDING
"""States in which the owner still has to act."""

ENDED: Final = frozenset({pb.ANSWERED, pb.NOT_RUN, pb.CANCELLED})
"""States that no move leaves."""


class Proof(Enum):
    """Why a request is known not to have run."""

    NEVER_PERMITTED = "no attempt was ever permitted"
    NO_BYTE_LEFT = "the sender itself states that no byte left"
    OUTCOME_QUERY = "the service states that it did not and will not run it"


@dataclass(frozen=True)
class Actor:
    """The process that makes a move, with its number for the record."""

    owner: ProcessId
    """Process that makes the move."""
    fencing_number: int
    """Number that the process holds for the record."""


@dataclass(frozen=True)
class Permit:
    """Allows the first attempt to be sent; durable before the first byte."""

    actor: Actor
    """Owner of the record."""
    backend_server: str = ""
    """Backend server that the attempt is meant for."""


@dataclass(frozen=True)
class PermitAgain:
    """Allows a further attempt; durable before its first byte.

    A call that may not be repeated needs the statement of the earlier
    attempt's sender, alive, that no byte left.
    """

    actor: Actor
    """Owner of the record."""
    no_byte_left: bool
    """Statement of the sender about the earlier attempt."""
    backend_server: str = ""
    """Backend server that the attempt is meant for."""


@dataclass(frozen=True)
class Finish:
    """Keeps the answer; durable before the caller sees it."""

    actor: Actor
    """Owner of the record."""
    answer: pb.Answer = field(hash=False)
    """Answer of the backend server."""


@dataclass(frozen=True)
class GiveUp:
    """Ends the request as not run; durable before the caller is told."""

    actor: Actor
    """Owner of the record."""
    proof: Proof
    """Why it is known not to have run."""
    reason: str
    """What went wrong, for the caller."""
    step: str
    """Step at which it went wrong."""


@dataclass(frozen=True)
class LoseTrack:
    """Ends the owner's part with the outcome unknown."""

    actor: Actor
    """Owner of the record."""
    reason: str
    """What went wrong, for the caller."""
    step: str
    """Step at which it went wrong."""


@dataclass(frozen=True)
class Cancel:
    """Ends a request that its caller gave up."""

    actor: Actor
    """Owner of the record."""


@dataclass(frozen=True)
class TakeOver:
    """Moves the record of a dead process to a live one."""

    dead: ProcessId
    """Owner that is known to be dead or fenced."""
    owner: ProcessId
    """The new owner."""


@dataclass(frozen=True)
class Resolve:
    """An operator's statement about a request whose outcome is unknown."""

    operator: str
    """Name of the operator."""
    answer: pb.Answer | None = field(hash=False)
    """Answer to keep when it ran; None when it did not run."""


Move = Permit | PermitAgain | Finish | GiveUp | LoseTrack | Cancel | TakeOver | Resolve
"""Any move of a record."""

Moved = Result[pb.RequestRecord, MoveRefusedError]
"""The record after a move, or why the move is not allowed."""


@singledispatch
def apply(move: object, record: pb.RequestRecord, now_ms: int) -> Moved:
    """Apply a move to a record.

    Args:
        move: One of the moves of this module.
        record: The record before; it is not changed.
        now_ms: Present wall clock in milliseconds, kept as the time of the end.

    Returns:
        The record after the move, or why it is not allowed.
    """
    raise TypeError(f"not a move: {move!r}")


def is_open(record: pb.RequestRecord) -> bool:
    """Tell whether an owner still has to act on the record."""
    return record.state in OPEN


def may_repeat(record: pb.RequestRecord) -> bool:
    """Tell whether the request may run more than once."""
    return record.kind != pb.NOT_REPEATABLE


def sender_is_owner(record: pb.RequestRecord) -> bool:
    """Tell whether the owner is the one who was permitted to send."""
    return record.permitted_number == record.fencing_number


def _copy(record: pb.RequestRecord) -> pb.RequestRecord:
    copy = pb.RequestRecord()
    copy.CopyFrom(record)
    return copy


def _refuse(move: object, record: pb.RequestRecord, reason: str) -> Moved:
    step = type(move).__name__.lower()
    state = pb.RequestState.Name(record.state).lower()
    return Error(MoveRefusedError(step, record.owner, f"{reason} (state {state})"))


def _holds(actor: Actor, record: pb.RequestRecord) -> bool:
    return (actor.owner, actor.fencing_number) == (record.owner, record.fencing_number)


def _ended(
    record: pb.RequestRecord, state: pb.RequestState.ValueType, now_ms: int
) -> pb.RequestRecord:
    after = _copy(record)
    after.state = state
    after.ended_at_ms = now_ms
    if state in ENDED:
        after.ClearField("request")
    return after


def _permitted(record: pb.RequestRecord, backend_server: str) -> pb.RequestRecord:
    after = _copy(record)
    after.state = pb.DISPATCHING
    after.attempt += 1
    after.permitted_number = record.fencing_number
    after.backend_server = backend_server
    return after


@apply.register
def _(move: Permit, record: pb.RequestRecord, now_ms: int) -> Moved:
    if not _holds(move.actor, record):
        return _refuse(move, record, "not the owner")
    if record.state != pb.ACCEPTED:
        return _refuse(move, record, "not waiting for an attempt")
    return Ok(_permitted(record, move.backend_server))


@apply.register
def _(move: PermitAgain, record: pb.RequestRecord, now_ms: int) -> Moved:
    if not _holds(move.actor, record):
        return _refuse(move, record, "not the owner")
    if record.state not in SENDING:
        return _refuse(move, record, "no earlier attempt")
    if not may_repeat(record):
        if not sender_is_owner(record):
            return _refuse(move, record, "another process may have sent it")
        if not move.no_byte_left:
            return _refuse(move, record, "bytes may have left")
    return Ok(_permitted(record, move.backend_server))


@apply.register
def _(move: Finish, record: pb.RequestRecord, now_ms: int) -> Moved:
    if not _holds(move.actor, record):
        return _refuse(move, record, "not the owner")
    if record.state not in SENDING and record.state != pb.OUTCOME_UNKNOWN:
        return _refuse(move, record, "nothing was sent")
    after = _ended(record, pb.ANSWERED, now_ms)
    after.answer.CopyFrom(move.answer)
    after.reason = after.step = ""
    return Ok(after)


@apply.register
def _(move: GiveUp, record: pb.RequestRecord, now_ms: int) -> Moved:
    if not _holds(move.actor, record):
        return _refuse(move, record, "not the owner")
    reason = _unproven(move.proof, record)
    if reason:
        return _refuse(move, record, reason)
    after = _ended(record, pb.NOT_RUN, now_ms)
    after.reason, after.step = move.reason, move.step
    return Ok(after)


def _unproven(proof: Proof, record: pb.RequestRecord) -> str:
    if proof is Proof.NEVER_PERMITTED:
        return "" if record.state == pb.ACCEPTED else "an attempt was permitted"
    if proof is Proof.NO_BYTE_LEFT:
        if record.state not in SENDING:
            return "no attempt to speak of"
        return "" if sender_is_owner(record) else "another process may have sent it"
    if record.state in SENDING or record.state == pb.OUTCOME_UNKNOWN:
        return ""
    return "no attempt to ask about"


@apply.register
def _(move: LoseTrack, record: pb.RequestRecord, now_ms: int) -> Moved:
    if not _holds(move.actor, record):
        return _refuse(move, record, "not the owner")
    if record.state not in SENDING:
        return _refuse(move, record, "nothing was sent")
    after = _ended(record, pb.OUTCOME_UNKNOWN, now_ms)
    after.reason, after.step = move.reason, move.step
    return Ok(after)


@apply.register
def _(move: Cancel, record: pb.RequestRecord, now_ms: int) -> Moved:
    if not _holds(move.actor, record):
        return _refuse(move, record, "not the owner")
    if record.state == pb.ACCEPTED:
        return Ok(_ended(record, pb.CANCELLED, now_ms))
    if record.state in SENDING and may_repeat(record):
        return Ok(_ended(record, pb.CANCELLED, now_ms))
    return _refuse(move, record, "what may have run can't be cancelled")


@apply.register
def _(move: TakeOver, record: pb.RequestRecord, now_ms: int) -> Moved:
    if record.owner != move.dead:
        return _refuse(move, record, "the dead process is not the owner")
    if not is_open(record):
        return _refuse(move, record, "nothing is left to do")
    after = _copy(record)
    after.owner = move.owner
    after.fencing_number += 1
    if may_repeat(record):
        after.state = pb.ACCEPTED
    return Ok(after)


@apply.register
def _(move: Resolve, record: pb.RequestRecord, now_ms: int) -> Moved:
    if record.state != pb.OUTCOME_UNKNOWN:
        return _refuse(move, record, "the outcome is not unknown")
    state = pb.NOT_RUN if move.answer is None else pb.ANSWERED
    after = _ended(record, state, now_ms)
    after.step = "resolve"
    after.reason = f"resolved by {move.operator}"
    if move.answer is not None:
        after.answer.CopyFrom(move.answer)
    return Ok(after)
