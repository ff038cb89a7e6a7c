"""First members of a replication group: their choice, and their form in votes."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import TYPE_CHECKING

import orjson

from tanagerturn.coordination.ids import FoundingValue
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence


@dataclass(frozen=True)
class FirstMembers:
    """Members that found the group together."""

    members: tuple[pb.Member, ...]
    """The members, the proposer's first; all are voters."""


@dataclass(frozen=True)
class SoleFounder:
    """Host that founds the group alone, as earlier versions agree."""

    host: str
    """Name of the host."""


def encode_first_members(members: Sequence[pb.Member]) -> FoundingValue:
    """Return the value that names the members.

    Earlier versions take it for the name of a host, and pass it on unchanged.
    """
    rows = [[m.id, m.address, m.availability_zone, m.incarnation] for m in members]
    return FoundingValue(orjson.dumps(rows).decode())


def decode_value(value: FoundingValue) -> FirstMembers | SoleFounder:
    """Return what a value names.

    Raises:
        ValueError: The value is neither a list of members nor the name of a host.
    """
    if not value.startswith("["):
        return SoleFounder(value)
    members = tuple(
        pb.Member(
            id=id,
            address=address,
            role=pb.VOTER,
            availability_zone=zone,
            incarnation=incarnation,
        )
        for id, address, zone, incarnation in orjson.loads(value)
    )
    return FirstMembers(members)


def choose_first_members(
    own: pb.Member,
    responding: Mapping[str, pb.Member],
    others: Mapping[str, pb.Member],
    count: int,
) -> list[pb.Member]:
    """Return the first members of a group, of as many availability zones as possible.

    Args:
        own: The proposer's member, which is always among them.
        responding: Members of the hosts that have just responded, by link address.
        others: Further known members by link address, for which there may be room.
        count: Largest number of members.
    """
    chosen = [own]
    for candidates in (responding, others):
        left = [m for _, m in sorted(candidates.items()) if m.address != own.address]
        while left and len(chosen) < count:
            zones = [m.availability_zone for m in chosen]
            nearest = min(left, key=lambda m: zones.count(m.availability_zone))
            left.remove(nearest)
            if all(nearest.address != m.address for m in chosen):
                chosen.append(nearest)
    return chosen


@singledispatch
def members_to_start(
    value: FirstMembers | SoleFounder, host: str, own: pb.Member
) -> tuple[pb.Member, ...]:
    """Return the members with which a host starts the group; empty if it doesn't.

    Args:
        value: The agreed value.
        host: Name of the host.
        own: The host's member. A member on a disk that was replaced has another id than
            the one that was named.
    """
    raise TypeError(f"no first members: {value!r}")


@members_to_start.register(FirstMembers)
def _(value: FirstMembers, host: str, own: pb.Member) -> tuple[pb.Member, ...]:
    del host
    return value.members if any(m.id == own.id for m in value.members) else ()


@members_to_start.register(SoleFounder)
def _(value: SoleFounder, host: str, own: pb.Member) -> tuple[pb.Member, ...]:
    return (own,) if value.host == host else ()


@singledispatch
def addresses_to_order(
    value: FirstMembers | SoleFounder, hosts: Mapping[str, str]
) -> Collection[str]:
    """Return the link addresses of the hosts that have to start the group.

    Args:
        value: The agreed value.
        hosts: Names of the known hosts by link address.
    """
    raise TypeError(f"no first members: {value!r}")


@addresses_to_order.register(FirstMembers)
def _(value: FirstMembers, hosts: Mapping[str, str]) -> Collection[str]:
    del hosts
    return [member.address for member in value.members]


@addresses_to_order.register(SoleFounder)
def _(value: SoleFounder, hosts: Mapping[str, str]) -> Collection[str]:
    return [address for address, host in hosts.items() if host == value.host]
