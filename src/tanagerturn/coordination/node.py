"""Membership and settings of one process.

The process follows the relay that the dissemination tree assigns to it, announces its
settings revision to peers, and reads the settings from the state group or from peers
when a peer has announced a newer revision.
"""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import grpc
import pykka
from loguru import logger

from tanagerturn.coordination.channels import listen, open_channel, tls_files
from tanagerturn.coordination.dissemination.relay_service import (
    GrpcRelays,
    RelayServicer,
)
from tanagerturn.coordination.dissemination.tree import Peer, parent_of
from tanagerturn.coordination.dissemination.watcher import SettingsWatcher
from tanagerturn.coordination.groups import CONTROL_GROUP
from tanagerturn.coordination.ids import ClusterId, ProcessId
from tanagerturn.coordination.membership.agent import MembershipAgent, start_agent
from tanagerturn.schema import dissemination_pb2_grpc as dpb_grpc

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.coordination.client import StateClient
    from tanagerturn.coordination.membership.agent import MemberView
    from tanagerturn.coordination.membership.events import PeerSettings
    from tanagerturn.schema import settings_pb2
    from tanagerturn.schema.coordination_pb2 import SettingsRevision

TICK_S: Final = 0.5
RELAY_THREADS: Final = 32
"""Largest number of followers that a relay serves at once; the dissemination tree
assigns fewer to it."""


@dataclass(frozen=True)
class Tick:
    """Runs the actions of the node that are due."""


@dataclass(frozen=True)
class PeerAhead:
    """Reports that a peer has a newer settings revision."""

    update: PeerSettings


class NodeActor(pykka.ThreadingActor):
    """Follows the assigned relay and reads the settings when they are out of date.

    Args:
        node: Node that the actor belongs to.
    """

    use_daemon_thread = True

    def __init__(self, node: CoordinationNode) -> None:
        super().__init__()
        self.node = node
        """Node that the actor belongs to."""
        self.settings_read = False
        """Whether the first read of the settings has succeeded."""

    def on_receive(self, message: object) -> None:
        """Handle a message by its type; other messages are ignored."""
        match message:
            case Tick():
                self.on_tick()
            case PeerAhead():
                self.on_peer_ahead(message)

    def on_tick(self) -> None:
        """Follow the assigned relay, and read the settings if that is due."""
        node = self.node
        node.watcher.follow(node.parent_address())
        if not self.settings_read:
            read = node.watcher.start()
            self.settings_read = read.is_ok()
            if read.is_error():
                logger.warning(
                    "settings: could not read the settings at startup, retrying: {}",
                    read.error,
                )
        node.watcher.tick()

    def on_peer_ahead(self, message: PeerAhead) -> None:
        """Record the settings revision that a peer announced."""
        update = message.update
        self.node.watcher.on_peer_number(update.number, update.process)


class CoordinationNode:
    """Membership and settings of one process.

    Args:
        settings: Process settings; the parts `relay` and `membership` are optional.
        client: Calls to the replicated store.
        program: Name of the program, for example "entry".
        on_revision: Called with each newer settings revision, in order; must not
            call the client or the node.
        add_services: Adds services to the gRPC server of the relay.
    """

    def __init__(
        self,
        settings: settings_pb2.ProcessSettings,
        client: StateClient,
        program: str,
        on_revision: Callable[[SettingsRevision], None],
        add_services: Callable[[grpc.Server], None] = lambda server: None,
    ) -> None:
        self.settings = settings
        """Process settings."""
        self.on_revision = on_revision
        """Called with each newer settings revision."""
        self.tls = tls_files(settings)
        """TLS files, or None for plain TCP."""
        cluster = ClusterId(settings.cluster)
        relays = GrpcRelays(cluster, ProcessId(settings.id), self.open_channel)
        self.watcher = SettingsWatcher(
            client, CONTROL_GROUP, self._apply, relays, self.peer_addresses
        )
        """Keeps the deployment's settings up to date."""
        self.actor = NodeActor.start(self)
        """Actor that follows the assigned relay."""
        self.server: grpc.Server | None = None
        """gRPC server of the relay; None when the process settings have no relay."""
        self.agent: MembershipAgent | None = None
        """Runs failure detection; None when the process settings have no membership."""
        relay_address = ""
        if settings.HasField("relay"):
            relay_address = self._start_relay(add_services)
        if settings.HasField("membership"):
            self.agent = start_agent(
                settings,
                program,
                relay_address,
                on_peer_settings=self._on_peer_settings,
            )
        self.stopping = threading.Event()
        """Set to end `thread`."""
        self.thread = threading.Thread(target=self._tick, name="node", daemon=True)
        """Thread that sends ticks to the actor."""
        self.thread.start()

    def members(self) -> list[MemberView]:
        """Return all known processes, dead ones included; empty without membership."""
        return self.agent.members() if self.agent is not None else []

    def present_members(self) -> list[MemberView]:
        """Return the alive and suspect processes; empty without membership."""
        return self.agent.present_members() if self.agent is not None else []

    def parent_address(self) -> str:
        """Return the address of the relay to follow; empty for the state group."""
        peers = [
            Peer(
                member.process,
                member.info.region,
                member.info.availability_zone,
                member.info.relay_address,
            )
            for member in self.present_members()
        ]
        # State members have no region setting; use the regions of processes in their
        # zones.
        zones = {m.availability_zone for m in self.settings.state_members}
        regions = {p.region for p in peers if p.availability_zone in zones}
        own_id = ProcessId(self.settings.id)
        parent = parent_of(own_id, peers, frozenset(regions))
        return parent.relay_address if parent is not None else ""

    def open_channel(self, address: str) -> grpc.Channel:
        """Open a channel to an IP address and port, with TLS if it is configured."""
        return open_channel(address, self.tls)

    def relay_of(self, process: str) -> str:
        """Return the relay address of a process; empty when it has no relay."""
        for member in self.present_members():
            if member.process == process:
                return member.info.relay_address
        return ""

    def peer_addresses(self) -> list[str]:
        """Return the relay addresses of peers, highest settings revision first."""
        candidates = [
            member
            for member in self.present_members()
            if member.info.relay_address and member.process != self.settings.id
        ]
        candidates.sort(key=lambda member: -member.settings_revision_number)
        return [member.info.relay_address for member in candidates]

    def dump(self) -> dict[str, Any]:
        """Return the state of the settings and of failure detection for a dump."""
        membership = self.agent.dump() if self.agent is not None else {}
        return {"settings": self.watcher.dump(), "membership": membership}

    def leave(self) -> None:
        """Announce to peers that this process leaves."""
        if self.agent is not None:
            self.agent.leave()

    def stop(self) -> None:
        """Stop all threads, the actor and the gRPC server."""
        self.stopping.set()
        self.thread.join()
        self.actor.stop()
        self.watcher.stop()
        if self.server is not None:
            self.server.stop(grace=None).wait()
        if self.agent is not None:
            self.agent.stop()

    def _apply(self, revision: SettingsRevision) -> None:
        if self.agent is not None:
            self.agent.set_settings_revision_number(revision.number)
        self.on_revision(revision)

    def _on_peer_settings(self, update: PeerSettings) -> None:
        self.actor.tell(PeerAhead(update))

    def _start_relay(self, add_services: Callable[[grpc.Server], None]) -> str:
        listener = self.settings.relay
        self.server = grpc.server(ThreadPoolExecutor(RELAY_THREADS))
        servicer = RelayServicer(ClusterId(self.settings.cluster), self.watcher)
        dpb_grpc.add_RelayServiceServicer_to_server(servicer, self.server)
        add_services(self.server)
        ip = f"[{listener.ip}]" if ":" in listener.ip else listener.ip
        port = listen(self.server, f"{ip}:{listener.port}", self.tls)
        self.server.start()
        return f"{ip}:{port}"

    def _tick(self) -> None:
        while True:
            self.actor.tell(Tick())
            if self.stopping.wait(TICK_S):
                return


def start_node(
    settings: settings_pb2.ProcessSettings,
    client: StateClient,
    program: str,
    on_revision: Callable[[SettingsRevision], None],
    add_services: Callable[[grpc.Server], None] = lambda server: None,
) -> CoordinationNode:
    """Start membership and settings of a process; see `CoordinationNode`.

    The deployment's settings are read in the background.

    Raises:
        StepError: The cluster's key can't be read or a listener can't be opened.
    """
    return CoordinationNode(settings, client, program, on_revision, add_services)
