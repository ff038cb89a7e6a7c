"""Decides the next step of bringing a group back to full redundancy."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.coordination.log.membership import Action, find, voters
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

REPAIR_AFTER_S: Final = 30.0
"""A voter that was not heard for this long is replaced; a restart is shorter."""


@dataclass(frozen=True)
class GroupHealth:
    """What the leader of a group knows of the other members."""

    membership: pb.Membership
    """Membership in force."""
    unheard_s: Mapping[str, float]
    """Time since each other member answered last, in seconds."""
    caught_up: set[str]
    """Members that lack few entries only."""


@dataclass(frozen=True)
class Change:
    """One member change."""

    action: int
    """`MemberChangeRequest.Action`."""
    member: pb.Member
    """Member to change."""


def next_change(
    health: GroupHealth,
    spares: Sequence[pb.Member],
    wanted_voters: int,
    repair_after_s: float,
) -> Change | None:
    """Return the next change towards the wanted number of live voters.

    A spare is added as a learner, promoted when it has caught up, and only then
    the lost voter is removed; so the group never counts a majority of fewer
    members than it had.

    Args:
        health: What the leader knows.
        spares: Members outside the group that answer, best first.
        wanted_voters: Voters that the group shall have.
        repair_after_s: Time after which an unheard voter is lost, in seconds.
    """
    membership = health.membership
    lost = [
        voter
        for voter in voters(membership)
        if health.unheard_s.get(voter, 0.0) > repair_after_s
    ]
    live = len(voters(membership)) - len(lost)
    if live >= wanted_voters:
        return _removal(membership, lost)
    learners = [m for m in membership.members if m.role == pb.LEARNER]
    ready = [m for m in learners if m.id in health.caught_up]
    if ready:
        return Change(Action.PROMOTE, ready[0])
    live_learners = [
        m for m in learners if health.unheard_s.get(m.id, 0.0) <= repair_after_s
    ]
    if live_learners or not spares:
        return None
    return Change(Action.ADD_LEARNER, spares[0])


def _removal(membership: pb.Membership, lost: Sequence[str]) -> Change | None:
    if not lost:
        return None
    member = find(membership, lost[0])
    return Change(Action.REMOVE, member) if member else None
