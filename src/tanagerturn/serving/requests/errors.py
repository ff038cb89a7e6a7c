"""Errors of writes to request records; each names the step and the peer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.coordination.errors import StepError

if TYPE_CHECKING:
    from tanagerturn.schema import serving_pb2 as pb


class TransitionRefusedError(StepError):
    """The request lifecycle does not allow the transition; nothing was written."""


class KeyReusedError(StepError):
    """The idempotency key was used before for a different request."""


class RecordConflictError(StepError):
    """Another process wrote the record first.

    Args:
        step: Operation that failed.
        peer: Process that owns the record now; empty when the record is absent.
        current: The stored record; None when it is absent.
    """

    def __init__(self, step: str, peer: str, current: pb.RequestRecord | None) -> None:
        super().__init__(step, peer, "the record was moved by another process")
        self.current = current
        """The stored record; None when it is absent."""


class OwnerFencedError(StepError):
    """The process no longer holds its lease; nothing was written."""


class CommitUnknownError(StepError):
    """The result of the write is unknown: it may be applied already, later or never."""
