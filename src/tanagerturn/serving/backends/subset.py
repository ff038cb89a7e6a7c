"""Subset of the engines that an entry process follows, and digests of the others.

In a large deployment an entry process cannot process the announcements of all engines.
Each entry process follows a stable subset, partly from its own availability zone and
otherwise from all other zones in turn. With rendezvous hashing, the subset changes only
when engines start or stop. For each engine outside its subset, the entry process stores
a digest that is refreshed slowly: hash of the id, utilization and leaving flag. Digests
are used when no engine of the subset can accept a request.
"""

from __future__ import annotations

import struct
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from tanagerturn.coordination.ids import ProcessId
    from tanagerturn.serving.backends.backend import Backend
    from tanagerturn.serving.backends.messages import AvailabilityZone, BackendId

LOCAL_ZONE_SHARE: Final = 0.5
"""Share of the subset that is selected from the zone of the entry process."""

UTILIZATION_STEPS: Final = 255
DIGEST_FORMAT: Final = struct.Struct("<QBB")
"""Packed digest: hash of the id, utilization in steps of 1/255, and flags."""

FLAG_LEAVING: Final = 1


@dataclass(frozen=True)
class Digest:
    """Summary of the state of an engine outside the subset."""

    id_hash: int
    """Hash of the id of the engine."""
    utilization: float
    """Number of requests divided by the number of slots, at most 1."""
    leaving: bool = False
    """Whether the engine is leaving or under a reclaim notice."""


def select_subset(
    entry: ProcessId,
    zone: AvailabilityZone,
    engines: Mapping[BackendId, AvailabilityZone],
    size: int,
) -> frozenset[BackendId]:
    """Return the engines that an entry process follows.

    Args:
        entry: Id of the entry process.
        zone: Availability zone of the entry process.
        engines: All engines with their availability zones.
        size: Number of engines to follow.
    """
    if len(engines) <= size:
        return frozenset(engines)
    by_zone: dict[AvailabilityZone, list[tuple[int, BackendId]]] = defaultdict(list)
    for engine, engine_zone in engines.items():
        by_zone[engine_zone].append((_rendezvous_weight(entry, engine), engine))
    for ranked in by_zone.values():
        ranked.sort(reverse=True)
    chosen = [engine for _, engine in by_zone[zone][: round(size * LOCAL_ZONE_SHARE)]]
    del by_zone[zone][: len(chosen)]
    remaining_local = [engine for _, engine in by_zone.pop(zone)]
    other_zones = sorted(
        by_zone, key=lambda each: (_rendezvous_weight(entry, each), each)
    )
    for rank in range(max((len(each) for each in by_zone.values()), default=0)):
        for each in other_zones:
            if rank < len(by_zone[each]):
                chosen.append(by_zone[each][rank][1])
    return frozenset([*chosen, *remaining_local][:size])


def make_digest(backend: Backend, leaving: bool) -> Digest:
    """Return the digest of a followed engine to send to other entry processes.

    Args:
        backend: The engine.
        leaving: Whether the engine is leaving or under a reclaim notice.
    """
    utilization = min(1.0, backend.load() / backend.slots)
    return Digest(id_hash(backend.id), utilization, leaving)


def pack_digests(digests: Iterable[Digest]) -> bytes:
    """Serialize digests into 10 bytes each."""
    return b"".join(
        DIGEST_FORMAT.pack(
            digest.id_hash,
            round(digest.utilization * UTILIZATION_STEPS),
            FLAG_LEAVING if digest.leaving else 0,
        )
        for digest in digests
    )


def unpack_digests(data: bytes) -> list[Digest]:
    """Deserialize digests from `pack_digests`.

    Raises:
        ValueError: The length of `data` is not a multiple of the size of a digest.
    """
    if len(data) % DIGEST_FORMAT.size:
        raise ValueError(
            f"digests have {len(data)} bytes, "
            f"expected a multiple of {DIGEST_FORMAT.size}"
        )
    return [
        Digest(hashed, utilization / UTILIZATION_STEPS, bool(flags & FLAG_LEAVING))
        for hashed, utilization, flags in DIGEST_FORMAT.iter_unpack(data)
    ]


def id_hash(engine: BackendId) -> int:
    """Return the hash that identifies an engine in digests."""
    return xxhash.xxh3_64_intdigest(engine.encode())


def _rendezvous_weight(entry: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{entry}/{name}".encode())
