"""Chooses the membership changes that replace the lost voters of a group."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.coordination.log.membership import Action, find_member, voters
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

REPAIR_AFTER_S: Final = 30.0
"""Time without a response after which a voter is replaced, in seconds; a member
restarts in less."""


@dataclass(frozen=True)
class GroupHealth:
    """Health of the other members of a group, as seen by the group's leader."""

    membership: pb.Membership
    """Membership in force."""
    last_response_age_s: Mapping[str, float]
    """Time since the last response of each other member, in seconds, by member id."""
    caught_up: set[str]
    """Ids of the responding members that lack at most `CAUGHT_UP_ENTRIES` entries."""


@dataclass(frozen=True)
class MembershipChange:
    """One membership change to propose."""

    action: int
    """`MemberChangeRequest.Action`."""
    member: pb.Member
    """Member to add, promote or remove."""


def next_membership_change(
    health: GroupHealth,
    spares: Sequence[pb.Member],
    wanted_voters: int,
    repair_after_s: float,
) -> MembershipChange | None:
    """Return the next change towards the wanted number of live voters, or None.

    A spare is added as a learner and promoted once it has caught up; the lost voter is
    removed only after that. So a majority is never counted among fewer voters than
    before the repair.

    Args:
        health: Health of the other members, as seen by the leader.
        spares: Responding members outside the group, in order of preference.
        wanted_voters: Number of live voters that the group should have.
        repair_after_s: Time without a response after which a voter counts as lost,
            in seconds.
    """
    membership = health.membership
    lost = [
        voter
        for voter in voters(membership)
        if health.last_response_age_s.get(voter, 0.0) > repair_after_s
    ]
    live = len(voters(membership)) - len(lost)
    if live >= wanted_voters:
        return _removal(membership, lost)
    learners = [m for m in membership.members if m.role == pb.LEARNER]
    promotable = [m for m in learners if m.id in health.caught_up]
    if promotable:
        return MembershipChange(Action.PROMOTE, promotable[0])
    live_learners = [
        m
        for m in learners
        if health.last_response_age_s.get(m.id, 0.0) <= repair_after_s
    ]
    if live_learners or not spares:
        return None
    return MembershipChange(Action.ADD_LEARNER, spares[0])


def _removal(membership: pb.Membership, lost: Sequence[str]) -> MembershipChange | None:
    if not lost:
        return None
    member = find_member(membership, lost[0])
    return MembershipChange(Action.REMOVE, member) if member else None
