"""Chooses the membership changes that replace the lost voters of a group."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.coordination.log.membership import Action, find_member, voters
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

REPAIR_AFTER_S: Final = 30.0
"""Time without a response after which a voter is replaced, in seconds; a member
restarts in less."""


LEARNER_PATIENCE_FRACTION: Final = 0.5
"""Time without a response after which another spare is added beside a learner, as a
fraction of the time after which a voter is replaced; a learner more does no harm."""


@dataclass(frozen=True)
class GroupHealth:
    """Health of the other members of a group, as seen by the group's leader."""

    membership: pb.Membership
    """Membership in force."""
    last_response_age_s: Mapping[str, float]
    """Time since the last response of each other member, in seconds, by member id."""
    caught_up: set[str]
    """Ids of the responding members that lack at most `CAUGHT_UP_ENTRIES` entries."""
    draining: frozenset[str] = frozenset()
    """Ids of the members whose processes were told to stop."""


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
    """Return the next change towards the wanted number of staying voters, or None.

    Staying voters are neither lost nor told to stop. A spare is added as a learner and
    promoted once it has caught up; the voter that it replaces is removed only after
    that, and before the next spare is promoted. So a majority is never counted among
    fewer voters than before the repair, nor among more than one beyond them.

    Args:
        health: Health of the other members, as seen by the leader.
        spares: Responding members outside the group, in order of preference.
        wanted_voters: Number of staying voters that the group should have.
        repair_after_s: Time without a response after which a voter counts as lost,
            in seconds.
    """
    membership = health.membership
    ids = voters(membership)
    lost = [v for v in ids if _is_lost(health, v, repair_after_s)]
    leaving = [v for v in ids if v in health.draining and v not in lost]
    # The leader, which is no peer of itself, removes itself last.
    leaving.sort(key=lambda voter: voter not in health.last_response_age_s)
    staying = len(ids) - len(lost) - len(leaving)
    if staying >= wanted_voters or len(ids) > wanted_voters:
        removal = _removal(membership, lost, leaving)
        if removal is not None:
            return removal
    if staying >= wanted_voters:
        return None
    learners = [
        m
        for m in membership.members
        if m.role == pb.LEARNER and m.id not in health.draining
    ]
    promotable = [m for m in learners if m.id in health.caught_up]
    if promotable:
        return MembershipChange(Action.PROMOTE, promotable[0])
    patience_s = LEARNER_PATIENCE_FRACTION * repair_after_s
    if any(not _is_lost(health, m.id, patience_s) for m in learners) or not spares:
        return None
    return MembershipChange(Action.ADD_LEARNER, spares[0])


def may_stop(
    voter_ids: Collection[str],
    member: str,
    wanted_voters: int,
    lost: Collection[str],
    draining: Collection[str],
    *,
    has_spare: bool,
) -> bool:
    """Return whether a member that was told to stop may end its process.

    A voter may not while a spare can replace it, or has just done so. Without a spare
    it may if the remaining voters are a majority. Of several that are told to stop, the
    one with the lowest id ends first, since it may be back before the next one has to
    end.

    Args:
        voter_ids: Ids of the voters of the committed membership.
        member: Id of the member.
        wanted_voters: Number of voters that the group should have.
        lost: Ids of the members that don't respond.
        draining: Ids of the members that were told to stop and still respond.
        has_spare: Whether a member outside the group responds and is not told to stop.
    """
    if member not in voter_ids:
        return True
    if has_spare or len(voter_ids) > wanted_voters:
        return False
    remaining = [
        voter
        for voter in voter_ids
        if voter != member
        and voter not in lost
        and (voter not in draining or voter > member)
    ]
    return 2 * len(remaining) > len(voter_ids)


def _is_lost(health: GroupHealth, member: str, repair_after_s: float) -> bool:
    return health.last_response_age_s.get(member, 0.0) > repair_after_s


def _removal(
    membership: pb.Membership, lost: Sequence[str], leaving: Sequence[str]
) -> MembershipChange | None:
    """Return the removal of a voter, of one that is about to end first, or None.

    A voter is not removed if those that respond would no longer be a majority.
    """
    count = len(voters(membership))
    responding = count - len(lost)
    if leaving and 2 * (responding - 1) > count - 1:
        removed = leaving[0]
    elif lost:
        removed = lost[0]
    else:
        return None
    member = find_member(membership, removed)
    return MembershipChange(Action.REMOVE, member) if member else None
