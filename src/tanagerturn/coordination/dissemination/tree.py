"""Who follows whom: a pure function of the membership list.

In each availability zone the few processes with the highest rendezvous weight
relay; of them, one heads the zone's tree in a remote region. Relays follow the
state group; all others follow a relay of their own zone. A process that joins
or leaves changes the parent of few others, because weights are fixed hashes.
In a region without state members only its heads follow the state group, and
its zones' relays follow the heads: settings cross the region link few times.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tanagerturn.coordination.ids import ProcessId

DIRECT_LIMIT: Final = 16
"""Up to this many processes in all, everyone follows the state group."""

REGION_HEADS: Final = 2
"""Relays of a region without state members that follow the state group."""


@dataclass(frozen=True)
class Peer:
    """A process that has settings and may relay them."""

    process: ProcessId
    region: str
    availability_zone: str
    relay_address: str
    """IP number and port of its relay; empty where it has none."""


STATE_GROUP: Final = None
"""The parent of a process that follows the state group itself."""


def parent_of(
    process: ProcessId, peers: Iterable[Peer], state_regions: frozenset[str]
) -> Peer | None:
    """Return the relay that a process follows.

    Args:
        process: The process that asks; it is among the peers.
        peers: All processes that are alive, the asker included.
        state_regions: Regions that have state members.

    Returns:
        The relay, or `STATE_GROUP`.
    """
    known = {peer.process: peer for peer in peers}
    me = known.get(process)
    if me is None or len(known) <= DIRECT_LIMIT:
        return STATE_GROUP
    zone = [p for p in known.values() if p.availability_zone == me.availability_zone]
    relays = zone_relays(zone)
    if me not in relays:
        return _choose(process, relays) if relays else STATE_GROUP
    if me.region in state_regions:
        return STATE_GROUP
    heads = region_heads(p for p in known.values() if p.region == me.region)
    if me in heads:
        return STATE_GROUP
    return _choose(process, heads)


def zone_relays(zone: Iterable[Peer]) -> list[Peer]:
    """Return the relays of an availability zone: the square root of its size."""
    able = [peer for peer in zone if peer.relay_address]
    count = math.isqrt(len(able))
    return sorted(able, key=_weight)[:count]


def region_heads(region: Iterable[Peer]) -> list[Peer]:
    """Return the relays of a region that follow the state group from afar."""
    able = [peer for peer in region if peer.relay_address]
    zones = sorted({peer.availability_zone for peer in able})
    relays = [
        relay
        for zone in zones
        for relay in zone_relays(p for p in able if p.availability_zone == zone)
    ]
    return sorted(relays, key=_weight)[:REGION_HEADS]


def _weight(peer: Peer) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(peer.process.encode()), peer.process


def _choose(process: ProcessId, relays: list[Peer]) -> Peer:
    return min(
        relays,
        key=lambda peer: xxhash.xxh64_intdigest(f"{process}\0{peer.process}".encode()),
    )
