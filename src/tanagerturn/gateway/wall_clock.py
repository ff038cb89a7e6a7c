"""A wall clock that is not affected by a step of the host's clock; no I/O.

The corrected clock advances with the boot clock from the wall-clock time at the start.
If the clock differs from the median of its own time and the times that peer gateways
report by more than `MAX_UNCORRECTED_OFFSET_S`, the clock is set to the median.
"""

from __future__ import annotations

from statistics import median
from typing import Final

MAX_UNCORRECTED_OFFSET_S: Final = 0.2
"""Largest difference to the median of the gateways' clocks that is not corrected, in
seconds; it exceeds the delay of digests and the normal difference of clocks."""

PEER_OFFSET_MAX_AGE_S: Final = 3.0
"""Age in seconds from which the clock reported by a peer is ignored."""


class CorrectedWallClock:
    """Wall clock of one gateway, corrected by the clocks of its peers.

    Args:
        now_s: Boot-clock time at the start in seconds.
        wall_s: Wall-clock time at the start in seconds.
    """

    def __init__(self, now_s: float, wall_s: float) -> None:
        self.offset_s = wall_s - now_s
        """Corrected wall-clock time minus boot-clock time in seconds."""
        self.peer_offsets: dict[str, tuple[float, float]] = {}
        """Corrected wall-clock time of each peer gateway minus the local boot-clock
        time, and the boot-clock time at which it was received, in seconds, by host."""

    def read(self, now_s: float) -> float:
        """Return the corrected wall-clock time in seconds.

        Args:
            now_s: Current boot-clock time in seconds.
        """
        return now_s + self.offset_s

    def on_peer_time(self, gateway: str, wall_s: float, now_s: float) -> None:
        """Apply the corrected wall-clock time of a peer gateway.

        Args:
            gateway: Host of the peer gateway.
            wall_s: Corrected wall-clock time of the peer in seconds.
            now_s: Current boot-clock time in seconds.
        """
        self.peer_offsets[gateway] = (wall_s - now_s, now_s)
        if abs(wall_s - now_s - self.offset_s) <= MAX_UNCORRECTED_OFFSET_S:
            # A peer clock this close to the local one can't move the median far enough
            # to require a correction.
            return
        recent_offsets_s = [
            offset_s
            for offset_s, at_s in self.peer_offsets.values()
            if now_s - at_s < PEER_OFFSET_MAX_AGE_S
        ]
        median_s = median([*recent_offsets_s, self.offset_s])
        if (
            len(recent_offsets_s) >= 2
            and abs(median_s - self.offset_s) > MAX_UNCORRECTED_OFFSET_S
        ):
            self.offset_s = median_s
