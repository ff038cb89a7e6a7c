"""Probes between regions, made by a few processes of each region."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Final

import xxhash

from tanagerturn.coordination.membership.probes import Probe, ProbeOrder
from tanagerturn.coordination.membership.table import LinkState

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from tanagerturn.coordination.membership.config import MembershipConfig
    from tanagerturn.coordination.membership.table import Member, MemberTable

REGION_SILENT_MS: Final = 10_000
"""Time in milliseconds without an answer after which a region counts as separated."""

ANY_PROCESS_FRACTION: Final = 0.2
"""Fraction of probes that go to any process of a region instead of its link members:
the known link members may all have stopped."""


def link_members(members: Iterable[Member], region: str, count: int) -> list[Member]:
    """Return the link members of a region: those that probe other regions.

    They have the smallest hashes, so a stopped one is replaced by one other and
    the rest stay the same.
    """
    present = (m for m in members if m.present and m.info.region == region)
    return heapq.nsmallest(count, present, key=_hash_rank)


def _hash_rank(member: Member) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(member.process.encode()), member.process


class RegionLinks:
    """Probes into other regions, and when those last answered.

    Processes of a region that does not answer keep their last known health: only
    their own region declares them suspect or dead.

    Args:
        local_member: This process.
        table: All known processes.
        config: Configuration of failure detection.
        random: Source of all random choices.
    """

    def __init__(
        self,
        local_member: Member,
        table: MemberTable,
        config: MembershipConfig,
        random: Random,
    ) -> None:
        self.local_member = local_member
        """This process."""
        self.table = table
        """All known processes."""
        self.config = config
        """Configuration of failure detection."""
        self.random = random
        """Source of all random choices."""
        self.probe_order = ProbeOrder(random)
        """Order of probes."""
        self.probe: Probe | None = None
        """Unanswered probe, or None."""
        self.unanswered_since_ms: dict[str, int] = {}
        """Time in milliseconds of the first probe since the last answer, by region."""

    def is_link(self) -> bool:
        """Whether this process probes other regions."""
        region, count = self.local_member.info.region, self.config.links_per_region
        return self.local_member in link_members(self.table.present(), region, count)

    def next_target(self, now_ms: int) -> Member | None:
        """Mark the unanswered probe as failed and return the next process to probe."""
        self._mark_probe_failed()
        regions = {member.info.region for member in self.table.present()}
        others = sorted(regions - {self.local_member.info.region})
        if not others or not self.is_link():
            return None
        region = self.random.choice(others)
        candidates = [m for m in self.table.present() if m.info.region == region]
        if self.random.random() >= ANY_PROCESS_FRACTION:
            candidates = link_members(candidates, region, self.config.links_per_region)
        self.unanswered_since_ms.setdefault(region, now_ms)
        return self.probe_order.next({member.process: member for member in candidates})

    def on_answer(self, member: Member, now_ms: int) -> bool:
        """Record an answer; return whether its region was separated before."""
        region = member.info.region
        was_separated = region in self.separated(now_ms)
        self.unanswered_since_ms.pop(region, None)
        return was_separated

    def separated(self, now_ms: int) -> list[str]:
        """Return the regions that have not answered within `REGION_SILENT_MS`."""
        return sorted(
            region
            for region, since_ms in self.unanswered_since_ms.items()
            if now_ms - since_ms > REGION_SILENT_MS
        )

    def _mark_probe_failed(self) -> None:
        if self.probe is None:
            return
        missed = self.table.get(self.probe.target)
        self.probe = None
        if missed is not None:
            missed.link = LinkState.FAILED
