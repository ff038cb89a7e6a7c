"""Which processes talk to other regions."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tanagerturn.coordination.membership.table import Member

REGION_SILENT_MS: Final = 10_000
"""Time without an answer after which a region counts as separated."""


def link_members(members: Iterable[Member], region: str, count: int) -> list[Member]:
    """Return the processes of a region that talk to other regions.

    They are those with the smallest hashes, so that one that goes is replaced
    by one other and the rest stay.
    """
    present = (m for m in members if m.present and m.info.region == region)
    return heapq.nsmallest(count, present, key=_weight)


def _weight(member: Member) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(member.process.encode()), member.process


class RegionReach:
    """When other regions last answered the links of this one.

    Processes of a region that does not answer keep the health that was last
    known: only their own region judges them.
    """

    def __init__(self) -> None:
        self.tried_since_ms: dict[str, int] = {}
        """First probe of a region since its last answer."""

    def on_probe(self, region: str, now_ms: int) -> None:
        """Note a probe into a region."""
        self.tried_since_ms.setdefault(region, now_ms)

    def on_answer(self, region: str) -> None:
        """Note an answer out of a region."""
        self.tried_since_ms.pop(region, None)

    def separated(self, now_ms: int) -> list[str]:
        """Return the regions that have not answered for too long."""
        return sorted(
            region
            for region, since_ms in self.tried_since_ms.items()
            if now_ms - since_ms > REGION_SILENT_MS
        )
