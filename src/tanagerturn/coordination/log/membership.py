"""Membership of a replication group: voters, majorities and single changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.coordination.ids import MemberId
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Iterable

Action = pb.MemberChangeRequest.Action


def voters(membership: pb.Membership) -> list[MemberId]:
    """Return the ids of the members that vote and count towards a majority."""
    return [MemberId(m.id) for m in membership.members if m.role == pb.VOTER]


def find_member(membership: pb.Membership, member: str) -> pb.Member | None:
    """Return the member with an id, or None when there is none."""
    return next((m for m in membership.members if m.id == member), None)


def majority_reached(values: Iterable[int]) -> int:
    """Return the highest value that a majority of voters has reached.

    Args:
        values: One value per voter; must not be empty.
    """
    ordered = sorted(values, reverse=True)
    return ordered[len(ordered) // 2]


def apply_change(
    membership: pb.Membership, action: int, member: pb.Member
) -> pb.Membership | str:
    """Return the membership after one change, or the reason for its rejection."""
    existing = find_member(membership, member.id)
    result = pb.Membership()
    result.CopyFrom(membership)
    if action == Action.ADD_LEARNER:
        if existing is not None:
            return f"{member.id} is a member already"
        if not member.id or not member.address:
            return "a member needs an id and an address"
        added = result.members.add()
        added.CopyFrom(member)
        added.role = pb.LEARNER
        return result
    if existing is None:
        return f"{member.id} is not a member"
    if action == Action.PROMOTE:
        if existing.role != pb.LEARNER:
            return f"{member.id} is not a learner"
        for changed_member in result.members:
            if changed_member.id == member.id:
                changed_member.role = pb.VOTER
        return result
    if action == Action.REMOVE:
        if voters(membership) == [member.id]:
            return "the last voter can't be removed"
        remaining = [m for m in membership.members if m.id != member.id]
        return pb.Membership(members=remaining)
    return "unknown action"
