"""Errors of writes to request records; each names the operation and the peer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.coordination.errors import StepError

if TYPE_CHECKING:
    from tanagerturn.schema import serving_pb2 as pb


class TransitionRefusedError(StepError):
    """The request lifecycle does not allow the transition; nothing was written."""


class KeyReusedError(StepError):
    """The idempotency key was used before for another request."""


class RecordConflictError(StepError):
    """Another process wrote the record first.

    Args:
        step: Name of the operation that failed.
        peer: Id of the process that owns the record; empty if no record is stored.
        current: The stored record; None if no record is stored.
    """

    def __init__(self, step: str, peer: str, current: pb.RequestRecord | None) -> None:
        super().__init__(step, peer, "the record was moved by another process")
        self.current = current
        """The stored record; None if no record is stored."""


class OwnerFencedError(StepError):
    """The process no longer holds the lease of its writes; nothing was written."""


class CommitUnknownError(StepError):
    """The result of the write is unknown: it may be applied now, later or never."""
