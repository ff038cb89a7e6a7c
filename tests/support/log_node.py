"""One member in a simulated group: product code on a simulated disk."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any, Final

from support.fake_disk import FakeDisk, SimulatedCrash
from tanagerturn.coordination.errors import StorageError
from tanagerturn.coordination.host import GroupHost
from tanagerturn.coordination.ids import ClusterId, GroupId, MemberId
from tanagerturn.coordination.log.core import Core
from tanagerturn.coordination.log.ready import Options
from tanagerturn.coordination.moment import Moment
from tanagerturn.coordination.storage.folder import open_folder
from tanagerturn.coordination.storage.group import GroupStorage

if TYPE_CHECKING:
    from collections.abc import Callable

    from support.log_cluster import Cluster
    from tanagerturn.schema import coordination_pb2 as pb

CLUSTER: Final = ClusterId("c")
GROUP: Final = GroupId("g")


class CheckedHost(GroupHost):
    """A host that tells the checks what it applies."""

    cluster: Cluster

    def apply(self, entry: pb.Entry) -> Any:
        """Apply an entry."""
        before = self.store.revision
        result = super().apply(entry)
        self.cluster.checks.on_applied(entry, result, self, before, self.cluster.now)
        return result


class Node:
    """A member that can crash, stop and lose its disk."""

    core_class: type[Core] = Core
    host_class: type[CheckedHost] = CheckedHost
    storage_class: type[GroupStorage] = GroupStorage

    def __init__(self, cluster: Cluster, member: str) -> None:
        self.cluster = cluster
        self.member = MemberId(member)
        self.random = Random(cluster.random.random())
        self.disk = FakeDisk(Random(cluster.random.random()))
        self.host: CheckedHost | None = None
        self.paused_until_s = 0.0
        self.wall_offset_ms = 10**12
        self.is_lost = False
        """The disk is gone for good."""

    @property
    def is_paused(self) -> bool:
        """Whether the process stands still."""
        return self.cluster.now < self.paused_until_s

    def moment(self) -> Moment:
        """Return the member's clocks."""
        now = self.cluster.now
        return Moment(now, int(now * 1000) + self.wall_offset_ms)

    def start(self, membership: pb.Membership | None = None) -> None:
        """Read the disk and start; a crash may come in the middle."""
        if self.host is not None or self.is_lost:
            return
        self.run(lambda: self._open(membership))

    def _open(self, membership: pb.Membership | None) -> None:
        folder = open_folder(self.disk, CLUSTER, self.member, self.member)
        storage = self.storage_class(folder.files, CLUSTER, GROUP)
        if membership is not None and not storage.is_founded:
            storage.found(membership)
        recovered, store = storage.recover()
        options = Options(
            CLUSTER,
            GROUP,
            self.member,
            self.cluster.profile.election_s,
            self.cluster.profile.election_s / 3,
            append_limit_bytes=self.cluster.profile.append_limit_bytes,
            in_flight_limit_bytes=2000,
            chunk_limit_bytes=300,
        )
        core = self.core_class(options, recovered, self.random, self.cluster.now)
        host = self.host_class(
            core,
            storage,
            store,
            self.cluster.send,
            lambda meta, image: self.cluster.save_later(self, meta, image),
            self.cluster.profile.snapshot_entries,
        )
        host.cluster = self.cluster
        self.host = host

    def act(self, action: Callable[[CheckedHost], object]) -> None:
        """Let the host do something, and carry out what follows."""
        if self.host is None:
            return
        self.run(lambda: self._act(action))

    def _act(self, action: Callable[[CheckedHost], object]) -> None:
        assert self.host is not None
        action(self.host)
        if self.cluster.checks.on_state(self.host.core):
            self.cluster.on_leader(self)
        self.host.carry_out(self.moment())
        self.cluster.checks.on_state(self.host.core)

    def run(self, action: Callable[[], None]) -> None:
        """Run product code; a crash or a failed sync ends the process."""
        try:
            action()
        except (SimulatedCrash, StorageError) as error:
            is_damage = "damaged" in str(error)
            if is_damage:
                raise AssertionError(f"{self.member}: {error}") from error
            self.crash()

    def crash(self) -> None:
        """End the process without warning."""
        self.host = None
        self.disk.crash()
        self.cluster.restart_later(self)

    def lose(self) -> None:
        """Lose the host with its disk for good."""
        self.host = None
        self.is_lost = True
