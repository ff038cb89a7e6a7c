"""`tanager status`, `dump`, `drain` and `member`: commands on running processes."""

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
    """Show the replication groups as each state member reports them."""
    rows: list[dict[str, Any]] = []
    for address in session.member_addresses():
        groups = _group_statuses(session, address)
        rows.extend(_status_row(address, group) for group in groups)
    session.output.print_rows(rows)


@click.command()
@click.argument("address")
@pass_session
def dump(session: Session, address: str) -> None:
    """Show the state dump of a process.

    ADDRESS is the IP:PORT of its operations listener.
    """
    session.output.print_value(session.request_json(address, "/dump"))


@click.command()
@click.argument("address")
@pass_session
def drain(session: Session, address: str) -> None:
    """Stop a process gracefully.

    ADDRESS is the IP:PORT of its operations listener.
    """
    session.output.print_value(session.request_json(address, "/drain", "POST"))


@click.group()
def member() -> None:
    """List and change the members of replication groups."""


@member.command("list")
@click.option(
    "--group", default=str(CONTROL_GROUP), help="Name of the replication group."
)
@pass_session
def list_members(session: Session, group: str) -> None:
    """List the members of a replication group as its leader reports them."""
    leader_status = _leader_status(session, group)
    rows = [
        {
            "member": member.id,
            "address": member.address,
            "role": pb.MemberRole.Name(member.role).lower(),
            "availability_zone": member.availability_zone,
            "leader": "yes" if member.id == leader_status.leader else "",
        }
        for member in leader_status.membership.members
    ]
    session.output.print_rows(rows)


@member.command("change")
@click.argument("action", type=click.Choice(["add", "promote", "remove"]))
@click.argument("member_id")
@click.option("--address", default="", help="IP:PORT of the new member, for add.")
@click.option(
    "--zone", default="", help="Availability zone of the new member, for add."
)
@click.option(
    "--group",
    "groups",
    multiple=True,
    help="Replication group; repeatable; default: all.",
)
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
        result = session.client.change_member(
            GroupId(group), actions[action], target, session.timeout_s
        )
        membership = session.unwrap_or_exit(result)
        members = [
            f"{member.id}:{pb.MemberRole.Name(member.role)}"
            for member in membership.members
        ]
        rows.append({"group": group, "members": members})
    session.output.print_rows(rows)


def _group_statuses(session: Session, address: str) -> list[pb.GroupStatus]:
    result = session.client.status(address, session.timeout_s)
    if result.is_error():
        return [pb.GroupStatus(role="unreachable")]
    return list(result.ok.groups)


def _leader_status(session: Session, group: str) -> pb.GroupStatus:
    for address in session.member_addresses():
        for status in _group_statuses(session, address):
            if status.group == group and status.leader == status.member:
                return status
    return fail(
        ExitCode.UNAVAILABLE,
        f"no reachable state member leads replication group {group!r}",
    )


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
