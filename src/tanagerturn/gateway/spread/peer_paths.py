"""Peer gateways that reach backend servers which this gateway does not; no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping
    from random import Random

PEER_BACKOFF_S: Final = 1.0
"""Time in seconds for which a peer is not chosen after it could not be reached, or had
no path itself."""

REPORT_MAX_AGE_S: Final = 6.0
"""Age in seconds from which a peer's report on its paths is ignored; with hundreds of
gateways, digests are some seconds apart."""


MIN_NEAR: Final = 3
"""Number of peers in this gateway's zone from which they are preferred; fewer could be
overloaded by the requests of one that is cut off."""


@dataclass(frozen=True)
class PeerGateway:
    """A peer gateway that may forward requests to backend servers."""

    host: str
    """Host of the peer."""
    ip: str
    """IP address of the peer."""
    zone: str
    """Availability zone of the peer; empty if unknown."""


@dataclass(frozen=True)
class PathReport:
    """What a peer's digest states of its paths."""

    unreached_services: frozenset[str]
    """Services whose live backend servers the peer does not reach."""
    received_s: float
    """Monotonic time in seconds at which the digest was received."""


class PeerPaths:
    """Paths of the present peers.

    Args:
        zone: Availability zone of this gateway, whose peers are preferred.
    """

    def __init__(self, zone: str) -> None:
        self.zone = zone
        """Availability zone of this gateway."""
        self.peers: dict[str, PeerGateway] = {}
        """Present peers by host, without stopping ones."""
        self.reports: dict[str, PathReport] = {}
        """Latest report of each peer that lacks a path, by host."""
        self.avoided_until_s: dict[str, float] = {}
        """Monotonic time in seconds until which a peer is not chosen, by host."""

    def set_peers(self, addresses: Mapping[str, str], zones: Mapping[str, str]) -> None:
        """Set the present peers.

        Args:
            addresses: IP address and port of each peer by host.
            zones: Availability zone of each peer by host.
        """
        self.peers = {
            host: PeerGateway(host, address.rpartition(":")[0], zones.get(host, ""))
            for host, address in addresses.items()
        }
        for known in (self.reports, self.avoided_until_s):
            for host in known.keys() - self.peers.keys():
                del known[host]

    def on_report(self, host: str, services: Iterable[str], now_s: float) -> None:
        """Record the services that a peer does not reach, by its digest."""
        unreached = frozenset(services)
        if unreached:
            self.reports[host] = PathReport(unreached, now_s)
        else:
            self.reports.pop(host, None)

    def on_failed(self, host: str, now_s: float) -> None:
        """Record that a peer could not be reached, or that it has no path itself."""
        self.avoided_until_s[host] = now_s + PEER_BACKOFF_S

    def choose(
        self, service: str, excluded: Collection[str], random: Random, now_s: float
    ) -> PeerGateway | None:
        """Choose a peer at random.

        The first one is of this zone, if there are some. A whole zone may be cut off
        before its gateways report it, so further ones are of any zone.

        Args:
            service: Service of the request.
            excluded: Hosts that the request was sent to before.
            random: Source of the choice.
            now_s: Monotonic time in seconds.

        Returns:
            The peer; None if none is known to reach the service.
        """
        usable = [
            peer
            for host, peer in self.peers.items()
            if host not in excluded and self._is_usable(host, service, now_s)
        ]
        near = [peer for peer in usable if peer.zone == self.zone]
        is_near_enough = not excluded and len(near) >= MIN_NEAR
        candidates = near if is_near_enough else usable
        return random.choice(candidates) if candidates else None

    def _is_usable(self, host: str, service: str, now_s: float) -> bool:
        if now_s < self.avoided_until_s.get(host, 0.0):
            return False
        report = self.reports.get(host)
        if report is None or now_s - report.received_s >= REPORT_MAX_AGE_S:
            return True
        return service not in report.unreached_services
