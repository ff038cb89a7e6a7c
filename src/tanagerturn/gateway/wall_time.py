"""A wall clock that a step of the host's clock does not move; pure.

The time of day runs on the boot clock from where it was at the start. It is
compared with what other gateways tell: when most of them differ from it by more
than a step's smallest size, it moves to their median.
"""

from __future__ import annotations

from statistics import median
from typing import Final

SLEW_S: Final = 0.2
"""Difference to the median of the other gateways that is not corrected; it lies
above the delay of their digests and the usual difference of clocks."""

HEARD_KEEP_S: Final = 3.0
"""Time for which another gateway's clock counts."""


class WallTime:
    """Corrected wall clock of one gateway.

    Args:
        now_s: Boot clock at the start.
        wall_s: Wall clock at the start.
    """

    def __init__(self, now_s: float, wall_s: float) -> None:
        self.offset_s = wall_s - now_s
        """Corrected wall clock less boot clock."""
        self.heard: dict[str, tuple[float, float]] = {}
        """Offset that other gateways' clocks have, and when it was heard."""

    def read(self, now_s: float) -> float:
        """Return the corrected wall clock in seconds."""
        return now_s + self.offset_s

    def on_heard(self, gateway: str, wall_s: float, now_s: float) -> None:
        """Take the corrected wall clock of another gateway."""
        self.heard[gateway] = (wall_s - now_s, now_s)
        if abs(wall_s - now_s - self.offset_s) <= SLEW_S:
            # The median moves far only when clocks that differ are heard.
            return
        recent = [
            offset_s
            for offset_s, at_s in self.heard.values()
            if now_s - at_s < HEARD_KEEP_S
        ]
        middle_s = median([*recent, self.offset_s])
        if len(recent) >= 2 and abs(middle_s - self.offset_s) > SLEW_S:
            self.offset_s = middle_s
