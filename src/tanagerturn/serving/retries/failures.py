"""Which failures of an attempt may be retried."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Final

from tanagerturn.schema import serving_pb2 as pb

RETRIED_STATUSES: Final = frozenset({502, 503, 504})
"""Statuses after which another backend server may succeed."""


class Phase(Enum):
    """How far a failed attempt got."""

    NOT_SENT = auto()
    """No byte left."""
    SENT = auto()
    """Bytes left, no whole answer came."""
    ANSWERED = auto()
    """A whole answer came."""


@dataclass(frozen=True)
class Failure:
    """A failed attempt."""

    phase: Phase
    """How far it got."""
    status: int = 0
    """Status of the answer, if one came."""
    retry_after_s: float = 0.0
    """Wait that the backend server asked for."""


def can_succeed(failure: Failure) -> bool:
    """Tell whether the same call may succeed elsewhere or later."""
    if failure.phase is not Phase.ANSWERED:
        return True
    return failure.status in RETRIED_STATUSES


def may_retry(
    failure: Failure, kind: pb.CallKind.ValueType, retried_by_caller: bool
) -> bool:
    """Tell whether an attempt may be followed by another.

    Args:
        failure: How the attempt failed.
        kind: What the service's settings allow.
        retried_by_caller: Another layer already retries this call.
    """
    if not can_succeed(failure):
        return False
    if kind == pb.NOT_REPEATABLE:
        return failure.phase is Phase.NOT_SENT
    return not retried_by_caller or failure.phase is Phase.NOT_SENT
