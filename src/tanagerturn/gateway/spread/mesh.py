"""Discovers peer gateways and exchanges digests and updates with them over UDP."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

from google.protobuf.message import DecodeError

from tanagerturn.clocks import boot_s, to_ms, wall_ms
from tanagerturn.coordination.ids import ProcessId
from tanagerturn.coordination.membership.codec import decode_datagram, encode_datagram
from tanagerturn.coordination.membership.config import MembershipConfig
from tanagerturn.coordination.membership.core import MembershipCore
from tanagerturn.gateway.logs import component_log
from tanagerturn.gateway.spread.broadcasts import ORDER_STEP, Broadcasts
from tanagerturn.gateway.spread.sockets import PolledUdpSocket, UdpEndpoint
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.schema import membership_pb2 as mpb

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence
    from random import Random

    from tanagerturn.coordination.membership._sender import Datagram
    from tanagerturn.coordination.membership.table import Member
    from tanagerturn.gateway.settings import GatewaySettings

CLUSTER: Final = "gateways"
CLUSTER_KEY: Final = b"tanagerturn gateways"
"""Identifies datagrams of this system. The key is no secret: only hosts of the system
reach the internal ports, and the platform provides no secret that all hosts share."""

TICK_S: Final = 0.1
"""Tick interval of failure detection in seconds."""

PROBE_INTERVAL_MS: Final = 500
"""Interval of failure detection probes in milliseconds; a lost gateway is detected
within about two seconds, as the bounds for gateways that can reach each other
require."""

SUSPICION_MS: Final = 1_500
SEED_INTERVAL_MS: Final = 1_000
BUDGET_BYTES_PER_S: Final = 48_000
"""Maximum bytes per second for failure detection. Gateways that start together read
each other's tables of 93 gateways in 4 s; afterwards they send 0.3 KB per second."""

MIN_DIGEST_INTERVAL_S: Final = 0.25
"""Interval of digests in seconds in a small deployment."""

MAX_DIGESTS_PER_S: Final = 120.0
"""Maximum number of digests that a gateway receives per second; with more gateways the
interval of digests grows."""

BATCH_INTERVAL_S: Final = 0.025
"""Interval in seconds at which received datagrams are read, and between two batches of
recipients of a digest."""

DIGEST_BATCH: Final = 4
"""Number of recipients in a batch: a host's network link of 5 Mbit/s carries four
digests of 2 KB in 13 ms, and drops the end of a longer queue."""

DEAD_PEER_SEND_MS: Final = 60_000
"""Time in milliseconds for which datagrams are still sent to a dead gateway: it may
only be partitioned, and then receives updates as soon as the partition heals."""

UPDATE_DELAYS_S: Final = (0.0, 0.12, 0.4)
"""Delays in seconds after which an update is sent, each time to all peers, so that one
lost datagram does not matter."""

DATAGRAM_LIMIT_BYTES: Final = 60_000
"""Maximum size of a datagram in bytes: that of UDP less a margin."""

PEER_MAX_AGE_S: Final = 4.0
"""Time in seconds after its last digest for which a gateway counts as present."""

SEED_WAIT_S: Final = 5.0
"""Time in seconds after the start for which seeds count as known gateways; a seed that
was not found by then is not running."""

log = component_log("mesh")


@dataclass
class Peer:
    """A peer gateway and its latest digest."""

    digest: gpb.Digest
    received_s: float
    """Boot-clock time in seconds at which the digest was received."""


@dataclass(frozen=True)
class Delayed:
    """A datagram that is sent to all peers later."""

    due_s: float
    """Boot-clock time in seconds at which it is sent."""
    data: bytes
    """The datagram."""
    is_urgent: bool
    """Whether it is sent before those that are not urgent."""
    only_older: bool = False
    """Whether peers that repeat departures do not get it."""


class Mesh:
    """Membership of gateways, and datagrams between this gateway and its peers.

    Args:
        settings: Settings of the process.
        random: Source of random choices.
        fill_digest: Adds the values that other components report to a digest; called
            with the digest and the boot-clock time in seconds.
        stamp_digest: Sets the send time of a digest; called with the digest and the
            boot-clock time in seconds.
        on_digest: Called with each newer digest of a peer.
        on_news: Called with each other datagram of a peer, except those that announce a
            configuration version, and with the peer's IP address and port.
        on_version: Called with the configuration version that a peer announced, and its
            IP address.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        random: Random,
        fill_digest: Callable[[gpb.Digest, float], None],
        stamp_digest: Callable[[gpb.Digest, float], None],
        on_digest: Callable[[gpb.Digest, float], None],
        on_news: Callable[[gpb.Datagram, str, float], None],
        on_version: Callable[[int, str], None],
    ) -> None:
        self.settings = settings
        """Settings of the process."""
        self.start_fraction = random.random()
        """Position of the first recipient of a digest in the peer list, as a fraction
        from 0 to 1."""
        self.broadcasts = Broadcasts(random.random())
        """Datagrams to all peers that are being sent."""
        self.delayed: list[Delayed] = []
        """Datagrams to all peers that are due later."""
        self.fill_digest = fill_digest
        """Adds the values that other components report to a digest."""
        self.stamp_digest = stamp_digest
        """Sets the send time of a digest."""
        self.on_digest = on_digest
        """Called with each newer digest of a peer."""
        self.on_news = on_news
        """Called with each other datagram of a peer, except those that announce a
        configuration version, and with the peer's IP address and port."""
        self.on_version = on_version
        """Called with the configuration version that a peer announced, and its IP
        address."""
        self.started_ms = wall_ms()
        """Wall-clock time of the process start in milliseconds, which distinguishes the
        starts of the gateway on this host."""
        self.started_s = boot_s()
        """Boot-clock time of the process start in seconds."""
        self.sequence = 0
        """Sequence number of the last digest."""
        self.peers: dict[str, Peer] = {}
        """Peer gateways by host."""
        self.missed_digests = 0
        """Number of digests that peers sent, by their sequence numbers, and that were
        not received."""
        self.core = _membership_core(settings, self.started_ms, random)
        """Membership and failure detection."""
        self.probe_socket = UdpEndpoint(self._on_probe)
        """Socket of failure detection."""
        self.datagram_socket = PolledUdpSocket(self._on_datagram)
        """Socket of digests, backend server updates and configuration versions; read
        by `receive`."""
        self.next_digest_s = 0.0
        """Boot-clock time in seconds at which the next digest is due."""
        self.last_digest = gpb.Digest()
        """The last digest of this gateway; empty before the first one."""
        self.has_view_changed = True
        """Whether the present or known gateways may have changed since the owner last
        took this flag."""
        self.pending_ips: list[str] = []
        """IP addresses of gateways that the last digest has not been sent to yet."""

    async def listen(self) -> None:
        """Open the sockets.

        Raises:
            OSError: A port can't be used.
        """
        loop = asyncio.get_running_loop()
        ip = self.settings.ip
        await loop.create_datagram_endpoint(
            lambda: self.probe_socket, (ip, self.settings.membership_port)
        )
        self.datagram_socket.listen(ip, self.settings.digest_port)

    def receive(self) -> bool:
        """Apply datagrams that have arrived since the last call.

        Returns:
            Whether these were all; otherwise it should be called again soon.
        """
        return self.datagram_socket.poll()

    def send_broadcasts(self, now_s: float) -> None:
        """Send the broadcasts that are due, as far as their pace allows."""
        due = [each for each in self.delayed if now_s >= each.due_s]
        if due:
            self.delayed = [each for each in self.delayed if now_s < each.due_s]
        for each in due:
            repeating = False if each.only_older else None
            ips = self._recipient_ips(now_s, repeating=repeating)
            self._broadcast(each.data, ips, is_urgent=each.is_urgent)
        for data, ip in self.broadcasts.take(now_s):
            self.datagram_socket.send(data, ip, self.settings.digest_port)

    def tick(self, now_s: float) -> None:
        """Run failure detection, and make a new digest if one is due."""
        self._send_probes(self.core.tick(to_ms(now_s)))
        self._log_changes()
        self.prepare_digest(now_s)

    def prepare_digest(self, now_s: float) -> None:
        """Make a new digest if one is due."""
        if now_s >= self.next_digest_s:
            self.next_digest_s = now_s + self.digest_interval_s()
            self._make_digest(now_s)

    def send_next_batch(self, now_s: float) -> None:
        """Send the last digest to the next batch of peers."""
        if self.pending_ips:
            self._send_digests(DIGEST_BATCH, now_s)

    def send_digest(self, now_s: float) -> None:
        """Send a new digest to all peers immediately."""
        self._make_digest(now_s)
        self._send_digests(len(self.pending_ips), now_s)

    def _make_digest(self, now_s: float) -> None:
        self.sequence += 1
        self.last_digest = gpb.Digest(
            host=self.settings.host,
            started_ms=self.started_ms,
            sequence=self.sequence,
            link_address=self.settings.link_address,
            known_gateways=self.gateway_count(now_s),
        )
        self.fill_digest(self.last_digest, now_s)
        # Peers that did not get the previous digest come first. The order of the other
        # peers starts at a different peer each time, so that an overloaded network
        # link does not always drop the digests to the same peers.
        ips = self._recipient_ips(now_s)
        self.start_fraction = (self.start_fraction + ORDER_STEP) % 1.0
        start_index = int(self.start_fraction * len(ips))
        ips = ips[start_index:] + ips[:start_index]
        unsent_ips = [ip for ip in self.pending_ips if ip in ips]
        self.pending_ips = unsent_ips + [ip for ip in ips if ip not in unsent_ips]

    def _send_digests(self, count: int, now_s: float) -> None:
        """Send the last digest to the next `count` peers."""
        batch, self.pending_ips = self.pending_ips[:count], self.pending_ips[count:]
        self.stamp_digest(self.last_digest, now_s)
        data = gpb.Datagram(digest=self.last_digest).SerializeToString()
        self._send_all(data, batch)

    def send_update(
        self, update: gpb.BackendNews, now_s: float, *, only_older: bool = False
    ) -> None:
        """Send a backend server update to all peers after each of `UPDATE_DELAYS_S`.

        Args:
            update: The update.
            now_s: Current boot-clock time in seconds.
            only_older: Send it only to peers that do not repeat departures.
        """
        for sending, wait_s in enumerate(UPDATE_DELAYS_S, start=1):
            datagram = gpb.Datagram(news=update)
            datagram.news.sending = sending
            data = datagram.SerializeToString()
            self.delayed.append(
                Delayed(now_s + wait_s, data, is_urgent=False, only_older=only_older)
            )
        self.send_broadcasts(now_s)

    def send_to_repeating(self, datagram: gpb.Datagram, now_s: float) -> None:
        """Send news once, and first, to all peers that repeat departures."""
        data = datagram.SerializeToString()
        self._broadcast(data, self._recipient_ips(now_s, repeating=True))
        self.send_broadcasts(now_s)

    def repeating_peers(self, now_s: float) -> dict[str, str]:
        """Return the link address of each present peer that repeats departures."""
        present = self.present_gateways()
        digests = (digest for digest in self.recent_digests(now_s))
        repeating = {d.host for d in digests if d.repeats_departures}
        return {host: present[host] for host in present.keys() & repeating}

    def is_alone(self, now_s: float) -> bool:
        """Return whether no peer is known, not even one that was lost lately."""
        return self.known_count(now_s) <= 1

    def send_once(self, datagram: gpb.Datagram, now_s: float) -> None:
        """Send news to all peers once; digests repeat it."""
        self._broadcast(datagram.SerializeToString(), self._recipient_ips(now_s))
        self.send_broadcasts(now_s)

    def send_to(self, datagram: gpb.Datagram, host: str) -> None:
        """Send news to one peer once; nothing is sent to an unknown one."""
        member = self.core.table.members.get(ProcessId(host))
        if member is not None and member.info.address:
            ip = member.info.address.rpartition(":")[0]
            self._send_all(datagram.SerializeToString(), [ip])

    def send_version(self, version: int, now_s: float) -> None:
        """Send a newer configuration version to all peers twice, some 0.1 s apart."""
        data = gpb.Datagram(configuration_version=version).SerializeToString()
        for wait_s in UPDATE_DELAYS_S[:2]:
            self.delayed.append(Delayed(now_s + wait_s, data, is_urgent=True))
        self.send_broadcasts(now_s)

    def set_seeds(self, seed_ips: Iterable[str]) -> None:
        """Replace the seeds through which gateways are discovered.

        Args:
            seed_ips: IP addresses of the seeds; that of this host is ignored.
        """
        local_ip, port = self.settings.ip, self.settings.membership_port
        seeds = tuple(f"{ip}:{port}" for ip in seed_ips if ip != local_ip)
        self.core.config = replace(self.core.config, seeds=seeds)

    def leave(self) -> None:
        """Announce to peers that this gateway leaves."""
        self._send_probes(self.core.leave())

    def close(self) -> None:
        """Close the sockets."""
        self.probe_socket.close()
        self.datagram_socket.close()

    def digest_interval_s(self) -> float:
        """Return the interval between two digests in seconds."""
        return max(MIN_DIGEST_INTERVAL_S, len(self.peers) / MAX_DIGESTS_PER_S)

    def recent_digests(self, now_s: float) -> list[gpb.Digest]:
        """Return the latest digests of the gateways that sent one recently."""
        max_age_s = max(PEER_MAX_AGE_S, 4 * self.digest_interval_s())
        return [
            p.digest for p in self.peers.values() if now_s - p.received_s < max_age_s
        ]

    def gateway_count(self, now_s: float) -> int:
        """Return the number of gateways, including this one and recently lost ones."""
        now_ms = to_ms(now_s)
        return sum(_is_recipient(m, now_ms) for m in self.core.table.members.values())

    def take_view_change(self) -> bool:
        """Return whether the present or known gateways may have changed; clear it."""
        has_changed, self.has_view_changed = self.has_view_changed, False
        return has_changed

    def present_gateways(self) -> dict[str, str]:
        """Return the link address of each present peer by host, without draining ones.

        Failure detection decides which peers are present, because its view spreads to
        all gateways; digests may be lost on the way to some of them.
        """
        excluded = {h for h, peer in self.peers.items() if peer.digest.draining}
        excluded.add(self.settings.host)
        return {
            str(member.process): member.info.relay_address
            for member in self.core.table.present_members()
            if member.process not in excluded and member.info.relay_address
        }

    def present_hosts(self) -> set[str]:
        """Return the hosts of the present peers, draining ones included."""
        return {str(member.process) for member in self.core.table.present_members()} - {
            self.settings.host
        }

    def known_hosts(self, now_s: float) -> list[str]:
        """Return the hosts of all gateways, recently lost ones included."""
        now_ms = to_ms(now_s)
        return [
            str(member.process)
            for member in self.core.table.members.values()
            if _is_recipient(member, now_ms)
        ]

    def zones(self) -> dict[str, str]:
        """Return the availability zone of each present peer by host."""
        return {
            str(member.process): member.info.availability_zone
            for member in self.core.table.present_members()
        }

    def known_count(self, now_s: float) -> int:
        """Return the number of gateways that this one or any recent digest knows.

        A gateway that has just started learns from the digests of its first peers how
        many there are; until then it counts the seeds.
        """
        counts = [d.known_gateways for d in self.recent_digests(now_s)]
        if now_s - self.started_s < SEED_WAIT_S:
            counts.append(len({*self.settings.seed_ips, self.settings.ip}))
        return max(self.gateway_count(now_s), *counts, 1)

    def met_count(self, now_s: float) -> int:
        """Return the number of known gateways, without present ones never heard from.

        Lost ones count: their loss has spread to all gateways, so none selects them as
        owners, and a gateway that starts while they are away cannot hear from them.
        """
        now_ms = to_ms(now_s)
        return 1 + sum(
            not member.is_present or member.process in self.peers
            for member in self.core.table.members.values()
            if member is not self.core.local_member and _is_recipient(member, now_ms)
        )

    def _broadcast(
        self, data: bytes, ips: Sequence[str], *, is_urgent: bool = True
    ) -> None:
        """Queue a datagram for some peers."""
        if _fits(data):
            self.broadcasts.add(data, ips, is_urgent=is_urgent)

    def _send_all(self, data: bytes, ips: Iterable[str]) -> None:
        if _fits(data):
            for ip in ips:
                self.datagram_socket.send(data, ip, self.settings.digest_port)

    def _recipient_ips(
        self, now_s: float, *, repeating: bool | None = None
    ) -> list[str]:
        """Return the IP addresses of all peers that datagrams are sent to.

        Args:
            now_s: Current boot-clock time in seconds.
            repeating: Only peers that repeat departures, or only others; None for all.
        """
        now_ms = to_ms(now_s)
        return [
            member.info.address.rpartition(":")[0]
            for member in self.core.table.members.values()
            if member is not self.core.local_member
            and _is_recipient(member, now_ms)
            and repeating in (None, self._repeats_departures(member))
        ]

    def _repeats_departures(self, member: Member) -> bool:
        peer = self.peers.get(member.process)
        return peer is not None and peer.digest.repeats_departures

    def _send_probes(self, datagrams: Iterable[Datagram]) -> None:
        for datagram in datagrams:
            ip, _, port = datagram.address.rpartition(":")
            self.probe_socket.send(
                encode_datagram(datagram.packet, CLUSTER_KEY), ip, int(port)
            )

    def _on_probe(self, data: bytes, address: str) -> None:
        packet = decode_datagram(data, CLUSTER_KEY, CLUSTER)
        if packet.is_error():
            log.warning("probe_dropped", peer=address, reason=packet.error)
            return
        responses = self.core.receive(packet.ok, address, to_ms(boot_s()))
        self._send_probes(responses)
        self._log_changes()

    def _on_datagram(self, data: bytes, address: str) -> None:
        try:
            datagram = gpb.Datagram.FromString(data)
        except DecodeError as error:
            log.warning("datagram_dropped", peer=address, reason=str(error))
            return
        kind = datagram.WhichOneof("kind")
        now_s = boot_s()
        if kind == "digest":
            self._apply_digest(datagram.digest, now_s)
        elif kind == "configuration_version":
            ip = address.rpartition(":")[0]
            self.on_version(datagram.configuration_version, ip)
        else:
            self.on_news(datagram, address, now_s)

    def _apply_digest(self, digest: gpb.Digest, now_s: float) -> None:
        if digest.host == self.settings.host:
            return
        previous_peer = self.peers.get(digest.host)
        if previous_peer is not None and _digest_order(digest) <= _digest_order(
            previous_peer.digest
        ):
            was_lost = now_s - previous_peer.received_s > PEER_MAX_AGE_S
            if not was_lost or digest.started_ms == previous_peer.digest.started_ms:
                return
        if previous_peer is None or _view_of(digest) != _view_of(previous_peer.digest):
            self.has_view_changed = True
        if previous_peer is not None:
            self.missed_digests += _missed_between(previous_peer.digest, digest)
        self.peers[digest.host] = Peer(digest, now_s)
        self.on_digest(digest, now_s)

    def _log_changes(self) -> None:
        for event in self.core.take_events():
            self.has_view_changed = True
            health = mpb.Health.Name(event.health).lower()
            log.info("gateway_changed", peer=event.process, health=health)
        self.core.take_peer_settings()


def _fits(data: bytes) -> bool:
    """Return whether a datagram can be sent; log one that is too large."""
    if len(data) > DATAGRAM_LIMIT_BYTES:
        log.warning("datagram_too_large", bytes=len(data))
        return False
    return True


def _missed_between(previous: gpb.Digest, digest: gpb.Digest) -> int:
    """Return the number of digests that a peer sent between two of them.

    It is 0 across a restart of the peer.
    """
    if previous.started_ms != digest.started_ms:
        return 0
    return digest.sequence - previous.sequence - 1


def _digest_order(digest: gpb.Digest) -> tuple[int, int]:
    return digest.started_ms, digest.sequence


def _view_of(digest: gpb.Digest) -> tuple[int, bool]:
    """Return the fields of a digest that affect which gateways are known or present."""
    return digest.known_gateways, digest.draining


def _is_recipient(member: Member, now_ms: int) -> bool:
    if member.health == mpb.LEFT or not member.info.address:
        return False
    return member.is_present or now_ms - member.since_ms < DEAD_PEER_SEND_MS


def _membership_core(
    settings: GatewaySettings, started_ms: int, random: Random
) -> MembershipCore:
    port = settings.membership_port
    address = f"{settings.ip}:{port}"
    seeds = tuple(f"{ip}:{port}" for ip in settings.seed_ips if ip != settings.ip)
    info = mpb.ProcessInfo(
        address=address,
        region=settings.region,
        availability_zone=settings.zone,
        program="gateway",
        relay_address=settings.link_address,
    )
    config = membership_config(CLUSTER, seeds)
    return MembershipCore(ProcessId(settings.host), info, started_ms, config, random)


def membership_config(cluster: str, seeds: tuple[str, ...]) -> MembershipConfig:
    """Return the configuration of failure detection between gateways.

    Args:
        cluster: Name of the cluster.
        seeds: IP addresses and ports of the gateways through which a gateway joins.
    """
    return MembershipConfig(
        cluster=cluster,
        seeds=seeds,
        probe_interval_ms=PROBE_INTERVAL_MS,
        suspicion_ms=SUSPICION_MS,
        seed_interval_ms=SEED_INTERVAL_MS,
        budget_bytes_per_s=BUDGET_BYTES_PER_S,
    )
