"""Finds the other gateways and exchanges digests and news with them by datagrams."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final, cast

from google.protobuf.message import DecodeError

from tanagerturn.clocks import boot_s, to_ms, wall_ms
from tanagerturn.coordination.ids import ProcessId
from tanagerturn.coordination.membership.codec import seal, unseal
from tanagerturn.coordination.membership.config import MembershipConfig
from tanagerturn.coordination.membership.core import MembershipCore
from tanagerturn.gateway.logs import part_log
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.schema import membership_pb2 as mpb

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from random import Random

    from tanagerturn.coordination.membership._sender import Datagram
    from tanagerturn.coordination.membership.table import Member
    from tanagerturn.gateway.settings import GatewaySettings

CLUSTER: Final = "gateways"
CLUSTER_KEY: Final = b"tanagerturn gateways"
"""Marks datagrams of this system; its internal ports are reached by no others, and
the platform gives no secret that all its hosts share."""

TICK_S: Final = 0.1
"""Time between two ticks of failure detection."""

PROBE_INTERVAL_MS: Final = 500
"""A lost gateway is noticed within about two seconds, as the bounds of in touch
ask for."""

SUSPICION_MS: Final = 1_500
SEED_INTERVAL_MS: Final = 1_000
BUDGET_BYTES_PER_S: Final = 8_000
"""Bytes of failure detection a second; probes are twice as often as by default."""

DIGEST_S: Final = 0.25
"""Time between digests of a small deployment."""

DIGEST_HOSTS_PER_S: Final = 120.0
"""Digests that a gateway receives in a second at most; with more gateways, digests
become rarer."""

SEND_S: Final = 0.025
"""Time between two groups of digests."""

DIGEST_GROUP: Final = 4
"""Digests sent at once: a host's link of 5 Mbit/s carries four of 2 KB in 13 ms, and
drops the end of a longer queue."""

FIRST_STEP: Final = 0.382
"""Part of the list of gateways by which a digest begins later than the one before;
the golden section, so that no one is last again soon."""

DEAD_TOLD_MS: Final = 60_000
"""A gateway that is held dead is still told for this long: it may only be cut off,
and then hears news at once when the cut has healed."""

NEWS_REPEATS_S: Final = (0.0, 0.12, 0.4)
"""Times at which news are sent, so that one lost datagram does not matter."""

DATAGRAM_LIMIT_BYTES: Final = 60_000
"""Largest datagram that UDP carries, with a margin."""

PEER_KEEP_S: Final = 4.0
"""Time after its last digest for which a gateway counts as present."""

log = part_log("mesh")


@dataclass
class Peer:
    """Another gateway, by its last digest."""

    digest: gpb.Digest
    heard_s: float
    """When it came."""


class Endpoint(asyncio.DatagramProtocol):
    """A UDP socket.

    Args:
        on_datagram: Called with each datagram and its sender.
    """

    def __init__(self, on_datagram: Callable[[bytes, str], None]) -> None:
        self.on_datagram = on_datagram
        """Called with each datagram."""
        self.transport: asyncio.DatagramTransport | None = None
        """The open socket."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the open socket."""
        # The event loop's own class does not inherit from the interface.
        self.transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand a datagram on."""
        self.on_datagram(data, f"{addr[0]}:{addr[1]}")

    def error_received(self, exc: Exception) -> None:
        """Note that an earlier datagram was refused by its host."""
        log.debug("datagram_refused", reason=str(exc))

    def send(self, data: bytes, ip: str, port: int) -> None:
        """Send one datagram; one that can't be sent is as good as lost."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, (ip, port))


class Mesh:
    """Membership and datagrams of one gateway.

    Args:
        settings: Settings of the process.
        random: Source of random choices.
        fill_digest: Adds what other parts tell to a digest.
        stamp_digest: Adds the time at which a digest is sent.
        on_digest: Called with each newer digest of another gateway.
        on_news: Called with news of another gateway.
        on_version: Called with a configuration version and the IP that told it.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        random: Random,
        fill_digest: Callable[[gpb.Digest, float], None],
        stamp_digest: Callable[[gpb.Digest, float], None],
        on_digest: Callable[[gpb.Digest, float], None],
        on_news: Callable[[gpb.BackendNews, float], None],
        on_version: Callable[[int, str], None],
    ) -> None:
        self.settings = settings
        """Settings of the process."""
        self.first = random.random()
        """Place of the first one of a digest in the list of gateways, 0 to 1."""
        self.fill_digest = fill_digest
        """Adds what other parts tell."""
        self.stamp_digest = stamp_digest
        """Adds the time at which a digest is sent."""
        self.on_digest = on_digest
        """Called with digests."""
        self.on_news = on_news
        """Called with news."""
        self.on_version = on_version
        """Called with configuration versions."""
        self.started_ms = wall_ms()
        """Tells starts of this process apart."""
        self.sequence = 0
        """Number of the last digest."""
        self.peers: dict[str, Peer] = {}
        """Other gateways by host."""
        self.core = _membership(settings, self.started_ms, random)
        """Failure detection."""
        self.probes = Endpoint(self._on_probe)
        """Socket of failure detection."""
        self.datagrams = Endpoint(self._on_datagram)
        """Socket of digests and news."""
        self.digest_at_s = 0.0
        """When the next digest is due."""
        self.digest = gpb.Digest()
        """The last digest."""
        self.unsent: list[str] = []
        """IPs of gateways that the last digest is still to be sent to."""

    async def listen(self) -> None:
        """Open the sockets.

        Raises:
            OSError: A port can't be used.
        """
        loop = asyncio.get_running_loop()
        ip = self.settings.ip
        await loop.create_datagram_endpoint(
            lambda: self.probes, (ip, self.settings.membership_port)
        )
        await loop.create_datagram_endpoint(
            lambda: self.datagrams, (ip, self.settings.digest_port)
        )

    def tick(self, now_s: float) -> None:
        """Do what is due."""
        self._send_probes(self.core.tick(to_ms(now_s)))
        self._tell_changes()
        if now_s >= self.digest_at_s:
            self.digest_at_s = now_s + self.digest_interval_s()
            self._make_digest(now_s)

    def send_due(self, now_s: float) -> None:
        """Send the next few of the digests that are due."""
        if self.unsent:
            self._send_digests(DIGEST_GROUP, now_s)

    def send_digest(self, now_s: float) -> None:
        """Tell all other gateways at once how this one is."""
        self._make_digest(now_s)
        self._send_digests(len(self.unsent), now_s)

    def _make_digest(self, now_s: float) -> None:
        self.sequence += 1
        self.digest = gpb.Digest(
            host=self.settings.host,
            started_ms=self.started_ms,
            sequence=self.sequence,
            link_address=self.settings.link_address,
        )
        self.fill_digest(self.digest, now_s)
        # Those that the one before did not reach come first. The others begin
        # elsewhere each time: what a full link drops is not always the same.
        ips = self._ips(now_s)
        self.first = (self.first + FIRST_STEP) % 1.0
        start = int(self.first * len(ips))
        ips = ips[start:] + ips[:start]
        late = [ip for ip in self.unsent if ip in ips]
        self.unsent = late + [ip for ip in ips if ip not in late]

    def _send_digests(self, most: int, now_s: float) -> None:
        """Send the last digest to some of those that have not got it."""
        batch, self.unsent = self.unsent[:most], self.unsent[most:]
        self.stamp_digest(self.digest, now_s)
        data = gpb.Datagram(digest=self.digest).SerializeToString()
        self._send_all(data, batch)

    def tell_news(self, news: gpb.BackendNews) -> None:
        """Tell all other gateways of backend servers at once, and a few times."""
        data = gpb.Datagram(news=news).SerializeToString()
        loop = asyncio.get_running_loop()
        for wait_s in NEWS_REPEATS_S:
            loop.call_later(wait_s, lambda: self._broadcast(data, boot_s()))

    def tell_version(self, version: int) -> None:
        """Tell all other gateways of a newer configuration at once."""
        data = gpb.Datagram(configuration_version=version).SerializeToString()
        loop = asyncio.get_running_loop()
        for wait_s in NEWS_REPEATS_S[:2]:
            loop.call_later(wait_s, lambda: self._broadcast(data, boot_s()))

    def set_seeds(self, seed_ips: Iterable[str]) -> None:
        """Take other hosts through which gateways are found."""
        own, port = self.settings.ip, self.settings.membership_port
        seeds = tuple(f"{ip}:{port}" for ip in seed_ips if ip != own)
        self.core.config = replace(self.core.config, seeds=seeds)

    def leave(self) -> None:
        """Tell others that this gateway ends."""
        self._send_probes(self.core.leave())

    def close(self) -> None:
        """Close the sockets."""
        for endpoint in (self.probes, self.datagrams):
            if endpoint.transport is not None:
                endpoint.transport.close()

    def digest_interval_s(self) -> float:
        """Return the time between two digests."""
        return max(DIGEST_S, len(self.peers) / DIGEST_HOSTS_PER_S)

    def present(self, now_s: float) -> list[gpb.Digest]:
        """Return the last digests of the gateways that were heard lately."""
        keep_s = max(PEER_KEEP_S, 4 * self.digest_interval_s())
        return [p.digest for p in self.peers.values() if now_s - p.heard_s < keep_s]

    def known(self, now_s: float) -> int:
        """Return the number of gateways, this one and recently lost ones included."""
        now_ms = to_ms(now_s)
        return sum(_is_told(m, now_ms) for m in self.core.table.members.values())

    def _broadcast(self, data: bytes, now_s: float) -> None:
        self._send_all(data, self._ips(now_s))

    def _send_all(self, data: bytes, ips: Iterable[str]) -> None:
        if len(data) > DATAGRAM_LIMIT_BYTES:
            log.warning("datagram_too_large", bytes=len(data))
            return
        for ip in ips:
            self.datagrams.send(data, ip, self.settings.digest_port)

    def _ips(self, now_s: float) -> list[str]:
        """Return the IPs of all other gateways that are told of changes."""
        now_ms = to_ms(now_s)
        return [
            member.info.address.rpartition(":")[0]
            for member in self.core.table.members.values()
            if member is not self.core.me and _is_told(member, now_ms)
        ]

    def _send_probes(self, datagrams: Iterable[Datagram]) -> None:
        for datagram in datagrams:
            ip, _, port = datagram.address.rpartition(":")
            self.probes.send(seal(datagram.packet, CLUSTER_KEY), ip, int(port))

    def _on_probe(self, data: bytes, address: str) -> None:
        packet = unseal(data, CLUSTER_KEY, CLUSTER)
        if packet.is_error():
            log.warning("probe_dropped", peer=address, reason=packet.error)
            return
        answers = self.core.receive(packet.ok, address, to_ms(boot_s()))
        self._send_probes(answers)
        self._tell_changes()

    def _on_datagram(self, data: bytes, address: str) -> None:
        try:
            datagram = gpb.Datagram.FromString(data)
        except DecodeError as error:
            log.warning("datagram_dropped", peer=address, reason=str(error))
            return
        kind = datagram.WhichOneof("kind")
        now_s = boot_s()
        if kind == "digest":
            self._take_digest(datagram.digest, now_s)
        elif kind == "news":
            self.on_news(datagram.news, now_s)
        elif kind == "configuration_version":
            ip = address.rpartition(":")[0]
            self.on_version(datagram.configuration_version, ip)

    def _take_digest(self, digest: gpb.Digest, now_s: float) -> None:
        if digest.host == self.settings.host:
            return
        known = self.peers.get(digest.host)
        if known is not None and _stamp(digest) <= _stamp(known.digest):
            is_quiet = now_s - known.heard_s > PEER_KEEP_S
            if not is_quiet or digest.started_ms == known.digest.started_ms:
                return
        self.peers[digest.host] = Peer(digest, now_s)
        self.on_digest(digest, now_s)

    def _tell_changes(self) -> None:
        for event in self.core.take_events():
            health = mpb.Health.Name(event.health).lower()
            log.info("gateway_changed", peer=event.process, health=health)
        self.core.take_peer_settings()


def _stamp(digest: gpb.Digest) -> tuple[int, int]:
    return digest.started_ms, digest.sequence


def _is_told(member: Member, now_ms: int) -> bool:
    if member.health == mpb.LEFT or not member.info.address:
        return False
    return member.present or now_ms - member.since_ms < DEAD_TOLD_MS


def _membership(
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
    config = MembershipConfig(
        cluster=CLUSTER,
        seeds=seeds,
        probe_interval_ms=PROBE_INTERVAL_MS,
        suspicion_ms=SUSPICION_MS,
        seed_interval_ms=SEED_INTERVAL_MS,
        budget_bytes_per_s=BUDGET_BYTES_PER_S,
    )
    return MembershipCore(ProcessId(settings.host), info, started_ms, config, random)
