"""One state member: files, actors, gRPC, and the threads that drive them."""

from __future__ import annotations

import os
import random
import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import grpc
from expression import Error

from tanagerturn.coordination.channels import (
    SERVER_OPTIONS,
    listen,
    tls_files,
)
from tanagerturn.coordination.errors import RefusedError, StepError
from tanagerturn.coordination.groups import GROUPS
from tanagerturn.coordination.ids import ClusterId, GroupId, MemberId
from tanagerturn.coordination.log.core import Core
from tanagerturn.coordination.log.ready import Options, Role
from tanagerturn.coordination.remote import RemoteStateClient
from tanagerturn.coordination.storage.files import DiskFiles
from tanagerturn.coordination.storage.folder import DataFolder, open_folder
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.schema import coordination_pb2_grpc as rpc
from tanagerturn.state import messages as m
from tanagerturn.state._founding import founding_membership
from tanagerturn.state._log import log
from tanagerturn.state._maintenance import Maintenance
from tanagerturn.state._repair import REPAIR_AFTER_S
from tanagerturn.state._transport import Transport
from tanagerturn.state.clocks import Clocks
from tanagerturn.state.group import ReplicationGroup
from tanagerturn.state.metrics import GroupMetrics
from tanagerturn.state.service import LogServicer, StateServicer
from tanagerturn.state.writer import SnapshotWriter

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    import pykka
    from expression import Result

    from tanagerturn.coordination.storage.group import GroupStorage
    from tanagerturn.schema import settings_pb2

WORKERS: Final = 512
"""Calls and streams that run at once; threads start when they are needed."""

ELECTION_TIMEOUT_MS: Final = 500
HEARTBEAT_MS: Final = 100
SNAPSHOT_ENTRIES: Final = 2000
FOUNDING_S: Final = 0.1
"""Time between questions to other members while the member starts."""

TICKS_PER_HEARTBEAT: Final = 2
STATUS_TIMEOUT_S: Final = 1.0
DUMP_TIMEOUT_S: Final = 2.0


class StateServer:
    """A running state member.

    Args:
        settings: Settings of the process.
        folder: The open data folder.
        on_fatal: Called when the disk can't be trusted or is not the member's.
        repair_after_s: Time after which an unheard voter is replaced, seconds.
    """

    def __init__(
        self,
        settings: settings_pb2.ProcessSettings,
        folder: DataFolder,
        on_fatal: Callable[[StepError], None],
        repair_after_s: float,
    ) -> None:
        self.settings = settings
        """Settings of the process."""
        self.folder = folder
        """The open data folder."""
        self.on_fatal = on_fatal
        """Called when the member can't go on."""
        self.tls = tls_files(settings)
        """Certificates."""
        self.clocks = Clocks()
        """Clocks of the host."""
        self.transport = Transport(self.tls)
        """Streams to other members."""
        self.members = _members(settings)
        """Members of the settings."""
        self.client = RemoteStateClient([one.address for one in self.members], self.tls)
        """Client for questions to other members."""
        self.groups: Mapping[str, pykka.ActorRef[Any]] = {}
        """Actors by replication group; empty until the member has started."""
        self.address = ""
        """IP number and port that gRPC listens on."""
        self.maintenance = Maintenance(self, repair_after_s)
        """Repairs the groups that this member leads."""
        self._cores: dict[str, Core] = {}
        self._storages: list[GroupStorage] = []
        self._writers: list[pykka.ActorRef[Any]] = []
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        self._grpc = grpc.server(
            ThreadPoolExecutor(WORKERS, thread_name_prefix="grpc"),
            options=SERVER_OPTIONS,
        )

    def start(self) -> None:
        """Listen, then find out in the background what the member is."""
        rpc.add_StateServiceServicer_to_server(StateServicer(self), self._grpc)
        rpc.add_LogServiceServicer_to_server(LogServicer(self), self._grpc)
        listener = self.settings.state.grpc
        address = f"{listener.ip}:{listener.port}"
        port = listen(self._grpc, address, self.tls)
        self.address = f"{listener.ip}:{port}"
        self._grpc.start()
        self._start_thread(self._run, "state")
        log.info("Member {} listens on {}.", self.settings.id, self.address)

    def ready(self) -> bool:
        """Whether each group has started and knows a leader."""
        cores = list(self._cores.values())
        return len(cores) == len(GROUPS) and all(core.leader for core in cores)

    def dump(self) -> dict[str, Any]:
        """Return the state of the member for operators."""
        groups: dict[str, Any] = {}
        for name in self.groups:
            answer: Future[dict[str, Any]] = Future()
            self.tell(name, m.AskDump(answer))
            try:
                groups[name] = answer.result(timeout=DUMP_TIMEOUT_S)
            except TimeoutError:
                groups[name] = {"error": f"no answer within {DUMP_TIMEOUT_S} s"}
        return {
            "member": self.settings.id,
            "cluster": self.settings.cluster,
            "address": self.address,
            "incarnation": self.folder.incarnation,
            "ready": self.ready(),
            "groups": groups,
            "streams": {
                peer.address: {"sent_bytes": peer.sent_bytes, "dropped": peer.dropped}
                for peer in self.transport.peers.values()
            },
        }

    def ask(
        self, address: str, timeout_s: float
    ) -> Result[pb.StatusResponse, StepError]:
        """Ask another member for its state; one of another cluster is refused."""
        answer = self.client.status(address, timeout_s)
        if answer.is_ok() and answer.ok.cluster != self.settings.cluster:
            reason = f"belongs to cluster {answer.ok.cluster!r}"
            return Error(RefusedError("ask status", address, reason))
        return answer

    def tell(self, group: str, message: object) -> None:
        """Pass a message to a group; dropped when it doesn't run."""
        actor = self.groups.get(group)
        if actor is not None and actor.is_alive():
            actor.tell(message)

    def stop(self, grace_s: float) -> None:
        """Hand the leadership over, then stop.

        Args:
            grace_s: Longest time for the hand-over, in seconds.
        """
        if self._stopped.is_set():
            return
        self._hand_over(grace_s)
        self._stopped.set()
        self.maintenance.stop()
        self._grpc.stop(grace=0.1).wait()
        for thread in self._threads:
            thread.join()
        for actor in [*self.groups.values(), *self._writers]:
            if actor.is_alive():
                actor.stop(block=True)
        self.transport.close()
        self.client.close()
        for storage in self._storages:
            storage.close()
        self.folder.close()
        log.info("Member {} has stopped.", self.settings.id)

    def _start_thread(self, target: Callable[[], None], name: str) -> None:
        thread = threading.Thread(target=target, name=name, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _run(self) -> None:
        try:
            membership = self._find_membership()
            if membership is None:
                return
            self._start_groups(membership)
        except StepError as error:
            self.on_fatal(error)
            return
        self.maintenance.start()
        tick_s = self._options(GROUPS[0]).heartbeat_s / TICKS_PER_HEARTBEAT
        while not self._stopped.wait(tick_s):
            for group in self.groups.values():
                if group.is_alive():
                    group.tell(m.Tick())

    def _find_membership(self) -> pb.Membership | None:
        """Return the founding membership; None when stopped before."""
        if self.folder.is_founded(GROUPS):
            return pb.Membership()
        founders = [one for one in self.members if one.id not in self._spare_ids()]
        while not self._stopped.is_set():
            answers = {}
            for other in self.members:
                if other.id == self.settings.id:
                    continue
                answer = self.ask(other.address, STATUS_TIMEOUT_S)
                if answer.is_ok():
                    answers[other.id] = answer.ok
            membership = founding_membership(
                MemberId(self.settings.id), self.folder.incarnation, founders, answers
            )
            if membership is not None:
                return membership
            self._stopped.wait(FOUNDING_S)
        return None

    def _spare_ids(self) -> set[str]:
        return {one.id for one in self.settings.state_members if one.spare}

    def _start_groups(self, membership: pb.Membership) -> None:
        started: dict[str, pykka.ActorRef[Any]] = {}
        for group in GROUPS:
            started[group] = self._start_group(group, membership)
        self.groups = started

    def _start_group(
        self, group: GroupId, membership: pb.Membership
    ) -> pykka.ActorRef[Any]:
        storage = self.folder.group(group)
        if not storage.is_founded and membership.members:
            storage.found(membership)
        recovered, store = storage.recover()
        now = self.clocks.monotonic_s()
        source = random.Random(os.urandom(16))
        core = Core(self._options(group), recovered, source, now)
        self.transport.learn(self.members)
        self.transport.learn(core.log.membership.members)
        writer = SnapshotWriter.start(
            storage.snapshots, lambda saved: self.tell(group, saved), self.on_fatal
        )
        self._writers.append(writer)
        self._cores[group] = core
        self._storages.append(storage)
        return ReplicationGroup.start(
            core=core,
            storage=storage,
            store=store,
            transport=self.transport,
            clocks=self.clocks,
            writer=writer,
            snapshot_entries=self.settings.state.snapshot_entries or SNAPSHOT_ENTRIES,
            metrics=GroupMetrics(self.settings.id, group),
            on_fatal=self.on_fatal,
        )

    def _options(self, group: GroupId) -> Options:
        state = self.settings.state
        return Options(
            cluster=ClusterId(self.settings.cluster),
            group=group,
            member=MemberId(self.settings.id),
            election_timeout_s=(state.election_timeout_ms or ELECTION_TIMEOUT_MS)
            / 1000,
            heartbeat_s=(state.heartbeat_ms or HEARTBEAT_MS) / 1000,
        )

    def _hand_over(self, grace_s: float) -> None:
        deadline_s = time.monotonic() + grace_s
        for name in self.groups:
            self.tell(name, m.HandOver())
        while time.monotonic() < deadline_s:
            leading = [core for core in self._cores.values() if _leads_others(core)]
            if not leading:
                return
            time.sleep(0.01)


def start_state(
    settings: settings_pb2.ProcessSettings,
    on_fatal: Callable[[StepError], None] | None = None,
    repair_after_s: float = REPAIR_AFTER_S,
) -> StateServer:
    """Start a state member.

    Args:
        settings: Settings of the process, with `state` and `state_members`.
        on_fatal: Called when the member can't go on; ends the process if None.
        repair_after_s: Time after which an unheard voter is replaced, seconds.

    Returns:
        The member; it finds the other members in the background.

    Raises:
        StepError: The folder, the address or the settings can't be used.
    """
    if settings.id not in {one.id for one in settings.state_members}:
        raise RefusedError("start", settings.id, "not among state_members")
    files = DiskFiles(Path(settings.state.data_folder))
    folder = open_folder(files, ClusterId(settings.cluster), MemberId(settings.id))
    server = StateServer(settings, folder, on_fatal or _end_process, repair_after_s)
    try:
        server.start()
    except BaseException:
        folder.close()
        raise
    return server


def _end_process(error: StepError) -> None:
    """End at once: nothing more may be acknowledged from this disk."""
    log.critical("Member ends: {}.", error)
    os._exit(1)


def _leads_others(core: Core) -> bool:
    return core.role is Role.LEADER and len(core.quorum_voters()) > 1


def _members(settings: settings_pb2.ProcessSettings) -> Sequence[pb.Member]:
    return [
        pb.Member(
            id=one.id,
            address=one.address,
            role=pb.VOTER,
            availability_zone=one.availability_zone,
        )
        for one in settings.state_members
    ]
