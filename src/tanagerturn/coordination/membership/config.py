"""Configuration of failure detection."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

PACKET_LIMIT_BYTES: Final = 1200
"""Largest datagram with its HMAC; fits the usual path MTUs without fragmentation."""

DEAD_MAX_AGE_MS: Final = 2 * 3_600_000
"""Time for which a dead or left process is remembered."""


@dataclass(frozen=True)
class MembershipConfig:
    """Timeouts, intervals and limits of failure detection."""

    cluster: str
    """Name of the cluster; packets of another cluster are dropped."""
    seeds: tuple[str, ...] = ()
    """Addresses of processes through which this one joins."""
    probe_interval_ms: int = 1000
    """Interval between probes in milliseconds."""
    suspicion_ms: int = 4000
    """Time in milliseconds in which a suspect can refute, in a small cluster."""
    helper_count: int = 3
    """Processes that are asked to probe a target that did not answer."""
    budget_bytes_per_s: int = 2500
    """Sent bytes per second above which gossip and table pages are deferred."""
    links_per_region: int = 3
    """Processes of each region that probe other regions."""
    sync_interval_ms: int = 30_000
    """Interval in milliseconds between comparisons of the whole table with a peer."""
    seed_interval_ms: int = 10_000
    """Interval in milliseconds between attempts to reach a seed not known as
    present."""

    @property
    def probe_timeout_ms(self) -> int:
        """Time in milliseconds without an answer after which helpers are asked."""
        return self.probe_interval_ms * 3 // 10

    @property
    def pause_ms(self) -> int:
        """Gap between ticks above which the process counts as paused."""
        return self.probe_interval_ms

    def suspicion_for(self, members: int) -> int:
        """Return the time in which a suspect can refute; grows with gossip latency."""
        return round(self.suspicion_ms * max(1.0, math.log10(max(1, members))))

    def copies_for(self, members: int) -> int:
        """Return how many times one process forwards an update."""
        return 3 * math.ceil(math.log10(members + 1) + 1)
