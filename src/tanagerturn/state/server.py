"""State member: data folder, actors, gRPC server and background threads."""

from __future__ import annotations

import os
import random
import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor
from functools import partial
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
from tanagerturn.state._initial_membership import initial_membership
from tanagerturn.state._log import log
from tanagerturn.state._repair import REPAIR_AFTER_S
from tanagerturn.state._repair_loop import RepairLoop
from tanagerturn.state._starting import start_once_writable
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

MAX_WORKERS: Final = 512
"""Largest number of concurrent gRPC calls and streams; threads start on demand."""

ELECTION_TIMEOUT_MS: Final = 500
"""Election timeout if the settings give none, in milliseconds."""

HEARTBEAT_MS: Final = 100
"""Heartbeat interval if the settings give none, in milliseconds."""

SNAPSHOT_ENTRIES: Final = 2000
"""Number of applied entries after which a snapshot is due if the settings give none."""

STATUS_POLL_S: Final = 0.1
"""Wait between two status requests to the other members while the initial membership
is not known, in seconds."""

TICKS_PER_HEARTBEAT: Final = 2
STATUS_TIMEOUT_S: Final = 1.0
"""Longest wait for the status of another member at the start, in seconds."""

DUMP_TIMEOUT_S: Final = 2.0
"""Longest wait for the dump of one replication group, in seconds."""


class StateServer:
    """A running state member.

    Args:
        settings: Process settings with `state` and `state_members`.
        folder: Open data folder of the member.
        on_fatal: Called with the error after which the member can't continue: its
            disk can't be trusted or does not belong to the member.
        repair_after_s: Time without a response after which a voter is replaced, in
            seconds.
    """

    def __init__(
        self,
        settings: settings_pb2.ProcessSettings,
        folder: DataFolder,
        on_fatal: Callable[[StepError], None],
        repair_after_s: float,
    ) -> None:
        self.settings = settings
        """Process settings with `state` and `state_members`."""
        self.folder = folder
        """Open data folder of the member."""
        self.on_fatal = on_fatal
        """Called with the error after which the member can't continue."""
        self.tls = tls_files(settings)
        """TLS files; None for plain TCP."""
        self.clocks = Clocks()
        """Monotonic clock and wall clock of this host."""
        self.transport = Transport(self.tls)
        """Log streams to other members."""
        self.members = _configured_members(settings)
        """State members listed in the settings, spares included."""
        self.client = RemoteStateClient(
            [member.address for member in self.members], self.tls
        )
        """Client that requests the status of other members."""
        self.groups: Mapping[str, pykka.ActorRef[Any]] = {}
        """Actors by replication group; empty until all groups have started."""
        self.address = ""
        """IP address and port of the gRPC listener; empty before `start`."""
        self.repair_loop = RepairLoop(self, repair_after_s)
        """Replaces the lost voters of the groups that this member leads."""
        self._cores: dict[str, Core] = {}
        self._storages: list[GroupStorage] = []
        self._writers: list[pykka.ActorRef[Any]] = []
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        self._grpc = grpc.server(
            ThreadPoolExecutor(MAX_WORKERS, thread_name_prefix="grpc"),
            options=SERVER_OPTIONS,
        )

    def start(self) -> None:
        """Start the gRPC listener; the groups start in the background."""
        rpc.add_StateServiceServicer_to_server(StateServicer(self), self._grpc)
        rpc.add_LogServiceServicer_to_server(LogServicer(self), self._grpc)
        listener = self.settings.state.grpc
        address = f"{listener.ip}:{listener.port}"
        port = listen(self._grpc, address, self.tls)
        self.address = f"{listener.ip}:{port}"
        self._grpc.start()
        self._start_thread(self._run, "state")
        log.info("State member {} is listening on {}.", self.settings.id, self.address)

    def ready(self) -> bool:
        """Return whether each replication group has started and has a known leader."""
        cores = list(self._cores.values())
        return len(cores) == len(GROUPS) and all(core.leader for core in cores)

    def dump(self) -> dict[str, Any]:
        """Return a dump of the member and its groups, as JSON-compatible values."""
        groups: dict[str, Any] = {}
        for name in self.groups:
            reply: Future[dict[str, Any]] = Future()
            self.tell(name, m.GetDump(reply))
            try:
                groups[name] = reply.result(timeout=DUMP_TIMEOUT_S)
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
                stream.address: {
                    "sent_bytes": stream.sent_bytes,
                    "dropped": stream.dropped_count,
                }
                for stream in self.transport.streams.values()
            },
        }

    def fetch_status(
        self, address: str, timeout_s: float
    ) -> Result[pb.StatusResponse, StepError]:
        """Return the status of the member at an IP address and port.

        The result is a `RefusedError` if that member belongs to another cluster.

        Args:
            address: IP address and port of the member.
            timeout_s: Longest wait for the response, in seconds.
        """
        status = self.client.status(address, timeout_s)
        if status.is_ok() and status.ok.cluster != self.settings.cluster:
            reason = f"belongs to cluster {status.ok.cluster!r}"
            return Error(RefusedError("ask status", address, reason))
        return status

    def tell(self, group: str, message: object) -> None:
        """Send a message to the actor of a group; drop it if the actor doesn't run."""
        actor = self.groups.get(group)
        if actor is not None and actor.is_alive():
            actor.tell(message)

    def stop(self, grace_s: float) -> None:
        """Transfer the leadership of each replication group, then stop the member.

        Args:
            grace_s: Longest wait for the leadership transfers, in seconds.
        """
        if self._stopped.is_set():
            return
        self._transfer_leadership(grace_s)
        self._stopped.set()
        self.repair_loop.stop()
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
        log.info("State member {} has stopped.", self.settings.id)

    def _start_thread(self, target: Callable[[], None], name: str) -> None:
        thread = threading.Thread(target=target, name=name, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _run(self) -> None:
        try:
            membership = self._determine_initial_membership()
            if membership is None:
                return
            self._start_groups(membership)
        except StepError as error:
            self.on_fatal(error)
            return
        self.repair_loop.start()
        tick_s = self._options(GROUPS[0]).heartbeat_s / TICKS_PER_HEARTBEAT
        while not self._stopped.wait(tick_s):
            for group in self.groups.values():
                if group.is_alive():
                    group.tell(m.Tick())

    def _determine_initial_membership(self) -> pb.Membership | None:
        """Return the membership to start with; None if stopped before that is known.

        An empty membership means that the stored membership applies, or that the
        member waits until the leader adds it to the group.
        """
        if self.folder.has_state(GROUPS):
            return pb.Membership()
        initial_members = [
            member for member in self.members if member.id not in self._spare_ids()
        ]
        while not self._stopped.is_set():
            responses = {}
            for other in self.members:
                if other.id == self.settings.id:
                    continue
                status = self.fetch_status(other.address, STATUS_TIMEOUT_S)
                if status.is_ok():
                    responses[other.id] = status.ok
            membership = initial_membership(
                MemberId(self.settings.id),
                self.folder.incarnation,
                initial_members,
                responses,
            )
            if membership is not None:
                return membership
            self._stopped.wait(STATUS_POLL_S)
        return None

    def _spare_ids(self) -> set[str]:
        return {member.id for member in self.settings.state_members if member.spare}

    def _start_groups(self, membership: pb.Membership) -> None:
        started: dict[str, pykka.ActorRef[Any]] = {}
        for group in GROUPS:
            actor = start_once_writable(
                partial(self._start_group, group, membership), self._stopped
            )
            if actor is None:
                return
            started[group] = actor
        self.groups = started

    def _start_group(
        self, group: GroupId, membership: pb.Membership
    ) -> pykka.ActorRef[Any]:
        storage = self.folder.group(group)
        if not storage.has_state and membership.members:
            storage.initialize(membership)
        recovered, store = storage.recover()
        now_s = self.clocks.monotonic_s()
        rng = random.Random(os.urandom(16))
        core = Core(self._options(group), recovered, rng, now_s)
        self.transport.update_addresses(self.members)
        self.transport.update_addresses(core.log.membership.members)
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

    def _transfer_leadership(self, grace_s: float) -> None:
        deadline_s = time.monotonic() + grace_s
        for name in self.groups:
            self.tell(name, m.TransferLeadership())
        while time.monotonic() < deadline_s:
            led_cores = [
                core for core in self._cores.values() if _leads_other_voters(core)
            ]
            if not led_cores:
                return
            time.sleep(0.01)


def start_state(
    settings: settings_pb2.ProcessSettings,
    on_fatal: Callable[[StepError], None] | None = None,
    repair_after_s: float = REPAIR_AFTER_S,
) -> StateServer:
    """Open the data folder and start a state member.

    Args:
        settings: Process settings with `state` and `state_members`.
        on_fatal: Called with the error after which the member can't continue; None
            exits the process.
        repair_after_s: Time without a response after which a voter is replaced, in
            seconds.

    Returns:
        The running member, whose replication groups start in the background.

    Raises:
        StepError: The data folder can't be opened, the address can't be bound, or
            `state_members` does not list the member.
    """
    if settings.id not in {member.id for member in settings.state_members}:
        raise RefusedError(
            "start state member", settings.id, "id is not listed in state_members"
        )
    files = DiskFiles(Path(settings.state.data_folder))
    folder = open_folder(files, ClusterId(settings.cluster), MemberId(settings.id))
    server = StateServer(settings, folder, on_fatal or _exit_process, repair_after_s)
    try:
        server.start()
    except BaseException:
        folder.close()
        raise
    return server


def _exit_process(error: StepError) -> None:
    """Exit without cleanup: the member must acknowledge no further write."""
    log.critical("State member exits after a fatal error: {}.", error)
    os._exit(1)


def _leads_other_voters(core: Core) -> bool:
    return core.role is Role.LEADER and len(core.quorum_voters()) > 1


def _configured_members(settings: settings_pb2.ProcessSettings) -> Sequence[pb.Member]:
    return [
        pb.Member(
            id=member.id,
            address=member.address,
            role=pb.VOTER,
            availability_zone=member.availability_zone,
        )
        for member in settings.state_members
    ]
