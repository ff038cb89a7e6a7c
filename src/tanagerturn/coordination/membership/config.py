"""What tunes failure detection."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

PACKET_LIMIT_BYTES: Final = 1200
"""Largest datagram, with its code; it fits every usual path unfragmented."""

DEAD_KEEP_MS: Final = 2 * 3_600_000
"""Time that a dead or left process is remembered."""


@dataclass(frozen=True)
class MembershipConfig:
    """Times in milliseconds, sizes in bytes."""

    cluster: str
    """Name of the cluster; packets of another one are dropped."""
    seeds: tuple[str, ...] = ()
    """Addresses of processes to join through."""
    probe_interval_ms: int = 1000
    """Time from one probe to the next."""
    suspicion_ms: int = 4000
    """Time that a suspect of a small cluster has to refute."""
    helpers: int = 3
    """Processes asked to probe a target that did not answer."""
    budget_bytes_per_s: int = 2500
    """Sent bytes a second above which gossip and pages wait."""
    region_links: int = 3
    """Processes of a region that talk to other regions."""
    sync_interval_ms: int = 30_000
    """Time between comparisons of the whole table with another process."""
    seed_interval_ms: int = 10_000
    """Time between tries to reach a seed that is not known to be alive."""

    @property
    def probe_timeout_ms(self) -> int:
        """Time after which helpers are asked."""
        return self.probe_interval_ms * 3 // 10

    @property
    def pause_ms(self) -> int:
        """Gap between ticks from which the process counts as paused."""
        return self.probe_interval_ms

    def suspicion_for(self, members: int) -> int:
        """Return the time that a suspect has, which grows as gossip takes longer."""
        return round(self.suspicion_ms * max(1.0, math.log10(max(1, members))))

    def copies_for(self, members: int) -> int:
        """Return how often one process passes an update on."""
        return 3 * math.ceil(math.log10(members + 1) + 1)
