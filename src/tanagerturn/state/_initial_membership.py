"""Determines the membership with which a member without stored state starts.

A member that has lost its data must not vote under its old id: the data held the votes
and entries that the member acknowledged. So each data folder has a random incarnation,
which the membership records for its member.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.coordination.errors import StorageError
from tanagerturn.coordination.log.membership import find_member
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from tanagerturn.coordination.ids import MemberId


def initial_membership(
    member: MemberId,
    incarnation: str,
    initial_members: Sequence[pb.Member],
    responses: Mapping[str, pb.StatusResponse],
) -> pb.Membership | None:
    """Return the membership to start with; None if not enough members responded.

    An empty membership means that the member waits until it is added to the group.

    Args:
        member: Id of this member.
        incarnation: Incarnation of this member's data folder.
        initial_members: Members of a new group, from the settings.
        responses: Status responses of the other members that responded, by member id.

    Raises:
        StorageError: The membership lists this member with the incarnation of
            another data folder.
    """
    for response in responses.values():
        for group in response.groups:
            listed = find_member(group.membership, member)
            if listed is not None and listed.incarnation != incarnation:
                raise _replaced_disk_error(member)
    is_initial_member = any(
        initial_member.id == member for initial_member in initial_members
    )
    for response in responses.values():
        for group in response.groups:
            if not group.membership.members:
                continue
            if find_member(group.membership, member) is None or not is_initial_member:
                return pb.Membership()
    if not is_initial_member:
        return pb.Membership() if responses else None
    if any(m.id != member and m.id not in responses for m in initial_members):
        return None
    membership = pb.Membership()
    for initial_member in initial_members:
        added = membership.members.add()
        added.CopyFrom(initial_member)
        is_local = initial_member.id == member
        added.incarnation = (
            incarnation if is_local else responses[initial_member.id].incarnation
        )
    return membership


def _replaced_disk_error(member: MemberId) -> StorageError:
    reason = (
        "the membership lists this member with another data folder's incarnation; "
        "give it a new id in the settings, so that it joins as a new member"
    )
    return StorageError("join group", member, reason)
