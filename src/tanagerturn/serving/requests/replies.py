"""Replies to callers about the state of a request."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING

from tanagerturn.schema import serving_pb2 as pb

if TYPE_CHECKING:
    from tanagerturn.serving.requests.stored import NewRequest


class ReplyKind(Enum):
    """Kind of a reply to a caller."""

    ANSWERED = auto()
    """The request ran; the reply contains its answer."""
    NOT_RUN = auto()
    """The request did not run and never will."""
    OUTCOME_UNKNOWN = auto()
    """It is not known whether the request ran; the caller may ask again by its key."""
    RUNNING = auto()
    """The request is in progress, on this or another entry host."""
    CANCELLED = auto()
    """The caller cancelled the request."""
    KEY_REUSED = auto()
    """The idempotency key was used before for a different request."""
    NOT_ACCEPTED = auto()
    """No record exists and none will be written; the key may be used again."""


@dataclass(frozen=True)
class Reply:
    """Reply to the caller."""

    kind: ReplyKind
    """Kind of the reply."""
    answer: pb.Answer | None = None
    """Answer of the backend server; None unless `kind` is ANSWERED."""
    step: str = ""
    """Step that failed; empty when none did."""
    reason: str = ""
    """Cause of the failure; empty when there was none."""


def reply_from_record(record: pb.RequestRecord) -> Reply:
    """Return the reply for a record to a caller who sends its key again."""
    kind = {
        pb.ANSWERED: ReplyKind.ANSWERED,
        pb.NOT_RUN: ReplyKind.NOT_RUN,
        pb.OUTCOME_UNKNOWN: ReplyKind.OUTCOME_UNKNOWN,
        pb.CANCELLED: ReplyKind.CANCELLED,
    }.get(record.state, ReplyKind.RUNNING)
    answer = record.answer if kind is ReplyKind.ANSWERED else None
    return Reply(kind, answer, record.step, record.reason)


def reply_to_request(new: NewRequest | None, record: pb.RequestRecord) -> Reply:
    """Return the reply for a record to a request with the same idempotency key.

    Args:
        new: The request, whose fingerprint must match; None to skip the comparison.
        record: The stored record.
    """
    if new is not None and new.fingerprint != record.fingerprint:
        reason = "the idempotency key was used for another request"
        return Reply(ReplyKind.KEY_REUSED, step="accept", reason=reason)
    return reply_from_record(record)
