"""Why a record could not be moved; each error carries the step and the peer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.coordination.errors import StepError

if TYPE_CHECKING:
    from tanagerturn.schema import serving_pb2 as pb


class MoveRefusedError(StepError):
    """The life of a request does not allow the move; nothing was written."""


class KeyReusedError(StepError):
    """The idempotency key names another request."""


class RecordMovedError(StepError):
    """Another process wrote the record first.

    Args:
        step: What was being done.
        peer: The process that owns the record now.
        current: The record as found; None when it is absent.
    """

    def __init__(self, step: str, peer: str, current: pb.RequestRecord | None) -> None:
        super().__init__(step, peer, "the record was moved by another process")
        self.current = current
        """The record as found; None when it is absent."""


class OwnerFencedError(StepError):
    """The process no longer holds its lease; nothing was written."""


class CommitUnknownError(StepError):
    """The write may or may not have been applied, now or later."""
