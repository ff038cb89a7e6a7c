"""Seeded schedules of disks that are full one after another, never two at once.

Run some: PYTHONPATH=src:tests python -m support.full_disk_schedule FIRST-LAST
"""

from __future__ import annotations

import errno
import sys
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Any, Final
from unittest import mock

from loguru import logger

from support.fake_disk import Fullness, SimulatedCrash
from support.log_checks import require
from support.log_cluster import Cluster, Profile, make_member
from support.log_node import CLUSTER, GROUP, Node
from tanagerturn.coordination.errors import StorageError
from tanagerturn.coordination.log.membership_changes import is_caught_up
from tanagerturn.coordination.storage import segments
from tanagerturn.coordination.storage.folder import open_folder
from tanagerturn.state._repair import GroupHealth, next_membership_change
from tanagerturn.state.messages import SaveSnapshot
from tanagerturn.state.writer import SnapshotWriter

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from tanagerturn.coordination.storage.folder import DataFolder
    from tanagerturn.coordination.storage.group import GroupStorage
    from tanagerturn.schema import coordination_pb2 as pb

ELECTION_TIMEOUT_S: Final = 0.9
REPLACE_AFTER_S: Final = 2.5
RESTART_S: Final = 1.0
REOPEN_S: Final = 0.5
CONTACT_S: Final = 3.0
"""Time in seconds after the last disturbance for which changes may fail."""
ACKNOWLEDGE_S: Final = 4.0
"""Time in seconds within which a change must be confirmed afterwards."""

MAX_FULL_ATTEMPTS: Final = 4
MAX_FULL_ATTEMPTS_PER_S: Final = 2.0
"""Attempts to store a snapshot that a host may make while its disk is full: one each
second or election timeout, twice if the leader changes or a message is repeated."""

FULL_S: Final = (1.0, 6.0)
PAUSE_S: Final = (0.0, 3.0)

ERRORS: Final = (errno.ENOSPC, errno.ENOSPC, errno.EDQUOT, errno.EIO)
"""Error numbers of the calls that fail; after EIO the process ends and starts again."""

VOTERS_AND_DISKS: Final = ((3, 4), (3, 5), (5, 8), (3, 3))
"""Number of voters and of hosts with a disk; one or two losses are tolerated."""


class Host(Node):
    """A host with a disk whose process opens its folder and joins when it is added."""

    cluster: FullDisks

    def __init__(self, cluster: FullDisks, member: str) -> None:
        super().__init__(cluster, member)
        self.folder: DataFolder | None = None
        """The open folder; None while the process does not run or can't open it."""
        self.membership: pb.Membership | None = None
        """Membership with which this host founds the group; None for the others."""
        self.process = 0
        """Number of the process, which counts its starts."""
        self.saves = 0
        """Number of snapshots that were begun while the disk was full."""
        self.transfers = 0
        """Number of received beginnings of snapshots while the disk was full."""

    def start(self, membership: pb.Membership | None = None) -> None:
        """Start the process; it goes on trying to open its folder."""
        if self.folder is not None:
            return
        self.membership = membership
        self.process += 1
        self._open_folder(self.process)

    def _open_folder(self, process: int) -> None:
        if process != self.process or self.folder is not None:
            return

        def retry(_: object) -> None:
            self.cluster.at(REOPEN_S, lambda: self._open_folder(process))

        def attempt() -> None:
            folder = open_folder(self.disk, CLUSTER, self.member, self.member)
            try:
                if self.membership or folder.has_state((GROUP,)):
                    self._open(self.membership)
            except BaseException:
                folder.close()
                raise
            self.folder = folder

        self.attempt(attempt, retry)

    def open_storage(self) -> GroupStorage:
        """Return the storage of the group in the open folder."""
        return self.storage_class(self.disk, CLUSTER, GROUP)

    def attempt(
        self, action: Callable[[], None], on_error: Callable[[object], None]
    ) -> None:
        """Run an action of the process; a simulated crash ends the process."""
        try:
            action()
        except (StorageError, OSError) as error:
            require("damaged" not in str(error), f"{self.member}: {error}")
            on_error(error)
        except SimulatedCrash:
            self.crash()

    def join(self) -> None:
        """Start the member, because a leader has added it to the group."""
        self.attempt(lambda: self._open(None), lambda error: None)

    def run(self, action: Callable[[], None]) -> None:
        """Run an action of the member; an error that it reports ends the process."""

        def on_error(error: object) -> None:
            self.cluster.exits.append(f"{self.cluster.now:.2f} {self.member}: {error}")
            self.crash()

        self.attempt(action, on_error)

    def crash(self) -> None:
        """End the process; it is started again soon."""
        self.folder = None
        self.process += 1
        super().crash()

    def save(self, meta: pb.SnapshotMeta, image: Any) -> None:
        """Store a snapshot as the writer of the program does."""
        replica = self.replica
        assert replica is not None
        self.saves += self.disk.is_full

        def on_fatal(error: StorageError) -> None:
            raise error

        writer = SnapshotWriter(
            replica.storage.snapshots,
            lambda saved: self.act(lambda each: each.snapshot_saved(saved.meta)),
            on_fatal,
        )
        try:
            writer.on_save_snapshot(SaveSnapshot(meta, image))
        except OSError as error:
            # The actor has ended, and the replica waits for it without end.
            self.cluster.ended_writers.append(f"{self.member}: {error!r}")


@dataclass(frozen=True)
class Filling:
    """A disk that is full for some seconds."""

    host: str
    at_s: float
    length_s: float
    fullness: Fullness
    error: int


class FullDisks(Cluster):
    """Hosts whose disks are full in turn, and a group that replaces lost voters.

    Args:
        seed: Seed of all random choices.
        is_restarting: Whether planned restarts overlap the full disks.
    """

    nodes: dict[str, Host]  # type: ignore[assignment]

    def __init__(self, seed: int, *, is_restarting: bool = False) -> None:
        draw = Random(seed)
        voters, disks = draw.choice(VOTERS_AND_DISKS)
        self.is_founding = draw.random() < 0.3
        """Whether the group is founded while the disks are full."""
        self.is_restarting = is_restarting
        founders = 1 if self.is_founding else voters
        self.wanted_voters = voters
        self.exits: list[str] = []
        """Ends of processes after errors of their disks."""
        self.ended_writers: list[str] = []
        """Ends of snapshot writers after errors that they do not expect."""
        profile = Profile(
            voters=founders,
            spares=disks - founders,
            drop_rate=0.005,
            election_timeout_s=ELECTION_TIMEOUT_S,
            append_limit_bytes=4000,
            snapshot_entries=draw.choice((12, 40, 150)),
        )
        super().__init__(seed, profile, Host)
        self.tick_s = 0.075
        self.fillings = list(self._draw_fillings())

    def _draw_fillings(self) -> Iterable[Filling]:
        at_s = self.random.uniform(0.0, 2.0)
        names = list(self.nodes)
        for _ in range(self.random.choice((1, 2))):
            self.random.shuffle(names)
            for name in names:
                length_s = self.random.uniform(*FULL_S)
                fullness = self.random.choice(list(Fullness))
                error = self.random.choice(ERRORS)
                yield Filling(name, at_s, length_s, fullness, error)
                at_s += length_s + self.random.uniform(*PAUSE_S)

    @property
    def end_s(self) -> float:
        """Time in seconds at which the last disk has room again."""
        return max(each.at_s + each.length_s for each in self.fillings)

    def run(self) -> None:
        """Fill the disks in turn; then a change must be confirmed in time."""
        self.start()
        for client in self.clients:
            self.at(0.5 + self.random.random() * 0.1, client.next)
        self.at(0.1, self._repair)
        for filling in self.fillings:
            node = self.nodes[filling.host]
            self.at(filling.at_s, lambda f=filling, n=node: self._fill(n, f))
            self.at(
                filling.at_s + filling.length_s,
                lambda f=filling, n=node: self._empty(n, f),
            )
            if self.is_restarting and self.random.random() < 0.6:
                other = self.random.choice(list(self.nodes.values()))
                at_s = filling.at_s + self.random.uniform(0.0, filling.length_s)
                self.at(at_s, lambda n=other: self._restart(n))
        self.run_until(self.end_s + CONTACT_S)
        before = self.checks.highest_returned
        begun_s = self.now
        self.run_until(begun_s + ACKNOWLEDGE_S, lambda: self._has_acknowledged(before))
        took = f"{self.now - begun_s:.2f} s after the contact time"
        require(self._has_acknowledged(before), f"no change was confirmed {took}")
        self.end_failures()
        self.run_until(self.now + 6.0, self.has_converged)
        self.check_end()
        require(
            not self.ended_writers, f"a snapshot writer ended: {self.ended_writers}"
        )

    def _has_acknowledged(self, before: int) -> bool:
        return self.checks.highest_returned > before

    def schedule_save(self, node: Node, meta: pb.SnapshotMeta, image: Any) -> None:
        """Store a snapshot after a random delay, as the writer thread does."""
        replica = node.replica
        assert isinstance(node, Host)

        def save() -> None:
            if node.replica is replica and replica is not None:
                node.save(meta, image)

        self.at(self.random.random() ** 2, lambda: node.run(save))

    def schedule_restart(self, node: Node) -> None:
        """Schedule the restart of a process that has ended."""
        self.at(RESTART_S, lambda: node.start(self._initial_membership_of(node)))

    def _deliver(self, message: pb.LogMessage) -> None:
        node = self.nodes[message.receiver]
        is_first = message.HasField("snapshot_chunk")
        is_first = is_first and not message.snapshot_chunk.offset
        node.transfers += is_first and node.disk.is_full
        if node.replica is None and node.folder is not None:
            node.join()
            return
        super()._deliver(message)

    def _fill(self, node: Host, filling: Filling) -> None:
        node.disk.fullness, node.disk.full_errno = filling.fullness, filling.error
        node.disk.is_full = True
        node.saves = node.transfers = 0

    def _empty(self, node: Host, filling: Filling) -> None:
        node.disk.is_full = False
        limit = MAX_FULL_ATTEMPTS + filling.length_s * MAX_FULL_ATTEMPTS_PER_S
        for name, count in (("saves", node.saves), ("transfers", node.transfers)):
            what = f"{count} {name} of snapshots in {filling.length_s:.1f} s"
            require(count <= limit, f"{node.member}, whose disk was full: {what}")

    def _restart(self, node: Host) -> None:
        node.act(lambda replica: replica.transfer_leadership(node.moment()))
        self.at(0.2, lambda: node.crash() if node.folder is not None else None)

    def _repair(self) -> None:
        self.at(0.15, self._repair)
        leader = self.leader()
        if leader is None or leader.replica is None:
            return
        core = leader.replica.core
        membership = core.log.membership
        ages_s = {p: self.now - g.last_response_at_s for p, g in core.progress.items()}
        ready = {p for p in core.progress if is_caught_up(core, p, self.now)}
        known = {m.id for m in membership.members}
        spares = [
            make_member(name)
            for name, node in self.nodes.items()
            if name not in known and node.folder is not None
        ]
        health = GroupHealth(membership, ages_s, ready)
        change = next_membership_change(
            health, spares, self.wanted_voters, REPLACE_AFTER_S
        )
        if change is not None:
            step = (change.action, change.member, leader.moment(), lambda result: None)
            leader.act(lambda replica: replica.change_member(*step))


def failure(seed: int, *, is_restarting: bool = False) -> str:
    """Run one schedule; return its failure, or an empty string."""
    logger.remove()
    cluster = FullDisks(seed, is_restarting=is_restarting)
    try:
        with mock.patch.object(segments, "SEGMENT_LIMIT_BYTES", 6000):
            cluster.run()
    except Exception as error:
        return f"seed {seed}, restarts {is_restarting}: {error!r}"
    return ""


def main() -> None:
    """Run a range of seeds, each without and with planned restarts."""
    first, last = map(int, sys.argv[1].split("-"))
    failed = []
    for seed in range(first, last + 1):
        for is_restarting in (False, True):
            found = failure(seed, is_restarting=is_restarting)
            if found:
                failed.append(found)
                print(found, flush=True)
    print(f"{2 * (last - first + 1)} schedules, {len(failed)} failed")


if __name__ == "__main__":
    main()
