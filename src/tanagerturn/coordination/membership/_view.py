"""Description of the member table for a dump."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.schema import membership_pb2 as mpb

if TYPE_CHECKING:
    from tanagerturn.coordination.membership.table import Member, MemberTable


def describe(table: MemberTable, now_ms: int) -> dict[str, object]:
    """Return all processes, and their counts by availability zone, for a dump."""
    return {
        "members": [_describe(member, now_ms) for member in table.members.values()],
        "zones": [
            {
                "availability_zone": zone.availability_zone,
                "alive": zone.alive,
                "suspect": zone.suspect,
                "dead": zone.dead,
                "lost": zone.lost,
            }
            for zone in table.zones()
        ],
    }


def _describe(member: Member, now_ms: int) -> dict[str, object]:
    return {
        "process": member.process,
        "program": member.info.program,
        "address": member.info.address,
        "region": member.info.region,
        "availability_zone": member.info.availability_zone,
        "health": mpb.Health.Name(member.health).lower(),
        "for_ms": now_ms - member.since_ms,
        "incarnation": member.incarnation,
        "link": member.link.value,
        "flapping": member.is_flapping(now_ms),
        "was_paused": member.returned_after_pause,
        "pauses": member.info.pauses,
    }
