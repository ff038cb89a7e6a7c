"""Probes between regions, sent by the few link processes of each region."""

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
"""Time in milliseconds without a response after which a region is separated."""

ANY_PROCESS_FRACTION: Final = 0.2
"""Fraction of probes that go to any process of a region instead of a link process:
the known link processes may all have stopped."""


def link_members(members: Iterable[Member], region: str, count: int) -> list[Member]:
    """Return the link processes of a region: those that probe other regions.

    They are the present processes with the smallest hashes of their ids, so when one
    stops, one process replaces it and the other link processes stay the same.
    """
    present = (m for m in members if m.is_present and m.info.region == region)
    return heapq.nsmallest(count, present, key=_hash_rank)


def _hash_rank(member: Member) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(member.process.encode()), member.process


class RegionLinks:
    """Probes of other regions, and the regions without a response.

    Processes of a region that does not respond keep their last known health: only
    processes of the same region declare a process suspect or dead.

    Args:
        local_member: Entry of this process in the member table.
        table: All processes known to this one, including itself.
        config: Timeouts, intervals and limits of failure detection.
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
        """Entry of this process in the member table."""
        self.table = table
        """All processes known to this one, including itself."""
        self.config = config
        """Timeouts, intervals and limits of failure detection."""
        self.random = random
        """Source of all random choices."""
        self.probe_order = ProbeOrder(random)
        """Order in which the processes of other regions are probed."""
        self.probe: Probe | None = None
        """Probe that has no response yet, or None."""
        self.unanswered_since_ms: dict[str, int] = {}
        """Monotonic time in milliseconds of the first probe after the last response, by
        region; a region without such a probe is absent."""

    def is_link(self) -> bool:
        """Return whether this process is a link process of its region."""
        region, count = self.local_member.info.region, self.config.links_per_region
        return self.local_member in link_members(
            self.table.present_members(), region, count
        )

    def next_target(self, now_ms: int) -> Member | None:
        """Mark the unanswered probe as failed and return the next process to probe."""
        self._mark_probe_failed()
        regions = {member.info.region for member in self.table.present_members()}
        others = sorted(regions - {self.local_member.info.region})
        if not others or not self.is_link():
            return None
        region = self.random.choice(others)
        candidates = [
            m for m in self.table.present_members() if m.info.region == region
        ]
        if self.random.random() >= ANY_PROCESS_FRACTION:
            candidates = link_members(candidates, region, self.config.links_per_region)
        self.unanswered_since_ms.setdefault(region, now_ms)
        return self.probe_order.next({member.process: member for member in candidates})

    def on_answer(self, member: Member, now_ms: int) -> bool:
        """Record a response of a process; return whether its region was separated."""
        region = member.info.region
        was_separated = region in self.separated_regions(now_ms)
        self.unanswered_since_ms.pop(region, None)
        return was_separated

    def separated_regions(self, now_ms: int) -> list[str]:
        """Return the regions without a response for `REGION_SILENT_MS`, sorted."""
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
