"""Encodes and decodes orders, permissions and evidence of rollouts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.serving.rollouts.evidence import (
    BUCKETS,
    Cell,
    CellKey,
    VersionEvidence,
)
from tanagerturn.serving.rollouts.messages import (
    Permission,
    RolloutOrder,
    RolloutState,
    Side,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

STATES: Final = {
    RolloutState.ACTIVE: gpb.ROLLOUT_ACTIVE,
    RolloutState.COMPLETED: gpb.ROLLOUT_COMPLETED,
    RolloutState.ROLLED_BACK: gpb.ROLLOUT_ROLLED_BACK,
}

STATES_BY_NUMBER: Final = {number: state for state, number in STATES.items()}

SIDES: Final = {Side.OLD: gpb.ROLLOUT_OLD, Side.TARGET: gpb.ROLLOUT_TARGET}

SIDES_BY_NUMBER: Final = {number: side for side, number in SIDES.items()}


@dataclass(frozen=True)
class IssuedPermission:
    """A permission, and who issued it."""

    permission: Permission
    """The permission."""
    fencing_number: int = 0
    """Fencing number of the lease; 0 if it was made of a stored order."""
    holder: str = ""
    """Host that issued it; empty if it was made of a stored order."""

    @property
    def is_finished(self) -> bool:
        """Whether the rollout has ended."""
        return self.permission.state is not RolloutState.ACTIVE

    @property
    def rank(self) -> tuple[int, bool, int, int]:
        """Position among all permissions of the service; the highest one applies.

        An end is committed, so it replaces each permission of the same order.
        """
        permission = self.permission
        return (
            permission.number,
            self.is_finished,
            self.fencing_number,
            permission.issued_ms,
        )


def state_of(stored: gpb.StoredRollout) -> RolloutState:
    """Return the state of a stored order."""
    return STATES_BY_NUMBER[stored.state]


def order_of(stored: gpb.StoredRollout) -> RolloutOrder:
    """Return a stored order without its state."""
    return RolloutOrder(
        stored.service,
        stored.target,
        stored.duration_ms,
        stored.number,
        stored.ordered_ms,
    )


def permission_of(stored: gpb.StoredRollout) -> IssuedPermission:
    """Return what a stored order allows without a permission of the lease holder."""
    return IssuedPermission(
        Permission(
            stored.service,
            stored.target,
            stored.number,
            state_of(stored),
            share=0.0,
            issued_ms=0,
            valid_ms=0,
        )
    )


def encode_permission(issued: IssuedPermission) -> gpb.RolloutPermission:
    """Return a permission as a message."""
    permission = issued.permission
    return gpb.RolloutPermission(
        service=permission.service,
        target=permission.target,
        number=permission.number,
        state=STATES[permission.state],
        share=permission.share,
        issued_ms=permission.issued_ms,
        valid_ms=permission.valid_ms,
        fencing_number=issued.fencing_number,
        holder=issued.holder,
    )


def decode_permission(message: gpb.RolloutPermission) -> IssuedPermission:
    """Return the permission in a message."""
    permission = Permission(
        message.service,
        message.target,
        message.number,
        STATES_BY_NUMBER[message.state],
        message.share,
        message.issued_ms,
        message.valid_ms,
    )
    return IssuedPermission(permission, message.fencing_number, message.holder)


def encode_evidence(
    service: str, host: str, evidence: VersionEvidence, keys: Iterable[CellKey]
) -> gpb.RolloutEvidence:
    """Return some counters of this process as a message.

    Args:
        service: Service of the rollout.
        host: Host of this gateway.
        evidence: Counters of the process.
        keys: Cells to report.
    """
    message = gpb.RolloutEvidence(
        service=service,
        number=evidence.number,
        host=host,
        started_ms=evidence.started_ms,
        permission_ms=evidence.permission_ms,
    )
    for key in keys:
        cell = evidence.cells[key]
        first_time, times = _trimmed(cell.times)
        first_pace, paces = _trimmed(cell.paces)
        first_waiting, waiting = _trimmed(cell.waiting)
        message.cells.add(
            route=key.route,
            version=key.version,
            backend=key.backend,
            started=cell.started,
            failed=cell.failed,
            cancelled=cell.cancelled,
            ended=cell.ended,
            first_time=first_time,
            times=times,
            first_pace=first_pace,
            paces=paces,
            first_waiting=first_waiting,
            waiting=waiting,
        )
    return message


def decode_evidence(message: gpb.RolloutEvidence) -> VersionEvidence:
    """Return the counters in a message; histograms that do not fit are cut."""
    evidence = VersionEvidence(message.number, message.started_ms)
    evidence.permission_ms = message.permission_ms
    for each in message.cells:
        evidence.cells[CellKey(each.route, each.version, each.backend)] = Cell(
            started=each.started,
            failed=each.failed,
            cancelled=each.cancelled,
            times=_whole(each.first_time, each.times),
            paces=_whole(each.first_pace, each.paces),
            ended=each.ended,
            waiting=_whole(each.first_waiting, each.waiting),
        )
    return evidence


def _trimmed(counts: Sequence[int]) -> tuple[int, Sequence[int]]:
    """Return the first bucket that is not empty, and the counts up to the last one."""
    filled = [index for index, count in enumerate(counts) if count]
    if not filled:
        return 0, ()
    return filled[0], counts[filled[0] : filled[-1] + 1]


def _whole(first: int, counts: Sequence[int]) -> list[int]:
    """Return a histogram of `BUCKETS` counts."""
    whole = [0] * BUCKETS
    for index, count in enumerate(counts, first):
        if index < BUCKETS:
            whole[index] = count
    return whole
