"""Configuration of failure detection."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

PACKET_LIMIT_BYTES: Final = 1200
"""Largest datagram in bytes, HMAC included; it fits common path MTUs without
fragmentation."""

DEAD_MAX_AGE_MS: Final = 2 * 3_600_000
"""Time in milliseconds for which a dead or left process stays in the table."""


@dataclass(frozen=True)
class MembershipConfig:
    """Timeouts, intervals and limits of failure detection."""

    cluster: str
    """Name of the cluster; packets of another cluster are dropped."""
    seeds: tuple[str, ...] = ()
    """IP addresses and ports of the processes through which a process joins."""
    probe_interval_ms: int = 1000
    """Interval between probes in milliseconds."""
    suspicion_ms: int = 4000
    """Time in milliseconds in which a suspect process can refute the suspicion, while
    at most 10 processes are present; it grows with the logarithm of their number."""
    helper_count: int = 3
    """Number of processes that are asked to probe a target that did not respond."""
    budget_bytes_per_s: int = 2500
    """Bytes sent per second above which gossip and table pages are deferred."""
    links_per_region: int = 3
    """Number of link processes of each region: those that probe other regions."""
    sync_interval_ms: int = 30_000
    """Interval in milliseconds between comparisons of member tables with a peer."""
    seed_interval_ms: int = 10_000
    """Mean interval in milliseconds between pings to a seed that is not present; while
    no other process is present, all seeds are pinged each probe interval."""

    @property
    def probe_timeout_ms(self) -> int:
        """Time in milliseconds without a probe response until helpers are asked."""
        return self.probe_interval_ms * 3 // 10

    @property
    def pause_ms(self) -> int:
        """Time in milliseconds between ticks above which the process was paused."""
        return self.probe_interval_ms

    def suspicion_timeout_ms(self, member_count: int) -> int:
        """Return the time in milliseconds in which a suspect can refute the suspicion.

        It grows with the latency of gossip.

        Args:
            member_count: Number of present processes.
        """
        return round(self.suspicion_ms * max(1.0, math.log10(max(1, member_count))))

    def update_send_count(self, member_count: int) -> int:
        """Return the number of packets in which one process sends an update.

        Args:
            member_count: Number of present processes.
        """
        return 3 * math.ceil(math.log10(member_count + 1) + 1)
