"""Prometheus metrics of `tanager-state`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from prometheus_client import Counter, Gauge, Histogram

from tanagerturn.coordination.log.ready import Role

if TYPE_CHECKING:
    from tanagerturn.coordination.replica import GroupReplica

LABELS: Final = ("member", "group")
BUCKETS_S: Final = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1, 5)
"""Upper bounds of the buckets of the commit time histogram, in seconds."""

SYNCS: Final = Counter("tanager_state_syncs", "Synced batches.", LABELS)
APPLIED: Final = Counter("tanager_state_applied", "Applied entries.", LABELS)
COMMIT_S: Final = Histogram(
    "tanager_state_commit_seconds",
    "Time from proposal to application at the leader.",
    LABELS,
    buckets=BUCKETS_S,
)
IS_LEADER: Final = Gauge("tanager_state_is_leader", "1 at the leader.", LABELS)
TERM: Final = Gauge("tanager_state_term", "Current term.", LABELS)
COMMIT_INDEX: Final = Gauge("tanager_state_commit_index", "Commit index.", LABELS)
REVISION: Final = Gauge("tanager_state_revision", "Revision of the store.", LABELS)
WATCHERS: Final = Gauge("tanager_state_watchers", "Watch streams served.", LABELS)
DISK_FULL: Final = Gauge("tanager_state_disk_full", "1 while it is full.", LABELS)


class GroupMetrics:
    """Metrics of one replication group at one member.

    Args:
        member: Id of the member.
        group: Name of the replication group.
    """

    def __init__(self, member: str, group: str) -> None:
        self.labels = (member, group)
        """Label values: member id and group name."""
        self.commit_s = COMMIT_S.labels(member, group)
        """Histogram of the time from proposal to application, in seconds."""
        self._syncs = 0
        self._applied = 0

    def update(self, replica: GroupReplica, watchers: int) -> None:
        """Set all metrics but the commit time from the state of the replica.

        Args:
            replica: Replica of the group at this member.
            watchers: Number of open watch streams.
        """
        core = replica.core
        SYNCS.labels(*self.labels).inc(replica.synced_batches - self._syncs)
        APPLIED.labels(*self.labels).inc(replica.applied_entries - self._applied)
        self._syncs = replica.synced_batches
        self._applied = replica.applied_entries
        IS_LEADER.labels(*self.labels).set(core.role is Role.LEADER)
        TERM.labels(*self.labels).set(core.term)
        COMMIT_INDEX.labels(*self.labels).set(core.commit_index)
        REVISION.labels(*self.labels).set(replica.store.revision)
        WATCHERS.labels(*self.labels).set(watchers)
        DISK_FULL.labels(*self.labels).set(replica.unwritten_ready is not None)
