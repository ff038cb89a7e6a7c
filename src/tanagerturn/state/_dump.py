"""Dump of the state of a replication group at one member, for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from tanagerturn.coordination.replica import GroupReplica


def group_dump(replica: GroupReplica, watchers: int, now_s: float) -> dict[str, Any]:
    """Return a dump of the group at this member, as JSON-compatible values.

    Args:
        replica: Replica of the group at this member.
        watchers: Number of open watch streams.
        now_s: Current time of the member's monotonic clock, in seconds.
    """
    core = replica.core
    return {
        "role": core.role.value,
        "term": core.term,
        "leader": core.leader,
        "commit_index": core.commit_index,
        "applied_index": replica.applied_index,
        "first_index": core.log.base_index + 1,
        "last_index": core.log.last_index,
        "snapshot_index": replica.snapshot_index,
        "log_file_bytes": replica.storage.log.size(),
        "revision": replica.store.revision,
        "keys": len(replica.store.entries),
        "remembered_changes": len(replica.store.changes),
        "watchers": watchers,
        "pending_proposals": len(replica.pending),
        "pending_reads": len(replica.reads),
        "disk_full": replica.unwritten_ready is not None,
        "members": _members(replica),
        "peers": _peers(replica, now_s),
        "leases": _leases(replica),
    }


def _members(replica: GroupReplica) -> dict[str, Any]:
    return {
        member.id: {
            "address": member.address,
            "role": pb.MemberRole.Name(member.role),
            "availability_zone": member.availability_zone,
        }
        for member in replica.core.log.membership.members
    }


def _peers(replica: GroupReplica, now_s: float) -> dict[str, Any]:
    return {
        peer: {
            "match_index": progress.match_index,
            "next_index": progress.next_index,
            "mode": progress.mode.value,
            "in_flight_bytes": progress.in_flight_bytes,
            "heard_s_ago": round(now_s - progress.last_response_at_s, 3),
        }
        for peer, progress in replica.core.progress.items()
    }


def _leases(replica: GroupReplica) -> dict[str, Any]:
    return {
        lease.name: {
            "holder": lease.holder,
            "fencing_number": lease.fencing_number,
            "renewals": lease.renewals,
            "duration_ms": lease.duration_ms,
        }
        for lease in replica.store.leases.values()
    }
