"""What a caller is told."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING

from tanagerturn.schema import serving_pb2 as pb

if TYPE_CHECKING:
    from tanagerturn.serving.requests.held import NewRequest


class ReplyKind(Enum):
    """What the caller is told."""

    ANSWERED = auto()
    """The request ran; here is its answer."""
    NOT_RUN = auto()
    """The request did not run and never will."""
    OUTCOME_UNKNOWN = auto()
    """It is not known whether the request ran; the same key tells later."""
    RUNNING = auto()
    """The request runs now, here or on another entry host."""
    CANCELLED = auto()
    """The caller gave the request up."""
    KEY_REUSED = auto()
    """The idempotency key names another request."""
    NOT_ACCEPTED = auto()
    """There is no record and there will be none; the key is free."""


@dataclass(frozen=True)
class Reply:
    """What to tell the caller."""

    kind: ReplyKind
    """Kind of the reply."""
    answer: pb.Answer | None = None
    """Answer of the backend server, when it ran."""
    step: str = ""
    """Step at which it went wrong."""
    reason: str = ""
    """What went wrong."""


def reply_of(record: pb.RequestRecord) -> Reply:
    """Return what a record says to a caller who sends its key again."""
    kind = {
        pb.ANSWERED: ReplyKind.ANSWERED,
        pb.NOT_RUN: ReplyKind.NOT_RUN,
        pb.OUTCOME_UNKNOWN: ReplyKind.OUTCOME_UNKNOWN,
        pb.CANCELLED: ReplyKind.CANCELLED,
    }.get(record.state, ReplyKind.RUNNING)
    answer = record.answer if kind is ReplyKind.ANSWERED else None
    return Reply(kind, answer, record.step, record.reason)


def reply_to(new: NewRequest | None, record: pb.RequestRecord) -> Reply:
    """Return what a record says to a request with its key."""
    if new is not None and new.fingerprint != record.fingerprint:
        reason = "the idempotency key was used for another request"
        return Reply(ReplyKind.KEY_REUSED, step="accept", reason=reason)
    return reply_of(record)
