"""The state of a replication group at one member, for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from tanagerturn.coordination.host import GroupHost


def group_dump(host: GroupHost, watchers: int, now: float) -> dict[str, Any]:
    """Return a dump of plain values.

    Args:
        host: The member's part in the group.
        watchers: Watch streams served.
        now: Present time in seconds, monotonic.
    """
    core = host.core
    return {
        "role": core.role.value,
        "term": core.term,
        "leader": core.leader,
        "commit_index": core.commit_index,
        "applied_index": host.applied_index,
        "first_index": core.log.base_index + 1,
        "last_index": core.log.last_index,
        "snapshot_index": host.snapshot_index,
        "log_file_bytes": host.storage.log.size(),
        "revision": host.store.revision,
        "keys": len(host.store.entries),
        "remembered_changes": len(host.store.changes),
        "watchers": watchers,
        "pending_proposals": len(host.pending),
        "pending_reads": len(host.reads),
        "disk_full": host.stalled is not None,
        "members": _members(host),
        "peers": _peers(host, now),
        "leases": _leases(host),
    }


def _members(host: GroupHost) -> dict[str, Any]:
    return {
        one.id: {
            "address": one.address,
            "role": pb.MemberRole.Name(one.role),
            "availability_zone": one.availability_zone,
        }
        for one in host.core.log.membership.members
    }


def _peers(host: GroupHost, now: float) -> dict[str, Any]:
    return {
        peer: {
            "match_index": progress.match_index,
            "next_index": progress.next_index,
            "mode": progress.mode.value,
            "in_flight_bytes": progress.in_flight_bytes,
            "heard_s_ago": round(now - progress.heard_at_s, 3),
        }
        for peer, progress in host.core.progress.items()
    }


def _leases(host: GroupHost) -> dict[str, Any]:
    return {
        lease.name: {
            "holder": lease.holder,
            "fencing_number": lease.fencing_number,
            "renewals": lease.renewals,
            "duration_ms": lease.duration_ms,
        }
        for lease in host.store.leases.values()
    }
