"""The few processes of a region that talk to other regions."""

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
"""Time without an answer after which a region counts as separated."""

ANY_SHARE: Final = 0.2
"""Share of probes that go to any process of a region, not to its links: the
links that are known here may all be gone."""


def link_members(members: Iterable[Member], region: str, count: int) -> list[Member]:
    """Return the processes of a region that talk to other regions.

    They are those with the smallest hashes, so that one that goes is replaced
    by one other and the rest stay.
    """
    present = (m for m in members if m.present and m.info.region == region)
    return heapq.nsmallest(count, present, key=_weight)


def _weight(member: Member) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(member.process.encode()), member.process


class RegionLinks:
    """Probes into other regions, and when those last answered.

    Processes of a region that does not answer keep the health that was last
    known: only their own region judges them.

    Args:
        me: This process.
        table: All processes that are remembered.
        config: What tunes failure detection.
        random: Source of all random choices.
    """

    def __init__(
        self, me: Member, table: MemberTable, config: MembershipConfig, random: Random
    ) -> None:
        self.me = me
        """This process."""
        self.table = table
        """All processes that are remembered."""
        self.config = config
        """What tunes failure detection."""
        self.random = random
        """Source of all random choices."""
        self.order = ProbeOrder(random)
        """Order of probes."""
        self.probe: Probe | None = None
        """The open probe."""
        self.tried_since_ms: dict[str, int] = {}
        """First probe of a region since its last answer."""

    def is_link(self) -> bool:
        """Tell whether this process talks to other regions."""
        region, count = self.me.info.region, self.config.region_links
        return self.me in link_members(self.table.present(), region, count)

    def next_target(self, now_ms: int) -> Member | None:
        """End the open probe as missed; return the process to probe next."""
        self._miss()
        regions = {member.info.region for member in self.table.present()}
        others = sorted(regions - {self.me.info.region})
        if not others or not self.is_link():
            return None
        region = self.random.choice(others)
        far = [m for m in self.table.present() if m.info.region == region]
        if self.random.random() >= ANY_SHARE:
            far = link_members(far, region, self.config.region_links)
        self.tried_since_ms.setdefault(region, now_ms)
        return self.order.next({member.process: member for member in far})

    def on_answer(self, member: Member, now_ms: int) -> bool:
        """Note an answer; returns whether its region was separated before."""
        region = member.info.region
        was_separated = region in self.separated(now_ms)
        self.tried_since_ms.pop(region, None)
        return was_separated

    def separated(self, now_ms: int) -> list[str]:
        """Return the regions that have not answered for too long."""
        return sorted(
            region
            for region, since_ms in self.tried_since_ms.items()
            if now_ms - since_ms > REGION_SILENT_MS
        )

    def _miss(self) -> None:
        if self.probe is None:
            return
        missed = self.table.get(self.probe.target)
        self.probe = None
        if missed is not None:
            missed.link = LinkState.FAILED
