"""`tanager status`, `dump`, `drain` and `member`: the running processes."""

from __future__ import annotations

from typing import Any

import click

from tanagerturn.coordination.groups import CONTROL_GROUP, GROUPS
from tanagerturn.coordination.ids import GroupId
from tanagerturn.operator.session import ExitCode, Session, fail
from tanagerturn.schema import coordination_pb2 as pb

pass_session = click.make_pass_decorator(Session)


@click.command()
@pass_session
def status(session: Session) -> None:
    """Show each state member's view of each replication group."""
    rows: list[dict[str, Any]] = []
    for address in session.addresses():
        groups = _group_statuses(session, address)
        rows.extend(_status_row(address, group) for group in groups)
    session.output.show(rows)


@click.command()
@click.argument("address")
@pass_session
def dump(session: Session, address: str) -> None:
    """Show the full state of the process whose operations listener is ADDRESS."""
    session.output.show_value(session.fetch(address, "/dump"))


@click.command()
@click.argument("address")
@pass_session
def drain(session: Session, address: str) -> None:
    """Stop the process whose operations listener is ADDRESS gracefully."""
    session.output.show_value(session.fetch(address, "/drain", "POST"))


@click.group()
def member() -> None:
    """Look at and change the members of a replication group."""


@member.command("list")
@click.option("--group", default=str(CONTROL_GROUP), help="Replication group.")
@pass_session
def list_members(session: Session, group: str) -> None:
    """List the members of a group, as its leader knows them."""
    found = _leader_status(session, group)
    rows = [
        {
            "member": member.id,
            "address": member.address,
            "role": pb.MemberRole.Name(member.role).lower(),
            "availability_zone": member.availability_zone,
            "leader": "yes" if member.id == found.leader else "",
        }
        for member in found.membership.members
    ]
    session.output.show(rows)


@member.command("change")
@click.argument("action", type=click.Choice(["add", "promote", "remove"]))
@click.argument("member_id")
@click.option("--address", default="", help="IP:PORT, for add.")
@click.option("--zone", default="", help="Availability zone, for add.")
@click.option("--group", "groups", multiple=True, help="Group; default: all.")
@pass_session
def change_member(
    session: Session,
    action: str,
    member_id: str,
    address: str,
    zone: str,
    groups: tuple[str, ...],
) -> None:
    """Add MEMBER_ID as a learner, promote it to voter, or remove it."""
    actions = {
        "add": pb.MemberChangeRequest.ADD_LEARNER,
        "promote": pb.MemberChangeRequest.PROMOTE,
        "remove": pb.MemberChangeRequest.REMOVE,
    }
    target = pb.Member(id=member_id, address=address, availability_zone=zone)
    rows = []
    for group in groups or GROUPS:
        changed = session.client.change_member(
            GroupId(group), actions[action], target, session.timeout_s
        )
        done = session.expect(changed)
        members = [f"{m.id}:{pb.MemberRole.Name(m.role)}" for m in done.members]
        rows.append({"group": group, "members": members})
    session.output.show(rows)


def _group_statuses(session: Session, address: str) -> list[pb.GroupStatus]:
    found = session.client.status(address, session.timeout_s)
    if found.is_error():
        return [pb.GroupStatus(role="unreachable")]
    return list(found.ok.groups)


def _leader_status(session: Session, group: str) -> pb.GroupStatus:
    for address in session.addresses():
        for status in _group_statuses(session, address):
            if status.group == group and status.leader == status.member:
                return status
    return fail(ExitCode.UNAVAILABLE, f"no reachable member leads group {group!r}")


def _status_row(address: str, group: pb.GroupStatus) -> dict[str, Any]:
    return {
        "address": address,
        "member": group.member,
        "group": group.group,
        "role": group.role,
        "term": group.term,
        "leader": group.leader,
        "commit": group.commit_index,
        "revision": group.revision,
    }
