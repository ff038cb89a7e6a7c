"""Tree by which settings reach processes; a pure function of the member list.

In each availability zone the few processes whose ids have the smallest hashes are
relays. Relays follow the state group; each other process follows a relay of its own
zone, chosen by rendezvous hashing. A process that joins or leaves changes the parents
of few other processes, because the hashes are fixed. In a region without state members
only the root relays follow the state group, and the region's other relays follow the
root relays, so settings cross the link between regions only a few times.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tanagerturn.coordination.ids import ProcessId

MAX_PROCESSES_WITHOUT_TREE: Final = 16
"""Largest number of processes for which every process follows the state group."""

ROOTS_PER_REGION: Final = 2
"""Number of root relays in a region without state members."""


@dataclass(frozen=True)
class Peer:
    """A process that follows the settings and may be a relay."""

    process: ProcessId
    region: str
    availability_zone: str
    relay_address: str
    """IP address and port of the process's relay; empty when it can't be a relay."""


STATE_GROUP: Final = None
"""Parent of a process that follows the state group directly."""


def parent_of(
    process: ProcessId, peers: Iterable[Peer], state_regions: frozenset[str]
) -> Peer | None:
    """Return the relay that a process follows, its parent in the tree.

    Args:
        process: Id of the process; it must be among the peers.
        peers: All alive processes, including `process`.
        state_regions: Regions that have state members.

    Returns:
        The relay, or `STATE_GROUP` if the process follows the state group.
    """
    peers_by_id = {peer.process: peer for peer in peers}
    own_peer = peers_by_id.get(process)
    if own_peer is None or len(peers_by_id) <= MAX_PROCESSES_WITHOUT_TREE:
        return STATE_GROUP
    zone = [
        p
        for p in peers_by_id.values()
        if p.availability_zone == own_peer.availability_zone
    ]
    relays = zone_relays(zone)
    if own_peer not in relays:
        return _choose(process, relays) if relays else STATE_GROUP
    if own_peer.region in state_regions:
        return STATE_GROUP
    roots = region_roots(p for p in peers_by_id.values() if p.region == own_peer.region)
    if own_peer in roots:
        return STATE_GROUP
    return _choose(process, roots)


def zone_relays(zone: Iterable[Peer]) -> list[Peer]:
    """Return the relays of a zone; their number is the square root of the candidates.

    Candidates are the processes with a relay address.
    """
    candidates = [peer for peer in zone if peer.relay_address]
    count = math.isqrt(len(candidates))
    return sorted(candidates, key=_hash_rank)[:count]


def region_roots(region: Iterable[Peer]) -> list[Peer]:
    """Return the root relays of a region without state members, among its relays."""
    candidates = [peer for peer in region if peer.relay_address]
    zones = sorted({peer.availability_zone for peer in candidates})
    relays = [
        relay
        for zone in zones
        for relay in zone_relays(p for p in candidates if p.availability_zone == zone)
    ]
    return sorted(relays, key=_hash_rank)[:ROOTS_PER_REGION]


def _hash_rank(peer: Peer) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(peer.process.encode()), peer.process


def _choose(process: ProcessId, relays: list[Peer]) -> Peer:
    return min(
        relays,
        key=lambda peer: xxhash.xxh64_intdigest(f"{process}\0{peer.process}".encode()),
    )
