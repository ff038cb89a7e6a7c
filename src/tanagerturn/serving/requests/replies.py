"""Replies to callers about the outcome of a request."""

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
    """The request ran; the reply contains the response of the backend server."""
    NOT_RUN = auto()
    """The request did not run and never will."""
    OUTCOME_UNKNOWN = auto()
    """It is not known whether the request ran; the caller may ask again by its key."""
    RUNNING = auto()
    """The request is in progress on this or another entry host."""
    CANCELLED = auto()
    """The caller cancelled the request."""
    KEY_REUSED = auto()
    """The idempotency key was used before for another request."""
    NOT_ACCEPTED = auto()
    """The request has no record and none will be written; its key may be used again."""


@dataclass(frozen=True)
class Reply:
    """Reply to the caller."""

    kind: ReplyKind
    """Kind of the reply."""
    answer: pb.Answer | None = None
    """Response of the backend server; None unless `kind` is ANSWERED."""
    step: str = ""
    """Name of the operation that failed; empty if none failed."""
    reason: str = ""
    """Why the operation failed; empty if none failed."""


def reply_from_record(record: pb.RequestRecord) -> Reply:
    """Return the reply to a caller that sends the idempotency key of a record again."""
    kind = {
        pb.ANSWERED: ReplyKind.ANSWERED,
        pb.NOT_RUN: ReplyKind.NOT_RUN,
        pb.OUTCOME_UNKNOWN: ReplyKind.OUTCOME_UNKNOWN,
        pb.CANCELLED: ReplyKind.CANCELLED,
    }.get(record.state, ReplyKind.RUNNING)
    answer = record.answer if kind is ReplyKind.ANSWERED else None
    return Reply(kind, answer, record.step, record.reason)


def reply_to_request(new_request: NewRequest | None, record: pb.RequestRecord) -> Reply:
    """Return the reply to a request whose idempotency key has a record.

    Args:
        new_request: The request, whose fingerprint must equal the record's; None to
            skip the comparison.
        record: The stored record.
    """
    if new_request is not None and new_request.fingerprint != record.fingerprint:
        reason = "the idempotency key was used for another request"
        return Reply(ReplyKind.KEY_REUSED, step="accept", reason=reason)
    return reply_from_record(record)
