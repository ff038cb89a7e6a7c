"""Member of a simulated replication group: product code on a simulated disk."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any, Final

from support.fake_disk import FakeDisk, SimulatedCrash
from tanagerturn.coordination.errors import StorageError
from tanagerturn.coordination.ids import ClusterId, GroupId, MemberId
from tanagerturn.coordination.log.core import Core
from tanagerturn.coordination.log.ready import Options
from tanagerturn.coordination.moment import Moment
from tanagerturn.coordination.replica import GroupReplica
from tanagerturn.coordination.storage.folder import open_folder
from tanagerturn.coordination.storage.group import GroupStorage

if TYPE_CHECKING:
    from collections.abc import Callable

    from support.log_cluster import Cluster
    from tanagerturn.schema import coordination_pb2 as pb

CLUSTER: Final = ClusterId("c")
GROUP: Final = GroupId("g")


class CheckedReplica(GroupReplica):
    """Replica that reports each applied entry to the checks."""

    cluster: Cluster

    def apply(self, entry: pb.Entry) -> Any:
        """Apply an entry and check the result."""
        before = self.store.revision
        result = super().apply(entry)
        self.cluster.checks.on_applied(entry, result, self, before, self.cluster.now)
        return result


class Node:
    """A member that can crash, be paused and lose its disk."""

    core_class: type[Core] = Core
    replica_class: type[CheckedReplica] = CheckedReplica
    storage_class: type[GroupStorage] = GroupStorage

    def __init__(self, cluster: Cluster, member: str) -> None:
        self.cluster = cluster
        self.member = MemberId(member)
        self.random = Random(cluster.random.random())
        self.disk = FakeDisk(Random(cluster.random.random()))
        self.replica: CheckedReplica | None = None
        self.paused_until_s = 0.0
        self.wall_offset_ms = 10**12
        self.is_lost = False
        """Whether the host and its disk are lost for good."""

    @property
    def is_paused(self) -> bool:
        """Whether the process is paused."""
        return self.cluster.now < self.paused_until_s

    def moment(self) -> Moment:
        """Return the current time on the member's clocks."""
        now = self.cluster.now
        return Moment(now, int(now * 1000) + self.wall_offset_ms)

    def start(self, membership: pb.Membership | None = None) -> None:
        """Recover from the disk and start; an injected crash may interrupt this."""
        if self.replica is not None or self.is_lost:
            return
        self.run(lambda: self._open(membership))

    def open_storage(self) -> GroupStorage:
        """Open the data folder and return the storage of the group."""
        folder = open_folder(self.disk, CLUSTER, self.member, self.member)
        return self.storage_class(folder.files, CLUSTER, GROUP)

    def _open(self, membership: pb.Membership | None) -> None:
        storage = self.open_storage()
        if membership is not None and not storage.has_state:
            storage.initialize(membership)
        recovered, store = storage.recover()
        options = Options(
            CLUSTER,
            GROUP,
            self.member,
            self.cluster.profile.election_timeout_s,
            self.cluster.profile.election_timeout_s / 3,
            append_limit_bytes=self.cluster.profile.append_limit_bytes,
            in_flight_limit_bytes=2000,
            chunk_limit_bytes=300,
        )
        core = self.core_class(options, recovered, self.random, self.cluster.now)
        replica = self.replica_class(
            core,
            storage,
            store,
            self.cluster.send,
            lambda meta, image: self.cluster.schedule_save(self, meta, image),
            self.cluster.profile.snapshot_entries,
        )
        replica.cluster = self.cluster
        self.replica = replica

    def act(self, action: Callable[[CheckedReplica], object]) -> None:
        """Run an action on the member and process the output of its core."""
        if self.replica is None:
            return
        self.run(lambda: self._act(action))

    def _act(self, action: Callable[[CheckedReplica], object]) -> None:
        assert self.replica is not None
        action(self.replica)
        if self.cluster.checks.on_state(self.replica.core):
            self.cluster.on_leader(self)
        self.replica.process_ready(self.moment())
        self.cluster.checks.on_state(self.replica.core)

    def run(self, action: Callable[[], None]) -> None:
        """Run product code; an injected crash or a storage error ends the process."""
        try:
            action()
        except (SimulatedCrash, StorageError) as error:
            is_damage = "damaged" in str(error)
            if is_damage:
                raise AssertionError(f"{self.member}: {error}") from error
            self.crash()

    def crash(self) -> None:
        """Crash the process and schedule its restart."""
        self.replica = None
        self.disk.crash()
        self.cluster.schedule_restart(self)

    def lose(self) -> None:
        """Lose the host and its disk for good."""
        self.replica = None
        self.is_lost = True
