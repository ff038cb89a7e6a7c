"""Runs failure detection on a UDP socket and a clock, in one actor."""

from __future__ import annotations

import secrets
import socket
import threading
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any, Final

import pykka
from loguru import logger

from tanagerturn.coordination.errors import RefusedError, StepError
from tanagerturn.coordination.ids import ProcessId
from tanagerturn.coordination.membership.codec import (
    KEY_MIN_BYTES,
    decode_datagram,
    encode_datagram,
)
from tanagerturn.coordination.membership.config import (
    PACKET_LIMIT_BYTES,
    MembershipConfig,
)
from tanagerturn.coordination.membership.core import MembershipCore
from tanagerturn.schema import membership_pb2 as mpb

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from tanagerturn.coordination.membership._sender import Datagram
    from tanagerturn.coordination.membership.events import MemberEvent, PeerSettings
    from tanagerturn.schema import settings_pb2

ASK_TIMEOUT_S: Final = 2.0
TICKS_PER_PROBE: Final = 10
LEAVE_REPEATS: Final = 3
LEAVE_PAUSE_S: Final = 0.05


@dataclass(frozen=True)
class MemberView:
    """State of one process, as the agent returns it."""

    process: ProcessId
    info: mpb.ProcessInfo
    health: mpb.Health.ValueType
    settings_revision_number: int
    """Number of the settings revision that the process last announced; 0 for none."""


@dataclass(frozen=True)
class Tick:
    """Runs the actions of failure detection that are due."""


@dataclass(frozen=True)
class Receive:
    """Processes a received datagram.

    `address` is the IP address and port of the sender.
    """

    datagram: bytes
    address: str


@dataclass(frozen=True)
class AskMembers:
    """Requests the state of all known processes, including this one."""


@dataclass(frozen=True)
class AskDump:
    """Requests the state of the actor for a dump."""


@dataclass(frozen=True)
class SetSettingsRevisionNumber:
    """Sets the number of the settings revision that this process announces."""

    number: int


@dataclass(frozen=True)
class Leave:
    """Announces to peers that this process leaves."""


class MembershipActor(pykka.ThreadingActor):
    """Runs a `MembershipCore`; only this actor sends on the socket.

    Args:
        core: Failure detection performed by this process.
        key: Secret key of the cluster, which authenticates packets.
        sock: Bound UDP socket.
        on_event: Called with each change of a process's health.
        on_peer_settings: Called with each newer settings revision of a peer.
        clock: Returns the monotonic time in milliseconds.
    """

    use_daemon_thread = True

    def __init__(
        self,
        core: MembershipCore,
        key: bytes,
        sock: socket.socket,
        on_event: Callable[[MemberEvent], None],
        on_peer_settings: Callable[[PeerSettings], None],
        clock: Callable[[], int],
    ) -> None:
        super().__init__()
        self.core = core
        """Failure detection performed by this process."""
        self.key = key
        """Secret key of the cluster, which authenticates packets."""
        self.sock = sock
        """Bound UDP socket."""
        self.on_event = on_event
        """Called with each change of a process's health."""
        self.on_peer_settings = on_peer_settings
        """Called with each newer settings revision of a peer."""
        self.clock = clock
        """Returns the monotonic time in milliseconds."""
        self.dropped: dict[str, int] = {}
        """Number of received datagrams that were dropped, by reason."""
        self.send_failures = 0
        """Number of datagrams that could not be sent."""

    def on_receive(self, message: object) -> object:
        """Handle a message by its type; return the reply, or None if it has none."""
        match message:
            case AskMembers():
                return self.on_ask_members()
            case AskDump():
                return self.on_ask_dump()
            case Tick():
                self.on_tick()
            case Receive():
                self.on_datagram(message)
            case SetSettingsRevisionNumber():
                self.core.sender.settings_revision_number = message.number
            case Leave():
                self.send(self.core.leave())
        return None

    def on_tick(self) -> None:
        """Run the actions of failure detection that are due."""
        self.send(self.core.tick(self.clock()))
        self.report_changes()

    def on_datagram(self, message: Receive) -> None:
        """Process the packet of a datagram, or drop it if its HMAC is wrong."""
        packet = decode_datagram(message.datagram, self.key, self.core.config.cluster)
        if packet.is_error():
            self.dropped[packet.error] = self.dropped.get(packet.error, 0) + 1
            return
        self.send(self.core.receive(packet.ok, message.address, self.clock()))
        self.report_changes()

    def on_ask_members(self) -> list[MemberView]:
        """Return the state of all known processes, including this one."""
        members = self.core.table.members.values()
        return [
            MemberView(m.process, m.info, m.health, m.settings_revision_number)
            for m in members
        ]

    def on_ask_dump(self) -> dict[str, object]:
        """Return the state of the actor for a dump."""
        dump = self.core.dump(self.clock())
        return {**dump, "dropped": self.dropped, "send_failures": self.send_failures}

    def report_changes(self) -> None:
        """Pass health changes and peers' newer settings to the callbacks."""
        for event in self.core.take_events():
            health = mpb.Health.Name(event.health).lower()
            logger.info(
                "membership: health of process {} changed to {}", event.process, health
            )
            self.on_event(event)
        for update in self.core.take_peer_settings():
            self.on_peer_settings(update)

    def send(self, datagrams: Iterable[Datagram]) -> None:
        """Send packets; count those that can't be sent and don't retry them."""
        for datagram in datagrams:
            ip, _, port = datagram.address.rpartition(":")
            data = encode_datagram(datagram.packet, self.key)
            try:
                self.sock.sendto(data, (ip.strip("[]"), int(port)))
            except (OSError, ValueError):
                self.send_failures += 1


class MembershipAgent:
    """Runs the failure detection that one process performs.

    Args:
        ref: Reference of the membership actor.
        sock: UDP socket of the actor.
        probe_interval_ms: Interval between probes in milliseconds.
    """

    def __init__(
        self, ref: pykka.ActorRef[Any], sock: socket.socket, probe_interval_ms: int
    ) -> None:
        self.ref = ref
        """Reference of the membership actor."""
        self.sock = sock
        """UDP socket of the actor."""
        self.tick_s = probe_interval_ms / TICKS_PER_PROBE / 1000
        """Interval between ticks in seconds."""
        self.stopping = threading.Event()
        """Set to end the threads."""
        self.threads = [
            threading.Thread(target=self._read, name="membership-read", daemon=True),
            threading.Thread(target=self._tick, name="membership-tick", daemon=True),
        ]
        """Threads that read the socket and send ticks."""

    @property
    def address(self) -> str:
        """IP address and port of the socket."""
        return _format_address(self.sock.getsockname())

    def members(self) -> list[MemberView]:
        """Return the state of all known processes, including this one."""
        members: list[MemberView] = self._ask(AskMembers())
        return members

    def present_members(self) -> list[MemberView]:
        """Return the state of the alive and suspect processes, including this one."""
        present = (mpb.ALIVE, mpb.SUSPECT)
        return [member for member in self.members() if member.health in present]

    def set_settings_revision_number(self, number: int) -> None:
        """Set the number of the settings revision that is announced to peers."""
        self.ref.tell(SetSettingsRevisionNumber(number))

    def dump(self) -> dict[str, object]:
        """Return the state of failure detection for a dump."""
        dump: dict[str, object] = self._ask(AskDump())
        return dump

    def leave(self) -> None:
        """Announce several times that this process leaves."""
        for _ in range(LEAVE_REPEATS):
            self._ask(Leave())
            time.sleep(LEAVE_PAUSE_S)

    def start(self) -> None:
        """Start the reader and tick threads."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Stop the threads and the actor without an announcement to peers."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()
        self.ref.stop()
        self.sock.close()

    def _ask(self, message: object) -> Any:
        return self.ref.ask(message, block=True, timeout=ASK_TIMEOUT_S)

    def _tick(self) -> None:
        while not self.stopping.wait(self.tick_s):
            self.ref.tell(Tick())

    def _read(self) -> None:
        while not self.stopping.is_set():
            try:
                datagram, source = self.sock.recvfrom(PACKET_LIMIT_BYTES + 1)
            except TimeoutError:
                continue
            except OSError:
                # ICMP reported that an earlier datagram's receiver has closed its port.
                continue
            self.ref.tell(Receive(datagram, _format_address(source)))


def start_agent(
    settings: settings_pb2.ProcessSettings,
    program: str,
    relay_address: str = "",
    on_event: Callable[[MemberEvent], None] = lambda event: None,
    on_peer_settings: Callable[[PeerSettings], None] = lambda update: None,
    clock: Callable[[], int] = lambda: time.monotonic_ns() // 1_000_000,
) -> MembershipAgent:
    """Start failure detection in this process.

    Args:
        settings: Process settings with `membership` set.
        program: Name of the program, for example "entry".
        relay_address: IP address and port of the process's settings relay; empty
            when it has none.
        on_event: Called by the actor with each change of a process's health.
        on_peer_settings: Called by the actor with newer settings of peers.
        clock: Returns the monotonic time in milliseconds.

    Raises:
        StepError: The key can't be read or is too short, or the socket can't be
            bound.
    """
    key = _read_key(settings.membership.key_file)
    sock = _bind(settings.membership.listener)
    info = mpb.ProcessInfo(
        address=_format_address(sock.getsockname()),
        region=settings.region,
        availability_zone=settings.availability_zone,
        program=program,
        relay_address=relay_address,
    )
    config = MembershipConfig(
        cluster=settings.cluster,
        seeds=tuple(s for s in settings.membership.seeds if s != info.address),
        probe_interval_ms=settings.membership.probe_interval_ms,
        suspicion_ms=settings.membership.suspicion_ms,
    )
    incarnation = time.time_ns() // 1_000_000
    random = Random(secrets.randbits(64))
    core = MembershipCore(ProcessId(settings.id), info, incarnation, config, random)
    ref = MembershipActor.start(core, key, sock, on_event, on_peer_settings, clock)
    agent = MembershipAgent(ref, sock, config.probe_interval_ms)
    agent.start()
    logger.info("membership: listening on UDP address {}", agent.address)
    return agent


def _read_key(path: str) -> bytes:
    try:
        key = Path(path).read_bytes().strip()
    except OSError as error:
        raise StepError("read the cluster's key", path, str(error)) from error
    if len(key) < KEY_MIN_BYTES:
        reason = f"the key has {len(key)} bytes, expected at least {KEY_MIN_BYTES}"
        raise RefusedError("read the cluster's key", path, reason)
    return key


def _bind(listener: settings_pb2.Listener) -> socket.socket:
    family = socket.AF_INET6 if ":" in listener.ip else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM)
    try:
        sock.bind((listener.ip, listener.port))
    except OSError as error:
        sock.close()
        address = _format_address((listener.ip, listener.port))
        raise StepError(
            "bind the UDP socket of membership", address, str(error)
        ) from error
    sock.settimeout(0.2)
    return sock


def _format_address(address: tuple[Any, ...]) -> str:
    ip, port = address[0], address[1]
    return f"[{ip}]:{port}" if ":" in ip else f"{ip}:{port}"
