"""Rules for which failed attempts may be retried."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Final

from tanagerturn.schema import serving_pb2 as pb

RETRYABLE_STATUSES: Final = frozenset({502, 503, 504})
"""HTTP statuses of responses after which another backend server may succeed."""


class Phase(Enum):
    """Phase of an attempt in which it failed."""

    NOT_SENT = auto()
    """No byte of the request was sent."""
    SENT = auto()
    """Bytes of the request were sent, but no complete response was received."""
    ANSWERED = auto()
    """A complete response was received."""


@dataclass(frozen=True)
class Failure:
    """A failed attempt."""

    phase: Phase
    """Phase of the attempt in which it failed."""
    status: int = 0
    """HTTP status of the response; 0 if none was received."""
    retry_after_s: float = 0.0
    """Wait in seconds that the backend server requested; 0 for none."""


def is_retryable(failure: Failure) -> bool:
    """Return whether a retry of the request, here or elsewhere, may succeed."""
    if failure.phase is not Phase.ANSWERED:
        return True
    return failure.status in RETRYABLE_STATUSES


def may_retry(
    failure: Failure, kind: pb.CallKind.ValueType, retried_by_caller: bool
) -> bool:
    """Return whether a failed attempt may be retried.

    Args:
        failure: The failure of the attempt.
        kind: Call kind from the settings of the service.
        retried_by_caller: Whether the caller or another layer already retries the call.
    """
    if not is_retryable(failure):
        return False
    if kind == pb.NOT_REPEATABLE:
        return failure.phase is Phase.NOT_SENT
    return not retried_by_caller or failure.phase is Phase.NOT_SENT
