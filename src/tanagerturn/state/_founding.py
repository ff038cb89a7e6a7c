"""How a member with an empty folder finds out what it is.

A member with an emptied disk must not vote under its old name: it has forgotten
what it acknowledged. So each data folder has a random incarnation, and the
membership names it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.coordination.errors import StorageError
from tanagerturn.coordination.log.membership import find
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from tanagerturn.coordination.ids import MemberId


def founding_membership(
    member: MemberId,
    incarnation: str,
    founders: Sequence[pb.Member],
    answers: Mapping[str, pb.StatusResponse],
) -> pb.Membership | None:
    """Return the membership to start with, None when it isn't known yet.

    An empty membership means that the member waits to be added.

    Args:
        member: This member.
        incarnation: Incarnation of this member's folder.
        founders: Members that found the group, by settings.
        answers: Answers of other members by id.

    Raises:
        StorageError: The group knows this member with another folder.
    """
    for answer in answers.values():
        for group in answer.groups:
            known = find(group.membership, member)
            if known is not None and known.incarnation != incarnation:
                raise _emptied(member)
    is_founder = any(founder.id == member for founder in founders)
    for answer in answers.values():
        for group in answer.groups:
            if not group.membership.members:
                continue
            if find(group.membership, member) is None or not is_founder:
                return pb.Membership()
    if not is_founder:
        return pb.Membership() if answers else None
    if any(f.id != member and f.id not in answers for f in founders):
        return None
    membership = pb.Membership()
    for founder in founders:
        added = membership.members.add()
        added.CopyFrom(founder)
        own = founder.id == member
        added.incarnation = incarnation if own else answers[founder.id].incarnation
    return membership


def _emptied(member: MemberId) -> StorageError:
    reason = (
        "the group knows this member with another data folder; "
        "give the new disk a new id in settings, so that it joins as a new member"
    )
    return StorageError("join group", member, reason)
