"""Which engines an entry process follows closely, and digests of the rest.

At size no entry process can hear every engine's announcements. Each follows a
steady subset: part of it from its own availability zone, the rest from all
other zones in turn. Rendezvous hashing keeps the subset the same but for the
engines that come and go. Of the others it keeps digests: id, zone and how full
they are, refreshed slowly; they serve when the subset can't take a request.
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

OWN_ZONE_SHARE: Final = 0.5
"""Share of the subset that is taken from the own zone."""

FILL_STEPS: Final = 255
DIGEST: Final = struct.Struct("<QBB")
"""Hash of the id, how full it is in steps, and flags."""

FLAG_LEAVING: Final = 1


@dataclass(frozen=True)
class Digest:
    """What is known of an engine outside the subset."""

    id_hash: int
    """Hash of the engine's id."""
    fill: float
    """Requests there as a share of its slots, at most 1."""
    leaving: bool = False
    """It leaves or is under notice."""


def subset_of(
    entry: ProcessId,
    zone: AvailabilityZone,
    engines: Mapping[BackendId, AvailabilityZone],
    size: int,
) -> frozenset[BackendId]:
    """Return the engines that an entry process follows.

    Args:
        entry: The entry process.
        zone: Its availability zone.
        engines: All engines with their zones.
        size: Engines to follow.
    """
    if len(engines) <= size:
        return frozenset(engines)
    by_zone: dict[AvailabilityZone, list[tuple[int, BackendId]]] = defaultdict(list)
    for engine, engine_zone in engines.items():
        by_zone[engine_zone].append((_weight(entry, engine), engine))
    for ranked in by_zone.values():
        ranked.sort(reverse=True)
    chosen = [engine for _, engine in by_zone[zone][: round(size * OWN_ZONE_SHARE)]]
    del by_zone[zone][: len(chosen)]
    own = [engine for _, engine in by_zone.pop(zone)]
    others = sorted(by_zone, key=lambda each: (_weight(entry, each), each))
    for depth in range(max((len(each) for each in by_zone.values()), default=0)):
        for each in others:
            if depth < len(by_zone[each]):
                chosen.append(by_zone[each][depth][1])
    return frozenset([*chosen, *own][:size])


def digest_of(backend: Backend, leaving: bool) -> Digest:
    """Return the digest of a followed engine for other entry processes."""
    fill = min(1.0, backend.load() / backend.slots)
    return Digest(id_hash(backend.id), fill, leaving)


def pack_digests(digests: Iterable[Digest]) -> bytes:
    """Return digests as bytes, ten for each engine."""
    return b"".join(
        DIGEST.pack(
            digest.id_hash,
            round(digest.fill * FILL_STEPS),
            FLAG_LEAVING if digest.leaving else 0,
        )
        for digest in digests
    )


def unpack_digests(data: bytes) -> list[Digest]:
    """Return the digests of packed bytes.

    Raises:
        ValueError: The length is not a multiple of a digest's.
    """
    if len(data) % DIGEST.size:
        raise ValueError(f"digests have {len(data)} bytes")
    return [
        Digest(hashed, fill / FILL_STEPS, bool(flags & FLAG_LEAVING))
        for hashed, fill, flags in DIGEST.iter_unpack(data)
    ]


def id_hash(engine: BackendId) -> int:
    """Return the hash by which digests name an engine."""
    return xxhash.xxh3_64_intdigest(engine.encode())


def _weight(entry: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{entry}/{name}".encode())
