"""Decides how a voter that was told to stop hands over its place; no I/O.

The leader of the group replaces the voters whose digests state that they drain. A
leader of an older version does not, so a voter of this version takes the leadership.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from tanagerturn.coordination.log.membership import voters
from tanagerturn.state._repair import GroupHealth, may_stop

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from tanagerturn.schema import coordination_pb2 as pb
    from tanagerturn.schema import gateway_pb2 as gpb


@dataclass(frozen=True)
class GroupView:
    """The state group as one of its members sees it."""

    member: str
    """Id of this member."""
    is_draining: bool
    """Whether this member was told to stop."""
    membership: pb.Membership
    """Membership in this member's log, committed or not."""
    leader_address: str
    """Link address of the leader; empty if unknown."""
    leads: bool
    """Whether this member is the leader."""
    digests: Sequence[gpb.Digest]
    """Recent digests of the peer gateways."""
    present: Collection[str] = field(default_factory=frozenset)
    """Hosts of the peer gateways that failure detection finds present."""

    @property
    def voter_ids(self) -> Sequence[str]:
        """Ids of the voters, as the latest leader states them.

        A removed member does not receive the entry that removes it.
        """
        stated = [d for d in self.digests if d.voters]
        if self.leads or not stated:
            return voters(self.membership)
        return max(stated, key=lambda digest: digest.term).voters

    @property
    def draining(self) -> frozenset[str]:
        """Ids of the members whose processes were told to stop."""
        ids = {d.member.id for d in self.digests if d.draining and d.member.id}
        return frozenset(ids | ({self.member} if self.is_draining else set()))

    @property
    def present_digests(self) -> list[gpb.Digest]:
        """Digests of the present peer gateways with a member."""
        return [d for d in self.digests if d.member.id and d.host in self.present]


def with_reported_states(health: GroupHealth, view: GroupView) -> GroupHealth:
    """Return the health with what digests state of the members.

    Voters whose host has a new disk count as lost, and those whose processes were told
    to stop as draining.
    """
    ids_by_address = {
        d.member.address: d.member.id for d in view.digests if d.member.id
    }
    last_response_age_s = dict(health.last_response_age_s)
    for member in health.membership.members:
        if ids_by_address.get(member.address, member.id) != member.id:
            last_response_age_s[member.id] = float("inf")
    return replace(
        health, last_response_age_s=last_response_age_s, draining=view.draining
    )


def spare_members(view: GroupView) -> list[pb.Member]:
    """Return members outside the group, those of the least represented zones first.

    The zone of a voter that was told to stop counts as not represented by it.
    """
    members, draining = view.membership.members, view.draining
    member_ids = {member.id for member in members}
    zones = [m.availability_zone for m in members if m.id not in draining]
    spares = [
        digest.member
        for digest in view.present_digests
        if digest.member.id not in member_ids and not digest.draining
    ]
    spares.sort(key=lambda spare: (zones.count(spare.availability_zone), spare.id))
    return spares


def may_end(view: GroupView, wanted_voters: int) -> bool:
    """Return whether the process of this member may end without harm to the group.

    Args:
        view: The group as this member sees it.
        wanted_voters: Number of voters that the group should have.
    """
    ids = view.voter_ids
    responding = {digest.member.id for digest in view.present_digests}
    spares = {d.member.id for d in view.present_digests if not d.draining} - set(ids)
    # A peer whose first digest has not arrived yet may have a disk.
    unknown = set(view.present) - {digest.host for digest in view.digests}
    lost = set(ids) - responding - {view.member}
    has_spare = bool(spares or unknown)
    return may_stop(
        ids, view.member, wanted_voters, lost, view.draining, has_spare=has_spare
    )


def must_take_leadership(view: GroupView) -> bool:
    """Return whether this member has to lead, so that a draining voter is replaced.

    That is so if the leader is of a version that does not replace draining voters, a
    spare could replace one, and this member is the first of those that would: members
    that stay come before those that drain.
    """
    if view.leads:
        return False
    digests = view.present_digests
    leader = next((d for d in digests if d.link_address == view.leader_address), None)
    if leader is None or leader.replaces_draining_voters:
        return False
    ids, draining = view.voter_ids, view.draining
    if view.member not in ids or not draining.intersection(ids):
        return False
    if not spare_members(view):
        return False
    able = {
        d.member.id
        for d in digests
        if d.replaces_draining_voters and d.member.id in ids
    }
    able.add(view.member)
    return min(able, key=lambda each: (each in draining, each)) == view.member
